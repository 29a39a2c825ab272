//! Messages and records that replicas exchange and store.

use bytes::Bytes;
use smallvec::SmallVec;

/// Identity of a replica, bound to its disk: a replica that loses its disk gets a new identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaId(pub u64);

/// Membership of the consensus group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Replicas that count towards a quorum in elections and commits.
    pub voters: SmallVec<[ReplicaId; 5]>,
    /// Replicas that receive the log but do not vote.
    pub learners: SmallVec<[ReplicaId; 5]>,
}

impl Members {
    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains(&id)
    }

    /// Whether `id` is a voter or a learner.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.is_voter(id) || self.learners.contains(&id)
    }

    /// All voters, then all learners.
    pub fn all(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether `next` adds or removes at most one voter and leaves at least one. Any majority of
    /// the old voters then overlaps with any majority of the new ones.
    pub fn is_single_voter_change(&self, next: &Self) -> bool {
        let added = next.voters.iter().filter(|v| !self.is_voter(**v)).count();
        let removed = self.voters.iter().filter(|v| !next.is_voter(**v)).count();
        added + removed <= 1 && !next.voters.is_empty()
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// An encoded command for the state machine.
    Command(Bytes),
    /// Membership in effect from this entry on.
    Members(Members),
    /// No-op that a new leader appends; committing it commits all entries of earlier terms.
    Barrier,
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// State of the state machine after applying the entry at `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry included in the state.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub members: Members,
    /// Encoded state of the state machine.
    pub state: Bytes,
}

/// A read that a leader has accepted, and what it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// Term in which the leader accepted it.
    pub(super) term: u64,
    /// Index that must be applied before the read is answered.
    pub(super) index: u64,
    /// Round, begun after the read arrived, that a quorum must have answered.
    pub(super) round: u64,
}

/// What has become of a [`Read`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadState {
    /// Leadership is not yet confirmed, or the index is not yet applied.
    Waiting,
    /// The state machine, with all committed entries that `ready` has returned, answers it.
    Ready,
    /// The replica does not lead any more, so it cannot tell what is newest.
    Lost,
}

/// Persistent state that must be on disk before a message that depends on it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Candidate that received this replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Current term of the sender; for a pre-vote, the term of the prospective election.
    pub term: u64,
    /// Message content.
    pub body: Body,
}

/// Content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Requests a vote, or with `pre` a pre-vote.
    VoteRequest {
        /// Index of the last entry in the candidate's log.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Whether this is a pre-vote, which changes no state at the receiver.
        pre: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
        /// Whether this replies to a pre-vote.
        pre: bool,
    },
    /// Entries that follow `prev_index`; a heartbeat if there are none.
    Append {
        /// Index of the entry that precedes `entries`.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// The leader's commit index.
        commit: u64,
        /// Number of the leader's round; the reply repeats it, so the leader knows when the request
        /// was sent.
        round: u64,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Reply to an append or a snapshot.
    AppendReply {
        /// Whether the receiver's log matches the leader's up to `match_index`.
        accepted: bool,
        /// Last matching index or, if rejected, a hint for the index after which to retry.
        match_index: u64,
        /// Round of the request; 0 if its term was outdated.
        round: u64,
    },
    /// A snapshot for a replica whose next entry is no longer in the leader's log.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Number of the leader's round.
        round: u64,
    },
}

/// A record to be written to disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A log entry to append.
    Entry(Entry),
    /// Removes the entries from this index on.
    TruncateFrom(u64),
    /// Current term and vote.
    HardState(HardState),
    /// Commit index.
    Commit(u64),
}
