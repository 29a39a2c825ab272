//! The values that replicas exchange and store.

use bytes::Bytes;
use smallvec::SmallVec;

/// Identity of one replica's disk; a lost disk means a new identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaId(pub u64);

/// Who votes and who only learns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Replicas whose votes and acknowledgements count.
    pub voters: SmallVec<[ReplicaId; 5]>,
    /// Replicas that only receive the log.
    pub learners: SmallVec<[ReplicaId; 5]>,
}

impl Members {
    /// Acknowledgements that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `id` votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains(&id)
    }

    /// Whether `id` receives the log at all.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.is_voter(id) || self.learners.contains(&id)
    }

    /// Everybody who receives the log.
    pub fn all(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether one step leads from here to `next`: at most one voter more or less, so that any two
    /// majorities share a voter.
    pub fn is_single_voter_change(&self, next: &Self) -> bool {
        let added = next.voters.iter().filter(|v| !self.is_voter(**v)).count();
        let removed = self.voters.iter().filter(|v| !next.is_voter(**v)).count();
        added + removed <= 1 && !next.voters.is_empty()
    }
}

/// What an entry of the log carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// A command of the state machine.
    Command(Bytes),
    /// Who votes and learns from this entry on.
    Members(Members),
    /// Nothing: a new leader's first entry, which commits what came before it.
    Barrier,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Place in the log, from 1.
    pub index: u64,
    /// Term of the leader that made it.
    pub term: u64,
    /// What it carries.
    pub payload: Payload,
}

/// The state machine's state after the entry at `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that the state includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members after that entry.
    pub members: Members,
    /// The state machine's bytes.
    pub state: Bytes,
}

/// What must not be forgotten between messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Vote given in that term.
    pub voted_for: Option<ReplicaId>,
}

/// A message between replicas, in its sender's term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender's term, or for a pre-vote the term it would stand in.
    pub term: u64,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks for a vote, or with `pre` whether a vote would be given.
    VoteRequest {
        /// Last entry of the candidate's log.
        last_index: u64,
        /// Its term.
        last_term: u64,
        /// Only a question; changes nothing at the receiver.
        pre: bool,
    },
    /// Answers it.
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
        /// Whether this answers a pre-vote.
        pre: bool,
    },
    /// Entries after `prev_index`; a heartbeat when there are none.
    Append {
        /// Entry before the first one carried.
        prev_index: u64,
        /// Its term.
        prev_term: u64,
        /// The leader's commit index.
        commit: u64,
        /// Counts the leader's rounds, so that an answer tells when it was asked for.
        round: u64,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// Whether the log now matches up to `match_index`.
        accepted: bool,
        /// Last matching index, or a hint where to try next.
        match_index: u64,
        /// Round that this answers.
        round: u64,
    },
    /// The state, for a replica that is too far behind.
    Snapshot {
        /// The state.
        snapshot: Snapshot,
        /// The leader's round.
        round: u64,
    },
}

/// One record for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// An entry at the end of the log.
    Entry(Entry),
    /// Entries from here on are no longer part of the log.
    TruncateFrom(u64),
    /// Term and vote.
    HardState(HardState),
    /// Entries up to here are committed.
    Commit(u64),
}
