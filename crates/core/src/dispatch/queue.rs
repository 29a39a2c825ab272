//! [`WaitQueue`]: priority queue of requests that wait for a slot.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::AdmissionClass;
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
    pub(super) place: QueuePlace,
    /// Whether the caller does not come back if it is refused, and so waits rather.
    pub(super) is_last_attempt: bool,
    /// Workspace of the caller, among whose requests of one priority places are shared evenly.
    pub(super) workspace: u64,
    /// What that workspace was admitted recently, as of the last [`WaitQueue::rank_workspaces`].
    pub(super) workspace_admitted: f64,
    pub(super) prompt_tokens: u32,
    pub(super) kv_tokens: u32,
    pub(super) parts: SmallVec<[SizedPart; 4]>,
    pub(super) retry_after: Duration,
    /// Longest time after which the caller comes back once it is refused.
    pub(super) return_time_max: Duration,
    pub(super) tried: SmallVec<[MemberKey; 2]>,
    pub(super) earlier: EarlierSends,
}

/// Where a request stands in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuePlace {
    /// Lower values are served first.
    pub(super) priority: u8,
    /// Class that bounds how far the request may fill the fleet; `None` without admission by urgency.
    pub(super) class: Option<AdmissionClass>,
    /// What becomes of the place when the request can no longer meet its objective.
    pub(super) demotion: Option<Demotion>,
    /// Time at which the request is refused if it is still queued.
    pub(super) deadline: Instant,
}

/// Later place of a request that can no longer meet its objective.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demotion {
    pub(super) at: Instant,
    pub(super) priority: u8,
    pub(super) class: AdmissionClass,
}

impl QueuePlace {
    /// Moves the place behind the requests that can still meet their objective.
    pub(super) fn demote(&mut self, demotion: Demotion) {
        self.priority = demotion.priority;
        self.class = Some(demotion.class);
        self.demotion = None;
    }
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
        let index = self.ahead(w.place.priority);
        self.waiters.insert(index, w);
        ticket
    }

    /// Number of queued requests that would be served before a new one of this priority.
    pub(super) fn ahead(&self, priority: u8) -> usize {
        self.waiters.partition_point(|w| w.place.priority <= priority)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.waiters.retain(|w| w.ticket != ticket);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Vec<Waiter> {
        self.waiters.extract_if(.., |w| w.place.deadline <= now).collect()
    }

    /// Moves the requests that can no longer meet their objective behind those that can.
    pub(super) fn demote(&mut self, now: Instant) {
        let due = |w: &Waiter| w.place.demotion.is_some_and(|d| d.at <= now);
        if !self.waiters.iter().any(due) {
            return;
        }
        let demoted: Vec<Waiter> = self.waiters.extract_if(.., |w| due(w)).collect();
        for mut w in demoted {
            if let Some(demotion) = w.place.demotion {
                w.place.demote(demotion);
            }
            let index = self.ahead(w.place.priority);
            self.waiters.insert(index, w);
        }
    }

    /// Removes and returns the requests that are not worth waiting if the next one is sent at `next`: those
    /// refused before that, and all whose callers can come back instead.
    pub(super) fn pop_hopeless(&mut self, next: Instant) -> Vec<Waiter> {
        let hopeless = |w: &mut Waiter| !w.is_last_attempt || w.place.deadline <= next;
        self.waiters.extract_if(.., hopeless).collect()
    }

    /// Updates what the workspaces of the requests were admitted recently.
    pub(super) fn rank_workspaces(&mut self, admitted: impl Fn(u64) -> f64) {
        for w in &mut self.waiters {
            w.workspace_admitted = admitted(w.workspace);
        }
    }

    /// Removes the first request for which `choose_member` returns a member. Among the requests of one
    /// priority, those of the workspace that was admitted least come first.
    pub(super) fn pop_first_placeable(
        &mut self,
        mut choose_member: impl FnMut(&Waiter) -> Option<MemberKey>,
    ) -> Option<(Waiter, MemberKey)> {
        let mut start = 0;
        while start < self.waiters.len() {
            let end = self.ahead(self.waiters[start].place.priority);
            let mut order: SmallVec<[usize; 16]> = (start..end).collect();
            order.sort_by(|a, b| {
                let (a, b) = (&self.waiters[*a], &self.waiters[*b]);
                a.workspace_admitted.total_cmp(&b.workspace_admitted)
            });
            for i in order {
                if let Some(key) = choose_member(&self.waiters[i]) {
                    return Some((self.waiters.remove(i), key));
                }
            }
            start = end;
        }
        None
    }

    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }
}
