//! A simulated cluster of replicas with a seeded fake network and fake disks.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_core::control::Config;
use crocustally_core::control::StateMachine;
use crocustally_core::raft::Contacts;
use crocustally_core::raft::Entry;
use crocustally_core::raft::HardState;
use crocustally_core::raft::Log;
use crocustally_core::raft::Members;
use crocustally_core::raft::Message;
use crocustally_core::raft::Payload;
use crocustally_core::raft::Read;
use crocustally_core::raft::ReadState;
use crocustally_core::raft::Record;
use crocustally_core::raft::RepairSettings;
use crocustally_core::raft::Replica;
use crocustally_core::raft::ReplicaId;
use crocustally_core::raft::Role;
use crocustally_core::raft::Snapshot;
use crocustally_core::raft::plan_repair;
use crocustally_wire::Command;
use crocustally_wire::command::Kind;
use prost::Message as _;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Default number of instances: three voters and a learner.
pub const INSTANCES: usize = 4;
/// Default target number of voters.
const VOTERS: usize = 3;
/// Default catch-up time, that of the smallest deployments.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Simulated time per step.
const STEP: Duration = Duration::from_millis(10);
/// Interval between the hello rounds of a replica that knows a leader.
const HELLO_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between the hello rounds of other replicas.
const HELLO_INTERVAL_NO_LEADER: Duration = Duration::from_secs(1);
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
    /// What the running replica has heard from the others.
    contacts: Contacts,
    /// When the running replica became leader, if it leads.
    leader_since: Option<Instant>,
    next_hello: Instant,
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
    repair: RepairSettings,
    /// Instances that are partitioned from all others.
    pub partitioned: Vec<usize>,
    /// Instances whose processes are suspended; messages to them wait.
    pub frozen: Vec<usize>,
    pub message_loss: f64,
    leaders: HashMap<u64, ReplicaId>,
    committed: BTreeMap<u64, Entry>,
    /// Commands that the instance they were proposed to has reported as committed.
    pub acknowledged: Vec<Bytes>,
    pending_proposals: Vec<(usize, u64, u64, Bytes)>,
    /// Number of reads that were answered.
    pub reads_answered: usize,
    /// Instance of each unanswered read, and the newest policy acknowledged before it was sent.
    pending_reads: Vec<(usize, Read, Option<u64>)>,
}

impl Cluster {
    /// Creates a newly bootstrapped cluster of three voters and a learner.
    pub fn new(seed: u64) -> Self {
        Self::with_size(seed, INSTANCES, VOTERS, CATCH_UP)
    }

    /// Creates a newly bootstrapped cluster of `instances`, of which `voters` are voters.
    pub fn with_size(seed: u64, instances: usize, voters: usize, catch_up: Duration) -> Self {
        let mut c = Self::without_log(seed, instances, voters, catch_up);
        let ids: Vec<ReplicaId> = c.nodes.iter().map(|n| n.disk.id).collect();
        let members = Members {
            voters: ids[..voters].iter().copied().collect(),
            learners: ids[voters..].iter().copied().collect(),
        };
        c.found(0, members);
        c
    }

    /// Lets an instance with an empty log stand for election among `members`.
    pub fn found(&mut self, i: usize, members: Members) {
        let now = self.now;
        if let Some((r, _)) = self.nodes[i].running.as_mut() {
            r.found(now, members);
        }
        self.process_ready(i);
    }

    /// Identity of an instance's replica.
    pub fn id(&self, i: usize) -> ReplicaId {
        self.nodes[i].disk.id
    }

    /// Creates a cluster of running instances with empty logs, of which `voters` will be voters.
    pub fn without_log(seed: u64, instances: usize, voters: usize, catch_up: Duration) -> Self {
        let mut c = Self {
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            next_id: 0,
            instance_of: HashMap::new(),
            repair: RepairSettings { voters, catch_up },
            partitioned: Vec::new(),
            frozen: Vec::new(),
            message_loss: 0.0,
            leaders: HashMap::new(),
            committed: BTreeMap::new(),
            acknowledged: Vec::new(),
            pending_proposals: Vec::new(),
            reads_answered: 0,
            pending_reads: Vec::new(),
        };
        for _ in 0..instances {
            let i = c.add_instance();
            c.start(i);
        }
        c
    }

    /// Adds an instance with an empty disk, not yet started; returns its index.
    pub fn add_instance(&mut self) -> usize {
        let i = self.nodes.len();
        let disk = self.new_disk(i);
        self.nodes.push(Node {
            disk,
            running: None,
            contacts: Contacts::default(),
            leader_since: None,
            next_hello: self.now,
            max_version: 0,
            disk_was_lost: true,
        });
        i
    }

