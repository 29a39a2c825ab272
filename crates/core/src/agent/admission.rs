//! [`Admission`]: how many requests an endpoint may run at once.

use std::time::Duration;
use std::time::Instant;

use crate::Code;

/// Bounds of an endpoint's admission limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests at once after every engine start.
    pub initial: u32,
    /// Requests at once, however well the engine does.
    pub max: u32,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self { initial: 2, max: 64 }
    }
}

/// First-byte time over the usual one that counts as overload.
const OVERLOAD_RATIO: f64 = 2.5;
/// First-byte time over the usual one that counts as a cold engine.
const COLD_RATIO: f64 = 8.0;
/// A first byte within this time is never overload, whatever the usual one is.
const OVERLOAD_FLOOR: Duration = Duration::from_millis(50);
/// Weight of the newest observation in the smoothed first-byte time.
const SMOOTHING: f64 = 0.2;
/// Factor on the limit when the engine is overloaded.
const DECREASE: f64 = 0.8;
/// Share of the limit that must be in use before it grows.
const USED_TO_GROW: f64 = 0.7;
/// Least time between two decreases.
const DECREASE_PAUSE: Duration = Duration::from_millis(200);
/// Observations whose plain mean is the first idea of the usual time.
const USUAL_FIRST: u32 = 10;
/// Weight of the newest observation in the usual time after that.
const USUAL_SMOOTHING: f64 = 0.02;
/// Smoothed time over the usual one up to which observations count as usual.
const USUAL_RATIO: f64 = 1.5;
/// Factor on the usual time for every observation above that, so that it can follow the engine.
const USUAL_DRIFT: f64 = 1.0005;

/// An additive-increase, multiplicative-decrease limit that starts small at every engine start.
///
/// The limit stands at the agent because only the agent sees everything that its engine gets: each
/// entry has a late and partial view, and several of them act at once.
#[derive(Clone, Debug)]
pub struct Admission {
    bounds: AdmissionLimits,
    limit: f64,
    in_flight: u32,
    engine_start: u64,
    usual_first_s: f64,
    observed: u32,
    smooth_first_s: f64,
    decreased: Option<Instant>,
    draining: bool,
    engine_down: bool,
    suspect_running: bool,
}

impl Admission {
    /// A limit for an engine that has not started yet.
    pub fn new(bounds: AdmissionLimits) -> Self {
        Self {
            bounds,
            limit: f64::from(bounds.initial),
            in_flight: 0,
            engine_start: 0,
            usual_first_s: 0.0,
            observed: 0,
            smooth_first_s: 0.0,
            decreased: None,
            draining: false,
            engine_down: false,
            suspect_running: false,
        }
    }

    /// Takes a place, or says why there is none; the refused request has not run.
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

    /// Gives a place back.
    pub fn release(&mut self, suspect: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if suspect {
            self.suspect_running = false;
        }
    }

    /// Learns from the time to the first byte of one answer.
    pub fn record_first_byte(&mut self, now: Instant, took: Duration) {
        let took_s = took.as_secs_f64().max(1e-6);
        if self.smooth_first_s == 0.0 {
            self.smooth_first_s = took_s;
        }
        self.smooth_first_s += SMOOTHING * (took_s - self.smooth_first_s);
        self.learn_usual(took_s);
        let usual = self.usual_first_s;
        let floor = OVERLOAD_FLOOR.as_secs_f64();
        if self.smooth_first_s > floor && self.smooth_first_s > usual * COLD_RATIO {
            // The usual time is kept, so that the limit stays small until the engine is itself again.
            self.limit = f64::from(self.bounds.initial);
            self.smooth_first_s = 0.0;
        } else if self.smooth_first_s > floor && self.smooth_first_s > usual * OVERLOAD_RATIO {
            self.decrease(now);
        } else if f64::from(self.in_flight) >= f64::from(self.limit()) * USED_TO_GROW {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.bounds.max));
        }
    }

    /// Learns the engine's start number; a new one means a cold engine.
    pub fn update_engine_start(&mut self, start: u64) {
        if start == self.engine_start {
            return;
        }
        self.engine_start = start;
        self.turn_cold();
    }

    /// Learns whether the engine can be reached at all.
    pub fn set_engine_down(&mut self, down: bool) {
        self.engine_down = down;
    }

    /// Whether the engine cannot be reached.
    pub fn engine_down(&self) -> bool {
        self.engine_down
    }

    /// Stops or resumes taking new work.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Whether new work is refused because the endpoint leaves.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Requests allowed at once.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.bounds.max)
    }

    /// Requests running now.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Start number of the engine that the limit is for.
    pub fn engine_start(&self) -> u64 {
        self.engine_start
    }

    /// Smoothed time to the first byte.
    pub fn smoothed_first_byte(&self) -> Duration {
        Duration::from_secs_f64(self.smooth_first_s)
    }

    fn turn_cold(&mut self) {
        self.limit = f64::from(self.bounds.initial);
        self.usual_first_s = 0.0;
        self.observed = 0;
        self.smooth_first_s = 0.0;
    }

    /// Follows what is usual, which is a mean and not the least: a cached prompt answers much sooner
    /// than another one, and neither is a sign of load.
    fn learn_usual(&mut self, took_s: f64) {
        self.observed = self.observed.saturating_add(1);
        if self.observed <= USUAL_FIRST {
            self.usual_first_s += (took_s - self.usual_first_s) / f64::from(self.observed);
        } else if self.smooth_first_s <= self.usual_first_s * USUAL_RATIO {
            self.usual_first_s += USUAL_SMOOTHING * (took_s - self.usual_first_s);
        } else {
            self.usual_first_s *= USUAL_DRIFT;
        }
    }

    fn decrease(&mut self, now: Instant) {
        if self.decreased.is_some_and(|at| now.duration_since(at) < DECREASE_PAUSE) {
            return;
        }
        self.decreased = Some(now);
        self.limit = (self.limit * DECREASE).max(1.0);
    }
}
