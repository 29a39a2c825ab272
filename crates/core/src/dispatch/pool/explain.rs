//! Explanation of a dispatch, on a copy of the pool.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use super::DispatchRequest;
use super::Pool;
use super::reach;
use super::reach::Preference;
use super::selection::Demand;
use crate::dispatch::DispatchDecision;
use crate::dispatch::ExplainedMember;
use crate::dispatch::Explanation;
use crate::dispatch::HeldBack;
use crate::dispatch::Obstacle;

impl Pool {
    /// Where [`Pool::dispatch`] would send a request now, and why. The same functions decide on a copy,
    /// so the state of this pool does not change.
    pub fn explain(&self, now: Instant, req: &DispatchRequest) -> Explanation {
        let mut copy = self.detached();
        let decision = self.detached().dispatch(now, req);
        let mut place = copy.arrive(now, req);
        let kv_tokens = copy.kv_need(req);
        let demand = Demand {
            prompt_tokens: req.prompt_tokens,
            kv_tokens,
            parts: &req.parts,
            tried: &req.tried,
        };
        let ahead = copy.queue.ahead(place.priority);
        let limit = copy.admission_limit(now, &place);
        let (fleet, limit_reached) = match copy.limit_reached(now, limit) {
            Ok(fleet) => (fleet, None),
            Err(held_back) => (copy.current_fleet_load(now, limit), Some(held_back)),
        };
        let exceeds_kv = copy.exceeds_kv(kv_tokens).then_some(HeldBack::KvMemory);
        let queued = (ahead > 0).then_some(HeldBack::QueuedAhead(ahead));
        let held_back = exceeds_kv.or(limit_reached).or(queued);
        let avoidance = copy.avoidance(now, &req.tried);
        let ranking = copy.rank(now, &fleet, &demand, &avoidance);
        let chances = copy.chances(&ranking);
        let gateways = self.cfg.gateways.known();
        let mut members = Vec::new();
        for (key, m) in &self.members {
            let ranked = ranking.candidates.iter().position(|c| c.key == *key);
            let not_ranked = || {
                let lags = avoidance.preference(now, m) == Preference::Fallback;
                let reasons =
                    [(ranking.is_probe, Obstacle::OtherProbed), (lags, Obstacle::LaggingReport)];
                reasons.into_iter().find(|(applies, _)| *applies).map(|(_, o)| o)
            };
            let obstacle = copy.obstacle(now, *key, &demand, &avoidance);
            let saved_tokens = self.believed_saving(now, *key, &req.parts);
            members.push(ExplainedMember {
                key: *key,
                obstacle: obstacle.or_else(|| ranked.is_none().then(not_ranked).flatten()),
                load: m.estimated_load(now, gateways),
                report_age: m.report_age(now),
                saved_tokens,
                saved: self.saved_time(saved_tokens),
                score: copy.ranking_score(now, m, req.prompt_tokens),
                probability: ranked.map_or(0.0, |i| chances[i]),
            });
        }
        let class_at_once = place.class;
        let expected_wait = self.wait_in_queue(now, &mut place);
        let class = match decision {
            DispatchDecision::Send(_) => class_at_once,
            DispatchDecision::Wait(..) | DispatchDecision::Refuse(_) => place.class,
        };
        Explanation { decision, held_back, class, expected_wait, members }
    }

    /// A copy that does not share what is known of failure domains, so that its probes are not recorded.
    fn detached(&self) -> Self {
        let mut copy = self.clone();
        copy.reachability = Arc::new(Mutex::new(reach::lock(&self.reachability).clone()));
        copy
    }
}
