//! [`LogHandle`]: proposing to the replicated log, wherever its leader is.

use std::collections::HashMap;
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
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::Command;
use crocustally_wire::HelloReply;
use crocustally_wire::HelloRequest;
use crocustally_wire::Outcome;
use crocustally_wire::ProposeRequest;
use crocustally_wire::RaftBatch;
use crocustally_wire::command::Kind;
use crocustally_wire::entry_client::EntryClient;
use prost::Message as _;

use crate::EntrySettings;
use crate::log_driver::Event;
use crate::log_driver::LogDriver;
use crate::log_driver::LogView;
use crate::log_driver::Outside;

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

/// Another entry instance and the connection to it.
struct Peer {
    name: String,
    channel: Channel,
    tx: Option<Sender<(ReplicaId, Vec<Message>)>>,
}

struct Shared {
    rt: Runtime,
    name: String,
    id: Option<ReplicaId>,
    peers: HashMap<String, Peer>,
    events: Option<Sender<Event>>,
    view: RwLock<Option<LogView>>,
    names: Mutex<HashMap<ReplicaId, String>>,
    machines: Sender<Arc<Machine>>,
}

/// A handle to this instance's replica, or to the others' where it has no disk.
#[derive(Clone)]
pub(crate) struct LogHandle {
    shared: Arc<Shared>,
}

