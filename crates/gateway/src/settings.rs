//! [`GatewaySettings`]: settings of one gateway.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crocustally_net::AdminSettings;
use crocustally_net::LogFormat;
use crocustally_net::SettingsError;
use crocustally_net::parse_address;
use serde::Deserialize;

/// Least descriptors of a gateway: those that it keeps free, and some for callers.
const DESCRIPTORS_MIN: usize = 64;
/// Longest time without progress that can be set, in seconds.
const CLIENT_STALL_MAX_S: f64 = 3600.0;

/// Gateway settings as read from YAML, not validated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawGatewaySettings {
    /// Name of the gateway.
    pub name: String,
    /// Failure domain of the gateway.
    pub domain: String,
    /// Address for callers, as `ip:port`.
    pub listen: String,
    /// Address for readiness checks, as `ip:port`; without it, none is served.
    #[serde(default)]
    pub ready_listen: Option<String>,
    /// Addresses of some control instances, as `ip:port`; only the IP is used.
    pub seeds: Vec<String>,
    /// Port on which control instances listen for other processes.
    pub control_port: u16,
    /// Source address of connections to control instances.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Time for open requests to finish after a planned stop, in seconds.
    #[serde(default = "default_grace")]
    pub grace_s: f64,
    /// Retries allowed per first attempt.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Window over which retries are counted, in seconds.
    #[serde(default = "default_retry_span")]
    pub retry_span_s: f64,
    /// Retries allowed in addition, across all gateways.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// Memory that the process may use, in megabytes (2^20 bytes); a quarter of it is for buffered
    /// bodies.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// Descriptors that the process may open; the process's own limit holds besides.
    #[serde(default)]
    pub descriptors_max: Option<usize>,
    /// Time in seconds after which a caller is disconnected that neither sends the rest of its body nor takes a
    /// response.
    #[serde(default = "default_client_stall")]
    pub client_stall_s: f64,
    /// Maximum length of an endpoint's response body in bytes, except for streams. A longer one
    /// counts as broken.
    #[serde(default = "default_response_bytes_max")]
    pub response_bytes_max: usize,
    /// Maximum length of one event of a stream in bytes. A longer one counts as broken.
    #[serde(default = "default_event_bytes_max")]
    pub event_bytes_max: usize,
    /// Longest time for which an idle connection to an endpoint is kept, in seconds.
    #[serde(default = "default_endpoint_idle")]
    pub endpoint_idle_s: f64,
    /// Factor on the request rate of a cold endpoint.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Requests per second that a cold endpoint gets in addition, across all gateways.
    #[serde(default = "default_cold_slack")]
    pub cold_slack: f64,
    /// Target for the mean time of a forward pass, as a share of the shortest event gap limit of a
    /// service's routes; bounds the streams in flight.
    #[serde(default = "default_pass_target")]
    pub pass_target_share: f64,
    /// Longest forward pass during a popularity shift, as a share of the same gap.
    #[serde(default = "default_pass_bound")]
    pub pass_bound_share: f64,
    /// Smallest limit on the streams of one of several groups that observed passes may lead to, as a share
    /// of the limit that the published figures give; at 1, one limit holds for all endpoints of a service.
    #[serde(default = "default_group_limit_share_min")]
    pub group_limit_share_min: f64,
    /// How endpoints retain prompts; absent if they keep none after a request.
    #[serde(default)]
    pub prompt_retention: Option<RawPromptRetention>,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Log format.
    #[serde(default)]
    pub log: LogFormat,
    /// Address of the metrics and health endpoints.
    #[serde(default)]
    pub admin: Option<AdminSettings>,
}

/// How endpoints retain prompts, as read from YAML, not validated.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPromptRetention {
    /// Time after its last use for which an endpoint keeps a part of a prompt, in seconds.
    pub ttl_s: f64,
    /// Share of an endpoint's KV memory that retained prompts may use.
    pub share: f64,
}

/// How endpoints retain prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptRetentionSettings {
    /// Time after its last use for which an endpoint keeps a part of a prompt.
    pub ttl: Duration,
    /// Share of an endpoint's KV memory that retained prompts may use, above 0 and up to 1.
    pub kv_share: f64,
}

/// Longest retention that can be meant: engines do not run longer without an operator.
const RETENTION_TTL_MAX_S: f64 = 86_400.0;

