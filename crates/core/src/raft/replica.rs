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

/// Time between a leader's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Least time without word from a leader before a replica stands for election.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(900);
/// Most of the random time added to it.
const ELECTION_SPREAD: Duration = Duration::from_millis(500);
/// Least time before a candidate that was not elected stands again, and before one that has just
/// started stands at all.
const STAND_AGAIN_MIN: Duration = Duration::from_millis(150);
/// Most of the random time added to it.
const STAND_AGAIN_SPREAD: Duration = Duration::from_millis(300);
/// A replica that has heard a leader within this time gives no vote: two lost heartbeats and some.
const LEADER_ALIVE: Duration = Duration::from_millis(700);
/// A leader without word from a quorum for this long steps down.
pub const CHECK_QUORUM_TIMEOUT: Duration = ELECTION_TIMEOUT_MIN;

/// What a replica is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes entries from a leader, if it knows one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Makes entries.
    Leader,
}

/// Why a proposal or a change of members was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Only the leader takes proposals; this one, if it is known.
    NotLeader(Option<ReplicaId>),
    /// Another change of members is under way, or this is more than one step.
    MembershipChangeRejected,
}

/// What the driver must do after events: sync the records, then send, then apply, in this order.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// A snapshot from the leader that replaces state and log; it goes to the disk first.
    pub snapshot: Option<Snapshot>,
    /// Records for the disk, which must be synced before anything is sent.
    pub records: Vec<Record>,
    /// Messages to send.
    pub messages: Vec<(ReplicaId, Message)>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
}

/// Raft with pre-vote, check-quorum, learners and one-voter membership changes.
///
/// It does no I/O: feed it messages, proposals and the time, then carry out [`Replica::ready`].
/// Nothing is sent before it is on disk, because `ready` hands out both and the driver syncs first.
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) hard: HardState,
    pub(super) role: Role,
    pub(super) log: Log,
    pub(super) commit: u64,
    applied: u64,
    pub(super) members: Members,
    pub(super) members_index: u64,
    pub(super) leader: Option<ReplicaId>,
    pub(super) peers: HashMap<ReplicaId, Peer>,
    votes: Vec<ReplicaId>,
    pub(super) round: u64,
    pub(super) heard: Option<Instant>,
    election_at: Instant,
    pub(super) heartbeat_at: Instant,
    pub(super) barrier_index: u64,
    /// Commit index that the current leader last gave.
    pub(super) leader_commit: Option<u64>,
    rng: ChaCha8Rng,
    pub(super) out: Ready,
}

impl Replica {
    /// A replica with what was read from its disk; `commit` is the last commit index noted there.
    pub fn new(
        id: ReplicaId,
        hard: HardState,
        log: Log,
        commit: u64,
        now: Instant,
        seed: u64,
    ) -> Self {
        let (members, members_index) = log.members();
        let applied = log.snapshot().index;
        let commit = commit.clamp(applied, log.last_index());
        let mut replica = Self {
            id,
            hard,
            role: Role::Follower,
            log,
            commit,
            applied,
            members,
            members_index,
            leader: None,
            peers: HashMap::new(),
            votes: Vec::new(),
            round: 0,
            heard: None,
            election_at: now,
            heartbeat_at: now,
            barrier_index: 0,
            leader_commit: None,
            rng: ChaCha8Rng::seed_from_u64(seed ^ id.0),
            out: Ready::default(),
        };
        // Nobody is disturbed by one that stands early: whoever hears a leader gives it no vote.
        replica.election_at = now + replica.stand_again_after();
        replica
    }

    /// Founds a group on an empty disk: the first entry names its members.
    pub fn bootstrap(&mut self, members: Members) {
        assert_eq!(self.log.last_index(), 0, "only an empty log can found a group");
        self.hard.term = 1;
        self.out.records.push(Record::HardState(self.hard));
        self.append(Entry { index: 1, term: 1, payload: Payload::Members(members) });
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        if self.role == Role::Leader {
            self.check_quorum(now);
            if self.role == Role::Leader && now >= self.heartbeat_at {
                self.broadcast(now);
            }
            return;
        }
        if now >= self.election_at && self.members.is_voter(self.id) {
            self.stand(now, true);
        }
    }

