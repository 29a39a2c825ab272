//! A simulated cluster of replicas with a seeded fake network and fake disks.

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

/// Number of instances: three voters and a learner.
pub const INSTANCES: usize = 4;
/// Target number of voters.
const VOTERS: usize = 3;
/// Simulated time per step.
const STEP: Duration = Duration::from_millis(10);
/// Log length at which a replica takes a snapshot.
const COMPACT_ENTRIES: usize = 24;

/// Contents of a fake disk; written only with the records and snapshots that `ready` returns and
/// with the snapshots and commit indexes that the driver records.
#[derive(Clone, Default)]
struct Disk {
    id: ReplicaId,
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    commit: u64,
}

/// An instance of the cluster.
struct Node {
    disk: Disk,
    running: Option<(Replica, StateMachine)>,
    /// Highest configuration version seen; must not decrease across restarts. Only a lost disk may
    /// lower the version until the replica has caught up.
    max_version: u64,
    disk_was_lost: bool,
}

impl Node {
    /// Persists the commit index before a new configuration version takes effect, as the driver
    /// does, and checks that the version does not decrease.
    fn record_version(&mut self, applied: Option<u64>) {
        let Some((_, machine)) = self.running.as_ref() else { return };
        let version = machine.config().version;
        if version > self.max_version {
            self.disk.commit = applied.unwrap_or(self.disk.commit).max(self.disk.commit);
            self.max_version = version;
            self.disk_was_lost = false;
        }
        assert!(
            version == self.max_version || self.disk_was_lost,
            "the configuration version decreased"
        );
    }
}

/// The simulated cluster.
pub struct Cluster {
    pub now: Instant,
    pub rng: ChaCha8Rng,
    nodes: Vec<Node>,
    in_flight: BTreeMap<(Instant, u64), (ReplicaId, ReplicaId, Message)>,
    messages_sent: u64,
    next_id: u64,
    instance_of: HashMap<ReplicaId, usize>,
    last_contact: HashMap<ReplicaId, Instant>,
    /// Instances that are partitioned from all others.
    pub partitioned: Vec<usize>,
    pub message_loss: f64,
    leaders: HashMap<u64, ReplicaId>,
    committed: BTreeMap<u64, Entry>,
    /// Commands that the instance they were proposed to has reported as committed.
    pub acknowledged: Vec<Bytes>,
    pending_proposals: Vec<(usize, u64, u64, Bytes)>,
}

impl Cluster {
    /// Creates a newly bootstrapped cluster of three voters and a learner.
    pub fn new(seed: u64) -> Self {
        let mut c = Self {
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            next_id: 0,
            instance_of: HashMap::new(),
            last_contact: HashMap::new(),
            partitioned: Vec::new(),
            message_loss: 0.0,
            leaders: HashMap::new(),
            committed: BTreeMap::new(),
            acknowledged: Vec::new(),
            pending_proposals: Vec::new(),
        };
        for _ in 0..INSTANCES {
            let disk = Disk::default();
            c.nodes.push(Node { disk, running: None, max_version: 0, disk_was_lost: false });
        }
        for i in 0..INSTANCES {
            c.nodes[i].disk = c.new_disk(i);
            c.start(i);
        }
        let ids: Vec<ReplicaId> = c.nodes.iter().map(|n| n.disk.id).collect();
        let members = Members {
            voters: ids[..VOTERS].iter().copied().collect(),
            learners: ids[VOTERS..].iter().copied().collect(),
        };
        c.nodes[0].running.as_mut().unwrap().0.bootstrap(members);
        c.process_ready(0);
        c
    }

    fn new_disk(&mut self, i: usize) -> Disk {
        self.next_id += 1;
        let id = ReplicaId(self.next_id);
        self.instance_of.insert(id, i);
        Disk { id, ..Disk::default() }
    }

    /// Starts an instance from its disk, unless it is running.
    pub fn start(&mut self, i: usize) {
        if self.nodes[i].running.is_some() {
            return;
        }
        let d = &self.nodes[i].disk;
        let log = Log::new(d.snapshot.clone(), d.entries.clone());
        let seed = self.rng.random();
        let replica = Replica::new(d.id, d.hard_state, log, d.commit, self.now, seed);
        let machine = restore_machine(&d.snapshot);
        self.nodes[i].running = Some((replica, machine));
        self.process_ready(i);
        self.last_contact.insert(self.nodes[i].disk.id, self.now);
    }

