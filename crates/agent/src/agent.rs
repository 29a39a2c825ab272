//! [`Agent`]: the shared state of an agent and its startup.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use crocustally_core::agent::Admission;
use crocustally_core::agent::AttemptRegistry;
use crocustally_core::routing::Load;
use crocustally_net::BufferBudget;
use crocustally_net::Clock;
use crocustally_net::GrpcLimits;
use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::serve_grpc_within;
use crocustally_wire::agent_server::AgentServer;

use crate::AgentSettings;
use crate::announce;
use crate::health;
use crate::response_store::ResponseStore;
use crate::service::AgentService;

/// What an entry requires of this endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EntryDirective {
    /// Version of the configuration that it is based on.
    pub(crate) config_version: u64,
    /// Whether to drain, because the failure domain is out or the endpoint is set to drain.
    pub(crate) drain: bool,
}

/// An agent and its shared state.
pub struct Agent {
    pub(crate) cfg: AgentSettings,
    pub(crate) rt: Runtime,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) shutdown: Shutdown,
    pub(crate) incarnation: u64,
    pub(crate) client: HttpClient,
    pub(crate) sequence: AtomicU64,
    admission: Mutex<Admission>,
    attempts: Mutex<AttemptRegistry>,
    responses: Mutex<ResponseStore>,
    directives: Mutex<HashMap<SocketAddr, EntryDirective>>,
    prefixes: Mutex<Vec<u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Agent {
    /// Starts an agent and returns it with the address that it listens on.
    ///
    /// # Errors
    ///
    /// When the listening socket cannot be bound.
    pub async fn start(
        rt: &Runtime,
        cfg: AgentSettings,
        clock: Arc<dyn Clock>,
        shutdown: Shutdown,
    ) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let incarnation = clock.unix_ms().max(1);
        let agent = Arc::new(Self {
            client: HttpClient::new(rt, cfg.engine),
            admission: Mutex::new(Admission::new(cfg.limits)),
            rt: rt.clone(),
            clock,
            shutdown: shutdown.clone(),
            incarnation,
            sequence: AtomicU64::new(0),
            attempts: Mutex::new(AttemptRegistry::default()),
            responses: Mutex::new(ResponseStore::default()),
            directives: Mutex::new(HashMap::new()),
            prefixes: Mutex::new(Vec::new()),
            cfg,
        });
        let server = AgentServer::new(AgentService::new(agent.clone()));
        let limits = GrpcLimits {
            connections: agent.cfg.peer_connections_max,
            budget: BufferBudget::of_process(agent.cfg.memory_mb),
        };
        let bound_address =
            serve_grpc_within(rt, agent.cfg.listen, limits, server, &shutdown).await?;
        rt.spawn(health::probe_periodically(agent.clone()));
        announce::start(&agent, agent.cfg.advertise.unwrap_or(bound_address));
        Ok((agent, bound_address))
    }

    /// Current admission limit and load.
    pub fn load(&self) -> Load {
        let a = lock(&self.admission);
        Load {
            limit: a.limit(),
            in_flight: a.in_flight(),
            engine_start: a.engine_start(),
            draining: a.draining() || a.engine_down() || self.shutdown.is_requested(),
            first_byte: a.smoothed_first_byte(),
        }
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    pub(crate) fn attempts(&self) -> MutexGuard<'_, AttemptRegistry> {
        lock(&self.attempts)
    }

    pub(crate) fn responses(&self) -> MutexGuard<'_, ResponseStore> {
        lock(&self.responses)
    }

    pub(crate) fn set_prefixes(&self, prefixes: Vec<u64>) {
        *lock(&self.prefixes) = prefixes;
    }

    pub(crate) fn prefixes(&self) -> Vec<u64> {
        lock(&self.prefixes).clone()
    }

    /// Stores the directive of one entry and applies the directives in force.
    ///
    /// The newest configuration version wins. Among directives of that version draining wins, since
    /// taking an endpoint out is safe without a quorum and returning it to service is not.
    pub(crate) fn apply_directive(&self, entry: SocketAddr, directive: EntryDirective) {
        let mut directives = lock(&self.directives);
        directives.insert(entry, directive);
        let newest_version = directives.values().map(|d| d.config_version).max().unwrap_or(0);
        let drain = directives.values().any(|d| d.config_version == newest_version && d.drain);
        drop(directives);
        let mut admission = self.admission();
        if admission.draining() != drain {
            log::info!("{}: {}", self.cfg.name, if drain { "leaving" } else { "serving" });
        }
        admission.set_draining(drain);
    }

    /// Version of the configuration that the agent applies.
    pub fn config_version(&self) -> u64 {
        lock(&self.directives).values().map(|d| d.config_version).max().unwrap_or(0)
    }

    /// Incarnation of the agent: its start time in milliseconds since the Unix epoch.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}
