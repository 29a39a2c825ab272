//! [`CrashEvidence`]: which part of their prompts makes requests crash endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crocustally_wire::BlockedParts;
use crocustally_wire::EndState;
use crocustally_wire::EndpointEnd;
use crocustally_wire::GroupEvidence;
use crocustally_wire::ServiceEvidence;
use crocustally_wire::ServiceParts;
use crocustally_wire::ServiceSuspects;
use crocustally_wire::SuspectParts;
use crocustally_wire::TrialRequest;

use super::PromptPart;

/// Independent ends under a part, with no sound answer since the first, after which the part is blocked
/// if it was in flight at all ends since the first. Two may be a coincidence.
pub const ENDS_BEFORE_BLOCK: usize = 3;
/// The same if endpoints have also ended without the part meanwhile, so that there is another cause,
/// and a part may have been in flight at ends of both.
const ENDS_BEFORE_MIXED_BLOCK: usize = 4;
/// Ends retained for each service; the oldest is dropped first. More than a region has endpoints.
const ENDS_RETAINED: usize = 1024;
/// Suspect parts retained for each service; those with the fewest ends are dropped first. As many as 43
/// prompts have that fill a head of 16 KiB, more than an endpoint runs at a time, so that nothing that was
/// in flight at one end is dropped because of it.
pub const PARTS_RETAINED: usize = 131_072;
/// Blocks of each service. Each has cost three endpoints; while there are as many, no more are added, so
/// that nobody can push out what is known.
const BLOCKS_MAX: usize = 256;
/// Suspect parts that gateways watch for sound answers, for each service: 512 KiB in a message to each.
pub const PARTS_WATCHED: usize = 65_536;
/// Ends whose parts gateways watch if they are the only ones under these parts. A part that was in flight at
/// one end long ago is watched again from the next one on; most of them never come again.
const ENDS_WATCHED: u64 = 16;

/// Time in milliseconds from a block to its first trial; each further interval is
/// [`TRIAL_INTERVAL_FACTOR`] times as long.
pub const FIRST_TRIAL_AFTER_MS: u64 = 60_000;
const TRIAL_INTERVAL_FACTOR: u64 = 8;
/// Trials of a block, after which only an operator lifts it. Each may cost an endpoint.
pub const TRIALS_MAX: u32 = 3;

/// List of parts in ascending order, each once.
type Parts = Vec<PromptPart>;

/// Key of a [`Group`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey(u64);

/// Evidence on all services, replicated so that it survives any process.
///
/// Endpoints end while they hold requests. Each of these is as near to the end as the one that caused
/// it, so every part of each is a suspect. A part stops being one as soon as an answer on it turns out
/// sound. What is left after three independent ends is blocked, the part with the most ends first, and
/// its ends no longer speak against the others. An end is independent of an earlier one if its requests
/// were sent after that: endpoints that end together, such as those of a rack, have one cause. Parts that
/// the evidence cannot tell apart, because they always came together, are blocked together: only requests
/// with all of them are refused.
///
/// Parts that have come in the same requests so far form a group with one record of ends. So the evidence
/// grows with the number of parts, and not with its square, however long prompts are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    services: BTreeMap<String, Evidence>,
}

/// Evidence on one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Evidence {
    ends: VecDeque<End>,
    ends_seen: u64,
    /// Number of reports, which orders parts by age.
    reports: u64,
    groups: BTreeMap<GroupKey, Group>,
    group_of: BTreeMap<PromptPart, GroupKey>,
    groups_seen: u64,
    blocks: Vec<Block>,
}

/// End of one incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
struct End {
    number: u64,
    endpoint: String,
    born_ms: u64,
    noticed_ms: u64,
}

/// Parts under which endpoints have ended since their last sound answer, and which have come in the same
/// requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Group {
    parts: Parts,
    /// Numbers of the ends, and when the first request with the parts was sent to each endpoint.
    ends: BTreeMap<u64, u64>,
    reported_at: u64,
}

/// Parts whose requests are refused, if they have all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Block {
    parts: Parts,
    since_ms: u64,
    endpoints: Vec<String>,
    trials: u32,
}

impl CrashEvidence {
    /// Records an endpoint's end, or adds what another gateway had in flight there. `at_ms` is the
    /// proposer's wall clock.
    pub fn record_end(&mut self, at_ms: u64, end: &EndpointEnd) {
        self.services.entry(end.service.clone()).or_default().record_end(at_ms, end);
    }