impl Outside for LogHandle {
    fn send(&self, to: ReplicaId, messages: Vec<Message>) {
        let name = self.name_of(to);
        let peer = name.and_then(|n| self.shared.peers.get(&n));
        if let Some(tx) = peer.and_then(|p| p.tx.as_ref()) {
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
    pub(crate) fn start(
        rt: &Runtime,
        cfg: &EntrySettings,
        clock: Arc<dyn Clock>,
    ) -> std::io::Result<(Self, Receiver<Arc<Machine>>)> {
        let (machines, changed) = async_channel::bounded(1);
        let opened = cfg.data.as_ref().map(|path| open(path)).transpose()?;
        let (events_tx, events) = async_channel::unbounded();
        let id = opened.as_ref().map(|(id, _, _)| *id);
        let mut receivers = Vec::new();
        let mut peers = HashMap::new();
        for p in &cfg.peers {
            let (tx, rx) = async_channel::bounded(BATCHES_WAITING);
            let channel = Channel::from(rt, p.address, cfg.source);
            receivers.push((p.name.clone(), rx));
            let peer = Peer { name: p.name.clone(), channel, tx: id.is_some().then_some(tx) };
            peers.insert(p.name.clone(), peer);
        }
        let shared = Shared {
            rt: rt.clone(),
            name: cfg.name.clone(),
            id,
            peers,
            events: id.is_some().then_some(events_tx),
            view: RwLock::new(None),
            names: Mutex::new(id.map(|id| (id, cfg.name.clone())).into_iter().collect()),
            machines,
        };
        let handle = Self { shared: Arc::new(shared) };
        if let Some((id, journal, recovered)) = opened {
            let (hard, commit, log) = (recovered.hard, recovered.commit, recovered.log);
            if recovered.torn_bytes > 0 {
                log::warn!("{}: cut a torn tail of {} bytes", cfg.name, recovered.torn_bytes);
            }
            let replica = Replica::new(id, hard, log, commit, clock.now(), clock.unix_ms());
            let voters = cfg.voter_names();
            let may_vote = cfg.peers.iter().map(|p| p.name.clone()).chain([cfg.name.clone()]);
            let driver = LogDriver::new(
                replica,
                journal,
                clock,
                events,
                handle.clone(),
                voters.len(),
                may_vote.collect(),
            );
            thread::Builder::new().name("log".to_owned()).spawn(move || driver.run())?;
            for (name, rx) in receivers {
                rt.spawn(handle.clone().send_to(name, rx));
            }
            rt.spawn(handle.clone().make_known(cfg.clone()));
        }
        Ok((handle, changed))
    }

    /// Proposes a command and waits for what it came to, at whoever leads.
    pub(crate) async fn propose(&self, kind: Kind, limit: Duration) -> Result<Outcome, Code> {
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
    pub(crate) async fn propose_here(&self, command: Bytes, limit: Duration) -> Option<Outcome> {
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
            Some(name) if name == self.shared.name => {
                self.propose_here(command.clone(), TRY_TIMEOUT).await
            }
            Some(name) => self.propose_at(&name, command).await,
            None if self.shared.id.is_none() => self.propose_anywhere(command).await,
            None => None,
        }
    }

    async fn propose_at(&self, name: &str, command: &Bytes) -> Option<Outcome> {
        let peer = self.shared.peers.get(name)?;
        let mut client = EntryClient::with_origin(peer.channel.clone(), peer.channel.origin());
        let timeout_ms = TRY_TIMEOUT.as_millis() as u32;
        let req = ProposeRequest { command: command.clone(), timeout_ms };
        let reply = timeout(TRY_TIMEOUT, client.propose(req)).await?.ok()?;
        reply.into_inner().outcome
    }

    /// Without a replica nobody here knows the leader, so ask around.
    async fn propose_anywhere(&self, command: &Bytes) -> Option<Outcome> {
        for name in self.shared.peers.keys() {
            if let Some(outcome) = self.propose_at(name, command).await {
                return Some(outcome);
            }
        }
        None
    }

    /// Name of the instance that leads, as far as is known here.
    pub(crate) fn leader(&self) -> Option<String> {
        self.name_of(self.view()?.leader?)
    }

    /// The newest view of the replica here.
    pub(crate) fn view(&self) -> Option<LogView> {
        self.shared.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether this instance has a replica.
    pub(crate) fn has_replica(&self) -> bool {
        self.shared.id.is_some()
    }

    /// Connections to the other entry instances by name.
    pub(crate) fn peers(&self) -> Vec<(String, Channel)> {
        self.shared.peers.values().map(|p| (p.name.clone(), p.channel.clone())).collect()
    }

    /// Name of the instance with this identity.
    pub(crate) fn name_of(&self, id: ReplicaId) -> Option<String> {
        let names = self.shared.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.get(&id).cloned()
    }

    /// Takes messages from another replica, if they are meant for this identity.
    pub(crate) fn receive(
        &self,
        from: ReplicaId,
        to: ReplicaId,
        name: String,
        messages: Vec<Message>,
    ) {
        self.know(from, name);
        if let (Some(events), true) = (&self.shared.events, self.shared.id == Some(to)) {
            let _ = events.try_send(Event::Messages { from, messages });
        }
    }

    /// Answers another instance that makes itself known.
    pub(crate) fn hello(&self, req: HelloRequest) -> HelloReply {
        if req.identity != 0 {
            self.know(ReplicaId(req.identity), req.name);
        }
        let identity = self.shared.id.map_or(0, |id| id.0);
        let has_log = self.view().is_some_and(|v| v.has_log);
        HelloReply { identity, has_log }
    }

    /// Gives up leadership, for a planned stop.
    pub(crate) fn stop(&self) {
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

    async fn send_to(self, name: String, rx: Receiver<(ReplicaId, Vec<Message>)>) {
        let (Some(peer), Some(id)) = (self.shared.peers.get(&name), self.shared.id) else {
            return;
        };
        let mut client = EntryClient::with_origin(peer.channel.clone(), peer.channel.origin());
        while let Ok((to, messages)) = rx.recv().await {
            let batch = RaftBatch {
                from: id.0,
                to: to.0,
                messages: messages.into_iter().map(Into::into).collect(),
                from_name: self.shared.name.clone(),
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
    async fn make_known(self, cfg: EntrySettings) {
        let voters: Vec<String> = cfg.voter_names().into_iter().collect();
        loop {
            let mut empty_voters = Vec::new();
            let mut learners = Vec::new();
            for p in &cfg.peers {
                let Some(reply) = self.greet(&p.name).await else { continue };
                if reply.identity == 0 || reply.has_log {
                    continue;
                }
                let list = if p.voter { &mut empty_voters } else { &mut learners };
                list.push(ReplicaId(reply.identity));
            }
            let first = cfg.voter && voters.first() == Some(&cfg.name);
            let others = voters.len().saturating_sub(1);
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

    async fn greet(&self, name: &str) -> Option<HelloReply> {
        let identity = self.shared.id.map_or(0, |id| id.0);
        let peer = self.shared.peers.get(name)?;
        let mut client = EntryClient::with_origin(peer.channel.clone(), peer.channel.origin());
        let req = HelloRequest { name: self.shared.name.clone(), identity };
        let reply = timeout(BATCH_TIMEOUT, client.hello(req)).await?.ok()?.into_inner();
        if reply.identity != 0 {
            self.know(ReplicaId(reply.identity), name.to_owned());
        }
        Some(reply)
    }

    /// The executor, for callers that go on after their own request has ended.
    pub(crate) fn rt(&self) -> &Runtime {
        &self.shared.rt
    }
}

fn open(
    path: &std::path::Path,
) -> std::io::Result<(ReplicaId, Journal, crocustally_net::Recovered)> {
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
