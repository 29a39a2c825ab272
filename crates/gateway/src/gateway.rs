//! [`Gateway`]: shared state and startup of one gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::Digest;
use crocustally_core::control::PartFilter;
use crocustally_core::dispatch::AdmissionSettings;
use crocustally_core::dispatch::CrashTracker;
use crocustally_core::dispatch::GatewaySet;
use crocustally_core::dispatch::KvSettings;
use crocustally_core::dispatch::LimiterSettings;
use crocustally_core::dispatch::PassModel;
use crocustally_core::dispatch::PoolSettings;
use crocustally_core::dispatch::RetentionSettings;
use crocustally_core::dispatch::SharedReachability;
use crocustally_core::fleet::Registry;
use crocustally_core::traffic::Route;
use crocustally_core::traffic::RouteKind;
use crocustally_core::traffic::ServicePolicy;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_net::BufferBudget;
use crocustally_net::Channel;
use crocustally_net::ClientConnections;
use crocustally_net::Clock;
use crocustally_net::HttpClient;
use crocustally_net::HttpLimits;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::ShutdownStage;
use crocustally_net::client_connections_max;
use crocustally_net::descriptor_limit;
use crocustally_net::serve_http;
use crocustally_net::serve_http_with;
use crocustally_net::timeout;
use crocustally_wire::control_client::ControlClient;
use event_listener::Event;
use event_listener::EventListener;

use crate::GatewayDialect;
use crate::GatewaySettings;
use crate::WhereQuery;
use crate::endpoint_clients::EndpointClients;
use crate::endpoint_ends;
use crate::endpoint_ends::CrashReports;
use crate::endpoint_ends::Trials;
use crate::explain;
use crate::feed;
use crate::followed_controls::FollowedControls;
use crate::frontend;
use crate::group_metrics;
use crate::policy_fetch;
use crate::slots::SlotPool;

/// Time without mention by any control instance after which another gateway no longer counts: more
/// than two of their complete lists.
const GATEWAY_EXPIRY: Duration = Duration::from_secs(150);
/// Idle timeout of callers' connections; callers reuse one for up to 12 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Longest head of a caller's request in bytes, and the buffers of its connection: twice the `max-header-bytes` of
/// policies.
const HEAD_BYTES_MAX: usize = 32 * 1024;
/// Connections for readiness checks at a time; they count among the descriptors that a process keeps free.
const READY_CONNECTIONS_MAX: usize = 8;
/// Time for which a stopping gateway keeps accepting connections: the platform redirects callers
/// after two missed health checks, one second apart.
const SHUTDOWN_DRAIN_DELAY: Duration = Duration::from_millis(2500);

/// Part of the grace of a stop after which no request is waited for any longer; the rest is for the last
/// responses.
const ANSWERED_SHARE: f64 = 0.95;
/// Multiple of the mean time that a request of a service takes, within which most of them end.
const USUAL_HOLDS: u32 = 2;

/// Time after the start in which a gateway discovers all endpoints: an election, the first updates
/// and the usual heartbeat interval.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Gap between events to aim for if no route sets one: twice the usual forward pass.
const DEFAULT_EVENT_GAP: Duration = Duration::from_millis(120);
/// Expert load skew right after a popularity shift, before a new map is in force.
const POPULARITY_SHIFT_SKEW: f64 = 2.2;
/// Mean number of prompts that a rank prefills in one forward pass: a response takes about twenty
/// passes, and a rank generates about ten at a time.
const PREFILLS_PER_PASS: f64 = 0.5;