    /// Clears parts on which an answer has turned out sound.
    pub fn record_sound(&mut self, sound: &ServiceParts) {
        if let Some(evidence) = self.services.get_mut(&sound.service) {
            evidence.clear(to_parts(&sound.parts));
        }
    }

    /// Lifts the refusal of a part; it is blocked again after as many ends as any other. Returns
    /// whether it was refused.
    pub fn lift(&mut self, service: &str, part: PromptPart) -> bool {
        let Some(evidence) = self.services.get_mut(service) else { return false };
        let blocked = evidence.blocks.iter().any(|b| b.has(part));
        evidence.clear(vec![part]);
        blocked
    }

    /// Whether a trial of a block is due: one request with its parts, which lifts the refusal if its
    /// answer turns out sound.
    pub fn trial_due(&self, trial: &TrialRequest) -> bool {
        let Some(evidence) = self.services.get(&trial.service) else { return false };
        evidence.blocks.iter().any(|b| b.is(&trial.parts) && b.trial_due(trial.at_ms))
    }

    /// Grants a trial if it is due.
    pub fn grant_trial(&mut self, trial: &TrialRequest) -> bool {
        let due = self.trial_due(trial);
        if let (true, Some(evidence)) = (due, self.services.get_mut(&trial.service)) {
            let blocks = evidence.blocks.iter_mut();
            blocks.filter(|b| b.is(&trial.parts)).for_each(|b| b.trials += 1);
        }
        due
    }

    /// Those of some parts that are suspected or blocked.
    pub fn suspects_among(&self, sound: &ServiceParts) -> Vec<u64> {
        let Some(evidence) = self.services.get(&sound.service) else { return Vec::new() };
        sound.parts.iter().copied().filter(|p| evidence.concerns(PromptPart(*p))).collect()
    }

    /// Number of suspected parts of all services.
    pub fn suspect_count(&self) -> usize {
        self.services.values().map(|e| e.group_of.len()).sum()
    }

    /// Whether the same requests are refused.
    pub fn has_same_blocks(&self, other: &Self) -> bool {
        self.blocks().eq(other.blocks())
    }

    /// All blocks with their services.
    fn blocks(&self) -> impl Iterator<Item = (&String, &Block)> {
        let services = self.services.iter();
        services.flat_map(|(service, e)| e.blocks.iter().map(move |block| (service, block)))
    }

    /// What gateways watch and refuse.
    pub fn suspect_parts(&self) -> SuspectParts {
        let services = self.services.iter().map(|(service, e)| e.published(service.clone()));
        SuspectParts { services: services.collect() }
    }

    /// All evidence, for a snapshot.
    pub fn export(&self) -> Vec<ServiceEvidence> {
        self.services.iter().map(|(service, e)| e.export(service.clone())).collect()
    }

    /// Restores the output of [`CrashEvidence::export`].
    pub fn import(services: Vec<ServiceEvidence>) -> Self {
        let services = services.into_iter().map(|mut s| {
            let service = std::mem::take(&mut s.service);
            (service, Evidence::import(s))
        });
        Self { services: services.collect() }
    }
}

impl Evidence {
    fn record_end(&mut self, at_ms: u64, end: &EndpointEnd) {
        self.reports += 1;
        let number = self.end_number(at_ms, end);
        let requests: Vec<Parts> = end.requests.iter().map(|r| to_parts(&r.parts)).collect();
        let sent = end.requests.iter().map(|r| at_ms.saturating_sub(u64::from(r.sent_ago_ms)));
        let explained_by = self.blocked_in(&requests).or_else(|| self.explanation(number));
        if let Some(guilty) = &explained_by {
            self.explain(number, guilty);
        }
        for (mut parts, sent_ms) in requests.into_iter().zip(sent) {
            if let Some(guilty) = &explained_by {
                parts.retain(|part| guilty.binary_search(part).is_ok());
            }
            self.add(number, sent_ms, parts);
        }
        self.drop_excess();
        self.update_blocks(at_ms);
    }

