//! A seeded fake network of replicas with fake disks, for the tests of the log.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_core::control::Config;
use crocustally_core::control::StateMachine;
use crocustally_core::raft::Entry;
use crocustally_core::raft::HardState;
use crocustally_core::raft::Log;
use crocustally_core::raft::Members;
use crocustally_core::raft::Message;
use crocustally_core::raft::Payload;
use crocustally_core::raft::Record;
use crocustally_core::raft::Replica;
use crocustally_core::raft::ReplicaId;
use crocustally_core::raft::ReplicaStatus;
use crocustally_core::raft::Role;
use crocustally_core::raft::Snapshot;
use crocustally_core::raft::plan_repair;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Instances of the fake deployment: three voters and a learner.
pub const INSTANCES: usize = 4;
/// Wanted voters.
const VOTERS: usize = 3;
/// One step of fake time.
const STEP: Duration = Duration::from_millis(10);
/// Entries after which a replica snapshots.
const COMPACT_AT: usize = 24;

/// What a fake disk holds; only what `ready` asked for reaches it.
#[derive(Clone, Default)]
struct Disk {
    id: ReplicaId,
    hard: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    commit: u64,
}

/// One instance.
struct Node {
    disk: Disk,
    up: Option<(Replica, StateMachine)>,
    /// Versions never go back at an instance, over restarts and lost disks alike.
    version_seen: u64,
    disk_was_lost: bool,
}

impl Node {
    /// The driver's rule: the commit index is on disk before a new version is acted on.
    fn see_version(&mut self, applied: Option<u64>) {
        let Some((_, machine)) = self.up.as_ref() else { return };
        let version = machine.config().version;
        if version > self.version_seen {
            self.disk.commit = applied.unwrap_or(self.disk.commit).max(self.disk.commit);
            self.version_seen = version;
            self.disk_was_lost = false;
        }
        assert!(version == self.version_seen || self.disk_was_lost, "a version went back");
    }
}

/// The fake deployment.
pub struct Cluster {
    pub now: Instant,
    pub rng: ChaCha8Rng,
    nodes: Vec<Node>,
    flying: BTreeMap<(Instant, u64), (ReplicaId, ReplicaId, Message)>,
    sent: u64,
    next_id: u64,
    names: HashMap<ReplicaId, usize>,
    heard: HashMap<ReplicaId, Instant>,
    /// Instances that are cut off from all others.
    pub cut: Vec<usize>,
    pub loss: f64,
    leaders: HashMap<u64, ReplicaId>,
    committed: BTreeMap<u64, Entry>,
    /// Commands that a leader has reported as committed.
    pub acknowledged: Vec<Bytes>,
    waiting: Vec<(usize, u64, u64, Bytes)>,
}

impl Cluster {
    /// Three voters and a learner that have just been founded.
    pub fn new(seed: u64) -> Self {
        let mut c = Self {
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            flying: BTreeMap::new(),
            sent: 0,
            next_id: 0,
            names: HashMap::new(),
            heard: HashMap::new(),
            cut: Vec::new(),
            loss: 0.0,
            leaders: HashMap::new(),
            committed: BTreeMap::new(),
            acknowledged: Vec::new(),
            waiting: Vec::new(),
        };
        for _ in 0..INSTANCES {
            let disk = Disk::default();
            c.nodes.push(Node { disk, up: None, version_seen: 0, disk_was_lost: false });
        }
        for i in 0..INSTANCES {
            c.nodes[i].disk = c.fresh_disk(i);
            c.start(i);
        }
        let ids: Vec<ReplicaId> = c.nodes.iter().map(|n| n.disk.id).collect();
        let members = Members {
            voters: ids[..VOTERS].iter().copied().collect(),
            learners: ids[VOTERS..].iter().copied().collect(),
        };
        c.nodes[0].up.as_mut().unwrap().0.bootstrap(members);
        c.drain(0);
        c
    }

    fn fresh_disk(&mut self, i: usize) -> Disk {
        self.next_id += 1;
        let id = ReplicaId(self.next_id);
        self.names.insert(id, i);
        Disk { id, ..Disk::default() }
    }

