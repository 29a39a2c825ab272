//! [`Entry`]: the state that everything in one entry instance shares, and its start.

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
use crocustally_net::Channel;
use crocustally_net::Clock;
use crocustally_net::Either;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::serve_grpc;
use crocustally_net::serve_http;
use crocustally_wire::entry_server::EntryServer;
use crocustally_wire::replica_server::ReplicaServer;

use crate::EntrySettings;
use crate::burn::BurnBook;
use crate::front;
use crate::gossip;
use crate::peer_service::PeerService;
use crate::shard::Shard;

/// Suspects counted here alone before those with one death are forgotten.
const LOCAL_DEATHS_KEPT: usize = 4096;

/// What this entry last heard from another one.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerWord {
    /// When.
    pub(crate) at: Option<Instant>,
    /// When it fell silent, while it is.
    pub(crate) silent_since_ms: Option<u64>,
    /// Version of the configuration in force there.
    pub(crate) version: u64,
}

/// One entry instance.
pub struct Entry {
    pub(crate) cfg: EntrySettings,
    pub(crate) rt: Runtime,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) shutdown: Shutdown,
    pub(crate) log: LogHandle,
    pub(crate) burn: BurnBook,
    config: RwLock<Arc<Config>>,
    suspects: RwLock<Suspects>,
    shards: RwLock<HashMap<String, Arc<Shard>>>,
    agents: Mutex<HashMap<String, Channel>>,
    local_out: Mutex<BTreeSet<String>>,
    local_deaths: Mutex<HashMap<Digest, u32>>,
    peers: Mutex<BTreeMap<String, PeerWord>>,
}

