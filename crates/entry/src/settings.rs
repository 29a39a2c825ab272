//! [`EntrySettings`]: the settings of one entry instance.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crocustally_core::raft::RepairSettings;
use crocustally_log::LogSettings;
use crocustally_log::PeerSettings;
use crocustally_net::AdminSettings;
use crocustally_net::GrpcLimits;
use crocustally_net::HttpLimits;
use crocustally_net::LogFormat;
use crocustally_net::SettingsError;
use crocustally_net::parse_address;
use serde::Deserialize;

/// Time after the return of a lost instance, or of its successor, within which it is a voter again.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Another entry instance in the settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPeer {
    /// Name of the entry instance.
    pub name: String,
    /// `ip:port` of its listener for other processes.
    pub address: String,
    /// Whether it is an initial voter of the replicated log.
    #[serde(default)]
    pub voter: bool,
}

/// Limits on the requests of callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
    /// Largest header in bytes.
    pub header_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time to receive the header, in milliseconds.
    pub header_ms: u64,
    /// Longest time to receive the body, in milliseconds.
    pub body_ms: u64,
}

impl Default for RawLimits {
    fn default() -> Self {
        let l = HttpLimits::default();
        Self {
            header_bytes: l.header_bytes,
            body_bytes: l.body_bytes,
            header_ms: l.header_timeout.as_millis() as u64,
            body_ms: l.body_timeout.as_millis() as u64,
        }
    }
}

/// The YAML of an entry, not validated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntrySettings {
    /// Name of the entry instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// `ip:port` of the listener for callers.
    pub listen: String,
    /// `ip:port` of the listener for other processes of the system.
    pub peer_listen: String,
    /// Source IP address of its connections to other processes.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// All other entry instances.
    #[serde(default)]
    pub peers: Vec<RawPeer>,
    /// Whether it is an initial voter of the replicated log.
    #[serde(default)]
    pub voter: bool,
    /// Folder of the replicated log; absent for an instance without a disk.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Limits on the requests of callers.
    #[serde(default)]
    pub limits: RawLimits,
    /// Memory that the process may use, in megabytes (2^20 bytes); a quarter of it is for the bodies of
    /// callers, and as much for messages of peers.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// Connections of the system's other processes that may be open; a quarter of the descriptors of
    /// the process if absent.
    #[serde(default)]
    pub peer_connections_max: Option<usize>,
    /// Number of threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Format of log lines.
    #[serde(default)]
    pub log: LogFormat,
    /// Address and access control of the admin server; absent for an instance without one.
    #[serde(default)]
    pub admin: Option<AdminSettings>,
}

/// As for a gateway, which has the same work.
fn default_memory() -> usize {
    260
}

fn default_threads() -> usize {
    4
}

/// Validated settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the entry instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Address of the listener for other processes.
    pub peer_listen: SocketAddr,
    /// Source IP address of its connections to other processes.
    pub source: Option<IpAddr>,
    /// All other entry instances.
    pub peers: Vec<PeerSettings>,
    /// Whether it is an initial voter of the replicated log.
    pub voter: bool,
    /// Folder of the replicated log.
    pub data: Option<PathBuf>,
    /// Limits on the requests of callers.
    pub limits: HttpLimits,
    /// Memory that the process may use, in megabytes (2^20 bytes).
    pub memory_mb: usize,
    /// Connections of the system's other processes that may be open.
    pub peer_connections_max: usize,
    /// Number of threads.
    pub threads: usize,
    /// Format of log lines.
    pub log: LogFormat,
    /// Address of the admin server and its bearer token; `None` if there is no admin server.
    pub admin: Option<(SocketAddr, Option<String>)>,
}

impl EntrySettings {
    /// Settings of the replica of this instance.
    pub fn log_settings(&self) -> LogSettings {
        let names = self.peers.iter().map(|p| p.name.clone());
        LogSettings {
            name: self.name.clone(),
            address: self.peer_listen,
            source: self.source,
            forget_after: None,
            data: self.data.clone(),
            peers: self.peers.clone(),
            initial_voter: self.voter,
            found_by_majority: false,
            repair: RepairSettings { voters: self.voter_names().len(), catch_up: CATCH_UP },
            may_vote: names.chain([self.name.clone()]).collect(),
        }
    }

