//! Percentiles of measured times.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Times in microseconds, up to a minute, to three digits.
pub(crate) struct Times {
    hist: Histogram<u64>,
}

/// Longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;

impl Default for Times {
    fn default() -> Self {
        let hist = Histogram::new_with_bounds(1, LONGEST_US, 3);
        Self { hist: hist.unwrap_or_else(|_| unreachable!("the bounds are constants")) }
    }
}

impl Times {
    /// Notes one time.
    pub(crate) fn note(&mut self, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
        self.hist.saturating_record(us.clamp(1, LONGEST_US));
    }

    /// Adds all times of another one.
    pub(crate) fn add(&mut self, other: &Self) {
        // Both have the same bounds, so adding cannot fail.
        let _ = self.hist.add(&other.hist);
    }

    /// A percentile in microseconds.
    pub(crate) fn us(&self, percent: f64) -> u64 {
        if self.hist.is_empty() { 0 } else { self.hist.value_at_percentile(percent) }
    }

    /// A percentile in milliseconds.
    pub(crate) fn ms(&self, percent: f64) -> f64 {
        self.us(percent) as f64 / 1000.0
    }
}
