//! Leadership beside slow disks: a model of three drivers, each of which handles events, writes and
//! syncs its journal, and then sends, in this order and on one thread.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_core::raft::Log;
use crocustally_core::raft::Members;
use crocustally_core::raft::Message;
use crocustally_core::raft::Payload;
use crocustally_core::raft::Replica;
use crocustally_core::raft::ReplicaId;
use crocustally_core::raft::Role;

/// Number of replicas.
const REPLICAS: u64 = 3;
/// Step of the model.
const STEP: Duration = Duration::from_millis(1);
/// Interval between ticks of a driver.
const TICK: Duration = Duration::from_millis(20);
/// Interval between proposals: changes and reads, each an entry.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a leader in a model run that starts, after which leadership is judged.
const START_TIME: Duration = Duration::from_secs(15);
/// Time for which leadership is judged.
const JUDGED_TIME: Duration = Duration::from_secs(120);

struct Driver {
    replica: Replica,
    inbox: Vec<(ReplicaId, Message)>,
    /// Messages that leave once the journal is synced.
    outbox: Vec<(ReplicaId, Message)>,
    busy_until: Instant,
    next_tick: Instant,
}

/// Outcome of a model run.
#[derive(Debug, Default)]
struct Outcome {
    /// Number of times that a replica became leader in the judged time.
    elected: usize,
    /// Judged time without a leader.
    leaderless: Duration,
    /// Commands applied by leaders in the judged time.
    applied: usize,
}

fn play(seed: u64, operation: Duration) -> Outcome {
    let start = Instant::now();
    let ids: Vec<ReplicaId> = (1..=REPLICAS).map(ReplicaId).collect();
    let members = Members { voters: ids.iter().copied().collect(), ..Members::default() };
    let mut drivers: Vec<Driver> = Vec::new();
    for id in &ids {
        let mut replica =
            Replica::new(*id, Default::default(), Log::default(), 0, start, seed + id.0);
        if id.0 == 1 {
            replica.found(start, members.clone());
        }
        let (inbox, outbox) = Default::default();
        drivers.push(Driver { replica, inbox, outbox, busy_until: start, next_tick: start });
    }
    // A batch takes a write and a sync.
    let batch = 2 * operation;
    let mut outcome = Outcome::default();
    let mut now = start;
    let mut next_proposal = start;
    while now < start + START_TIME + JUDGED_TIME {
        now += STEP;
        let judged = now >= start + START_TIME;
        let mut sent = Vec::new();
        let propose = now >= next_proposal;
        if propose {
            next_proposal = now + PROPOSAL_INTERVAL;
        }
        for d in &mut drivers {
            let proposed = propose && d.replica.role() == Role::Leader;
            if proposed {
                let _ = d.replica.propose(d.busy_until.max(now), Bytes::from_static(b"command"));
            }
            if now < d.busy_until {
                continue;
            }
            sent.extend(d.outbox.drain(..).map(|(to, m)| (d.replica.id(), to, m)));
            if d.inbox.is_empty() && !proposed && now < d.next_tick {
                continue;
            }
            d.next_tick = now + TICK;
            let was_leader = d.replica.role() == Role::Leader;
            for (from, m) in std::mem::take(&mut d.inbox) {
                d.replica.handle_message(now, from, m);
            }
            d.replica.tick(now);
            let leads = d.replica.role() == Role::Leader;
            outcome.elected += usize::from(judged && leads && !was_leader);
            let mut ready = d.replica.ready();
            let early = ready.take_early_messages();
            sent.extend(early.into_iter().map(|(to, m)| (d.replica.id(), to, m)));
            let commands = |p: &Payload| matches!(p, Payload::Command(_));
            let applied = ready.committed.iter().filter(|e| commands(&e.payload)).count();
            if judged && leads {
                outcome.applied += applied;
            }
            let written = !ready.records.is_empty() || ready.snapshot.is_some();
            d.busy_until = if written { now + batch } else { now };
            d.outbox = ready.messages;
            if !written {
                sent.extend(d.outbox.drain(..).map(|(to, m)| (d.replica.id(), to, m)));
            }
        }
        for (from, to, m) in sent {
            let to = drivers.iter_mut().find(|d| d.replica.id() == to).unwrap();
            to.inbox.push((from, m));
        }
        if judged && !drivers.iter().any(|d| d.replica.role() == Role::Leader) {
            outcome.leaderless += STEP;
        }
    }
    outcome
}

fn assert_stable(operation: Duration) {
    for seed in 0..8 {
        let outcome = play(seed, operation);
        let stable = outcome.elected == 0 && outcome.leaderless == Duration::ZERO;
        assert!(stable && outcome.applied > 0, "{operation:?}, seed {seed}: {outcome:?}");
    }
}

/// Guards against a leader that is lost, or never elected, because a write and a sync take longer
/// than the wait for votes and replies allows.
#[test]
fn leader_stays_while_writes_and_syncs_take_200_ms() {
    for ms in [1, 50, 100, 200] {
        assert_stable(Duration::from_millis(ms));
    }
}

/// Guards against the same on the slowest disks.
#[test]
fn leader_stays_while_writes_and_syncs_take_500_ms() {
    assert_stable(Duration::from_millis(500));
}
