//! [`Control`]: one control instance, its servers and its background tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::control::PauseDetector;
use crocustally_core::control::PromptPart;
use crocustally_core::control::StateMachine;
use crocustally_core::control::list_parts;
use crocustally_core::experts::Delegation;
use crocustally_core::experts::VersionBlock;
use crocustally_core::raft::Role;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_log::LogHandle;
use crocustally_log::LogView;
use crocustally_log::PeerSettings;
use crocustally_log::ReplicaService;
use crocustally_net::BufferBudget;
use crocustally_net::ClientConnections;
use crocustally_net::Clock;
use crocustally_net::GrpcLimits;
use crocustally_net::HttpLimits;
use crocustally_net::Runtime;
use crocustally_net::ServicePair;
use crocustally_net::Shutdown;
use crocustally_net::client_connections_max;
use crocustally_net::descriptor_limit;
use crocustally_net::serve_grpc_within;
use crocustally_net::serve_http_with;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::BlockedParts;
use crocustally_wire::LiftRequest;
use crocustally_wire::MESSAGE_BYTES_MAX;
use crocustally_wire::POLICY_BYTES_MAX;
use crocustally_wire::PolicyBodyError;
use crocustally_wire::PolicyDocument;
use crocustally_wire::RankOrders;
use crocustally_wire::RankReport;
use crocustally_wire::TrialRequest;
use crocustally_wire::Update;
use crocustally_wire::command::Kind;
use crocustally_wire::control_server::ControlServer;
use crocustally_wire::outcome::Kind as OutcomeKind;
use crocustally_wire::replica_server::ReplicaServer;
use futures_lite::future;

use crate::ControlDialect;
use crate::ControlSettings;
use crate::api;
use crate::calls::ControlService;
use crate::coordinator;
use crate::coordinator::Coordinator;
use crate::coordinator::PollReply;
use crate::crash_reports::CrashReports;
use crate::soft_state::SoftState;
use crate::soft_state::replicated_part;

/// Time for the lift of a refusal to be committed, after which the operator tries another instance.
const LIFT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time for which a stopping instance keeps its replica for calls in progress. Until then it may
/// lead, and an election follows.
const LOG_STOP_DELAY_MAX: Duration = Duration::from_millis(1000);
/// Interval between batched updates to subscribers. Gateways route by the load of ranks, so it has
/// to stay short.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);
/// Suspected parts of prompts of which subscribers are told at once, 32 KiB of them. Sound parts that are in flight
/// at several ends must be cleared before they have as many as the part at fault.
const SUSPECTS_AT_ONCE_MAX: usize = 4096;
/// Shortest interval between two updates with more suspected parts. Sound answers clear them one after the other,
/// and each update has all of them; blocked ones are sent at once.
const SUSPECTS_PERIOD: Duration = Duration::from_millis(200);
/// Time without a message of its replica after which an instance coordinates no more groups. Replicas
/// answer the leader's heartbeats several times as often.
const PEER_RESPONSE_TIME: Duration = Duration::from_millis(800);
/// Long-poll time of an agent whose service the policy does not describe as one with experts.
const NO_ENGINE_WAIT: Duration = Duration::from_millis(225);
/// Minimum time between two records of the number of gateways.
const GATEWAYS_RECORD_PERIOD: Duration = Duration::from_secs(1);
/// Code of the reply to a report on a group that another instance coordinates.
const NO_QUORUM: u32 = Code::NoQuorum as u32;

/// One control instance.
pub struct Control {
    pub(crate) cfg: ControlSettings,
    /// Memory for the bodies of calls.
    pub(crate) buffers: BufferBudget,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) log: LogHandle,
    pub(crate) dialect: Arc<dyn ControlDialect>,
    state_machine: RwLock<Arc<StateMachine>>,
    soft_state: Mutex<SoftState>,
    pub(crate) crash_reports: CrashReports,
    coordinator: Mutex<Coordinator>,
    /// Used by the leader only.
    delegation: Mutex<Delegation>,
    /// The applied policy, decoded; `None` before the first usable one.
    policy: RwLock<Option<Arc<TrafficPolicy>>>,
    pauses: Mutex<PauseDetector>,
    /// Whether parts of prompts are suspected, or no longer, of which subscribers have not been told.
    suspects_changed: AtomicBool,
    /// The text last read by an operator, shared by all responses with it, and its version.
    policy_text: Mutex<Option<(u64, Bytes)>>,
}

