//! Peers that a replica gets to know, without servers of their own.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crocustally_core::raft::RepairSettings;
use crocustally_core::raft::ReplicaId;
use crocustally_log::LogHandle;
use crocustally_log::LogSettings;
use crocustally_net::Runtime;
use crocustally_net::SystemClock;

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
