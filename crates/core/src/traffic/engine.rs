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
    pub read_per_s: f64,
    /// Token steps in one pass; a stream's event carries the tokens of a pass.
    pub stride: u32,
    /// Prompt tokens that are read in one step at most.
    pub chunk: u32,
    /// Mean tokens of a prompt.
    pub usual_prompt: u32,
    /// Mean tokens of an answer.
    pub usual_answer: u32,
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
    pub copy: Duration,
}

impl EngineSpec {
    /// Time of a pass with `requests` at every rank, and prompts of `prompt` tokens read at every
    /// rank, when the most loaded rank has `skew` times the mean.
    pub fn pass(&self, requests: f64, prompt: f64, skew: f64) -> Duration {
        let uneven = 1.0 - self.expert_share + self.expert_share * skew;
        let writing = self.step_per_request.as_secs_f64() * requests * f64::from(self.stride);
        let reading = if self.read_per_s > 0.0 { prompt / self.read_per_s } else { 0.0 };
        let fixed = self.step.as_secs_f64() * f64::from(self.stride);
        Duration::from_secs_f64(fixed + (writing + reading) * uneven)
    }

    /// Experts that a rank copies, one after another, within `time`; one at least.
    pub fn copies_within(&self, time: Duration) -> usize {
        if self.copy.is_zero() {
            return self.sets.max(1) * self.spare.max(1);
        }
        // A copy that fits but for rounding counts.
        ((time.as_secs_f64() / self.copy.as_secs_f64() + 1e-6) as usize).max(1)
    }

    /// Most requests at every rank with which a pass stays within `bound` at this skew.
    pub fn requests_within(&self, bound: Duration, prompt: f64, skew: f64) -> f64 {
        let none = self.pass(0.0, prompt, skew).as_secs_f64();
        let each = self.pass(1.0, prompt, skew).as_secs_f64() - none;
        if each <= 0.0 {
            return f64::from(self.slots);
        }
        ((bound.as_secs_f64() - none) / each).clamp(1.0, f64::from(self.slots))
    }
}
