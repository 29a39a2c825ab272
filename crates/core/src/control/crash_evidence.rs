//! [`CrashEvidence`]: which part of their prompts makes requests crash endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crocustally_wire::BlockedParts;
use crocustally_wire::EndState;
use crocustally_wire::EndpointEnd;
use crocustally_wire::PartEvidence;
use crocustally_wire::ServiceEvidence;
use crocustally_wire::ServiceParts;
use crocustally_wire::ServiceSuspects;
use crocustally_wire::SuspectParts;
use crocustally_wire::TrialRequest;
use smallvec::SmallVec;

use super::PromptPart;

/// Independent ends under a part, with no sound answer since the first, after which the part is blocked
/// if it was in flight at all ends since the first. Two may be a coincidence.
pub const ENDS_BEFORE_BLOCK: usize = 3;
/// The same if endpoints have also ended without the part meanwhile, so that there is another cause,
/// and a part may have been in flight at ends of both.
const ENDS_BEFORE_MIXED_BLOCK: usize = 4;
/// Ends retained for each service; the oldest is dropped first. More than a region has endpoints.
const ENDS_RETAINED: usize = 1024;
/// Suspect parts retained for each service; those with the fewest ends are dropped first.
const PARTS_RETAINED: usize = 4096;
/// Blocks of each service. Each has cost three endpoints; while there are as many, no more are added, so
/// that nobody can push out what is known.
const BLOCKS_MAX: usize = 256;
/// Suspect parts that gateways watch for sound answers, for each service.
const PARTS_WATCHED: usize = 512;

/// Time in milliseconds from a block to its first trial; each further interval is
/// [`TRIAL_INTERVAL_FACTOR`] times as long.
pub const FIRST_TRIAL_AFTER_MS: u64 = 60_000;
const TRIAL_INTERVAL_FACTOR: u64 = 8;
/// Trials of a block, after which only an operator lifts it. Each may cost an endpoint.
pub const TRIALS_MAX: u32 = 3;

/// Short list of parts.
type Parts = SmallVec<[PromptPart; 4]>;

/// Evidence on all services, replicated so that it survives any process.
///
/// Endpoints end while they hold requests. Each of these is as near to the end as the one that caused
/// it, so every part of each is a suspect. A part stops being one as soon as an answer on it turns out
/// sound. What is left after three independent ends is blocked, the part with the most ends first, and
/// its ends no longer speak against the others. An end is independent of an earlier one if its requests
/// were sent after that: endpoints that end together, such as those of a rack, have one cause. Parts that the evidence cannot tell apart, because they always
/// came together, are blocked together: only requests with all of them are refused.
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
    suspects: BTreeMap<PromptPart, Suspect>,
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

