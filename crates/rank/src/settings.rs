//! [`RankSettings`]: the configuration of one rank agent.

use std::net::SocketAddr;

use crocustally_net::AdminSettings;
use crocustally_net::LogFormat;
use crocustally_net::SettingsError;
use crocustally_net::parse_address;
use serde::Deserialize;

/// The settings file of a rank agent in YAML, not yet validated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRankSettings {
    /// Name of the agent.
    pub name: String,
    /// Service of the engine.
    pub service: String,
    /// `ip:port` of the local engine.
    pub engine: String,
    /// `ip:port` of some control instances; only the IP addresses are used.
    pub seeds: Vec<String>,
    /// Port on which control instances listen for the system's other processes.
    pub control_port: u16,
    /// Memory that the process may use, in megabytes (2^20 bytes); a quarter of it is for buffered
    /// bodies.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// Number of executor threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Format of log lines.
    #[serde(default)]
    pub log: LogFormat,
    /// Admin server for metrics and health.
    #[serde(default)]
    pub admin: Option<AdminSettings>,
}

/// Of the smallest machine for a rank agent.
fn default_memory() -> usize {
    128
}

fn default_threads() -> usize {
    1
}

/// The validated settings of a rank agent.
#[derive(Clone, Debug)]
pub struct RankSettings {
    /// Name of the agent.
    pub name: String,
    /// Service of the engine.
    pub service: String,
    /// Address of the local engine.
    pub engine: SocketAddr,
    /// Addresses of control instances.
    pub controls: Vec<SocketAddr>,
    /// Memory that the process may use, in megabytes (2^20 bytes).
    pub memory_mb: usize,
    /// Number of executor threads.
    pub threads: usize,
    /// Format of log lines.
    pub log: LogFormat,
    /// Listen address for metrics and health, and the bearer token, if one is required.
    pub admin: Option<(SocketAddr, Option<String>)>,
}

impl TryFrom<RawRankSettings> for RankSettings {
    type Error = SettingsError;

    fn try_from(raw: RawRankSettings) -> Result<Self, SettingsError> {
        for (key, text) in [("name", &raw.name), ("service", &raw.service)] {
            if text.is_empty() {
                return Err(SettingsError::invalid(key, "is empty"));
            }
        }
        if raw.memory_mb == 0 {
            return Err(SettingsError::invalid("memory_mb", "must be 1 or more"));
        }
        if raw.threads == 0 {
            return Err(SettingsError::invalid("threads", "must be 1 or more"));
        }
        let mut controls = Vec::new();
        for text in &raw.seeds {
            let seed = parse_address("seeds", text)?;
            controls.push(SocketAddr::new(seed.ip(), raw.control_port));
        }
        if controls.is_empty() {
            return Err(SettingsError::invalid("seeds", "names no control instance"));
        }
        Ok(Self {
            engine: parse_address("engine", &raw.engine)?,
            controls,
            memory_mb: raw.memory_mb,
            threads: raw.threads,
            log: raw.log,
            admin: raw.admin.map(|a| a.resolve()).transpose()?,
            name: raw.name,
            service: raw.service,
        })
    }
}
