//! [`LogHandle`]: proposing to the replicated log, wherever its leader is.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::control::Machine;
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
use crocustally_wire::Outcome;
use crocustally_wire::ProposeRequest;
use crocustally_wire::RaftBatch;
use crocustally_wire::ReplicaPeer;
use crocustally_wire::command::Kind;
use crocustally_wire::replica_client::ReplicaClient;
use prost::Message as _;

use crate::LogSettings;
use crate::PeerSettings;
use crate::driver::Event;
use crate::driver::LogDriver;
use crate::driver::LogView;
use crate::driver::Outside;

/// Batches that may wait for one peer; a slower one loses them and catches up later.
const BATCHES_WAITING: usize = 64;
/// Longest time for one batch.
const BATCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time between two rounds of making itself known once it has the log.
const KNOWN_PERIOD: Duration = Duration::from_secs(5);
/// Time between two rounds of making itself known before that.
const HELLO_PERIOD: Duration = Duration::from_millis(1000);
/// Time before trying the next leader.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for one try at one leader.
const TRY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause before a log whose disk has failed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// Another instance and the connection to it.
#[derive(Clone)]
struct Peer {
    name: String,
    address: SocketAddr,
    voter: bool,
    channel: Channel,
    tx: Option<Sender<(ReplicaId, Vec<Message>)>>,
}

struct Shared {
    rt: Runtime,
    cfg: LogSettings,
    id: Option<ReplicaId>,
    peers: RwLock<BTreeMap<String, Peer>>,
    events: Option<Sender<Event>>,
    view: RwLock<Option<LogView>>,
    names: Mutex<HashMap<ReplicaId, String>>,
    machines: Sender<Arc<Machine>>,
}

/// A handle to this instance's replica, or to the others' where it has no disk.
#[derive(Clone)]
pub struct LogHandle {
    shared: Arc<Shared>,
}

impl Outside for LogHandle {
    fn send(&self, to: ReplicaId, messages: Vec<Message>) {
        let peer = self.name_of(to).and_then(|n| self.peer(&n));
        if let Some(tx) = peer.and_then(|p| p.tx) {
            // A full queue means a peer that is gone or slow: replication repeats what it misses.
            let _ = tx.try_send((to, messages));
        }
    }

    fn publish(&self, view: LogView, in_force: bool) {
        let machine = view.machine.clone();
        *self.shared.view.write().unwrap_or_else(PoisonError::into_inner) = Some(view);
        if in_force {
            let _ = self.shared.machines.force_send(machine);
        }
    }
}

impl LogHandle {
    /// Starts the replica, if this instance has a disk; machines come out of the receiver as they
    /// change.
    pub fn start(
        rt: &Runtime,
        cfg: LogSettings,
        clock: Arc<dyn Clock>,
    ) -> std::io::Result<(Self, Receiver<Arc<Machine>>)> {
        let (machines, changed) = async_channel::bounded(1);
        let opened = cfg.data.as_ref().map(|path| open(path)).transpose()?;
        let (events_tx, events) = async_channel::unbounded();
        let id = opened.as_ref().map(|(id, _, _)| *id);
        let own_name = cfg.name.clone();
        let shared = Shared {
            rt: rt.clone(),
            id,
            peers: RwLock::new(BTreeMap::new()),
            events: id.is_some().then_some(events_tx),
            view: RwLock::new(None),
            names: Mutex::new(id.map(|id| (id, own_name)).into_iter().collect()),
            machines,
            cfg,
        };
        let handle = Self { shared: Arc::new(shared) };
        for p in &handle.shared.cfg.peers {
            handle.add_peer(p.clone());
        }
        if let Some(opened) = opened {
            handle.clone().run_replica(opened, events, clock)?;
            rt.spawn(handle.clone().make_known());
        }
        Ok((handle, changed))
    }

    /// Runs the replica on a thread of its own, and opens it again when its disk has failed.
    fn run_replica(
        self,
        mut opened: Opened,
        mut events: Receiver<Event>,
        clock: Arc<dyn Clock>,
    ) -> std::io::Result<()> {
        let run = move || {
            loop {
                match self.driver(opened, events, clock.clone()).run() {
                    Some(rx) => events = rx,
                    None => return,
                }
                opened = self.reopen();
                log::info!(name = self.shared.cfg.name.as_str(); "replicated log opened again");
            }
        };
        thread::Builder::new().name("log".to_owned()).spawn(run)?;
        Ok(())
    }

    fn driver(
        &self,
        (id, journal, recovered): Opened,
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
        LogDriver::new(replica, journal, clock, events, self.clone(), cfg.voters, may_vote)
    }

    fn reopen(&self) -> Opened {
        loop {
            thread::sleep(REOPEN_PAUSE);
            let path = self.shared.cfg.data.as_deref().unwrap_or(std::path::Path::new("."));
            match open(path) {
                Ok(opened) => return opened,
                Err(e) => log::warn!("replicated log cannot be opened again yet: {e}"),
            }
        }
    }

