//! [`Control`]: one control instance and its start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use crocustally_core::Code;
use crocustally_core::control::Machine;
use crocustally_core::raft::Role;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_log::LogHandle;
use crocustally_log::PeerSettings;
use crocustally_log::ReplicaService;
use crocustally_net::Clock;
use crocustally_net::HttpLimits;
use crocustally_net::Runtime;
use crocustally_net::ServicePair;
use crocustally_net::Shutdown;
use crocustally_net::serve_grpc;
use crocustally_net::serve_http;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::RankOrders;
use crocustally_wire::RankReport;
use crocustally_wire::Update;
use crocustally_wire::control_server::ControlServer;
use crocustally_wire::replica_server::ReplicaServer;

use crate::ControlDialect;
use crate::ControlSettings;
use crate::api;
use crate::book::Book;
use crate::book::log_part;
use crate::calls::ControlService;
use crate::coordinator::Coordinator;
use crate::coordinator::Told;

/// How often followers are told what can wait: often enough for the load of ranks to steer by.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);
/// Updates that may wait for one follower.
const UPDATES_WAITING: usize = 256;
/// Longest policy document in bytes.
const DOCUMENT_BYTES_MAX: usize = 4 * 1024 * 1024;

/// One control instance.
pub struct Control {
    pub(crate) cfg: ControlSettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) log: LogHandle,
    pub(crate) dialect: Arc<dyn ControlDialect>,
    machine: RwLock<Arc<Machine>>,
    book: Mutex<Book>,
    coordinator: Mutex<Coordinator>,
    /// The policy that is applied here, decoded.
    policy: RwLock<Option<Arc<TrafficPolicy>>>,
}

/// Where a started control instance listens.
#[derive(Clone, Copy, Debug)]
pub struct ControlAddresses {
    /// For operators and endpoints.
    pub callers: SocketAddr,
    /// For the system's other processes.
    pub peers: SocketAddr,
}

impl Control {
    /// Starts a control instance; answers it and its addresses.
    pub async fn start(
        rt: &Runtime,
        cfg: ControlSettings,
        clock: Arc<dyn Clock>,
        shutdown: Shutdown,
        dialect: Arc<dyn ControlDialect>,
    ) -> std::io::Result<(Arc<Self>, ControlAddresses)> {
        let (log, machines) = LogHandle::start(rt, cfg.log_settings(), clock.clone())?;
        let control = Arc::new(Self {
            clock,
            log,
            dialect,
            machine: RwLock::new(Arc::new(Machine::default())),
            book: Mutex::new(Book::default()),
            coordinator: Mutex::new(Coordinator::new(cfg.copy_time)),
            policy: RwLock::new(None),
            cfg,
        });
        rt.spawn(control.clone().watch_log(machines));
        rt.spawn(control.clone().flush());
        let stopping = (control.clone(), shutdown.clone());
        rt.spawn(async move {
            stopping.1.wait().await;
            stopping.0.log.stop();
        });
        let replica = ReplicaServer::new(ReplicaService::new(control.log.clone()));
        let calls = ControlServer::new(ControlService::new(control.clone()));
        let server = ServicePair::new(replica, calls);
        let peers = serve_grpc(rt, control.cfg.peer_listen, server, &shutdown).await?;
        let shared = control.clone();
        let handler = move |req| api::answer(shared.clone(), req);
        let limits = HttpLimits { body_bytes: DOCUMENT_BYTES_MAX, ..HttpLimits::default() };
        let callers = serve_http(rt, control.cfg.listen, limits, &shutdown, handler).await?;
        Ok((control, ControlAddresses { callers, peers }))
    }

