//! [`Registry`]: the newest word of every endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Heartbeat;
use super::HeartbeatState;

/// Endpoints that have left or fallen silent are forgotten after this long; heartbeats can be
/// delayed by a partition for about as long as one lasts.
const REGISTRATION_TTL: Duration = Duration::from_secs(120);

/// An endpoint and when it was last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that was heard.
    pub received_at: Instant,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// It was late, repeated, or of an incarnation that is over.
    Ignored,
    /// The endpoint is alive as before.
    Refreshed,
    /// The endpoint is new, or has changed its state.
    Changed,
}

/// The newest word of every endpoint.
///
/// Within one incarnation the higher sequence wins, and of two incarnations the one born later, so
/// that a heartbeat which a partition delayed can revive nobody. An address belongs to the endpoint
/// born last there.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    by_id: HashMap<String, Registration>,
    by_address: HashMap<SocketAddr, String>,
}

impl Registry {
    /// Takes a heartbeat that was heard at `heard`.
    pub fn record_heartbeat(
        &mut self,
        received_at: Instant,
        heartbeat: Heartbeat,
    ) -> RegistryChange {
        let change = match self.by_id.get(&heartbeat.id) {
            Some(last) if !is_newer(&last.heartbeat, &heartbeat) => return RegistryChange::Ignored,
            Some(last) if same_state(&last.heartbeat, &heartbeat) => RegistryChange::Refreshed,
            _ => RegistryChange::Changed,
        };
        if !self.claim_address(&heartbeat) {
            return RegistryChange::Ignored;
        }
        self.by_id.insert(heartbeat.id.clone(), Registration { heartbeat, received_at });
        change
    }

    /// An endpoint has said that it leaves; nothing that this incarnation said before counts any
    /// more.
    pub fn mark_gone(
        &mut self,
        now: Instant,
        id: &str,
        born_ms: Option<u64>,
    ) -> Option<&Registration> {
        let registration = self.by_id.get_mut(id)?;
        if born_ms.is_some_and(|born_ms| born_ms < registration.heartbeat.born_ms) {
            return None;
        }
        registration.heartbeat.state = HeartbeatState::Gone;
        registration.heartbeat.sequence = u64::MAX;
        registration.received_at = now;
        Some(registration)
    }

    /// An endpoint.
    pub fn get(&self, id: &str) -> Option<&Registration> {
        self.by_id.get(id)
    }

    /// All endpoints, also those that have left.
    pub fn iter(&self) -> impl Iterator<Item = &Registration> {
        self.by_id.values()
    }

    /// Forgets endpoints of which nothing has been heard for long.
    pub fn expire(&mut self, now: Instant) {
        self.by_id.retain(|_, r| now.saturating_duration_since(r.received_at) < REGISTRATION_TTL);
        let by_id = &self.by_id;
        self.by_address.retain(|_, id| by_id.contains_key(id));
    }

    /// Gives the address to the endpoint born last; false when that is another one.
    fn claim_address(&mut self, heartbeat: &Heartbeat) -> bool {
        let other_holder =
            self.by_address.get(&heartbeat.address).filter(|id| **id != heartbeat.id);
        if let Some(other) = other_holder.and_then(|id| self.by_id.get_mut(id)) {
            if other.heartbeat.born_ms > heartbeat.born_ms {
                return false;
            }
            other.heartbeat.state = HeartbeatState::Gone;
            other.heartbeat.sequence = u64::MAX;
        }
        self.by_address.insert(heartbeat.address, heartbeat.id.clone());
        true
    }
}

/// Whether `next` was said after `last`.
fn is_newer(last: &Heartbeat, next: &Heartbeat) -> bool {
    (next.born_ms, next.sequence) > (last.born_ms, last.sequence)
}

/// Whether two heartbeats say the same apart from their count.
fn same_state(last: &Heartbeat, next: &Heartbeat) -> bool {
    last.born_ms == next.born_ms
        && last.state == next.state
        && last.address == next.address
        && last.service == next.service
        && last.cold_remaining.is_zero() == next.cold_remaining.is_zero()
}
