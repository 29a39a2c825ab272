//! [`LogSettings`]: what a replica is told at start.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Another instance of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of the instance.
    pub name: String,
    /// Where it listens for other processes.
    pub address: SocketAddr,
    /// Whether it founds the replicated log as a voter.
    pub voter: bool,
}

/// The replica of one instance and the peers that it starts with.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Name of the instance; a disk that was lost comes back under the same name.
    pub name: String,
    /// Where the instance listens for its peers.
    pub address: SocketAddr,
    /// IP number that its connections to peers come from.
    pub source: Option<IpAddr>,
    /// Folder of the log; an instance without one only proposes.
    pub data: Option<PathBuf>,
    /// Peers known at start; more are learnt from them.
    pub peers: Vec<PeerSettings>,
    /// Whether this instance founds the log as a voter.
    pub initial_voter: bool,
    /// Voters that repairs aim for.
    pub voters: usize,
    /// Names that may vote; empty when any instance with a disk may.
    pub may_vote: Vec<String>,
}

impl LogSettings {
    /// Names of the instances that found the log, in order; the first one of them does it.
    pub(crate) fn founders(&self) -> Vec<String> {
        let own = self.initial_voter.then(|| self.name.clone());
        let others = self.peers.iter().filter(|p| p.voter).map(|p| p.name.clone());
        let mut names: Vec<String> = own.into_iter().chain(others).collect();
        names.sort();
        names.dedup();
        names
    }
}
