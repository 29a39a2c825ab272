//! [`SoftState`]: the unreplicated state of a control instance and its subscribers.

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

/// Time after which a gateway or the load of a rank expires. A disconnected gateway keeps sending
/// requests, so its part of the shared budgets stays reserved until then.
const EXPIRY_TIME: Duration = Duration::from_secs(60);
/// Number of ranks up to which every flush includes their load; with more, only some flushes do.
const RANKS_PER_FLUSH: usize = 36;
/// Suspects kept for subscribers that connect later.
const SUSPECTS_MAX: usize = 256;

/// State that is held in memory only: endpoints, gateways, rank loads, suspects and subscribers.
#[derive(Debug, Default)]
pub(crate) struct SoftState {
    pub(crate) registry: Registry,
    subscribers: Vec<Sender<Update>>,
    gateways: HashMap<String, Instant>,
    refreshed: Vec<EndpointBeat>,
    rank_loads: HashMap<String, (Instant, RankLoad)>,
    rank_loads_changed: bool,
    flushes: usize,
    suspects: VecDeque<SuspectNotice>,
}

impl SoftState {
    /// Records a heartbeat. A change is broadcast at once, a mere refresh with the next flush.
    pub(crate) fn record_heartbeat(&mut self, now: Instant, beat: Heartbeat) -> RegistryChange {
        let notice = beat.to_wire(Duration::ZERO);
        let change = self.registry.record_heartbeat(now, beat);
        match change {
            RegistryChange::Ignored => {}
            RegistryChange::Refreshed => self.refreshed.push(notice),
            RegistryChange::Changed => {
                self.broadcast(Update { endpoints: vec![notice], ..Update::default() })
            }
        }
        change
    }

    /// Marks an endpoint as gone and returns whether it was known.
    ///
    /// This is broadcast even for an unknown endpoint, since subscribers may know it from another
    /// instance.
    pub(crate) fn mark_gone(&mut self, now: Instant, id: &str, born_ms: Option<u64>) -> bool {
        let marked =
            self.registry.mark_gone(now, id, born_ms).map(|k| k.heartbeat.to_wire(Duration::ZERO));
        let known = marked.is_some();
        let notice = marked.unwrap_or_else(|| EndpointBeat {
            id: id.to_owned(),
            born_ms: born_ms.unwrap_or(u64::MAX),
            state: HeartbeatState::Gone.number(),
            ..EndpointBeat::default()
        });
        self.broadcast(Update { endpoints: vec![notice], ..Update::default() });
        known
    }

    /// Records the load of a rank, reduced to the fields that gateways use.
    pub(crate) fn record_rank_load(&mut self, now: Instant, load: RankLoad) {
        let RankLoad { address, open, running, queued, .. } = load;
        let load = RankLoad { address, open, running, queued, ..RankLoad::default() };
        self.rank_loads.insert(load.address.clone(), (now, load));
        self.rank_loads_changed = true;
    }

    /// Stores suspects reported by a gateway and broadcasts them.
    pub(crate) fn add_suspects(&mut self, suspects: Vec<SuspectNotice>) {
        self.suspects.extend(suspects.iter().cloned());
        while self.suspects.len() > SUSPECTS_MAX {
            self.suspects.pop_front();
        }
        self.broadcast(Update { suspects, ..Update::default() });
    }

    /// Adds a subscriber. Its first update is `initial`, the replicated part, completed with the
    /// unreplicated state.
    pub(crate) fn subscribe(
        &mut self,
        now: Instant,
        name: String,
        tx: Sender<Update>,
        mut initial: Update,
    ) {
        self.gateways.insert(name, now);
        let to_wire = |k: &crocustally_core::fleet::Registration| {
            k.heartbeat.to_wire(now.saturating_duration_since(k.received_at))
        };
        initial.endpoints = self.registry.iter().map(to_wire).collect();
        initial.ranks = self.rank_loads_at(now);
        initial.suspects = self.suspects.iter().cloned().collect();
        initial.gateways = self.gateways.len() as u32;
        let _ = tx.try_send(initial);
        self.subscribers.push(tx);
        self.broadcast(Update { gateways: self.gateways.len() as u32, ..Update::default() });
    }

    /// Records contact with a gateway.
    pub(crate) fn record_gateway(&mut self, now: Instant, name: &str) {
        self.gateways.insert(name.to_owned(), now);
    }

    /// Expires old entries and broadcasts refreshed endpoints and the load of ranks as one batch.
    pub(crate) fn flush(&mut self, now: Instant, policy_version: u64) {
        self.registry.expire(now);
        self.gateways.retain(|_, at| now.saturating_duration_since(*at) < EXPIRY_TIME);
        self.flushes += 1;
        // Keeps the bytes sent per second constant as the number of ranks grows.
        let flushes_per_round = self.rank_loads.len().div_ceil(RANKS_PER_FLUSH).max(1);
        let ranks_due = self.rank_loads_changed && self.flushes.is_multiple_of(flushes_per_round);
        if self.refreshed.is_empty() && !ranks_due {
            return;
        }
        let endpoints = std::mem::take(&mut self.refreshed);
        let ranks = if ranks_due { self.rank_loads_at(now) } else { Vec::new() };
        self.rank_loads_changed &= !ranks_due;
        let gateways = self.gateways.len() as u32;
        self.broadcast(Update { policy_version, endpoints, ranks, gateways, ..Update::default() });
    }

    /// Queues an update for every subscriber. One whose queue is full is disconnected and has to
    /// subscribe again.
    pub(crate) fn broadcast(&mut self, update: Update) {
        self.subscribers.retain(|tx| {
            let sent = tx.try_send(update.clone());
            if let Err(e) = &sent
                && e.is_full()
            {
                log::warn!("subscriber disconnected: its update queue is full");
                tx.close();
            }
            sent.is_ok()
        });
    }

    /// Number of connected subscribers.
    pub(crate) fn subscribers(&self) -> usize {
        self.subscribers.len()
    }

    fn rank_loads_at(&mut self, now: Instant) -> Vec<RankLoad> {
        self.rank_loads.retain(|_, (at, _)| now.saturating_duration_since(*at) < EXPIRY_TIME);
        let aged = |(at, load): &(Instant, RankLoad)| {
            let age_ms = now.saturating_duration_since(*at).as_millis() as u32;
            RankLoad { age_ms, ..load.clone() }
        };
        self.rank_loads.values().map(aged).collect()
    }
}

/// The fields of an update that come from the replicated log.
pub(crate) fn replicated_part(machine: &crocustally_core::control::StateMachine) -> Update {
    Update {
        applied: machine.last_applied(),
        policy_version: machine.policy().version,
        evacuations: Some(Evacuations { domains: machine.evacuated().iter().cloned().collect() }),
        ..Update::default()
    }
}