    /// Kills an instance; all state that is not on its disk is lost.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].running = None;
        self.pending_proposals.retain(|p| p.0 != i);
    }

    /// Kills an instance and replaces its disk by an empty one with a new replica identity.
    pub fn lose_disk(&mut self, i: usize) {
        self.kill(i);
        self.nodes[i].disk = self.new_disk(i);
        self.nodes[i].disk_was_lost = true;
    }

    /// Whether all instances are running.
    pub fn all_up(&self) -> bool {
        self.nodes.iter().all(|n| n.running.is_some())
    }

    /// Whether an instance is a voter in the current leader's latest membership.
    pub fn is_voter(&self, i: usize) -> bool {
        let id = self.nodes[i].disk.id;
        self.leader().is_some_and(|l| self.replica(l).unwrap().members().is_voter(id))
    }

    /// Number of voters once the leader's latest membership is committed, else 0. A repair is
    /// complete only when its last membership change is committed.
    pub fn voters(&self) -> usize {
        let committed = |r: &&Replica| r.members_committed();
        let leader = self.leader().and_then(|l| self.replica(l)).filter(committed);
        leader.map_or(0, |r| r.members().voters.len())
    }

    /// The leader with the highest term, if any.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |i: &usize| self.replica(*i).is_some_and(|r| r.role() == Role::Leader);
        (0..INSTANCES).filter(is_leader).max_by_key(|i| self.replica(*i).unwrap().term())
    }

    /// The replica of an instance, if it is running.
    pub fn replica(&self, i: usize) -> Option<&Replica> {
        self.nodes[i].running.as_ref().map(|(r, _)| r)
    }

    /// The configuration on an instance, if it is running.
    pub fn config(&self, i: usize) -> Option<&Config> {
        self.nodes[i].running.as_ref().map(|(_, m)| &**m.config())
    }

    /// The state machine of an instance, if it is running.
    pub fn machine(&self, i: usize) -> Option<&StateMachine> {
        self.nodes[i].running.as_ref().map(|(_, m)| m)
    }

    /// Proposes a command on an instance; returns whether the instance accepted it. The command
    /// counts as acknowledged once that instance reports it committed.
    pub fn propose(&mut self, i: usize, command: Bytes) -> bool {
        let now = self.now;
        let Some((r, _)) = self.nodes[i].running.as_mut() else { return false };
        let Ok(index) = r.propose(now, command.clone()) else { return false };
        let term = r.term();
        self.pending_proposals.push((i, index, term, command));
        self.process_ready(i);
        true
    }

    /// Runs the simulation for `duration`.
    pub fn run(&mut self, duration: Duration) {
        let deadline = self.now + duration;
        while self.now < deadline {
            self.step();
        }
    }

    /// Runs until `condition` holds, for at most `timeout`; returns whether it holds.
    pub fn run_until(&mut self, timeout: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let deadline = self.now + timeout;
        while self.now < deadline && !condition(self) {
            self.step();
        }
        condition(self)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for i in 0..INSTANCES {
            let now = self.now;
            if let Some((r, _)) = self.nodes[i].running.as_mut() {
                r.tick(now);
            }
            self.process_ready(i);
            self.repair(i);
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            let (from, to, m) = first.remove();
            let (Some(&a), Some(&b)) = (self.instance_of.get(&from), self.instance_of.get(&to))
            else {
                continue;
            };
            let blocked =
                a != b && (self.partitioned.contains(&a) || self.partitioned.contains(&b));
            let now = self.now;
            let Some((r, _)) = self.nodes[b].running.as_mut() else { continue };
            if blocked || r.id() != to {
                continue;
            }
            self.last_contact.insert(from, now);
            r.handle_message(now, from, m);
            self.process_ready(b);
        }
    }

    /// Carries out an instance's pending work (sync, apply, send) and checks the invariants.
    fn process_ready(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let Some((r, machine)) = node.running.as_mut() else { return };
        let ready = r.ready();
        let from = r.id();
        if r.role() == Role::Leader {
            let first = *self.leaders.entry(r.term()).or_insert(from);
            assert_eq!(first, from, "two leaders in term {}", r.term());
        }
        if let Some(s) = ready.snapshot {
            *machine = restore_machine(&s);
            node.disk.entries = r.log().entries().cloned().collect();
            node.disk.hard_state = r.hard_state();
            node.disk.commit = s.index;
            node.disk.snapshot = s;
        } else {
            ready.records.into_iter().for_each(|record| apply_record(&mut node.disk, record));
        }
        let applied = ready.committed.last().map(|e| e.index);
        for e in ready.committed {
            let first = self.committed.entry(e.index).or_insert_with(|| e.clone());
            assert_eq!(*first, e, "two entries committed at index {}", e.index);
            if let Payload::Command(buf) = &e.payload {
                machine.apply(e.index, buf);
            }
        }
        node.record_version(applied);
        for (to, m) in ready.messages {
            self.send(from, to, m);
        }
        self.acknowledge(i);
        self.compact(i);
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, m: Message) {
        if self.rng.random_bool(self.message_loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.message_loss / 2.0) { 2 } else { 1 };
        for _ in 0..copies {
            let delayed = self.message_loss > 0.0 && self.rng.random_bool(0.05);
            let ms =
                if delayed { self.rng.random_range(0..2000) } else { self.rng.random_range(1..20) };
            self.messages_sent += 1;
            let at = self.now + Duration::from_millis(ms);
            self.in_flight.insert((at, self.messages_sent), (from, to, m.clone()));
        }
    }

    fn acknowledge(&mut self, i: usize) {
        let Some(r) = self.replica(i) else { return };
        let commit = r.commit_index();
        let mut acknowledged = Vec::new();
        let committed = &self.committed;
        self.pending_proposals.retain(|(at, index, term, command)| {
            if *at != i || *index > commit {
                return true;
            }
            if committed.get(index).is_some_and(|e| e.term == *term) {
                acknowledged.push(command.clone());
            }
            false
        });
        self.acknowledged.extend(acknowledged);
    }

    fn compact(&mut self, i: usize) {
        let Some((r, machine)) = self.nodes[i].running.as_mut() else { return };
        if r.log().len() < COMPACT_ENTRIES {
            return;
        }
        let snapshot = r.compact(machine.state());
        let entries = r.log().entries().cloned().collect();
        self.nodes[i].disk.snapshot = snapshot;
        self.nodes[i].disk.entries = entries;
    }

    /// Proposes the next repair step on a leader, as its driver does.
    fn repair(&mut self, i: usize) {
        let now = self.now;
        let Some((r, _)) = self.nodes[i].running.as_ref() else { return };
        if !r.has_committed_in_term() {
            return;
        }
        let last = r.log().last_index();
        let mut known = BTreeMap::new();
        for (id, at) in &self.last_contact {
            let name = self.instance_of[id].to_string();
            let alive = self.nodes[self.instance_of[id]].disk.id == *id
                && self.nodes[self.instance_of[id]].running.is_some()
                && !self.partitioned.contains(&self.instance_of[id]);
            let last_contact = if alive { now } else { *at };
            let since_contact = now.saturating_duration_since(last_contact);
            let missing_entries = r.progress(*id).map_or(0, |(m, _)| last - m);
            known.insert(
                *id,
                ReplicaStatus { name, may_vote: true, since_contact, missing_entries },
            );
        }
        let Some(next) = plan_repair(r.members(), VOTERS, &known) else { return };
        if let Some((r, _)) = self.nodes[i].running.as_mut() {
            let _ = r.change_members(now, next);
        }
        self.process_ready(i);
    }

    /// Asserts that all acknowledged commands are in the committed log.
    pub fn check_acknowledged(&self) {
        let is_committed = |c: &Bytes| {
            self.committed.values().any(|e| matches!(&e.payload, Payload::Command(b) if b == c))
        };
        assert!(self.acknowledged.iter().all(is_committed), "an acknowledged command was lost");
    }

    /// Whether all instances are running and have committed the last entry.
    pub fn all_caught_up(&self) -> bool {
        let last = self.committed.keys().next_back().copied().unwrap_or(0);
        (0..INSTANCES).all(|i| self.replica(i).is_some_and(|r| r.commit_index() == last))
    }
}

fn restore_machine(s: &Snapshot) -> StateMachine {
    if s.state.is_empty() {
        StateMachine::default()
    } else {
        StateMachine::restore(&s.state).unwrap()
    }
}

fn apply_record(disk: &mut Disk, record: Record) {
    match record {
        Record::Entry(e) => disk.entries.push(e),
        Record::TruncateFrom(index) => disk.entries.retain(|e| e.index < index),
        Record::HardState(h) => disk.hard_state = h,
        Record::Commit(index) => disk.commit = index,
    }
}
