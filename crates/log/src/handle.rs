//! [`LogHandle`]: proposals to the replicated log, peer connections and bootstrapping.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::control::StateMachine;
use crocustally_core::raft::Members;
use crocustally_core::raft::Message;
use crocustally_core::raft::Replica;
use crocustally_core::raft::ReplicaId;
use crocustally_core::raft::Role;
use crocustally_net::Channel;
use crocustally_net::Clock;
use crocustally_net::DataFolder;
use crocustally_net::Journal;
use crocustally_net::Recovered;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::Command;
use crocustally_wire::HelloReply;
use crocustally_wire::HelloRequest;
use crocustally_wire::MESSAGE_BYTES_MAX;
use crocustally_wire::Outcome;
use crocustally_wire::ProposeRequest;
use crocustally_wire::RaftBatch;
use crocustally_wire::ReplicaPeer;
use crocustally_wire::command::Kind;
use crocustally_wire::replica_client::ReplicaClient;
use prost::Message as _;
use smallvec::SmallVec;

use crate::LogSettings;
use crate::PeerSettings;
use crate::driver::DriverOutput;
use crate::driver::Event;
use crate::driver::LogDriver;
use crate::driver::LogView;
use crate::known_peers::KnownPeers;

mod forgetting;

/// Message batches that may be queued for one peer. Further ones are dropped, and the peer catches
/// up later.
const BATCHES_QUEUED_MAX: usize = 64;
/// Timeout of one call that sends a batch or a hello.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval between two rounds of hello calls of a replica that knows a leader.
const HELLO_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between two rounds of hello calls of a replica that knows none.
const HELLO_INTERVAL_NO_LEADER: Duration = Duration::from_millis(1000);
/// Time for which initial voters wait for each other before a majority founds the group: instances of a
/// new deployment start within a fraction of a second of each other.
const FOUNDING_PATIENCE: Duration = Duration::from_millis(2500);
/// Delay between two attempts of a proposal.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of one attempt of a proposal at one instance.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay before each attempt to reopen the log after a disk failure.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Another instance and its connection.
#[derive(Clone)]
struct Peer {
    name: String,
    address: SocketAddr,
    voter: bool,
    channel: Channel,
    tx: Option<Sender<(ReplicaId, Vec<Message>)>>,
    /// Whether the settings name it; it is not forgotten then.
    is_seed: bool,
    added_at: Instant,
}

struct Shared {
    rt: Runtime,
    cfg: LogSettings,
    id: Option<ReplicaId>,
    peers: RwLock<BTreeMap<String, Peer>>,
    events: Option<Sender<Event>>,
    view: RwLock<Option<LogView>>,
    names: Mutex<HashMap<ReplicaId, String>>,
    known_peers: KnownPeers,
    /// When the last message of each instance arrived, by name.
    heard_at: Mutex<HashMap<String, Instant>>,
    /// When the last hello or reply to one arrived from each instance, by name.
    greeted_at: Mutex<HashMap<String, Instant>>,
    clock: Arc<dyn Clock>,
    state_machines: Sender<Arc<StateMachine>>,
}

/// A handle to the local replica, or to the other instances' replicas if this one has no disk.
#[derive(Clone)]
pub struct LogHandle {
    shared: Arc<Shared>,
}

impl DriverOutput for LogHandle {
    fn send(&self, to: ReplicaId, messages: Vec<Message>) {
        let peer = self.name_of(to).and_then(|n| self.peer(&n));
        if let Some(tx) = peer.and_then(|p| p.tx) {
            // The queue is full if the peer is down or slow; replication resends dropped messages.
            let _ = tx.try_send((to, messages));
        }
    }

    fn publish(&self, view: LogView, state_usable: bool) {
        let machine = view.state_machine.clone();
        *self.shared.view.write().unwrap_or_else(PoisonError::into_inner) = Some(view);
        if state_usable {
            let _ = self.shared.state_machines.force_send(machine);
        }
    }
}

