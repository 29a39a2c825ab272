//! The driver of the replicated log: one thread that syncs, sends and applies.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use crocustally_core::control::StateMachine;
use crocustally_core::raft::Entry as LogEntry;
use crocustally_core::raft::Members;
use crocustally_core::raft::Message;
use crocustally_core::raft::Payload;
use crocustally_core::raft::ProposeError;
use crocustally_core::raft::Ready;
use crocustally_core::raft::Record;
use crocustally_core::raft::Replica;
use crocustally_core::raft::ReplicaId;
use crocustally_core::raft::ReplicaStatus;
use crocustally_core::raft::Role;
use crocustally_core::raft::plan_repair;
use crocustally_net::Clock;
use crocustally_net::Journal;
use crocustally_wire::Outcome;

/// Time between ticks of the replica.
const TICK: Duration = Duration::from_millis(20);
/// Log size at which a snapshot replaces it, in bytes.
const COMPACT_BYTES: u64 = 4 * 1024 * 1024;
/// Log length at which a snapshot replaces it.
const COMPACT_ENTRIES: usize = 8192;
/// Events taken together before one sync.
const EVENTS_PER_SYNC: usize = 512;

/// What the driver is told.
#[derive(Debug)]
pub(crate) enum Event {
    /// Messages from another replica.
    Messages {
        /// Its identity.
        from: ReplicaId,
        /// What it says, in order.
        messages: Vec<Message>,
    },
    /// A command for the log.
    Propose {
        /// The command.
        command: Bytes,
        /// Where the outcome goes; dropped when this replica cannot decide it.
        reply: Sender<Outcome>,
    },
    /// A replica has made itself known.
    Known {
        /// Its identity.
        id: ReplicaId,
        /// Name of its instance.
        name: String,
    },
    /// All initial voters are reachable and empty: found the group.
    Found(Members),
    /// Give up leadership and end.
    Stop,
}

/// What the driver tells the rest of the process.
#[derive(Clone, Debug)]
pub struct LogView {
    /// The replicated state here.
    pub state_machine: Arc<StateMachine>,
    /// What this replica is doing.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader it knows.
    pub leader: Option<ReplicaId>,
    /// Index up to which entries are committed.
    pub commit_index: u64,
    /// Who votes and learns.
    pub members: Members,
    /// Whether the log has anything in it.
    pub has_log: bool,
}

/// Sends and publishes on behalf of the driver.
pub(crate) trait Outside: Send {
    /// Sends messages to another replica, without waiting.
    fn send(&self, to: ReplicaId, messages: Vec<Message>);

    /// Takes the newest view; `in_force` says whether its state may be acted on.
    fn publish(&self, view: LogView, in_force: bool);
}

/// One replica with its disk and its state machine.
pub(crate) struct LogDriver<O> {
    replica: Replica,
    machine: Arc<StateMachine>,
    journal: Journal,
    clock: Arc<dyn Clock>,
    rx: Receiver<Event>,
    outside: O,
    voters: usize,
    /// Names that may vote; empty when any may.
    may_vote: Vec<String>,
    waiting: BTreeMap<u64, (u64, Sender<Outcome>)>,
    names: HashMap<ReplicaId, String>,
    heard: HashMap<ReplicaId, Instant>,
    led_since: Option<Instant>,
    /// Whether the state here may be acted on: what a disk holds has been in force before, and a
    /// replica that started without one must first be told everything that is committed.
    in_force: bool,
    /// Role and leader when they were last published.
    noted: (Role, Option<ReplicaId>),
    stopped: bool,
    disk_failed: bool,
}

