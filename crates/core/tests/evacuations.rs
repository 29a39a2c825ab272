//! Evacuation orders in the replicated state machine.
#![allow(clippy::unwrap_used)]

use crocustally_core::control::StateMachine;
use crocustally_wire::Command;
use crocustally_wire::Evacuation;
use crocustally_wire::EvacuationOutcome;
use crocustally_wire::MachineState;
use crocustally_wire::command::Kind;
use crocustally_wire::outcome::Kind as OutcomeKind;
use prost::Message as _;

/// A state machine that is given orders at the next index of its log.
#[derive(Default)]
struct Replica {
    machine: StateMachine,
}

impl Replica {
    /// An order given on the current revision.
    fn order(&self, active: bool) -> Evacuation {
        self.order_on("a", active)
    }

    fn order_on(&self, domain: &str, active: bool) -> Evacuation {
        let known_revision = Some(self.machine.evacuation_revision());
        Evacuation { domain: domain.to_owned(), active, revision: None, known_revision }
    }

    fn commit(&mut self, order: &Evacuation) -> EvacuationOutcome {
        let index = self.machine.last_applied() + 1;
        let command = Command { kind: Some(Kind::Evacuation(order.clone())) };
        match self.machine.apply(index, &command.encode_to_vec()).kind {
            Some(OutcomeKind::Evacuation(outcome)) => outcome,
            other => panic!("unexpected outcome {other:?}"),
        }
    }

    fn is_evacuated(&self) -> bool {
        self.machine.evacuated().contains("a")
    }
}

/// Guards against an evacuation that ends by an order of the past: an order to take one back is
/// given up for want of a quorum, is sent again elsewhere, and is committed after the next start.
#[test]
fn order_that_was_given_up_does_not_end_a_later_evacuation() {
    let mut replica = Replica::default();
    assert!(replica.commit(&replica.order(true)).in_force);
    let given_up = replica.order(false);
    assert!(replica.commit(&replica.order(false)).in_force);
    assert!(replica.commit(&replica.order(true)).in_force);
    assert!(!replica.commit(&given_up).in_force);
    assert!(replica.is_evacuated());
}

/// Guards against an evacuation that starts by itself: the order to start one was given up and never
/// took effect, so that taking it back changes nothing, and is committed afterwards.
#[test]
fn order_that_was_given_up_does_not_start_an_evacuation_that_was_taken_back() {
    let mut replica = Replica::default();
    let given_up = replica.order(true);
    assert!(replica.commit(&replica.order(false)).in_force);
    assert!(!replica.commit(&given_up).in_force);
    assert!(!replica.is_evacuated());
}

/// Guards against a refusal of an order that another instance has already carried out.
#[test]
fn order_sent_through_two_instances_is_in_force_for_both() {
    let mut replica = Replica::default();
    let copies = [replica.order(true), replica.order(true)];
    assert!(copies.iter().all(|order| replica.commit(order).in_force));
    assert!(replica.is_evacuated());
}

/// Guards against orders of a revision that a restored replica no longer knows.
#[test]
fn revision_outlasts_a_snapshot() {
    let mut replica = Replica::default();
    let given_up = replica.order(false);
    assert!(replica.commit(&replica.order(true)).in_force);
    let state = replica.machine.state();
    let Ok(machine) = StateMachine::restore(&state) else { panic!("unusable snapshot") };
    let mut restored = Replica { machine };
    assert!(!restored.commit(&given_up).in_force);
    assert!(restored.is_evacuated());
}

/// Guards against a log that is read differently after an upgrade: orders of older versions carry no
/// revision and take effect in their order.
#[test]
fn orders_without_a_revision_take_effect_in_turn() {
    let mut replica = Replica::default();
    for active in [true, false, true] {
        let order = Evacuation { domain: "a".to_owned(), active, ..Evacuation::default() };
        assert!(replica.commit(&order).in_force);
        assert_eq!(replica.is_evacuated(), active);
    }
}

/// Guards against orders on several domains at a time that refuse each other.
#[test]
fn orders_on_other_domains_overtake_none() {
    let mut replica = Replica::default();
    let orders = ["a", "b", "c"].map(|domain| replica.order_on(domain, true));
    assert!(orders.iter().all(|order| replica.commit(order).in_force));
    let given_up = replica.order_on("a", false);
    assert!(replica.commit(&replica.order_on("b", false)).in_force);
    assert!(replica.commit(&replica.order_on("a", true)).in_force);
    let Ok(machine) = StateMachine::restore(&replica.machine.state()) else {
        panic!("unusable snapshot")
    };
    let mut restored = Replica { machine };
    assert!(!restored.commit(&given_up).in_force);
    assert!(restored.commit(&restored.order_on("c", false)).in_force);
}

/// Guards against replicas that disagree after an upgrade: an order of an earlier release was overtaken
/// by one on any domain, also if only a snapshot of that release is left.
#[test]
fn orders_of_an_earlier_release_are_overtaken_as_before() {
    let mut replica = Replica::default();
    let revision = Some(replica.machine.evacuation_revision());
    let old = Evacuation { domain: "a".to_owned(), active: true, revision, known_revision: None };
    let before = replica.order_on("a", true);
    assert!(replica.commit(&replica.order_on("b", true)).in_force);
    assert!(!replica.commit(&old).in_force);
    let mut state = MachineState::decode(replica.machine.state()).unwrap();
    state.domain_revisions.clear();
    state.other_domains_revision = None;
    let Ok(machine) = StateMachine::restore(&state.encode_to_vec()) else {
        panic!("unusable snapshot")
    };
    let mut restored = Replica { machine };
    assert!(!restored.commit(&before).in_force, "its revision is older than the snapshot's");
    assert!(restored.commit(&restored.order_on("a", true)).in_force);
}
