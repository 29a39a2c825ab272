//! [`FairQueue`]: requests that wait for room, fairly among workspaces.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::control::Priority;

/// A key for one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterKey(pub u64);

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// Its key.
    pub key: WaiterKey,
    /// When it stops waiting.
    pub queue_deadline: Instant,
    /// Prefix of its prompt.
    pub prefix: u64,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    waiters: VecDeque<Waiter>,
    /// Virtual time at which its first waiter may start.
    start: f64,
    share: f64,
}

/// Start-time fair queueing between workspaces, with strict priorities above it.
///
/// A workspace that floods only lengthens its own flow: each grant moves that flow's virtual start
/// on by `1 / share`, and the flow with the least start goes next.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    flows: HashMap<(Priority, String), Flow>,
    virtual_now: f64,
    len: usize,
}

/// Requests of one workspace that may wait at one entry, per unit of share.
const WAITERS_PER_SHARE: usize = 32;

impl FairQueue {
    /// Adds a waiter; false when its workspace's flow is full.
    pub fn push(&mut self, priority: Priority, workspace: &str, share: u32, w: Waiter) -> bool {
        let virtual_now = self.virtual_now;
        let flow = self.flows.entry((priority, workspace.to_owned())).or_default();
        if flow.waiters.len() >= WAITERS_PER_SHARE * share as usize {
            return false;
        }
        if flow.waiters.is_empty() {
            flow.start = flow.start.max(virtual_now);
        }
        flow.share = f64::from(share.max(1));
        flow.waiters.push_back(w);
        self.len += 1;
        true
    }

    /// The waiter that goes next.
    pub fn peek(&self) -> Option<Waiter> {
        let flow = self.flows.get(self.next()?)?;
        flow.waiters.front().copied()
    }

    /// Takes the waiter that goes next.
    pub fn pop(&mut self) -> Option<Waiter> {
        let id = self.next()?.clone();
        let flow = self.flows.get_mut(&id)?;
        let w = flow.waiters.pop_front()?;
        self.virtual_now = self.virtual_now.max(flow.start);
        flow.start += 1.0 / flow.share;
        self.len -= 1;
        Some(w)
    }

    /// Takes out every waiter whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<WaiterKey> {
        let mut out = Vec::new();
        for flow in self.flows.values_mut() {
            flow.waiters.retain(|w| {
                let keep = w.queue_deadline > now;
                if !keep {
                    out.push(w.key);
                }
                keep
            });
        }
        self.len -= out.len();
        let virtual_now = self.virtual_now;
        self.flows.retain(|_, f| !f.waiters.is_empty() || f.start > virtual_now);
        out.sort();
        out
    }

    /// Takes out one waiter whose caller has left.
    pub fn cancel(&mut self, key: WaiterKey) {
        for flow in self.flows.values_mut() {
            let before = flow.waiters.len();
            flow.waiters.retain(|w| w.key != key);
            self.len -= before - flow.waiters.len();
        }
    }

    /// Waiters at this priority or above.
    pub fn ahead_of(&self, priority: Priority) -> usize {
        let flows = self.flows.iter().filter(|((p, _), _)| *p <= priority);
        flows.map(|(_, f)| f.waiters.len()).sum()
    }

    /// Number of waiters.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn next(&self) -> Option<&(Priority, String)> {
        let waiting = self.flows.iter().filter(|(_, f)| !f.waiters.is_empty());
        let order = |a: &(&(Priority, String), &Flow), b: &(&(Priority, String), &Flow)| {
            let by_priority = a.0.0.cmp(&b.0.0);
            by_priority.then(a.1.start.total_cmp(&b.1.start)).then(a.0.1.cmp(&b.0.1))
        };
        waiting.min_by(order).map(|(id, _)| id)
    }
}