impl TryFrom<RawPromptRetention> for PromptRetentionSettings {
    type Error = SettingsError;

    fn try_from(raw: RawPromptRetention) -> Result<Self, SettingsError> {
        if !(raw.ttl_s > 0.0 && raw.ttl_s <= RETENTION_TTL_MAX_S) {
            let detail = "must be more than 0 and at most 86400";
            return Err(SettingsError::invalid("prompt_retention.ttl_s", detail));
        }
        if !(raw.share > 0.0 && raw.share <= 1.0) {
            let detail = "must be more than 0 and at most 1";
            return Err(SettingsError::invalid("prompt_retention.share", detail));
        }
        Ok(Self { ttl: Duration::from_secs_f64(raw.ttl_s), kv_share: raw.share })
    }
}

fn default_grace() -> f64 {
    10.0
}

fn default_retry_ratio() -> f64 {
    0.2
}

fn default_retry_span() -> f64 {
    10.0
}

/// Of the smallest machine for a gateway.
fn default_memory() -> usize {
    260
}

/// More than the longest timeout of routes (8 s), after which a caller has given up.
fn default_client_stall() -> f64 {
    10.0
}

/// 8 MiB: far above the responses of services, and a fiftieth of a gateway's memory.
fn default_response_bytes_max() -> usize {
    8 * 1024 * 1024
}

/// 256 KiB: an event carries the text of a few tokens.
fn default_event_bytes_max() -> usize {
    256 * 1024
}

/// Long enough for a gateway that sends some requests per second to a service of some dozen endpoints to
/// find an idle connection at most of them.
fn default_endpoint_idle() -> f64 {
    10.0
}

fn default_retry_slack() -> f64 {
    40.0
}

fn default_cold_factor() -> f64 {
    1.0
}

fn default_cold_slack() -> f64 {
    0.0
}

/// For routes with an event gap of 120 ms; see docs/PLATFORM.md.
fn default_pass_target() -> f64 {
    1.17
}

/// For routes with an event gap of 120 ms; see docs/PLATFORM.md.
fn default_pass_bound() -> f64 {
    0.77
}

/// On the deployments measured, lower limits refused as many streams as they kept on time; see
/// docs/design/groups.md.
fn default_group_limit_share_min() -> f64 {
    1.0
}

fn default_threads() -> usize {
    1
}

/// Validated gateway settings.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the gateway.
    pub name: String,
    /// Failure domain of the gateway.
    pub domain: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for readiness checks.
    pub ready_listen: Option<SocketAddr>,
    /// Addresses of some control instances; the others are discovered.
    pub controls: Vec<SocketAddr>,
    /// Source address of connections to control instances; `None` leaves the choice to the system.
    pub source: Option<IpAddr>,
    /// Time for open requests to finish after a planned stop.
    pub grace: Duration,
    /// Retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    pub retry_span: Duration,
    /// Retries allowed in addition, across all gateways.
    pub retry_slack: f64,
    /// Memory that the process may use, in megabytes (2^20 bytes).
    pub memory_mb: usize,
    /// Descriptors that the process may open; `None` for the process's own limit.
    pub descriptors_max: Option<usize>,
    /// Time without progress after which a caller is disconnected.
    pub client_stall: Duration,
    /// Maximum length of an endpoint's response body in bytes, except for streams.
    pub response_bytes_max: usize,
    /// Maximum length of one event of a stream in bytes.
    pub event_bytes_max: usize,
    /// Longest time for which an idle connection to an endpoint is kept.
    pub endpoint_idle: Duration,
    /// Factor on the request rate of a cold endpoint.
    pub cold_factor: f64,
    /// Requests per second that a cold endpoint gets in addition, across all gateways.
    pub cold_slack: f64,
    /// Target for the mean time of a forward pass, as a share of the shortest event gap limit of a
    /// service's routes; bounds the streams in flight.
    pub pass_target_share: f64,
    /// Longest forward pass during a popularity shift, as a share of the same gap.
    pub pass_bound_share: f64,
    /// Smallest limit of one of several groups that observed passes may lead to, as a share of the limit that
    /// the published figures give.
    pub group_limit_share_min: f64,
    /// How endpoints retain prompts; `None` if they keep none after a request.
    pub prompt_retention: Option<PromptRetentionSettings>,
    /// Number of worker threads.
    pub threads: usize,
    /// Log format.
    pub log: LogFormat,
    /// Address of the metrics and health endpoints, and their access token.
    pub admin: Option<(SocketAddr, Option<String>)>,
}

