//! [`Directory`]: the announced endpoints of one service.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::Announcement;
use super::Endpoint;
use super::EndpointKey;
use super::Load;

/// Lease duration: an endpoint is usable for this long after its last announcement was made.
pub const ENDPOINT_LEASE: Duration = Duration::from_secs(6);

/// Inverse of the relative change of the limit above which an update is gossiped before the next
/// periodic refresh.
const LIMIT_CHANGE_DIVISOR: u32 = 4;
/// Inverse of the change in load, relative to the limit, above which an update is gossiped before
/// the next periodic refresh.
const LOAD_CHANGE_DIVISOR: u32 = 8;

/// How long an endpoint stays in the arena after its lease has expired, before its index is reused.
const EXPIRED_RETENTION: Duration = Duration::from_secs(120);

/// Result of merging an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// An unknown name, or a new incarnation of a known one.
    New(EndpointKey),
    /// A newer announcement of a known incarnation.
    Updated(EndpointKey),
    /// Late, duplicate or out of order, and therefore ignored.
    Stale,
    /// The name belongs to another address whose lease has not expired.
    NameTaken,
}

/// An arena of endpoints, merged from direct announcements and gossip between entries.
///
/// Merging is idempotent and independent of the order of arrival: the announcement with the higher
/// incarnation wins, and within an incarnation the one with the higher sequence number.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    slots: Vec<Option<Endpoint>>,
    by_name: HashMap<String, EndpointKey>,
    revision: u64,
}

impl Directory {
    /// Merges an announcement; `direct` when it came from the agent and not through another entry.
    pub fn merge(
        &mut self,
        now: Instant,
        announcement: Announcement,
        direct: bool,
    ) -> MergeOutcome {
        let Some(&key) = self.by_name.get(&announcement.name) else {
            return MergeOutcome::New(self.insert(now, announcement, direct));
        };
        let Some(old) = self.slots[key.0 as usize].as_ref() else { return MergeOutcome::Stale };
        let other_address = old.announcement.address != announcement.address;
        if other_address && old.lease_expires_at > now && announcement.age < ENDPOINT_LEASE {
            return MergeOutcome::NameTaken;
        }
        let newer = (announcement.incarnation, announcement.sequence)
            > (old.announcement.incarnation, old.announcement.sequence);
        if !newer {
            return MergeOutcome::Stale;
        }
        let restarted = announcement.incarnation != old.announcement.incarnation;
        self.update(now, key, announcement, restarted);
        if let Some(e) = self.get_mut(key) {
            e.direct = direct;
        }
        if restarted { MergeOutcome::New(key) } else { MergeOutcome::Updated(key) }
    }

    /// Replaces the load by one that came with a response and is newer than any announcement.
    pub fn update_load(&mut self, key: EndpointKey, load: Load) {
        let Some(e) = self.get_mut(key) else { return };
        e.announcement.load = load;
        e.local_in_flight_at_report = e.local_in_flight;
    }