/// Addresses on which a started control instance listens.
#[derive(Clone, Copy, Debug)]
pub struct ControlAddresses {
    /// Address for operators and endpoints.
    pub callers: SocketAddr,
    /// Address for the system's other processes.
    pub peers: SocketAddr,
}

impl Control {
    /// Starts a control instance and returns it with its addresses.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be opened or an address cannot be bound.
    pub async fn start(
        rt: &Runtime,
        cfg: ControlSettings,
        clock: Arc<dyn Clock>,
        shutdown: Shutdown,
        dialect: Arc<dyn ControlDialect>,
    ) -> std::io::Result<(Arc<Self>, ControlAddresses)> {
        let (log, state_machines) = LogHandle::start(rt, cfg.log_settings(), clock.clone())?;
        let control = Arc::new(Self {
            clock,
            log,
            dialect,
            state_machine: RwLock::new(Arc::new(StateMachine::default())),
            soft_state: Mutex::new(SoftState::new(cfg.memory_mb)),
            crash_reports: CrashReports::default(),
            coordinator: Mutex::new(Coordinator::new(cfg.copy_time)),
            delegation: Mutex::new(Delegation::default()),
            policy: RwLock::new(None),
            pauses: Mutex::default(),
            suspects_changed: AtomicBool::new(false),
            policy_text: Mutex::new(None),
            buffers: BufferBudget::of_process(cfg.memory_mb),
            cfg,
        });
        rt.spawn(control.clone().watch_log(state_machines));
        rt.spawn(control.clone().flush_loop(rt.clone()));
        rt.spawn(control.clone().fetch_departures());
        let reports = control.clone();
        rt.spawn(async move { reports.commit_crash_reports().await });
        let stopping = (control.clone(), shutdown.clone());
        rt.spawn(async move {
            // Calls that were accepted may still have to be committed.
            let served = stopping.1.stage_ended();
            future::or(served, stopping.1.wait_elapsed(LOG_STOP_DELAY_MAX)).await;
            stopping.0.log.stop();
        });
        let replica = ReplicaServer::new(ReplicaService::new(control.log.clone()))
            .max_decoding_message_size(MESSAGE_BYTES_MAX);
        let calls = ControlServer::new(ControlService::new(control.clone()));
        let server = ServicePair::new(replica, calls);
        // Calls of peers have memory of their own, so that bodies of callers stop no replication.
        let peer_limits = GrpcLimits {
            connections: control.cfg.peer_connections_max,
            budget: BufferBudget::of_process(control.cfg.memory_mb),
        };
        let address = control.cfg.peer_listen;
        let peers = serve_grpc_within(rt, address, peer_limits, server, &shutdown).await?;
        let shared = control.clone();
        let handler = move |req| api::handle_request(shared.clone(), req);
        let limits = HttpLimits { body_bytes: POLICY_BYTES_MAX, ..HttpLimits::default() };
        let max = client_connections_max(descriptor_limit(), control.cfg.memory_mb);
        let buffers = Some(control.buffers.clone());
        let conns = ClientConnections::new(max, limits.stall_timeout, buffers);
        let address = control.cfg.listen;
        let callers = serve_http_with(rt, address, limits, conns, &shutdown, handler).await?;
        Ok((control, ControlAddresses { callers, peers }))
    }

