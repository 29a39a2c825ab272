//! At-most-once requests never run twice, in spite of killed and frozen processes, stalled
//! connections and racing retries.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::READY_TIMEOUT;
use common::programs;
use common::ready_fleet;
use common::run;
use common::small_settings;
use common::wait_until;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::Plan;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::TcpRelay;
use crocustally_fleet::workspace_key;
use crocustally_net::Runtime;
use crocustally_standin::CallerRequest;
use crocustally_standin::CallerResponse;
use crocustally_standin::PlainSettings;

const KEY_CONFLICT: u32 = 3001;
const OUTCOME_UNKNOWN: u32 = 3002;
const NO_QUORUM: u32 = 3003;
const CLAIM_UNCHECKED: u32 = 3007;

/// Settings with one portal that takes `work` per request, so that faults hit a running request.
fn slow_portal(work: Duration) -> FleetSettings {
    FleetSettings {
        assistants: 0,
        portals: 1,
        entries: 3,
        plain: PlainSettings { work_time: work, ..PlainSettings::default() },
        ..FleetSettings::default()
    }
}

fn booking(key: &str) -> CallerRequest {
    CallerRequest::booking(&workspace_key(0), key, "room 4")
}

/// Sends a request in the background.
fn send(
    rt: &Runtime,
    fleet: &ProcessFleet,
    entry: usize,
    req: CallerRequest,
) -> async_channel::Receiver<CallerResponse> {
    let mut caller = fleet.caller(entry);
    let (tx, rx) = async_channel::bounded(1);
    rt.spawn(async move {
        let _ = tx.send(caller.send(&req).await).await;
    });
    rx
}

async fn run_started(fleet: &ProcessFleet, key: &str) -> bool {
    wait_until(Duration::from_secs(5), || fleet.stand_ins.journal.run_count(key) == 1).await
}

#[test]
fn retry_gets_stored_response_and_different_body_is_refused() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, small_settings()).await;
        let first = fleet.caller(0).send(&booking("k")).await;
        assert_eq!(first.status, 200, "{first:?}");
        let retry = fleet.caller(1).send(&booking("k")).await;
        assert_eq!((retry.status, &retry.body), (200, &first.body));
        let other = CallerRequest::booking(&workspace_key(0), "k", "another room");
        let other = fleet.caller(2).send(&other).await;
        assert_eq!((other.code, other.ran.as_str()), (KEY_CONFLICT, "no"));
        assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
    });
}

/// Guards against a request that has run and is answered with a status that promises the opposite, at
/// once, from the stored response, and for a request that may be repeated.
#[test]
fn status_of_a_service_does_not_say_that_its_request_has_not_run() {
    run(|rt| async move {
        for status in [408, 421, 429, 503] {
            let plain = PlainSettings { status: Some(status), ..PlainSettings::default() };
            let fleet = ready_fleet(&rt, FleetSettings { plain, ..small_settings() }).await;
            let key = format!("k{status}");
            for entry in [0, 1] {
                let response = fleet.caller(entry).send(&booking(&key)).await;
                let seen = (response.status, response.ran.as_str());
                assert_eq!(seen, (502, "yes"), "{status} at entry {entry}: {response:?}");
                assert!(!response.body.is_empty(), "{status}: the service's own words are gone");
            }
            assert_eq!(fleet.stand_ins.journal.run_count(&key), 1, "{status}");
        }
    });
}

#[test]
fn retry_during_the_run_waits_for_its_response() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(600))).await;
        let first = send(&rt, &fleet, 0, booking("k"));
        assert!(run_started(&fleet, "k").await);
        let retry = fleet.caller(1).send(&booking("k")).await;
        let first = first.recv().await.unwrap();
        assert_eq!((first.status, retry.status), (200, 200), "{first:?} {retry:?}");
        assert_eq!(first.body, retry.body);
        assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
    });
}

#[test]
fn frozen_entry_runs_nothing_twice_after_resume() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(30))).await;
        for round in 0..10 {
            let key = format!("k{round}");
            let first = send(&rt, &fleet, 0, booking(&key));
            // The delay grows with the round, so that the freeze hits before, during and after the
            // claim and the run.
            crocustally_net::sleep(Duration::from_millis(round)).await;
            fleet.set_entry_frozen(0, true);
            let retry = fleet.caller(1).timeout(Duration::from_secs(10)).send(&booking(&key)).await;
            assert!(
                retry.status == 200 || retry.code == CLAIM_UNCHECKED,
                "round {round}: {retry:?}"
            );
            fleet.set_entry_frozen(0, false);
            let first = first.recv().await.unwrap();
            assert!(
                first.status == 200 || first.code == CLAIM_UNCHECKED,
                "round {round}: {first:?}"
            );
            assert!(fleet.stand_ins.journal.run_count(&key) <= 1);
            let final_retry = fleet.caller(2).send(&booking(&key)).await;
            assert_eq!(final_retry.status, 200, "round {round}: {final_retry:?}");
            assert_eq!(fleet.stand_ins.journal.run_count(&key), 1, "round {round}");
        }
    });
}

