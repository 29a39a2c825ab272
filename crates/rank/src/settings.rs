//! [`RankSettings`]: what one rank agent is told at start.

use std::net::SocketAddr;

use crocustally_net::AdminSettings;
use crocustally_net::LogFormat;
use crocustally_net::SettingsError;
use crocustally_net::parse_address;
use serde::Deserialize;

/// The YAML of a rank agent, unchecked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRankSettings {
    /// Name of the agent.
    pub name: String,
    /// Service of its engine.
    pub service: String,
    /// `ip:port` of the engine beside it.
    pub engine: String,
    /// `ip:port` of some control instances; only the IP numbers are used.
    pub seeds: Vec<String>,
    /// Port on which control instances listen for other processes.
    pub control_port: u16,
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
    1
}

/// Settings that can be used.
#[derive(Clone, Debug)]
pub struct RankSettings {
    /// Name of the agent.
    pub name: String,
    /// Service of its engine.
    pub service: String,
    /// The engine beside it.
    pub engine: SocketAddr,
    /// Where control instances listen for it.
    pub controls: Vec<SocketAddr>,
    /// Threads that run it.
    pub threads: usize,
    /// How log lines are written.
    pub log: LogFormat,
    /// Where metrics and health are served, and the token for it.
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
            threads: raw.threads,
            log: raw.log,
            admin: raw.admin.map(|a| a.resolve()).transpose()?,
            name: raw.name,
            service: raw.service,
        })
    }
}
