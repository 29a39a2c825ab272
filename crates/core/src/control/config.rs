//! [`Config`]: the configuration that results from accepted tickets, and the rules for accepting
//! one.

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

/// Number of retained decisions; a ticket that is sent again gets its original decision.
const DECISIONS_RETAINED: usize = 4096;

/// Result of applying a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Number of [`Code::Ok`] or of the code that tells why the ticket was refused.
    pub code: u16,
    /// Version of the configuration after the ticket.
    pub version: u64,
    /// Digest of the first ticket applied with this number, in hexadecimal.
    pub winner: String,
}

/// The replicated configuration, used by all entry instances and agents.
///
/// It changes only through [`Config::apply`], in the order of the replicated log, so configurations
/// of the same version are equal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Number of accepted tickets so far.
    pub version: u64,
    /// Failure domains by name.
    pub domains: BTreeMap<String, DomainSpec>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, WorkspaceSpec>,
    /// Desired states of endpoints by name; an endpoint that is not listed serves.
    pub endpoints: BTreeMap<String, EndpointSpec>,
    /// Number of the last ticket that changed each `kind/name`, including removed ones.
    pub touched: BTreeMap<String, u64>,
    /// Retained decisions by ticket number.
    pub decided: BTreeMap<u64, Decision>,
    /// Highest ticket number whose decision has been discarded; this number and all lower ones are
    /// stale.
    pub forgotten: u64,
}

impl Config {
    /// Applies a ticket from the log and returns the decision on it.
    pub fn apply(&mut self, ticket: &Ticket) -> Decision {
        let digest = ticket.digest().hex();
        if let Some(first) = self.decided.get(&ticket.number()) {
            return decision_for_duplicate(first, digest);
        }
        let code = self.check(ticket);
        if code == Code::Ok {
            self.merge(ticket);
        }
        let decision = Decision { code: code.number(), version: self.version, winner: digest };
        self.record_decision(ticket.number(), decision.clone());
        decision
    }

    /// Whether a failure domain is excluded from new work; an unknown one is not.
    pub fn domain_out(&self, name: &str) -> bool {
        self.domains.get(name).is_some_and(|d| d.state == DomainState::Out)
    }

    /// Whether an endpoint is set to drain.
    pub fn endpoint_draining(&self, name: &str) -> bool {
        self.endpoints.get(name).is_some_and(|e| e.state == EndpointState::Drain)
    }

    /// The service with the longest path that is a prefix of `path`.
    pub fn service_for_path(&self, path: &str) -> Option<&ServiceSpec> {
        let matching = self.services.values().filter(|s| path_matches_prefix(path, &s.path));
        matching.max_by_key(|s| s.path.len())
    }

    /// The workspace whose bearer key has this hash.
    pub fn workspace_by_key_hash(&self, key_hash: &str) -> Option<&WorkspaceSpec> {
        self.workspaces.values().find(|w| w.key_hash == key_hash)
    }

    /// The next ticket number after the highest decided one.
    pub fn next_number(&self) -> u64 {
        let decided = self.decided.keys().next_back().copied().unwrap_or(0);
        decided.max(self.forgotten) + 1
    }

    fn check(&self, ticket: &Ticket) -> Code {
        let superseded = |t: &String| self.touched.get(t).is_some_and(|n| *n > ticket.number());
        if ticket.number() <= self.forgotten || ticket.changed_objects().iter().any(superseded) {
            return Code::TicketStale;
        }
        if self.makes_routing_ambiguous(ticket) {
            return Code::TicketInvalid;
        }
        Code::Ok
    }

    /// Whether the ticket would make routing ambiguous: two workspaces with the same key, or two
    /// services with the same path.
    fn makes_routing_ambiguous(&self, ticket: &Ticket) -> bool {
        let mut next = self.clone();
        next.merge(ticket);
        let mut keys: Vec<&String> = next.workspaces.values().map(|w| &w.key_hash).collect();
        let mut paths: Vec<&String> = next.services.values().map(|s| &s.path).collect();
        keys.sort();
        paths.sort();
        keys.windows(2).any(|w| w[0] == w[1]) || paths.windows(2).any(|w| w[0] == w[1])
    }

    fn merge(&mut self, ticket: &Ticket) {
        let raw = ticket.raw();
        self.domains.extend(raw.domains.iter().map(|d| (d.name.clone(), d.clone())));
        self.services.extend(raw.services.iter().map(|s| (s.name.clone(), s.clone())));
        self.workspaces.extend(raw.workspaces.iter().map(|w| (w.name.clone(), w.clone())));
        self.endpoints.extend(raw.endpoints.iter().map(|e| (e.name.clone(), e.clone())));
        for removed in &raw.remove {
            self.remove(removed);
        }
        for object in ticket.changed_objects() {
            self.touched.insert(object, ticket.number());
        }
        self.version += 1;
    }

    fn remove(&mut self, removed: &str) {
        let Some((kind, name)) = removed.split_once('/') else { return };
        match kind {
            "domain" => drop(self.domains.remove(name)),
            "service" => drop(self.services.remove(name)),
            "workspace" => drop(self.workspaces.remove(name)),
            _ => drop(self.endpoints.remove(name)),
        }
    }

    fn record_decision(&mut self, number: u64, decision: Decision) {
        self.decided.insert(number, decision);
        while self.decided.len() > DECISIONS_RETAINED {
            let Some((oldest, _)) = self.decided.pop_first() else { break };
            self.forgotten = self.forgotten.max(oldest);
        }
    }
}

/// Whether `path` is `prefix` or lies below it.
fn path_matches_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || rest.starts_with('?') || prefix.ends_with('/')
}

fn decision_for_duplicate(first: &Decision, digest: String) -> Decision {
    if first.winner == digest {
        return first.clone();
    }
    Decision { code: Code::TicketConflict.number(), ..first.clone() }
}
