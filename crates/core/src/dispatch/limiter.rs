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
    pub pass_fixed: Duration,
    /// Streams that are always allowed.
    pub floor: f64,
    /// Streams that are never exceeded.
    pub ceiling: f64,
    /// Streams of all gateways together at each endpoint, on the mean.
    pub per_endpoint: f64,
}

impl Default for LimiterSettings {
    fn default() -> Self {
        Self {
            pass_target: Duration::from_millis(140),
            pass_fixed: Duration::from_millis(20),
            floor: 6.0,
            ceiling: 144.0,
            per_endpoint: 12.0,
        }
    }
}

/// Memory of the mean pass time and of the streams that it belongs to.
const MEMORY: Duration = Duration::from_millis(400);
/// A pass time older than this says nothing any more.
const STALE: Duration = Duration::from_millis(1500);
/// Streams added beyond the estimate, so that a gateway with little work can grow.
const PROBE: f64 = 2.0;

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
    pub fn observe(&mut self, now: Instant, gap: Duration, in_flight: u32) {
        self.pass_ms.add(now, gap.as_secs_f64() * 1e3, MEMORY);
        self.in_flight.add(now, f64::from(in_flight), MEMORY);
    }

    /// The mean pass time lately.
    pub fn pass(&self, now: Instant) -> Option<Duration> {
        let fresh = self.pass_ms.last().is_some_and(|at| now.saturating_duration_since(at) < STALE);
        let ms = self.pass_ms.get().filter(|_| fresh)?;
        Some(Duration::from_secs_f64(ms / 1e3))
    }

    /// Streams that may be in flight.
    pub fn limit(&self, now: Instant) -> u32 {
        let LimiterSettings { pass_target, pass_fixed, floor, ceiling, .. } = self.cfg;
        let Some(pass) = self.pass(now) else { return ceiling.min(floor * 2.0) as u32 };
        let fixed = pass_fixed.as_secs_f64();
        let work = (pass.as_secs_f64() - fixed).max(fixed * 0.1);
        let ratio = (pass_target.as_secs_f64() - fixed).max(0.0) / work;
        let streams = self.in_flight.get().unwrap_or(0.0);
        (streams * ratio + PROBE * ratio.min(1.0)).clamp(floor, ceiling) as u32
    }
}
