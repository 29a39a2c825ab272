//! [`EntrySettings`]: what one entry instance is told at start.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crocustally_log::LogSettings;
use crocustally_log::PeerSettings;
use crocustally_net::AdminSettings;
use crocustally_net::HttpLimits;
use crocustally_net::LogFormat;
use crocustally_net::SettingsError;
use crocustally_net::parse_address;
use serde::Deserialize;

/// Another entry instance, as the settings name it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPeer {
    /// Name of the entry instance.
    pub name: String,
    /// `ip:port` on which it listens for other processes.
    pub address: String,
    /// Whether it founds the replicated log as a voter.
    #[serde(default)]
    pub voter: bool,
}

/// What callers may send.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
    /// Longest header in bytes.
    pub header_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Longest time for the header in milliseconds.
    pub header_ms: u64,
    /// Longest time for the body in milliseconds.
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

/// The YAML of an entry, unchecked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntrySettings {
    /// Name of the entry instance.
    pub name: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// `ip:port` for callers.
    pub listen: String,
    /// `ip:port` for the system's other processes.
    pub peer_listen: String,
    /// IP number that its connections to other processes come from.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// All other entry instances.
    #[serde(default)]
    pub peers: Vec<RawPeer>,
    /// Whether it founds the replicated log as a voter.
    #[serde(default)]
    pub voter: bool,
    /// Folder for the replicated log; an instance without a disk has none.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// What callers may send.
    #[serde(default)]
    pub limits: RawLimits,
    /// Threads that run it.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// How log lines are written.
    #[serde(default)]
    pub log: LogFormat,
    /// Where metrics and health are served.
    #[serde(default)]
    pub admin: Option<AdminSettings>,
}

fn default_threads() -> usize {
    4
}

/// Settings that can be used.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the entry instance.
    pub name: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// Where it listens for callers.
    pub listen: SocketAddr,
    /// Where it listens for other processes.
    pub peer_listen: SocketAddr,
    /// IP number that its connections to other processes come from.
    pub source: Option<IpAddr>,
    /// All other entry instances.
    pub peers: Vec<PeerSettings>,
    /// Whether it founds the replicated log as a voter.
    pub voter: bool,
    /// Folder for the replicated log.
    pub data: Option<PathBuf>,
    /// What callers may send.
    pub limits: HttpLimits,
    /// Threads that run it.
    pub threads: usize,
    /// How log lines are written.
    pub log: LogFormat,
    /// Where metrics and health are served, and the token for it.
    pub admin: Option<(SocketAddr, Option<String>)>,
}

impl EntrySettings {
    /// What the replica of this instance is told.
    pub fn log_settings(&self) -> LogSettings {
        let names = self.peers.iter().map(|p| p.name.clone());
        LogSettings {
            name: self.name.clone(),
            address: self.peer_listen,
            source: self.source,
            data: self.data.clone(),
            peers: self.peers.clone(),
            initial_voter: self.voter,
            voters: self.voter_names().len(),
            may_vote: names.chain([self.name.clone()]).collect(),
        }
    }

    /// Names of all instances that found the log as voters, this one included.
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
        if raw.threads == 0 {
            return Err(SettingsError::invalid("threads", "must be 1 or more"));
        }
        if raw.voter && raw.data.is_none() {
            return Err(SettingsError::invalid("voter", "a voter needs a data folder"));
        }
        let listen = parse_address("listen", &raw.listen)?;
        let peer_listen = parse_address("peer_listen", &raw.peer_listen)?;
        if listen == peer_listen && listen.port() != 0 {
            return Err(SettingsError::invalid("peer_listen", "is the callers' address"));
        }
        let peers = check_peers(&raw, peer_listen)?;
        Ok(Self {
            limits: check_limits(&raw.limits)?,
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
            return Err(SettingsError::invalid("peers.name", format!("{:?} twice", p.name)));
        }
        if !addresses.insert(address) {
            return Err(SettingsError::invalid("peers.address", format!("{address} twice")));
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