/// State of the fleet, as received from the control instances.
#[derive(Debug, Default)]
pub(crate) struct FleetState {
    pub(crate) registry: Registry,
    /// Raft log index of `evacuated` and `part_filter`.
    pub(crate) applied_index: u64,
    pub(crate) evacuated: BTreeSet<String>,
    /// When each other gateway was last listed by a control instance, by its identity.
    pub(crate) gateways: BTreeMap<u64, Instant>,
    /// The most gateways that have ever followed the control instances at a time.
    pub(crate) gateways_expected: u32,
    /// Whether a complete list of the gateways has arrived.
    pub(crate) gateways_complete: bool,
    pub(crate) crash_tracker: CrashTracker,
    /// Parts of prompts that are watched and refused, as of `applied_index`.
    pub(crate) part_filter: PartFilter,
    /// Clients of the control instances that the gateway follows.
    pub(crate) control_clients: HashMap<SocketAddr, ControlClient<Channel>>,
    /// Control instances with a task that follows them.
    pub(crate) followed_controls: FollowedControls,
    /// Newest policy version announced by any control instance, if any was.
    pub(crate) newest_policy_version: Option<u64>,
}

impl FleetState {
    /// Records gateways that a control instance has listed; returns whether the set has changed.
    pub(crate) fn record_gateways(&mut self, now: Instant, ids: &[u64], complete: bool) -> bool {
        let before = (self.gateways.len(), self.gateways_complete);
        let added = ids.iter().filter(|id| self.gateways.insert(**id, now).is_none()).count();
        self.gateways_complete |= complete;
        if complete {
            self.gateways.retain(|_, at| now.saturating_duration_since(*at) < GATEWAY_EXPIRY);
        }
        added > 0 || before != (self.gateways.len(), self.gateways_complete)
    }
}

/// One gateway.
pub struct Gateway {
    pub(crate) cfg: GatewaySettings,
    pub(crate) rt: Runtime,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) shutdown: Shutdown,
    /// Memory for the bodies of callers and endpoints.
    pub(crate) buffers: BufferBudget,
    /// Connections of callers.
    conns: Arc<ClientConnections>,
    pub(crate) dialect: Arc<dyn GatewayDialect>,
    policy: RwLock<Option<Arc<TrafficPolicy>>>,
    /// Held while the pools' settings are updated.
    configuring: Mutex<()>,
    /// Notified when a policy takes effect.
    policy_changed: Event,
    /// Notified when a control instance announces a newer policy version.
    policy_announced: Event,
    started_at: Instant,
    fleet: Mutex<FleetState>,
    pub(crate) crash_reports: CrashReports,
    pub(crate) trials: Mutex<Trials>,
    pools: RwLock<HashMap<String, Arc<SlotPool>>>,
    clients: Arc<EndpointClients>,
    /// Failure domains that appear to be cut off, for the pools of all services.
    reachability: SharedReachability,
}

/// Listening addresses of a gateway.
#[derive(Clone, Copy, Debug)]
pub struct GatewayAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub ready: Option<SocketAddr>,
}

