//! [`Agent`]: the state that everything in one agent shares, and its start.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use crocustally_core::agent::Admission;
use crocustally_core::agent::Attempts;
use crocustally_core::routing::Load;
use crocustally_net::Clock;
use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::serve_grpc;
use crocustally_wire::agent_server::AgentServer;

use crate::AgentSettings;
use crate::announce;
use crate::answers::Answers;
use crate::health;
use crate::service::AgentService;

/// What entries have said about this endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Wanted {
    /// Version of the configuration that said it.
    pub(crate) version: u64,
    /// Whether its domain is out or it has been told to drain.
    pub(crate) leave: bool,
}

/// One agent.
pub struct Agent {
    pub(crate) cfg: AgentSettings,
    pub(crate) rt: Runtime,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) shutdown: Shutdown,
    pub(crate) incarnation: u64,
    pub(crate) client: HttpClient,
    pub(crate) sequence: AtomicU64,
    admission: Mutex<Admission>,
    attempts: Mutex<Attempts>,
    answers: Mutex<Answers>,
    wanted: Mutex<HashMap<SocketAddr, Wanted>>,
    prefixes: Mutex<Vec<u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Agent {
    /// Starts an agent; answers it and the address that it is bound to.
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
            attempts: Mutex::new(Attempts::default()),
            answers: Mutex::new(Answers::default()),
            wanted: Mutex::new(HashMap::new()),
            prefixes: Mutex::new(Vec::new()),
            cfg,
        });
        let server = AgentServer::new(AgentService::new(agent.clone()));
        let bound = serve_grpc(rt, agent.cfg.listen, server, &shutdown).await?;
        rt.spawn(health::watch(agent.clone()));
        announce::start(&agent, agent.cfg.advertise.unwrap_or(bound));
        Ok((agent, bound))
    }

    /// The admission limit and what is running.
    pub fn load(&self) -> Load {
        let a = lock(&self.admission);
        Load {
            limit: a.limit(),
            in_flight: a.in_flight(),
            engine_start: a.engine_start(),
            draining: a.leaving() || a.engine_down() || self.shutdown.is_requested(),
            first_byte: a.smooth_first(),
        }
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    pub(crate) fn attempts(&self) -> MutexGuard<'_, Attempts> {
        lock(&self.attempts)
    }

    pub(crate) fn answers(&self) -> MutexGuard<'_, Answers> {
        lock(&self.answers)
    }

    pub(crate) fn set_prefixes(&self, prefixes: Vec<u64>) {
        *lock(&self.prefixes) = prefixes;
    }

    pub(crate) fn prefixes(&self) -> Vec<u64> {
        lock(&self.prefixes).clone()
    }

    /// Takes one entry's word; the newest configuration wins, and of equal ones the one that says
    /// leave, since taking out is safe without a quorum and returning is not.
    pub(crate) fn told(&self, entry: SocketAddr, said: Wanted) {
        let mut wanted = lock(&self.wanted);
        wanted.insert(entry, said);
        let newest = wanted.values().map(|w| w.version).max().unwrap_or(0);
        let leave = wanted.values().any(|w| w.version == newest && w.leave);
        drop(wanted);
        let mut admission = self.admission();
        if admission.leaving() != leave {
            log::info!("{}: {}", self.cfg.name, if leave { "leaving" } else { "serving" });
        }
        admission.set_leaving(leave);
    }

    /// Version of the configuration that it acts on.
    pub fn config_version(&self) -> u64 {
        lock(&self.wanted).values().map(|w| w.version).max().unwrap_or(0)
    }

    /// Its incarnation: the wall-clock millisecond of its start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}