    /// Number of instances, including those that are gone.
    pub fn instances(&self) -> usize {
        self.nodes.len()
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
        self.nodes[i].contacts = Contacts::default();
        self.nodes[i].leader_since = None;
        self.nodes[i].next_hello = self.now;
        self.process_ready(i);
    }

    /// Kills an instance; all state that is not on its disk is lost.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].running = None;
        self.pending_proposals.retain(|p| p.0 != i);
        self.pending_reads.retain(|p| p.0 != i);
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
        (0..self.instances()).filter(is_leader).max_by_key(|i| self.replica(*i).unwrap().term())
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

    /// Sends a read of the policy to an instance; its answer must be as new as any policy acknowledged
    /// before.
    pub fn read(&mut self, i: usize) {
        let newest = self.acknowledged.iter().filter_map(policy_version).max();
        let now = self.now;
        let Some((r, _)) = self.nodes[i].running.as_mut() else { return };
        let Ok(read) = r.read(now) else { return };
        self.pending_reads.push((i, read, newest));
        self.process_ready(i);
    }

    fn answer_reads(&mut self, i: usize) {
        let Some((r, machine)) = self.nodes[i].running.as_ref() else { return };
        let answered = &mut self.reads_answered;
        self.pending_reads.retain(|(at, read, newest)| {
            if *at != i {
                return true;
            }
            let state = r.read_state(read);
            if state == ReadState::Ready {
                let version = machine.policy_version();
                assert!(version >= *newest, "read {version:?}, but {newest:?} was acknowledged");
                *answered += 1;
            }
            state == ReadState::Waiting
        });
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
        for i in 0..self.instances() {
            if self.frozen.contains(&i) {
                continue;
            }
            let now = self.now;
            if let Some((r, _)) = self.nodes[i].running.as_mut() {
                r.tick(now);
            }
            self.process_ready(i);
            self.hello(i);
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
            let blocked = a != b && !self.connected(a, b);
            let now = self.now;
            if self.frozen.contains(&b) {
                self.messages_sent += 1;
                self.in_flight.insert((now + STEP, self.messages_sent), (from, to, m));
                continue;
            }
            let node = &mut self.nodes[b];
            let Some((r, _)) = node.running.as_mut() else { continue };
            if blocked || r.id() != to {
                continue;
            }
            node.contacts.record(now, from);
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
        self.answer_reads(i);
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

    fn connected(&self, a: usize, b: usize) -> bool {
        !self.partitioned.contains(&a) && !self.partitioned.contains(&b)
    }

    /// Announces a running instance to all that it can reach, as the rounds of hello calls do.
    fn hello(&mut self, i: usize) {
        let now = self.now;
        let Some((r, _)) = self.nodes[i].running.as_ref() else { return };
        if now < self.nodes[i].next_hello {
            return;
        }
        let interval = if r.leader().is_some() { HELLO_INTERVAL } else { HELLO_INTERVAL_NO_LEADER };
        self.nodes[i].next_hello = now + interval;
        let id = self.nodes[i].disk.id;
        for other in (0..self.instances()).filter(|o| *o != i) {
            let reached = self.connected(i, other) && !self.frozen.contains(&other);
            if !reached || self.nodes[other].running.is_none() {
                continue;
            }
            let other_id = self.nodes[other].disk.id;
            self.nodes[other].contacts.record_name(now, id, i.to_string());
            self.nodes[i].contacts.record_name(now, other_id, other.to_string());
        }
    }

    /// Proposes the next repair step on a leader, as its driver does.
    fn repair(&mut self, i: usize) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let Some((r, _)) = node.running.as_mut() else { return };
        if r.role() != Role::Leader {
            node.leader_since = None;
            return;
        }
        let since = *node.leader_since.get_or_insert(now);
        if !r.has_committed_in_term() {
            return;
        }
        let known = node.contacts.statuses(now, since, r, &[]);
        let Some(next) = plan_repair(r.members(), &self.repair, &known) else { return };
        let _ = r.change_members(now, next);
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
        (0..self.instances()).all(|i| self.replica(i).is_some_and(|r| r.commit_index() == last))
    }
}

/// Version of the policy that a command holds, if it holds one.
fn policy_version(command: &Bytes) -> Option<u64> {
    match Command::decode(&command[..]).ok().and_then(|c| c.kind) {
        Some(Kind::Policy(p)) => Some(p.version),
        _ => None,
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
