//! [`Replica`]: one member of the consensus group.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Body;
use super::Entry;
use super::HardState;
use super::Log;
use super::Members;
use super::Message;
use super::Payload;
use super::Record;
use super::ReplicaId;
use super::Snapshot;
use super::peer::Peer;

/// Interval between a leader's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Lower bound of the election timeout.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(900);
/// Upper bound of the random part of the election timeout.
const ELECTION_TIMEOUT_JITTER: Duration = Duration::from_millis(500);
/// Lower bound of the delay before a candidate that was not elected retries, and before a replica
/// that has just started holds its first election.
const ELECTION_RETRY_MIN: Duration = Duration::from_millis(150);
/// Upper bound of the random part of that delay.
const ELECTION_RETRY_JITTER: Duration = Duration::from_millis(300);
/// Maximum number of times that the delay before a retry is doubled, once for each candidacy that
/// failed.
const CANDIDACY_DOUBLINGS_MAX: u32 = 3;
/// A replica that received a message from a leader within this time ignores vote requests; slightly
/// longer than two heartbeat intervals.
const LEADER_LEASE: Duration = Duration::from_millis(700);
/// A leader that gets no reply from a quorum for this long steps down.
pub const CHECK_QUORUM_TIMEOUT: Duration = ELECTION_TIMEOUT_MIN;

/// State of a replica in the consensus protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Replicates the entries of the leader, if one is known.
    Follower,
    /// Collects pre-votes, which leave the term unchanged.
    PreCandidate,
    /// Collects votes for its own election.
    Candidate,
    /// Appends proposals to the log and replicates them.
    Leader,
}

/// Reasons for rejecting a proposal or a membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica is not the leader; holds the current leader, if known.
    NotLeader(Option<ReplicaId>),
    /// Another membership change is uncommitted, the leader has not yet committed an entry of its
    /// term, or the change affects more than one voter.
    MembershipChangeRejected,
}

/// Pending work for the driver: sync the records, then send the messages, then apply the committed
/// entries, in this order. [`Ready::take_early_messages`] tells what may be sent before.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// A snapshot from the leader that replaces state machine and log; it is written to disk first.
    pub snapshot: Option<Snapshot>,
    /// Records to write and sync to disk before any message is sent.
    pub records: Vec<Record>,
    /// Messages to send.
    pub messages: Vec<(ReplicaId, Message)>,
    /// Newly committed entries to apply, in log order.
    pub committed: Vec<Entry>,
    /// If this leader has lost its quorum, the voters that did not reply in time and the time since
    /// their last reply; `None` for one that never replied.
    pub quorum_lost: Vec<(ReplicaId, Option<Duration>)>,
    /// Voters that refused this candidate their vote.
    pub votes_refused: Vec<ReplicaId>,
}

impl Ready {
    /// Takes the messages that may be sent before the records are synced, so that the disks of a
    /// leader and its followers work at the same time.
    ///
    /// These are a leader's appends, as long as its term and the entries that they state as committed
    /// are synced already. A reply to them is processed after the sync, and counts the leader's own
    /// entries only then.
    pub fn take_early_messages(&mut self) -> Vec<(ReplicaId, Message)> {
        let new_term = self.records.iter().any(|r| matches!(r, Record::HardState(_)));
        if new_term || self.snapshot.is_some() {
            return Vec::new();
        }
        let first_unsynced = self.records.iter().find_map(|r| match r {
            Record::Entry(e) => Some(e.index),
            _ => None,
        });
        let early = |m: &Message| match m.body {
            Body::Append { commit, .. } => first_unsynced.is_none_or(|index| commit < index),
            _ => false,
        };
        let (taken, rest) = self.messages.drain(..).partition(|(_, m)| early(m));
        self.messages = rest;
        taken
    }
}

/// A Raft replica with pre-vote, check-quorum, learners and single-voter membership changes.
///
/// It does no I/O: the driver passes in messages, proposals and the time, then carries out the work
/// that [`Replica::ready`] returns. `ready` returns records and messages together, and the driver
/// syncs the records before it sends the messages, so no message precedes the state it depends on.
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) hard_state: HardState,
    pub(super) role: Role,
    pub(super) log: Log,
    pub(super) commit_index: u64,
    pub(super) last_applied: u64,
    pub(super) members: Members,
    pub(super) members_index: u64,
    pub(super) leader: Option<ReplicaId>,
    pub(super) peers: HashMap<ReplicaId, Peer>,
    votes: Vec<ReplicaId>,
    /// Number of own candidacies since this replica last had a leader.
    candidacies: u32,
    pub(super) round: u64,
    /// The newest round whose messages `ready` has returned.
    pub(super) round_sent: u64,
    pub(super) last_leader_contact: Option<Instant>,
    election_deadline: Instant,
    pub(super) next_heartbeat: Instant,
    pub(super) barrier_index: u64,
    /// Commit index in the latest append from a leader.
    pub(super) leader_commit: Option<u64>,
    rng: ChaCha8Rng,
    pub(super) pending: Ready,
}