    /// Starts an instance from its disk.
    pub fn start(&mut self, i: usize) {
        if self.nodes[i].up.is_some() {
            return;
        }
        let d = &self.nodes[i].disk;
        let log = Log::new(d.snapshot.clone(), d.entries.clone());
        let seed = self.rng.random();
        let replica = Replica::new(d.id, d.hard, log, d.commit, self.now, seed);
        let machine = restored(&d.snapshot);
        self.nodes[i].up = Some((replica, machine));
        self.drain(i);
        self.heard.insert(self.nodes[i].disk.id, self.now);
    }

    /// Kills an instance; what was not synced is gone.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].up = None;
        self.waiting.retain(|w| w.0 != i);
    }

    /// Kills an instance and empties its disk.
    pub fn lose_disk(&mut self, i: usize) {
        self.kill(i);
        self.nodes[i].disk = self.fresh_disk(i);
        self.nodes[i].disk_was_lost = true;
    }

    /// Whether every instance is up.
    pub fn all_up(&self) -> bool {
        self.nodes.iter().all(|n| n.up.is_some())
    }

    /// Whether this instance is a voter of the newest membership any leader knows.
    pub fn is_voter(&self, i: usize) -> bool {
        let id = self.nodes[i].disk.id;
        self.leader().is_some_and(|l| self.replica(l).unwrap().members().is_voter(id))
    }

    /// Voters in the newest membership that a leader has committed; a repair has ended only then.
    pub fn voters(&self) -> usize {
        let committed = |r: &&Replica| r.members_committed();
        let leader = self.leader().and_then(|l| self.replica(l)).filter(committed);
        leader.map_or(0, |r| r.members().voters.len())
    }

    /// The instance that leads with the highest term, if any.
    pub fn leader(&self) -> Option<usize> {
        let lead = |i: &usize| self.replica(*i).is_some_and(|r| r.role() == Role::Leader);
        (0..INSTANCES).filter(lead).max_by_key(|i| self.replica(*i).unwrap().term())
    }

    /// An instance's replica, if it is up.
    pub fn replica(&self, i: usize) -> Option<&Replica> {
        self.nodes[i].up.as_ref().map(|(r, _)| r)
    }

    /// An instance's configuration, if it is up.
    pub fn config(&self, i: usize) -> Option<&Config> {
        self.nodes[i].up.as_ref().map(|(_, m)| &**m.config())
    }

    /// An instance's machine, if it is up.
    pub fn machine(&self, i: usize) -> Option<&StateMachine> {
        self.nodes[i].up.as_ref().map(|(_, m)| m)
    }

    /// Proposes at an instance; it counts once that instance reports it committed.
    pub fn propose(&mut self, i: usize, command: Bytes) -> bool {
        let now = self.now;
        let Some((r, _)) = self.nodes[i].up.as_mut() else { return false };
        let Ok(index) = r.propose(now, command.clone()) else { return false };
        let term = r.term();
        self.waiting.push((i, index, term, command));
        self.drain(i);
        true
    }

    /// Runs for a while.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until `done`, for `limit` at most.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let until = self.now + limit;
        while self.now < until && !done(self) {
            self.step();
        }
        done(self)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for i in 0..INSTANCES {
            let now = self.now;
            if let Some((r, _)) = self.nodes[i].up.as_mut() {
                r.tick(now);
            }
            self.drain(i);
            self.repair(i);
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.flying.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            let (from, to, m) = first.remove();
            let (Some(&a), Some(&b)) = (self.names.get(&from), self.names.get(&to)) else {
                continue;
            };
            let cut = a != b && (self.cut.contains(&a) || self.cut.contains(&b));
            let now = self.now;
            let Some((r, _)) = self.nodes[b].up.as_mut() else { continue };
            if cut || r.id() != to {
                continue;
            }
            self.heard.insert(from, now);
            r.handle_message(now, from, m);
            self.drain(b);
        }
    }

    /// Syncs, sends and applies what one instance has ready, and checks the invariants.
    fn drain(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let Some((r, machine)) = node.up.as_mut() else { return };
        let ready = r.ready();
        let from = r.id();
        if r.role() == Role::Leader {
            let first = *self.leaders.entry(r.term()).or_insert(from);
            assert_eq!(first, from, "two leaders in term {}", r.term());
        }
        if let Some(s) = ready.snapshot {
            *machine = restored(&s);
            node.disk.entries = r.log().entries().cloned().collect();
            node.disk.hard = r.hard_state();
            node.disk.commit = s.index;
            node.disk.snapshot = s;
        } else {
            ready.records.into_iter().for_each(|record| write(&mut node.disk, record));
        }
        let applied = ready.committed.last().map(|e| e.index);
        for e in ready.committed {
            let first = self.committed.entry(e.index).or_insert_with(|| e.clone());
            assert_eq!(*first, e, "two entries committed at {}", e.index);
            if let Payload::Command(buf) = &e.payload {
                machine.apply(e.index, buf);
            }
        }
        node.see_version(applied);
        for (to, m) in ready.messages {
            self.send(from, to, m);
        }
        self.acknowledge(i);
        self.compact(i);
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, m: Message) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.loss / 2.0) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.loss > 0.0 && self.rng.random_bool(0.05);
            let ms =
                if slow { self.rng.random_range(0..2000) } else { self.rng.random_range(1..20) };
            self.sent += 1;
            let at = self.now + Duration::from_millis(ms);
            self.flying.insert((at, self.sent), (from, to, m.clone()));
        }
    }

    fn acknowledge(&mut self, i: usize) {
        let Some(r) = self.replica(i) else { return };
        let commit = r.commit_index();
        let mut done = Vec::new();
        let committed = &self.committed;
        self.waiting.retain(|(at, index, term, command)| {
            if *at != i || *index > commit {
                return true;
            }
            if committed.get(index).is_some_and(|e| e.term == *term) {
                done.push(command.clone());
            }
            false
        });
        self.acknowledged.extend(done);
    }

    fn compact(&mut self, i: usize) {
        let Some((r, machine)) = self.nodes[i].up.as_mut() else { return };
        if r.log().len() < COMPACT_AT {
            return;
        }
        let snapshot = r.compact(machine.state());
        let entries = r.log().entries().cloned().collect();
        self.nodes[i].disk.snapshot = snapshot;
        self.nodes[i].disk.entries = entries;
    }

    /// What the leader's driver does about lost voters.
    fn repair(&mut self, i: usize) {
        let now = self.now;
        let Some((r, _)) = self.nodes[i].up.as_ref() else { return };
        if !r.has_committed_in_term() {
            return;
        }
        let last = r.log().last_index();
        let mut known = BTreeMap::new();
        for (id, heard) in &self.heard {
            let name = self.names[id].to_string();
            let alive = self.nodes[self.names[id]].disk.id == *id
                && self.nodes[self.names[id]].up.is_some()
                && !self.cut.contains(&self.names[id]);
            let heard = if alive { now } else { *heard };
            let since_contact = now.saturating_duration_since(heard);
            let missing_entries = r.progress(*id).map_or(0, |(m, _)| last - m);
            known.insert(
                *id,
                ReplicaStatus { name, may_vote: true, since_contact, missing_entries },
            );
        }
        let Some(next) = plan_repair(r.members(), VOTERS, &known) else { return };
        if let Some((r, _)) = self.nodes[i].up.as_mut() {
            let _ = r.change_members(now, next);
        }
        self.drain(i);
    }

    /// Whether all commands that were acknowledged are in the committed log.
    pub fn check_acknowledged(&self) {
        let held = |c: &Bytes| {
            self.committed.values().any(|e| matches!(&e.payload, Payload::Command(b) if b == c))
        };
        assert!(self.acknowledged.iter().all(held), "an acknowledged command is gone");
    }

    /// Whether every instance has applied everything.
    pub fn all_equal(&self) -> bool {
        let last = self.committed.keys().next_back().copied().unwrap_or(0);
        (0..INSTANCES).all(|i| self.replica(i).is_some_and(|r| r.commit_index() == last))
    }
}

fn restored(s: &Snapshot) -> StateMachine {
    if s.state.is_empty() {
        StateMachine::default()
    } else {
        StateMachine::restore(&s.state).unwrap()
    }
}

fn write(disk: &mut Disk, record: Record) {
    match record {
        Record::Entry(e) => disk.entries.push(e),
        Record::TruncateFrom(index) => disk.entries.retain(|e| e.index < index),
        Record::HardState(h) => disk.hard = h,
        Record::Commit(index) => disk.commit = index,
    }
}
