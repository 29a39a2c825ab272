//! [`Ticket`]: one numbered change of configuration, checked.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::Code;
use crate::Digest;

/// Whether a failure domain takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainState {
    /// Its endpoints take work.
    #[default]
    In,
    /// Its endpoints take no new work; what runs there ends whole.
    Out,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// It takes work.
    #[default]
    Serve,
    /// It takes no new work; what runs there ends whole.
    Drain,
}

/// What kind of back end a service has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines: idempotent requests, streamed answers that can be resumed.
    Model,
    /// Plain HTTP: everything but `GET` and `HEAD` runs at most once.
    Plain,
}

/// How urgent a workspace's requests are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served before everything else.
    High,
    /// The usual.
    #[default]
    Normal,
    /// Refused first when capacity is short.
    Low,
}

/// A failure domain, as a ticket states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Name of the failure domain.
    pub name: String,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: DomainState,
}

/// Targets that the burn report measures a service against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// Share of requests that must get a whole answer, in parts per 100,000.
    pub whole_per_100k: u32,
    /// Share of requests whose first byte must come in time, in parts per 100,000.
    pub first_per_100k: u32,
    /// Bound on the time to the first byte in milliseconds.
    pub first_ms: u32,
}

impl Default for Objective {
    fn default() -> Self {
        Self { whole_per_100k: 99_900, first_per_100k: 95_000, first_ms: 1500 }
    }
}

/// A service, as a ticket states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service, as endpoints announce it.
    pub name: String,
    /// What kind of back end it has.
    pub kind: ServiceKind,
    /// Path prefix that callers use.
    pub path: String,
    /// Longest time a request may wait for room, in milliseconds.
    #[serde(default = "ServiceSpec::default_queue_ms")]
    pub queue_ms: u32,
    /// Longest time from arrival to the end of the answer, in milliseconds.
    #[serde(default = "ServiceSpec::default_deadline_ms")]
    pub deadline_ms: u32,
    /// What the burn report measures it against.
    #[serde(default)]
    pub objective: Objective,
}

impl ServiceSpec {
    fn default_queue_ms() -> u32 {
        5_000
    }

    fn default_deadline_ms() -> u32 {
        120_000
    }
}

/// A workspace, as a ticket states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: String,
    /// BLAKE3 of the bearer key that its callers send, in hexadecimal.
    pub key_hash: String,
    /// Weight against the other workspaces of a service.
    #[serde(default = "WorkspaceSpec::default_share")]
    pub share: u32,
    /// How urgent its requests are.
    #[serde(default)]
    pub priority: Priority,
    /// Services that it may use.
    pub services: Vec<String>,
}

impl WorkspaceSpec {
    fn default_share() -> u32 {
        10
    }
}

/// The wanted state of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub name: String,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: EndpointState,
}

/// A ticket as it is written, before it is checked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawTicket {
    /// Number of the ticket; later tickets have higher numbers.
    pub number: u64,
    /// Failure domains whose whole state it carries.
    pub domains: Vec<DomainSpec>,
    /// Services whose whole state it carries.
    pub services: Vec<ServiceSpec>,
    /// Workspaces whose whole state it carries.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Endpoints whose whole wanted state it carries.
    pub endpoints: Vec<EndpointSpec>,
    /// Names that it removes, each written as `kind/name`.
    pub remove: Vec<String>,
}

/// Why a ticket cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketError {
    /// Its numbered code.
    pub code: Code,
    /// What is wrong, with the line where the reader knew it.
    pub detail: String,
}

/// A ticket that describes a valid state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    raw: RawTicket,
}

impl Ticket {
    /// Reads the YAML that operators write.
    pub fn from_yaml(text: &str) -> Result<Self, TicketError> {
        let raw: RawTicket = serde_saphyr::from_str(text).map_err(|e| invalid(e.to_string()))?;
        Self::try_from(raw)
    }

    /// Reads the canonical JSON of the replicated log.
    pub fn from_json(buf: &[u8]) -> Result<Self, TicketError> {
        let raw: RawTicket = serde_json::from_slice(buf).map_err(|e| invalid(e.to_string()))?;
        Self::try_from(raw)
    }

