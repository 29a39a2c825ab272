//! [`LeaderSearch`]: which control instance an agent reports to.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Time for which an instance that did not answer is passed over: until another one has been elected.
const SILENT_TIME: Duration = Duration::from_secs(2);

/// Finds the control instance that coordinates.
///
/// Followers name the last leader that they know, which may be the very one that has stopped
/// answering; it is not asked again until others have had time to elect another.
#[derive(Clone, Debug, Default)]
pub struct LeaderSearch {
    known: Vec<SocketAddr>,
    turn: usize,
    silent: Option<(SocketAddr, Instant)>,
}

impl LeaderSearch {
    /// A search among instances that are known at start.
    pub fn new(known: &[SocketAddr]) -> Self {
        let mut search = Self::default();
        search.add_instances(known);
        search
    }

    /// Adds instances.
    pub fn add_instances(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if !self.known.contains(address) {
                self.known.push(*address);
            }
        }
    }

    /// An instance did not answer.
    pub fn record_timeout(&mut self, now: Instant, address: SocketAddr) {
        self.silent = Some((address, now));
    }

    /// The next instance to ask, each in its turn; none if none is known.
    pub fn next_instance(&mut self, now: Instant) -> Option<SocketAddr> {
        for _ in 0..2 {
            self.turn += 1;
            let address = *self.known.get(self.turn % self.known.len().max(1))?;
            if !self.is_silent(now, address) {
                return Some(address);
            }
        }
        self.known.first().copied()
    }

    /// The instance that another one names as the leader, unless it has just been silent.
    pub fn redirect_target(&mut self, now: Instant, leader: SocketAddr) -> Option<SocketAddr> {
        self.add_instances(&[leader]);
        (!self.is_silent(now, leader)).then_some(leader)
    }

    fn is_silent(&self, now: Instant, address: SocketAddr) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < SILENT_TIME;
        self.silent.is_some_and(|(silent, at)| silent == address && recent(at))
    }
}
