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
    /// Time to copy one expert to a rank.
    pub copy: Duration,
}
