//! [`Registry`]: the newest word of every endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Beat;
use super::BeatState;

/// Endpoints that have left or fallen silent are forgotten after this long; heartbeats can be
/// delayed by a partition for about as long as one lasts.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// An endpoint and when it was last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// Its newest heartbeat.
    pub beat: Beat,
    /// When that was heard.
    pub heard: Instant,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
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
    by_id: HashMap<String, Known>,
    by_address: HashMap<SocketAddr, String>,
}

impl Registry {
    /// Takes a heartbeat that was heard at `heard`.
    pub fn beat(&mut self, heard: Instant, beat: Beat) -> Change {
        let change = match self.by_id.get(&beat.id) {
            Some(known) if !newer(&known.beat, &beat) => return Change::Ignored,
            Some(known) if same_news(&known.beat, &beat) => Change::Refreshed,
            _ => Change::Changed,
        };
        if !self.claim_address(&beat) {
            return Change::Ignored;
        }
        self.by_id.insert(beat.id.clone(), Known { beat, heard });
        change
    }

    /// An endpoint has said that it leaves; nothing that this incarnation said before counts any
    /// more.
    pub fn leave(&mut self, now: Instant, id: &str, born_ms: Option<u64>) -> Option<&Known> {
        let known = self.by_id.get_mut(id)?;
        if born_ms.is_some_and(|born| born < known.beat.born_ms) {
            return None;
        }
        known.beat.state = BeatState::Gone;
        known.beat.sequence = u64::MAX;
        known.heard = now;
        Some(known)
    }

    /// An endpoint.
    pub fn get(&self, id: &str) -> Option<&Known> {
        self.by_id.get(id)
    }

    /// All endpoints, also those that have left.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.by_id.values()
    }

    /// Forgets endpoints of which nothing has been heard for long.
    pub fn expire(&mut self, now: Instant) {
        self.by_id.retain(|_, k| now.saturating_duration_since(k.heard) < FORGET_AFTER);
        let by_id = &self.by_id;
        self.by_address.retain(|_, id| by_id.contains_key(id));
    }

    /// Gives the address to the endpoint born last; false when that is another one.
    fn claim_address(&mut self, beat: &Beat) -> bool {
        let holder = self.by_address.get(&beat.address).filter(|id| **id != beat.id);
        if let Some(other) = holder.and_then(|id| self.by_id.get_mut(id)) {
            if other.beat.born_ms > beat.born_ms {
                return false;
            }
            other.beat.state = BeatState::Gone;
            other.beat.sequence = u64::MAX;
        }
        self.by_address.insert(beat.address, beat.id.clone());
        true
    }
}

/// Whether `next` was said after `last`.
fn newer(last: &Beat, next: &Beat) -> bool {
    (next.born_ms, next.sequence) > (last.born_ms, last.sequence)
}

/// Whether two heartbeats say the same apart from their count.
fn same_news(last: &Beat, next: &Beat) -> bool {
    last.born_ms == next.born_ms
        && last.state == next.state
        && last.address == next.address
        && last.service == next.service
        && last.cold.is_zero() == next.cold.is_zero()
}
