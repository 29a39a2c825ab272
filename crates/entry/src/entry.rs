//! [`Entry`]: the state shared within one entry instance, and its start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Instant;

use crocustally_core::Digest;
use crocustally_core::control::Config;
use crocustally_core::control::DEATHS_BEFORE_QUARANTINE;
use crocustally_core::control::Suspects;
use crocustally_core::routing::Endpoint;
use crocustally_core::routing::ServiceRouter;
use crocustally_log::LogHandle;
use crocustally_log::ReplicaService;
use crocustally_net::BufferBudget;
use crocustally_net::Channel;
use crocustally_net::ClientConnections;
use crocustally_net::Clock;
use crocustally_net::GrpcLimits;
use crocustally_net::Runtime;
use crocustally_net::ServicePair;
use crocustally_net::Shutdown;
use crocustally_net::client_connections_max;
use crocustally_net::descriptor_limit;
use crocustally_net::serve_grpc_within;
use crocustally_net::serve_http_with;
use crocustally_wire::MESSAGE_BYTES_MAX;
use crocustally_wire::entry_server::EntryServer;
use crocustally_wire::replica_server::ReplicaServer;

use crate::EntrySettings;
use crate::burn::BurnCounters;
use crate::front;
use crate::gossip;
use crate::peer_service::PeerService;
use crate::shard::Shard;

/// Requests counted at this entry alone; at this limit those below the quarantine threshold are
/// removed.
const LOCAL_DEATHS_MAX: usize = 4096;

/// State of another entry, as seen from this one.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerStatus {
    /// Time of the last contact, if any.
    pub(crate) last_contact: Option<Instant>,
    /// Unix time in milliseconds since which the peer has been unreachable, if it is.
    pub(crate) unreachable_since_ms: Option<u64>,
    /// Version of the configuration in effect at the peer.
    pub(crate) config_version: u64,
}

/// An entry instance.
pub struct Entry {
    pub(crate) cfg: EntrySettings,
    pub(crate) rt: Runtime,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) shutdown: Shutdown,
    pub(crate) log: LogHandle,
    pub(crate) burn: BurnCounters,
    /// Memory for the bodies of callers.
    pub(crate) buffers: BufferBudget,
    config: RwLock<Arc<Config>>,
    suspects: RwLock<Suspects>,
    shards: RwLock<HashMap<String, Arc<Shard>>>,
    agents: Mutex<HashMap<String, Channel>>,
    local_out: Mutex<BTreeSet<String>>,
    local_deaths: Mutex<HashMap<Digest, u32>>,
    peers: Mutex<BTreeMap<String, PeerStatus>>,
}

