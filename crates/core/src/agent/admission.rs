//! [`Admission`]: how many requests an endpoint may run at once.

use std::time::Duration;
use std::time::Instant;

use crate::Code;

/// Bounds of an endpoint's admission limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests at once after every engine start.
    pub start: u32,
    /// Requests at once, however well the engine does.
    pub max: u32,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self { start: 2, max: 64 }
    }
}

/// First-byte time over the best one seen that counts as overload.
const OVERLOAD_RATIO: f64 = 2.5;
/// First-byte time over the best one seen that counts as a cold engine.
const COLD_RATIO: f64 = 8.0;
/// A first byte within this time is never overload, whatever the best one was.
const OVERLOAD_FLOOR: Duration = Duration::from_millis(50);
/// Weight of the newest observation in the smoothed first-byte time.
const SMOOTHING: f64 = 0.2;
/// Factor on the limit when the engine is overloaded.
const DECREASE: f64 = 0.8;
/// Share of the limit that must be in use before it grows.
const USED_TO_GROW: f64 = 0.7;
/// Least time between two decreases.
const DECREASE_PAUSE: Duration = Duration::from_millis(200);
/// Per observation, the best first-byte time forgets this much, so that it can follow the engine.
const BEST_DRIFT: f64 = 1.0005;

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
    best_first_s: Option<f64>,
    smooth_first_s: f64,
    decreased: Option<Instant>,
    leaving: bool,
    engine_down: bool,
    suspect_running: bool,
}

impl Admission {
    /// A limit for an engine that has not started yet.
    pub fn new(bounds: AdmissionLimits) -> Self {
        Self {
            bounds,
            limit: f64::from(bounds.start),
            in_flight: 0,
            engine_start: 0,
            best_first_s: None,
            smooth_first_s: 0.0,
            decreased: None,
            leaving: false,
            engine_down: false,
            suspect_running: false,
        }
    }

    /// Takes a place, or says why there is none; the refused request has not run.
    pub fn admit(&mut self, suspect: bool) -> Result<(), Code> {
        if self.leaving {
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
    pub fn first_byte(&mut self, now: Instant, took: Duration) {
        let took_s = took.as_secs_f64().max(1e-6);
        let best = self.best_first_s.map_or(took_s, |b| (b * BEST_DRIFT).min(took_s));
        self.best_first_s = Some(best);
        if self.smooth_first_s == 0.0 {
            self.smooth_first_s = took_s;
        }
        self.smooth_first_s += SMOOTHING * (took_s - self.smooth_first_s);
        let floor = OVERLOAD_FLOOR.as_secs_f64();
        if self.smooth_first_s > floor && self.smooth_first_s > best * COLD_RATIO {
            // The best time is kept, so that the limit stays small until the engine is itself again.
            self.limit = f64::from(self.bounds.start);
            self.smooth_first_s = 0.0;
        } else if self.smooth_first_s > floor && self.smooth_first_s > best * OVERLOAD_RATIO {
            self.decrease(now);
        } else if f64::from(self.in_flight) >= f64::from(self.limit()) * USED_TO_GROW {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.bounds.max));
        }
    }

    /// Learns the engine's start number; a new one means a cold engine.
    pub fn engine_started(&mut self, start: u64) {
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
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether new work is refused because the endpoint leaves.
    pub fn leaving(&self) -> bool {
        self.leaving
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
    pub fn smooth_first(&self) -> Duration {
        Duration::from_secs_f64(self.smooth_first_s)
    }

    fn turn_cold(&mut self) {
        self.limit = f64::from(self.bounds.start);
        self.best_first_s = None;
        self.smooth_first_s = 0.0;
    }

    fn decrease(&mut self, now: Instant) {
        if self.decreased.is_some_and(|at| now.duration_since(at) < DECREASE_PAUSE) {
            return;
        }
        self.decreased = Some(now);
        self.limit = (self.limit * DECREASE).max(1.0);
    }
}
