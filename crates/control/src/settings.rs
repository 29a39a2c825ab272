//! [`ControlSettings`]: what one control instance is told at start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crocustally_log::LogSettings;
use crocustally_log::PeerSettings;
use crocustally_net::AdminSettings;
use crocustally_net::LogFormat;
use crocustally_net::SettingsError;
use crocustally_net::parse_address;
use serde::Deserialize;

/// The YAML of a control instance, unchecked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawControlSettings {
    /// Name of the instance.
    pub name: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// `ip:port` for operators and endpoints.
    pub listen: String,
    /// `ip:port` for the system's other processes.
    pub peer_listen: String,
    /// `ip:port` of some control instances; only the IP numbers are used.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Whether the seeds found the replicated log, if their disks are empty.
    #[serde(default)]
    pub found: bool,
    /// Instances that may be lost at once.
    #[serde(default = "default_losses")]
    pub losses: usize,
    /// Folder for the replicated log.
    pub data: PathBuf,
    /// Time that the copies of one plan may take at a rank, in milliseconds.
    #[serde(default = "default_copy_time")]
    pub copy_time_ms: f64,
    /// Threads that run it, besides the log's own.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// How log lines are written.
    #[serde(default)]
    pub log: LogFormat,
    /// Where metrics and health are served.
    #[serde(default)]
    pub admin: Option<AdminSettings>,
}

fn default_losses() -> usize {
    1
}

/// A tenth of the time between two shifts of popularity, which come every four seconds or so.
fn default_copy_time() -> f64 {
    400.0
}

fn default_threads() -> usize {
    1
}

/// Settings that can be used.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the instance.
    pub name: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// Where it listens for operators and endpoints.
    pub listen: SocketAddr,
    /// Where it listens for the system's other processes.
    pub peer_listen: SocketAddr,
    /// Where other control instances listen for it.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds found the replicated log.
    pub found: bool,
    /// Voters that the replicated log aims for.
    pub voters: usize,
    /// Folder for the replicated log.
    pub data: PathBuf,
    /// Time that the copies of one plan may take at a rank.
    pub copy_time: Duration,
    /// Threads that run it, besides the log's own.
    pub threads: usize,
    /// How log lines are written.
    pub log: LogFormat,
    /// Where metrics and health are served, and the token for it.
    pub admin: Option<(SocketAddr, Option<String>)>,
}

impl ControlSettings {
    /// What the replica of this instance is told.
    ///
    /// Instances know each other by address: a replaced disk comes back under the same one.
    pub fn log_settings(&self) -> LogSettings {
        let peer =
            |a: &SocketAddr| PeerSettings { name: a.to_string(), address: *a, voter: self.found };
        let others = self.seeds.iter().filter(|a| **a != self.peer_listen);
        LogSettings {
            name: self.peer_listen.to_string(),
            address: self.peer_listen,
            source: None,
            data: Some(self.data.clone()),
            peers: others.map(peer).collect(),
            founder: self.found && self.seeds.contains(&self.peer_listen),
            voters: self.voters,
            may_vote: Vec::new(),
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
        if raw.threads == 0 {
            return Err(SettingsError::invalid("threads", "must be 1 or more"));
        }
        let peer_listen = parse_address("peer_listen", &raw.peer_listen)?;
        let mut seeds = Vec::new();
        for text in &raw.seeds {
            // Seeds are named by the address for operators; peers listen on one port everywhere.
            let seed = parse_address("seeds", text)?;
            seeds.push(SocketAddr::new(seed.ip(), peer_listen.port()));
        }
        Ok(Self {
            listen: parse_address("listen", &raw.listen)?,
            peer_listen,
            seeds,
            found: raw.found,
            voters: 2 * raw.losses + 1,
            data: raw.data,
            copy_time: Duration::from_secs_f64(raw.copy_time_ms / 1e3),
            threads: raw.threads,
            log: raw.log,
            admin: raw.admin.map(|a| a.resolve()).transpose()?,
            name: raw.name,
            domain: raw.domain,
        })
    }
}
