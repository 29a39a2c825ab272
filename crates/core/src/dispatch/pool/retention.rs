//! Prompts that endpoints retain, in the selection of an endpoint.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::Pool;
use super::selection::Candidate;
use crate::dispatch::EndpointWait;
use crate::dispatch::Member;
use crate::dispatch::MemberKey;
use crate::dispatch::PromptRetention;
use crate::dispatch::RetentionStatus;
use crate::dispatch::SizedPart;
use crate::dispatch::StartedPrompt;

/// Part of the largest gain from which an endpoint is chosen for what it retains. Among several such
/// endpoints, the load decides.
const GAIN_SHARE: f64 = 0.5;

impl Pool {
    /// Tokens of the leading parts of a prompt that a member is believed to hold.
    pub fn believed_saving(&self, now: Instant, key: MemberKey, parts: &[SizedPart]) -> u32 {
        self.retention.as_ref().map_or(0, |r| r.saved(now, key, parts))
    }

    /// Records that the response to a request with this prompt has started.
    pub fn record_prompt_started(
        &mut self,
        now: Instant,
        key: MemberKey,
        prompt: &StartedPrompt<'_>,
    ) {
        let Some(m) = self.members.get(&key).filter(|m| self.is_current(key, m)) else { return };
        let room = self.retention_room(now, m);
        if let Some(r) = &mut self.retention {
            r.record_started(now, key, prompt, room);
        }
    }

    /// Prefill time of `tokens` retained tokens; zero if retention is off.
    pub(super) fn saved_time(&self, tokens: u32) -> Duration {
        let settings = self.retention.as_ref().map(PromptRetention::settings);
        settings.map_or(Duration::ZERO, |s| s.prefill_time(u64::from(tokens)))
    }

    /// State of retention; `None` if it is off.
    pub fn retention_status(&self, now: Instant) -> Option<RetentionStatus> {
        self.retention.as_ref().map(|r| r.status(now))
    }

    /// Whether the member is its endpoint's newest incarnation.
    fn is_current(&self, key: MemberKey, m: &Member) -> bool {
        self.by_id.get(&m.registration.heartbeat.id) == Some(&key)
    }

    /// Tokens of KV memory that prompts of this gateway may use at a member.
    fn retention_room(&self, now: Instant, m: &Member) -> u64 {
        let gateways = self.cfg.gateways.known();
        let settings = self.retention.as_ref().map(PromptRetention::settings);
        settings.map_or(0, |s| s.room(m.estimated_load(now, gateways), gateways))
    }

    fn endpoint_wait(&self, now: Instant, m: &Member) -> EndpointWait {
        let gateways = self.cfg.gateways.known();
        // The other gateways may have sent as many requests for the same prompt as this one, which the
        // endpoint's last report does not contain yet.
        let others = f64::from(gateways.saturating_sub(1));
        let unseen =
            if m.reported_load(now).is_some() { m.unreported_net().max(0.0) * others } else { 0.0 };
        EndpointWait {
            requests: m.estimated_load(now, gateways) + unseen,
            pending_prompt_tokens: m.pending_prompt_tokens,
            group_pass: None,
            other_domain: m.registration.heartbeat.domain != self.cfg.domain,
        }
    }

    /// Keeps only those candidates at which the request gains time by what they retain, if there are
    /// any. `weights` are the probabilities, up to a factor, of the choice by load alone.
    pub(super) fn keep_retaining(
        &mut self,
        now: Instant,
        candidates: &mut SmallVec<[Candidate; 32]>,
        weights: &[f64],
        parts: &[SizedPart],
    ) {
        if self.retention.is_none() || parts.is_empty() {
            return;
        }
        for c in candidates.iter_mut() {
            let Some(m) = self.members.get(&c.key) else { continue };
            let (room, wait) = (self.retention_room(now, m), self.endpoint_wait(now, m));
            let Some(r) = &mut self.retention else { return };
            r.trim(c.key, room);
            c.saved_tokens = r.saved(now, c.key, parts);
            c.saved = r.settings().prefill_time(u64::from(c.saved_tokens));
            c.wait_s = r.settings().wait_s(&wait);
        }
        let Some(settings) = self.retention.as_ref().map(PromptRetention::settings) else { return };
        if candidates.iter().all(|c| c.saved == Duration::ZERO) {
            return;
        }
        let total: f64 = weights.iter().sum();
        let mean = |value: fn(&Candidate) -> f64| {
            candidates.iter().zip(weights).map(|(c, w)| value(c) * w).sum::<f64>()
                / total.max(f64::MIN_POSITIVE)
        };
        let usual_saved_s = mean(|c| c.saved.as_secs_f64());
        let usual_wait_s = mean(|c| c.wait_s);
        let gain_s = |c: &Candidate| {
            settings.gain_s(c.saved.as_secs_f64(), c.wait_s, usual_saved_s, usual_wait_s)
        };
        let best = candidates.iter().map(gain_s).fold(0.0, f64::max);
        if best > 0.0 {
            candidates.retain(|c| gain_s(c) >= best * GAIN_SHARE);
        }
    }
}
