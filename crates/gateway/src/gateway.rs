//! [`Gateway`]: the state that everything in one gateway shares, and its start.

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
use crocustally_core::dispatch::LimiterSettings;
use crocustally_core::dispatch::PoolSettings;
use crocustally_core::dispatch::Suspicion;
use crocustally_core::fleet::Registry;
use crocustally_core::traffic::ServicePolicy;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_net::Channel;
use crocustally_net::Clock;
use crocustally_net::HttpClient;
use crocustally_net::HttpClientSettings;
use crocustally_net::HttpLimits;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::serve_http;
use crocustally_net::timeout;
use crocustally_wire::control_client::ControlClient;
use event_listener::Event;

use crate::GatewayDialect;
use crate::GatewaySettings;
use crate::feed;
use crate::front;
use crate::places::Places;

/// Gateways that may exist besides those that are known, in every shared allowance.
const GATEWAYS_UNKNOWN: u32 = 4;
/// Longest time that a caller's connection may stay idle; callers reuse one for up to 12 s.
const IDLE_TIME: Duration = Duration::from_secs(25);
/// Time after a planned stop is asked for in which callers still find the gateway: the platform
/// takes two missed checks, a second apart, to send them elsewhere.
const LINGER: Duration = Duration::from_millis(2500);

/// Time after its start in which a gateway hears of all endpoints: an election, a feed and the usual
/// time between heartbeats.
const STARTING_TIME: Duration = Duration::from_secs(3);
/// Pause between events that is promised where no route says one: twice the usual time of a pass.
const GAP_UNKNOWN: Duration = Duration::from_millis(120);
/// Skew right after a shift of popularity, before a new map is in force.
const SHIFT_SKEW: f64 = 2.2;
/// Prompts that a rank reads in one pass on the mean: answers take some twenty passes, and a rank
/// writes about ten.
const READING_SHARE: f64 = 0.5;

/// Beliefs that the feeds from control instances change.
#[derive(Debug, Default)]
pub(crate) struct Beliefs {
    pub(crate) registry: Registry,
    /// Index of the log that `evacuated` comes from.
    pub(crate) applied: u64,
    pub(crate) evacuated: BTreeSet<String>,
    pub(crate) gateways: u32,
    pub(crate) suspicion: Suspicion,
    /// Clients of the control instances that are followed.
    pub(crate) feeds: HashMap<SocketAddr, ControlClient<Channel>>,
    /// Control instances that are followed.
    pub(crate) followed: BTreeSet<SocketAddr>,
    /// Newest version of the policy that any control instance has told of.
    pub(crate) wanted: u64,
    /// Whether a policy document is being fetched.
    pub(crate) fetching: bool,
}

/// One gateway.
pub struct Gateway {
    pub(crate) cfg: GatewaySettings,
    pub(crate) rt: Runtime,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) shutdown: Shutdown,
    pub(crate) dialect: Arc<dyn GatewayDialect>,
    policy: RwLock<Option<Arc<TrafficPolicy>>>,
    /// Fires when a policy comes into force.
    adopted: Event,
    started: Instant,
    beliefs: Mutex<Beliefs>,
    pools: RwLock<HashMap<String, Arc<Places>>>,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
}

/// Where a started gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct GatewayAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the question whether it takes callers.
    pub ready: Option<SocketAddr>,
}

impl Gateway {
    /// Starts a gateway; answers it and its addresses.
    pub async fn start(
        rt: &Runtime,
        cfg: GatewaySettings,
        clock: Arc<dyn Clock>,
        shutdown: Shutdown,
        dialect: Arc<dyn GatewayDialect>,
    ) -> std::io::Result<(Arc<Self>, GatewayAddresses)> {
        let gateway = Arc::new(Self {
            rt: rt.clone(),
            shutdown: shutdown.clone(),
            dialect,
            policy: RwLock::new(None),
            adopted: Event::new(),
            started: clock.now(),
            beliefs: Mutex::new(Beliefs::default()),
            pools: RwLock::new(HashMap::new()),
            clients: Mutex::new(HashMap::new()),
            clock,
            cfg,
        });
        feed::follow_all(&gateway, &gateway.cfg.controls.clone());
        let limits = HttpLimits {
            header_timeout: IDLE_TIME,
            header_bytes: 64 * 1024,
            coded_errors: false,
            drain_delay: LINGER,
            ..HttpLimits::default()
        };
        let shared = gateway.clone();
        let handler = move |req| front::answer(shared.clone(), req);
        let callers = serve_http(rt, gateway.cfg.listen, limits, &shutdown, handler).await?;
        let ready = match gateway.cfg.ready_listen {
            None => None,
            Some(address) => {
                let shared = gateway.clone();
                let handler = move |req| front::ready(shared.clone(), req);
                // Answers until the very end, so that "not ready" is heard.
                Some(serve_http(rt, address, limits, &Shutdown::default(), handler).await?)
            }
        };
        Ok((gateway, GatewayAddresses { callers, ready }))
    }

