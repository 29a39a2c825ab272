//! [`Book`]: the soft state of a control instance, and those who follow it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::Registry;
use crocustally_core::fleet::RegistryChange;
use crocustally_wire::EndpointBeat;
use crocustally_wire::Evacuations;
use crocustally_wire::RankLoad;
use crocustally_wire::SuspectNotice;
use crocustally_wire::Update;

/// Gateways count for this long after they were last heard: a gateway that is out of touch goes on
/// sending, so its share of every allowance stays reserved.
const GATEWAY_KEPT: Duration = Duration::from_secs(60);
/// Ranks whose load goes out with every flush; that of more ranks goes out less often.
const RANKS_PER_FLUSH: usize = 36;
/// Suspects that are remembered for followers to come.
const SUSPECTS_KEPT: usize = 256;

/// The soft state of a control instance: endpoints, ranks, suspects and followers.
#[derive(Debug, Default)]
pub(crate) struct Book {
    pub(crate) registry: Registry,
    followers: Vec<Sender<Update>>,
    gateways: HashMap<String, Instant>,
    refreshed: Vec<EndpointBeat>,
    ranks: HashMap<String, (Instant, RankLoad)>,
    ranks_changed: bool,
    flushes: usize,
    suspects: VecDeque<SuspectNotice>,
}

impl Book {
    /// Takes a heartbeat; one that changes something is told at once.
    pub(crate) fn beat(&mut self, now: Instant, beat: Heartbeat) -> RegistryChange {
        let told = beat.to_wire(Duration::ZERO);
        let change = self.registry.record_heartbeat(now, beat);
        match change {
            RegistryChange::Ignored => {}
            RegistryChange::Refreshed => self.refreshed.push(told),
            RegistryChange::Changed => {
                self.tell(Update { endpoints: vec![told], ..Update::default() })
            }
        }
        change
    }

    /// An endpoint leaves; followers hear it also of one that was never heard here.
    pub(crate) fn leave(&mut self, now: Instant, id: &str, born_ms: Option<u64>) -> bool {
        let left =
            self.registry.mark_gone(now, id, born_ms).map(|k| k.heartbeat.to_wire(Duration::ZERO));
        let known = left.is_some();
        let told = left.unwrap_or_else(|| EndpointBeat {
            id: id.to_owned(),
            born_ms: born_ms.unwrap_or(u64::MAX),
            state: HeartbeatState::Gone.number(),
            ..EndpointBeat::default()
        });
        self.tell(Update { endpoints: vec![told], ..Update::default() });
        known
    }

    /// Takes what an agent sees of its rank; gateways need its load alone.
    pub(crate) fn rank(&mut self, now: Instant, load: RankLoad) {
        let RankLoad { address, open, running, queued, .. } = load;
        let load = RankLoad { address, open, running, queued, ..RankLoad::default() };
        self.ranks.insert(load.address.clone(), (now, load));
        self.ranks_changed = true;
    }

    /// Takes suspects that a gateway has noticed, and passes them on.
    pub(crate) fn suspect(&mut self, suspects: Vec<SuspectNotice>) {
        self.suspects.extend(suspects.iter().cloned());
        while self.suspects.len() > SUSPECTS_KEPT {
            self.suspects.pop_front();
        }
        self.tell(Update { suspects, ..Update::default() });
    }

    /// Adds a follower, which begins with everything that is known.
    pub(crate) fn follow(
        &mut self,
        now: Instant,
        name: String,
        tx: Sender<Update>,
        mut all: Update,
    ) {
        self.gateways.insert(name, now);
        let known = |k: &crocustally_core::fleet::Registration| {
            k.heartbeat.to_wire(now.saturating_duration_since(k.received_at))
        };
        all.endpoints = self.registry.iter().map(known).collect();
        all.ranks = self.ranks_at(now);
        all.suspects = self.suspects.iter().cloned().collect();
        all.gateways = self.gateways.len() as u32;
        let _ = tx.try_send(all);
        self.followers.push(tx);
        self.tell(Update { gateways: self.gateways.len() as u32, ..Update::default() });
    }

    /// A gateway has been heard.
    pub(crate) fn heard_gateway(&mut self, now: Instant, name: &str) {
        self.gateways.insert(name.to_owned(), now);
    }

    /// Tells followers what can wait a little: refreshed endpoints and the load of ranks.
    pub(crate) fn flush(&mut self, now: Instant, policy_version: u64) {
        self.registry.expire(now);
        self.gateways.retain(|_, at| now.saturating_duration_since(*at) < GATEWAY_KEPT);
        self.flushes += 1;
        // What all followers are sent in a second stays the same however many ranks there are.
        let turns = self.ranks.len().div_ceil(RANKS_PER_FLUSH).max(1);
        let ranks_due = self.ranks_changed && self.flushes.is_multiple_of(turns);
        if self.refreshed.is_empty() && !ranks_due {
            return;
        }
        let endpoints = std::mem::take(&mut self.refreshed);
        let ranks = if ranks_due { self.ranks_at(now) } else { Vec::new() };
        self.ranks_changed &= !ranks_due;
        let gateways = self.gateways.len() as u32;
        self.tell(Update { policy_version, endpoints, ranks, gateways, ..Update::default() });
    }

    /// Tells every follower; one that is too slow has to begin anew.
    pub(crate) fn tell(&mut self, update: Update) {
        self.followers.retain(|tx| {
            let sent = tx.try_send(update.clone());
            if let Err(e) = &sent
                && e.is_full()
            {
                log::warn!("a follower reads too slowly and is cut off");
                tx.close();
            }
            sent.is_ok()
        });
    }

    /// Followers that are connected.
    pub(crate) fn followers(&self) -> usize {
        self.followers.len()
    }

    fn ranks_at(&mut self, now: Instant) -> Vec<RankLoad> {
        self.ranks.retain(|_, (at, _)| now.saturating_duration_since(*at) < GATEWAY_KEPT);
        let aged = |(at, load): &(Instant, RankLoad)| {
            let age_ms = now.saturating_duration_since(*at).as_millis() as u32;
            RankLoad { age_ms, ..load.clone() }
        };
        self.ranks.values().map(aged).collect()
    }
}

/// The part of an update that comes from the log.
pub(crate) fn log_part(machine: &crocustally_core::control::StateMachine) -> Update {
    Update {
        applied: machine.last_applied(),
        policy_version: machine.policy().version,
        evacuations: Some(Evacuations { domains: machine.evacuated().iter().cloned().collect() }),
        ..Update::default()
    }
}
