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
pub const LEASE: Duration = Duration::from_secs(6);

/// A limit that changes by more than one part in this many is news.
const LIMIT_NEWS_SHARE: u32 = 4;
/// A load that changes by more than one part of the limit in this many is news.
const LOAD_NEWS_SHARE: u32 = 8;

/// How long a silent endpoint stays in the arena before its place is used again.
const FORGET: Duration = Duration::from_secs(120);

/// What merging an announcement did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// A name not known before, or a new incarnation of one that is.
    New(EndpointKey),
    /// News of a known incarnation.
    Fresh(EndpointKey),
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
    pub fn merge(&mut self, now: Instant, said: Announcement, direct: bool) -> Merged {
        let Some(&key) = self.by_name.get(&said.name) else {
            return Merged::New(self.insert(now, said, direct));
        };
        let Some(old) = self.slots[key.0 as usize].as_ref() else { return Merged::Stale };
        let other_address = old.said.address != said.address;
        if other_address && old.expires > now && said.age < LEASE {
            return Merged::NameTaken;
        }
        let newer = (said.incarnation, said.sequence) > (old.said.incarnation, old.said.sequence);
        if !newer {
            return Merged::Stale;
        }
        let restarted = said.incarnation != old.said.incarnation;
        self.update(now, key, said, restarted);
        if let Some(e) = self.get_mut(key) {
            e.direct = direct;
        }
        if restarted { Merged::New(key) } else { Merged::Fresh(key) }
    }

    /// Learns a load that came with an answer, newer than any announcement.
    pub fn load(&mut self, key: EndpointKey, load: Load) {
        let Some(e) = self.get_mut(key) else { return };
        e.said.load = load;
        e.own_at_report = e.own;
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
    pub fn doubted_domains(&self) -> SmallVec<[&str; 4]> {
        let mut out = SmallVec::new();
        for e in self.slots.iter().flatten().filter(|e| e.lost_at.is_some()) {
            if !out.contains(&e.said.domain.as_str()) {
                out.push(e.said.domain.as_str());
            }
        }
        out
    }

    /// Endpoints of a domain, and how many of them cannot be reached.
    pub fn reach(&self, now: Instant, domain: &str) -> (usize, usize) {
        let own = self.slots.iter().flatten().filter(|e| e.said.domain == domain);
        own.fold((0, 0), |(all, lost), e| {
            let gone = e.lost_at.is_some() || e.expires <= now || e.stalled(now);
            (all + 1, lost + usize::from(gone))
        })
    }

    /// Marks every endpoint with whether configuration bars it.
    pub fn bar(&mut self, barred: impl Fn(&Endpoint) -> bool) {
        for e in self.slots.iter_mut().flatten() {
            e.barred = barred(e);
        }
    }

    /// What other entries should hear that has changed since `after`, and the revision to ask from next
    /// time.
    pub fn since(&self, after: u64) -> (Vec<&Endpoint>, u64) {
        let news = self.slots.iter().flatten().filter(|e| e.revision > after).collect();
        (news, self.revision)
    }

    /// Drops endpoints that have been silent for long and have none of our requests.
    pub fn forget_silent(&mut self, now: Instant) {
        for slot in &mut self.slots {
            let gone = slot.as_ref().is_some_and(|e| e.expires + FORGET < now && e.own == 0);
            if gone && let Some(e) = slot.take() {
                self.by_name.remove(&e.said.name);
            }
        }
    }

    fn insert(&mut self, now: Instant, said: Announcement, direct: bool) -> EndpointKey {
        let free = self.slots.iter().position(Option::is_none);
        let index = free.unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let key = EndpointKey(index as u32);
        self.revision += 1;
        self.by_name.insert(said.name.clone(), key);
        self.slots[index] = Some(Endpoint {
            expires: (now + LEASE).checked_sub(said.age).unwrap_or(now),
            said_at: now.checked_sub(said.age).unwrap_or(now),
            said,
            own: 0,
            own_at_report: 0,
            awaiting: 0,
            awaiting_since: None,
            lost_at: None,
            pause_until: None,
            misses: 0,
            direct,
            barred: false,
            revision: self.revision,
        });
        key
    }

    fn update(&mut self, now: Instant, key: EndpointKey, said: Announcement, restarted: bool) {
        let news = restarted || self.get(key).is_none_or(|e| is_news(&e.said, &said));
        self.revision += u64::from(news);
        let revision = self.revision;
        let Some(e) = self.get_mut(key) else { return };
        e.expires = e.expires.max((now + LEASE).checked_sub(said.age).unwrap_or(now));
        e.said_at = now.checked_sub(said.age).unwrap_or(now);
        e.own_at_report = e.own;
        if news {
            e.revision = revision;
        }
        if restarted || e.lost_at.is_some_and(|lost| e.said_at > lost) {
            e.lost_at = None;
            e.pause_until = None;
            e.misses = 0;
        }
        e.said = said;
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
