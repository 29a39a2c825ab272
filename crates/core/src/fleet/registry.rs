//! [`Registry`]: the newest heartbeat of every endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Departure;
use super::Heartbeat;
use super::HeartbeatState;

/// Time without a heartbeat after which an endpoint is removed. The registration of an endpoint
/// that has shut down is kept as long: a network partition can delay old heartbeats for about as
/// long as it lasts, and without the registration they would bring the endpoint back.
const REGISTRATION_TTL: Duration = Duration::from_secs(120);
/// Departures that are kept, the oldest of which give way. They are kept as long as registrations; in that
/// time a platform replaces each of its 600 endpoints at most a few times.
const DEPARTURES_MAX: usize = 2048;

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

/// The latest start of an endpoint that has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Departed {
    born_ms: u64,
    at: Instant,
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
/// time. A departure binds its start, whichever starts are known or heard of later. Heartbeats delayed
/// by a network partition therefore cannot bring an endpoint back. An address belongs to the endpoint
/// that started there last.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    by_id: HashMap<String, Registration>,
    departed: HashMap<String, Departed>,
    by_address: HashMap<SocketAddr, String>,
}

impl Registry {
    /// Records a heartbeat that was received at `received_at`.
    pub fn record_heartbeat(
        &mut self,
        received_at: Instant,
        heartbeat: Heartbeat,
    ) -> RegistryChange {
        if self.departed.get(&heartbeat.id).is_some_and(|d| heartbeat.born_ms <= d.born_ms) {
            return RegistryChange::Ignored;
        }
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

    /// Records a departure that was announced at `at`. Heartbeats of its start, and of earlier ones, are
    /// ignored from now on.
    ///
    /// Returns the registration if its start has left, and `None` if the endpoint is unknown or has
    /// started again since.
    pub fn record_departure(
        &mut self,
        at: Instant,
        departure: &Departure,
    ) -> Option<&Registration> {
        let id = departure.id.as_str();
        let known = self.by_id.get(id).map(|r| r.heartbeat.born_ms);
        let born_ms = departure.born_ms.or(known)?;
        self.keep_departure(at, id, born_ms);
        let registration = self.by_id.get_mut(id).filter(|r| r.heartbeat.born_ms <= born_ms)?;
        registration.heartbeat.state = HeartbeatState::Gone;
        registration.heartbeat.sequence = u64::MAX;
        registration.received_at = at;
        Some(registration)
    }

    /// Whether a start of an endpoint is known to have left.
    pub fn has_departed(&self, departure: &Departure) -> bool {
        match (self.departed.get(&departure.id), departure.born_ms) {
            (Some(departed), Some(born_ms)) => born_ms <= departed.born_ms,
            _ => false,
        }
    }

    /// Iterates over the departures, each with the time of its announcement.
    pub fn departures(&self) -> impl Iterator<Item = (Departure, Instant)> {
        self.departed
            .iter()
            .map(|(id, d)| (Departure { id: id.clone(), born_ms: Some(d.born_ms) }, d.at))
    }

    fn keep_departure(&mut self, at: Instant, id: &str, born_ms: u64) {
        if self.departed.get(id).is_some_and(|d| d.born_ms >= born_ms) {
            return;
        }
        if self.departed.len() >= DEPARTURES_MAX && !self.departed.contains_key(id) {
            let oldest = self.departed.iter().min_by_key(|(_, d)| d.at).map(|(id, _)| id.clone());
            oldest.and_then(|id| self.departed.remove(&id));
        }
        self.departed.insert(id.to_owned(), Departed { born_ms, at });
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

    /// Removes endpoints whose newest heartbeat, and departures whose announcement, is older than
    /// `REGISTRATION_TTL`.
    pub fn expire(&mut self, now: Instant) {
        let is_current = |at: Instant| now.saturating_duration_since(at) < REGISTRATION_TTL;
        self.by_id.retain(|_, r| is_current(r.received_at));
        self.departed.retain(|_, d| is_current(d.at));
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