    /// The canonical JSON: equal states give equal bytes.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&self.raw).unwrap_or_default()
    }

    /// Digest of the whole content.
    pub fn digest(&self) -> Digest {
        Digest::of(&[&self.to_json()])
    }

    /// Number of the ticket.
    pub fn number(&self) -> u64 {
        self.raw.number
    }

    /// The states that it carries.
    pub fn raw(&self) -> &RawTicket {
        &self.raw
    }

    /// Everything it touches, each as `kind/name`.
    pub fn changed_objects(&self) -> Vec<String> {
        let raw = &self.raw;
        let mut out: Vec<String> = Vec::new();
        out.extend(raw.domains.iter().map(|d| format!("domain/{}", d.name)));
        out.extend(raw.services.iter().map(|s| format!("service/{}", s.name)));
        out.extend(raw.workspaces.iter().map(|w| format!("workspace/{}", w.name)));
        out.extend(raw.endpoints.iter().map(|e| format!("endpoint/{}", e.name)));
        out.extend(raw.remove.iter().cloned());
        out
    }
}

fn invalid(detail: String) -> TicketError {
    TicketError { code: Code::TicketInvalid, detail }
}

/// Longest name of anything an operator creates, in bytes.
const NAME_BYTES_MAX: usize = 64;

fn check_name(name: &str) -> Result<(), TicketError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if name.is_empty() || name.len() > NAME_BYTES_MAX || !name.chars().all(plain) {
        return Err(invalid(format!(
            "name {name:?} is not 1 to {NAME_BYTES_MAX} plain characters"
        )));
    }
    Ok(())
}

impl TryFrom<RawTicket> for Ticket {
    type Error = TicketError;

    fn try_from(mut raw: RawTicket) -> Result<Self, TicketError> {
        if raw.number == 0 {
            return Err(invalid("number: must be 1 or more".to_owned()));
        }
        check_services(&raw.services)?;
        check_workspaces(&raw.workspaces)?;
        raw.domains.sort_by(|a, b| a.name.cmp(&b.name));
        raw.services.sort_by(|a, b| a.name.cmp(&b.name));
        raw.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        raw.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        raw.remove.sort();
        let ticket = Self { raw };
        check_touches(&ticket.changed_objects())?;
        Ok(ticket)
    }
}

fn check_services(services: &[ServiceSpec]) -> Result<(), TicketError> {
    for s in services {
        if !s.path.starts_with('/') {
            return Err(invalid(format!("service {}: path must start with /", s.name)));
        }
        if s.queue_ms == 0 || s.deadline_ms == 0 {
            return Err(invalid(format!("service {}: a limit of zero", s.name)));
        }
        if s.objective.whole_per_100k > 100_000 || s.objective.first_per_100k > 100_000 {
            return Err(invalid(format!("service {}: objective over 100,000", s.name)));
        }
    }
    Ok(())
}

fn check_workspaces(workspaces: &[WorkspaceSpec]) -> Result<(), TicketError> {
    for w in workspaces {
        if w.share == 0 {
            return Err(invalid(format!("workspace {}: share must be 1 or more", w.name)));
        }
        if w.key_hash.len() != 64 || !w.key_hash.chars().all(|c| c.is_ascii_hexdigit()) {
            return Err(invalid(format!("workspace {}: key_hash is not 64 hex digits", w.name)));
        }
    }
    Ok(())
}

fn check_touches(touches: &[String]) -> Result<(), TicketError> {
    if touches.is_empty() {
        return Err(invalid("the ticket touches nothing".to_owned()));
    }
    let mut seen = BTreeSet::new();
    for t in touches {
        let Some((kind, name)) = t.split_once('/') else {
            return Err(invalid(format!("remove {t:?}: expected kind/name")));
        };
        if !matches!(kind, "domain" | "service" | "workspace" | "endpoint") {
            return Err(invalid(format!("remove {t:?}: unknown kind")));
        }
        check_name(name)?;
        if !seen.insert(t) {
            return Err(invalid(format!("{t} stands twice")));
        }
    }
    Ok(())
}