impl<O: Outside> LogDriver<O> {
    /// A driver for what was recovered from disk.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn new(
        replica: Replica,
        journal: Journal,
        clock: Arc<dyn Clock>,
        rx: Receiver<Event>,
        outside: O,
        voters: usize,
        may_vote: Vec<String>,
    ) -> Self {
        let state = &replica.log().snapshot().state;
        // A snapshot was checked against its checksum, so bytes that do not decode are a fault of
        // the program and not of the disk.
        let machine = if state.is_empty() {
            Ok(StateMachine::default())
        } else {
            StateMachine::restore(state)
        };
        let machine = Arc::new(machine.unwrap_or_default());
        let in_force = replica.log().last_index() > 0;
        Self {
            in_force,
            replica,
            machine,
            journal,
            clock,
            rx,
            outside,
            voters,
            may_vote,
            waiting: BTreeMap::new(),
            names: HashMap::new(),
            heard: HashMap::new(),
            led_since: None,
            noted: (Role::Follower, None),
            stopped: false,
            disk_failed: false,
        }
    }

    /// Runs until it is told to stop or the disk fails; a failed disk gets the event queue back, so
    /// that the log can be opened again.
    pub(crate) fn run(mut self) -> Option<Receiver<Event>> {
        self.advance();
        while !self.stopped {
            let first = async_io::block_on(crocustally_net::timeout(TICK, self.rx.recv()));
            let now = self.clock.now();
            match first {
                Some(Ok(event)) => self.take(now, event),
                Some(Err(_)) => return None,
                None => {}
            }
            for _ in 0..EVENTS_PER_SYNC {
                let Ok(event) = self.rx.try_recv() else { break };
                self.take(now, event);
            }
            self.replica.tick(now);
            self.repair(now);
            self.advance();
        }
        self.withdraw();
        self.disk_failed.then_some(self.rx)
    }

    /// Leaves nobody with a view of a replica that no longer runs.
    fn withdraw(&mut self) {
        self.replica.step_down(self.clock.now());
        self.waiting.clear();
        self.noted = (Role::Follower, None);
        self.publish();
    }

    fn take(&mut self, now: Instant, event: Event) {
        match event {
            Event::Messages { from, messages } => {
                self.heard.insert(from, now);
                for m in messages {
                    self.replica.handle_message(now, from, m);
                }
            }
            Event::Propose { command, reply } => self.propose(now, command, reply),
            Event::Known { id, name } => {
                self.heard.insert(id, now);
                self.names.insert(id, name);
            }
            Event::Found(members) => {
                if self.replica.log().last_index() == 0 {
                    log::info!("founding the replicated log with {:?}", members.voters);
                    self.replica.bootstrap(members);
                }
            }
            Event::Stop => {
                self.replica.step_down(now);
                self.stopped = true;
            }
        }
    }

    fn propose(&mut self, now: Instant, command: Bytes, reply: Sender<Outcome>) {
        match self.replica.propose(now, command) {
            Ok(index) => {
                self.waiting.insert(index, (self.replica.term(), reply));
            }
            Err(ProposeError::NotLeader(_) | ProposeError::MembershipChangeRejected) => {}
        }
    }

    /// Syncs, sends and applies everything that is ready.
    fn advance(&mut self) {
        let ready = self.replica.ready();
        let changed = ready.snapshot.is_some() || !ready.committed.is_empty();
        if let Err(e) = self.store(&ready) {
            self.disk_failure(&e);
            return;
        }
        self.send(ready.messages);
        let version = self.machine.config().version;
        let last = ready.committed.last().map(|e| e.index);
        let outcomes = self.apply(ready.committed);
        if self.machine.config().version != version
            && let Some(index) = last
            && let Err(e) = self.journal.append(vec![Record::Commit(index)])
        {
            self.disk_failure(&e);
            return;
        }
        let now_in_force = !self.in_force && self.replica.caught_up();
        if self.note_role() || changed || now_in_force {
            self.publish();
        }
        for (reply, outcome) in outcomes {
            let _ = reply.try_send(outcome);
        }
        self.compact();
    }

    fn disk_failure(&mut self, e: &crocustally_net::JournalError) {
        let file = e.file.display().to_string();
        log::error!(code = e.code.number(), file = file.as_str(); "{}", e.code.text());
        self.stopped = true;
        self.disk_failed = true;
    }

    fn store(&mut self, ready: &Ready) -> Result<(), crocustally_net::JournalError> {
        if let Some(s) = &ready.snapshot {
            if let Ok(machine) = StateMachine::restore(&s.state) {
                self.machine = Arc::new(machine);
            }
            let (hard, log) = (self.replica.hard_state(), self.replica.log());
            return self.journal.replace(hard, s.index, log);
        }
        self.journal.append(ready.records.clone())
    }

    fn send(&self, messages: Vec<(ReplicaId, Message)>) {
        let mut by_peer: BTreeMap<ReplicaId, Vec<Message>> = BTreeMap::new();
        for (to, m) in messages {
            by_peer.entry(to).or_default().push(m);
        }
        for (to, messages) in by_peer {
            self.outside.send(to, messages);
        }
    }

    fn apply(&mut self, committed: Vec<LogEntry>) -> Vec<(Sender<Outcome>, Outcome)> {
        let mut outcomes = Vec::new();
        for e in committed {
            let waiting = self.waiting.remove(&e.index);
            let Payload::Command(command) = &e.payload else { continue };
            let outcome = Arc::make_mut(&mut self.machine).apply(e.index, command);
            if let Some((term, reply)) = waiting
                && term == e.term
            {
                outcomes.push((reply, outcome));
            }
        }
        outcomes
    }

    /// Notes what the replica is doing; answers whether that has changed. A replica that no longer
    /// leads cannot say what becomes of what it proposed.
    fn note_role(&mut self) -> bool {
        let (before, now) = (self.noted, (self.replica.role(), self.replica.leader()));
        self.noted = now;
        if now.0 != Role::Leader {
            self.waiting.clear();
            self.led_since = None;
        } else if self.led_since.is_none() {
            self.led_since = Some(self.clock.now());
        }
        if before.0 != now.0 {
            let (id, term) = (self.replica.id().0, self.replica.term());
            log::info!("replica {id}: {:?} to {:?} in term {term}", before.0, now.0);
        }
        before != now
    }

    fn publish(&mut self) {
        self.in_force |= self.replica.caught_up();
        let view = LogView {
            state_machine: self.machine.clone(),
            role: self.replica.role(),
            term: self.replica.term(),
            leader: self.replica.leader(),
            commit_index: self.replica.commit_index(),
            members: self.replica.members().clone(),
            has_log: self.replica.log().last_index() > 0,
        };
        self.outside.publish(view, self.in_force);
    }

    fn compact(&mut self) {
        let large = self.journal.bytes() > COMPACT_BYTES;
        if !large && self.replica.log().len() < COMPACT_ENTRIES {
            return;
        }
        self.replica.compact(self.machine.state());
        let (hard, commit) = (self.replica.hard_state(), self.replica.commit_index());
        if let Err(e) = self.journal.replace(hard, commit, self.replica.log()) {
            self.disk_failure(&e);
        }
    }

    /// As a settled leader, takes the next step of a repair.
    fn repair(&mut self, now: Instant) {
        let Some(since) = self.led_since else { return };
        if !self.replica.has_committed_in_term() {
            return;
        }
        let known = self.known(now, since);
        let Some(next) = plan_repair(self.replica.members(), self.voters, &known) else { return };
        let members = self.replica.members();
        let added = next.all().any(|id| !members.contains(id));
        if self.replica.change_members(now, next.clone()).is_ok() {
            log::info!(
                "members: voters {:?}, learners {:?} ({})",
                next.voters,
                next.learners,
                if added { "one added" } else { "repair" }
            );
        }
    }

    fn known(&self, now: Instant, since: Instant) -> BTreeMap<ReplicaId, ReplicaStatus> {
        let last = self.replica.log().last_index();
        let own = self.replica.id();
        let mut known = BTreeMap::new();
        let ids = self.names.keys().copied().chain(self.replica.members().all());
        for id in ids {
            let name = self.names.get(&id).cloned().unwrap_or_default();
            let heard = self.heard.get(&id).copied().unwrap_or(since).max(since);
            let since_contact =
                if id == own { Duration::ZERO } else { now.saturating_duration_since(heard) };
            let missing_entries =
                self.replica.progress(id).map_or(0, |(m, _)| last.saturating_sub(m));
            let may_vote = self.may_vote.is_empty() || self.may_vote.contains(&name);
            known.insert(id, ReplicaStatus { name, may_vote, since_contact, missing_entries });
        }
        known
    }
}