    /// Number of the end in a report.
    fn end_number(&mut self, at_ms: u64, end: &EndpointEnd) -> u64 {
        let noticed_ms = at_ms.saturating_sub(u64::from(end.noticed_ago_ms));
        let same = |e: &&mut End| e.endpoint == end.endpoint && e.born_ms == end.born_ms;
        if let Some(known) = self.ends.iter_mut().find(same) {
            known.noticed_ms = known.noticed_ms.min(noticed_ms);
            return known.number;
        }
        self.ends_seen += 1;
        let (number, endpoint) = (self.ends_seen, end.endpoint.clone());
        self.ends.push_back(End { number, endpoint, born_ms: end.born_ms, noticed_ms });
        number
    }

    /// Adds an end to the parts of a request, which leave the groups that have other parts too.
    fn add(&mut self, number: u64, sent_ms: u64, parts: Parts) {
        let mut touched: BTreeMap<GroupKey, Parts> = BTreeMap::new();
        let mut new = Parts::new();
        for part in parts {
            match self.group_of.get(&part) {
                Some(key) => touched.entry(*key).or_default().push(part),
                None => new.push(part),
            }
        }
        let mut keys: Vec<GroupKey> =
            touched.into_iter().map(|(key, parts)| self.split_off(key, parts)).collect();
        if !new.is_empty() {
            keys.push(self.insert(Group { parts: new, ..Group::default() }));
        }
        let reported_at = self.reports;
        for key in keys {
            let Some(group) = self.groups.get_mut(&key) else { continue };
            let first_sent_ms = group.ends.entry(number).or_insert(sent_ms);
            *first_sent_ms = sent_ms.min(*first_sent_ms);
            group.reported_at = reported_at;
        }
    }

    fn insert(&mut self, group: Group) -> GroupKey {
        self.groups_seen += 1;
        let key = GroupKey(self.groups_seen);
        self.group_of.extend(group.parts.iter().map(|part| (*part, key)));
        self.groups.insert(key, group);
        key
    }

    /// Makes `parts` of a group a group of their own; returns its key.
    fn split_off(&mut self, key: GroupKey, parts: Parts) -> GroupKey {
        let Some(group) = self.groups.get_mut(&key) else { return key };
        if group.parts.len() == parts.len() {
            return key;
        }
        group.parts.retain(|part| parts.binary_search(part).is_err());
        let (ends, reported_at) = (group.ends.clone(), group.reported_at);
        self.insert(Group { parts, ends, reported_at })
    }

    fn remove(&mut self, key: GroupKey) {
        for part in self.groups.remove(&key).unwrap_or_default().parts {
            self.group_of.remove(&part);
        }
    }

    /// The parts of a block that a request of the list is refused by.
    fn blocked_in(&self, requests: &[Parts]) -> Option<Parts> {
        let block = self.blocks.iter().find(|b| requests.iter().any(|r| b.matches(r)));
        block.map(|b| b.parts.clone())
    }

    /// Parts whose block explains an end; `None` if the end has no explanation yet.
    fn explanation(&self, number: u64) -> Option<Parts> {
        let group = |p: &PromptPart| self.groups.get(self.group_of.get(p)?);
        let under = |p: &PromptPart| group(p).is_some_and(|g| g.ends.contains_key(&number));
        self.blocks.iter().find(|b| b.parts.iter().all(under)).map(|b| b.parts.clone())
    }

    /// Removes an end from all parts but those that explain it.
    fn explain(&mut self, number: u64, guilty: &[PromptPart]) {
        let under = self.groups.iter().filter(|(_, g)| g.ends.contains_key(&number));
        let under: Vec<(GroupKey, Parts)> = under
            .map(|(key, g)| {
                let is_guilty = |p: &PromptPart| guilty.binary_search(p).is_ok();
                (*key, g.parts.iter().copied().filter(is_guilty).collect())
            })
            .collect();
        for (key, guilty) in under {
            if !guilty.is_empty() && self.split_off(key, guilty) == key {
                continue;
            }
            let Some(group) = self.groups.get_mut(&key) else { continue };
            group.ends.remove(&number);
            if group.ends.is_empty() {
                self.remove(key);
            }
        }
    }

    /// Forgets all ends under these parts, and their blocks.
    fn clear(&mut self, parts: Parts) {
        for block in &mut self.blocks {
            block.parts.retain(|p| parts.binary_search(p).is_err());
        }
        self.blocks.retain(|b| !b.parts.is_empty());
        let mut cleared: BTreeMap<GroupKey, Parts> = BTreeMap::new();
        for part in parts {
            if let Some(key) = self.group_of.get(&part) {
                cleared.entry(*key).or_default().push(part);
            }
        }
        for (key, parts) in cleared {
            let own = self.split_off(key, parts);
            self.remove(own);
        }
    }

