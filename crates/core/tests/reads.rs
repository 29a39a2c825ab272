//! Reads of the policy without an entry in the log, while leaders are frozen, cut off, killed and
//! replaced, and messages are lost, late and doubled.
//!
//! `READ_SEEDS=0..5000 cargo test --release -p crocustally_core --test reads` plays other seeds.
#![allow(clippy::unwrap_used, dead_code)]

mod cluster;

use std::time::Duration;

use bytes::Bytes;
use cluster::Cluster;
use cluster::INSTANCES;
use crocustally_wire::Command;
use crocustally_wire::PolicyDocument;
use crocustally_wire::command::Kind;
use prost::Message;
use rand::RngExt;

const SECOND: Duration = Duration::from_secs(1);
/// Number of faults in a run.
const FAULTS: usize = 60;

fn policy(version: u64) -> Bytes {
    let kind = Some(Kind::Policy(PolicyDocument::compress(version, b"{}")));
    Command { kind }.encode_to_vec().into()
}

fn inject_fault(c: &mut Cluster) {
    let any = c.rng.random_range(0..c.instances());
    // Most faults hit the leader, whose reads are to be refused or confirmed.
    let i = c.leader().filter(|_| c.rng.random_bool(0.7)).unwrap_or(any);
    match c.rng.random_range(0..12) {
        0 => c.kill(i),
        1 => (0..c.instances()).for_each(|i| c.start(i)),
        2..5 => c.partitioned = vec![i],
        5 => c.partitioned.clear(),
        6..9 => c.frozen = vec![i],
        9 => c.frozen.clear(),
        10 if c.all_up() && c.voters() == 3 && c.partitioned.is_empty() && c.frozen.is_empty() => {
            c.lose_disk(i);
            c.start(i);
            let repaired = |c: &Cluster| c.voters() == 3 && c.is_voter(i) && c.all_caught_up();
            c.run_until(40 * SECOND, repaired);
        }
        _ => {}
    }
}

/// Sends a read to every instance that isn't frozen; one whose freeze ends now answers first of all.
fn read_everywhere(c: &mut Cluster) {
    for i in 0..c.instances() {
        if !c.frozen.contains(&i) {
            c.read(i);
        }
    }
}

/// Plays a seed; the cluster checks each answer. Returns the number of answers.
fn play(seed: u64) -> usize {
    let mut c = Cluster::new(seed);
    let leads =
        |c: &Cluster| c.leader().is_some_and(|l| c.replica(l).unwrap().has_committed_in_term());
    let started = c.run_until(5 * SECOND, |c| leads(c) && c.all_caught_up());
    assert!(started, "seed {seed}: not started");
    c.message_loss = c.rng.random_range(0.0..0.2);
    let mut version = 0;
    for _ in 0..FAULTS {
        inject_fault(&mut c);
        read_everywhere(&mut c);
        for _ in 0..c.rng.random_range(1..6) {
            for i in (0..c.instances()).filter(|i| !c.frozen.contains(i)).collect::<Vec<_>>() {
                c.propose(i, policy(version));
            }
            version += 1;
            let ms = c.rng.random_range(5..800);
            c.run(Duration::from_millis(ms));
            read_everywhere(&mut c);
        }
    }
    let faulty = c.reads_answered;
    c.message_loss = 0.0;
    c.partitioned.clear();
    c.frozen.clear();
    (0..INSTANCES).for_each(|i| c.start(i));
    c.run(10 * SECOND);
    let before = c.reads_answered;
    read_everywhere(&mut c);
    c.run(SECOND);
    assert!(c.reads_answered > before, "seed {seed}: no read is answered after the faults");
    faulty
}

/// Guards against a read that misses a policy acknowledged before it was sent, answered by a leader that
/// has been superseded or has just been elected, and against reads that are never answered.
#[test]
fn answered_reads_return_everything_acknowledged_before() {
    let text = std::env::var("READ_SEEDS").unwrap_or("0..100".to_owned());
    let (from, to) = text.split_once("..").unwrap();
    let (from, to): (u64, u64) = (from.parse().unwrap(), to.parse().unwrap());
    let answered: usize = std::thread::scope(|scope| {
        let play_share = |t| (from..to).filter(|s| s % 4 == t).map(play).sum::<usize>();
        let threads: Vec<_> = (0..4).map(|t| scope.spawn(move || play_share(t))).collect();
        threads.into_iter().map(|t| t.join().unwrap()).sum()
    });
    println!("{answered} reads answered during faults");
    assert!(answered > 0, "no read was answered");
}
