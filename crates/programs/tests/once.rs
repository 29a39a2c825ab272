//! What must run once never runs twice: kills, freezes, silence and racing repeats.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::READY;
use common::programs;
use common::ready_fleet;
use common::run;
use common::small;
use common::wait_until;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::Plan;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::TcpRelay;
use crocustally_fleet::workspace_key;
use crocustally_net::Runtime;
use crocustally_standin::CallerAnswer;
use crocustally_standin::CallerRequest;
use crocustally_standin::PlainSettings;

const KEY_CONFLICT: u32 = 3001;
const OUTCOME_UNKNOWN: u32 = 3002;
const NO_QUORUM: u32 = 3003;
const CLAIM_UNCHECKED: u32 = 3007;

/// A deployment whose one portal takes its time, so that faults can hit while it works.
fn slow_portal(work: Duration) -> FleetSettings {
    FleetSettings {
        assistants: 0,
        portals: 1,
        entries: 3,
        plain: PlainSettings { work_time: work },
        ..FleetSettings::default()
    }
}

fn booking(key: &str) -> CallerRequest {
    CallerRequest::booking(&workspace_key(0), key, "room 4")
}

/// Sends in the background.
fn send(
    rt: &Runtime,
    fleet: &ProcessFleet,
    entry: usize,
    req: CallerRequest,
) -> async_channel::Receiver<CallerAnswer> {
    let mut caller = fleet.caller(entry);
    let (tx, rx) = async_channel::bounded(1);
    rt.spawn(async move {
        let _ = tx.send(caller.send(&req).await).await;
    });
    rx
}

async fn started(fleet: &ProcessFleet, key: &str) -> bool {
    wait_until(Duration::from_secs(5), || fleet.stand_ins.journal.runs(key) == 1).await
}

#[test]
fn a_repeat_gets_the_first_answer_and_another_body_is_refused() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, small()).await;
        let first = fleet.caller(0).send(&booking("k")).await;
        assert_eq!(first.status, 200, "{first:?}");
        let again = fleet.caller(1).send(&booking("k")).await;
        assert_eq!((again.status, &again.body), (200, &first.body));
        let other = CallerRequest::booking(&workspace_key(0), "k", "another room");
        let other = fleet.caller(2).send(&other).await;
        assert_eq!((other.code, other.ran.as_str()), (KEY_CONFLICT, "no"));
        assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
    });
}

#[test]
fn a_repeat_while_it_runs_waits_for_the_one_run() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(600))).await;
        let first = send(&rt, &fleet, 0, booking("k"));
        assert!(started(&fleet, "k").await);
        let again = fleet.caller(1).send(&booking("k")).await;
        let first = first.recv().await.unwrap();
        assert_eq!((first.status, again.status), (200, 200), "{first:?} {again:?}");
        assert_eq!(first.body, again.body);
        assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
    });
}

#[test]
fn a_frozen_entry_that_wakes_runs_nothing_again() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(30))).await;
        for round in 0..10 {
            let key = format!("k{round}");
            let first = send(&rt, &fleet, 0, booking(&key));
            // The freeze hits before, during or after the claim and the run, as rounds go on.
            crocustally_net::sleep(Duration::from_millis(round)).await;
            fleet.set_entry_frozen(0, true);
            let again =
                fleet.caller(1).patience(Duration::from_secs(10)).send(&booking(&key)).await;
            assert!(
                again.status == 200 || again.code == CLAIM_UNCHECKED,
                "round {round}: {again:?}"
            );
            fleet.set_entry_frozen(0, false);
            let first = first.recv().await.unwrap();
            assert!(
                first.status == 200 || first.code == CLAIM_UNCHECKED,
                "round {round}: {first:?}"
            );
            assert!(fleet.stand_ins.journal.runs(&key) <= 1);
            let last = fleet.caller(2).send(&booking(&key)).await;
            assert_eq!(last.status, 200, "round {round}: {last:?}");
            assert_eq!(fleet.stand_ins.journal.runs(&key), 1, "round {round}");
        }
    });
}

#[test]
fn a_killed_entry_leaves_one_run_behind() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(500))).await;
        let first = send(&rt, &fleet, 0, booking("k"));
        assert!(started(&fleet, "k").await);
        fleet.kill_entry(0);
        assert_eq!(first.recv().await.unwrap().status, 0);
        let again = fleet.caller(1).send(&booking("k")).await;
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
    });
}

