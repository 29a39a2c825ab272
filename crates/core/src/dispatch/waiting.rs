//! [`Waiting`]: requests that wait for a place.

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
    pub(super) rank: u8,
    /// After this it is refused.
    pub(super) until: Instant,
    pub(super) prompt: u32,
    pub(super) retry_after: Duration,
    pub(super) tried: SmallVec<[MemberKey; 2]>,
}

/// Requests that wait for a place: by rank, and within one rank in order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting {
    waiters: Vec<Waiter>,
    next: u64,
}

impl Waiting {
    /// Adds a request behind all of its rank.
    pub(super) fn push(&mut self, mut w: Waiter) -> Ticket {
        self.next += 1;
        w.ticket = Ticket(self.next);
        let ticket = w.ticket;
        let at = self.ahead(w.rank);
        self.waiters.insert(at, w);
        ticket
    }

    /// Requests that would go before a new one of this rank.
    pub(super) fn ahead(&self, rank: u8) -> usize {
        self.waiters.partition_point(|o| o.rank <= rank)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.waiters.retain(|w| w.ticket != ticket);
    }

    /// Takes out those whose time is over.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Waiter> {
        self.waiters.extract_if(.., |w| w.until <= now).collect()
    }

    /// Takes out the first one that `place` finds a place for.
    pub(super) fn first_placed(
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
