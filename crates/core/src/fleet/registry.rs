//! [`Registry`]: the newest heartbeat of every endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Heartbeat;
use super::HeartbeatState;

/// Time without a heartbeat after which an endpoint is removed. The registration of an endpoint
/// that has shut down is kept as long: a network partition can delay old heartbeats for about as
/// long as it lasts, and without the registration they would bring the endpoint back.
const REGISTRATION_TTL: Duration = Duration::from_secs(120);

/// The newest heartbeat of an endpoint and the time of its receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Newest heartbeat of the endpoint.
    pub heartbeat: Heartbeat,
    /// When the heartbeat was received.
    pub received_at: Instant,
    /// Whether another endpoint took over the address of this one before it announced to leave.
    pub replaced: bool,
}

/// Effect of a heartbeat on the [`Registry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// The heartbeat was out of order, a duplicate, or from a replaced incarnation.
    Ignored,
    /// The endpoint is alive and its state is unchanged.
    Refreshed,
    /// The endpoint is new or has changed its state.
    Changed,
}

/// The newest heartbeat of every endpoint.
///
/// Within an incarnation the higher sequence number wins; between incarnations, the later start
/// time. Heartbeats delayed by a network partition therefore cannot bring an endpoint back. An
/// address belongs to the endpoint that started there last.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    by_id: HashMap<String, Registration>,
    by_address: HashMap<SocketAddr, String>,
}

impl Registry {
    /// Records a heartbeat that was received at `received_at`.
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
        let earlier_address = self.by_id.get(&heartbeat.id).map(|last| last.heartbeat.address);
        if !self.claim_address(&heartbeat) {
            return RegistryChange::Ignored;
        }
        if let Some(earlier) = earlier_address.filter(|a| *a != heartbeat.address)
            && self.by_address.get(&earlier) == Some(&heartbeat.id)
        {
            self.by_address.remove(&earlier);
        }
        self.by_id
            .insert(heartbeat.id.clone(), Registration { heartbeat, received_at, replaced: false });
        change
    }

    /// Marks an endpoint as gone after it announced its shutdown. Later heartbeats of this
    /// incarnation are ignored. With `born_ms` of an earlier incarnation, nothing changes and
    /// `None` is returned, as for an unknown endpoint.
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

    /// Returns the registration of an endpoint.
    pub fn get(&self, id: &str) -> Option<&Registration> {
        self.by_id.get(id)
    }

    /// The endpoint that last claimed an address.
    pub fn holder(&self, address: &SocketAddr) -> Option<&str> {
        self.by_address.get(address).map(String::as_str)
    }

    /// Iterates over all endpoints, including those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &Registration> {
        self.by_id.values()
    }

    /// Removes endpoints whose newest heartbeat is older than `REGISTRATION_TTL`.
    pub fn expire(&mut self, now: Instant) {
        self.by_id.retain(|_, r| now.saturating_duration_since(r.received_at) < REGISTRATION_TTL);
        let by_id = &self.by_id;
        self.by_address.retain(|_, id| by_id.contains_key(id));
    }

    /// Assigns the address to the endpoint that started last; returns false if another endpoint
    /// keeps it.
    fn claim_address(&mut self, heartbeat: &Heartbeat) -> bool {
        let other_holder =
            self.by_address.get(&heartbeat.address).filter(|id| **id != heartbeat.id);
        if let Some(other) = other_holder.and_then(|id| self.by_id.get_mut(id)) {
            if other.heartbeat.born_ms > heartbeat.born_ms {
                return false;
            }
            other.replaced |= other.heartbeat.state == HeartbeatState::Ready;
            other.heartbeat.state = HeartbeatState::Gone;
            other.heartbeat.sequence = u64::MAX;
        }
        self.by_address.insert(heartbeat.address, heartbeat.id.clone());
        true
    }
}

/// Whether `next` was sent after `last`.
fn is_newer(last: &Heartbeat, next: &Heartbeat) -> bool {
    (next.born_ms, next.sequence) > (last.born_ms, last.sequence)
}

/// Whether two heartbeats announce the same state, whatever their sequence numbers.
fn same_state(last: &Heartbeat, next: &Heartbeat) -> bool {
    last.born_ms == next.born_ms
        && last.state == next.state
        && last.address == next.address
        && last.service == next.service
        && last.cold_remaining.is_zero() == next.cold_remaining.is_zero()
}
