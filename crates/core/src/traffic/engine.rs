//! [`EngineSpec`]: what is published about the model engines of a service.

use std::time::Duration;

/// Speeds and sizes of one engine, and how it takes part in a group of ranks.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that are written at once.
    pub slots: u32,
    /// Time of a token step with nothing to write.
    pub step: Duration,
    /// Time that each request adds to a step.
    pub step_per_request: Duration,
    /// Prompt tokens that are read in a second.
    pub prefill_tokens_per_s: f64,
    /// Token steps in one pass; a stream's event carries the tokens of a pass.
    pub steps_per_pass: u32,
    /// Prompt tokens that are read in one step at most.
    pub prefill_chunk_tokens: u32,
    /// Mean tokens of a prompt.
    pub mean_prompt_tokens: u32,
    /// Mean tokens of an answer.
    pub mean_response_tokens: u32,
    /// Sets of layers with experts of their own; 0 for an engine without experts.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// Experts of a set that a rank can hold.
    pub places: usize,
    /// New experts of a set that one prepared map may bring to a rank.
    pub spare: usize,
    /// Share of the work for tokens that goes to experts.
    pub expert_share: f64,
    /// Time to copy one expert to a rank.
    pub expert_copy_time: Duration,
}

impl EngineSpec {
    /// Time of a pass with `requests` at every rank, and prompts of `prompt` tokens read at every
    /// rank, when the most loaded rank has `skew` times the mean.
    pub fn pass_time(&self, requests: f64, prompt_tokens: f64, skew: f64) -> Duration {
        let imbalance = 1.0 - self.expert_share + self.expert_share * skew;
        let decode =
            self.step_per_request.as_secs_f64() * requests * f64::from(self.steps_per_pass);
        let prefill = if self.prefill_tokens_per_s > 0.0 {
            prompt_tokens / self.prefill_tokens_per_s
        } else {
            0.0
        };
        let fixed = self.step.as_secs_f64() * f64::from(self.steps_per_pass);
        Duration::from_secs_f64(fixed + (decode + prefill) * imbalance)
    }

    /// Experts that a rank copies, one after another, within `time`; one at least.
    pub fn copies_within(&self, time: Duration) -> usize {
        if self.expert_copy_time.is_zero() {
            return self.sets.max(1) * self.spare.max(1);
        }
        // A copy that fits but for rounding counts.
        ((time.as_secs_f64() / self.expert_copy_time.as_secs_f64() + 1e-6) as usize).max(1)
    }

    /// Most requests at every rank with which a pass stays within `bound` at this skew.
    pub fn requests_within(&self, bound: Duration, prompt_tokens: f64, skew: f64) -> f64 {
        let idle_pass = self.pass_time(0.0, prompt_tokens, skew).as_secs_f64();
        let per_request = self.pass_time(1.0, prompt_tokens, skew).as_secs_f64() - idle_pass;
        if per_request <= 0.0 {
            return f64::from(self.slots);
        }
        ((bound.as_secs_f64() - idle_pass) / per_request).clamp(1.0, f64::from(self.slots))
    }
}
