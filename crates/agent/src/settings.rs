//! [`AgentSettings`]: startup settings of an agent.

use std::net::IpAddr;
use std::net::SocketAddr;

use crocustally_core::agent::AdmissionLimits;
use crocustally_core::control::ServiceKind;
use crocustally_net::AdminSettings;
use crocustally_net::GrpcLimits;
use crocustally_net::LogFormat;
use crocustally_net::SettingsError;
use crocustally_net::parse_address;
use serde::Deserialize;

/// Settings of an agent as read from YAML, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAgentSettings {
    /// Name of the endpoint.
    pub name: String,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Service of the endpoint.
    pub service: String,
    /// Whether the back end is a model engine or a plain service.
    pub kind: ServiceKind,
    /// `ip:port` to listen on for entries.
    pub listen: String,
    /// Source IP address of connections to entries.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// `ip:port` announced to entries, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<String>,
    /// `ip:port` of the engine.
    pub engine: String,
    /// `ip:port` of each entry that the endpoint is announced to.
    pub entries: Vec<String>,
    /// Concurrent requests after an engine start.
    #[serde(default = "default_start")]
    pub start_limit: u32,
    /// Upper bound on concurrent requests.
    #[serde(default = "default_max")]
    pub max_limit: u32,
    /// Memory that the process may use, in megabytes (2^20 bytes); a quarter of it is for messages of
    /// entries that are being received.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// Connections of entries that may be open; a quarter of the descriptors of the process if absent.
    #[serde(default)]
    pub peer_connections_max: Option<usize>,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Format of log lines.
    #[serde(default)]
    pub log: LogFormat,
    /// Admin listener for metrics and health.
    #[serde(default)]
    pub admin: Option<AdminSettings>,
}

fn default_start() -> u32 {
    AdmissionLimits::default().initial
}

fn default_max() -> u32 {
    AdmissionLimits::default().max
}

/// As for a gateway.
fn default_memory() -> usize {
    260
}

fn default_threads() -> usize {
    2
}

/// Validated settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the endpoint.
    pub name: String,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Service of the endpoint.
    pub service: String,
    /// Whether the back end is a model engine or a plain service.
    pub kind: ServiceKind,
    /// Address to listen on for entries.
    pub listen: SocketAddr,
    /// Source IP address of connections to entries.
    pub source: Option<IpAddr>,
    /// Address announced to entries, if it differs from the listening address.
    pub advertise: Option<SocketAddr>,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Addresses of the entries that the endpoint is announced to.
    pub entries: Vec<SocketAddr>,
    /// Bounds of the admission limit.
    pub limits: AdmissionLimits,
    /// Memory that the process may use, in megabytes (2^20 bytes).
    pub memory_mb: usize,
    /// Connections of entries that may be open.
    pub peer_connections_max: usize,
    /// Number of worker threads.
    pub threads: usize,
    /// Format of log lines.
    pub log: LogFormat,
    /// Address where metrics and health are served, with the access token.
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
        if raw.memory_mb == 0 {
            return Err(SettingsError::invalid("memory_mb", "must be 1 or more"));
        }
        if raw.peer_connections_max == Some(0) {
            return Err(SettingsError::invalid("peer_connections_max", "must be 1 or more"));
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
            limits: AdmissionLimits { initial: raw.start_limit, max: raw.max_limit },
            memory_mb: raw.memory_mb,
            peer_connections_max: raw
                .peer_connections_max
                .unwrap_or_else(GrpcLimits::default_connections),
            threads: raw.threads,
            log: raw.log,
            admin: raw.admin.map(|a| a.resolve()).transpose()?,
        })
    }
}