    /// Learns of another instance, or of its new address.
    pub fn add_peer(&self, p: PeerSettings) {
        let shared = &self.shared;
        let mut peers = shared.peers.write().unwrap_or_else(PoisonError::into_inner);
        if p.name == shared.cfg.name || peers.get(&p.name).is_some_and(|k| k.address == p.address) {
            return;
        }
        let (tx, rx) = async_channel::bounded(BATCHES_WAITING);
        let channel = Channel::with_source(&shared.rt, p.address, shared.cfg.source);
        let tx = shared.id.is_some().then_some(tx);
        let PeerSettings { name, address, voter } = p;
        let peer = Peer { name: name.clone(), address, voter, channel: channel.clone(), tx };
        peers.insert(name, peer);
        drop(peers);
        if shared.id.is_some() {
            shared.rt.spawn(self.clone().send_to(channel, rx));
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

    /// Addresses of this instance and of all others that are known.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let own = self.shared.cfg.address;
        std::iter::once(own).chain(self.all_peers().iter().map(|p| p.address)).collect()
    }

    /// Address of the instance that leads, as far as is known here.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let name = self.leader()?;
        if name == self.shared.cfg.name {
            return Some(self.shared.cfg.address);
        }
        self.peer(&name).map(|p| p.address)
    }

    /// Whether the replica here leads.
    pub fn leads(&self) -> bool {
        self.view().is_some_and(|v| v.role == Role::Leader)
    }

    /// Proposes a command and waits for what it came to, at whoever leads.
    pub async fn propose(&self, kind: Kind, limit: Duration) -> Result<Outcome, Code> {
        let command = Bytes::from(Command { kind: Some(kind) }.encode_to_vec());
        let tries = async {
            loop {
                if let Some(outcome) = self.try_once(&command).await {
                    return outcome;
                }
                sleep(RETRY_PAUSE).await;
            }
        };
        timeout(limit, tries).await.ok_or(Code::NoQuorum)
    }

    /// Proposes at this instance only; `None` unless it leads and decides.
    pub async fn propose_here(&self, command: Bytes, limit: Duration) -> Option<Outcome> {
        let view = self.view()?;
        if view.role != Role::Leader {
            return None;
        }
        let (tx, rx) = async_channel::bounded(1);
        let events = self.shared.events.as_ref()?;
        events.send(Event::Propose { command, reply: tx }).await.ok()?;
        timeout(limit, rx.recv()).await?.ok()
    }

    async fn try_once(&self, command: &Bytes) -> Option<Outcome> {
        match self.leader() {
            Some(name) if name == self.shared.cfg.name => {
                self.propose_here(command.clone(), TRY_TIMEOUT).await
            }
            Some(name) => self.propose_at(&name, command).await,
            None if self.shared.id.is_none() => self.propose_anywhere(command).await,
            None => None,
        }
    }

    async fn propose_at(&self, name: &str, command: &Bytes) -> Option<Outcome> {
        let peer = self.peer(name)?;
        let mut client = ReplicaClient::with_origin(peer.channel.clone(), peer.channel.origin());
        let timeout_ms = TRY_TIMEOUT.as_millis() as u32;
        let req = ProposeRequest { command: command.clone(), timeout_ms };
        let reply = timeout(TRY_TIMEOUT, client.propose(req)).await?.ok()?;
        reply.into_inner().outcome
    }

    /// Without a replica nobody here knows the leader, so ask around.
    async fn propose_anywhere(&self, command: &Bytes) -> Option<Outcome> {
        for peer in self.all_peers() {
            if let Some(outcome) = self.propose_at(&peer.name, command).await {
                return Some(outcome);
            }
        }
        None
    }

    /// Name of the instance that leads, as far as is known here.
    pub fn leader(&self) -> Option<String> {
        self.name_of(self.view()?.leader?)
    }