    /// Takes a message from another replica.
    pub fn handle_message(&mut self, now: Instant, from: ReplicaId, m: Message) {
        let pre = matches!(m.body, Body::VoteRequest { pre: true, .. });
        let pre_granted = matches!(m.body, Body::VoteReply { pre: true, granted: true });
        if let Body::VoteRequest { .. } = m.body
            && self.leader_is_alive(now)
        {
            return;
        }
        if m.term > self.hard.term && !pre && !pre_granted {
            self.follow(now, m.term, None);
        }
        match m.body {
            Body::VoteRequest { last_index, last_term, pre } => {
                self.vote_request(now, from, m.term, (last_term, last_index), pre);
            }
            Body::VoteReply { granted, pre } => self.vote_reply(now, from, m.term, granted, pre),
            Body::Append { prev_index, prev_term, commit, round, entries } => {
                if self.accept_leader(now, from, m.term, round) {
                    self.append_from(from, (prev_index, prev_term), commit, round, entries);
                }
            }
            Body::Snapshot { snapshot, round } => {
                if self.accept_leader(now, from, m.term, round) {
                    self.install(from, snapshot, round);
                }
            }
            Body::AppendReply { accepted, match_index, round } => {
                if m.term == self.hard.term && self.role == Role::Leader {
                    self.append_reply(now, from, accepted, match_index, round);
                }
            }
        }
    }

    /// Adds a command to the log; answers its index.
    pub fn propose(&mut self, now: Instant, command: bytes::Bytes) -> Result<u64, ProposeError> {
        self.propose_payload(now, Payload::Command(command))
    }

    /// Changes who votes and learns, by one voter at most.
    pub fn change_members(&mut self, now: Instant, next: Members) -> Result<u64, ProposeError> {
        let settled = self.members_index <= self.commit && self.barrier_index <= self.commit;
        if self.role == Role::Leader && (!settled || !self.members.is_single_voter_change(&next)) {
            return Err(ProposeError::MembershipChangeRejected);
        }
        self.propose_payload(now, Payload::Members(next))
    }

    /// Gives up leadership, for a planned stop.
    pub fn step_down(&mut self, now: Instant) {
        if self.role == Role::Leader {
            self.follow(now, self.hard.term, None);
        }
    }

    /// What the driver must do now.
    pub fn ready(&mut self) -> Ready {
        let mut ready = std::mem::take(&mut self.out);
        while self.applied < self.commit {
            let Some(e) = self.log.get(self.applied + 1) else { break };
            ready.committed.push(e.clone());
            self.applied += 1;
        }
        ready
    }

    /// Drops the log up to the applied entry in favour of the state machine's `state`.
    pub fn compact(&mut self, state: bytes::Bytes) -> Snapshot {
        let index = self.applied;
        let term = self.log.term(index).unwrap_or(self.log.snapshot().term);
        let members = self.log.members_at(index);
        let snapshot = Snapshot { index, term, members, state };
        self.log.compact(snapshot.clone());
        snapshot
    }