#[test]
fn an_agent_that_dies_leaves_the_outcome_unknown_and_said_so() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(800))).await;
        let first = send(&rt, &fleet, 0, booking("k"));
        assert!(started(&fleet, "k").await);
        fleet.kill_agent(0);
        let first = first.recv().await.unwrap();
        assert_eq!((first.code, first.ran.as_str()), (OUTCOME_UNKNOWN, "unknown"), "{first:?}");
        fleet.start_agent(0).unwrap();
        let again = fleet.caller(1).send(&booking("k")).await;
        assert_eq!((again.code, again.ran.as_str()), (OUTCOME_UNKNOWN, "unknown"), "{again:?}");
        assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
    });
}

#[test]
fn an_answer_outlives_the_agent_that_had_it() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, slow_portal(Duration::ZERO)).await;
        let first = fleet.caller(0).send(&booking("k")).await;
        assert_eq!(first.status, 200);
        let kept = fleet.wait_status(1, READY, |s| s.claims_finished == 1).await;
        assert!(kept);
        fleet.kill_agent(0);
        let again = fleet.caller(1).send(&booking("k")).await;
        assert_eq!((again.status, &again.body), (200, &first.body), "{again:?}");
        assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
    });
}

#[test]
fn a_service_that_breaks_off_is_not_asked_again() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(800))).await;
        let first = send(&rt, &fleet, 0, booking("k"));
        assert!(started(&fleet, "k").await);
        fleet.stand_ins.services[0].break_connections();
        let first = first.recv().await.unwrap();
        assert_eq!((first.code, first.ran.as_str()), (OUTCOME_UNKNOWN, "unknown"), "{first:?}");
        let again = fleet.caller(2).send(&booking("k")).await;
        assert_eq!(again.code, OUTCOME_UNKNOWN, "{again:?}");
        assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
    });
}

#[test]
fn a_frozen_agent_answers_after_it_wakes() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(300))).await;
        let first = send(&rt, &fleet, 0, booking("k"));
        assert!(started(&fleet, "k").await);
        fleet.set_agent_frozen(0, true);
        let first = first.recv().await.unwrap();
        assert_eq!(first.code, OUTCOME_UNKNOWN, "{first:?}");
        fleet.set_agent_frozen(0, false);
        let again = fleet.caller(1).send(&booking("k")).await;
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
    });
}

#[test]
fn without_a_quorum_it_is_refused_and_the_word_on_it_is_true() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, small()).await;
        fleet.kill_entry(0);
        fleet.kill_entry(1);
        let mut keyless = booking("k");
        keyless.headers.clear();
        let answer = fleet.caller(2).send(&keyless).await;
        assert_eq!((answer.code, answer.ran.as_str()), (NO_QUORUM, "no"), "{answer:?}");
        // An earlier sending under a caller's own key may have run before the quorum was lost, and
        // nobody here can know.
        let answer = fleet.caller(2).send(&booking("k")).await;
        assert_eq!((answer.code, answer.ran.as_str()), (CLAIM_UNCHECKED, "unknown"), "{answer:?}");
        assert_eq!(fleet.stand_ins.journal.keys(), 0);
        fleet.start_entry(0).unwrap();
        fleet.start_entry(1).unwrap();
        let led = fleet.wait_status(2, READY, |s| s.leader.is_some()).await;
        assert!(led);
        let answer = fleet.caller(2).send(&booking("k")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
    });
}

/// A deployment whose one portal is reached through a relay.
async fn relayed(rt: &Runtime, work: Duration) -> (ProcessFleet, TcpRelay) {
    let mut plan = Plan::new(slow_portal(work));
    let listen = plan.reserve_agent_relay(0);
    let relay = TcpRelay::start(rt, listen, plan.agents[0].listen).await.unwrap();
    let fleet = ProcessFleet::start(rt, plan, programs()).await.unwrap();
    assert!(fleet.wait_ready(READY).await);
    (fleet, relay)
}

#[test]
fn a_silent_connection_is_noticed_and_the_answer_fetched_over_a_new_one() {
    for (to_server, to_client) in [(true, true), (false, true), (true, false)] {
        run(|rt| async move {
            let (fleet, relay) = relayed(&rt, Duration::from_millis(100)).await;
            let first = send(&rt, &fleet, 0, booking("k"));
            assert!(started(&fleet, "k").await);
            relay.stall_existing(to_server, to_client);
            let first = first.recv().await.unwrap();
            assert_eq!(first.status, 200, "{first:?}");
            assert!(first.total < Duration::from_millis(2500), "{:?}", first.total);
            assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
        });
    }
}