    /// The newest view of the replica here.
    pub fn view(&self) -> Option<LogView> {
        self.shared.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether this instance has a replica.
    pub fn has_replica(&self) -> bool {
        self.shared.id.is_some()
    }

    /// Connections to the other entry instances by name.
    pub fn peers(&self) -> Vec<(String, Channel)> {
        self.all_peers().into_iter().map(|p| (p.name, p.channel)).collect()
    }

    /// Name of the instance with this identity.
    pub fn name_of(&self, id: ReplicaId) -> Option<String> {
        let names = self.shared.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.get(&id).cloned()
    }

    /// Takes messages from another replica, if they are meant for this identity.
    pub fn receive(&self, from: ReplicaId, to: ReplicaId, name: String, messages: Vec<Message>) {
        self.know(from, name);
        if let (Some(events), true) = (&self.shared.events, self.shared.id == Some(to)) {
            let _ = events.try_send(Event::Messages { from, messages });
        }
    }

    /// Answers another instance that makes itself known.
    pub fn hello(&self, req: HelloRequest) -> HelloReply {
        if req.identity != 0 {
            self.hear_of(&req.name, &req.address);
            self.know(ReplicaId(req.identity), req.name);
        }
        let identity = self.shared.id.map_or(0, |id| id.0);
        let has_log = self.view().is_some_and(|v| v.has_log);
        let known = |p: Peer| ReplicaPeer { name: p.name, address: p.address.to_string() };
        let peers = self.all_peers().into_iter().map(known).collect();
        HelloReply { identity, has_log, peers }
    }

    /// Gives up leadership, for a planned stop.
    pub fn stop(&self) {
        if let Some(events) = &self.shared.events {
            let _ = events.try_send(Event::Stop);
        }
    }

    fn know(&self, id: ReplicaId, name: String) {
        let mut names = self.shared.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.insert(id, name.clone());
        drop(names);
        if let Some(events) = &self.shared.events {
            let _ = events.try_send(Event::Known { id, name });
        }
    }

    async fn send_to(self, channel: Channel, rx: Receiver<(ReplicaId, Vec<Message>)>) {
        let Some(id) = self.shared.id else { return };
        let mut client = ReplicaClient::with_origin(channel.clone(), channel.origin());
        while let Ok((to, messages)) = rx.recv().await {
            let batch = RaftBatch {
                from: id.0,
                to: to.0,
                messages: messages.into_iter().map(Into::into).collect(),
                from_name: self.shared.cfg.name.clone(),
            };
            let _ = timeout(BATCH_TIMEOUT, client.raft(batch)).await;
        }
    }

    // ------------------------------------------------------------------------------------------
    // Founding and rejoining

    /// Makes this replica known until it is a member, and founds the group when that is safe.
    ///
    /// Safe means: this is the first of the initial voters, its disk is empty, and every other
    /// initial voter has answered that its disk is empty too. So an instance that has lost its disk
    /// can never found a second group beside one that lives.
    async fn make_known(self) {
        let cfg = &self.shared.cfg;
        let founders = cfg.founders();
        loop {
            let mut empty_voters = Vec::new();
            let mut learners = Vec::new();
            for p in self.all_peers() {
                let Some(reply) = self.greet(&p).await else { continue };
                if reply.identity == 0 || reply.has_log {
                    continue;
                }
                let list = if p.voter { &mut empty_voters } else { &mut learners };
                list.push(ReplicaId(reply.identity));
            }
            let first = cfg.founder && founders.first() == Some(&cfg.name);
            let others = founders.len().saturating_sub(1);
            let all_empty = empty_voters.len() == others;
            let has_log = self.view().is_some_and(|v| v.has_log);
            if first && all_empty && !has_log {
                self.found(empty_voters, learners);
            }
            sleep(if has_log { KNOWN_PERIOD } else { HELLO_PERIOD }).await;
        }
    }

    fn found(&self, others: Vec<ReplicaId>, learners: Vec<ReplicaId>) {
        let (Some(id), Some(events)) = (self.shared.id, &self.shared.events) else { return };
        let voters = std::iter::once(id).chain(others).collect();
        let learners = learners.into_iter().collect();
        let _ = events.try_send(Event::Found(Members { voters, learners }));
    }

    async fn greet(&self, peer: &Peer) -> Option<HelloReply> {
        let identity = self.shared.id.map_or(0, |id| id.0);
        let mut client = ReplicaClient::with_origin(peer.channel.clone(), peer.channel.origin());
        let name = self.shared.cfg.name.clone();
        let address = self.shared.cfg.address.to_string();
        let req = HelloRequest { name, identity, address };
        let reply = timeout(BATCH_TIMEOUT, client.hello(req)).await?.ok()?.into_inner();
        if reply.identity != 0 {
            self.know(ReplicaId(reply.identity), peer.name.clone());
        }
        for p in &reply.peers {
            self.hear_of(&p.name, &p.address);
        }
        Some(reply)
    }

    /// Another instance has been named; without a usable address there is nothing to connect to.
    fn hear_of(&self, name: &str, address: &str) {
        let known = self.peer(name).is_some();
        if let (false, Ok(address)) = (known, address.parse()) {
            self.add_peer(PeerSettings { name: name.to_owned(), address, voter: false });
        }
    }

    /// The executor, for callers that go on after their own request has ended.
    pub fn rt(&self) -> &Runtime {
        &self.shared.rt
    }
}

/// The identity of a disk, its journal, and what was read from it.
type Opened = (ReplicaId, Journal, Recovered);

fn open(path: &std::path::Path) -> std::io::Result<Opened> {
    let failed = |code: Code| {
        std::io::Error::other(format!("{} {} ({})", code.number(), code.text(), path.display()))
    };
    let folder = DataFolder::open(path).map_err(failed)?;
    let id = folder.identity(rand::random::<u64>).map_err(failed)?;
    let (journal, recovered) = Journal::open(folder).map_err(|e| {
        let (code, file) = (e.code, e.file.display());
        std::io::Error::other(format!("{} {} {file} at {}", code.number(), code.text(), e.offset))
    })?;
    Ok((id, journal, recovered))
}