/// A part under which endpoints have ended since its last sound answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Suspect {
    /// Numbers of the ends, and when the first request with the part was sent to each endpoint.
    ends: BTreeMap<u64, u64>,
    /// Parts that were in every request that the part was in.
    companions: Parts,
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
            sound.parts.iter().for_each(|p| evidence.clear(PromptPart(*p)));
        }
    }

    /// Lifts the refusal of a part; it is blocked again after as many ends as any other. Returns
    /// whether it was refused.
    pub fn lift(&mut self, service: &str, part: PromptPart) -> bool {
        let Some(evidence) = self.services.get_mut(service) else { return false };
        let blocked = evidence.blocks.iter().any(|b| b.parts.contains(&part));
        evidence.clear(part);
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

    /// Whether a part of these is suspected or blocked.
    pub fn suspects_any(&self, sound: &ServiceParts) -> bool {
        self.services
            .get(&sound.service)
            .is_some_and(|evidence| sound.parts.iter().any(|p| evidence.concerns(PromptPart(*p))))
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
        let requests: Vec<Parts> =
            end.requests.iter().map(|r| r.parts.iter().map(|p| PromptPart(*p)).collect()).collect();
        let sent = end.requests.iter().map(|r| at_ms.saturating_sub(u64::from(r.sent_ago_ms)));
        let explained_by = self.blocked_in(&requests).or_else(|| self.explanation(number));
        if let Some(guilty) = &explained_by {
            self.explain(number, guilty);
        }
        for (parts, sent_ms) in requests.iter().zip(sent) {
            for part in parts {
                let explained = explained_by.as_ref().is_some_and(|guilty| !guilty.contains(part));
                if !explained {
                    self.add(number, sent_ms, *part, parts);
                }
            }
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

    fn add(&mut self, number: u64, sent_ms: u64, part: PromptPart, request: &[PromptPart]) {
        let others = request.iter().copied().filter(|p| *p != part);
        let reported_at = self.reports;
        let new = || Suspect { companions: others.clone().collect(), ..Suspect::default() };
        let suspect = self.suspects.entry(part).or_insert_with(new);
        suspect.companions.retain(|p| request.contains(p));
        let first_sent_ms = suspect.ends.entry(number).or_insert(sent_ms);
        *first_sent_ms = sent_ms.min(*first_sent_ms);
        suspect.reported_at = reported_at;
    }

    /// The parts of a block that a request of the list is refused by.
    fn blocked_in(&self, requests: &[Parts]) -> Option<Parts> {
        let block = self.blocks.iter().find(|b| requests.iter().any(|r| b.matches(r)));
        block.map(|b| b.parts.clone())
    }

    /// Parts whose block explains an end; `None` if the end has no explanation yet.
    fn explanation(&self, number: u64) -> Option<Parts> {
        let under =
            |p: &PromptPart| self.suspects.get(p).is_some_and(|s| s.ends.contains_key(&number));
        self.blocks.iter().find(|b| b.parts.iter().all(under)).map(|b| b.parts.clone())
    }

    /// Removes an end from all parts but those that explain it.
    fn explain(&mut self, number: u64, guilty: &[PromptPart]) {
        self.suspects.retain(|part, suspect| {
            if !guilty.contains(part) {
                suspect.ends.remove(&number);
            }
            !suspect.ends.is_empty()
        });
    }

    fn clear(&mut self, part: PromptPart) {
        self.suspects.remove(&part);
        for block in &mut self.blocks {
            block.parts.retain(|p| *p != part);
        }
        self.blocks.retain(|b| !b.parts.is_empty());
    }

    fn concerns(&self, part: PromptPart) -> bool {
        self.suspects.contains_key(&part) || self.blocks.iter().any(|b| b.parts.contains(&part))
    }

    /// Number of ends under a part that cannot have one cause besides the part: each one's requests
    /// were sent after the one before was noticed.
    fn independent_ends(&self, suspect: &Suspect) -> usize {
        let end = |(number, sent_ms): (&u64, &u64)| {
            let end = self.ends.iter().find(|e| e.number == *number)?;
            Some((end.noticed_ms, *sent_ms))
        };
        let mut ends: Vec<(u64, u64)> = suspect.ends.iter().filter_map(end).collect();
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

    /// Independent ends after which a part is blocked.
    fn ends_needed(&self, suspect: &Suspect) -> usize {
        let numbers = (suspect.ends.first_key_value(), suspect.ends.last_key_value());
        let (Some((first, _)), Some((last, _))) = numbers else { return ENDS_BEFORE_BLOCK };
        let mut between = self.ends.iter().filter(|e| (first..=last).contains(&&e.number));
        let elsewhere =
            |e: &End| !suspect.ends.contains_key(&e.number) && self.explanation(e.number).is_none();
        if between.any(elsewhere) { ENDS_BEFORE_MIXED_BLOCK } else { ENDS_BEFORE_BLOCK }
    }

    /// The part and those companions that the evidence cannot tell from it.
    fn indistinguishable(&self, part: PromptPart, suspect: &Suspect) -> Parts {
        let same = |p: &PromptPart| {
            self.suspects.get(p).is_some_and(|s| s.ends.keys().eq(suspect.ends.keys()))
        };
        let mut parts: Parts = suspect.companions.iter().copied().filter(same).collect();
        parts.push(part);
        parts.sort();
        parts
    }

    /// Blocks the parts that the evidence suffices for, those with the most ends first.
    fn update_blocks(&mut self, at_ms: u64) {
        while let Some((part, parts)) = self.next_block() {
            let suspect = self.suspects.get(&part);
            let ends: BTreeSet<u64> =
                suspect.map(|s| s.ends.keys().copied().collect()).unwrap_or_default();
            let under = self.ends.iter().filter(|e| ends.contains(&e.number));
            let endpoints = under.map(|e| e.endpoint.clone()).collect();
            // Only blocks that the new one makes superfluous are removed, so the loop ends.
            self.blocks.retain(|b| !parts.iter().all(|p| b.parts.contains(p)));
            if self.blocks.len() >= BLOCKS_MAX {
                return;
            }
            for number in ends {
                self.explain(number, &parts);
            }
            self.blocks.push(Block { parts, since_ms: at_ms, endpoints, trials: 0 });
        }
    }

    /// The part to block next, with those that cannot be told from it.
    fn next_block(&self) -> Option<(PromptPart, Parts)> {
        let due = self.suspects.iter().filter(|(_, s)| s.ends.len() >= ENDS_BEFORE_BLOCK);
        let due = due.filter(|(_, s)| self.independent_ends(s) >= self.ends_needed(s));
        let undecided = due.filter_map(|(part, suspect)| {
            let parts = self.indistinguishable(*part, suspect);
            let decided = self.blocks.iter().any(|b| b.matches(&parts) && b.parts.contains(part));
            (!decided).then_some((suspect.ends.len(), *part, parts))
        });
        undecided.max_by_key(|(ends, part, _)| (*ends, *part)).map(|(_, part, parts)| (part, parts))
    }

    fn drop_excess(&mut self) {
        while self.ends.len() > ENDS_RETAINED {
            let Some(oldest) = self.ends.pop_front() else { break };
            self.explain(oldest.number, &[]);
        }
        while self.suspects.len() > PARTS_RETAINED {
            let weakest = self.suspects.iter().min_by_key(|(_, s)| (s.ends.len(), s.reported_at));
            let Some(part) = weakest.map(|(p, _)| *p) else { break };
            self.suspects.remove(&part);
        }
    }

    fn published(&self, service: String) -> ServiceSuspects {
        let mut watched: Vec<_> = self.suspects.iter().collect();
        watched.sort_by_key(|(_, s)| std::cmp::Reverse((s.ends.len(), s.reported_at)));
        let mut suspects: BTreeSet<u64> =
            watched.iter().take(PARTS_WATCHED).map(|(p, _)| p.0).collect();
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
        let part = |(part, s): (&PromptPart, &Suspect)| PartEvidence {
            part: part.0,
            ends: s.ends.keys().copied().collect(),
            sent_ms: s.ends.values().copied().collect(),
            companions: s.companions.iter().map(|p| p.0).collect(),
            reported_at: s.reported_at,
        };
        ServiceEvidence {
            service,
            ends_seen: self.ends_seen,
            reports: self.reports,
            ends: self.ends.iter().map(end).collect(),
            parts: self.suspects.iter().map(part).collect(),
            blocked: self.blocks.iter().map(Block::to_wire).collect(),
        }
    }

    fn import(state: ServiceEvidence) -> Self {
        let to_parts = |numbers: Vec<u64>| numbers.into_iter().map(PromptPart).collect::<Parts>();
        let end = |e: EndState| End {
            number: e.number,
            endpoint: e.endpoint,
            born_ms: e.born_ms,
            noticed_ms: e.noticed_ms,
        };
        let suspect = |p: PartEvidence| {
            let ends = p.ends.into_iter().zip(p.sent_ms).collect();
            let companions = to_parts(p.companions);
            (PromptPart(p.part), Suspect { ends, companions, reported_at: p.reported_at })
        };
        let block = |b: BlockedParts| Block {
            parts: to_parts(b.parts),
            since_ms: b.since_ms,
            endpoints: b.endpoints,
            trials: b.trials,
        };
        Self {
            ends: state.ends.into_iter().map(end).collect(),
            ends_seen: state.ends_seen,
            reports: state.reports,
            suspects: state.parts.into_iter().map(suspect).collect(),
            blocks: state.blocked.into_iter().map(block).collect(),
        }
    }
}

impl Block {
    /// Whether a request with these parts is refused.
    fn matches(&self, parts: &[PromptPart]) -> bool {
        self.parts.iter().all(|p| parts.contains(p))
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
