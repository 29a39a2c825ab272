//! [`GatewaySettings`]: what one gateway is told at start.

use std::net::SocketAddr;
use std::time::Duration;

use crocustally_net::AdminSettings;
use crocustally_net::LogFormat;
use crocustally_net::SettingsError;
use crocustally_net::parse_address;
use serde::Deserialize;

/// The YAML of a gateway, unchecked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawGatewaySettings {
    /// Name of the gateway.
    pub name: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// `ip:port` for callers.
    pub listen: String,
    /// `ip:port` where it says whether it takes callers; none for the callers' address.
    #[serde(default)]
    pub ready_listen: Option<String>,
    /// `ip:port` of some control instances; only the IP numbers are used.
    pub seeds: Vec<String>,
    /// Port on which control instances listen for other processes.
    pub control_port: u16,
    /// Time that a planned stop leaves for open requests, in seconds.
    #[serde(default = "default_grace")]
    pub grace_s: f64,
    /// Repeats allowed for each first request.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Span over which repeats are counted, in seconds.
    #[serde(default = "default_retry_span")]
    pub retry_span_s: f64,
    /// Repeats allowed besides, over all gateways.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// Factor on the requests a second that a cold endpoint bears.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Requests a second that a cold endpoint gets besides, over all gateways.
    #[serde(default = "default_cold_slack")]
    pub cold_slack: f64,
    /// Mean time of a pass that the streams in flight are held to, as a share of the shortest pause
    /// that routes promise.
    #[serde(default = "default_pass_target")]
    pub pass_target_share: f64,
    /// Longest pass that a shift of popularity may cause, as a share of that pause.
    #[serde(default = "default_pass_bound")]
    pub pass_bound_share: f64,
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

fn default_grace() -> f64 {
    10.0
}

fn default_retry_ratio() -> f64 {
    0.2
}

fn default_retry_span() -> f64 {
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

/// Best of the shares that were measured on sites that promise 120 ms (docs/PLATFORM.md).
fn default_pass_target() -> f64 {
    1.17
}

/// As above.
fn default_pass_bound() -> f64 {
    0.77
}

fn default_threads() -> usize {
    1
}

/// Settings that can be used.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the gateway.
    pub name: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// Where it listens for callers.
    pub listen: SocketAddr,
    /// Where it says whether it takes callers.
    pub ready_listen: Option<SocketAddr>,
    /// Where control instances listen for it.
    pub controls: Vec<SocketAddr>,
    /// Time that a planned stop leaves for open requests.
    pub grace: Duration,
    /// Repeats allowed for each first request.
    pub retry_ratio: f64,
    /// Span over which repeats are counted.
    pub retry_span: Duration,
    /// Repeats allowed besides, over all gateways.
    pub retry_slack: f64,
    /// Factor on the requests a second that a cold endpoint bears.
    pub cold_factor: f64,
    /// Requests a second that a cold endpoint gets besides, over all gateways.
    pub cold_slack: f64,
    /// Mean time of a pass that the streams in flight are held to, as a share of the shortest pause
    /// that routes promise.
    pub pass_target_share: f64,
    /// Longest pass that a shift of popularity may cause, as a share of that pause.
    pub pass_bound_share: f64,
    /// Threads that run it.
    pub threads: usize,
    /// How log lines are written.
    pub log: LogFormat,
    /// Where metrics and health are served, and the token for it.
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
            ("pass_target_share", raw.pass_target_share),
            ("pass_bound_share", raw.pass_bound_share),
        ] {
            if !n.is_finite() || n <= 0.0 {
                return Err(SettingsError::invalid(key, "must be more than 0"));
            }
        }
        if raw.threads == 0 {
            return Err(SettingsError::invalid("threads", "must be 1 or more"));
        }
        let mut controls = Vec::new();
        for text in &raw.seeds {
            // Seeds are named by the address for operators; peers listen on one port everywhere.
            let seed = parse_address("seeds", text)?;
            controls.push(SocketAddr::new(seed.ip(), raw.control_port));
        }
        let ready = raw.ready_listen.as_deref().map(|a| parse_address("ready_listen", a));
        Ok(Self {
            listen: parse_address("listen", &raw.listen)?,
            ready_listen: ready.transpose()?,
            controls,
            grace: Duration::from_secs_f64(raw.grace_s),
            retry_ratio: raw.retry_ratio,
            retry_span: Duration::from_secs_f64(raw.retry_span_s),
            retry_slack: raw.retry_slack,
            cold_factor: raw.cold_factor,
            cold_slack: raw.cold_slack,
            pass_target_share: raw.pass_target_share,
            pass_bound_share: raw.pass_bound_share,
            threads: raw.threads,
            log: raw.log,
            admin: raw.admin.map(|a| a.resolve()).transpose()?,
            name: raw.name,
            domain: raw.domain,
        })
    }
}
