//! [`PromptRetention`]: what the endpoints of a service retain of prompts, and what that is worth.

use std::time::Duration;
use std::time::Instant;

use super::FirstEvent;
use super::MemberKey;
use super::PromptCache;
use super::RetentionCheck;
use super::SizedPart;
use crate::traffic::EngineSpec;

/// How endpoints retain prompts, and the times against which a saving is weighed.
#[derive(Clone, Debug, PartialEq)]
pub struct RetentionSettings {
    /// Time after its last use for which a part of a prompt is believed to be held.
    pub ttl: Duration,
    /// Share of an endpoint's KV memory that retained prompts may use, from 0 to 1.
    pub kv_share: f64,
    /// Performance data of the engines.
    pub engine: EngineSpec,
}

/// What delays the first event and the later ones of a request at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointWait {
    /// Requests at the endpoint.
    pub requests: f64,
    /// Prompt tokens of other requests that are not prefilled yet.
    pub pending_prompt_tokens: u64,
    /// Forward pass time of the endpoint's group, if it is known.
    pub group_pass: Option<Duration>,
    /// Whether the endpoint is in another failure domain.
    pub other_domain: bool,
}

/// Cost of a request to another failure domain, in requests of load.
pub(super) const OTHER_DOMAIN_COST: f64 = 0.15;
/// Maximum number of entries of one service: about 70 prompts of three parts for each of 72 endpoints.
/// At [`PromptCache::ENTRY_BYTES`] each, they take less than 2 MiB.
pub const ENTRIES_MAX: usize = 16_384;

impl RetentionSettings {
    /// Whether the engine's published figures suffice to weigh a saving.
    pub fn is_usable(&self) -> bool {
        self.engine.prefill_tokens_per_s > 0.0 && self.engine.kv_capacity_tokens > 0
    }

    /// Prefill time of `tokens` prompt tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::try_from_secs_f64(tokens as f64 / self.engine.prefill_tokens_per_s)
            .unwrap_or_default()
    }

    /// Wait at an endpoint in seconds, for comparison with that at another one.
    ///
    /// Each request ahead lengthens all passes of a response, not only the one before its first
    /// event.
    pub fn wait_s(&self, wait: &EndpointWait) -> f64 {
        let steps = self.engine.steps_per_pass.max(self.engine.mean_response_tokens);
        let request_s = self.engine.step_time_per_request.as_secs_f64() * f64::from(steps);
        let domain_cost = if wait.other_domain { OTHER_DOMAIN_COST } else { 0.0 };
        (wait.requests + domain_cost) * request_s
            + self.prefill_time(wait.pending_prompt_tokens).as_secs_f64()
            + wait.group_pass.unwrap_or_default().as_secs_f64()
    }

    /// Time in seconds that a request gains at an endpoint compared with the usual choice: what is
    /// saved there beyond the usual saving, less the extra wait. A shorter wait adds nothing: the usual
    /// choice makes use of it already.
    pub fn gain_s(&self, saved_s: f64, wait_s: f64, usual_saved_s: f64, usual_wait_s: f64) -> f64 {
        (saved_s - usual_saved_s) - (wait_s - usual_wait_s).max(0.0)
    }

    /// Tokens of KV memory that prompts of one of `gateways` gateways may use at an endpoint that
    /// serves `requests` requests. An endpoint evicts the least recently used prompts of all gateways
    /// alike, so each counts on an even part.
    pub fn room(&self, requests: f64, gateways: u32) -> u64 {
        let capacity = self.engine.kv_capacity_tokens as f64;
        let per_request =
            f64::from(self.engine.mean_prompt_tokens) + f64::from(self.engine.mean_response_tokens);
        let room = (capacity - requests * per_request).min(capacity * self.kv_share).max(0.0);
        (room / f64::from(gateways.max(1))) as u64
    }
}

/// A prompt whose response has started.
#[derive(Clone, Copy, Debug)]
pub struct StartedPrompt<'a> {
    /// Parts of the prompt in order.
    pub parts: &'a [SizedPart],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Tokens that the endpoint was believed to hold when the request was sent.
    pub saved_tokens: u32,
    /// Time from sending the request to its first event.
    pub latency: Duration,
}

/// State of retention at the endpoints of a service, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionStatus {
    /// Number of entries in the record.
    pub entries: usize,
    /// Whether the endpoints are treated as keeping nothing.
    pub keeps_nothing: bool,
}

/// What the endpoints of a service are believed to retain, and whether that shows in first events.
#[derive(Clone, Debug)]
pub struct PromptRetention {
    cfg: RetentionSettings,
    cache: PromptCache,
    check: RetentionCheck,
}

impl PromptRetention {
    /// Creates an empty record.
    pub fn new(cfg: RetentionSettings) -> Self {
        let cache = PromptCache::new(cfg.ttl, ENTRIES_MAX);
        Self { cfg, cache, check: RetentionCheck::default() }
    }

    /// Settings.
    pub fn settings(&self) -> &RetentionSettings {
        &self.cfg
    }

    /// Tokens of the leading parts that the endpoint is believed to hold; 0 for a service whose
    /// endpoints turned out to keep nothing.
    pub fn saved(&self, now: Instant, endpoint: MemberKey, parts: &[SizedPart]) -> u32 {
        if self.check.keeps_nothing(now) { 0 } else { self.cache.saved(now, endpoint, parts) }
    }

    /// Drops the least recently used entries of an endpoint that exceed its `room` in tokens.
    pub fn trim(&mut self, endpoint: MemberKey, room: u64) {
        self.cache.trim(endpoint, room);
    }

    /// Records a prompt that the endpoint has prefilled.
    pub fn record_started(
        &mut self,
        now: Instant,
        endpoint: MemberKey,
        prompt: &StartedPrompt<'_>,
        room: u64,
    ) {
        if self.check.keeps_nothing(now) || prompt.parts.is_empty() {
            return;
        }
        let event = FirstEvent {
            latency: prompt.latency,
            full_prefill: self.cfg.prefill_time(u64::from(prompt.prompt_tokens)),
            believed_saving: self.cfg.prefill_time(u64::from(prompt.saved_tokens)),
        };
        if self.check.record(now, event) {
            self.cache.forget_all();
            return;
        }
        self.cache.record_sent(now, endpoint, prompt.parts, room);
    }

    /// Drops what is known of an endpoint, whose incarnation has ended.
    pub fn forget(&mut self, endpoint: MemberKey) {
        self.cache.forget(endpoint);
    }

    /// State for metrics.
    pub fn status(&self, now: Instant) -> RetentionStatus {
        RetentionStatus { entries: self.cache.len(), keeps_nothing: self.check.keeps_nothing(now) }
    }
}
