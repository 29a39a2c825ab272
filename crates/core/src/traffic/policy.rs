//! [`TrafficPolicy`]: a validated version of routes, services and workspaces.

use std::collections::HashMap;
use std::time::Duration;

use super::EngineSpec;
use super::PolicyError;
use super::Route;
use super::ServiceKey;

/// A service and the limits of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Name of the service, as in the heartbeats of its endpoints.
    pub name: String,
    /// Connections that one endpoint accepts, summed over all gateways.
    pub connections_max: u32,
    /// Requests per second that a cold endpoint can handle; gateways derive its rate limit from
    /// this.
    pub cold_per_s: f64,
    /// Performance data of the engines; `None` for a service without model engines.
    pub engine: Option<EngineSpec>,
}

/// A workspace and the API keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// API keys that identify callers of the workspace.
    pub keys: Vec<String>,
    /// Priority that overrides the route's; lower values are served first.
    pub priority: Option<u8>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request header in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request header.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One validated version of the policy, indexed for lookups by host and path and by API key.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficPolicy {
    version: u64,
    routes: Vec<Route>,
    services: Vec<ServicePolicy>,
    workspaces: Vec<Workspace>,
    limits: CallerLimits,
    /// By the host in lower case and the prefix.
    by_host: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<String, usize>,
}

impl TrafficPolicy {
    /// Performance data of a service's engines, if they have experts.
    pub fn expert_engine(&self, service: &str) -> Option<&EngineSpec> {
        let service = self.services().iter().find(|s| s.name == service)?;
        service.engine.as_ref().filter(|e| e.layer_sets > 0)
    }

    /// Validates a policy and builds its indexes.
    ///
    /// Every target of a route must refer to one of `services`; the decoder ensures this, and it is
    /// not checked here.
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
            let by_prefix = by_host.entry(r.host.to_ascii_lowercase()).or_default();
            if by_prefix.insert(r.prefix.clone(), i).is_some() {
                return Err(PolicyError::DuplicateRoute { route: r.name.clone() });
            }
        }
        for s in &services {
            if let Some(figure) = s.engine.as_ref().and_then(EngineSpec::impossible_figure) {
                return Err(PolicyError::InvalidEngine { service: s.name.clone(), figure });
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

    /// Version number of the policy; gateways use the highest one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of a request: the one of its host, compared without case, whose prefix is the
    /// longest match for the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let by_prefix = match self.by_host.get(host) {
            Some(by_prefix) => by_prefix,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let prefix_ends = path.bytes().enumerate().filter(|(_, b)| *b == b'/').map(|(i, _)| i + 1);
        let index = prefix_ends.filter_map(|end| by_prefix.get(&path[..end])).next_back()?;
        self.routes.get(*index)
    }

    /// Returns the workspace to which an API key belongs.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.by_key.get(key).map(|i| &self.workspaces[*i])
    }

    /// Whether any workspace is configured; without one, requests need no API key.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns a service by its key.
    pub fn service(&self, key: ServiceKey) -> Option<&ServicePolicy> {
        self.services.get(usize::from(key.0))
    }

    /// Returns all services.
    pub fn services(&self) -> &[ServicePolicy] {
        &self.services
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Shortest event gap limit of the routes to a service; `None` if no route has one.
    pub fn tightest_event_gap(&self, service: &str) -> Option<Duration> {
        let key = self.services.iter().position(|s| s.name == service)?;
        let targets_service =
            |r: &&Route| r.targets.iter().any(|t| usize::from(t.service.0) == key);
        self.routes.iter().filter(targets_service).filter_map(|r| r.event_gap_max).min()
    }

    /// Urgencies of the requests to a service: each combination of a workspace's own priority, if it has one,
    /// and a route's.
    pub fn urgencies(&self, service: &str) -> Vec<u8> {
        let Some(key) = self.services.iter().position(|s| s.name == service) else {
            return Vec::new();
        };
        let targets_service =
            |r: &&Route| r.targets.iter().any(|t| usize::from(t.service.0) == key);
        let mut urgencies = Vec::new();
        for route in self.routes.iter().filter(targets_service) {
            let workspaces = self.workspaces.iter().map(|w| urgency(w.priority, route.priority));
            urgencies.extend(workspaces);
            if self.workspaces.is_empty() || route.public {
                urgencies.push(urgency(None, route.priority));
            }
        }
        urgencies.sort_unstable();
        urgencies.dedup();
        urgencies
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

/// Urgency of a request: its workspace's own priority goes before its route's. Lower values are served
/// first.
pub fn urgency(workspace: Option<u8>, route: u8) -> u8 {
    const ROUTE_PRIORITIES: u8 = 10;
    let first = workspace.unwrap_or(route).min(ROUTE_PRIORITIES);
    first * ROUTE_PRIORITIES + route.min(ROUTE_PRIORITIES - 1)
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
