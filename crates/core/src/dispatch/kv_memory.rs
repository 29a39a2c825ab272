//! KV memory of engines: [`KvSettings`] and the tokens that a gateway's requests hold.

use std::collections::VecDeque;

/// Multiple of the mean response that a request is expected to generate at most; its own maximum is
/// often a default that few responses come near.
const RESPONSE_FACTOR: u32 = 2;
/// Share of an engine's capacity up to which it gets requests. The rest is for the error of the estimate
/// of other gateways' requests.
const USABLE_SHARE: f64 = 0.9;

/// KV memory of an engine and the usual need of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvSettings {
    /// Tokens that an engine can hold; it ends if its requests exceed them.
    pub capacity_tokens: u64,
    /// Mean length of a prompt in tokens.
    pub mean_prompt_tokens: u32,
    /// Mean length of a response in tokens; 0 if it is unknown.
    pub mean_response_tokens: u32,
}

impl KvSettings {
    /// Tokens that a request is expected to hold at its end. `max_response_tokens` is 0 if the request
    /// sets no maximum.
    pub fn need(&self, prompt_tokens: u32, max_response_tokens: u32) -> u32 {
        let expected = match (max_response_tokens, self.mean_response_tokens) {
            (0, mean) => mean,
            (max, 0) => max,
            (max, mean) => max.min(mean.saturating_mul(RESPONSE_FACTOR)),
        };
        prompt_tokens.saturating_add(expected)
    }

    /// Tokens of a usual request.
    pub(super) fn usual(&self) -> f64 {
        f64::from(self.mean_prompt_tokens) + f64::from(self.mean_response_tokens)
    }

    /// Whether a request that needs `need` tokens fits beside `held` tokens of others.
    pub(super) fn fits(&self, held: f64, need: u32) -> bool {
        let capacity = self.capacity_tokens as f64;
        // A request that fits an empty engine only must not wait for ever.
        let usable = if held == 0.0 { capacity } else { capacity * USABLE_SHARE };
        held + f64::from(need) <= usable
    }
}

/// Tokens of this gateway's requests at one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct KvReservations {
    /// Tokens of each request, the oldest first.
    requests: VecDeque<u32>,
    total: u64,
}

impl KvReservations {
    pub(super) fn total(&self) -> u64 {
        self.total
    }

    pub(super) fn reserve(&mut self, tokens: u32) {
        self.requests.push_back(tokens);
        self.total += u64::from(tokens);
    }

    /// Releases the reservation of a request; the oldest one if its tokens are not known.
    pub(super) fn release(&mut self, tokens: Option<u32>) {
        let index = tokens.and_then(|t| self.requests.iter().position(|r| *r == t)).unwrap_or(0);
        if let Some(released) = self.requests.remove(index) {
            self.total -= u64::from(released);
        }
    }
}
