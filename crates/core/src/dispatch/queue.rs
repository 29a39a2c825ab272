//! [`WaitQueue`]: requests that wait for a place.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::MemberKey;

/// A key for one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// One request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    /// Lower goes first.
    pub(super) priority: u8,
    /// After this it is refused.
    pub(super) deadline: Instant,
    pub(super) prompt_tokens: u32,
    pub(super) retry_after: Duration,
    pub(super) tried: SmallVec<[MemberKey; 2]>,
}

/// Requests that wait for a place: by priority, and within one priority in order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    waiters: Vec<Waiter>,
    last_ticket: u64,
}

impl WaitQueue {
    /// Adds a request behind all of its priority.
    pub(super) fn push(&mut self, mut w: Waiter) -> Ticket {
        self.last_ticket += 1;
        w.ticket = Ticket(self.last_ticket);
        let ticket = w.ticket;
        let at = self.ahead(w.priority);
        self.waiters.insert(at, w);
        ticket
    }

    /// Requests that would go before a new one of this priority.
    pub(super) fn ahead(&self, priority: u8) -> usize {
        self.waiters.partition_point(|o| o.priority <= priority)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.waiters.retain(|w| w.ticket != ticket);
    }

    /// Takes out those whose time is over.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Vec<Waiter> {
        self.waiters.extract_if(.., |w| w.deadline <= now).collect()
    }

    /// Takes out the first one that `place` finds a place for.
    pub(super) fn pop_first_placeable(
        &mut self,
        mut place: impl FnMut(&Waiter) -> Option<MemberKey>,
    ) -> Option<(Waiter, MemberKey)> {
        for i in 0..self.waiters.len() {
            if let Some(key) = place(&self.waiters[i]) {
                return Some((self.waiters.remove(i), key));
            }
        }
        None
    }

    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }
}
