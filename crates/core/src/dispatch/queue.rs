//! [`WaitQueue`]: priority queue of requests that wait for a slot.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::EarlierSends;
use super::MemberKey;
use super::SizedPart;

/// Identifies a queued request of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    /// Lower values are served first.
    pub(super) priority: u8,
    /// Time at which the request is refused if it is still queued.
    pub(super) deadline: Instant,
    pub(super) prompt_tokens: u32,
    pub(super) parts: SmallVec<[SizedPart; 4]>,
    pub(super) retry_after: Duration,
    pub(super) tried: SmallVec<[MemberKey; 2]>,
    pub(super) earlier: EarlierSends,
}

/// Queued requests, ordered by priority, then by arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    waiters: Vec<Waiter>,
    last_ticket: u64,
}

impl WaitQueue {
    /// Enqueues a request behind the others of its priority and assigns its ticket.
    pub(super) fn push(&mut self, mut w: Waiter) -> Ticket {
        self.last_ticket += 1;
        w.ticket = Ticket(self.last_ticket);
        let ticket = w.ticket;
        let index = self.ahead(w.priority);
        self.waiters.insert(index, w);
        ticket
    }

    /// Number of queued requests that would be served before a new one of this priority.
    pub(super) fn ahead(&self, priority: u8) -> usize {
        self.waiters.partition_point(|w| w.priority <= priority)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.waiters.retain(|w| w.ticket != ticket);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Vec<Waiter> {
        self.waiters.extract_if(.., |w| w.deadline <= now).collect()
    }

    /// Removes and returns all requests.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = Waiter> {
        std::mem::take(&mut self.waiters).into_iter()
    }

    /// Removes the first request for which `choose_member` returns a member.
    pub(super) fn pop_first_placeable(
        &mut self,
        mut choose_member: impl FnMut(&Waiter) -> Option<MemberKey>,
    ) -> Option<(Waiter, MemberKey)> {
        for i in 0..self.waiters.len() {
            if let Some(key) = choose_member(&self.waiters[i]) {
                return Some((self.waiters.remove(i), key));
            }
        }
        None
    }

    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }
}