    /// What it is doing.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The leader that it follows, or itself.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Index up to which entries are committed, as it knows.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Its log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Its term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard
    }

    /// Members after its whole log.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Whether it has everything that a leader has told it is committed. A replica with an empty
    /// disk is behind until then, and what it has applied is older than what its instance acted on
    /// before.
    pub fn caught_up(&self) -> bool {
        self.has_committed_in_term()
            || self.leader_commit.is_some_and(|c| c > 0 && self.commit >= c)
    }

    /// Whether the newest members are committed, so that losing one more replica costs nothing.
    pub fn members_committed(&self) -> bool {
        self.members_index <= self.commit
    }

    /// Whether the leader has committed something in its own term, so that it knows all commits.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.barrier_index <= self.commit
    }

    /// For a leader: the last matching index of a member, and when it last had word from it.
    pub fn progress(&self, id: ReplicaId) -> Option<(u64, Option<Instant>)> {
        self.peers.get(&id).map(|p| (p.matched, p.heard))
    }

    // ------------------------------------------------------------------------------------------
    // Elections

    fn reset_election(&mut self, now: Instant) {
        self.election_at = now + ELECTION_TIMEOUT_MIN + self.spread(ELECTION_SPREAD);
    }

    fn stand_again_after(&mut self) -> Duration {
        STAND_AGAIN_MIN + self.spread(STAND_AGAIN_SPREAD)
    }

    fn spread(&mut self, most: Duration) -> Duration {
        Duration::from_millis(self.rng.random_range(0..=most.as_millis() as u64))
    }

    /// A replica that hears a leader neither votes nor says it would, so that one which comes back
    /// from a cut with a high term disturbs nobody.
    fn leader_is_alive(&self, now: Instant) -> bool {
        let heard = self.heard.is_some_and(|at| now.saturating_duration_since(at) < LEADER_ALIVE);
        self.role == Role::Leader || (heard && self.leader.is_some())
    }

    pub(super) fn follow(&mut self, now: Instant, term: u64, leader: Option<ReplicaId>) {
        assert!(term >= self.hard.term, "a term went back");
        if term > self.hard.term {
            self.hard = HardState { term, voted_for: None };
            self.out.records.push(Record::HardState(self.hard));
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.peers.clear();
        self.reset_election(now);
    }

    fn stand(&mut self, now: Instant, pre: bool) {
        self.election_at = now + self.stand_again_after();
        self.leader = None;
        self.votes = vec![self.id];
        if pre {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.hard = HardState { term: self.hard.term + 1, voted_for: Some(self.id) };
            self.out.records.push(Record::HardState(self.hard));
        }
        let term = if pre { self.hard.term + 1 } else { self.hard.term };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let voters = self.members.voters.clone();
        for v in voters.into_iter().filter(|v| *v != self.id) {
            let body = Body::VoteRequest { last_index, last_term, pre };
            self.out.messages.push((v, Message { term, body }));
        }
        self.count_votes(now);
    }

    fn vote_request(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: u64,
        last: (u64, u64),
        pre: bool,
    ) {
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let free = pre || self.hard.voted_for.is_none_or(|v| v == from);
        let granted = term >= self.hard.term && up_to_date && free;
        if granted && !pre {
            self.hard.voted_for = Some(from);
            self.out.records.push(Record::HardState(self.hard));
            self.reset_election(now);
        }
        let term = if pre && granted { term } else { self.hard.term };
        self.out.messages.push((from, Message { term, body: Body::VoteReply { granted, pre } }));
    }

    fn vote_reply(&mut self, now: Instant, from: ReplicaId, term: u64, granted: bool, pre: bool) {
        let asked = match (self.role, pre) {
            (Role::PreCandidate, true) => term == self.hard.term + 1,
            (Role::Candidate, false) => term == self.hard.term,
            _ => false,
        };
        if granted && asked && !self.votes.contains(&from) {
            self.votes.push(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Instant) {
        let counted = self.votes.iter().filter(|v| self.members.is_voter(**v)).count();
        if counted < self.members.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.stand(now, false),
            Role::Candidate => self.lead(now),
            _ => {}
        }
    }

    fn lead(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.round = 0;
        self.track_peers(now);
        self.barrier_index = self.log.last_index() + 1;
        let entry =
            Entry { index: self.barrier_index, term: self.hard.term, payload: Payload::Barrier };
        self.append(entry);
        self.broadcast(now);
        self.advance_commit();
    }

    fn check_quorum(&mut self, now: Instant) {
        let fresh = |id: &ReplicaId| {
            *id == self.id
                || self
                    .peers
                    .get(id)
                    .and_then(|p| p.heard)
                    .is_some_and(|at| now.saturating_duration_since(at) < CHECK_QUORUM_TIMEOUT)
        };
        let heard = self.members.voters.iter().filter(|v| fresh(v)).count();
        if heard < self.members.quorum() {
            self.follow(now, self.hard.term, None);
        }
    }

    // ------------------------------------------------------------------------------------------
    // The log

    pub(super) fn append(&mut self, entry: Entry) {
        if let Payload::Members(m) = &entry.payload {
            self.members = m.clone();
            self.members_index = entry.index;
        }
        self.out.records.push(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    fn propose_payload(&mut self, now: Instant, payload: Payload) -> Result<u64, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        let index = self.log.last_index() + 1;
        let changes_members = matches!(payload, Payload::Members(_));
        self.append(Entry { index, term: self.hard.term, payload });
        if changes_members {
            self.track_peers(now);
        }
        self.broadcast(now);
        self.advance_commit();
        Ok(index)
    }

    /// Commits what a quorum has, if it is of this term, and steps down once removed.
    pub(super) fn advance_commit(&mut self) {
        let mut matched: Vec<u64> = Vec::new();
        for v in &self.members.voters {
            let own = *v == self.id;
            let index = if own { self.log.last_index() } else { self.peer_match(*v) };
            matched.push(index);
        }
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(self.members.quorum() - 1) else { return };
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            self.commit = index;
        }
        let removed = !self.members.contains(self.id) && self.members_index <= self.commit;
        if removed {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    fn peer_match(&self, id: ReplicaId) -> u64 {
        self.peers.get(&id).map_or(0, |p| p.matched)
    }

    pub(super) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last_index());
        self.commit = self.commit.max(index);
    }

    pub(super) fn installed(&mut self, snapshot: Snapshot) {
        assert!(snapshot.index > self.commit, "a snapshot older than what is committed");
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.compact(snapshot.clone());
        let (members, index) = self.log.members();
        self.members = members;
        self.members_index = index;
        self.out.records.clear();
        self.out.records.push(Record::HardState(self.hard));
        self.out.snapshot = Some(snapshot);
    }

    pub(super) fn heard_leader(&mut self, now: Instant) {
        self.heard = Some(now);
        self.reset_election(now);
    }
}