#[test]
fn killed_entry_during_the_run_causes_no_second_run() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(500))).await;
        let first = send(&rt, &fleet, 0, booking("k"));
        assert!(run_started(&fleet, "k").await);
        fleet.kill_entry(0);
        assert_eq!(first.recv().await.unwrap().status, 0);
        let retry = fleet.caller(1).send(&booking("k")).await;
        assert_eq!(retry.status, 200, "{retry:?}");
        assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
    });
}

#[test]
fn killed_agent_during_the_run_is_reported_as_unknown_outcome() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(800))).await;
        let first = send(&rt, &fleet, 0, booking("k"));
        assert!(run_started(&fleet, "k").await);
        fleet.kill_agent(0);
        let first = first.recv().await.unwrap();
        assert_eq!((first.code, first.ran.as_str()), (OUTCOME_UNKNOWN, "unknown"), "{first:?}");
        fleet.start_agent(0).unwrap();
        let retry = fleet.caller(1).send(&booking("k")).await;
        assert_eq!((retry.code, retry.ran.as_str()), (OUTCOME_UNKNOWN, "unknown"), "{retry:?}");
        assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
    });
}

#[test]
fn stored_response_survives_killed_agent() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, slow_portal(Duration::ZERO)).await;
        let first = fleet.caller(0).send(&booking("k")).await;
        assert_eq!(first.status, 200);
        let stored = fleet.wait_status(1, READY_TIMEOUT, |s| s.claims_finished == 1).await;
        assert!(stored);
        fleet.kill_agent(0);
        let retry = fleet.caller(1).send(&booking("k")).await;
        assert_eq!((retry.status, &retry.body), (200, &first.body), "{retry:?}");
        assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
    });
}

#[test]
fn broken_service_connection_is_not_retried() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(800))).await;
        let first = send(&rt, &fleet, 0, booking("k"));
        assert!(run_started(&fleet, "k").await);
        fleet.stand_ins.services[0].break_connections();
        let first = first.recv().await.unwrap();
        assert_eq!((first.code, first.ran.as_str()), (OUTCOME_UNKNOWN, "unknown"), "{first:?}");
        let retry = fleet.caller(2).send(&booking("k")).await;
        assert_eq!(retry.code, OUTCOME_UNKNOWN, "{retry:?}");
        assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
    });
}

#[test]
fn frozen_agent_delivers_its_response_after_resume() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_portal(Duration::from_millis(300))).await;
        let first = send(&rt, &fleet, 0, booking("k"));
        assert!(run_started(&fleet, "k").await);
        fleet.set_agent_frozen(0, true);
        let first = first.recv().await.unwrap();
        assert_eq!(first.code, OUTCOME_UNKNOWN, "{first:?}");
        fleet.set_agent_frozen(0, false);
        let retry = fleet.caller(1).send(&booking("k")).await;
        assert_eq!(retry.status, 200, "{retry:?}");
        assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
    });
}

#[test]
fn lost_quorum_refuses_new_runs_and_reports_whether_they_ran() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, small_settings()).await;
        fleet.kill_entry(0);
        fleet.kill_entry(1);
        let mut keyless = booking("k");
        keyless.headers.clear();
        let response = fleet.caller(2).send(&keyless).await;
        assert_eq!((response.code, response.ran.as_str()), (NO_QUORUM, "no"), "{response:?}");
        // With the caller's own key an earlier attempt may have run before the quorum was lost; an
        // entry without a quorum cannot rule it out.
        let response = fleet.caller(2).send(&booking("k")).await;
        assert_eq!(
            (response.code, response.ran.as_str()),
            (CLAIM_UNCHECKED, "unknown"),
            "{response:?}"
        );
        assert_eq!(fleet.stand_ins.journal.key_count(), 0);
        fleet.start_entry(0).unwrap();
        fleet.start_entry(1).unwrap();
        let has_leader = fleet.wait_status(2, READY_TIMEOUT, |s| s.leader.is_some()).await;
        assert!(has_leader);
        let response = fleet.caller(2).send(&booking("k")).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
    });
}

/// Starts a deployment with one portal that entries reach through a TCP relay.
async fn start_relayed_fleet(rt: &Runtime, work: Duration) -> (ProcessFleet, TcpRelay) {
    let mut plan = Plan::new(slow_portal(work));
    let listen = plan.reserve_agent_relay(0);
    let relay = TcpRelay::start(rt, listen, plan.agents[0].listen).await.unwrap();
    let fleet = ProcessFleet::start(rt, plan, programs()).await.unwrap();
    assert!(fleet.wait_ready(READY_TIMEOUT).await);
    (fleet, relay)
}

#[test]
fn response_is_fetched_over_new_connection_after_stall() {
    for (to_server, to_client) in [(true, true), (false, true), (true, false)] {
        run(|rt| async move {
            let (fleet, relay) = start_relayed_fleet(&rt, Duration::from_millis(100)).await;
            let first = send(&rt, &fleet, 0, booking("k"));
            assert!(run_started(&fleet, "k").await);
            relay.stall_existing(to_server, to_client);
            let first = first.recv().await.unwrap();
            assert_eq!(first.status, 200, "{first:?}");
            assert!(first.total_time < Duration::from_millis(2500), "{:?}", first.total_time);
            assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
        });
    }
}
