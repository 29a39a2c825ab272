//! Tests of the order of membership changes in a repair.

use std::collections::BTreeMap;
use std::time::Duration;

use crocustally_core::raft::Members;
use crocustally_core::raft::RepairSettings;
use crocustally_core::raft::ReplicaId;
use crocustally_core::raft::ReplicaStatus;
use crocustally_core::raft::plan_repair;

const SETTINGS: RepairSettings = RepairSettings { voters: 3, catch_up: Duration::from_secs(4) };

fn known(list: &[(u64, &str, u64, u64)]) -> BTreeMap<ReplicaId, ReplicaStatus> {
    let to_status = |&(id, name, since_contact_ms, missing_entries): &(u64, &str, u64, u64)| {
        let name = name.to_owned();
        let since_contact = Duration::from_millis(since_contact_ms);
        (ReplicaId(id), ReplicaStatus { name, may_vote: true, since_contact, missing_entries })
    };
    list.iter().map(to_status).collect()
}

fn members(voters: &[u64], learners: &[u64]) -> Members {
    Members {
        voters: voters.iter().copied().map(ReplicaId).collect(),
        learners: learners.iter().copied().map(ReplicaId).collect(),
    }
}

/// Applies planned changes until none is left, checking that each changes at most one voter.
fn apply_changes(mut m: Members, known: &BTreeMap<ReplicaId, ReplicaStatus>) -> Vec<Members> {
    let mut steps = Vec::new();
    while let Some(next) = plan_repair(&m, &SETTINGS, known) {
        assert!(m.is_single_voter_change(&next), "{m:?} to {next:?}");
        assert!(steps.len() < 10, "repair does not terminate: {steps:?}");
        steps.push(next.clone());
        m = next;
    }
    steps
}

#[test]
fn disk_loss_adds_learner_then_removes_old_voter_then_promotes_learner() {
    let k = known(&[(1, "a", 1500, 9), (2, "b", 0, 0), (3, "c", 50, 0), (11, "a", 50, 0)]);
    let steps = apply_changes(members(&[1, 2, 3], &[]), &k);
    let expected = [members(&[1, 2, 3], &[11]), members(&[2, 3], &[11]), members(&[2, 3, 11], &[])];
    assert_eq!(steps, expected);
}

#[test]
fn superseded_identity_is_not_readmitted() {
    let k = known(&[
        (1, "a", 1500, 9),
        (2, "b", 0, 0),
        (3, "c", 50, 0),
        (4, "d", 50, 0),
        (11, "a", 50, 0),
    ]);
    let steps = apply_changes(members(&[1, 2, 3], &[4]), &k);
    assert_eq!(steps.last(), Some(&members(&[2, 3, 4], &[11])), "{steps:?}");
}

#[test]
fn lost_voter_is_kept_until_learner_has_caught_up() {
    let k = known(&[(1, "a", 60_000, 0), (2, "b", 0, 0), (3, "c", 50, 0), (4, "d", 50, 900)]);
    assert_eq!(apply_changes(members(&[1, 2, 3], &[4]), &k), []);
}
