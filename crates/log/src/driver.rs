//! The driver of the replicated log: one thread that writes the journal, sends messages and applies
//! committed entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use crocustally_core::control::StateMachine;
use crocustally_core::raft::Contacts;
use crocustally_core::raft::Entry as LogEntry;
use crocustally_core::raft::Members;
use crocustally_core::raft::Message;
use crocustally_core::raft::Payload;
use crocustally_core::raft::ProposeError;
use crocustally_core::raft::Read;
use crocustally_core::raft::ReadState;
use crocustally_core::raft::Ready;
use crocustally_core::raft::Record;
use crocustally_core::raft::RepairSettings;
use crocustally_core::raft::Replica;
use crocustally_core::raft::ReplicaId;
use crocustally_core::raft::Role;
use crocustally_core::raft::plan_repair;
use crocustally_net::Clock;
use crocustally_net::Journal;
use crocustally_wire::Outcome;

/// Interval between ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Journal size in bytes above which the log is replaced by a snapshot.
const COMPACT_BYTES: u64 = 4 * 1024 * 1024;
/// Number of log entries at which the log is replaced by a snapshot.
const COMPACT_ENTRIES: usize = 8192;
/// Maximum number of further events that are handled before one sync of the journal.
const EVENTS_PER_SYNC: usize = 512;

/// A write or sync of the journal that takes longer is logged; a tenth of the time after which
/// operators turn to another instance.
const SLOW_DISK_TIME: Duration = Duration::from_millis(100);
/// Interval between log lines of a replica that knows no leader.
const LEADERLESS_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// An event for the driver.
#[derive(Debug)]
pub(crate) enum Event {
    /// Messages from another replica.
    Messages {
        /// Identity of the sender.
        from: ReplicaId,
        /// The messages in order.
        messages: Vec<Message>,
    },
    /// A command to append to the log.
    Propose {
        /// The command.
        command: Bytes,
        /// Receives the outcome; dropped if this replica does not lead or loses leadership.
        reply: Sender<Outcome>,
    },
    /// Contact with a replica, which has stated its name.
    Contact {
        /// Identity of the replica.
        id: ReplicaId,
        /// Name of its instance.
        name: String,
    },
    /// Stands for election to create the group: enough initial voters are reachable and have empty logs.
    Found(Members),
    /// Steps down as leader and ends the driver.
    Stop,
}

/// The state of the local replica, as published by the driver.
#[derive(Clone, Debug)]
pub struct LogView {
    /// The replicated state as of the last entry that was applied locally.
    pub state_machine: Arc<StateMachine>,
    /// Role of this replica.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Leader of the term, if known.
    pub leader: Option<ReplicaId>,
    /// Index of the last committed entry.
    pub commit_index: u64,
    /// Voters and learners.
    pub members: Members,
    /// Whether the log has any entry, including those replaced by a snapshot.
    pub has_log: bool,
}

/// Output of the driver: messages to peers and published state.
pub(crate) trait DriverOutput: Send {
    /// Queues messages for another replica, without blocking.
    fn send(&self, to: ReplicaId, messages: Vec<Message>);

    /// Publishes the newest view; `state_usable` tells whether its state may be acted on.
    fn publish(&self, view: LogView, state_usable: bool);
}

/// One replica with its journal and its state machine.
pub(crate) struct LogDriver<O> {
    replica: Replica,
    state_machine: Arc<StateMachine>,
    journal: Journal,
    clock: Arc<dyn Clock>,
    rx: Receiver<Event>,
    output: O,
    repair: RepairSettings,
    /// Names of the instances that may become voters; empty allows any.
    may_vote: Vec<String>,
    /// Term and reply channel of each uncommitted proposal, by log index.
    pending_proposals: BTreeMap<u64, (u64, Sender<Outcome>)>,
    /// Reads that wait for the confirmation of leadership, with their commands and reply channels.
    pending_reads: Vec<(Read, Bytes, Sender<Outcome>)>,
    contacts: Contacts,
    leader_since: Option<Instant>,
    /// Whether the local state may be acted on. The state recovered from a disk has been in use
    /// before, but a replica that started with an empty disk has to catch up first, since its state
    /// may be older than the one its instance acted on before.
    state_usable: bool,
    /// Since when no leader is known, or when this was last logged.
    leaderless_since: Option<Instant>,
    /// Voter and term of the last refused vote that was logged.
    last_refusal: Option<(ReplicaId, u64)>,
    /// Role and leader as last recorded by `update_role`.
    last_role: (Role, Option<ReplicaId>),
    stopped: bool,
    disk_failed: bool,
}

