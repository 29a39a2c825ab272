//! Peers that a replica gets to know, without servers of their own.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::raft::RepairSettings;
use crocustally_core::raft::ReplicaId;
use crocustally_log::LogHandle;
use crocustally_log::LogSettings;
use crocustally_log::PeerSettings;
use crocustally_net::Clock;
use crocustally_net::Runtime;
use crocustally_net::SystemClock;
use crocustally_wire::HelloRequest;

fn settings(data: PathBuf) -> LogSettings {
    LogSettings {
        name: "127.0.0.1:1".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        source: None,
        data: Some(data),
        peers: Vec::new(),
        initial_voter: false,
        found_by_majority: true,
        repair: RepairSettings { voters: 3, catch_up: Duration::from_secs(4) },
        may_vote: Vec::new(),
        forget_after: None,
    }
}

/// Guards against a replica that can neither respond nor propose to a leader that it knows only by its
/// messages, until the next round of hello calls: the name of a control instance is its address.
#[test]
fn replica_responds_to_a_leader_that_it_knows_only_by_its_messages() {
    let rt = Runtime::start(1);
    let data = std::env::temp_dir().join(format!("log-peers-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&data);
    let (log, _changed) =
        LogHandle::start(&rt, settings(data.clone()), Arc::new(SystemClock)).unwrap();
    log.receive(ReplicaId(7), ReplicaId(8), "127.0.0.1:2".to_owned(), Vec::new());
    log.receive(ReplicaId(9), ReplicaId(8), "entry-2".to_owned(), Vec::new());
    let names: Vec<String> = log.peers().into_iter().map(|(name, _)| name).collect();
    log.stop();
    let _ = std::fs::remove_dir_all(&data);
    assert_eq!(names, ["127.0.0.1:2"]);
}

/// The system's clock, which a test sets forward.
#[derive(Debug, Default)]
struct ShiftedClock {
    ahead: Mutex<Duration>,
}

impl Clock for ShiftedClock {
    fn now(&self) -> Instant {
        SystemClock.now() + *self.ahead.lock().unwrap()
    }

    fn unix_ms(&self) -> u64 {
        SystemClock.unix_ms()
    }
}

/// Waits until the condition holds.
fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline && !condition() {
        std::thread::sleep(Duration::from_millis(50));
    }
    condition()
}

/// Guards against instances that are gone for good but called by all others, and named to gateways, for
/// ever; and against an instance that forgets others while it is itself cut off.
#[test]
fn peers_that_are_gone_are_forgotten_by_those_that_know_a_leader() {
    let rt = Runtime::start(1);
    let forget_after = Duration::from_secs(60);
    let address = |port: u16| format!("127.0.0.1:{port}");
    let seed =
        PeerSettings { name: address(3), address: address(3).parse().unwrap(), voter: false };
    for founds in [true, false] {
        let data = std::env::temp_dir().join(format!("log-gone-{}-{founds}", std::process::id()));
        let _ = std::fs::remove_dir_all(&data);
        let clock = Arc::new(ShiftedClock::default());
        let cfg = LogSettings {
            peers: vec![seed.clone()],
            initial_voter: founds,
            repair: RepairSettings { voters: 1, catch_up: Duration::from_secs(4) },
            forget_after: Some(forget_after),
            ..settings(data.clone())
        };
        let (log, _changed) = LogHandle::start(&rt, cfg, clock.clone()).unwrap();
        let names = || -> Vec<String> { log.peers().into_iter().map(|(name, _)| name).collect() };
        let hello =
            |port| HelloRequest { name: address(port), identity: 9, address: address(port) };
        log.hello(hello(2));
        assert!(!founds || wait_until(Duration::from_secs(20), || log.is_leader()));
        assert_eq!(names(), [address(2), address(3)]);
        *clock.ahead.lock().unwrap() += forget_after;
        // Several rounds of hello calls.
        let rounds = Duration::from_secs(if founds { 20 } else { 4 });
        let forgotten = wait_until(rounds, || names() == [address(3)]);
        assert_eq!(forgotten, founds, "leader known: {founds}, peers {:?}", names());
        let named = log.hello(hello(4)).peers.into_iter().any(|p| p.name == address(2));
        assert_eq!(named, !founds);
        // One that was only cut off is back with its next hello call.
        log.hello(hello(2));
        assert_eq!(names(), [address(2), address(3), address(4)]);
        log.stop();
        let _ = std::fs::remove_dir_all(&data);
    }
}
