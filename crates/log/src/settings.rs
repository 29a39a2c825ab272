//! [`LogSettings`]: the configuration of a replica.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crocustally_core::raft::RepairSettings;

/// Another instance that takes part in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of the instance.
    pub name: String,
    /// Address on which it listens for peers.
    pub address: SocketAddr,
    /// Whether it is an initial voter when the log is bootstrapped.
    pub voter: bool,
}

/// The replica of one instance and its initial peers.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Name of the instance, which stays the same when its disk is replaced.
    pub name: String,
    /// Address on which the instance listens for peers.
    pub address: SocketAddr,
    /// Source address of connections to peers; `None` leaves the choice to the system.
    pub source: Option<IpAddr>,
    /// Data folder of the log; without one the instance has no replica and only proposes.
    pub data: Option<PathBuf>,
    /// Initial peers, from which further peers are discovered.
    pub peers: Vec<PeerSettings>,
    /// Whether this instance is an initial voter when the log is bootstrapped.
    pub initial_voter: bool,
    /// Whether a majority of the initial voters creates the log if the others do not answer. Only safe if
    /// an instance that has lost its disk is no initial voter any more when it starts again.
    pub found_by_majority: bool,
    /// Target number of voters, and the time for the replacement of a lost one.
    pub repair: RepairSettings,
    /// Names of the instances that may become voters; empty allows any instance with a disk.
    pub may_vote: Vec<String>,
    /// Time without contact after which a discovered peer that is no member is forgotten, and half of
    /// which after it is no longer named to others; `None` keeps all.
    pub forget_after: Option<Duration>,
}

impl LogSettings {
    /// Sorted names of the initial voters; the first of them bootstraps the log.
    pub(crate) fn initial_voters(&self) -> Vec<String> {
        let own = self.initial_voter.then(|| self.name.clone());
        let others = self.peers.iter().filter(|p| p.voter).map(|p| p.name.clone());
        let mut names: Vec<String> = own.into_iter().chain(others).collect();
        names.sort();
        names.dedup();
        names
    }
}
