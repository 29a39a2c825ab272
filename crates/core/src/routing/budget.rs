//! [`RetryBudget`]: limits the load that retries add to a service.

/// Tokens added by each first attempt.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Tokens added per second regardless of load, so that a service with little traffic can retry.
const TOKENS_PER_S: f64 = 1.0;
/// Capacity of the bucket, in retries.
const TOKENS_MAX: f64 = 20.0;

/// A token bucket: first attempts add tokens, each retry takes one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: TOKENS_MAX }
    }
}

impl RetryBudget {
    /// Adds tokens for a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(TOKENS_MAX);
    }

    /// Adds the tokens for `seconds` of elapsed time.
    pub fn refill(&mut self, seconds: f64) {
        self.tokens = (self.tokens + TOKENS_PER_S * seconds).min(TOKENS_MAX);
    }

    /// Takes the token for one retry; false when the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
