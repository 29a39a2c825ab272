//! [`FairQueue`]: weighted fair queue of requests waiting for a slot.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::control::Priority;

/// Identifies one queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterKey(pub u64);

/// One queued request.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// Key of the request in the queue.
    pub key: WaiterKey,
    /// When the request is removed from the queue unserved.
    pub queue_deadline: Instant,
    /// Prefix of the prompt; 0 when it has none.
    pub prefix: u64,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    waiters: VecDeque<Waiter>,
    /// Virtual start time of the first waiter.
    virtual_start: f64,
    share: f64,
}

/// Start-time fair queueing between workspaces, with strict priority between priority classes.
///
/// The flow with the lowest virtual start time is served next, and serving a request advances the
/// start time of its flow by `1 / share`. A workspace that floods the queue only delays itself.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    flows: HashMap<(Priority, String), Flow>,
    virtual_time: f64,
    len: usize,
}

/// Requests of one workspace that may be queued at one entry, per unit of share.
const WAITERS_MAX_PER_SHARE: usize = 32;

impl FairQueue {
    /// Appends a waiter; false when the flow of the workspace is full.
    pub fn push(&mut self, priority: Priority, workspace: &str, share: u32, w: Waiter) -> bool {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry((priority, workspace.to_owned())).or_default();
        if flow.waiters.len() >= WAITERS_MAX_PER_SHARE * share as usize {
            return false;
        }
        if flow.waiters.is_empty() {
            flow.virtual_start = flow.virtual_start.max(virtual_time);
        }
        flow.share = f64::from(share.max(1));
        flow.waiters.push_back(w);
        self.len += 1;
        true
    }

    /// The waiter to be served next.
    pub fn peek(&self) -> Option<Waiter> {
        let flow = self.flows.get(self.next_flow()?)?;
        flow.waiters.front().copied()
    }

    /// Removes the waiter to be served next.
    pub fn pop(&mut self) -> Option<Waiter> {
        let id = self.next_flow()?.clone();
        let flow = self.flows.get_mut(&id)?;
        let w = flow.waiters.pop_front()?;
        self.virtual_time = self.virtual_time.max(flow.virtual_start);
        flow.virtual_start += 1.0 / flow.share;
        self.len -= 1;
        Some(w)
    }

    /// Removes every waiter whose deadline has passed and returns their keys in ascending order.
    pub fn expire(&mut self, now: Instant) -> Vec<WaiterKey> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            flow.waiters.retain(|w| {
                let keep = w.queue_deadline > now;
                if !keep {
                    expired.push(w.key);
                }
                keep
            });
        }
        self.len -= expired.len();
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, f| !f.waiters.is_empty() || f.virtual_start > virtual_time);
        expired.sort();
        expired
    }

    /// Removes the waiter of a caller that has disconnected.
    pub fn cancel(&mut self, key: WaiterKey) {
        for flow in self.flows.values_mut() {
            let before = flow.waiters.len();
            flow.waiters.retain(|w| w.key != key);
            self.len -= before - flow.waiters.len();
        }
    }

    /// Number of waiters at this priority or above.
    pub fn len_at_or_above(&self, priority: Priority) -> usize {
        let flows = self.flows.iter().filter(|((p, _), _)| *p <= priority);
        flows.map(|(_, f)| f.waiters.len()).sum()
    }

    /// Number of waiters.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn next_flow(&self) -> Option<&(Priority, String)> {
        let backlogged = self.flows.iter().filter(|(_, f)| !f.waiters.is_empty());
        let order = |a: &(&(Priority, String), &Flow), b: &(&(Priority, String), &Flow)| {
            let by_priority = a.0.0.cmp(&b.0.0);
            by_priority
                .then(a.1.virtual_start.total_cmp(&b.1.virtual_start))
                .then(a.0.1.cmp(&b.0.1))
        };
        backlogged.min_by(order).map(|(id, _)| id)
    }
}
