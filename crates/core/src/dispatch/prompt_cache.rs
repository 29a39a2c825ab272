//! [`PromptCache`]: which beginnings of prompts the endpoints of a service are believed to hold.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::MemberKey;
use crate::control::PromptPart;

/// A part of a prompt with its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizedPart {
    /// Identity of the part.
    pub part: PromptPart,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// A prompt up to and including one of its parts, at one endpoint.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Length of the last part.
    tokens: u32,
    used_at: Instant,
    /// Position in [`EndpointRecord::by_use`].
    order: u64,
}

/// What one endpoint is believed to hold.
#[derive(Clone, Debug, Default)]
struct EndpointRecord {
    /// By the hash of the prompt up to and including the part.
    entries: HashMap<u64, Entry>,
    /// Keys of `entries`, the least recently used one first.
    by_use: BTreeMap<u64, u64>,
    /// Sum of the tokens of all entries.
    tokens: u64,
}

impl EndpointRecord {
    fn insert(&mut self, prefix: u64, entry: Entry) {
        self.tokens += u64::from(entry.tokens);
        self.by_use.insert(entry.order, prefix);
        if let Some(before) = self.entries.insert(prefix, entry) {
            self.tokens -= u64::from(before.tokens);
            self.by_use.remove(&before.order);
        }
    }

    fn remove_least_recently_used(&mut self) -> bool {
        let Some((_, prefix)) = self.by_use.pop_first() else { return false };
        if let Some(entry) = self.entries.remove(&prefix) {
            self.tokens -= u64::from(entry.tokens);
        }
        true
    }

    fn remove_expired(&mut self, now: Instant, ttl: Duration) {
        while let Some((_, prefix)) = self.by_use.first_key_value() {
            let used_at = self.entries.get(prefix).map(|e| e.used_at);
            if used_at.is_some_and(|at| now.saturating_duration_since(at) < ttl) {
                return;
            }
            self.remove_least_recently_used();
        }
    }
}

/// Bounded record of the prompt parts that one gateway has sent to each endpoint, and when.
///
/// A part counts as held only behind the same parts: an engine can reuse its work on a part only if
/// everything before it is the same.
#[derive(Clone, Debug)]
pub struct PromptCache {
    ttl: Duration,
    entries_max: usize,
    endpoints: HashMap<MemberKey, EndpointRecord>,
    len: usize,
    last_order: u64,
    next_sweep_at: Option<Instant>,
}

/// Sweeps of expired entries of all endpoints per lifetime of an entry. Endpoints that get no more
/// prompts would keep theirs otherwise.
const SWEEPS_PER_TTL: u32 = 4;
/// Hash of the empty prompt.
const EMPTY_PREFIX: u64 = 0;
/// Odd constants of a multiplicative hash (SplitMix64), which spreads ids that differ in few bits.
const HASH_FACTORS: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];

/// Hash of a prompt that continues the one with the hash `prefix` by a part.
fn extend(prefix: u64, part: &SizedPart) -> u64 {
    let mut hash = prefix.rotate_left(23) ^ part.part.0 ^ (u64::from(part.tokens) << 40);
    hash = (hash ^ (hash >> 30)).wrapping_mul(HASH_FACTORS[0]);
    hash = (hash ^ (hash >> 27)).wrapping_mul(HASH_FACTORS[1]);
    hash ^ (hash >> 31)
}

impl PromptCache {
    /// Upper bound of the memory of one entry in bytes. Hash tables and trees are filled to half of
    /// their places at least.
    pub const ENTRY_BYTES: usize = 2 * (size_of::<(u64, Entry)>() + size_of::<(u64, u64)>());

    /// Creates an empty record of at most `entries_max` entries, each of which is dropped `ttl` after
    /// its last use.
    pub fn new(ttl: Duration, entries_max: usize) -> Self {
        Self {
            ttl,
            entries_max,
            endpoints: HashMap::new(),
            len: 0,
            last_order: 0,
            next_sweep_at: None,
        }
    }

    /// Tokens of the leading parts that the endpoint is believed to hold.
    pub fn saved(&self, now: Instant, endpoint: MemberKey, parts: &[SizedPart]) -> u32 {
        let Some(record) = self.endpoints.get(&endpoint) else { return 0 };
        let (mut prefix, mut saved) = (EMPTY_PREFIX, 0_u32);
        for part in parts {
            prefix = extend(prefix, part);
            let Some(entry) = record.entries.get(&prefix) else { break };
            if now.saturating_duration_since(entry.used_at) >= self.ttl {
                break;
            }
            saved = saved.saturating_add(entry.tokens);
        }
        saved
    }

    /// Records a prompt that the endpoint has taken. The endpoint has memory for `room` tokens of
    /// prompts of this gateway.
    pub fn record_sent(
        &mut self,
        now: Instant,
        endpoint: MemberKey,
        parts: &[SizedPart],
        room: u64,
    ) {
        self.sweep(now);
        let record = self.endpoints.entry(endpoint).or_default();
        let before = record.entries.len();
        let mut prefix = EMPTY_PREFIX;
        // The first part counts as used last: without it, the others are of no use.
        let last_order = self.last_order + parts.len() as u64;
        for (i, part) in parts.iter().enumerate() {
            prefix = extend(prefix, part);
            let order = last_order - i as u64;
            record.insert(prefix, Entry { tokens: part.tokens, used_at: now, order });
        }
        self.last_order = last_order;
        self.len = self.len - before + record.entries.len();
        self.trim(endpoint, room);
        while self.len > self.entries_max && self.remove_least_recently_used() {}
    }

    /// Drops the least recently used entries of an endpoint that exceed its `room` in tokens.
    pub fn trim(&mut self, endpoint: MemberKey, room: u64) {
        let Some(record) = self.endpoints.get_mut(&endpoint) else { return };
        while record.tokens > room && record.remove_least_recently_used() {
            self.len -= 1;
        }
    }

    /// Drops the least recently used entry of all endpoints.
    fn remove_least_recently_used(&mut self) -> bool {
        let oldest = |r: &EndpointRecord| r.by_use.first_key_value().map(|(order, _)| *order);
        let records = self.endpoints.values_mut().filter(|r| oldest(r).is_some());
        let removed =
            records.min_by_key(|r| oldest(r)).is_some_and(|r| r.remove_least_recently_used());
        self.len -= usize::from(removed);
        removed
    }

    fn sweep(&mut self, now: Instant) {
        if self.next_sweep_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_sweep_at = Some(now + self.ttl / SWEEPS_PER_TTL);
        for record in self.endpoints.values_mut() {
            record.remove_expired(now, self.ttl);
        }
        self.endpoints.retain(|_, record| !record.entries.is_empty());
        self.len = self.endpoints.values().map(|r| r.entries.len()).sum();
    }

    /// Drops what is known of an endpoint, whose incarnation has ended.
    pub fn forget(&mut self, endpoint: MemberKey) {
        if let Some(record) = self.endpoints.remove(&endpoint) {
            self.len -= record.entries.len();
        }
    }

    /// Drops what is known of all endpoints.
    pub fn forget_all(&mut self) {
        self.endpoints.clear();
        self.len = 0;
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is known of any endpoint.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Tokens that an endpoint is believed to hold.
    pub fn tokens(&self, endpoint: MemberKey) -> u64 {
        self.endpoints.get(&endpoint).map_or(0, |r| r.tokens)
    }
}
