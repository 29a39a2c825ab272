//! [`LeaderSearch`]: selects the control instance that an agent reports to.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Time for which an instance is skipped after a timeout, enough for the others to elect a leader.
const SKIP_TIME: Duration = Duration::from_secs(2);

/// Finds the control instance that leads and therefore coordinates.
///
/// Followers redirect to the last leader that they know, which may have just timed out. An instance
/// that has timed out is skipped until the others have had time to elect a new leader.
#[derive(Clone, Debug, Default)]
pub struct LeaderSearch {
    known: Vec<SocketAddr>,
    next_index: usize,
    timed_out: Option<(SocketAddr, Instant)>,
}

impl LeaderSearch {
    /// Creates a search among these instances.
    pub fn new(known: &[SocketAddr]) -> Self {
        let mut search = Self::default();
        search.add_instances(known);
        search
    }

    /// Adds instances, except those that are known already.
    pub fn add_instances(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if !self.known.contains(address) {
                self.known.push(*address);
            }
        }
    }

    /// Records that an instance has timed out.
    pub fn record_timeout(&mut self, now: Instant, address: SocketAddr) {
        self.timed_out = Some((address, now));
    }

    /// The next instance in round-robin order; `None` if no instance is known. One that has just
    /// timed out is skipped unless it is the only one.
    pub fn next_instance(&mut self, now: Instant) -> Option<SocketAddr> {
        for _ in 0..2 {
            self.next_index += 1;
            let address = *self.known.get(self.next_index % self.known.len().max(1))?;
            if !self.timed_out_recently(now, address) {
                return Some(address);
            }
        }
        self.known.first().copied()
    }

    /// Adds the leader named by a redirect and returns it, unless it has just timed out.
    pub fn redirect_target(&mut self, now: Instant, leader: SocketAddr) -> Option<SocketAddr> {
        self.add_instances(&[leader]);
        (!self.timed_out_recently(now, leader)).then_some(leader)
    }

    fn timed_out_recently(&self, now: Instant, address: SocketAddr) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < SKIP_TIME;
        self.timed_out.is_some_and(|(timed_out, at)| timed_out == address && recent(at))
    }
}
