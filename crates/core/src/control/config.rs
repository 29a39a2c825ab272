//! [`Config`]: everything that accepted tickets have said, and the rules for the next one.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::DomainSpec;
use super::DomainState;
use super::EndpointSpec;
use super::EndpointState;
use super::ServiceSpec;
use super::Ticket;
use super::WorkspaceSpec;
use crate::Code;

/// Decided ticket numbers that are remembered, so that a resent ticket gets its first answer.
const DECIDED_KEPT: usize = 4096;

/// What a ticket came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// [`Code::Ok`] or why it was refused.
    pub code: u16,
    /// Version of the configuration after it.
    pub version: u64,
    /// Digest of the ticket that won its number, in hexadecimal.
    pub winner: String,
}

/// The state that every entry and agent acts on.
///
/// Only [`Config::apply`] changes it, and only in the order of the replicated log, so equal
/// versions are equal states.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Accepted tickets so far.
    pub version: u64,
    /// Failure domains by name.
    pub domains: BTreeMap<String, DomainSpec>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, WorkspaceSpec>,
    /// Wanted states of endpoints by name; an endpoint without one serves.
    pub endpoints: BTreeMap<String, EndpointSpec>,
    /// Number of the last ticket that touched each `kind/name`, kept after a removal too.
    pub touched: BTreeMap<String, u64>,
    /// Decisions by ticket number.
    pub decided: BTreeMap<u64, Decision>,
    /// Numbers up to this one have been forgotten and are stale.
    pub forgotten: u64,
}

impl Config {
    /// Applies one ticket from the log and says what it came to.
    pub fn apply(&mut self, ticket: &Ticket) -> Decision {
        let digest = ticket.digest().hex();
        if let Some(first) = self.decided.get(&ticket.number()) {
            return repeat_of(first, digest);
        }
        let code = self.judge(ticket);
        if code == Code::Ok {
            self.take(ticket);
        }
        let decision = Decision { code: code.number(), version: self.version, winner: digest };
        self.remember(ticket.number(), decision.clone());
        decision
    }

    /// Whether a failure domain takes new work; an unknown one does.
    pub fn domain_out(&self, name: &str) -> bool {
        self.domains.get(name).is_some_and(|d| d.state == DomainState::Out)
    }

    /// Whether an endpoint has been told to leave.
    pub fn endpoint_draining(&self, name: &str) -> bool {
        self.endpoints.get(name).is_some_and(|e| e.state == EndpointState::Drain)
    }

    /// The service whose path is the longest prefix of `path`.
    pub fn service_for_path(&self, path: &str) -> Option<&ServiceSpec> {
        let fits = self.services.values().filter(|s| path_under(path, &s.path));
        fits.max_by_key(|s| s.path.len())
    }

    /// The workspace with this hash of a bearer key.
    pub fn workspace_by_key_hash(&self, key_hash: &str) -> Option<&WorkspaceSpec> {
        self.workspaces.values().find(|w| w.key_hash == key_hash)
    }

    /// The least number that no decided ticket has reached.
    pub fn next_number(&self) -> u64 {
        let decided = self.decided.keys().next_back().copied().unwrap_or(0);
        decided.max(self.forgotten) + 1
    }

    fn judge(&self, ticket: &Ticket) -> Code {
        let overtaken = |t: &String| self.touched.get(t).is_some_and(|n| *n > ticket.number());
        if ticket.number() <= self.forgotten || ticket.changed_objects().iter().any(overtaken) {
            return Code::TicketStale;
        }
        if self.overlaps(ticket) {
            return Code::TicketInvalid;
        }
        Code::Ok
    }

    /// Two workspaces with one key, or two services with one path, would make routing ambiguous.
    fn overlaps(&self, ticket: &Ticket) -> bool {
        let mut next = self.clone();
        next.take(ticket);
        let mut keys: Vec<&String> = next.workspaces.values().map(|w| &w.key_hash).collect();
        let mut paths: Vec<&String> = next.services.values().map(|s| &s.path).collect();
        keys.sort();
        paths.sort();
        keys.windows(2).any(|w| w[0] == w[1]) || paths.windows(2).any(|w| w[0] == w[1])
    }

    fn take(&mut self, ticket: &Ticket) {
        let raw = ticket.raw();
        self.domains.extend(raw.domains.iter().map(|d| (d.name.clone(), d.clone())));
        self.services.extend(raw.services.iter().map(|s| (s.name.clone(), s.clone())));
        self.workspaces.extend(raw.workspaces.iter().map(|w| (w.name.clone(), w.clone())));
        self.endpoints.extend(raw.endpoints.iter().map(|e| (e.name.clone(), e.clone())));
        for gone in &raw.remove {
            self.remove(gone);
        }
        for touched in ticket.changed_objects() {
            self.touched.insert(touched, ticket.number());
        }
        self.version += 1;
    }

    fn remove(&mut self, gone: &str) {
        let Some((kind, name)) = gone.split_once('/') else { return };
        match kind {
            "domain" => drop(self.domains.remove(name)),
            "service" => drop(self.services.remove(name)),
            "workspace" => drop(self.workspaces.remove(name)),
            _ => drop(self.endpoints.remove(name)),
        }
    }

    fn remember(&mut self, number: u64, decision: Decision) {
        self.decided.insert(number, decision);
        while self.decided.len() > DECIDED_KEPT {
            let Some((oldest, _)) = self.decided.pop_first() else { break };
            self.forgotten = self.forgotten.max(oldest);
        }
    }
}

/// Whether `path` is `prefix` or lies below it.
fn path_under(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || rest.starts_with('?') || prefix.ends_with('/')
}

fn repeat_of(first: &Decision, digest: String) -> Decision {
    if first.winner == digest {
        return first.clone();
    }
    Decision { code: Code::TicketConflict.number(), ..first.clone() }
}
