//! [`FollowedControls`]: which control instances a gateway follows.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Time after which an instance is no longer followed if it is not connected and no connected one names
/// it: many attempts to connect.
const UNFOLLOW_TIME: Duration = Duration::from_secs(30);

/// The control instances that a gateway follows: seeds, and those that connected instances name.
#[derive(Debug, Default)]
pub(crate) struct FollowedControls {
    seeds: Vec<SocketAddr>,
    /// Newest list of each connected instance.
    named_by: HashMap<SocketAddr, Vec<SocketAddr>>,
    /// Followed instances, and when each was last a seed, connected or named.
    needed_at: BTreeMap<SocketAddr, Instant>,
}

impl FollowedControls {
    /// Replaces the seeds, which are followed in any case; returns those that are not followed yet.
    pub(crate) fn set_seeds(&mut self, now: Instant, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        self.seeds = seeds.to_vec();
        self.add(now, seeds)
    }

    /// Records the instances that a connected one names; returns those that are not followed yet.
    pub(crate) fn record_list(
        &mut self,
        now: Instant,
        from: SocketAddr,
        named: Vec<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let added = self.add(now, &named);
        self.named_by.insert(from, named);
        added
    }

    fn add(&mut self, now: Instant, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let is_new = |a: &&SocketAddr| self.needed_at.insert(**a, now).is_none();
        addresses.iter().filter(is_new).copied().collect()
    }

    /// Records the end of a connection.
    pub(crate) fn record_disconnected(&mut self, now: Instant, address: SocketAddr) {
        self.named_by.remove(&address);
        self.needed_at.insert(address, now);
    }

    /// Whether to give up an instance that cannot be reached; it is no longer followed then.
    ///
    /// Without any connected instance none is given up: the gateway itself may be cut off.
    pub(crate) fn give_up(&mut self, now: Instant, address: SocketAddr) -> bool {
        let named = self.named_by.values().any(|list| list.contains(&address));
        if named || self.named_by.is_empty() || self.seeds.contains(&address) {
            self.needed_at.insert(address, now);
            return false;
        }
        let needed_at = self.needed_at.get(&address);
        let gone = needed_at.is_none_or(|at| now.saturating_duration_since(*at) >= UNFOLLOW_TIME);
        if gone {
            self.needed_at.remove(&address);
        }
        gone
    }
}