impl LogHandle {
    /// Starts the replica, if this instance has a data folder. The receiver holds the newest state
    /// machine whenever it has changed.
    ///
    /// # Errors
    ///
    /// Fails if the data folder or the journal cannot be opened or the thread cannot be started.
    pub fn start(
        rt: &Runtime,
        cfg: LogSettings,
        clock: Arc<dyn Clock>,
    ) -> std::io::Result<(Self, Receiver<Arc<StateMachine>>)> {
        let (state_machines, changed) = async_channel::bounded(1);
        // Before the journal, whose start syncs the data folder.
        let known_peers = cfg.data.as_deref().map(KnownPeers::open).unwrap_or_default();
        let opened = cfg.data.as_ref().map(|path| open(path)).transpose()?;
        let (events_tx, events) = async_channel::unbounded();
        let id = opened.as_ref().map(|(id, _)| *id);
        let own_name = cfg.name.clone();
        let shared = Shared {
            rt: rt.clone(),
            id,
            peers: RwLock::new(BTreeMap::new()),
            events: id.is_some().then_some(events_tx),
            view: RwLock::new(None),
            names: Mutex::new(id.map(|id| (id, own_name)).into_iter().collect()),
            known_peers,
            heard_at: Mutex::new(HashMap::new()),
            greeted_at: Mutex::new(HashMap::new()),
            clock: clock.clone(),
            state_machines,
            cfg,
        };
        let handle = Self { shared: Arc::new(shared) };
        for p in &handle.shared.cfg.peers {
            handle.add_peer(p.clone(), true);
        }
        for p in handle.shared.known_peers.settings() {
            if handle.peer(&p.name).is_none() {
                handle.add_peer(p, false);
            }
        }
        if let Some(opened) = opened {
            handle.clone().run_replica(opened, events, clock)?;
            rt.spawn(handle.clone().run_hello_rounds());
        }
        Ok((handle, changed))
    }

    /// Runs the replica on its own thread and reopens the log after a disk failure, also after one at
    /// the start: an instance whose disk is full for a while takes part once there is room.
    fn run_replica(
        self,
        (id, mut opened): Opened,
        mut events: Receiver<Event>,
        clock: Arc<dyn Clock>,
    ) -> std::io::Result<()> {
        let run = move || {
            loop {
                let (journal, recovered) = match opened.take() {
                    Some(opened) => opened,
                    None => self.reopen(id),
                };
                match self.driver(id, journal, recovered, events, clock.clone()).run() {
                    Some(rx) => events = rx,
                    None => return,
                }
            }
        };
        thread::Builder::new().name("log".to_owned()).spawn(run)?;
        Ok(())
    }

    fn driver(
        &self,
        id: ReplicaId,
        journal: Journal,
        recovered: Recovered,
        events: Receiver<Event>,
        clock: Arc<dyn Clock>,
    ) -> LogDriver<Self> {
        let cfg = &self.shared.cfg;
        let (hard, commit, log) = (recovered.hard_state, recovered.commit_index, recovered.log);
        if recovered.torn_bytes > 0 {
            log::warn!(name = cfg.name.as_str(), bytes = recovered.torn_bytes; "cut a torn log tail");
        }
        let replica = Replica::new(id, hard, log, commit, clock.now(), rand::random::<u64>());
        let may_vote = cfg.may_vote.clone();
        LogDriver::new(replica, journal, clock, events, self.clone(), cfg.repair, may_vote)
    }

    /// Opens the log once the disk works again.
    fn reopen(&self, id: ReplicaId) -> (Journal, Recovered) {
        let cfg = &self.shared.cfg;
        loop {
            thread::sleep(REOPEN_DELAY);
            let path = cfg.data.as_deref().unwrap_or(std::path::Path::new("."));
            match open(path) {
                Ok((found, Some(opened))) if found == id => {
                    log::info!(name = cfg.name.as_str(); "replicated log reopened");
                    return opened;
                }
                Ok((found, Some(_))) => {
                    log::error!("the disk has another identity, {}; retrying", found.0);
                }
                Ok((_, None)) => {}
                Err(e) => log::warn!("cannot reopen the replicated log, retrying: {e}"),
            }
        }
    }

    /// Adds the peers that new settings name. Those that only earlier settings named count as discovered
    /// from now on.
    pub fn set_seeds(&self, seeds: Vec<PeerSettings>) {
        let names: HashSet<String> = seeds.iter().map(|p| p.name.clone()).collect();
        for p in seeds {
            self.add_peer(p, true);
        }
        let mut peers = self.shared.peers.write().unwrap_or_else(PoisonError::into_inner);
        for peer in peers.values_mut() {
            peer.is_seed = names.contains(&peer.name);
        }
    }

