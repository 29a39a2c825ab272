//! Explanation of a dispatch, on a copy of the pool.

use std::time::Instant;

use super::DispatchRequest;
use super::Pool;
use crate::dispatch::ExplainedMember;
use crate::dispatch::Explanation;
use crate::dispatch::HeldBack;

impl Pool {
    /// Where [`Pool::dispatch`] would send a request now, and why. The same functions decide on a copy,
    /// so the state of this pool does not change.
    pub fn explain(&self, now: Instant, req: &DispatchRequest) -> Explanation {
        let mut copy = self.clone();
        let ahead = copy.queue.ahead(req.priority);
        let fleet = copy.current_fleet_load(now);
        let queued = (ahead > 0).then_some(HeldBack::QueuedAhead(ahead));
        let held_back = copy.limit_reached(now, &fleet).or(queued);
        let (candidates, weights) =
            copy.rank(now, &fleet, req.prompt_tokens, &req.parts, &req.tried);
        let total: f64 = weights.iter().sum();
        let gateways = self.cfg.gateways.known();
        let mut members = Vec::new();
        for (key, m) in &self.members {
            let ranked = candidates.iter().position(|c| c.key == *key);
            let probability = ranked.map_or(0.0, |i| weights[i] / total.max(f64::MIN_POSITIVE));
            let saved_tokens = self.believed_saving(now, *key, &req.parts);
            members.push(ExplainedMember {
                key: *key,
                obstacle: copy.obstacle(now, *key, &req.tried),
                load: m.estimated_load(now, gateways),
                report_age: m.report_age(now),
                saved_tokens,
                saved: self.saved_time(saved_tokens),
                score: self.score(now, m, req.prompt_tokens),
                probability,
            });
        }
        let expected_wait = self.expected_wait(now, ahead + 1);
        let decision = self.clone().dispatch(now, req);
        Explanation { decision, held_back, expected_wait, members }
    }
}
