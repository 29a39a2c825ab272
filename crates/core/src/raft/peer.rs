//! Replication: what a leader keeps for each member, and what a follower does with appends.

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

/// Rounds whose sending time is remembered.
const ROUNDS_KEPT: usize = 64;
/// Least time between two snapshots to one member.
const SNAPSHOT_PAUSE: Duration = Duration::from_millis(1000);

/// What a leader knows of one member.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Next entry to send.
    next: u64,
    /// Last entry known to match.
    pub(super) matched: u64,
    /// Sending time of the newest round that it answered.
    pub(super) heard: Option<Instant>,
    rounds: VecDeque<(u64, Instant)>,
    snapshot_sent: Option<Instant>,
}

impl Replica {
    /// Starts keeping book on members that are new, as a leader.
    pub(super) fn track_peers(&mut self, now: Instant) {
        let next = self.log.last_index() + 1;
        let ids: Vec<ReplicaId> = self.members.all().filter(|id| *id != self.id).collect();
        self.peers.retain(|id, _| ids.contains(id));
        for id in ids {
            self.peers.entry(id).or_insert_with(|| Peer {
                next,
                matched: 0,
                heard: Some(now),
                rounds: VecDeque::new(),
                snapshot_sent: None,
            });
        }
    }

    /// Sends everybody a round: entries that they lack, or a heartbeat.
    pub(super) fn broadcast(&mut self, now: Instant) {
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
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
        peer.rounds.push_back((round, now));
        if peer.rounds.len() > ROUNDS_KEPT {
            peer.rounds.pop_front();
        }
        let prev_index = peer.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            self.send_snapshot(now, id);
            return;
        };
        let entries = self.log.batch(peer.next);
        peer.next += entries.len() as u64;
        let body = Body::Append { prev_index, prev_term, commit: self.commit, round, entries };
        self.out.messages.push((id, Message { term: self.hard.term, body }));
    }

    fn send_snapshot(&mut self, now: Instant, id: ReplicaId) {
        let snapshot = self.log.snapshot().clone();
        let round = self.round;
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.snapshot_sent.is_some_and(|at| now < at + SNAPSHOT_PAUSE) {
            return;
        }
        peer.snapshot_sent = Some(now);
        let body = Body::Snapshot { snapshot, round };
        self.out.messages.push((id, Message { term: self.hard.term, body }));
    }

    pub(super) fn append_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        accepted: bool,
        match_index: u64,
        round: u64,
    ) {
        let last = self.log.last_index();
        let Some(peer) = self.peers.get_mut(&from) else { return };
        while let Some(&(r, at)) = peer.rounds.front() {
            if r > round {
                break;
            }
            peer.heard = peer.heard.max(Some(at));
            peer.rounds.pop_front();
        }
        if accepted {
            peer.matched = peer.matched.max(match_index);
            peer.next = peer.next.max(peer.matched + 1);
            let behind = peer.next <= last;
            let commit = self.commit;
            self.advance_commit();
            if self.role != Role::Leader {
                return;
            }
            if self.commit > commit {
                // Followers act on what is committed, so tell them now and not with the heartbeat.
                self.broadcast(now);
            } else if behind {
                self.send_append(now, from);
            }
            return;
        }
        peer.next = (match_index + 1).clamp(peer.matched + 1, last + 1);
        self.send_append(now, from);
    }

    // ------------------------------------------------------------------------------------------
    // As a follower

    /// Takes `from` as this term's leader; false when its term is over.
    pub(super) fn accept_leader(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: u64,
        round: u64,
    ) -> bool {
        if term < self.hard.term {
            let body = Body::AppendReply { accepted: false, match_index: 0, round };
            self.out.messages.push((from, Message { term: self.hard.term, body }));
            return false;
        }
        assert!(self.role != Role::Leader, "two leaders in one term");
        assert!(self.leader.is_none_or(|l| l == from), "two leaders in one term");
        self.role = Role::Follower;
        self.leader = Some(from);
        self.heard_leader(now);
        true
    }

    pub(super) fn append_from(
        &mut self,
        from: ReplicaId,
        (prev_index, prev_term): (u64, u64),
        commit: u64,
        round: u64,
        entries: Vec<Entry>,
    ) {
        self.leader_commit = Some(commit);
        let known = self.log.snapshot().index;
        let matches = prev_index < known || self.log.term(prev_index) == Some(prev_term);
        if !matches {
            let hint = self.conflict_hint(prev_index);
            self.reply(from, false, hint, round);
            return;
        }
        let last_new = prev_index + entries.len() as u64;
        for entry in entries {
            self.take_entry(entry);
        }
        self.commit_to(commit.min(last_new));
        self.reply(from, true, last_new, round);
    }

    fn take_entry(&mut self, entry: Entry) {
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
        assert!(index > self.commit, "a committed entry would be lost");
        self.log.truncate_from(index);
        self.out.records.push(Record::TruncateFrom(index));
        let (members, members_index) = self.log.members();
        self.members = members;
        self.members_index = members_index;
    }

    /// Where the leader should try next: before the term that conflicts.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let term = self.log.term(prev_index);
        let mut at = prev_index;
        while at > self.commit && self.log.term(at) == term {
            at -= 1;
        }
        at
    }

    pub(super) fn install(&mut self, from: ReplicaId, snapshot: Snapshot, round: u64) {
        let index = snapshot.index;
        if index > self.commit {
            self.installed(snapshot);
        }
        let matched = self.commit.max(index);
        self.reply(from, true, matched.min(self.log.last_index()), round);
    }

    fn reply(&mut self, to: ReplicaId, accepted: bool, match_index: u64, round: u64) {
        let body = Body::AppendReply { accepted, match_index, round };
        self.out.messages.push((to, Message { term: self.hard.term, body }));
    }
}
