//! [`ControlSettings`]: the configuration of one control instance.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crocustally_core::raft::RepairSettings;
use crocustally_log::LogSettings;
use crocustally_log::PeerSettings;
use crocustally_net::AdminSettings;
use crocustally_net::GrpcLimits;
use crocustally_net::LogFormat;
use crocustally_net::SettingsError;
use crocustally_net::parse_address;
use serde::Deserialize;

/// Time without contact after which an instance that has no part in the log is forgotten: many times
/// that in which a lost one is replaced.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// The settings file of a control instance in YAML, not yet validated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawControlSettings {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// `ip:port` for operators and endpoints.
    pub listen: String,
    /// `ip:port` for the system's other processes.
    pub peer_listen: String,
    /// `ip:port` under which the system's other processes reach this instance, if it differs from
    /// `peer_listen`, as behind an address translation. It is the identity of the instance.
    #[serde(default)]
    pub peer_advertise: Option<String>,
    /// Source address of connections to other instances.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// `ip:port` of some control instances; only the IP addresses are used.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Whether the seeds bootstrap the replicated log if their data folders are empty.
    #[serde(default)]
    pub found: bool,
    /// Number of instances that may fail at the same time.
    #[serde(default = "default_losses")]
    pub losses: usize,
    /// Time in seconds after the start of a lost instance's successor after which the next may fail.
    #[serde(default = "default_catch_up")]
    pub catch_up_s: f64,
    /// Data folder of the replicated log.
    pub data: PathBuf,
    /// Time that the expert copies of one plan may take at one rank, in milliseconds.
    #[serde(default = "default_copy_time")]
    pub copy_time_ms: f64,
    /// Memory that the process may use, in megabytes (2^20 bytes); a quarter of it is for buffered
    /// bodies.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// Connections of the system's other processes that may be open; a quarter of the descriptors of
    /// the process if absent.
    #[serde(default)]
    pub peer_connections_max: Option<usize>,
    /// Number of executor threads, besides the thread of the replicated log.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Format of log lines.
    #[serde(default)]
    pub log: LogFormat,
    /// Admin server for metrics and health.
    #[serde(default)]
    pub admin: Option<AdminSettings>,
}

fn default_losses() -> usize {
    1
}

/// The shortest of the deployments so far.
fn default_catch_up() -> f64 {
    4.0
}

/// A tenth of the time between two popularity shifts, which are about four seconds apart.
fn default_copy_time() -> f64 {
    400.0
}

/// Of the smallest machine for a control instance.
fn default_memory() -> usize {
    260
}

fn default_threads() -> usize {
    1
}

/// The validated settings of a control instance.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Listen address for operators and endpoints.
    pub listen: SocketAddr,
    /// Listen address for the system's other processes.
    pub peer_listen: SocketAddr,
    /// Address under which the system's other processes reach this instance.
    pub peer_advertise: SocketAddr,
    /// Source address of connections to other instances; `None` leaves the choice to the system.
    pub source: Option<IpAddr>,
    /// Peer addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds bootstrap the replicated log.
    pub bootstrap: bool,
    /// Target number of voters of the replicated log, and the time for the replacement of a lost one.
    pub repair: RepairSettings,
    /// Data folder of the replicated log.
    pub data: PathBuf,
    /// Time that the expert copies of one plan may take at one rank.
    pub copy_time: Duration,
    /// Memory that the process may use, in megabytes (2^20 bytes).
    pub memory_mb: usize,
    /// Connections of the system's other processes that may be open.
    pub peer_connections_max: usize,
    /// Number of executor threads, besides the thread of the replicated log.
    pub threads: usize,
    /// Format of log lines.
    pub log: LogFormat,
    /// Listen address for metrics and health, and the bearer token, if one is required.
    pub admin: Option<(SocketAddr, Option<String>)>,
}

impl ControlSettings {
    /// The settings of this instance's replica.
    ///
    /// Replicas are named by advertised peer address, which stays the same when a disk is replaced.
    pub fn log_settings(&self) -> LogSettings {
        let peer = |a: &SocketAddr| PeerSettings {
            name: a.to_string(),
            address: *a,
            voter: self.bootstrap,
        };
        let other_seeds = self.seeds.iter().filter(|a| **a != self.peer_advertise);
        LogSettings {
            name: self.peer_advertise.to_string(),
            address: self.peer_advertise,
            source: self.source,
            data: Some(self.data.clone()),
            peers: other_seeds.map(peer).collect(),
            found_by_majority: true,
            initial_voter: self.bootstrap && self.seeds.contains(&self.peer_advertise),
            repair: self.repair,
            may_vote: Vec::new(),
            forget_after: Some(FORGET_TIME),
        }
    }
}

impl TryFrom<RawControlSettings> for ControlSettings {
    type Error = SettingsError;

    fn try_from(raw: RawControlSettings) -> Result<Self, SettingsError> {
        for (key, text) in [("name", &raw.name), ("domain", &raw.domain)] {
            if text.is_empty() {
                return Err(SettingsError::invalid(key, "is empty"));
            }
        }
        if !raw.copy_time_ms.is_finite() || raw.copy_time_ms <= 0.0 {
            return Err(SettingsError::invalid("copy_time_ms", "must be more than 0"));
        }
        let catch_up = Duration::try_from_secs_f64(raw.catch_up_s).unwrap_or_default();
        if catch_up.is_zero() {
            return Err(SettingsError::invalid("catch_up_s", "must be more than 0"));
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
        let peer_listen = parse_address("peer_listen", &raw.peer_listen)?;
        let peer_advertise = match &raw.peer_advertise {
            Some(text) => parse_address("peer_advertise", text)?,
            None => peer_listen,
        };
        let mut seeds = Vec::new();
        for text in &raw.seeds {
            // Seeds are given by their address for operators; the advertised peer port is the same on
            // all instances.
            let seed = parse_address("seeds", text)?;
            seeds.push(SocketAddr::new(seed.ip(), peer_advertise.port()));
        }
        Ok(Self {
            listen: parse_address("listen", &raw.listen)?,
            peer_listen,
            peer_advertise,
            source: raw.source,
            seeds,
            bootstrap: raw.found,
            repair: RepairSettings { voters: 2 * raw.losses + 1, catch_up },
            data: raw.data,
            copy_time: Duration::from_secs_f64(raw.copy_time_ms / 1e3),
            memory_mb: raw.memory_mb,
            peer_connections_max: raw
                .peer_connections_max
                .unwrap_or_else(GrpcLimits::default_connections),
            threads: raw.threads,
            log: raw.log,
            admin: raw.admin.map(|a| a.resolve()).transpose()?,
            name: raw.name,
            domain: raw.domain,
        })
    }
}
