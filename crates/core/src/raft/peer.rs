//! Log replication: the leader's progress per member, and how followers process appends.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::Body;
use super::Entry;
use super::Message;
use super::Record;
use super::Replica;
use super::ReplicaId;
use super::Role;
use super::Snapshot;
use super::replica::HEARTBEAT_INTERVAL;

/// Number of unanswered rounds per member whose sending time is kept.
const UNANSWERED_ROUNDS_MAX: usize = 64;
/// Minimum interval between two snapshots sent to the same member.
const SNAPSHOT_INTERVAL_MIN: Duration = Duration::from_millis(1000);

/// A leader's replication progress for one member.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Index of the next entry to send.
    next_index: u64,
    /// Index of the last entry known to be replicated on the member.
    pub(super) match_index: u64,
    /// Sending time of the newest round that the member replied to.
    pub(super) last_contact: Option<Instant>,
    /// Number and sending time of each round without a reply.
    unanswered_rounds: VecDeque<(u64, Instant)>,
    snapshot_sent: Option<Instant>,
    /// Newest round that the member replied to.
    round_answered: u64,
}

impl Replica {
    /// As a leader, starts tracking new members and stops tracking removed ones.
    pub(super) fn track_peers(&mut self, now: Instant) {
        let next_index = self.log.last_index() + 1;
        let ids: Vec<ReplicaId> = self.members.all().filter(|id| *id != self.id).collect();
        self.peers.retain(|id, _| ids.contains(id));
        for id in ids {
            self.peers.entry(id).or_insert_with(|| Peer {
                next_index,
                match_index: 0,
                last_contact: Some(now),
                unanswered_rounds: VecDeque::new(),
                snapshot_sent: None,
                round_answered: 0,
            });
        }
    }

    /// Newest round that a member replied to; 0 if there is none.
    pub(super) fn round_answered_by(&self, id: ReplicaId) -> u64 {
        self.peers.get(&id).map_or(0, |p| p.round_answered)
    }

    /// Starts a new round: sends each member its missing entries, or a heartbeat.
    pub(super) fn broadcast(&mut self, now: Instant) {
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.round += 1;
        let mut ids: Vec<ReplicaId> = self.peers.keys().copied().collect();
        ids.sort();
        for id in ids {
            self.send_append(now, id);
        }
    }

    fn send_append(&mut self, now: Instant, id: ReplicaId) {
        let round = self.round;
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.unanswered_rounds.push_back((round, now));
        if peer.unanswered_rounds.len() > UNANSWERED_ROUNDS_MAX {
            peer.unanswered_rounds.pop_front();
        }
        let prev_index = peer.next_index - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            self.send_snapshot(now, id);
            return;
        };
        let entries = self.log.batch(peer.next_index);
        peer.next_index += entries.len() as u64;
        let body =
            Body::Append { prev_index, prev_term, commit: self.commit_index, round, entries };
        self.pending.messages.push((id, Message { term: self.hard_state.term, body }));
    }

    fn send_snapshot(&mut self, now: Instant, id: ReplicaId) {
        let snapshot = self.log.snapshot().clone();
        let round = self.round;
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.snapshot_sent.is_some_and(|at| now < at + SNAPSHOT_INTERVAL_MIN) {
            return;
        }
        peer.snapshot_sent = Some(now);
        let body = Body::Snapshot { snapshot, round };
        self.pending.messages.push((id, Message { term: self.hard_state.term, body }));
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        accepted: bool,
        match_index: u64,
        round: u64,
    ) {
        let last = self.log.last_index();
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.round_answered = peer.round_answered.max(round);
        while let Some(&(r, at)) = peer.unanswered_rounds.front() {
            if r > round {
                break;
            }
            peer.last_contact = peer.last_contact.max(Some(at));
            peer.unanswered_rounds.pop_front();
        }
        if accepted {
            peer.match_index = peer.match_index.max(match_index);
            peer.next_index = peer.next_index.max(peer.match_index + 1);
            let lagging = peer.next_index <= last;
            let previous_commit = self.commit_index;
            self.advance_commit();
            if self.role != Role::Leader {
                return;
            }
            if self.commit_index > previous_commit {
                // Followers act on committed entries, so send the new commit index without waiting
                // for the next heartbeat.
                self.broadcast(now);
            } else if lagging {
                self.send_append(now, from);
            }
            return;
        }
        peer.next_index = (match_index + 1).clamp(peer.match_index + 1, last + 1);
        self.send_append(now, from);
    }

    // ------------------------------------------------------------------------------------------
    // Follower side

    /// Accepts `from` as the leader of the current term; returns `false` and rejects the request if
    /// `term` is outdated.
    pub(super) fn accept_leader(&mut self, now: Instant, from: ReplicaId, term: u64) -> bool {
        if term < self.hard_state.term {
            // The round is one of an earlier term, in which the sender may have led as well.
            let body = Body::AppendReply { accepted: false, match_index: 0, round: 0 };
            self.pending.messages.push((from, Message { term: self.hard_state.term, body }));
            return false;
        }
        assert!(self.role != Role::Leader, "two leaders in one term");
        assert!(self.leader.is_none_or(|l| l == from), "two leaders in one term");
        self.role = Role::Follower;
        self.leader = Some(from);
        self.record_leader_contact(now);
        true
    }

    pub(super) fn handle_append(
        &mut self,
        from: ReplicaId,
        (prev_index, prev_term): (u64, u64),
        commit: u64,
        round: u64,
        entries: Vec<Entry>,
    ) {
        self.leader_commit = Some(commit);
        let snapshot_index = self.log.snapshot().index;
        let matches = prev_index < snapshot_index || self.log.term(prev_index) == Some(prev_term);
        if !matches {
            let hint = self.conflict_hint(prev_index);
            self.send_append_reply(from, false, hint, round);
            return;
        }
        let last_new = prev_index + entries.len() as u64;
        for entry in entries {
            self.store_entry(entry);
        }
        self.advance_commit_to(commit.min(last_new));
        self.send_append_reply(from, true, last_new, round);
    }

    fn store_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot().index {
            return;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_from(entry.index),
            None => {}
        }
        self.append(entry);
    }

    fn truncate_from(&mut self, index: u64) {
        assert!(index > self.commit_index, "cannot truncate committed entries");
        self.log.truncate_from(index);
        self.pending.records.push(Record::TruncateFrom(index));
        let (members, members_index) = self.log.members();
        self.members = members;
        self.members_index = members_index;
    }

    /// Index of the entry after which the leader should retry: the end of a log that is too short,
    /// otherwise the last entry before the conflicting term.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let term = self.log.term(prev_index);
        let mut at = prev_index;
        while at > self.commit_index && self.log.term(at) == term {
            at -= 1;
        }
        at
    }

    pub(super) fn handle_snapshot(&mut self, from: ReplicaId, snapshot: Snapshot, round: u64) {
        let index = snapshot.index;
        if index > self.commit_index {
            self.restore_snapshot(snapshot);
        }
        let match_index = self.commit_index.max(index);
        self.send_append_reply(from, true, match_index.min(self.log.last_index()), round);
    }

    fn send_append_reply(&mut self, to: ReplicaId, accepted: bool, match_index: u64, round: u64) {
        let body = Body::AppendReply { accepted, match_index, round };
        self.pending.messages.push((to, Message { term: self.hard_state.term, body }));
    }
}
