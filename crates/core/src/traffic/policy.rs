//! [`TrafficPolicy`]: one checked version of routes, services and workspaces.

use std::collections::HashMap;
use std::time::Duration;

use super::EngineSpec;
use super::PolicyError;
use super::Route;
use super::ServiceKey;

/// A service and what its endpoints bear.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Name of the service, as endpoints announce it.
    pub name: String,
    /// Connections that one endpoint takes from all callers together.
    pub connections_max: u32,
    /// Requests a second that an endpoint bears while it is cold.
    pub cold_per_s: f64,
    /// What is published of its engines; none for a plain service.
    pub engine: Option<EngineSpec>,
}

/// A workspace and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Keys that its callers send.
    pub keys: Vec<String>,
    /// Urgency that goes before the route's.
    pub priority: Option<u8>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest header in bytes.
    pub header_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a header.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the policy; every service that a route names exists.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficPolicy {
    version: u64,
    routes: Vec<Route>,
    services: Vec<ServicePolicy>,
    workspaces: Vec<Workspace>,
    limits: CallerLimits,
    by_host: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<String, usize>,
}

impl TrafficPolicy {
    /// Checks a policy as a whole.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServicePolicy>,
        workspaces: Vec<Workspace>,
        limits: CallerLimits,
    ) -> Result<Self, PolicyError> {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (i, r) in routes.iter().enumerate() {
            check_route(r)?;
            let by_prefix = by_host.entry(r.host.clone()).or_default();
            if by_prefix.insert(r.prefix.clone(), i).is_some() {
                return Err(PolicyError::DuplicateRoute { route: r.name.clone() });
            }
        }
        let mut by_key = HashMap::new();
        for (i, w) in workspaces.iter().enumerate() {
            for key in &w.keys {
                if by_key.insert(key.clone(), i).is_some_and(|other| other != i) {
                    return Err(PolicyError::DuplicateKey { workspace: w.name.clone() });
                }
            }
        }
        Ok(Self { version, routes, services, workspaces, limits, by_host, by_key })
    }

    /// Version of the policy; the highest one is in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route of a request: of those of its host, the one with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let by_prefix = self.by_host.get(host)?;
        let prefix_ends = path.bytes().enumerate().filter(|(_, b)| *b == b'/').map(|(i, _)| i + 1);
        let index = prefix_ends.filter_map(|end| by_prefix.get(&path[..end])).next_back()?;
        self.routes.get(*index)
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.by_key.get(key).map(|i| &self.workspaces[*i])
    }

    /// Whether requests need a key at all.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// A service.
    pub fn service(&self, key: ServiceKey) -> Option<&ServicePolicy> {
        self.services.get(usize::from(key.0))
    }

    /// All services.
    pub fn services(&self) -> &[ServicePolicy] {
        &self.services
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The shortest pause between events that any route to a service promises.
    pub fn tightest_event_gap(&self, service: &str) -> Option<Duration> {
        let key = self.services.iter().position(|s| s.name == service)?;
        let targets_service =
            |r: &&Route| r.targets.iter().any(|t| usize::from(t.service.0) == key);
        self.routes.iter().filter(targets_service).filter_map(|r| r.event_gap_max).min()
    }

    /// What callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

fn check_route(r: &Route) -> Result<(), PolicyError> {
    let route = || r.name.clone();
    if !r.prefix.starts_with('/') || !r.prefix.ends_with('/') {
        return Err(PolicyError::InvalidPrefix { route: route() });
    }
    if r.timeout.is_zero() {
        return Err(PolicyError::ZeroTimeout { route: route() });
    }
    if r.targets.iter().all(|t| t.weight == 0) {
        return Err(PolicyError::ZeroWeight { route: route() });
    }
    Ok(())
}
