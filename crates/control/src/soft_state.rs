//! [`SoftState`]: the unreplicated state of a control instance and its subscribers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use bytes::Bytes;
use crocustally_core::Digest;
use crocustally_core::dispatch::address_key;
use crocustally_core::fleet::Departure;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::Registry;
use crocustally_core::fleet::RegistryChange;
use crocustally_wire::EndpointBeat;
use crocustally_wire::Evacuations;
use crocustally_wire::LoadBatch;
use crocustally_wire::RankLoad;
use crocustally_wire::SuspectNotice;
use crocustally_wire::Update;
use prost::Message as _;

use crate::departure_log::DepartureLog;
use crate::feed::Feeds;

/// Time after which a gateway or the load of a rank expires. A disconnected gateway keeps sending
/// requests, so its part of the shared budgets stays reserved until then.
const EXPIRY_TIME: Duration = Duration::from_secs(60);
/// Time after the start in which all gateways subscribe again: several of their attempts.
const GATEWAYS_RETURN: Duration = Duration::from_secs(2);
/// Interval between updates that list all gateways. Gateways that join are announced at once.
const GATEWAYS_PERIOD: Duration = Duration::from_secs(60);
/// Number of groups whose key is logged; names come from engines and could be without end.
const GROUPS_LOGGED_MAX: usize = 256;
/// Suspects kept for subscribers that connect later.
const SUSPECTS_MAX: usize = 256;

/// State that is held in memory only: endpoints, gateways, rank loads, suspects and subscribers.
#[derive(Debug, Default)]
pub(crate) struct SoftState {
    pub(crate) registry: Registry,
    pub(crate) departures: DepartureLog,
    feeds: Feeds,
    /// When each gateway was last in contact, by its identity.
    gateways: HashMap<u64, Instant>,
    started_at: Option<Instant>,
    /// When subscribers were last told of all gateways; `None` until all of them should be known.
    gateways_listed_at: Option<Instant>,
    refreshed: Vec<EndpointBeat>,
    /// Newest load of each rank, by the key of its address, and whether subscribers know it.
    rank_loads: HashMap<u64, ObservedLoad>,
    /// Groups whose key has been logged with their name.
    groups_seen: HashSet<u64>,
    suspects: VecDeque<SuspectNotice>,
}

/// Load of a rank when its agent reported it.
#[derive(Clone, Copy, Debug)]
struct ObservedLoad {
    at: Instant,
    load: u32,
    /// Key of the name of the rank's group.
    group: u64,
    sent: bool,
}

impl SoftState {
    /// Creates the state of a process that may use `memory_mb` megabytes.
    pub(crate) fn new(memory_mb: usize) -> Self {
        Self { feeds: Feeds::new(memory_mb), ..Self::default() }
    }

    /// Records a heartbeat. A change is broadcast at once, a mere refresh with the next flush.
    pub(crate) fn record_heartbeat(&mut self, now: Instant, beat: Heartbeat) -> RegistryChange {
        let notice = beat.to_wire(Duration::ZERO);
        let change = match beat.state {
            HeartbeatState::Draining => self.keep_draining(now, beat),
            HeartbeatState::Ready | HeartbeatState::Gone => {
                self.registry.record_heartbeat(now, beat)
            }
        };
        match change {
            RegistryChange::Ignored => {}
            RegistryChange::Refreshed => self.refreshed.push(notice),
            RegistryChange::Changed => {
                self.broadcast(Update { endpoints: vec![notice], ..Update::default() })
            }
        }
        change
    }

    /// Records and broadcasts a departure that an endpoint has announced here.
    ///
    /// It is broadcast as it was announced, also that of an unknown endpoint or of another start than
    /// the one known here, since subscribers may know it from another instance.
    pub(crate) fn record_departure(&mut self, now: Instant, departure: &Departure) {
        self.keep_departure(now, departure);
        let endpoints = vec![departure.to_wire(Duration::ZERO)];
        self.broadcast(Update { endpoints, ..Update::default() });
    }