impl Replica {
    /// Creates a follower from its persistent state; `commit_index` is the last one recorded on
    /// disk.
    pub fn new(
        id: ReplicaId,
        hard_state: HardState,
        log: Log,
        commit_index: u64,
        now: Instant,
        seed: u64,
    ) -> Self {
        let (members, members_index) = log.members();
        let last_applied = log.snapshot().index;
        let commit_index = commit_index.clamp(last_applied, log.last_index());
        let mut replica = Self {
            id,
            hard_state,
            role: Role::Follower,
            log,
            commit_index,
            last_applied,
            members,
            members_index,
            leader: None,
            peers: HashMap::new(),
            votes: Vec::new(),
            candidacies: 0,
            round: 0,
            round_sent: 0,
            last_leader_contact: None,
            election_deadline: now,
            next_heartbeat: now,
            barrier_index: 0,
            leader_commit: None,
            rng: ChaCha8Rng::seed_from_u64(seed ^ id.0),
            pending: Ready::default(),
        };
        // An early election is harmless: replicas in contact with a leader ignore its vote
        // requests.
        replica.election_deadline = now + replica.election_retry_delay();
        replica
    }

    /// Stands for election among the initial `members`, to create a new group; has no effect if the log
    /// has any entry.
    ///
    /// If it is elected, its first entry holds `members`. All founders have to name the same number of
    /// voters, so that each majority that founds or commits has a voter in common with every other;
    /// a voter that nobody has heard of is named by an identity that no replica has, and replaced later.
    pub fn found(&mut self, now: Instant, members: Members) {
        if self.log.last_index() == 0 && self.role == Role::Follower && self.leader.is_none() {
            self.members = members;
            self.election_deadline = now;
        }
    }

    /// Advances the clock: starts an election, sends heartbeats or steps down when due.
    pub fn tick(&mut self, now: Instant) {
        if self.role == Role::Leader {
            self.check_quorum(now);
            if self.role == Role::Leader && now >= self.next_heartbeat {
                self.broadcast(now);
            }
            return;
        }
        if now < self.election_deadline {
            return;
        }
        if self.members.is_voter(self.id) {
            self.start_election(now, true);
        } else {
            // A replica that may not vote notices a leader that is gone all the same.
            self.leader = None;
        }
    }

    /// Processes a message from another replica.
    pub fn handle_message(&mut self, now: Instant, from: ReplicaId, m: Message) {
        let pre = matches!(m.body, Body::VoteRequest { pre: true, .. });
        let pre_granted = matches!(m.body, Body::VoteReply { pre: true, granted: true });
        if let Body::VoteRequest { .. } = m.body
            && self.in_leader_lease(now)
        {
            return;
        }
        if m.term > self.hard_state.term && !pre && !pre_granted {
            self.become_follower(now, m.term, None);
        }
        match m.body {
            Body::VoteRequest { last_index, last_term, pre } => {
                self.handle_vote_request(now, from, m.term, (last_term, last_index), pre);
            }
            Body::VoteReply { granted, pre } => {
                self.handle_vote_reply(now, from, m.term, granted, pre)
            }
            Body::Append { prev_index, prev_term, commit, round, entries } => {
                if self.accept_leader(now, from, m.term) {
                    self.handle_append(from, (prev_index, prev_term), commit, round, entries);
                }
            }
            Body::Snapshot { snapshot, round } => {
                if self.accept_leader(now, from, m.term) {
                    self.handle_snapshot(from, snapshot, round);
                }
            }
            Body::AppendReply { accepted, match_index, round } => {
                if m.term == self.hard_state.term && self.role == Role::Leader {
                    self.handle_append_reply(now, from, accepted, match_index, round);
                }
            }
        }
    }

    /// Appends a command to the log and returns its index.
    ///
    /// Fails with [`ProposeError::NotLeader`] on any replica but the leader.
    pub fn propose(&mut self, now: Instant, command: bytes::Bytes) -> Result<u64, ProposeError> {
        self.propose_payload(now, Payload::Command(command))
    }

    /// Appends a membership change of at most one voter and returns its index.
    ///
    /// Fails with [`ProposeError::NotLeader`] or [`ProposeError::MembershipChangeRejected`].
    pub fn change_members(&mut self, now: Instant, next: Members) -> Result<u64, ProposeError> {
        let committed =
            self.members_index <= self.commit_index && self.barrier_index <= self.commit_index;
        if self.role == Role::Leader && (!committed || !self.members.is_single_voter_change(&next))
        {
            return Err(ProposeError::MembershipChangeRejected);
        }
        self.propose_payload(now, Payload::Members(next))
    }

