//! [`EngineSpec`]: published performance data of the model engines of a service.

use std::time::Duration;

/// Performance data and expert layout of one engine, a rank of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that the engine decodes concurrently.
    pub slots: u32,
    /// Time of a decode step without requests.
    pub step_time: Duration,
    /// Time that each request adds to a decode step.
    pub step_time_per_request: Duration,
    /// Prefill rate in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Decode steps per forward pass; one event of a stream carries the tokens of one pass.
    pub steps_per_pass: u32,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk_tokens: u32,
    /// Mean length of a prompt in tokens.
    pub mean_prompt_tokens: u32,
    /// Mean length of a response in tokens.
    pub mean_response_tokens: u32,
    /// KV memory of the engine in tokens; 0 if unknown.
    pub kv_capacity_tokens: u64,
    /// Number of layer sets, each with its own experts; 0 for an engine without experts.
    pub layer_sets: usize,
    /// Number of experts per layer set.
    pub experts_per_set: usize,
    /// Expert slots of a rank per layer set.
    pub expert_slots_per_set: usize,
    /// New experts per layer set that one prepared expert map may place on a rank.
    pub new_experts_per_set_max: usize,
    /// Share of the per-token work that is done in experts.
    pub expert_share: f64,
    /// Time to copy one expert to a rank.
    pub expert_copy_time: Duration,
}

/// Longest time of a step or a copy that can be meant.
const TIME_MAX: Duration = Duration::from_secs(3600);
/// Largest number of experts in a set, limited by [`ExpertId`](crate::experts::ExpertId).
const EXPERTS_MAX: usize = 1 << 16;
/// Largest number of layer sets, more than any model has layers.
const LAYER_SETS_MAX: usize = 4096;
/// Largest number of steps in a pass.
const STEPS_PER_PASS_MAX: u32 = 4096;

impl EngineSpec {
    /// Names a figure that no engine can have, if there is one. Times computed from the others are
    /// finite.
    pub fn impossible_figure(&self) -> Option<&'static str> {
        let times = [self.step_time, self.step_time_per_request, self.expert_copy_time];
        let checks = [
            (self.slots > 0, "number of slots"),
            (times.iter().all(|t| *t <= TIME_MAX), "time of a step or a copy"),
            (self.prefill_tokens_per_s == 0.0 || self.prefill_tokens_per_s >= 1.0, "prefill rate"),
            ((1..=STEPS_PER_PASS_MAX).contains(&self.steps_per_pass), "number of steps in a pass"),
            ((0.0..=1.0).contains(&self.expert_share), "share of the experts"),
            (self.layer_sets <= LAYER_SETS_MAX, "number of layer sets"),
            (self.experts_per_set <= EXPERTS_MAX, "number of experts"),
            (self.layer_sets == 0 || self.experts_per_set > 0, "number of experts"),
            (self.expert_slots_per_set <= EXPERTS_MAX, "number of expert slots"),
        ];
        checks.iter().find(|(possible, _)| !possible).map(|(_, figure)| *figure)
    }

    /// Time of a forward pass in which every rank decodes `requests` requests and prefills
    /// `prompt_tokens` tokens, and the most loaded rank has `skew` times the mean expert load.
    pub fn pass_time(&self, requests: f64, prompt_tokens: f64, skew: f64) -> Duration {
        let imbalance = 1.0 - self.expert_share + self.expert_share * skew;
        let decode =
            self.step_time_per_request.as_secs_f64() * requests * f64::from(self.steps_per_pass);
        let prefill = if self.prefill_tokens_per_s > 0.0 {
            prompt_tokens / self.prefill_tokens_per_s
        } else {
            0.0
        };
        let fixed = self.step_time.as_secs_f64() * f64::from(self.steps_per_pass);
        Duration::from_secs_f64(fixed + (decode + prefill) * imbalance)
    }

    /// Number of experts that a rank can copy one after another within `time`, at least one.
    pub fn copies_within(&self, time: Duration) -> usize {
        if self.expert_copy_time.is_zero() {
            return self.layer_sets.max(1) * self.new_experts_per_set_max.max(1);
        }
        // The tolerance counts a copy that only rounding keeps from fitting.
        ((time.as_secs_f64() / self.expert_copy_time.as_secs_f64() + 1e-6) as usize).max(1)
    }

    /// Maximum number of requests per rank for which a forward pass takes no longer than `bound` at
    /// this skew; between 1 and [`EngineSpec::slots`].
    pub fn requests_within(&self, bound: Duration, prompt_tokens: f64, skew: f64) -> f64 {
        let idle_pass = self.pass_time(0.0, prompt_tokens, skew).as_secs_f64();
        let per_request = self.pass_time(1.0, prompt_tokens, skew).as_secs_f64() - idle_pass;
        if per_request <= 0.0 {
            return f64::from(self.slots);
        }
        ((bound.as_secs_f64() - idle_pass) / per_request).clamp(1.0, f64::from(self.slots))
    }
}