impl TryFrom<RawGatewaySettings> for GatewaySettings {
    type Error = SettingsError;

    fn try_from(raw: RawGatewaySettings) -> Result<Self, SettingsError> {
        for (key, text) in [("name", &raw.name), ("domain", &raw.domain)] {
            if text.is_empty() {
                return Err(SettingsError::invalid(key, "is empty"));
            }
        }
        for (key, n) in [
            ("grace_s", raw.grace_s),
            ("endpoint_idle_s", raw.endpoint_idle_s),
            ("retry_ratio", raw.retry_ratio),
            ("retry_slack", raw.retry_slack),
            ("cold_factor", raw.cold_factor),
            ("cold_slack", raw.cold_slack),
        ] {
            if !n.is_finite() || n < 0.0 {
                return Err(SettingsError::invalid(key, "must be 0 or more"));
            }
        }
        for (key, n) in [
            ("retry_span_s", raw.retry_span_s),
            ("client_stall_s", raw.client_stall_s),
            ("pass_target_share", raw.pass_target_share),
            ("pass_bound_share", raw.pass_bound_share),
            ("group_limit_share_min", raw.group_limit_share_min),
        ] {
            if !n.is_finite() || n <= 0.0 {
                return Err(SettingsError::invalid(key, "must be more than 0"));
            }
        }
        for (key, n) in [
            ("threads", raw.threads),
            ("memory_mb", raw.memory_mb),
            ("response_bytes_max", raw.response_bytes_max),
            ("event_bytes_max", raw.event_bytes_max),
        ] {
            if n == 0 {
                return Err(SettingsError::invalid(key, "must be 1 or more"));
            }
        }
        if raw.group_limit_share_min > 1.0 {
            return Err(SettingsError::invalid("group_limit_share_min", "must be at most 1"));
        }
        if raw.descriptors_max.is_some_and(|n| n < DESCRIPTORS_MIN) {
            let text = format!("must be {DESCRIPTORS_MIN} or more");
            return Err(SettingsError::invalid("descriptors_max", text));
        }
        if raw.client_stall_s > CLIENT_STALL_MAX_S {
            let text = format!("must be at most {CLIENT_STALL_MAX_S}");
            return Err(SettingsError::invalid("client_stall_s", text));
        }
        let mut controls = Vec::new();
        for text in &raw.seeds {
            // Seeds carry the port of the operator API; the port for other processes is the same on
            // all control instances.
            let seed = parse_address("seeds", text)?;
            controls.push(SocketAddr::new(seed.ip(), raw.control_port));
        }
        let ready = raw.ready_listen.as_deref().map(|a| parse_address("ready_listen", a));
        Ok(Self {
            listen: parse_address("listen", &raw.listen)?,
            ready_listen: ready.transpose()?,
            controls,
            source: raw.source,
            grace: Duration::from_secs_f64(raw.grace_s),
            retry_ratio: raw.retry_ratio,
            retry_span: Duration::from_secs_f64(raw.retry_span_s),
            retry_slack: raw.retry_slack,
            memory_mb: raw.memory_mb,
            descriptors_max: raw.descriptors_max,
            client_stall: Duration::from_secs_f64(raw.client_stall_s),
            response_bytes_max: raw.response_bytes_max,
            event_bytes_max: raw.event_bytes_max,
            endpoint_idle: Duration::from_secs_f64(raw.endpoint_idle_s),
            cold_factor: raw.cold_factor,
            cold_slack: raw.cold_slack,
            pass_target_share: raw.pass_target_share,
            pass_bound_share: raw.pass_bound_share,
            group_limit_share_min: raw.group_limit_share_min,
            prompt_retention: raw
                .prompt_retention
                .map(PromptRetentionSettings::try_from)
                .transpose()?,
            threads: raw.threads,
            log: raw.log,
            admin: raw.admin.map(|a| a.resolve()).transpose()?,
            name: raw.name,
            domain: raw.domain,
        })
    }
}
