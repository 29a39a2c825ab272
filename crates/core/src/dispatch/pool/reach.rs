//! Which endpoints a pool avoids because they may be unreachable.

use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::Pool;
use crate::dispatch::Member;
use crate::dispatch::MemberKey;
use crate::dispatch::Reachability;
use crate::dispatch::RequestOutcome;
use crate::dispatch::SharedReachability;

/// How an endpoint takes part in a selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Preference {
    /// It is a candidate.
    Normal,
    /// It is a candidate if none of the others has a free slot.
    Fallback,
    /// The request probes its failure domain.
    Probe,
    /// It is no candidate.
    Avoid,
}

/// Which endpoints one selection avoids.
pub(super) struct Avoidance {
    /// Domains to avoid, each with whether it may be probed.
    domains: SmallVec<[(String, bool); 2]>,
    /// Whether endpoints with a lagging report are a fallback only.
    lagging: bool,
}

impl Avoidance {
    pub(super) fn preference(&self, now: Instant, m: &Member) -> Preference {
        let lags = self.lagging && m.report_lags(now) == Some(true);
        let domain = &m.registration.heartbeat.domain;
        match self.domains.iter().find(|(d, _)| d == domain) {
            // The domain is probed once its reports resume.
            Some((_, probe_due)) if *probe_due && !lags => Preference::Probe,
            Some(_) => Preference::Avoid,
            None if lags => Preference::Fallback,
            None => Preference::Normal,
        }
    }
}

pub(super) fn lock(shared: &SharedReachability) -> MutexGuard<'_, Reachability> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Pool {
    /// Makes the pool share what is known of failure domains with the pools of other services.
    pub fn share_reachability(&mut self, shared: SharedReachability) {
        self.reachability = shared;
    }

    /// Records that a member has begun to respond, or goes on responding.
    pub fn record_reached(&mut self, now: Instant, key: MemberKey) {
        if let Some(m) = self.members.get(&key) {
            lock(&self.reachability).record_response(now, &m.registration.heartbeat.domain);
        }
    }

    /// Records what the outcome of a request that was sent `held` ago tells of its failure domain.
    pub(super) fn record_reachability(
        &mut self,
        now: Instant,
        key: MemberKey,
        outcome: RequestOutcome,
        held: Duration,
    ) {
        let Some(m) = self.members.get(&key) else { return };
        let (domain, address) = (&m.registration.heartbeat.domain, m.address());
        // Endpoints of a stalled group are silent as well, but their agents go on reporting.
        let reports = m.report_lags(now) == Some(false);
        let mut reachability = lock(&self.reachability);
        match outcome {
            RequestOutcome::Whole | RequestOutcome::Failed | RequestOutcome::Refused => {
                reachability.record_response(now, domain);
            }
            RequestOutcome::Unreachable => {
                reachability.record_failure(now, domain, address, held);
            }
            RequestOutcome::Silent if !reports => {
                reachability.record_failure(now, domain, address, held);
            }
            RequestOutcome::Silent
            | RequestOutcome::Ended
            | RequestOutcome::Broken
            | RequestOutcome::Unused => reachability.record_unknown(domain, address),
        }
    }

    /// Records that a request is sent to a member to probe its failure domain.
    pub(super) fn record_probe(&mut self, now: Instant, key: MemberKey) {
        if let Some(m) = self.members.get(&key) {
            let domain = &m.registration.heartbeat.domain;
            lock(&self.reachability).record_probe(now, domain, m.address());
        }
    }

    /// Which endpoints a request avoids that was sent to the members `tried` before.
    pub(super) fn avoidance(&self, now: Instant, tried: &[MemberKey]) -> Avoidance {
        let reachability = lock(&self.reachability);
        let any_suspect = reachability.any_suspect();
        let (mut reporting, mut lagging, mut sound) = (0_u32, 0_u32, false);
        let mut domains: SmallVec<[(String, bool); 2]> = SmallVec::new();
        for (key, m) in &self.members {
            if !m.is_available(now) || !self.in_service(m) {
                continue;
            }
            let lags = m.report_lags(now);
            reporting += u32::from(lags.is_some());
            lagging += u32::from(lags == Some(true));
            if !any_suspect {
                continue;
            }
            let domain = &m.registration.heartbeat.domain;
            if !reachability.is_suspect(domain) {
                sound |= !tried.contains(key);
            } else if !domains.iter().any(|(d, _)| d == domain) {
                domains.push((domain.clone(), reachability.is_probe_due(now, domain)));
            }
        }
        if !sound {
            domains.clear();
        }
        Avoidance { domains, lagging: 2 * lagging < reporting }
    }
}
