//! [`Delegation`]: assigns rank groups to the control instances that coordinate them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::VersionBlock;
use super::handover::BLOCKS_PER_TERM;

/// Ranks that the leader coordinates itself. With more, its processor time, which also serves the
/// replicated log, would delay the groups.
const RANKS_AT_LEADER_MAX: usize = 16;

/// A rank group: its service and its name.
pub type GroupKey = (String, String);

#[derive(Clone, Copy, Debug)]
struct Assignment {
    instance: SocketAddr,
    ranks: usize,
}

/// The leader's assignment of rank groups to control instances.
///
/// An assignment lasts as long as its instance responds. Each answer to an agent comes with a new
/// block of map versions, so an instance that has lost a group's state, or gets the group back, never
/// assigns a version twice.
#[derive(Clone, Debug, Default)]
pub struct Delegation {
    term: u64,
    /// Last block that was assigned. Blocks start at 1, since 0 stands for none in reports.
    last_block: u64,
    groups: BTreeMap<GroupKey, Assignment>,
}

impl Delegation {
    /// Returns the instance that coordinates a group of `ranks` ranks, and a new block of versions.
    ///
    /// `own` is the leader of `term`, and `live` are the other instances that respond to it. Returns
    /// `None` if the blocks of the term are exhausted.
    pub fn assign(
        &mut self,
        term: u64,
        group: &GroupKey,
        ranks: usize,
        own: SocketAddr,
        live: &[SocketAddr],
    ) -> Option<(SocketAddr, VersionBlock)> {
        if term != self.term {
            *self = Self { term, ..Self::default() };
        }
        if self.last_block + 1 >= BLOCKS_PER_TERM {
            return None;
        }
        self.last_block += 1;
        let block = VersionBlock { term, number: self.last_block };
        let total: usize =
            self.groups.iter().filter(|(k, _)| *k != group).map(|(_, a)| a.ranks).sum();
        let at_leader = live.is_empty() || total + ranks <= RANKS_AT_LEADER_MAX;
        let current = self.groups.get(group).map(|a| a.instance);
        let kept = current.filter(|i| if *i == own { at_leader } else { live.contains(i) });
        let instance = match kept {
            Some(instance) => instance,
            None if at_leader => own,
            None => self.least_assigned(group, live)?,
        };
        self.groups.insert(group.clone(), Assignment { instance, ranks });
        Some((instance, block))
    }

    fn least_assigned(&self, group: &GroupKey, live: &[SocketAddr]) -> Option<SocketAddr> {
        let ranks_at = |instance: SocketAddr| -> usize {
            let others = self.groups.iter().filter(|(k, a)| *k != group && a.instance == instance);
            others.map(|(_, a)| a.ranks).sum()
        };
        live.iter().copied().min_by_key(|i| (ranks_at(*i), *i))
    }
}
