//! Percentiles of measured durations.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Histogram of durations in microseconds, up to one minute, with three significant digits.
pub(crate) struct DurationHistogram {
    hist: Histogram<u64>,
}

/// Longest duration that can be recorded, in microseconds. Longer ones are clamped to it.
const DURATION_MAX_US: u64 = 60_000_000;

impl Default for DurationHistogram {
    fn default() -> Self {
        let hist = Histogram::new_with_bounds(1, DURATION_MAX_US, 3);
        Self { hist: hist.unwrap_or_else(|_| unreachable!("the bounds are constants")) }
    }
}

impl DurationHistogram {
    /// Records one duration.
    pub(crate) fn record(&mut self, duration: Duration) {
        let us = u64::try_from(duration.as_micros()).unwrap_or(DURATION_MAX_US);
        self.hist.saturating_record(us.clamp(1, DURATION_MAX_US));
    }

    /// Adds all recorded durations of another histogram.
    pub(crate) fn merge(&mut self, other: &Self) {
        // All histograms have the same bounds, so this cannot fail.
        let _ = self.hist.add(&other.hist);
    }

    /// The given percentile in microseconds, or 0 if nothing was recorded.
    pub(crate) fn percentile_us(&self, percent: f64) -> u64 {
        if self.hist.is_empty() { 0 } else { self.hist.value_at_percentile(percent) }
    }

    /// The given percentile in milliseconds, or 0 if nothing was recorded.
    pub(crate) fn percentile_ms(&self, percent: f64) -> f64 {
        self.percentile_us(percent) as f64 / 1000.0
    }
}
