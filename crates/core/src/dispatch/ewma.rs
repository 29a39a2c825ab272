//! [`Ewma`]: a mean that forgets with time.

use std::time::Duration;
use std::time::Instant;

/// An exponentially weighted mean whose weights fall with age, not with the number of samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    mean: f64,
    weight: f64,
    last_sample_at: Option<Instant>,
}

impl Ewma {
    /// Adds a sample; older ones lose a factor of e in each `time_constant`.
    pub fn add(&mut self, now: Instant, sample: f64, time_constant: Duration) {
        let age =
            self.last_sample_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decayed = self.weight * (-age.as_secs_f64() / time_constant.as_secs_f64()).exp();
        self.weight = decayed + 1.0;
        self.mean = (self.mean * decayed + sample) / self.weight;
        self.last_sample_at = Some(now);
    }

    /// The mean, if there was any sample.
    pub fn mean(&self) -> Option<f64> {
        self.last_sample_at.map(|_| self.mean)
    }

    /// When the last sample was added.
    pub fn last_sample_at(&self) -> Option<Instant> {
        self.last_sample_at
    }
}
