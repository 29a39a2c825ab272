//! Callers get complete responses when agents, engines, entries or connections fail mid-stream, and
//! crashing requests and cold endpoints are contained.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::READY_TIMEOUT;
use common::programs;
use common::ready_fleet;
use common::run;
use common::wait_until;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::Plan;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::TcpRelay;
use crocustally_fleet::workspace_key;
use crocustally_net::Runtime;
use crocustally_standin::CRASH_MARKER;
use crocustally_standin::CallerRequest;
use crocustally_standin::CallerResponse;
use crocustally_standin::EngineSettings;

const QUARANTINED: u32 = 4002;
const TOKENS: u64 = 100;

fn slow_engines(assistants: usize) -> FleetSettings {
    FleetSettings {
        assistants,
        portals: 0,
        entries: 3,
        engine: EngineSettings {
            token_time: Duration::from_millis(10),
            ..EngineSettings::default()
        },
        ..FleetSettings::default()
    }
}

fn chat(user: &str) -> CallerRequest {
    CallerRequest::chat(&workspace_key(0), "course", user, TOKENS)
}

fn send_all(
    rt: &Runtime,
    fleet: &ProcessFleet,
    n: usize,
) -> Vec<async_channel::Receiver<CallerResponse>> {
    let send_one = |i: usize| {
        let mut caller = fleet.caller(i % 3);
        let (tx, rx) = async_channel::bounded(1);
        rt.spawn(async move {
            let response = caller.send(&chat(&format!("user {i}"))).await;
            let _ = tx.send(response).await;
        });
        rx
    };
    (0..n).map(send_one).collect()
}

async fn assert_all_complete(
    fleet: &ProcessFleet,
    responses: Vec<async_channel::Receiver<CallerResponse>>,
) {
    for rx in responses {
        let response = rx.recv().await.unwrap();
        assert!(
            response.is_complete_stream(0, TOKENS),
            "status {} code {} complete {} tokens {:?} after {:?} ending {:?}\n{}",
            response.status,
            response.code,
            response.complete,
            response.tokens(),
            response.total_time,
            response.body.slice(response.body.len().saturating_sub(120)..),
            (1..4).map(|i| fleet.read_log(&format!("entry-{i}"))).collect::<String>()
        );
    }
}

async fn all_running(fleet: &ProcessFleet, n: usize) -> bool {
    let running = || fleet.stand_ins.engines.iter().map(|e| e.in_flight()).sum::<usize>() == n;
    wait_until(Duration::from_secs(5), running).await
}

#[test]
fn killed_agent_streams_resume_elsewhere_without_gap_or_repeat() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, slow_engines(3)).await;
        let responses = send_all(&rt, &fleet, 9);
        assert!(all_running(&fleet, 9).await);
        fleet.kill_agent(0);
        assert_all_complete(&fleet, responses).await;
    });
}

#[test]
fn crashed_engine_streams_resume_elsewhere() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_engines(3)).await;
        let responses = send_all(&rt, &fleet, 9);
        assert!(all_running(&fleet, 9).await);
        fleet.stand_ins.engines[1].crash();
        assert_all_complete(&fleet, responses).await;
        assert_eq!(fleet.status(0).await.unwrap().quarantined, 0);
    });
}

#[test]
fn caller_resumes_stream_at_another_entry_after_entry_is_killed() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, slow_engines(3)).await;
        let mut caller = fleet.caller(0);
        let (tx, rx) = async_channel::bounded(1);
        rt.spawn(async move {
            let _ = tx.send(caller.send(&chat("a")).await).await;
        });
        assert!(all_running(&fleet, 1).await);
        crocustally_net::sleep(Duration::from_millis(200)).await;
        fleet.kill_entry(0);
        let first = rx.recv().await.unwrap();
        let received = first.tokens().len() as u64;
        assert!(!first.complete && received > 0 && received < TOKENS, "{received}");
        let last_event_id = (received - 1).to_string();
        let resumed =
            fleet.caller(1).send(&chat("a").header("last-event-id", &last_event_id)).await;
        assert!(resumed.is_complete_stream(received, TOKENS), "{resumed:?}");
    });
}