    /// The endpoint with this key.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.slots.get(key.0 as usize).and_then(Option::as_ref)
    }

    /// The endpoint with this key, mutable.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.slots.get_mut(key.0 as usize).and_then(Option::as_mut)
    }

    /// The key of the endpoint with this name.
    pub fn by_name(&self, name: &str) -> Option<EndpointKey> {
        self.by_name.get(name).copied()
    }

    /// Every endpoint in the arena, including those whose lease has expired.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keyed = self.slots.iter().enumerate();
        keyed.filter_map(|(i, e)| Some((EndpointKey(i as u32), e.as_ref()?)))
    }

    /// Whether no endpoint has been announced yet, or all have been removed.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Domains with an endpoint that was found unreachable and has not announced itself since.
    pub fn degraded_domains(&self) -> SmallVec<[&str; 4]> {
        let mut out = SmallVec::new();
        for e in self.slots.iter().flatten().filter(|e| e.unreachable_since.is_some()) {
            if !out.contains(&e.announcement.domain.as_str()) {
                out.push(e.announcement.domain.as_str());
            }
        }
        out
    }

    /// Number of endpoints in a domain, and how many of them are unreachable, expired or stalled.
    pub fn reachability(&self, now: Instant, domain: &str) -> (usize, usize) {
        let in_domain = self.slots.iter().flatten().filter(|e| e.announcement.domain == domain);
        in_domain.fold((0, 0), |(total, lost), e| {
            let unavailable =
                e.unreachable_since.is_some() || e.lease_expires_at <= now || e.stalled(now);
            (total + 1, lost + usize::from(unavailable))
        })
    }

    /// Recomputes for every endpoint whether configuration disables it.
    pub fn update_disabled(&mut self, disabled: impl Fn(&Endpoint) -> bool) {
        for e in self.slots.iter_mut().flatten() {
            e.disabled = disabled(e);
        }
    }

    /// Endpoints with changes to gossip after revision `after`, and the revision to pass next time.
    pub fn changed_since(&self, after: u64) -> (Vec<&Endpoint>, u64) {
        let changed = self.slots.iter().flatten().filter(|e| e.revision > after).collect();
        (changed, self.revision)
    }

    /// Removes endpoints whose lease expired long ago and that run no request of this entry.
    pub fn remove_expired(&mut self, now: Instant) {
        for slot in &mut self.slots {
            let removable = slot.as_ref().is_some_and(|e| {
                e.lease_expires_at + EXPIRED_RETENTION < now && e.local_in_flight == 0
            });
            if removable && let Some(e) = slot.take() {
                self.by_name.remove(&e.announcement.name);
            }
        }
    }

    fn insert(&mut self, now: Instant, announcement: Announcement, direct: bool) -> EndpointKey {
        let free = self.slots.iter().position(Option::is_none);
        let index = free.unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let key = EndpointKey(index as u32);
        self.revision += 1;
        self.by_name.insert(announcement.name.clone(), key);
        self.slots[index] = Some(Endpoint {
            lease_expires_at: (now + ENDPOINT_LEASE).checked_sub(announcement.age).unwrap_or(now),
            announced_at: now.checked_sub(announcement.age).unwrap_or(now),
            announcement,
            local_in_flight: 0,
            local_in_flight_at_report: 0,
            awaiting_first_byte: 0,
            first_byte_awaited_since: None,
            unreachable_since: None,
            backoff_until: None,
            consecutive_failures: 0,
            direct,
            disabled: false,
            revision: self.revision,
        });
        key
    }

    fn update(
        &mut self,
        now: Instant,
        key: EndpointKey,
        announcement: Announcement,
        restarted: bool,
    ) {
        let changed = restarted
            || self.get(key).is_none_or(|e| is_significant_change(&e.announcement, &announcement));
        self.revision += u64::from(changed);
        let revision = self.revision;
        let Some(e) = self.get_mut(key) else { return };
        e.lease_expires_at = e
            .lease_expires_at
            .max((now + ENDPOINT_LEASE).checked_sub(announcement.age).unwrap_or(now));
        e.announced_at = now.checked_sub(announcement.age).unwrap_or(now);
        e.local_in_flight_at_report = e.local_in_flight;
        if changed {
            e.revision = revision;
        }
        if restarted || e.unreachable_since.is_some_and(|at| e.announced_at > at) {
            e.unreachable_since = None;
            e.backoff_until = None;
            e.consecutive_failures = 0;
        }
        e.announcement = announcement;
    }
}

/// Whether an announcement should be gossiped without waiting for the next periodic refresh.
fn is_significant_change(old: &Announcement, new: &Announcement) -> bool {
    let (a, b) = (old.load, new.load);
    let limits = a.limit.abs_diff(b.limit) * LIMIT_CHANGE_DIVISOR > a.limit.max(1);
    limits
        || a.draining != b.draining
        || a.engine_start != b.engine_start
        || a.in_flight.abs_diff(b.in_flight) * LOAD_CHANGE_DIVISOR > b.limit.max(1)
        || old.config_version != new.config_version
}
