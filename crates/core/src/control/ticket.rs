//! [`Ticket`]: a validated, numbered configuration change.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::Code;
use crate::Digest;

/// Whether a failure domain takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainState {
    /// Its endpoints take new work.
    #[default]
    In,
    /// Its endpoints take no new work; requests in progress run to completion.
    Out,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// It takes new work.
    #[default]
    Serve,
    /// It takes no new work; requests in progress run to completion.
    Drain,
}

/// Kind of back end behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines: requests are idempotent, and streamed responses can be resumed.
    Model,
    /// Plain HTTP: all requests but `GET` and `HEAD` run at most once.
    Plain,
}

/// Priority of a workspace's requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served before all other requests.
    High,
    /// The default.
    #[default]
    Normal,
    /// Refused first when capacity is short.
    Low,
}

/// A failure domain, as specified in a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Name of the failure domain.
    pub name: String,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: DomainState,
}

/// Service level objective that the burn report compares a service with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// Target share of requests with a complete response, in parts per 100,000.
    pub whole_per_100k: u32,
    /// Target share of responses whose first byte arrives within `first_ms`, in parts per 100,000.
    pub first_per_100k: u32,
    /// Limit on the time to the first byte, in milliseconds.
    pub first_ms: u32,
}

impl Default for Objective {
    fn default() -> Self {
        Self { whole_per_100k: 99_900, first_per_100k: 95_000, first_ms: 1500 }
    }
}

/// A service, as specified in a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service, as endpoints announce it.
    pub name: String,
    /// Kind of back end.
    pub kind: ServiceKind,
    /// Path prefix of its requests.
    pub path: String,
    /// Longest time that a request may be queued, in milliseconds.
    #[serde(default = "ServiceSpec::default_queue_ms")]
    pub queue_ms: u32,
    /// Longest time from arrival to the end of the response, in milliseconds.
    #[serde(default = "ServiceSpec::default_deadline_ms")]
    pub deadline_ms: u32,
    /// Service level objective for the burn report.
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

/// A workspace, as specified in a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: String,
    /// BLAKE3 hash of the bearer key that its callers send, in hexadecimal.
    pub key_hash: String,
    /// Weight relative to the other workspaces of a service.
    #[serde(default = "WorkspaceSpec::default_share")]
    pub share: u32,
    /// Priority of its requests.
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

/// The desired state of an endpoint, as specified in a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub name: String,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: EndpointState,
}

/// A ticket as parsed, before validation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawTicket {
    /// Number of the ticket, from 1; later tickets have higher numbers.
    pub number: u64,
    /// Failure domains to create or replace.
    pub domains: Vec<DomainSpec>,
    /// Services to create or replace.
    pub services: Vec<ServiceSpec>,
    /// Workspaces to create or replace.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Endpoints whose desired state to create or replace.
    pub endpoints: Vec<EndpointSpec>,
    /// Objects to remove, each as `kind/name`.
    pub remove: Vec<String>,
}

/// Error for a ticket that cannot be parsed or is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketError {
    /// The numbered code.
    pub code: Code,
    /// Description of the error, with the line number if the parser reported one.
    pub detail: String,
}

/// A validated ticket; its objects are sorted by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    raw: RawTicket,
}

impl Ticket {
    /// Parses and validates the YAML form that operators write.
    pub fn from_yaml(text: &str) -> Result<Self, TicketError> {
        let raw: RawTicket = serde_saphyr::from_str(text).map_err(|e| invalid(e.to_string()))?;
        Self::try_from(raw)
    }

    /// Parses and validates the canonical JSON form stored in the replicated log.
    pub fn from_json(buf: &[u8]) -> Result<Self, TicketError> {
        let raw: RawTicket = serde_json::from_slice(buf).map_err(|e| invalid(e.to_string()))?;
        Self::try_from(raw)
    }

    /// Canonical JSON form: equal tickets have equal bytes.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&self.raw).unwrap_or_default()
    }

    /// Digest of the canonical JSON form.
    pub fn digest(&self) -> Digest {
        Digest::of(&[&self.to_json()])
    }

    /// Number of the ticket.
    pub fn number(&self) -> u64 {
        self.raw.number
    }

    /// Content of the ticket.
    pub fn raw(&self) -> &RawTicket {
        &self.raw
    }

    /// All objects that the ticket creates, replaces or removes, each as `kind/name`.
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

/// Maximum length of the name of an object in a ticket, in bytes.
const NAME_BYTES_MAX: usize = 64;

fn check_name(name: &str) -> Result<(), TicketError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if name.is_empty() || name.len() > NAME_BYTES_MAX || !name.chars().all(allowed) {
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
        check_changed_objects(&ticket.changed_objects())?;
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

fn check_changed_objects(objects: &[String]) -> Result<(), TicketError> {
    if objects.is_empty() {
        return Err(invalid("the ticket touches nothing".to_owned()));
    }
    let mut seen = BTreeSet::new();
    for t in objects {
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