/// Addresses of a started entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for other processes of the system.
    pub peers: SocketAddr,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entry {
    /// Starts an entry and returns it with its addresses.
    ///
    /// # Errors
    ///
    /// Fails if the replicated log cannot be opened or an address cannot be bound.
    pub async fn start(
        rt: &Runtime,
        cfg: EntrySettings,
        clock: Arc<dyn Clock>,
        shutdown: Shutdown,
    ) -> std::io::Result<(Arc<Self>, EntryAddresses)> {
        let (log, states) = LogHandle::start(rt, cfg.log_settings(), clock.clone())?;
        let entry = Arc::new(Self {
            rt: rt.clone(),
            clock,
            shutdown: shutdown.clone(),
            log,
            burn: BurnCounters::default(),
            buffers: BufferBudget::of_process(cfg.memory_mb),
            config: RwLock::new(Arc::new(Config::default())),
            suspects: RwLock::new(Suspects::default()),
            shards: RwLock::new(HashMap::new()),
            agents: Mutex::new(HashMap::new()),
            local_out: Mutex::new(BTreeSet::new()),
            local_deaths: Mutex::new(HashMap::new()),
            peers: Mutex::new(BTreeMap::new()),
            cfg,
        });
        let subscriber = entry.clone();
        rt.spawn(async move {
            while let Ok(state) = states.recv().await {
                let version = subscriber.config().version;
                subscriber.install_config(state.config().clone(), state.suspects().clone());
                if subscriber.config().version > version {
                    subscriber.notify_agents();
                }
            }
        });
        // This listener outlives the one for callers, since peers must still reach a stopping entry
        // while its last requests finish.
        let replica = ReplicaServer::new(ReplicaService::new(entry.log.clone()))
            .max_decoding_message_size(MESSAGE_BYTES_MAX);
        let peer_calls = EntryServer::new(PeerService::new(entry.clone()));
        let server = ServicePair::new(replica, peer_calls);
        // Calls of peers have memory of their own, so that bodies of callers stop no replication.
        let peer_limits = GrpcLimits {
            connections: entry.cfg.peer_connections_max,
            budget: BufferBudget::of_process(entry.cfg.memory_mb),
        };
        let address = entry.cfg.peer_listen;
        let peers = serve_grpc_within(rt, address, peer_limits, server, &shutdown).await?;
        let shared = entry.clone();
        let handler = move |req| front::handle_request(shared.clone(), req);
        let limits = entry.cfg.limits;
        let max = client_connections_max(descriptor_limit(), entry.cfg.memory_mb);
        let buffers = Some(entry.buffers.clone());
        let conns = ClientConnections::new(max, limits.stall_timeout, buffers);
        let address = entry.cfg.listen;
        let callers = serve_http_with(rt, address, limits, conns, &shutdown, handler).await?;
        gossip::start(&entry);
        Ok((entry, EntryAddresses { callers, peers }))
    }

    /// The configuration in effect at this entry.
    pub fn config(&self) -> Arc<Config> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The settings of this entry.
    pub fn settings(&self) -> &EntrySettings {
        &self.cfg
    }

    /// Whether it can serve requests: it has a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.config().version > 0 && !self.shutdown.is_requested()
    }

    /// Puts a configuration and its suspects into effect; an older configuration is ignored.
    pub(crate) fn install_config(&self, config: Arc<Config>, suspects: Suspects) {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let version = current.version;
        if config.version >= version {
            self.clear_replicated_local_out(&config);
            *current = config;
        }
        assert!(current.version >= version, "the configuration version must not decrease");
        drop(current);
        *self.suspects.write().unwrap_or_else(PoisonError::into_inner) = suspects;
        self.update_disabled_endpoints();
    }

    /// Removes domains from the local list once they are out by configuration. Until then a domain
    /// taken out locally stays out.
    fn clear_replicated_local_out(&self, config: &Config) {
        lock(&self.local_out).retain(|d| !config.domain_out(d));
    }

    /// Takes a failure domain out at this entry at once, without a quorum.
    pub(crate) fn take_out_locally(&self, domain: &str) {
        if lock(&self.local_out).insert(domain.to_owned()) {
            log::warn!("{}: failure domain {domain} taken out locally", self.cfg.name);
        }
        self.update_disabled_endpoints();
    }

    /// Takes out the domains that another entry has taken out locally.
    ///
    /// A sender with an older configuration is ignored: its order may already have been replicated
    /// and the domain returned to service since. The sender replicates its order itself.
    pub(crate) fn merge_local_out(&self, domains: &[String], version: u64) {
        let config = self.config();
        let still_out =
            domains.iter().filter(|d| version >= config.version && !config.domain_out(d));
        still_out.for_each(|d| self.take_out_locally(d));
    }

    /// Domains taken out locally and not yet by a ticket.
    pub(crate) fn local_out(&self) -> Vec<String> {
        lock(&self.local_out).iter().cloned().collect()
    }

    /// Whether a failure domain is out, by ticket or locally.
    pub(crate) fn is_domain_out(&self, domain: &str) -> bool {
        self.config().domain_out(domain) || lock(&self.local_out).contains(domain)
    }

    fn update_disabled_endpoints(&self) {
        let config = self.config();
        let local_out = lock(&self.local_out).clone();
        let disabled = |e: &Endpoint| {
            let d = &e.announcement.domain;
            config.domain_out(d)
                || local_out.contains(d)
                || config.endpoint_draining(&e.announcement.name)
        };
        for shard in self.shards() {
            shard.with(|router| router.directory.update_disabled(disabled));
        }
    }

    /// The shard of a service, created on first use.
    pub(crate) fn shard(&self, service: &str) -> Arc<Shard> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(shard) = shards.get(service) {
            return shard.clone();
        }
        drop(shards);
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        let seed = Digest::of(&[self.cfg.name.as_bytes(), service.as_bytes()]).to_u64();
        let router = ServiceRouter::new(&self.cfg.domain, seed);
        let new_shard = || Arc::new(Shard::new(router, self.clock.clone()));
        shards.entry(service.to_owned()).or_insert_with(new_shard).clone()
    }

    /// The shards of all services.
    pub(crate) fn shards(&self) -> Vec<Arc<Shard>> {
        self.named_shards().into_iter().map(|(_, shard)| shard).collect()
    }

    /// The shards of all services, with the names of the services.
    pub(crate) fn named_shards(&self) -> Vec<(String, Arc<Shard>)> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.iter().map(|(name, shard)| (name.clone(), shard.clone())).collect()
    }

    /// The channel to an agent, created on first use; `None` if the address is invalid.
    pub(crate) fn agent_channel(&self, address: &str) -> Option<Channel> {
        let mut agents = lock(&self.agents);
        if let Some(channel) = agents.get(address) {
            return Some(channel.clone());
        }
        let channel = Channel::with_source(&self.rt, address.parse().ok()?, self.cfg.source);
        agents.insert(address.to_owned(), channel.clone());
        Some(channel)
    }

    /// Number of endpoint deaths counted against a request.
    pub(crate) fn deaths(&self, digest: Digest) -> u32 {
        let local_deaths = lock(&self.local_deaths).get(&digest).copied().unwrap_or(0);
        let suspects = self.suspects.read().unwrap_or_else(PoisonError::into_inner);
        suspects.deaths(digest).max(local_deaths)
    }

    /// The suspects known at this entry.
    pub(crate) fn suspects(&self) -> Suspects {
        self.suspects.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counts a death at this entry only, for use without a quorum. Returns the number of local
    /// deaths.
    pub(crate) fn record_local_death(&self, digest: Digest) -> u32 {
        let mut deaths = lock(&self.local_deaths);
        if deaths.len() >= LOCAL_DEATHS_MAX {
            deaths.retain(|_, count| *count >= DEATHS_BEFORE_QUARANTINE);
        }
        let count = deaths.entry(digest).or_default();
        *count += 1;
        *count
    }

    /// Clears the local deaths of a request that has completed, unless it is quarantined.
    pub(crate) fn clear_local_suspect(&self, digest: Digest) {
        lock(&self.local_deaths)
            .retain(|d, count| *d != digest || *count >= DEATHS_BEFORE_QUARANTINE);
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, BTreeMap<String, PeerStatus>> {
        lock(&self.peers)
    }
}
