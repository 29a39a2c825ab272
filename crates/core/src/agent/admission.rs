//! [`Admission`]: the adaptive concurrency limit of an endpoint.

use std::time::Duration;
use std::time::Instant;

use crate::Code;

/// Bounds of the admission limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Concurrent requests after each engine start.
    pub initial: u32,
    /// Upper bound on concurrent requests.
    pub max: u32,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self { initial: 2, max: 64 }
    }
}

/// Ratio of the smoothed first-byte time to its baseline that counts as overload.
const OVERLOAD_RATIO: f64 = 2.5;
/// Ratio of the smoothed first-byte time to its baseline that counts as a cold engine.
const COLD_RATIO: f64 = 8.0;
/// Smoothed first-byte time up to which an engine never counts as overloaded or cold.
const OVERLOAD_FLOOR: Duration = Duration::from_millis(50);
/// Weight of the newest sample in the smoothed first-byte time.
const SMOOTHING: f64 = 0.2;
/// Multiplicative decrease of the limit on overload.
const DECREASE_FACTOR: f64 = 0.8;
/// Utilization of the limit from which it is increased.
const INCREASE_UTILIZATION: f64 = 0.7;
/// Minimum time between two decreases.
const DECREASE_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// Number of initial samples whose arithmetic mean initializes the baseline.
const BASELINE_INITIAL_SAMPLES: u32 = 10;
/// Weight of the newest sample in the baseline after the initial samples.
const BASELINE_SMOOTHING: f64 = 0.02;
/// Ratio of the smoothed first-byte time to its baseline up to which samples update the baseline.
const BASELINE_UPDATE_RATIO: f64 = 1.5;
/// Growth of the baseline per sample above that ratio, so that it adapts to a slower engine.
const BASELINE_DRIFT: f64 = 1.0005;

/// An additive-increase, multiplicative-decrease concurrency limit, reset to a low value at each
/// engine start.
///
/// The limit is enforced by the agent because only the agent sees all requests to its engine; each
/// entry has a delayed and partial view, and several entries act concurrently.
#[derive(Clone, Debug)]
pub struct Admission {
    bounds: AdmissionLimits,
    limit: f64,
    in_flight: u32,
    engine_start: u64,
    baseline_first_byte_s: f64,
    sample_count: u32,
    smoothed_first_byte_s: f64,
    last_decrease: Option<Instant>,
    draining: bool,
    engine_down: bool,
    suspect_running: bool,
}

impl Admission {
    /// Creates the state with the initial limit, for an engine whose start number is not known yet.
    pub fn new(bounds: AdmissionLimits) -> Self {
        Self {
            bounds,
            limit: f64::from(bounds.initial),
            in_flight: 0,
            engine_start: 0,
            baseline_first_byte_s: 0.0,
            sample_count: 0,
            smoothed_first_byte_s: 0.0,
            last_decrease: None,
            draining: false,
            engine_down: false,
            suspect_running: false,
        }
    }

    /// Acquires a slot for a request.
    ///
    /// `suspect` marks a request that may have crashed an engine; only one of these runs at a time.
    ///
    /// # Errors
    ///
    /// The reason for the refusal; a refused request has not run.
    pub fn admit(&mut self, suspect: bool) -> Result<(), Code> {
        if self.draining {
            return Err(Code::EndpointLeaving);
        }
        if self.engine_down {
            return Err(Code::EngineUnreachable);
        }
        if suspect && self.suspect_running {
            return Err(Code::SuspectBusy);
        }
        if self.in_flight >= self.limit() {
            return Err(Code::EndpointFull);
        }
        self.in_flight += 1;
        self.suspect_running |= suspect;
        Ok(())
    }

    /// Releases the slot of a request.
    pub fn release(&mut self, suspect: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if suspect {
            self.suspect_running = false;
        }
    }

    /// Records the time to the first byte of a response and adjusts the limit.
    pub fn record_first_byte(&mut self, now: Instant, took: Duration) {
        let took_s = took.as_secs_f64().max(1e-6);
        if self.smoothed_first_byte_s == 0.0 {
            self.smoothed_first_byte_s = took_s;
        }
        self.smoothed_first_byte_s += SMOOTHING * (took_s - self.smoothed_first_byte_s);
        self.update_baseline(took_s);
        let baseline_s = self.baseline_first_byte_s;
        let floor_s = OVERLOAD_FLOOR.as_secs_f64();
        if self.smoothed_first_byte_s > floor_s
            && self.smoothed_first_byte_s > baseline_s * COLD_RATIO
        {
            // Keeps the baseline, so that the limit stays low until the engine has recovered.
            self.limit = f64::from(self.bounds.initial);
            self.smoothed_first_byte_s = 0.0;
        } else if self.smoothed_first_byte_s > floor_s
            && self.smoothed_first_byte_s > baseline_s * OVERLOAD_RATIO
        {
            self.decrease(now);
        } else if f64::from(self.in_flight) >= f64::from(self.limit()) * INCREASE_UTILIZATION {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.bounds.max));
        }
    }

    /// Records the start number of the engine; a new one means a cold engine and resets the limit.
    pub fn update_engine_start(&mut self, start: u64) {
        if start == self.engine_start {
            return;
        }
        self.engine_start = start;
        self.reset();
    }

    /// Records whether the engine is unreachable.
    pub fn set_engine_down(&mut self, down: bool) {
        self.engine_down = down;
    }

    /// Whether the engine is unreachable.
    pub fn engine_down(&self) -> bool {
        self.engine_down
    }

    /// Stops or resumes the admission of new work.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Whether new work is refused because the endpoint is draining.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Number of requests that may run concurrently.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.bounds.max)
    }

    /// Number of requests running.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Start number of the engine that the limit applies to.
    pub fn engine_start(&self) -> u64 {
        self.engine_start
    }

    /// Smoothed time to the first byte.
    pub fn smoothed_first_byte(&self) -> Duration {
        Duration::from_secs_f64(self.smoothed_first_byte_s)
    }

    fn reset(&mut self) {
        self.limit = f64::from(self.bounds.initial);
        self.baseline_first_byte_s = 0.0;
        self.sample_count = 0;
        self.smoothed_first_byte_s = 0.0;
    }

    /// Updates the baseline of the first-byte time.
    ///
    /// The baseline is a mean and not a minimum, because responses to cached prompts start much
    /// earlier than others, which says nothing about the load.
    fn update_baseline(&mut self, took_s: f64) {
        self.sample_count = self.sample_count.saturating_add(1);
        if self.sample_count <= BASELINE_INITIAL_SAMPLES {
            self.baseline_first_byte_s +=
                (took_s - self.baseline_first_byte_s) / f64::from(self.sample_count);
        } else if self.smoothed_first_byte_s <= self.baseline_first_byte_s * BASELINE_UPDATE_RATIO {
            self.baseline_first_byte_s +=
                BASELINE_SMOOTHING * (took_s - self.baseline_first_byte_s);
        } else {
            self.baseline_first_byte_s *= BASELINE_DRIFT;
        }
    }

    fn decrease(&mut self, now: Instant) {
        if self.last_decrease.is_some_and(|at| now.duration_since(at) < DECREASE_INTERVAL_MIN) {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }
}