    /// Whether it takes callers: it has a policy and is not stopping.
    pub fn ready(&self) -> bool {
        self.policy().is_some() && !self.shutdown.is_requested()
    }

    /// Follows control instances that new settings name.
    pub fn follow(self: &Arc<Self>, controls: &[SocketAddr]) {
        feed::follow_all(self, controls);
    }

    /// The policy in force here.
    pub fn policy(&self) -> Option<Arc<TrafficPolicy>> {
        self.policy.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The policy in force here; waits for the first one, `limit` at most.
    pub(crate) async fn policy_within(&self, limit: Duration) -> Option<Arc<TrafficPolicy>> {
        let adopted = self.adopted.listen();
        if let Some(policy) = self.policy() {
            return Some(policy);
        }
        timeout(limit, adopted).await;
        self.policy()
    }

    /// Whether it has started so lately that endpoints may not have made themselves known.
    pub(crate) fn is_starting(&self) -> bool {
        self.clock.now().saturating_duration_since(self.started) < STARTING_TIME
    }

    /// Takes a policy into force, unless it is older than the one that is.
    pub(crate) fn adopt(&self, policy: TrafficPolicy) {
        let version = policy.version();
        let mut current = self.policy.write().unwrap_or_else(PoisonError::into_inner);
        let before = current.as_ref().map_or(0, |p| p.version());
        if version <= before {
            return;
        }
        *current = Some(Arc::new(policy));
        drop(current);
        log::info!(version = version, before = before; "policy in force");
        metrics::gauge!("crocustally_policy_version").set(version as f64);
        self.configure_pools();
        self.adopted.notify(usize::MAX);
    }

    pub(crate) fn beliefs(&self) -> MutexGuard<'_, Beliefs> {
        self.beliefs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The pool of a service.
    pub(crate) fn places(&self, service: &str) -> Arc<Places> {
        let known = self.pools.read().unwrap_or_else(PoisonError::into_inner).get(service).cloned();
        known.unwrap_or_else(|| {
            let policy = self.policy();
            let of = |p: &Arc<TrafficPolicy>| {
                p.services().iter().find(|s| s.name == service).map(|s| self.pool_settings(p, s))
            };
            let cfg = policy.as_ref().and_then(of).unwrap_or_default();
            let fresh = Arc::new(Places::new(cfg, self.clock.clone()));
            let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
            pools.entry(service.to_owned()).or_insert(fresh).clone()
        })
    }

    /// All pools.
    pub(crate) fn all_places(&self) -> Vec<Arc<Places>> {
        self.pools.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    /// Gives every pool the bounds that policy and fleet now call for.
    pub(crate) fn configure_pools(&self) {
        let Some(policy) = self.policy() else { return };
        for service in policy.services() {
            let cfg = self.pool_settings(&policy, service);
            self.places(&service.name).with(|pool| pool.configure(cfg));
        }
    }

    fn pool_settings(&self, policy: &TrafficPolicy, service: &ServicePolicy) -> PoolSettings {
        let gateways_known = self.beliefs().gateways.max(1);
        let gap = policy.shortest_gap(&service.name).unwrap_or(GAP_UNKNOWN);
        let limiter = service.engine.as_ref().map(|e| LimiterSettings {
            pass_target: gap.mul_f64(self.cfg.pass_target_share),
            pass_fixed: e.step * e.stride,
            per_endpoint: e.requests_within(
                gap.mul_f64(self.cfg.pass_bound_share),
                READING_SHARE * f64::from(e.usual_prompt),
                SHIFT_SKEW,
            ),
            ..LimiterSettings::default()
        });
        PoolSettings {
            domain: self.cfg.domain.clone(),
            limiter,
            retry_ratio: self.cfg.retry_ratio,
            retry_span: self.cfg.retry_span,
            retry_slack: self.cfg.retry_slack,
            cold_per_s: service.cold_per_s * self.cfg.cold_factor + self.cfg.cold_slack,
            gateways: gateways_known + GATEWAYS_UNKNOWN,
            gateways_known,
            connections_max: service.connections_max,
            seed: Digest::of(&[self.cfg.name.as_bytes()]).to_u64(),
        }
    }

    /// The client for an endpoint's address.
    pub(crate) fn client(&self, address: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = || {
            let cfg = HttpClientSettings {
                connect_timeout: Duration::from_millis(400),
                idle_timeout: Duration::from_secs(30),
                ack_timeout: Duration::from_secs(3),
                reset_on_close: true,
            };
            Arc::new(HttpClient::with_settings(&self.rt, address, cfg))
        };
        clients.entry(address).or_insert_with(fresh).clone()
    }
}
