//! [`Limiter`]: adaptive limit on the streams a gateway keeps in flight, to bound the forward pass
//! time.

use std::time::Duration;
use std::time::Instant;

use super::Ewma;

/// Targets and bounds of a [`Limiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterSettings {
    /// Target for the mean forward pass time.
    pub pass_target: Duration,
    /// Part of the pass time that does not depend on the number of streams.
    pub pass_overhead: Duration,
    /// Lower bound of the limit, in streams.
    pub floor: f64,
    /// Upper bound of the limit, in streams.
    pub ceiling: f64,
    /// Limit on the mean number of streams per endpoint, counted over all gateways.
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

/// Time constant of the averages of pass time and of streams in flight.
const TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Pass times older than this are ignored.
const STALE_AFTER: Duration = Duration::from_millis(1500);
/// Streams allowed beyond the estimate, so that the limit of a lightly loaded gateway can rise.
const PROBE_STREAMS: f64 = 2.0;

/// Scales the number of streams in flight by the ratio of the target pass time to the measured one.
///
/// All ranks of a group run each forward pass in lockstep, and a stream emits one event per pass.
/// The gaps between events therefore show every gateway the same pass times, and all gateways scale
/// their own streams by the same factor without coordination.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    cfg: LimiterSettings,
    pass_ms: Ewma,
    in_flight: Ewma,
}

impl Limiter {
    /// Creates a limiter without measurements; until the first one, it allows twice
    /// [`LimiterSettings::floor`], at most [`LimiterSettings::ceiling`].
    pub fn new(cfg: LimiterSettings) -> Self {
        Self { cfg, pass_ms: Ewma::default(), in_flight: Ewma::default() }
    }

    /// Records the gap between two events of a stream and the number of streams in flight at that
    /// time.
    pub fn record_gap(&mut self, now: Instant, gap: Duration, in_flight: u32) {
        self.pass_ms.add(now, gap.as_secs_f64() * 1e3, TIME_CONSTANT);
        self.in_flight.add(now, f64::from(in_flight), TIME_CONSTANT);
    }

    /// Mean pass time; `None` if the newest measurement is stale.
    pub fn mean_pass(&self, now: Instant) -> Option<Duration> {
        let fresh = self
            .pass_ms
            .last_sample_at()
            .is_some_and(|at| now.saturating_duration_since(at) < STALE_AFTER);
        let ms = self.pass_ms.mean().filter(|_| fresh)?;
        Some(Duration::from_secs_f64(ms / 1e3))
    }

    /// Number of streams that this gateway may have in flight.
    pub fn limit(&self, now: Instant) -> u32 {
        self.limit_of_part(now, 1.0) as u32
    }

    /// Number of streams that this gateway may have in flight in one of `parts` groups, among which
    /// its bounds are divided evenly.
    pub fn limit_of_part(&self, now: Instant, parts: f64) -> f64 {
        let LimiterSettings { pass_target, pass_overhead, floor, ceiling, .. } = self.cfg;
        let (floor, ceiling) = (floor / parts, ceiling / parts);
        let Some(pass) = self.mean_pass(now) else { return ceiling.min(floor * 2.0) };
        let overhead = pass_overhead.as_secs_f64();
        let load_dependent = (pass.as_secs_f64() - overhead).max(overhead * 0.1);
        let ratio = (pass_target.as_secs_f64() - overhead).max(0.0) / load_dependent;
        let streams = self.in_flight.mean().unwrap_or(0.0);
        (streams * ratio + PROBE_STREAMS * ratio.min(1.0)).clamp(floor, ceiling)
    }
}
