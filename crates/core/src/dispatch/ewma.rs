//! [`Ewma`]: a mean that forgets with time.

use std::time::Duration;
use std::time::Instant;

/// An exponentially weighted mean whose weights fall with age, not with the number of samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    mean: f64,
    weight: f64,
    at: Option<Instant>,
}

impl Ewma {
    /// Adds a sample; older ones lose a factor of e in each `memory`.
    pub fn add(&mut self, now: Instant, sample: f64, memory: Duration) {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = self.weight * (-age.as_secs_f64() / memory.as_secs_f64()).exp();
        self.weight = kept + 1.0;
        self.mean = (self.mean * kept + sample) / self.weight;
        self.at = Some(now);
    }

    /// The mean, if there was any sample.
    pub fn get(&self) -> Option<f64> {
        self.at.map(|_| self.mean)
    }

    /// When the last sample was added.
    pub fn last(&self) -> Option<Instant> {
        self.at
    }
}