    /// The replicated state, as far as it is applied here.
    pub fn machine(&self) -> Arc<Machine> {
        self.machine.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether this instance knows the replicated state.
    pub fn ready(&self) -> bool {
        self.machine().applied() > 0
    }

    /// Takes what of new settings can change while it runs: the seeds.
    pub fn reload(&self, cfg: &ControlSettings) {
        for p in cfg.log_settings().peers {
            self.log.add_peer(PeerSettings { voter: false, ..p });
        }
    }

    pub(crate) fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a follower; updates come out of the receiver.
    pub(crate) fn follow(&self, name: String) -> Receiver<Update> {
        let (tx, rx) = async_channel::bounded(UPDATES_WAITING);
        let controls = self.log.addresses().iter().map(ToString::to_string).collect();
        let all = Update { controls, ..log_part(&self.machine()) };
        self.book().follow(self.clock.now(), name, tx, all);
        rx
    }

    /// Tells followers whenever the replicated state changes.
    async fn watch_log(self: Arc<Self>, machines: Receiver<Arc<Machine>>) {
        while let Ok(machine) = machines.recv().await {
            let before = self.machine();
            *self.machine.write().unwrap_or_else(PoisonError::into_inner) = machine.clone();
            let same = before.policy().version == machine.policy().version
                && before.evacuated() == machine.evacuated();
            if same && before.applied() > 0 {
                continue;
            }
            log::info!(
                policy = machine.policy().version,
                applied = machine.applied(),
                evacuated = format!("{:?}", machine.evacuated()).as_str();
                "replicated state changed"
            );
            self.decode_policy(&machine);
            self.book().tell(log_part(&machine));
        }
    }

    fn decode_policy(&self, machine: &Machine) {
        let document = machine.policy();
        if document.version == 0 {
            return;
        }
        match self.dialect.policy(&document.body) {
            Ok(policy) => {
                let mut current = self.policy.write().unwrap_or_else(PoisonError::into_inner);
                *current = Some(Arc::new(policy));
            }
            Err(e) => log::error!(version = document.version; "policy document unusable: {e}"),
        }
    }

    /// Takes what an agent sees of its rank, and answers with its orders as soon as there are any.
    pub(crate) async fn attend(&self, report: RankReport) -> RankOrders {
        let Some(view) = self.log.view().filter(|v| v.role == Role::Leader) else {
            let leader = self.log.leader_address().map(|a| a.to_string()).unwrap_or_default();
            let code = u32::from(Code::NoQuorum.number());
            return RankOrders { code, leader, orders: Vec::new() };
        };
        let now = self.clock.now();
        if let Some(load) = report.load.clone() {
            self.book().rank(now, load);
        }
        let policy = self.policy.read().unwrap_or_else(PoisonError::into_inner).clone();
        self.coordinator().report(now, view.term, policy.as_deref(), &report);
        let mut report_at = None;
        loop {
            let told = self.coordinator().orders(self.clock.now(), &report);
            let (changed, time) = match told {
                Told::Orders(_) if !self.log.leads() => return RankOrders::default(),
                Told::Orders(orders) => return RankOrders { orders, ..RankOrders::default() },
                Told::Wait { changed, time } => (changed, time),
            };
            // What has changed may shorten the wait, never lengthen it.
            let now = self.clock.now();
            let at = report_at.map_or(now + time, |at: Instant| at.min(now + time));
            report_at = Some(at);
            if timeout(at.saturating_duration_since(now), changed).await.is_none() {
                return RankOrders::default();
            }
        }
    }

    fn coordinator(&self) -> MutexGuard<'_, Coordinator> {
        self.coordinator.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn flush(self: Arc<Self>) {
        let mut controls = Vec::new();
        loop {
            sleep(FLUSH_PERIOD).await;
            let now = self.clock.now();
            let addresses = self.log.addresses();
            let version = self.machine().policy().version;
            let mut book = self.book();
            book.flush(now, version);
            if addresses != controls {
                let text = addresses.iter().map(ToString::to_string).collect();
                book.tell(Update { controls: text, ..Update::default() });
                controls = addresses;
            }
            metrics::gauge!("crocustally_followers").set(book.followers() as f64);
        }
    }
}