    fn concerns(&self, part: PromptPart) -> bool {
        self.group_of.contains_key(&part) || self.blocks.iter().any(|b| b.has(part))
    }

    /// Number of ends under a group that cannot have one cause besides its parts: each one's requests
    /// were sent after the one before was noticed.
    fn independent_ends(&self, group: &Group) -> usize {
        let end = |(number, sent_ms): (&u64, &u64)| {
            let end = self.ends.iter().find(|e| e.number == *number)?;
            Some((end.noticed_ms, *sent_ms))
        };
        let mut ends: Vec<(u64, u64)> = group.ends.iter().filter_map(end).collect();
        ends.sort();
        let mut last_noticed_ms = None;
        let mut count = 0;
        for (noticed_ms, sent_ms) in ends {
            if last_noticed_ms.is_none_or(|last| sent_ms >= last) {
                last_noticed_ms = Some(noticed_ms);
                count += 1;
            }
        }
        count
    }

    /// Independent ends after which a group is blocked.
    fn ends_needed(&self, group: &Group) -> usize {
        let numbers = (group.ends.first_key_value(), group.ends.last_key_value());
        let (Some((first, _)), Some((last, _))) = numbers else { return ENDS_BEFORE_BLOCK };
        let mut between = self.ends.iter().filter(|e| (first..=last).contains(&&e.number));
        let elsewhere =
            |e: &End| !group.ends.contains_key(&e.number) && self.explanation(e.number).is_none();
        if between.any(elsewhere) { ENDS_BEFORE_MIXED_BLOCK } else { ENDS_BEFORE_BLOCK }
    }

    /// Blocks the groups that the evidence suffices for, those with the most ends first.
    fn update_blocks(&mut self, at_ms: u64) {
        while let Some(group) = self.next_block().cloned() {
            let under = self.ends.iter().filter(|e| group.ends.contains_key(&e.number));
            let endpoints = under.map(|e| e.endpoint.clone()).collect();
            let parts = group.parts;
            // Only blocks that the new one makes superfluous are removed, so the loop ends.
            self.blocks.retain(|b| !parts.iter().all(|p| b.has(*p)));
            if self.blocks.len() >= BLOCKS_MAX {
                return;
            }
            for number in group.ends.into_keys() {
                self.explain(number, &parts);
            }
            self.blocks.push(Block { parts, since_ms: at_ms, endpoints, trials: 0 });
        }
    }

    /// The group to block next.
    fn next_block(&self) -> Option<&Group> {
        let due = self.groups.values().filter(|g| g.ends.len() >= ENDS_BEFORE_BLOCK);
        let due = due.filter(|g| self.independent_ends(g) >= self.ends_needed(g));
        let undecided = due.filter(|g| !self.blocks.iter().any(|b| b.matches(&g.parts)));
        undecided.max_by_key(|g| (g.ends.len(), g.parts.last().copied()))
    }

    fn drop_excess(&mut self) {
        while self.ends.len() > ENDS_RETAINED {
            let Some(oldest) = self.ends.pop_front() else { break };
            self.explain(oldest.number, &[]);
        }
        if self.group_of.len() <= PARTS_RETAINED {
            return;
        }
        let strength = |(key, g): (&GroupKey, &Group)| (g.ends.len(), g.reported_at, *key);
        let mut weakest_first: Vec<_> = self.groups.iter().map(strength).collect();
        weakest_first.sort_unstable();
        for (_, _, key) in weakest_first {
            if self.group_of.len() <= PARTS_RETAINED {
                return;
            }
            self.remove(key);
        }
    }

    fn published(&self, service: String) -> ServiceSuspects {
        let recent = |g: &&Group| g.ends.keys().any(|n| n + ENDS_WATCHED > self.ends_seen);
        let mut watched: Vec<_> =
            self.groups.values().filter(|g| g.ends.len() > 1 || recent(g)).collect();
        watched.sort_by_key(|g| std::cmp::Reverse((g.ends.len(), g.reported_at)));
        let parts = watched.into_iter().flat_map(|g| &g.parts).take(PARTS_WATCHED);
        let mut suspects: BTreeSet<u64> = parts.map(|p| p.0).collect();
        suspects.extend(self.blocks.iter().flat_map(|b| b.parts.iter().map(|p| p.0)));
        let blocked = self.blocks.iter().map(Block::to_wire).collect();
        ServiceSuspects { service, suspects: suspects.into_iter().collect(), blocked }
    }