    /// Names of all initial voters, this instance included if it is one.
    pub fn voter_names(&self) -> BTreeSet<String> {
        let peers = self.peers.iter().filter(|p| p.voter).map(|p| p.name.clone());
        peers.chain(self.voter.then(|| self.name.clone())).collect()
    }
}

impl TryFrom<RawEntrySettings> for EntrySettings {
    type Error = SettingsError;

    fn try_from(raw: RawEntrySettings) -> Result<Self, SettingsError> {
        for (key, text) in [("name", &raw.name), ("domain", &raw.domain)] {
            if text.is_empty() {
                return Err(SettingsError::invalid(key, "is empty"));
            }
        }
        if raw.memory_mb == 0 {
            return Err(SettingsError::invalid("memory_mb", "must be 1 or more"));
        }
        if raw.peer_connections_max == Some(0) {
            return Err(SettingsError::invalid("peer_connections_max", "must be 1 or more"));
        }
        if raw.threads == 0 {
            return Err(SettingsError::invalid("threads", "must be 1 or more"));
        }
        if raw.voter && raw.data.is_none() {
            return Err(SettingsError::invalid("voter", "a voter needs a data folder"));
        }
        let listen = parse_address("listen", &raw.listen)?;
        let peer_listen = parse_address("peer_listen", &raw.peer_listen)?;
        if listen == peer_listen && listen.port() != 0 {
            return Err(SettingsError::invalid("peer_listen", "must differ from listen"));
        }
        let peers = check_peers(&raw, peer_listen)?;
        Ok(Self {
            limits: check_limits(&raw.limits)?,
            memory_mb: raw.memory_mb,
            peer_connections_max: raw
                .peer_connections_max
                .unwrap_or_else(GrpcLimits::default_connections),
            name: raw.name,
            domain: raw.domain,
            listen,
            peer_listen,
            source: raw.source,
            peers,
            voter: raw.voter,
            data: raw.data,
            threads: raw.threads,
            log: raw.log,
            admin: raw.admin.map(|a| a.resolve()).transpose()?,
        })
    }
}

fn check_peers(
    raw: &RawEntrySettings,
    own: SocketAddr,
) -> Result<Vec<PeerSettings>, SettingsError> {
    let mut names = BTreeSet::from([raw.name.as_str()]);
    let mut addresses = BTreeSet::from([own]);
    let mut out = Vec::new();
    for p in &raw.peers {
        let address = parse_address("peers.address", &p.address)?;
        if !names.insert(&p.name) {
            return Err(SettingsError::invalid(
                "peers.name",
                format!("duplicate name {:?}", p.name),
            ));
        }
        if !addresses.insert(address) {
            return Err(SettingsError::invalid(
                "peers.address",
                format!("duplicate address {address}"),
            ));
        }
        out.push(PeerSettings { name: p.name.clone(), address, voter: p.voter });
    }
    Ok(out)
}

fn check_limits(raw: &RawLimits) -> Result<HttpLimits, SettingsError> {
    let zero = |key: &str| Err(SettingsError::invalid(key, "must be 1 or more"));
    match raw {
        RawLimits { header_bytes: 0, .. } => zero("limits.header_bytes"),
        RawLimits { body_bytes: 0, .. } => zero("limits.body_bytes"),
        RawLimits { header_ms: 0, .. } => zero("limits.header_ms"),
        RawLimits { body_ms: 0, .. } => zero("limits.body_ms"),
        l => Ok(HttpLimits {
            header_bytes: l.header_bytes,
            body_bytes: l.body_bytes,
            header_timeout: Duration::from_millis(l.header_ms),
            body_timeout: Duration::from_millis(l.body_ms),
            ..HttpLimits::default()
        }),
    }
}
