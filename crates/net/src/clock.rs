//! [`Clock`]: the time source, replaceable in tests.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The time source of a process.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time, for intervals and leases.
    fn now(&self) -> Instant;

    /// Wall-clock time in milliseconds since the Unix epoch, for retention and reports only.
    fn unix_ms(&self) -> u64;
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since_epoch.as_millis() as u64
    }
}

/// A clock for tests that moves only when it is advanced.
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
    /// Advances the clock.
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