    /// Adds a peer and connects to it, or replaces the connection if its address has changed.
    fn add_peer(&self, p: PeerSettings, is_seed: bool) {
        let shared = &self.shared;
        let mut peers = shared.peers.write().unwrap_or_else(PoisonError::into_inner);
        if p.name == shared.cfg.name || peers.get(&p.name).is_some_and(|k| k.address == p.address) {
            return;
        }
        let (tx, rx) = async_channel::bounded(BATCHES_QUEUED_MAX);
        let channel = Channel::with_source(&shared.rt, p.address, shared.cfg.source);
        let tx = shared.id.is_some().then_some(tx);
        let PeerSettings { name, address, voter } = p;
        let peer = Peer {
            name: name.clone(),
            address,
            voter,
            channel: channel.clone(),
            tx,
            is_seed,
            added_at: shared.clock.now(),
        };
        peers.insert(name, peer);
        drop(peers);
        if shared.id.is_some() {
            shared.rt.spawn(self.clone().run_sender(channel, rx));
        }
    }

    fn peer(&self, name: &str) -> Option<Peer> {
        let peers = self.shared.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.get(name).cloned()
    }

    fn all_peers(&self) -> Vec<Peer> {
        let peers = self.shared.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.values().cloned().collect()
    }

    /// Addresses of this instance and of all known peers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let own = self.shared.cfg.address;
        std::iter::once(own).chain(self.all_peers().iter().map(|p| p.address)).collect()
    }

    /// Addresses of the other instances whose replicas have sent a message within `age`.
    pub fn responding_peers(&self, age: Duration) -> Vec<SocketAddr> {
        let now = self.shared.clock.now();
        let heard_at = self.shared.heard_at.lock().unwrap_or_else(PoisonError::into_inner);
        let responds = |p: &Peer| {
            heard_at.get(&p.name).is_some_and(|at| now.saturating_duration_since(*at) < age)
        };
        self.all_peers().iter().filter(|p| responds(p)).map(|p| p.address).collect()
    }

    /// Address of this instance.
    pub fn own_address(&self) -> SocketAddr {
        self.shared.cfg.address
    }

    /// Address of the leader, if known locally.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let name = self.leader()?;
        if name == self.shared.cfg.name {
            return Some(self.shared.cfg.address);
        }
        self.peer(&name).map(|p| p.address)
    }

    /// Whether the local replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.view().is_some_and(|v| v.role == Role::Leader)
    }

    /// Proposes a command to the leader, wherever it is, and waits for its outcome.
    ///
    /// Failed attempts are repeated within the time limit, so a command may be committed more than
    /// once.
    ///
    /// # Errors
    ///
    /// Returns [`Code::NoQuorum`] once the time limit has passed.
    pub async fn propose(&self, kind: Kind, limit: Duration) -> Result<Outcome, Code> {
        let command = Bytes::from(Command { kind: Some(kind) }.encode_to_vec());
        let attempts = async {
            loop {
                if let Some(outcome) = self.propose_once(&command).await {
                    return outcome;
                }
                sleep(RETRY_DELAY).await;
            }
        };
        timeout(limit, attempts).await.ok_or(Code::NoQuorum)
    }

    /// Proposes to the local replica only; `None` unless it leads and commits in time.
    pub async fn propose_local(&self, command: Bytes, limit: Duration) -> Option<Outcome> {
        let view = self.view()?;
        if view.role != Role::Leader {
            return None;
        }
        let (tx, rx) = async_channel::bounded(1);
        let events = self.shared.events.as_ref()?;
        events.send(Event::Propose { command, reply: tx }).await.ok()?;
        timeout(limit, rx.recv()).await?.ok()
    }

    async fn propose_once(&self, command: &Bytes) -> Option<Outcome> {
        match self.leader() {
            Some(name) if name == self.shared.cfg.name => {
                self.propose_local(command.clone(), ATTEMPT_TIMEOUT).await
            }
            Some(name) => self.propose_to(&name, command).await,
            None if self.shared.id.is_none() => self.propose_to_any(command).await,
            None => None,
        }
    }

    async fn propose_to(&self, name: &str, command: &Bytes) -> Option<Outcome> {
        let peer = self.peer(name)?;
        let mut client = replica_client(&peer.channel);
        let timeout_ms = ATTEMPT_TIMEOUT.as_millis() as u32;
        let req = ProposeRequest { command: command.clone(), timeout_ms };
        let reply = timeout(ATTEMPT_TIMEOUT, client.propose(req)).await?.ok()?;
        reply.into_inner().outcome
    }

    /// Proposes to each peer in turn, since an instance without a replica does not know the leader.
    async fn propose_to_any(&self, command: &Bytes) -> Option<Outcome> {
        for peer in self.all_peers() {
            if let Some(outcome) = self.propose_to(&peer.name, command).await {
                return Some(outcome);
            }
        }
        None
    }

    /// Name of the leader, if known locally.
    pub fn leader(&self) -> Option<String> {
        self.name_of(self.view()?.leader?)
    }

    /// The newest view of the local replica; `None` before the first one.
    pub fn view(&self) -> Option<LogView> {
        self.shared.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether this instance has a replica.
    pub fn has_replica(&self) -> bool {
        self.shared.id.is_some()
    }

    /// Names of the peers and connections to them.
    pub fn peers(&self) -> Vec<(String, Channel)> {
        self.all_peers().into_iter().map(|p| (p.name, p.channel)).collect()
    }

    /// Name of the instance that has this replica identity, if known.
    pub fn name_of(&self, id: ReplicaId) -> Option<String> {
        let names = self.shared.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.get(&id).cloned()
    }

    /// Handles messages from another replica; they are dropped unless `to` is the local replica.
    pub fn receive(&self, from: ReplicaId, to: ReplicaId, name: String, messages: Vec<Message>) {
        let mut heard_at = self.shared.heard_at.lock().unwrap_or_else(PoisonError::into_inner);
        heard_at.insert(name.clone(), self.shared.clock.now());
        drop(heard_at);
        // The name of a control instance is its address. Without it, a leader that is known only by its
        // messages would get no response before the next round of hello calls.
        self.add_reported_peer(&name, &name);
        self.record_name(from, name);
        if let (Some(events), true) = (&self.shared.events, self.shared.id == Some(to)) {
            let _ = events.try_send(Event::Messages { from, messages });
        }
    }

    /// Handles a hello call: records the caller and returns the local identity and the known peers.
    pub fn hello(&self, req: HelloRequest) -> HelloReply {
        if req.identity != 0 {
            self.add_reported_peer(&req.name, &req.address);
            self.record_greeting(&req.name);
            self.record_name(ReplicaId(req.identity), req.name);
        }
        let identity = self.shared.id.map_or(0, |id| id.0);
        let has_log = self.view().is_some_and(|v| v.has_log);
        let to_wire = |p: Peer| ReplicaPeer { name: p.name, address: p.address.to_string() };
        let peers = self.peers_to_name().into_iter().map(to_wire).collect();
        let may_found = self.shared.cfg.initial_voter && !has_log;
        HelloReply { identity, has_log, peers, may_found }
    }

    /// Steps down as leader and stops the replica, for a planned shutdown.
    pub fn stop(&self) {
        if let Some(events) = &self.shared.events {
            let _ = events.try_send(Event::Stop);
        }
    }

    fn record_name(&self, id: ReplicaId, name: String) {
        if let Some(peer) = self.peer(&name) {
            self.shared.known_peers.record(&name, peer.address);
        }
        let mut names = self.shared.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.insert(id, name.clone());
        drop(names);
        if let Some(events) = &self.shared.events {
            let _ = events.try_send(Event::Contact { id, name });
        }
    }

    async fn run_sender(self, channel: Channel, rx: Receiver<(ReplicaId, Vec<Message>)>) {
        let Some(id) = self.shared.id else { return };
        let mut client = replica_client(&channel);
        while let Ok((to, messages)) = rx.recv().await {
            let batch = RaftBatch {
                from: id.0,
                to: to.0,
                messages: messages.into_iter().map(Into::into).collect(),
                from_name: self.shared.cfg.name.clone(),
            };
            let _ = timeout(CALL_TIMEOUT, client.raft(batch)).await;
        }
    }

    // ------------------------------------------------------------------------------------------
    // Bootstrapping and rejoining

    /// Sends hello calls to all peers at intervals, and founds the group if that is safe.
    async fn run_hello_rounds(self) {
        let started_at = self.shared.clock.now();
        loop {
            let replies = self.send_hellos().await;
            if !self.view().is_some_and(|v| v.has_log) {
                let waited = self.shared.clock.now().saturating_duration_since(started_at);
                if let Some(members) = self.founding_members(&replies, waited) {
                    self.found(members);
                }
            }
            let has_leader = self.view().is_some_and(|v| v.leader.is_some());
            if has_leader {
                self.forget_gone_peers();
            }
            sleep(if has_leader { HELLO_INTERVAL } else { HELLO_INTERVAL_NO_LEADER }).await;
        }
    }

    /// Members of the group that this instance may found; `None` while that is not safe.
    ///
    /// It is safe for an initial voter while no instance has replied that it has a log. The first of
    /// them founds the group as soon as all others have replied. After [`FOUNDING_PATIENCE`] each one
    /// does with a majority, if the settings allow it: some may be gone for good.
    fn founding_members(
        &self,
        replies: &[(Peer, HelloReply)],
        waited: Duration,
    ) -> Option<Members> {
        let (cfg, own) = (&self.shared.cfg, self.shared.id?);
        let names = cfg.initial_voters();
        if !cfg.initial_voter || replies.iter().any(|(_, reply)| reply.has_log) {
            return None;
        }
        let with_replica = || replies.iter().filter(|(_, reply)| reply.identity != 0);
        let initial = with_replica().filter(|(p, reply)| p.voter && reply.may_found);
        let others = initial.map(|(_, reply)| ReplicaId(reply.identity));
        let mut voters: SmallVec<[ReplicaId; 5]> = std::iter::once(own).chain(others).collect();
        let all = voters.len() == names.len();
        let majority = cfg.found_by_majority && voters.len() > names.len() / 2;
        let is_first = names.first() == Some(&cfg.name);
        if !(all && is_first || majority && waited >= FOUNDING_PATIENCE) {
            return None;
        }
        // Nobody answers for these identities until other replicas take their places.
        voters.resize_with(names.len(), || ReplicaId(rand::random::<u64>()));
        let learners = with_replica().filter(|(p, _)| !p.voter);
        let learners = learners.map(|(_, reply)| ReplicaId(reply.identity)).collect();
        Some(Members { voters, learners })
    }

    fn found(&self, members: Members) {
        if let Some(events) = &self.shared.events {
            let _ = events.try_send(Event::Found(members));
        }
    }

    /// Sends hello calls to all peers at the same time and returns the replies.
    async fn send_hellos(&self) -> Vec<(Peer, HelloReply)> {
        let mut calls = Vec::new();
        for peer in self.all_peers() {
            let handle = self.clone();
            let call = async move {
                let reply = handle.send_hello(&peer).await?;
                Some((peer, reply))
            };
            calls.push(self.shared.rt.spawn_task(call));
        }
        let mut replies = Vec::new();
        for call in calls {
            replies.extend(call.await);
        }
        replies
    }

    async fn send_hello(&self, peer: &Peer) -> Option<HelloReply> {
        let identity = self.shared.id.map_or(0, |id| id.0);
        let mut client = replica_client(&peer.channel);
        let name = self.shared.cfg.name.clone();
        let address = self.shared.cfg.address.to_string();
        let req = HelloRequest { name, identity, address };
        let reply = timeout(CALL_TIMEOUT, client.hello(req)).await?.ok()?.into_inner();
        self.record_greeting(&peer.name);
        if reply.identity != 0 {
            self.record_name(ReplicaId(reply.identity), peer.name.clone());
        }
        for p in &reply.peers {
            self.add_reported_peer(&p.name, &p.address);
        }
        Some(reply)
    }

    /// Adds a peer reported by another instance, unless it is known or its address is invalid, and
    /// sends it a hello call at once: it may be the leader, which admits new replicas.
    fn add_reported_peer(&self, name: &str, address: &str) {
        let known = name == self.shared.cfg.name || self.peer(name).is_some();
        let (false, Ok(address)) = (known, address.parse()) else { return };
        self.add_peer(PeerSettings { name: name.to_owned(), address, voter: false }, false);
        if let (Some(_), Some(peer)) = (self.shared.id, self.peer(name)) {
            let handle = self.clone();
            self.shared.rt.spawn(async move {
                handle.send_hello(&peer).await;
            });
        }
    }

    /// The executor, for work that continues after the caller's request has ended.
    pub fn rt(&self) -> &Runtime {
        &self.shared.rt
    }
}

fn replica_client(channel: &Channel) -> ReplicaClient<Channel> {
    ReplicaClient::with_origin(channel.clone(), channel.origin())
        .max_decoding_message_size(MESSAGE_BYTES_MAX)
}

/// Replica identity of a data folder, and its journal and recovered state; `None` if the disk does
/// not take writes, which may pass.
type Opened = (ReplicaId, Option<(Journal, Recovered)>);

fn open(path: &std::path::Path) -> std::io::Result<Opened> {
    let failed = |code: Code| {
        std::io::Error::other(format!("{} {} ({})", code.number(), code.text(), path.display()))
    };
    let folder = DataFolder::open(path).map_err(failed)?;
    let id = folder.identity(rand::random::<u64>).map_err(failed)?;
    match Journal::open(folder) {
        Ok(opened) => Ok((id, Some(opened))),
        Err(e) => {
            let (code, file) = (e.code, e.file.display());
            let text = format!("{} {} {file} at {}", code.number(), code.text(), e.offset);
            if code != Code::DiskFailed {
                return Err(std::io::Error::other(text));
            }
            log::error!("cannot open the replicated log: {text}");
            Ok((id, None))
        }
    }
}