    /// Gives up leadership before a planned shutdown; has no effect on a replica that does not
    /// lead.
    pub fn step_down(&mut self, now: Instant) {
        if self.role == Role::Leader {
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    /// Takes the pending work for the driver, including the entries committed since the last call.
    pub fn ready(&mut self) -> Ready {
        let mut ready = std::mem::take(&mut self.pending);
        self.round_sent = self.round;
        while self.last_applied < self.commit_index {
            let Some(e) = self.log.get(self.last_applied + 1) else { break };
            ready.committed.push(e.clone());
            self.last_applied += 1;
        }
        ready
    }

    /// Replaces the log up to the last applied entry by a snapshot with the state machine's
    /// `state`.
    pub fn compact(&mut self, state: bytes::Bytes) -> Snapshot {
        let index = self.last_applied;
        let term = self.log.term(index).unwrap_or(self.log.snapshot().term);
        let members = self.log.members_at(index);
        let snapshot = Snapshot { index, term, members, state };
        self.log.compact(snapshot.clone());
        snapshot
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The current leader, which may be this replica, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Log entries and the snapshot they follow.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Current term and vote, as persisted.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Latest membership in the log, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Whether all entries are present that a leader has reported as committed. Until then, a
    /// replica that started with an empty disk holds a state older than the one its instance acted
    /// on before the disk was lost.
    pub fn caught_up(&self) -> bool {
        self.has_committed_in_term()
            || self.leader_commit.is_some_and(|c| c > 0 && self.commit_index >= c)
    }

    /// Whether the latest membership is committed, so that the group tolerates the loss of one more
    /// replica.
    pub fn members_committed(&self) -> bool {
        self.members_index <= self.commit_index
    }

    /// Whether this replica is a leader that has committed an entry of its own term. Only then is
    /// its commit index known to cover all entries committed in earlier terms.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.barrier_index <= self.commit_index
    }

    /// On a leader, a member's match index and the sending time of the newest round it replied to.
    pub fn progress(&self, id: ReplicaId) -> Option<(u64, Option<Instant>)> {
        self.peers.get(&id).map(|p| (p.match_index, p.last_contact))
    }

    // ------------------------------------------------------------------------------------------
    // Elections

    fn reset_election_timer(&mut self, now: Instant) {
        self.election_deadline = now + ELECTION_TIMEOUT_MIN + self.jitter(ELECTION_TIMEOUT_JITTER);
    }

    fn election_retry_delay(&mut self) -> Duration {
        ELECTION_RETRY_MIN + self.jitter(ELECTION_RETRY_JITTER)
    }

    fn jitter(&mut self, max: Duration) -> Duration {
        Duration::from_millis(self.rng.random_range(0..=max.as_millis() as u64))
    }

    /// Whether vote and pre-vote requests are ignored because a leader is active. This keeps a
    /// replica that returns from a network partition with a higher term from deposing the leader.
    fn in_leader_lease(&self, now: Instant) -> bool {
        let recent = self
            .last_leader_contact
            .is_some_and(|at| now.saturating_duration_since(at) < LEADER_LEASE);
        self.role == Role::Leader || (recent && self.leader.is_some())
    }

    pub(super) fn become_follower(&mut self, now: Instant, term: u64, leader: Option<ReplicaId>) {
        assert!(term >= self.hard_state.term, "the term must not decrease");
        if term > self.hard_state.term {
            self.hard_state = HardState { term, voted_for: None };
            self.pending.records.push(Record::HardState(self.hard_state));
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.peers.clear();
        self.reset_election_timer(now);
    }

    fn start_election(&mut self, now: Instant, pre: bool) {
        self.election_deadline = now + self.election_retry_delay();
        self.leader = None;
        self.votes = vec![self.id];
        if pre {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            // Votes are synced before they are sent: on slow disks they need longer than a retry.
            let doublings = self.candidacies.min(CANDIDACY_DOUBLINGS_MAX);
            self.election_deadline = now + self.election_retry_delay() * (1 << doublings);
            self.candidacies += 1;
            self.hard_state =
                HardState { term: self.hard_state.term + 1, voted_for: Some(self.id) };
            self.pending.records.push(Record::HardState(self.hard_state));
        }
        let term = if pre { self.hard_state.term + 1 } else { self.hard_state.term };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let voters = self.members.voters.clone();
        for v in voters.into_iter().filter(|v| *v != self.id) {
            let body = Body::VoteRequest { last_index, last_term, pre };
            self.pending.messages.push((v, Message { term, body }));
        }
        self.count_votes(now);
    }

    fn handle_vote_request(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: u64,
        last: (u64, u64),
        pre: bool,
    ) {
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let vote_available = pre || self.hard_state.voted_for.is_none_or(|v| v == from);
        let granted = term >= self.hard_state.term && up_to_date && vote_available;
        if granted && !pre {
            self.hard_state.voted_for = Some(from);
            self.pending.records.push(Record::HardState(self.hard_state));
            self.reset_election_timer(now);
        }
        let term = if pre && granted { term } else { self.hard_state.term };
        self.pending
            .messages
            .push((from, Message { term, body: Body::VoteReply { granted, pre } }));
    }

    fn handle_vote_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: u64,
        granted: bool,
        pre: bool,
    ) {
        let expected = match (self.role, pre) {
            (Role::PreCandidate, true) => term == self.hard_state.term + 1,
            (Role::Candidate, false) => term == self.hard_state.term,
            _ => false,
        };
        if !granted && matches!(self.role, Role::PreCandidate | Role::Candidate) {
            self.pending.votes_refused.push(from);
        }
        if granted && expected && !self.votes.contains(&from) {
            self.votes.push(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Instant) {
        let granted = self.votes.iter().filter(|v| self.members.is_voter(**v)).count();
        if granted < self.members.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now, false),
            Role::Candidate => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Instant) {
        self.candidacies = 0;
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.round = 0;
        self.round_sent = 0;
        self.track_peers(now);
        if self.log.last_index() == 0 {
            let payload = Payload::Members(self.members.clone());
            self.append(Entry { index: 1, term: self.hard_state.term, payload });
        }
        self.barrier_index = self.log.last_index() + 1;
        let entry = Entry {
            index: self.barrier_index,
            term: self.hard_state.term,
            payload: Payload::Barrier,
        };
        self.append(entry);
        self.broadcast(now);
        self.advance_commit();
    }

    fn check_quorum(&mut self, now: Instant) {
        let silence = |id: &ReplicaId| {
            let contact_at = self.peers.get(id)?.last_contact?;
            Some(now.saturating_duration_since(contact_at))
        };
        let mut silent = Vec::new();
        for v in self.members.voters.iter().filter(|v| **v != self.id) {
            let time = silence(v);
            if time.is_none_or(|t| t >= CHECK_QUORUM_TIMEOUT) {
                silent.push((*v, time));
            }
        }
        if self.members.voters.len() - silent.len() < self.members.quorum() {
            self.pending.quorum_lost = silent;
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    // ------------------------------------------------------------------------------------------
    // The log

    pub(super) fn append(&mut self, entry: Entry) {
        if let Payload::Members(m) = &entry.payload {
            self.members = m.clone();
            self.members_index = entry.index;
        }
        self.pending.records.push(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    fn propose_payload(&mut self, now: Instant, payload: Payload) -> Result<u64, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        let index = self.log.last_index() + 1;
        let changes_members = matches!(payload, Payload::Members(_));
        self.append(Entry { index, term: self.hard_state.term, payload });
        if changes_members {
            self.track_peers(now);
        }
        self.broadcast(now);
        self.advance_commit();
        Ok(index)
    }

    /// Advances the commit index to the highest entry of the current term that a quorum stores.
    /// Steps down once an entry that removes this replica is committed.
    pub(super) fn advance_commit(&mut self) {
        let mut match_indexes: Vec<u64> = Vec::new();
        for v in &self.members.voters {
            let is_self = *v == self.id;
            let index = if is_self { self.log.last_index() } else { self.match_index_of(*v) };
            match_indexes.push(index);
        }
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = match_indexes.get(self.members.quorum() - 1) else { return };
        if index > self.commit_index && self.log.term(index) == Some(self.hard_state.term) {
            self.commit_index = index;
        }
        let removed = !self.members.contains(self.id) && self.members_index <= self.commit_index;
        if removed {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    fn match_index_of(&self, id: ReplicaId) -> u64 {
        self.peers.get(&id).map_or(0, |p| p.match_index)
    }

    pub(super) fn advance_commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last_index());
        self.commit_index = self.commit_index.max(index);
    }

    pub(super) fn restore_snapshot(&mut self, snapshot: Snapshot) {
        assert!(snapshot.index > self.commit_index, "the snapshot is older than the commit index");
        self.commit_index = snapshot.index;
        self.last_applied = snapshot.index;
        self.log.compact(snapshot.clone());
        let (members, index) = self.log.members();
        self.members = members;
        self.members_index = index;
        self.pending.records.clear();
        self.pending.records.push(Record::HardState(self.hard_state));
        self.pending.snapshot = Some(snapshot);
    }

    pub(super) fn record_leader_contact(&mut self, now: Instant) {
        self.last_leader_contact = Some(now);
        self.candidacies = 0;
        self.reset_election_timer(now);
    }
}