    /// The replicated state as of the last entry that was applied locally.
    pub fn state_machine(&self) -> Arc<StateMachine> {
        self.state_machine.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether the applied policy has a service of this name; true for any name before the first one.
    pub(crate) fn has_service(&self, name: &str) -> bool {
        let policy = self.policy.read().unwrap_or_else(PoisonError::into_inner);
        policy.as_deref().is_none_or(|p| p.services().iter().any(|s| s.name == name))
    }

    /// The text of a policy document, one copy of which is shared by all readers.
    pub(crate) fn policy_text(&self, document: &PolicyDocument) -> Result<Bytes, PolicyBodyError> {
        let mut shared = self.policy_text.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((version, text)) = shared.as_ref()
            && *version == document.version
        {
            return Ok(text.clone());
        }
        let text = document.text()?;
        *shared = Some((document.version, text.clone()));
        Ok(text)
    }

    /// Whether this instance has applied any of the replicated log.
    pub fn is_ready(&self) -> bool {
        self.state_machine().last_applied() > 0
    }

    /// Lifts the refusal of a part of prompts; returns the code for the operator.
    pub(crate) async fn lift(&self, lift: LiftRequest) -> Code {
        let (service, part) = (lift.service.clone(), PromptPart(lift.part));
        let outcome = self.log.propose(Kind::Lift(lift), LIFT_TIMEOUT).await;
        let part = part.to_string();
        log::info!(
            service = service.as_str(), part = part.as_str(), committed = outcome.is_ok();
            "refusal of a part of prompts lifted by an operator"
        );
        outcome.map_or_else(|code| code, |_| Code::Ok)
    }

    /// Grants a gateway one request with blocked parts if a trial is due.
    pub(crate) async fn trial(&self, trial: TrialRequest) -> bool {
        let trial = TrialRequest { at_ms: self.clock.unix_ms(), ..trial };
        if !self.state_machine().crash_evidence().trial_due(&trial) {
            return false;
        }
        let parts = list_parts(&trial.parts, ",");
        let service = trial.service.clone();
        let outcome = self.log.propose(Kind::Trial(trial), LIFT_TIMEOUT).await;
        let granted = matches!(outcome.map(|o| o.kind), Ok(Some(OutcomeKind::Done(true))));
        log::info!(
            service = service.as_str(), parts = parts.as_str(), granted = granted;
            "trial of blocked parts of prompts"
        );
        granted
    }

    /// Applies changed settings. Only new seeds take effect without a restart.
    pub fn reload(&self, cfg: &ControlSettings) {
        let seeds = cfg.log_settings().peers.into_iter();
        self.log.set_seeds(seeds.map(|p| PeerSettings { voter: false, ..p }).collect());
    }

    pub(crate) fn soft_state(&self) -> MutexGuard<'_, SoftState> {
        self.soft_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a subscriber and returns the receiver of its updates, the first of which is complete.
    pub(crate) fn subscribe(&self, name: String) -> Receiver<Update> {
        let controls = self.log.addresses().iter().map(ToString::to_string).collect();
        // Under the lock, so that a later state is broadcast to this subscriber too.
        let mut soft_state = self.soft_state();
        let initial = Update { controls, ..replicated_part(&self.state_machine()) };
        soft_state.subscribe(self.clock.now(), &name, initial)
    }

    /// Sends the policy version and the evacuations to subscribers whenever they change.
    async fn watch_log(self: Arc<Self>, state_machines: Receiver<Arc<StateMachine>>) {
        while let Ok(machine) = state_machines.recv().await {
            let before = self.state_machine();
            *self.state_machine.write().unwrap_or_else(PoisonError::into_inner) = machine.clone();
            let evidence = (before.crash_evidence(), machine.crash_evidence());
            let unchanged = before.policy_version() == machine.policy_version()
                && before.evacuated() == machine.evacuated()
                && before.gateways() == machine.gateways()
                && (evidence.0 == evidence.1
                    || evidence.0.has_same_blocks(evidence.1)
                        && evidence.1.suspect_count() > SUSPECTS_AT_ONCE_MAX);
            if unchanged && before.last_applied() > 0 {
                let changed = evidence.0 != evidence.1;
                self.suspects_changed.fetch_or(changed, Ordering::AcqRel);
                continue;
            }
            log::info!(
                policy = machine.policy_version(),
                applied = machine.last_applied(),
                evacuated = format!("{:?}", machine.evacuated()).as_str(),
                gateways = machine.gateways();
                "replicated state changed"
            );
            log_blocks(&before, &machine);
            self.apply_policy(&machine);
            self.soft_state().broadcast(replicated_part(&machine));
        }
    }

    fn apply_policy(&self, machine: &StateMachine) {
        let Some(document) = machine.policy() else { return };
        let text = match document.text() {
            Ok(text) => text,
            Err(e) => {
                log::error!(version = document.version; "policy document unusable: {e}");
                return;
            }
        };
        match self.dialect.decode_policy(&text) {
            Ok(policy) => {
                let mut current = self.policy.write().unwrap_or_else(PoisonError::into_inner);
                *current = Some(Arc::new(policy));
            }
            Err(e) => log::error!(version = document.version; "policy document unusable: {e}"),
        }
    }

    /// Records a rank agent's report and returns orders for the agent as soon as there are any.
    ///
    /// This is a long poll: an empty reply asks the agent to report again. Each group is coordinated
    /// by the instance to which the leader has assigned it; the leader redirects agents there. All
    /// others reply with [`Code::NoQuorum`] and the address of the leader, if known.
    pub(crate) async fn attend(&self, report: RankReport) -> RankOrders {
        let now = self.clock.now();
        let Some(view) = self.log.view().filter(|v| v.leader.is_some()) else {
            return self.refuse_report();
        };
        if !self.coordinator().coordinates(now, view.term, &report) {
            let policy = self.policy.read().unwrap_or_else(PoisonError::into_inner).clone();
            let Some(engine) = policy.as_deref().and_then(|p| p.expert_engine(&report.service))
            else {
                // The policy may just not be known yet.
                sleep(NO_ENGINE_WAIT).await;
                return RankOrders { experts_unknown: true, ..RankOrders::default() };
            };
            let block = match self.version_block(&view, &report) {
                Ok(block) => block,
                Err(reply) => return reply,
            };
            self.coordinator().adopt(block, engine, &report);
        }
        if let Some(load) = &report.load {
            self.soft_state().record_rank_load(now, load);
        }
        self.coordinator().record_report(now, &report);
        let experts_unknown = !self.coordinator().knows_experts(&report);
        let reply = |orders| RankOrders { orders, experts_unknown, ..RankOrders::default() };
        let mut deadline = None;
        loop {
            let polled = self.coordinator().poll_orders(self.clock.now(), &report);
            let in_term = |v: &LogView| v.term == view.term && v.leader.is_some();
            let (changed, time) = match polled {
                PollReply::Orders(_) if !self.log.view().as_ref().is_some_and(in_term) => {
                    return self.refuse_report();
                }
                PollReply::Orders(orders) => return reply(orders),
                PollReply::Wait { changed, time } => (changed, time),
            };
            // A change may bring the deadline forward but never postpone it.
            let now = self.clock.now();
            let at = deadline.map_or(now + time, |at: Instant| at.min(now + time));
            deadline = Some(at);
            if timeout(at.saturating_duration_since(now), changed).await.is_none() {
                return reply(Vec::new());
            }
        }
    }

    /// The map versions with which this instance may start to coordinate the group of a report, or
    /// the reply that sends the agent elsewhere.
    fn version_block(
        &self,
        view: &LogView,
        report: &RankReport,
    ) -> Result<VersionBlock, RankOrders> {
        if view.role != Role::Leader {
            // The agent was redirected here by the leader of this term.
            let assigned = report.term == view.term && report.block > 0;
            let block = VersionBlock { term: report.term, number: report.block };
            return if assigned { Ok(block) } else { Err(self.refuse_report()) };
        }
        let own = self.log.own_address();
        let live = self.log.responding_peers(PEER_RESPONSE_TIME);
        let (key, ranks) = (coordinator::group_key(report), report.size as usize);
        let mut delegation = self.delegation.lock().unwrap_or_else(PoisonError::into_inner);
        let Some((instance, block)) = delegation.assign(view.term, &key, ranks, own, &live) else {
            log::error!(term = view.term; "the blocks of map versions are exhausted");
            return Err(RankOrders { code: NO_QUORUM, ..RankOrders::default() });
        };
        if instance == own {
            return Ok(block);
        }
        Err(RankOrders {
            code: NO_QUORUM,
            leader: instance.to_string(),
            term: block.term,
            block: block.number,
            ..RankOrders::default()
        })
    }

    /// Reply to an agent whose group this instance does not coordinate.
    fn refuse_report(&self) -> RankOrders {
        let own = self.log.own_address();
        let leader = self.log.leader_address().filter(|a| *a != own);
        let leader = leader.map(|a| a.to_string()).unwrap_or_default();
        RankOrders { code: NO_QUORUM, leader, ..RankOrders::default() }
    }

    fn pauses(&self) -> MutexGuard<'_, PauseDetector> {
        self.pauses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When this process had last been paused.
    pub(crate) fn pause_ended(&self) -> Option<Instant> {
        self.pauses().pause_ended()
    }

    fn coordinator(&self) -> MutexGuard<'_, Coordinator> {
        self.coordinator.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a number of gateways in the log, so that it outlasts a restart of all processes.
    async fn record_gateways(self: Arc<Self>, count: u32) {
        if self.log.propose(Kind::Gateways(count), GATEWAYS_RECORD_PERIOD).await.is_err() {
            log::warn!(gateways = count; "number of gateways not recorded, trying again");
        }
    }

    async fn flush_loop(self: Arc<Self>, rt: Runtime) {
        let mut controls = Vec::new();
        let mut gateways_recorded_at = self.clock.now();
        let mut suspects_sent_at = gateways_recorded_at;
        loop {
            sleep(FLUSH_PERIOD).await;
            let now = self.clock.now();
            self.pauses().tick(now, self.clock.unix_ms());
            let addresses = self.log.addresses();
            let version = self.state_machine().policy_version();
            let suspects_due = now.saturating_duration_since(suspects_sent_at) >= SUSPECTS_PERIOD;
            let suspects = suspects_due && self.suspects_changed.swap(false, Ordering::AcqRel);
            let mut soft_state = self.soft_state();
            if suspects {
                suspects_sent_at = now;
                soft_state.broadcast(replicated_part(&self.state_machine()));
            }
            soft_state.flush(now, version);
            let gateways = soft_state.gateways();
            let due = now.saturating_duration_since(gateways_recorded_at) >= GATEWAYS_RECORD_PERIOD;
            if due && gateways > self.state_machine().gateways() && self.log.is_leader() {
                gateways_recorded_at = now;
                rt.spawn(self.clone().record_gateways(gateways));
            }
            if addresses != controls {
                let text = addresses.iter().map(ToString::to_string).collect();
                soft_state.broadcast(Update { controls: text, ..Update::default() });
                controls = addresses;
            }
            metrics::gauge!("crocustally_followers").set(soft_state.subscribers() as f64);
        }
    }
}

/// Logs the blocks of parts of prompts that an applied command has set or lifted.
fn log_blocks(before: &StateMachine, machine: &StateMachine) {
    if before.crash_evidence() == machine.crash_evidence() {
        return;
    }
    let blocks = |m: &StateMachine| -> Vec<(String, BlockedParts)> {
        let services = m.crash_evidence().suspect_parts().services.into_iter();
        services.flat_map(|s| s.blocked.into_iter().map(move |b| (s.service.clone(), b))).collect()
    };
    let (old, new) = (blocks(before), blocks(machine));
    metrics::gauge!("crocustally_blocked_prompt_parts").set(new.len() as f64);
    let log = |(service, block): &(String, BlockedParts), message: &str| {
        log::warn!(
            service = service.as_str(),
            parts = list_parts(&block.parts, ",").as_str(),
            since_ms = block.since_ms,
            endpoints = block.endpoints.join(",").as_str();
            "{message}"
        );
    };
    let same = |a: &(String, BlockedParts), b: &(String, BlockedParts)| {
        a.0 == b.0 && a.1.parts == b.1.parts
    };
    for block in new.iter().filter(|b| !old.iter().any(|o| same(o, b))) {
        log(block, "requests with these parts of prompts are refused: they crash endpoints");
    }
    for block in old.iter().filter(|o| !new.iter().any(|b| same(o, b))) {
        log(block, "requests with these parts of prompts are served again");
    }
}
