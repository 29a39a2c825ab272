//! [`Limiter`]: how many streams a gateway keeps in flight, so that passes stay short.

use std::time::Duration;
use std::time::Instant;

use super::Ewma;

/// What a [`Limiter`] aims for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterSettings {
    /// Mean time of a pass to hold.
    pub pass_target: Duration,
    /// Part of a pass that does not depend on the number of streams.
    pub pass_overhead: Duration,
    /// Streams that are always allowed.
    pub floor: f64,
    /// Streams that are never exceeded.
    pub ceiling: f64,
    /// Streams of all gateways together at each endpoint, on the mean.
    pub streams_per_endpoint: f64,
}

impl Default for LimiterSettings {
    fn default() -> Self {
        Self {
            pass_target: Duration::from_millis(140),
            pass_overhead: Duration::from_millis(20),
            floor: 6.0,
            ceiling: 144.0,
            streams_per_endpoint: 12.0,
        }
    }
}

/// Memory of the mean pass time and of the streams that it belongs to.
const TIME_CONSTANT: Duration = Duration::from_millis(400);
/// A pass time older than this says nothing any more.
const STALE_AFTER: Duration = Duration::from_millis(1500);
/// Streams added beyond the estimate, so that a gateway with little work can grow.
const PROBE_STREAMS: f64 = 2.0;

/// Scales the number of streams in flight by how far the pass time is from its target.
///
/// All ranks of a group run each pass together, so every gateway sees the same pass times in the
/// gaps between events, and all of them scale their own share by the same factor without talking to
/// each other.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    cfg: LimiterSettings,
    pass_ms: Ewma,
    in_flight: Ewma,
}

impl Limiter {
    /// A limiter that has seen nothing yet.
    pub fn new(cfg: LimiterSettings) -> Self {
        Self { cfg, pass_ms: Ewma::default(), in_flight: Ewma::default() }
    }

    /// Notes a gap between two events of a stream, with the streams now in flight.
    pub fn record_gap(&mut self, now: Instant, gap: Duration, in_flight: u32) {
        self.pass_ms.add(now, gap.as_secs_f64() * 1e3, TIME_CONSTANT);
        self.in_flight.add(now, f64::from(in_flight), TIME_CONSTANT);
    }

    /// The mean pass time lately.
    pub fn mean_pass(&self, now: Instant) -> Option<Duration> {
        let fresh = self
            .pass_ms
            .last_sample_at()
            .is_some_and(|at| now.saturating_duration_since(at) < STALE_AFTER);
        let ms = self.pass_ms.mean().filter(|_| fresh)?;
        Some(Duration::from_secs_f64(ms / 1e3))
    }

    /// Streams that may be in flight.
    pub fn limit(&self, now: Instant) -> u32 {
        let LimiterSettings { pass_target, pass_overhead, floor, ceiling, .. } = self.cfg;
        let Some(pass) = self.mean_pass(now) else { return ceiling.min(floor * 2.0) as u32 };
        let overhead = pass_overhead.as_secs_f64();
        let per_stream_part = (pass.as_secs_f64() - overhead).max(overhead * 0.1);
        let ratio = (pass_target.as_secs_f64() - overhead).max(0.0) / per_stream_part;
        let streams = self.in_flight.mean().unwrap_or(0.0);
        (streams * ratio + PROBE_STREAMS * ratio.min(1.0)).clamp(floor, ceiling) as u32
    }
}
