//! [`AgentSettings`]: what one agent is told at start.

use std::net::IpAddr;
use std::net::SocketAddr;

use crocustally_core::agent::AdmissionLimits;
use crocustally_core::control::ServiceKind;
use crocustally_net::AdminSettings;
use crocustally_net::LogFormat;
use crocustally_net::SettingsError;
use crocustally_net::parse_address;
use serde::Deserialize;

/// The YAML of an agent, unchecked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAgentSettings {
    /// Name of the endpoint.
    pub name: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// Service that its engine serves.
    pub service: String,
    /// Whether the back end is a model engine or a plain service.
    pub kind: ServiceKind,
    /// `ip:port` to listen on for entries.
    pub listen: String,
    /// IP number that its connections to entries come from.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// `ip:port` that entries are told, where it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<String>,
    /// `ip:port` of the engine beside it.
    pub engine: String,
    /// `ip:port` of the entries that it announces itself to.
    pub entries: Vec<String>,
    /// Requests at once after an engine start.
    #[serde(default = "default_start")]
    pub start_limit: u32,
    /// Requests at once at most.
    #[serde(default = "default_max")]
    pub max_limit: u32,
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

fn default_start() -> u32 {
    AdmissionLimits::default().start
}

fn default_max() -> u32 {
    AdmissionLimits::default().max
}

fn default_threads() -> usize {
    2
}

/// Settings that can be used.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the endpoint.
    pub name: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// Service that its engine serves.
    pub service: String,
    /// Whether the back end is a model engine or a plain service.
    pub kind: ServiceKind,
    /// Where it listens for entries.
    pub listen: SocketAddr,
    /// IP number that its connections to entries come from.
    pub source: Option<IpAddr>,
    /// What entries are told, where it differs from where it listens.
    pub advertise: Option<SocketAddr>,
    /// The engine beside it.
    pub engine: SocketAddr,
    /// Entries that it announces itself to.
    pub entries: Vec<SocketAddr>,
    /// Bounds of its admission limit.
    pub limits: AdmissionLimits,
    /// Threads that run it.
    pub threads: usize,
    /// How log lines are written.
    pub log: LogFormat,
    /// Where metrics and health are served, and the token for it.
    pub admin: Option<(SocketAddr, Option<String>)>,
}

impl TryFrom<RawAgentSettings> for AgentSettings {
    type Error = SettingsError;

    fn try_from(raw: RawAgentSettings) -> Result<Self, SettingsError> {
        for (key, text) in [("name", &raw.name), ("domain", &raw.domain), ("service", &raw.service)]
        {
            if text.is_empty() {
                return Err(SettingsError::invalid(key, "is empty"));
            }
        }
        for (key, n) in [("start_limit", raw.start_limit), ("max_limit", raw.max_limit)] {
            if n == 0 {
                return Err(SettingsError::invalid(key, "must be 1 or more"));
            }
        }
        if raw.start_limit > raw.max_limit {
            return Err(SettingsError::invalid("start_limit", "is above max_limit"));
        }
        if raw.threads == 0 {
            return Err(SettingsError::invalid("threads", "must be 1 or more"));
        }
        let listen = parse_address("listen", &raw.listen)?;
        let engine = parse_address("engine", &raw.engine)?;
        if listen == engine && listen.port() != 0 {
            return Err(SettingsError::invalid("engine", "is the agent's own address"));
        }
        let advertise = raw.advertise.as_deref().map(|a| parse_address("advertise", a));
        let entries: Result<Vec<SocketAddr>, SettingsError> =
            raw.entries.iter().map(|e| parse_address("entries", e)).collect();
        let entries = entries?;
        if entries.is_empty() {
            return Err(SettingsError::invalid("entries", "names no entry"));
        }
        Ok(Self {
            name: raw.name,
            domain: raw.domain,
            service: raw.service,
            kind: raw.kind,
            listen,
            source: raw.source,
            advertise: advertise.transpose()?,
            engine,
            entries,
            limits: AdmissionLimits { start: raw.start_limit, max: raw.max_limit },
            threads: raw.threads,
            log: raw.log,
            admin: raw.admin.map(|a| a.resolve()).transpose()?,
        })
    }
}