impl Gateway {
    /// Starts a gateway. Fails if a listener cannot be bound.
    pub async fn start(
        rt: &Runtime,
        cfg: GatewaySettings,
        clock: Arc<dyn Clock>,
        shutdown: Shutdown,
        dialect: Arc<dyn GatewayDialect>,
    ) -> std::io::Result<(Arc<Self>, GatewayAddresses)> {
        let buffers = BufferBudget::of_process(cfg.memory_mb);
        let descriptors = cfg.descriptors_max.unwrap_or(usize::MAX).min(descriptor_limit());
        let connections_max = client_connections_max(descriptors, cfg.memory_mb);
        log::info!(connections_max = connections_max, descriptors = descriptors; "client connections limited");
        let conns =
            ClientConnections::new(connections_max, cfg.client_stall, Some(buffers.clone()));
        let gateway = Arc::new(Self {
            rt: rt.clone(),
            shutdown: shutdown.clone(),
            buffers: buffers.clone(),
            conns: conns.clone(),
            dialect,
            policy: RwLock::new(None),
            configuring: Mutex::new(()),
            policy_changed: Event::new(),
            policy_announced: Event::new(),
            started_at: clock.now(),
            fleet: Mutex::new(FleetState::default()),
            crash_reports: CrashReports::default(),
            trials: Mutex::new(Trials::default()),
            pools: RwLock::new(HashMap::new()),
            clients: Arc::new(EndpointClients::new(rt, cfg.endpoint_idle)),
            reachability: SharedReachability::default(),
            clock,
            cfg,
        });
        feed::follow_seeds(&gateway, &gateway.cfg.controls);
        rt.spawn(policy_fetch::keep_policy_current(gateway.clone()));
        rt.spawn(endpoint_ends::report_loop(gateway.clone()));
        rt.spawn(group_metrics::report_loop(gateway.clone()));
        let limits = HttpLimits {
            header_timeout: IDLE_TIMEOUT,
            header_bytes: HEAD_BYTES_MAX,
            coded_errors: false,
            drain_delay: SHUTDOWN_DRAIN_DELAY.min(gateway.cfg.grace / 2),
            ..HttpLimits::default()
        };
        let shared = gateway.clone();
        let handler = move |req| frontend::handle_request(shared.clone(), req);
        let listen = gateway.cfg.listen;
        let callers = serve_http_with(rt, listen, limits, conns, &shutdown, handler).await?;
        let ready = match gateway.cfg.ready_listen {
            None => None,
            Some(address) => {
                let shared = gateway.clone();
                let handler = move |req| frontend::handle_readiness(shared.clone(), req);
                let limits = HttpLimits { connections_max: READY_CONNECTIONS_MAX, ..limits };
                // Checks see "not ready" until all callers are served.
                let observers = shutdown.in_stage(ShutdownStage::Observers);
                Some(serve_http(rt, address, limits, &observers, handler).await?)
            }
        };
        Ok((gateway, GatewayAddresses { callers, ready }))
    }

