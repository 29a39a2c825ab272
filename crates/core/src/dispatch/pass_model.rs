//! [`PassModel`]: what the published figures of an engine say about the forward passes of its group.

use std::time::Duration;

use crate::traffic::EngineSpec;

/// Share of the promised gap within which the slowest passes are kept; the rest covers the way of an
/// event to the caller.
const GAP_SHARE: f64 = 0.95;
/// Largest skew that is derived from a pass; the limit has reached its lower bound before.
const SKEW_MAX: f64 = 16.0;

/// Published figures of an engine, and the gap between events that its service promises.
#[derive(Clone, Debug, PartialEq)]
pub struct PassModel {
    /// Figures of one rank.
    pub engine: EngineSpec,
    /// Mean number of prompt tokens that a rank prefills in one pass.
    pub prompt_tokens: f64,
    /// Promised upper bound of the gap between two events of a stream.
    pub gap_max: Duration,
    /// Expert load skew that the limit without observed passes is computed with.
    pub skew: f64,
    /// Smallest limit that is derived from observed passes, as a share of the limit without them; 1 if
    /// observed passes never lower it.
    pub limit_share_min: f64,
}

impl PassModel {
    /// The skew at which a pass with `requests` requests per rank takes as long as `pass`; at least 1.
    /// `None` for an engine whose passes do not depend on its experts.
    pub fn implied_skew(&self, pass: Duration, requests: f64) -> Option<f64> {
        let fixed = self.engine.pass_time(0.0, 0.0, 1.0).as_secs_f64();
        let even = self.engine.pass_time(requests, self.prompt_tokens, 1.0).as_secs_f64();
        if even <= fixed || self.engine.expert_share <= 0.0 {
            return None;
        }
        let imbalance = (pass.as_secs_f64() - fixed) / (even - fixed);
        Some((1.0 + (imbalance - 1.0) / self.engine.expert_share).clamp(1.0, SKEW_MAX))
    }

    /// Longest pass whose events arrive within the promised gap.
    pub fn pass_max(&self) -> Duration {
        self.gap_max.mul_f64(GAP_SHARE)
    }

    /// Streams per endpoint with which a pass at this skew stays within the promised gap: at most
    /// `bound`, at least [`PassModel::limit_share_min`] of it.
    pub fn streams_within(&self, skew: f64, bound: f64) -> f64 {
        let streams = self.engine.requests_within(self.pass_max(), self.prompt_tokens, skew);
        streams.clamp(bound * self.limit_share_min, bound)
    }
}
