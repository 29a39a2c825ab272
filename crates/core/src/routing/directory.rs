//! [`Directory`]: the endpoints of one service that have announced themselves.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::Announcement;
use super::Endpoint;
use super::EndpointKey;
use super::Load;

/// How long an endpoint is believed without a new announcement.
pub const ENDPOINT_LEASE: Duration = Duration::from_secs(6);

/// A limit that changes by more than one part in this many is news.
const LIMIT_NEWS_SHARE: u32 = 4;
/// A load that changes by more than one part of the limit in this many is news.
const LOAD_NEWS_SHARE: u32 = 8;

/// How long a silent endpoint stays in the arena before its place is used again.
const FORGET: Duration = Duration::from_secs(120);

/// What merging an announcement did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// A name not known before, or a new incarnation of one that is.
    New(EndpointKey),
    /// News of a known incarnation.
    Updated(EndpointKey),
    /// Nothing new: late, repeated or out of order.
    Stale,
    /// Another address announces itself under the name and its lease still holds.
    NameTaken,
}

/// An arena of endpoints, merged from direct announcements and from other entries.
///
/// Merging is idempotent and takes announcements in any order: within an incarnation the higher
/// sequence wins, between incarnations the higher one does.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    slots: Vec<Option<Endpoint>>,
    by_name: HashMap<String, EndpointKey>,
    revision: u64,
}

impl Directory {
    /// Takes an announcement, direct or passed on.
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

    /// Learns a load that came with an answer, newer than any announcement.
    pub fn update_load(&mut self, key: EndpointKey, load: Load) {
        let Some(e) = self.get_mut(key) else { return };
        e.announcement.load = load;
        e.local_in_flight_at_report = e.local_in_flight;
    }

    /// One endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.slots.get(key.0 as usize).and_then(Option::as_ref)
    }

    /// One endpoint, to change.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.slots.get_mut(key.0 as usize).and_then(Option::as_mut)
    }

    /// The endpoint of this name.
    pub fn by_name(&self, name: &str) -> Option<EndpointKey> {
        self.by_name.get(name).copied()
    }

    /// Every endpoint that is still remembered.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keyed = self.slots.iter().enumerate();
        keyed.filter_map(|(i, e)| Some((EndpointKey(i as u32), e.as_ref()?)))
    }

    /// Whether no endpoint has ever announced itself, or all have been forgotten.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Domains in which an endpoint has been found unreachable and not been heard of since.
    pub fn degraded_domains(&self) -> SmallVec<[&str; 4]> {
        let mut out = SmallVec::new();
        for e in self.slots.iter().flatten().filter(|e| e.unreachable_since.is_some()) {
            if !out.contains(&e.announcement.domain.as_str()) {
                out.push(e.announcement.domain.as_str());
            }
        }
        out
    }

    /// Endpoints of a domain, and how many of them cannot be reached.
    pub fn reachability(&self, now: Instant, domain: &str) -> (usize, usize) {
        let in_domain = self.slots.iter().flatten().filter(|e| e.announcement.domain == domain);
        in_domain.fold((0, 0), |(all, lost), e| {
            let gone = e.unreachable_since.is_some() || e.lease_expires_at <= now || e.stalled(now);
            (all + 1, lost + usize::from(gone))
        })
    }

    /// Marks every endpoint with whether configuration bars it.
    pub fn update_disabled(&mut self, disabled: impl Fn(&Endpoint) -> bool) {
        for e in self.slots.iter_mut().flatten() {
            e.disabled = disabled(e);
        }
    }

    /// What other entries should hear that has changed since `after`, and the revision to ask from next
    /// time.
    pub fn changed_since(&self, after: u64) -> (Vec<&Endpoint>, u64) {
        let news = self.slots.iter().flatten().filter(|e| e.revision > after).collect();
        (news, self.revision)
    }

    /// Drops endpoints that have been silent for long and have none of our requests.
    pub fn remove_expired(&mut self, now: Instant) {
        for slot in &mut self.slots {
            let gone = slot
                .as_ref()
                .is_some_and(|e| e.lease_expires_at + FORGET < now && e.local_in_flight == 0);
            if gone && let Some(e) = slot.take() {
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
        let news =
            restarted || self.get(key).is_none_or(|e| is_news(&e.announcement, &announcement));
        self.revision += u64::from(news);
        let revision = self.revision;
        let Some(e) = self.get_mut(key) else { return };
        e.lease_expires_at = e
            .lease_expires_at
            .max((now + ENDPOINT_LEASE).checked_sub(announcement.age).unwrap_or(now));
        e.announced_at = now.checked_sub(announcement.age).unwrap_or(now);
        e.local_in_flight_at_report = e.local_in_flight;
        if news {
            e.revision = revision;
        }
        if restarted || e.unreachable_since.is_some_and(|lost| e.announced_at > lost) {
            e.unreachable_since = None;
            e.backoff_until = None;
            e.consecutive_failures = 0;
        }
        e.announcement = announcement;
    }
}

/// Whether an announcement says something that other entries should hear before the next refresh.
fn is_news(old: &Announcement, new: &Announcement) -> bool {
    let (a, b) = (old.load, new.load);
    let limits = a.limit.abs_diff(b.limit) * LIMIT_NEWS_SHARE > a.limit.max(1);
    limits
        || a.draining != b.draining
        || a.engine_start != b.engine_start
        || a.in_flight.abs_diff(b.in_flight) * LOAD_NEWS_SHARE > b.limit.max(1)
        || old.config_version != new.config_version
}