    /// Whether the gateway accepts callers: it has a policy and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.policy().is_some() && !self.shutdown.is_requested()
    }

    /// Time after the request of a stop at which the last responses are sent.
    fn answer_time(&self) -> Duration {
        self.cfg.grace.mul_f64(ANSWERED_SHARE)
    }

    /// Waits until the last responses of a stop are due.
    pub(crate) async fn grace_over(&self) {
        self.shutdown.wait_elapsed(self.answer_time()).await;
    }

    /// Whether a request that may take `time_limit` can be finished before the process is stopped. One
    /// that must not be repeated has to be finished in any case, others usually.
    pub(crate) fn can_finish(&self, route: &Route, pool: &SlotPool, time_limit: Duration) -> bool {
        let Some(elapsed) = self.shutdown.elapsed() else { return true };
        let expected = match route.kind {
            RouteKind::AtMostOnce => time_limit,
            _ => time_limit.min(pool.with_pool(|p| p.mean_hold()) * USUAL_HOLDS),
        };
        elapsed + expected <= self.answer_time()
    }

    /// Follows the control instances that reloaded settings name.
    pub fn follow(self: &Arc<Self>, controls: &[SocketAddr]) {
        feed::follow_seeds(self, controls);
    }

    /// The policy in force.
    pub fn policy(&self) -> Option<Arc<TrafficPolicy>> {
        self.policy.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The policy in force; waits up to `time_limit` for the first one.
    pub(crate) async fn wait_for_policy(&self, time_limit: Duration) -> Option<Arc<TrafficPolicy>> {
        let policy_changed = self.policy_changed.listen();
        if let Some(policy) = self.policy() {
            return Some(policy);
        }
        timeout(time_limit, policy_changed).await;
        self.policy()
    }

    /// Whether the gateway started so recently that it may not have discovered all endpoints.
    pub(crate) fn is_starting(&self) -> bool {
        self.clock.now().saturating_duration_since(self.started_at) < DISCOVERY_TIME
    }

    /// Puts a policy in force, unless the current version is the same or newer.
    pub(crate) fn install_policy(&self, policy: TrafficPolicy) {
        let version = policy.version();
        let mut current = self.policy.write().unwrap_or_else(PoisonError::into_inner);
        let before = current.as_ref().map(|p| p.version());
        if before.is_some_and(|before| version <= before) {
            return;
        }
        let limits = policy.limits();
        *current = Some(Arc::new(policy));
        drop(current);
        self.conns.set_times(limits.idle_timeout, limits.header_timeout);
        log::info!(version = version, before = before; "policy in force");
        metrics::gauge!("crocustally_policy_version").set(version as f64);
        self.configure_pools();
        self.policy_changed.notify(usize::MAX);
    }

    /// Records a version that a control instance has announced.
    pub(crate) fn announce_policy(&self, version: u64) {
        let mut fleet = self.fleet();
        if fleet.newest_policy_version.is_some_and(|newest| version <= newest) {
            return;
        }
        fleet.newest_policy_version = Some(version);
        drop(fleet);
        self.policy_announced.notify(usize::MAX);
    }

    /// Completes when a newer policy version is announced.
    pub(crate) fn listen_for_policies(&self) -> EventListener {
        self.policy_announced.listen()
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, FleetState> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where the gateway would send a request now, and why, as JSON. Nothing is sent and no state changes.
    pub fn explain(&self, query: &WhereQuery) -> String {
        explain::explain(self, query).to_string()
    }

    /// The slot pool of a service, if there is one.
    pub(crate) fn existing_pool(&self, service: &str) -> Option<Arc<SlotPool>> {
        self.pools.read().unwrap_or_else(PoisonError::into_inner).get(service).cloned()
    }

    /// The slot pool of a service, created if needed.
    pub(crate) fn pool(&self, service: &str) -> Arc<SlotPool> {
        self.existing_pool(service).unwrap_or_else(|| {
            let policy = self.policy();
            let settings_in = |p: &Arc<TrafficPolicy>| {
                p.services().iter().find(|s| s.name == service).map(|s| self.pool_settings(p, s))
            };
            let cfg = policy.as_ref().and_then(settings_in).unwrap_or_default();
            let created = Arc::new(SlotPool::new(cfg, self.clock.clone()));
            created.with_pool(|pool| {
                pool.share_reachability(self.reachability.clone());
                pool.use_idle_connections(self.clients.clone());
            });
            let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
            pools.entry(service.to_owned()).or_insert(created).clone()
        })
    }

    /// All slot pools.
    pub(crate) fn all_pools(&self) -> Vec<Arc<SlotPool>> {
        self.pools.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    /// Updates the settings of all pools from the policy and the number of gateways.
    pub(crate) fn configure_pools(&self) {
        // One at a time, so that the newest policy is the last to be applied.
        let _configuring = self.configuring.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(policy) = self.policy() else { return };
        for service in policy.services() {
            let cfg = self.pool_settings(&policy, service);
            let is_new = self.existing_pool(&service.name).is_none();
            let urgencies = cfg.admission.as_ref().map(|a| format!("{:?}", a.urgencies));
            let changed = self.pool(&service.name).with_pool(|pool| pool.configure(cfg));
            if urgencies.is_some() && (changed || is_new) {
                log::info!(
                    service = service.name.as_str(), version = policy.version(),
                    urgencies = urgencies.as_deref();
                    "urgencies of requests configured"
                );
            }
        }
    }

    fn pool_settings(&self, policy: &TrafficPolicy, service: &ServicePolicy) -> PoolSettings {
        let own = Digest::of(&[self.cfg.name.as_bytes()]).to_u64();
        let fleet = self.fleet();
        let others = fleet.gateways.keys().copied();
        let gateways = GatewaySet::new(own, others, fleet.gateways_complete)
            .with_expected(fleet.gateways_expected);
        drop(fleet);
        let gap = policy.tightest_event_gap(&service.name).unwrap_or(DEFAULT_EVENT_GAP);
        let limiter = service.engine.as_ref().map(|e| LimiterSettings {
            pass_target: gap.mul_f64(self.cfg.pass_target_share),
            pass_overhead: e.step_time * e.steps_per_pass,
            streams_per_endpoint: e.requests_within(
                gap.mul_f64(self.cfg.pass_bound_share),
                PREFILLS_PER_PASS * f64::from(e.mean_prompt_tokens),
                POPULARITY_SHIFT_SKEW,
            ),
            ..LimiterSettings::default()
        });
        // Limits of single groups are in force only where the settings let observed passes lower them.
        let by_group = self.cfg.group_limit_share_min < 1.0;
        let pass_model = service.engine.as_ref().filter(|_| by_group).map(|e| PassModel {
            engine: e.clone(),
            prompt_tokens: PREFILLS_PER_PASS * f64::from(e.mean_prompt_tokens),
            gap_max: gap,
            skew: POPULARITY_SHIFT_SKEW,
            limit_share_min: self.cfg.group_limit_share_min,
        });
        let kv = service.engine.as_ref().filter(|e| e.kv_capacity_tokens > 0).map(|e| KvSettings {
            capacity_tokens: e.kv_capacity_tokens,
            mean_prompt_tokens: e.mean_prompt_tokens,
            mean_response_tokens: e.mean_response_tokens,
        });
        PoolSettings {
            kv,
            domain: self.cfg.domain.clone(),
            admission: limiter
                .map(|_| AdmissionSettings::for_urgencies(policy.urgencies(&service.name))),
            limiter,
            pass_model,
            retry_ratio: self.cfg.retry_ratio,
            retry_span: self.cfg.retry_span,
            retry_slack: self.cfg.retry_slack,
            cold_per_s: service.cold_per_s * self.cfg.cold_factor + self.cfg.cold_slack,
            gateways,
            connections_max: service.connections_max,
            retention: self.retention_settings(service),
            seed: own,
        }
    }

    /// Logs the failure domains that have become suspect or reachable again. The idle connections to
    /// a suspect one are closed, since a request on one of them would be lost in silence.
    pub(crate) fn note_reachability(&self) {
        let mut reachability = self.reachability.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = reachability.take_changes();
        drop(reachability);
        for change in changes {
            let domain = change.domain.as_str();
            metrics::gauge!("crocustally_suspect_domain", "domain" => change.domain.clone())
                .set(f64::from(u8::from(change.suspect)));
            if change.suspect {
                log::warn!(domain = domain; "failure domain is suspect: endpoints do not respond");
                metrics::counter!("crocustally_domain_suspicions").increment(1);
                self.discard_idle_in(domain);
            } else {
                let lasted_ms = change.lasted.as_millis() as u64;
                log::info!(domain = domain, lasted_ms = lasted_ms; "failure domain responds again");
            }
        }
    }

    /// Closes the idle connections to all endpoints of a failure domain.
    fn discard_idle_in(&self, domain: &str) {
        let fleet = self.fleet();
        let in_domain = fleet.registry.iter().filter(|r| r.heartbeat.domain == domain);
        let addresses: Vec<SocketAddr> = in_domain.map(|r| r.heartbeat.address).collect();
        drop(fleet);
        addresses.iter().for_each(|a| self.clients.discard_idle(*a));
    }

    /// How the endpoints of a service retain prompts; `None` unless the settings say so and the policy
    /// has the figures that weigh a saving.
    fn retention_settings(&self, service: &ServicePolicy) -> Option<RetentionSettings> {
        let (cfg, engine) = (self.cfg.prompt_retention?, service.engine.clone()?);
        let settings = RetentionSettings { ttl: cfg.ttl, kv_share: cfg.kv_share, engine };
        if !settings.is_usable() {
            log::warn!(
                service = service.name.as_str();
                "prompt retention is off: the policy lacks prefill rate or KV memory of the engines"
            );
            return None;
        }
        Some(settings)
    }

    /// The HTTP client for an endpoint's address, created if needed.
    pub(crate) fn endpoint_client(&self, address: SocketAddr) -> Arc<HttpClient> {
        self.clients.client(address)
    }
}