#[test]
fn stream_on_stalled_connection_resumes_elsewhere() {
    for (to_server, to_client) in [(true, true), (false, true), (true, false)] {
        run(|rt| async move {
            let mut plan = Plan::new(slow_engines(2));
            let listen = plan.reserve_agent_relay(0);
            let relay = TcpRelay::start(&rt, listen, plan.agents[0].listen).await.unwrap();
            let fleet = ProcessFleet::start(&rt, plan, programs()).await.unwrap();
            assert!(fleet.wait_ready(READY_TIMEOUT).await);
            let responses = send_all(&rt, &fleet, 4);
            assert!(all_running(&fleet, 4).await);
            relay.stall_existing(to_server, to_client);
            assert_all_complete(&fleet, responses).await;
            assert_eq!(fleet.status(0).await.unwrap().quarantined, 0);
        });
    }
}

#[test]
fn caller_disconnect_cancels_stream_at_engine() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_engines(1)).await;
        let mut caller = fleet.caller(0).timeout(Duration::from_millis(300));
        let response = caller.send(&chat("a")).await;
        assert!(!response.complete);
        drop(caller);
        let cancelled = || fleet.stand_ins.engines[0].cancelled() == 1;
        assert!(wait_until(Duration::from_secs(2), cancelled).await);
    });
}

#[test]
fn crashing_request_crashes_at_most_two_endpoints_and_breaks_no_other_stream() {
    run(|rt| async move {
        let settings = FleetSettings { assistants: 6, ..slow_engines(6) };
        let fleet = ready_fleet(&rt, settings).await;
        let other_responses = send_all(&rt, &fleet, 18);
        assert!(all_running(&fleet, 18).await);
        for entry in [0, 1, 2, 0] {
            let response = fleet.caller(entry).send(&chat(CRASH_MARKER)).await;
            assert_eq!(response.code, QUARANTINED, "{response:?}");
        }
        let crash_count: u64 = fleet.stand_ins.engines.iter().map(|e| e.crash_count()).sum();
        let logs: String = (1..4).map(|i| fleet.read_log(&format!("entry-{i}"))).collect();
        assert!(crash_count <= 2, "{crash_count} engine crashes\n{logs}");
        assert_all_complete(&fleet, other_responses).await;
        assert_eq!(fleet.status(0).await.unwrap().quarantined, 1);
    });
}

#[test]
fn crashing_request_crashes_a_single_endpoint_at_most_twice() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_engines(1)).await;
        let response = fleet.caller(0).send(&chat(CRASH_MARKER)).await;
        assert_eq!(response.code, QUARANTINED, "{response:?}");
        assert!(
            fleet.stand_ins.engines[0].crash_count() <= 2,
            "{}",
            fleet.stand_ins.engines[0].crash_count()
        );
    });
}

#[test]
fn cold_endpoint_capacity_is_never_exceeded_by_four_entries_together() {
    run(|rt| async move {
        let settings = FleetSettings {
            entries: 4,
            assistants: 6,
            portals: 0,
            start_limit: 4,
            engine: EngineSettings {
                token_time: Duration::from_millis(4),
                cold_time: Duration::from_secs(3600),
                cold_capacity: 4,
                ..EngineSettings::default()
            },
            max_limit: 4,
            queue_ms: 20_000,
            ..FleetSettings::default()
        };
        let fleet = ready_fleet(&rt, settings).await;
        let responses: Vec<_> = (0..200)
            .map(|i| {
                let mut caller = fleet.caller(i % 4);
                let (tx, rx) = async_channel::bounded(1);
                rt.spawn(async move {
                    let req = CallerRequest::chat(&workspace_key(i % 10), "course", "quiz", 20);
                    let _ = tx.send(caller.send(&req).await).await;
                });
                rx
            })
            .collect();
        for rx in responses {
            let response = rx.recv().await.unwrap();
            assert!(response.is_complete_stream(0, 20), "{response:?}");
        }
        for e in &fleet.stand_ins.engines {
            assert!(e.in_flight_max() <= 4, "{} in flight", e.in_flight_max());
            assert_eq!(e.crash_count(), 0);
        }
    });
}
