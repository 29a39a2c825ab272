//! [`Ewma`]: a time-decayed moving average.

use std::time::Duration;
use std::time::Instant;

/// Exponentially weighted moving average whose weights decay with elapsed time rather than with the
/// number of samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    mean: f64,
    weight: f64,
    last_sample_at: Option<Instant>,
}

impl Ewma {
    /// Adds a sample. The weight of older samples falls by a factor of e every `time_constant`.
    pub fn add(&mut self, now: Instant, sample: f64, time_constant: Duration) {
        let age =
            self.last_sample_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decayed = self.weight * (-age.as_secs_f64() / time_constant.as_secs_f64()).exp();
        self.weight = decayed + 1.0;
        self.mean = (self.mean * decayed + sample) / self.weight;
        self.last_sample_at = Some(now);
    }

    /// The weighted mean; `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        self.last_sample_at.map(|_| self.mean)
    }

    /// Time of the newest sample.
    pub fn last_sample_at(&self) -> Option<Instant> {
        self.last_sample_at
    }
}