impl<O: DriverOutput> LogDriver<O> {
    /// Creates a driver for a replica recovered from disk.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn new(
        replica: Replica,
        journal: Journal,
        clock: Arc<dyn Clock>,
        rx: Receiver<Event>,
        output: O,
        repair: RepairSettings,
        may_vote: Vec<String>,
    ) -> Self {
        let state = &replica.log().snapshot().state;
        // The checksum of the snapshot has been verified, so a decoding error would be a bug rather
        // than a disk fault.
        let machine = if state.is_empty() {
            Ok(StateMachine::default())
        } else {
            StateMachine::restore(state)
        };
        let state_machine = Arc::new(machine.unwrap_or_default());
        let state_usable = replica.log().last_index() > 0;
        Self {
            state_usable,
            replica,
            state_machine,
            journal,
            clock,
            rx,
            output,
            repair,
            may_vote,
            pending_proposals: BTreeMap::new(),
            pending_reads: Vec::new(),
            contacts: Contacts::default(),
            leader_since: None,
            leaderless_since: None,
            last_refusal: None,
            last_role: (Role::Follower, None),
            stopped: false,
            disk_failed: false,
        }
    }

    /// Runs until it is stopped or the disk fails. After a disk failure it returns the event queue,
    /// for the driver of the reopened log.
    pub(crate) fn run(mut self) -> Option<Receiver<Event>> {
        self.advance();
        while !self.stopped {
            let first = async_io::block_on(crocustally_net::timeout(TICK_INTERVAL, self.rx.recv()));
            let now = self.clock.now();
            match first {
                Some(Ok(event)) => self.handle_event(now, event),
                Some(Err(_)) => return None,
                None => {}
            }
            for _ in 0..EVENTS_PER_SYNC {
                let Ok(event) = self.rx.try_recv() else { break };
                self.handle_event(now, event);
            }
            self.replica.tick(now);
            self.log_leaderless(now);
            self.repair(now);
            self.advance();
        }
        self.publish_stopped();
        self.disk_failed.then_some(self.rx)
    }

    /// Steps down, drops pending proposals and publishes the final view of the stopped replica.
    fn publish_stopped(&mut self) {
        self.replica.step_down(self.clock.now());
        self.pending_proposals.clear();
        self.pending_reads.clear();
        self.last_role = (Role::Follower, None);
        self.publish();
    }

    fn handle_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Messages { from, messages } => {
                self.contacts.record(now, from);
                for m in messages {
                    self.replica.handle_message(now, from, m);
                }
            }
            Event::Propose { command, reply } => self.propose(now, command, reply),
            Event::Contact { id, name } => {
                self.contacts.record_name(now, id, name);
            }
            Event::Found(members) => {
                log::info!("founding the replicated log with voters {:?}", members.voters);
                self.replica.found(now, members);
            }
            Event::Stop => {
                self.replica.step_down(now);
                self.stopped = true;
            }
        }
    }

    fn propose(&mut self, now: Instant, command: Bytes, reply: Sender<Outcome>) {
        if self.state_machine.read(&command).is_some() {
            if let Ok(read) = self.replica.read(now) {
                self.pending_reads.push((read, command, reply));
            }
            return;
        }
        match self.replica.propose(now, command) {
            Ok(index) => {
                self.pending_proposals.insert(index, (self.replica.term(), reply));
            }
            Err(ProposeError::NotLeader(_) | ProposeError::MembershipChangeRejected) => {}
        }
    }

    /// Writes the journal, sends messages and applies committed entries, in this order; messages that
    /// need not wait for the journal are sent first.
    fn advance(&mut self) {
        let mut ready = self.replica.ready();
        self.log_elections(&ready);
        let changed = ready.snapshot.is_some() || !ready.committed.is_empty();
        self.send(ready.take_early_messages());
        if let Err(e) = self.persist(&ready) {
            self.disk_failure(&e);
            return;
        }
        self.send(ready.messages);
        let version = self.state_machine.config().version;
        let last = ready.committed.last().map(|e| e.index);
        let outcomes = self.apply(ready.committed);
        if self.state_machine.config().version != version
            && let Some(index) = last
            && let Err(e) = self.journal.append(vec![Record::Commit(index)])
        {
            self.disk_failure(&e);
            return;
        }
        let became_usable = !self.state_usable && self.replica.caught_up();
        if self.update_role() || changed || became_usable {
            self.publish();
        }
        for (reply, outcome) in outcomes {
            let _ = reply.try_send(outcome);
        }
        self.answer_reads();
        self.compact();
    }

    /// Answers the confirmed reads; drops those that this replica can no longer answer or that
    /// nobody waits for.
    fn answer_reads(&mut self) {
        let (replica, machine) = (&self.replica, &self.state_machine);
        self.pending_reads.retain(|(read, command, reply)| match replica.read_state(read) {
            ReadState::Waiting => !reply.is_closed(),
            ReadState::Ready => {
                let outcome = machine.read(command);
                outcome.into_iter().for_each(|o| drop(reply.try_send(o)));
                false
            }
            ReadState::Lost => false,
        });
    }

    fn disk_failure(&mut self, e: &crocustally_net::JournalError) {
        let file = e.file.display().to_string();
        log::error!(code = e.code.number(), file = file.as_str(); "{}", e.code.text());
        self.stopped = true;
        self.disk_failed = true;
    }

    fn persist(&mut self, ready: &Ready) -> Result<(), crocustally_net::JournalError> {
        let started_at = self.clock.now();
        let result = self.write(ready);
        let took = self.clock.now().saturating_duration_since(started_at);
        if took >= SLOW_DISK_TIME {
            let records = ready.records.len();
            log::warn!(ms = took.as_millis() as u64, records = records; "the disk is slow");
        }
        result
    }

    fn write(&mut self, ready: &Ready) -> Result<(), crocustally_net::JournalError> {
        if let Some(s) = &ready.snapshot {
            if let Ok(machine) = StateMachine::restore(&s.state) {
                self.state_machine = Arc::new(machine);
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
            self.output.send(to, messages);
        }
    }

    fn apply(&mut self, committed: Vec<LogEntry>) -> Vec<(Sender<Outcome>, Outcome)> {
        let mut outcomes = Vec::new();
        for e in committed {
            let proposal = self.pending_proposals.remove(&e.index);
            let Payload::Command(command) = &e.payload else { continue };
            let outcome = Arc::make_mut(&mut self.state_machine).apply(e.index, command);
            if let Some((term, reply)) = proposal
                && term == e.term
            {
                outcomes.push((reply, outcome));
            }
        }
        outcomes
    }

    /// Records role and leader and returns whether they have changed.
    ///
    /// A replica that does not lead drops its pending proposals, as it cannot tell their outcome.
    fn update_role(&mut self) -> bool {
        let (before, now) = (self.last_role, (self.replica.role(), self.replica.leader()));
        self.last_role = now;
        if now.0 != Role::Leader {
            self.pending_proposals.clear();
            self.leader_since = None;
        } else if self.leader_since.is_none() {
            self.leader_since = Some(self.clock.now());
        }
        if before.0 != now.0 {
            let (id, term) = (self.replica.id().0, self.replica.term());
            log::info!("replica {id}: {:?} to {:?} in term {term}", before.0, now.0);
        }
        before != now
    }

    /// Logs a lost quorum and the votes that this replica was refused, once a voter and term.
    fn log_elections(&mut self, ready: &Ready) {
        let term = self.replica.term();
        for (id, silence) in &ready.quorum_lost {
            let name = self.contacts.name(*id).unwrap_or_default();
            let ms = silence.map(|s| s.as_millis() as u64);
            log::warn!(replica = id.0, name = name, silent_ms = ms, term = term; "quorum lost");
        }
        for id in &ready.votes_refused {
            if self.last_refusal.replace((*id, term)) != Some((*id, term)) {
                let name = self.contacts.name(*id).unwrap_or_default();
                log::info!(replica = id.0, name = name, term = term; "vote refused");
            }
        }
    }

    /// Logs at intervals that no leader is known, with the time since each voter was heard.
    fn log_leaderless(&mut self, now: Instant) {
        let has_log = self.replica.log().last_index() > 0;
        if self.replica.leader().is_some() || !has_log {
            self.leaderless_since = None;
            return;
        }
        let since = *self.leaderless_since.get_or_insert(now);
        if now.saturating_duration_since(since) < LEADERLESS_LOG_INTERVAL {
            return;
        }
        self.leaderless_since = Some(now);
        let own = self.replica.id();
        let mut voters = String::new();
        for v in self.replica.members().voters.iter().filter(|v| **v != own) {
            let name = self.contacts.name(*v).unwrap_or("unnamed");
            let silence = self.contacts.silence(now, *v).map(|s| s.as_millis());
            let silence = silence.map_or("never heard".to_owned(), |ms| format!("{ms} ms ago"));
            voters += &format!("{name} {silence}; ");
        }
        let may_vote = self.replica.members().is_voter(own);
        log::warn!(
            term = self.replica.term(), voter = may_vote, heard = voters.as_str();
            "no leader of the replicated log is known"
        );
    }

    fn publish(&mut self) {
        self.state_usable |= self.replica.caught_up();
        let view = LogView {
            state_machine: self.state_machine.clone(),
            role: self.replica.role(),
            term: self.replica.term(),
            leader: self.replica.leader(),
            commit_index: self.replica.commit_index(),
            members: self.replica.members().clone(),
            has_log: self.replica.log().last_index() > 0,
        };
        self.output.publish(view, self.state_usable);
    }

    fn compact(&mut self) {
        let large = self.journal.bytes() > COMPACT_BYTES;
        if !large && self.replica.log().len() < COMPACT_ENTRIES {
            return;
        }
        self.replica.compact(self.state_machine.state());
        let (hard, commit) = (self.replica.hard_state(), self.replica.commit_index());
        if let Err(e) = self.journal.replace(hard, commit, self.replica.log()) {
            self.disk_failure(&e);
        }
    }

    /// As a leader that has committed in its term, proposes the next membership change, if any.
    fn repair(&mut self, now: Instant) {
        let Some(since) = self.leader_since else { return };
        if !self.replica.has_committed_in_term() {
            return;
        }
        let known = self.contacts.statuses(now, since, &self.replica, &self.may_vote);
        let Some(next) = plan_repair(self.replica.members(), &self.repair, &known) else { return };
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
}