    /// Records the departures, draining or gone, of which another instance has heard. Returns the new
    /// ones, which are broadcast in one update.
    pub(crate) fn record_departures(
        &mut self,
        now: Instant,
        notices: Vec<EndpointBeat>,
    ) -> Vec<EndpointBeat> {
        let mut new = Vec::new();
        for notice in notices {
            let age = Duration::from_millis(u64::from(notice.age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            let is_new = if let Some(departure) = Departure::from_wire(&notice) {
                let is_new = !self.registry.has_departed(&departure);
                self.keep_departure(at, &departure);
                is_new
            } else if let Ok(heartbeat) = Heartbeat::try_from(notice.clone()) {
                self.keep_draining(at, heartbeat) != RegistryChange::Ignored
            } else {
                log::warn!(endpoint = notice.id.as_str(); "malformed departure");
                false
            };
            if is_new {
                new.push(notice);
            }
        }
        if !new.is_empty() {
            self.broadcast(Update { endpoints: new.clone(), ..Update::default() });
        }
        new
    }

    fn keep_departure(&mut self, at: Instant, departure: &Departure) {
        // Without a start it cannot be told from one that is known, and would be fetched again and again.
        if departure.born_ms.is_some() && !self.registry.has_departed(departure) {
            self.departures.push(at, departure.to_wire(Duration::ZERO));
        }
        self.registry.record_departure(at, departure);
    }

    fn keep_draining(&mut self, at: Instant, heartbeat: Heartbeat) -> RegistryChange {
        let notice = heartbeat.to_wire(Duration::ZERO);
        let change = self.registry.record_heartbeat(at, heartbeat);
        if change == RegistryChange::Changed {
            self.departures.push(at, notice);
        }
        change
    }

    /// Records the load of a rank.
    pub(crate) fn record_rank_load(&mut self, now: Instant, load: &RankLoad) {
        let Ok(address) = load.address.parse() else { return };
        let requests = load.running.saturating_add(load.queued).min(u32::MAX / 2);
        let (name, group) = (load.group.as_str(), group_key(&load.group));
        let encoded = requests * 2 + u32::from(load.open);
        if group != 0
            && self.groups_seen.len() < GROUPS_LOGGED_MAX
            && self.groups_seen.insert(group)
        {
            log::info!(group = name, key = format!("{group:016x}").as_str(); "group first reported");
        }
        self.rank_loads.insert(
            address_key(&address),
            ObservedLoad { at: now, load: encoded, group, sent: false },
        );
    }

    /// Stores suspects reported by a gateway and broadcasts them.
    pub(crate) fn add_suspects(&mut self, suspects: Vec<SuspectNotice>) {
        self.suspects.extend(suspects.iter().cloned());
        while self.suspects.len() > SUSPECTS_MAX {
            self.suspects.pop_front();
        }
        self.broadcast(Update { suspects, ..Update::default() });
    }

    /// Adds a subscriber and returns the receiver of its updates. The first one is `initial`, the
    /// replicated part, completed with the unreplicated state.
    pub(crate) fn subscribe(
        &mut self,
        now: Instant,
        name: &str,
        mut initial: Update,
    ) -> Receiver<Update> {
        let id = gateway_id(name);
        self.gateways.insert(id, now);
        let to_wire = |k: &crocustally_core::fleet::Registration| {
            k.heartbeat.to_wire(now.saturating_duration_since(k.received_at))
        };
        let departures = self.registry.departures();
        let departures = departures.map(|(d, at)| d.to_wire(now.saturating_duration_since(at)));
        initial.endpoints = self.registry.iter().map(to_wire).chain(departures).collect();
        initial.loads = self.encode_rank_loads(now, |_| true);
        initial.suspects = self.suspects.iter().cloned().collect();
        initial.gateways = self.gateways.keys().copied().collect();
        initial.gateways_complete = self.gateways_listed_at.is_some();
        // The new subscriber knows itself.
        self.broadcast(Update { gateways: vec![id], ..Update::default() });
        self.feeds.open(id, initial)
    }

    /// Records contact with a gateway.
    pub(crate) fn record_gateway(&mut self, now: Instant, name: &str) {
        self.gateways.insert(gateway_id(name), now);
    }

    /// Expires old entries and broadcasts refreshed endpoints and the load of ranks as one batch.
    pub(crate) fn flush(&mut self, now: Instant, policy_version: Option<u64>) {
        self.registry.expire(now);
        self.departures.expire(now);
        self.gateways.retain(|_, at| now.saturating_duration_since(*at) < EXPIRY_TIME);
        self.rank_loads.retain(|_, l| now.saturating_duration_since(l.at) < EXPIRY_TIME);
        let ranks_changed = self.rank_loads.values().any(|l| !l.sent);
        let gateways = self.gateways_due(now);
        if self.refreshed.is_empty() && !ranks_changed && gateways.is_empty() {
            return;
        }
        let loads = self.encode_rank_loads(now, |l| !l.sent);
        self.rank_loads.values_mut().for_each(|l| l.sent = true);
        let endpoints = std::mem::take(&mut self.refreshed);
        let gateways_complete = self.gateways_listed_at.is_some();
        self.broadcast(Update {
            policy_version,
            endpoints,
            loads,
            gateways,
            gateways_complete,
            ..Update::default()
        });
    }

    /// All gateways, once [`GATEWAYS_RETURN`] has passed since the start and then every
    /// [`GATEWAYS_PERIOD`]; empty in between.
    fn gateways_due(&mut self, now: Instant) -> Vec<u64> {
        let started_at = *self.started_at.get_or_insert(now);
        let (since, period) = match self.gateways_listed_at {
            Some(at) => (at, GATEWAYS_PERIOD),
            None => (started_at, GATEWAYS_RETURN),
        };
        if now.saturating_duration_since(since) < period {
            return Vec::new();
        }
        self.gateways_listed_at = Some(now);
        self.gateways.keys().copied().collect()
    }

    /// Queues an update for every subscriber.
    pub(crate) fn broadcast(&mut self, update: Update) {
        self.feeds.broadcast(&update);
    }

    /// Number of gateways that follow this instance or did so lately.
    pub(crate) fn gateways(&self) -> u32 {
        self.gateways.len() as u32
    }

    /// Number of connected subscribers.
    pub(crate) fn subscribers(&self) -> usize {
        self.feeds.len()
    }

    /// Encodes the loads that satisfy `include`, once for all subscribers.
    fn encode_rank_loads(&self, now: Instant, include: impl Fn(&ObservedLoad) -> bool) -> Bytes {
        let mut batch = LoadBatch::default();
        let mut index_of = HashMap::new();
        for (key, load) in self.rank_loads.iter().filter(|(_, l)| include(l)) {
            batch.endpoints.push(*key);
            batch.loads.push(load.load);
            batch.ages_ms.push(now.saturating_duration_since(load.at).as_millis() as u32);
            let index = *index_of.entry(load.group).or_insert_with(|| {
                batch.group_keys.push(load.group);
                batch.group_keys.len() as u32 - 1
            });
            batch.groups.push(index);
        }
        Bytes::from(batch.encode_to_vec())
    }
}

/// Key of a group's name in load reports; 0 for an endpoint without a group.
fn group_key(name: &str) -> u64 {
    if name.is_empty() { 0 } else { Digest::of(&[name.as_bytes()]).to_u64() }
}

/// Identity of a gateway among those that share limits.
fn gateway_id(name: &str) -> u64 {
    Digest::of(&[name.as_bytes()]).to_u64()
}

/// The fields of an update that come from the replicated log.
pub(crate) fn replicated_part(machine: &crocustally_core::control::StateMachine) -> Update {
    Update {
        applied: machine.last_applied(),
        policy_version: machine.policy_version(),
        gateways_expected: machine.gateways(),
        suspect_parts: Some(machine.crash_evidence().suspect_parts()),
        evacuations: Some(Evacuations { domains: machine.evacuated().iter().cloned().collect() }),
        ..Update::default()
    }
}