    fn export(&self, service: String) -> ServiceEvidence {
        let end = |e: &End| EndState {
            endpoint: e.endpoint.clone(),
            born_ms: e.born_ms,
            number: e.number,
            noticed_ms: e.noticed_ms,
        };
        let group = |(key, g): (&GroupKey, &Group)| GroupEvidence {
            key: key.0,
            parts: g.parts.iter().map(|p| p.0).collect(),
            ends: g.ends.keys().copied().collect(),
            sent_ms: g.ends.values().copied().collect(),
            reported_at: g.reported_at,
        };
        ServiceEvidence {
            service,
            ends_seen: self.ends_seen,
            reports: self.reports,
            ends: self.ends.iter().map(end).collect(),
            parts: Vec::new(),
            blocked: self.blocks.iter().map(Block::to_wire).collect(),
            groups: self.groups.iter().map(group).collect(),
            groups_seen: self.groups_seen,
        }
    }

    fn import(state: ServiceEvidence) -> Self {
        let end = |e: EndState| End {
            number: e.number,
            endpoint: e.endpoint,
            born_ms: e.born_ms,
            noticed_ms: e.noticed_ms,
        };
        let block = |b: BlockedParts| Block {
            parts: to_parts(&b.parts),
            since_ms: b.since_ms,
            endpoints: b.endpoints,
            trials: b.trials,
        };
        let mut out = Self {
            ends: state.ends.into_iter().map(end).collect(),
            ends_seen: state.ends_seen,
            reports: state.reports,
            blocks: state.blocked.into_iter().map(block).collect(),
            ..Self::default()
        };
        for g in state.groups {
            let (key, parts) = (GroupKey(g.key), to_parts(&g.parts));
            out.group_of.extend(parts.iter().map(|part| (*part, key)));
            let ends = g.ends.into_iter().zip(g.sent_ms).collect();
            out.groups.insert(key, Group { parts, ends, reported_at: g.reported_at });
        }
        out.groups_seen = state.groups_seen;
        // Of an earlier release, which kept each part by itself. Those that it could not tell apart always came
        // together.
        for p in &state.parts {
            let same = state.parts.iter().filter(|q| {
                q.ends == p.ends && p.companions.contains(&q.part) && q.companions.contains(&p.part)
            });
            let mut parts: Parts = same.map(|q| PromptPart(q.part)).collect();
            parts.push(PromptPart(p.part));
            parts.sort();
            if !out.group_of.contains_key(&PromptPart(p.part)) {
                let ends = p.ends.iter().copied().zip(p.sent_ms.iter().copied()).collect();
                out.insert(Group { parts, ends, reported_at: p.reported_at });
            }
        }
        out
    }
}

/// The parts of a message, each once.
fn to_parts(numbers: &[u64]) -> Parts {
    let mut parts: Parts = numbers.iter().copied().map(PromptPart).collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}

impl Block {
    /// Whether a request with these parts, in ascending order, is refused.
    fn matches(&self, parts: &[PromptPart]) -> bool {
        self.parts.iter().all(|p| parts.binary_search(p).is_ok())
    }

    fn has(&self, part: PromptPart) -> bool {
        self.parts.binary_search(&part).is_ok()
    }

    fn to_wire(&self) -> BlockedParts {
        BlockedParts {
            parts: self.parts.iter().map(|p| p.0).collect(),
            since_ms: self.since_ms,
            endpoints: self.endpoints.clone(),
            trials: self.trials,
        }
    }

    fn is(&self, parts: &[u64]) -> bool {
        self.parts.iter().map(|p| p.0).eq(parts.iter().copied())
    }

    fn trial_due(&self, at_ms: u64) -> bool {
        let after_ms: u64 =
            (0..=self.trials).map(|n| FIRST_TRIAL_AFTER_MS * TRIAL_INTERVAL_FACTOR.pow(n)).sum();
        self.trials < TRIALS_MAX && at_ms >= self.since_ms.saturating_add(after_ms)
    }
}
