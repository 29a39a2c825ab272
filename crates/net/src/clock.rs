//! [`Clock`]: time as an interface, so that tests can hold it.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Where a process takes its time from.
pub trait Clock: Send + Sync + 'static {
    /// Time for intervals and leases.
    fn now(&self) -> Instant;

    /// Wall-clock milliseconds since 1970, for retention and reports only.
    fn unix_ms(&self) -> u64;
}

/// The machine's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as u64
    }
}

/// A clock that stands still until it is moved.
#[derive(Debug)]
pub struct FakeClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl Default for FakeClock {
    fn default() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }
}

impl FakeClock {
    /// Moves it on.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        self.elapsed().as_millis() as u64
    }
}