/// Where a started entry listens.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the system's other processes.
    pub peers: SocketAddr,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entry {
    /// Starts an entry; answers it and its addresses.
    pub async fn start(
        rt: &Runtime,
        cfg: EntrySettings,
        clock: Arc<dyn Clock>,
        shutdown: Shutdown,
    ) -> std::io::Result<(Arc<Self>, EntryAddresses)> {
        let (log, views) = LogHandle::start(rt, cfg.log_settings(), clock.clone())?;
        let entry = Arc::new(Self {
            rt: rt.clone(),
            clock,
            shutdown: shutdown.clone(),
            log,
            burn: BurnBook::default(),
            config: RwLock::new(Arc::new(Config::default())),
            suspects: RwLock::new(Suspects::default()),
            shards: RwLock::new(HashMap::new()),
            agents: Mutex::new(HashMap::new()),
            local_out: Mutex::new(BTreeSet::new()),
            local_deaths: Mutex::new(HashMap::new()),
            peers: Mutex::new(BTreeMap::new()),
            cfg,
        });
        let follower = entry.clone();
        rt.spawn(async move {
            while let Ok(machine) = views.recv().await {
                let version = follower.config().version;
                follower.adopt(machine.config().clone(), machine.suspects().clone());
                if follower.config().version > version {
                    follower.tell_agents();
                }
            }
        });
        // Peers must be able to ask while a stopping entry lets its last requests end, so this
        // listener outlives the callers' one.
        let replica = ReplicaServer::new(ReplicaService::new(entry.log.clone()));
        let calls = EntryServer::new(PeerService::new(entry.clone()));
        let server = Either::new(replica, calls);
        let peers = serve_grpc(rt, entry.cfg.peer_listen, server, &shutdown).await?;
        let shared = entry.clone();
        let handler = move |req| front::answer(shared.clone(), req);
        let limits = entry.cfg.limits;
        let callers = serve_http(rt, entry.cfg.listen, limits, &shutdown, handler).await?;
        gossip::start(&entry);
        Ok((entry, EntryAddresses { callers, peers }))
    }

    /// The configuration in force here.
    pub fn config(&self) -> Arc<Config> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Its settings.
    pub fn settings(&self) -> &EntrySettings {
        &self.cfg
    }

    /// Whether it can serve: it has a configuration.
    pub fn is_ready(&self) -> bool {
        self.config().version > 0 && !self.shutdown.asked()
    }

    /// Takes a configuration and suspects into force; an older one is ignored.
    pub(crate) fn adopt(&self, config: Arc<Config>, suspects: Suspects) {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let version = current.version;
        if config.version >= version {
            self.fold_local_out(&config);
            *current = config;
        }
        assert!(current.version >= version, "a configuration version went back");
        drop(current);
        *self.suspects.write().unwrap_or_else(PoisonError::into_inner) = suspects;
        self.bar_endpoints();
    }

    /// A domain taken out locally stays out until a ticket has said what holds for it.
    fn fold_local_out(&self, config: &Config) {
        lock(&self.local_out).retain(|d| !config.domain_out(d));
    }

    /// Takes a domain out here and now, without a quorum.
    pub(crate) fn take_out_locally(&self, domain: &str) {
        if lock(&self.local_out).insert(domain.to_owned()) {
            log::warn!("{}: failure domain {domain} taken out locally", self.cfg.name);
        }
        self.bar_endpoints();
    }

    /// Hears of domains that were taken out locally elsewhere.
    ///
    /// A teller with an older configuration may not know yet that the order has been folded in and
    /// the domain returned since, so it is not believed; it will fold its order in by itself.
    pub(crate) fn hear_local_out(&self, domains: &[String], version: u64) {
        let config = self.config();
        let news = domains.iter().filter(|d| version >= config.version && !config.domain_out(d));
        news.for_each(|d| self.take_out_locally(d));
    }

    /// Domains taken out locally and not yet by a ticket.
    pub(crate) fn local_out(&self) -> Vec<String> {
        lock(&self.local_out).iter().cloned().collect()
    }

    /// Whether a failure domain takes new work, as far as this entry knows.
    pub(crate) fn domain_out(&self, domain: &str) -> bool {
        self.config().domain_out(domain) || lock(&self.local_out).contains(domain)
    }

    fn bar_endpoints(&self) {
        let config = self.config();
        let local = lock(&self.local_out).clone();
        let barred = |e: &Endpoint| {
            let d = &e.announcement.domain;
            config.domain_out(d)
                || local.contains(d)
                || config.endpoint_draining(&e.announcement.name)
        };
        for shard in self.shards() {
            shard.with(|core| core.directory.update_disabled(barred));
        }
    }

    /// The routing state of a service.
    pub(crate) fn shard(&self, service: &str) -> Arc<Shard> {
        let known = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(shard) = known.get(service) {
            return shard.clone();
        }
        drop(known);
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        let seed = Digest::of(&[self.cfg.name.as_bytes(), service.as_bytes()]).to_u64();
        let core = ServiceRouter::new(&self.cfg.domain, seed);
        let fresh = || Arc::new(Shard::new(core, self.clock.clone()));
        shards.entry(service.to_owned()).or_insert_with(fresh).clone()
    }

    /// The routing states of all services.
    pub(crate) fn shards(&self) -> Vec<Arc<Shard>> {
        self.named_shards().into_iter().map(|(_, shard)| shard).collect()
    }

    /// The routing states of all services, with the services' names.
    pub(crate) fn named_shards(&self) -> Vec<(String, Arc<Shard>)> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.iter().map(|(name, shard)| (name.clone(), shard.clone())).collect()
    }

    /// The connection to an agent, made when it is first asked for.
    pub(crate) fn agent(&self, address: &str) -> Option<Channel> {
        let mut agents = lock(&self.agents);
        if let Some(channel) = agents.get(address) {
            return Some(channel.clone());
        }
        let channel = Channel::from(&self.rt, address.parse().ok()?, self.cfg.source);
        agents.insert(address.to_owned(), channel.clone());
        Some(channel)
    }

    /// Endpoint deaths counted against a request.
    pub(crate) fn deaths(&self, digest: Digest) -> u32 {
        let local = lock(&self.local_deaths).get(&digest).copied().unwrap_or(0);
        let suspects = self.suspects.read().unwrap_or_else(PoisonError::into_inner);
        suspects.deaths(digest).max(local)
    }

    /// The suspects known here.
    pub(crate) fn suspects(&self) -> Suspects {
        self.suspects.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counts a death here, while no quorum can be reached.
    pub(crate) fn count_death_locally(&self, digest: Digest) -> u32 {
        let mut deaths = lock(&self.local_deaths);
        if deaths.len() >= LOCAL_DEATHS_KEPT {
            deaths.retain(|_, n| *n >= DEATHS_BEFORE_QUARANTINE);
        }
        let n = deaths.entry(digest).or_default();
        *n += 1;
        *n
    }

    /// Forgets a suspect that ended whole.
    pub(crate) fn clear_locally(&self, digest: Digest) {
        lock(&self.local_deaths).retain(|d, n| *d != digest || *n >= DEATHS_BEFORE_QUARANTINE);
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, BTreeMap<String, PeerWord>> {
        lock(&self.peers)
    }
}
