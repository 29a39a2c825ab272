//! [`RetryBudget`]: how much load retries may add to a service.

/// Retries earned by each first attempt.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Retries earned a second without any load, so that a quiet service can still retry.
const FLOOR_PER_S: f64 = 1.0;
/// Retries that can be saved up.
const SAVED_MAX: f64 = 20.0;

/// A token bucket that first attempts fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: SAVED_MAX }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_REQUEST).min(SAVED_MAX);
    }

    /// Lets time pass.
    pub fn refill(&mut self, seconds: f64) {
        self.tokens = (self.tokens + FLOOR_PER_S * seconds).min(SAVED_MAX);
    }

    /// Pays for one retry, if it can be paid for.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
