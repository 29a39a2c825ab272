//! KV memory that a pool's requests hold at its endpoints.

use std::time::Instant;

use super::DispatchRequest;
use super::Pool;
use crate::dispatch::Member;

impl Pool {
    /// Tokens of KV memory that a request is expected to hold; 0 if they are not limited.
    pub fn kv_need(&self, req: &DispatchRequest) -> u32 {
        let need = |kv: &super::KvSettings| kv.need(req.prompt_tokens, req.max_response_tokens);
        self.cfg.kv.as_ref().map_or(0, need)
    }

    /// Whether a request needs more KV memory than an engine has.
    pub(super) fn exceeds_kv(&self, need: u32) -> bool {
        self.cfg.kv.as_ref().is_some_and(|kv| !kv.fits(0.0, need))
    }

    /// Whether a request that needs `need` tokens fits the KV memory of a member. The requests of other
    /// gateways there are taken to need as much as the usual one, or the mean of this gateway's.
    pub(super) fn fits_kv(&self, now: Instant, m: &Member, need: u32) -> bool {
        let Some(kv) = &self.cfg.kv else { return true };
        let all = m.estimated_load(now, self.cfg.gateways.known());
        let others = (all - f64::from(m.in_flight)).max(0.0);
        let mean = self.kv_need.mean().unwrap_or(0.0).max(kv.usual());
        kv.fits(m.kv_tokens() as f64 + others * mean, need)
    }
}
