//! Policy documents in the replicated state machine: versions, and the absence of one.
#![allow(clippy::unwrap_used)]

use crocustally_core::control::StateMachine;
use crocustally_wire::Command;
use crocustally_wire::MachineState;
use crocustally_wire::PolicyDocument;
use crocustally_wire::command::Kind;
use crocustally_wire::outcome::Kind as OutcomeKind;
use prost::Message;

fn commit(machine: &mut StateMachine, version: u64, text: &str) {
    let document = PolicyDocument::compress(version, text.as_bytes());
    let command = Command { kind: Some(Kind::Policy(document)) };
    machine.apply(machine.last_applied() + 1, &command.encode_to_vec());
}

/// What a read returns, through the log and without an entry in it.
fn read(machine: &StateMachine) -> Option<(u64, String)> {
    let command = Command { kind: Some(Kind::ReadPolicy(true)) }.encode_to_vec();
    let outcome = machine.read(&command).unwrap();
    let logged = machine.clone().apply(machine.last_applied() + 1, &command);
    assert_eq!(outcome, logged);
    let Some(OutcomeKind::Policy(document)) = outcome.kind else { panic!("{outcome:?}") };
    let document = document.into_present()?;
    Some((document.version, String::from_utf8(document.text().unwrap().to_vec()).unwrap()))
}

fn restart(machine: &StateMachine) -> StateMachine {
    StateMachine::restore(&machine.state()).unwrap()
}

/// Guards against a first policy of version 0 that is acknowledged and lost (review case 10).
#[test]
fn version_0_is_held_from_its_commit_on() {
    let mut machine = StateMachine::default();
    assert_eq!((machine.policy_version(), read(&machine)), (None, None));
    commit(&mut machine, 0, "first");
    assert_eq!(read(&machine), Some((0, "first".to_owned())));
    assert_eq!(read(&restart(&machine)), Some((0, "first".to_owned())));
}

/// Guards against other content under the version held, and an older version, that take effect.
#[test]
fn only_a_higher_version_replaces_version_0() {
    let mut machine = StateMachine::default();
    commit(&mut machine, 0, "first");
    commit(&mut machine, 0, "other");
    assert_eq!(read(&machine), Some((0, "first".to_owned())));
    commit(&mut machine, 1, "second");
    commit(&mut machine, 0, "first");
    assert_eq!(read(&restart(&machine)), Some((1, "second".to_owned())));
}

/// Guards against snapshots whose reader takes "no policy" for version 0, or the other way round.
#[test]
fn absence_of_a_policy_outlives_a_snapshot() {
    let empty = restart(&StateMachine::default());
    assert_eq!((empty.policy_version(), read(&empty)), (None, None));
    // Earlier releases wrote an empty document.
    let state = MachineState::decode(&StateMachine::default().state()[..]).unwrap();
    let earlier = MachineState { policy: Some(PolicyDocument::default()), ..state };
    let mut machine = StateMachine::restore(&earlier.encode_to_vec()).unwrap();
    assert_eq!((machine.policy_version(), read(&machine)), (None, None));
    commit(&mut machine, 0, "first");
    assert_eq!(read(&machine), Some((0, "first".to_owned())));
}
