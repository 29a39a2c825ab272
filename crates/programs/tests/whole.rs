//! Every caller its whole answer: lost agents, engines, entries and connections mid-stream.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::READY;
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
use crocustally_standin::CRASH_WORD;
use crocustally_standin::CallerAnswer;
use crocustally_standin::CallerRequest;
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
) -> Vec<async_channel::Receiver<CallerAnswer>> {
    let one = |i: usize| {
        let mut caller = fleet.caller(i % 3);
        let (tx, rx) = async_channel::bounded(1);
        rt.spawn(async move {
            let answer = caller.send(&chat(&format!("user {i}"))).await;
            let _ = tx.send(answer).await;
        });
        rx
    };
    (0..n).map(one).collect()
}

async fn all_whole(fleet: &ProcessFleet, answers: Vec<async_channel::Receiver<CallerAnswer>>) {
    for rx in answers {
        let answer = rx.recv().await.unwrap();
        assert!(
            answer.is_whole_stream(0, TOKENS),
            "status {} code {} complete {} tokens {:?} after {:?} ending {:?}\n{}",
            answer.status,
            answer.code,
            answer.complete,
            answer.tokens(),
            answer.total,
            answer.body.slice(answer.body.len().saturating_sub(120)..),
            (1..4).map(|i| fleet.read_log(&format!("entry-{i}"))).collect::<String>()
        );
    }
}

async fn all_running(fleet: &ProcessFleet, n: usize) -> bool {
    let running = || fleet.stand_ins.engines.iter().map(|e| e.in_flight()).sum::<usize>() == n;
    wait_until(Duration::from_secs(5), running).await
}

#[test]
fn streams_of_a_killed_agent_go_on_elsewhere_without_gap_or_repeat() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, slow_engines(3)).await;
        let answers = send_all(&rt, &fleet, 9);
        assert!(all_running(&fleet, 9).await);
        fleet.kill_agent(0);
        all_whole(&fleet, answers).await;
    });
}

#[test]
fn streams_of_a_dead_engine_go_on_elsewhere() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_engines(3)).await;
        let answers = send_all(&rt, &fleet, 9);
        assert!(all_running(&fleet, 9).await);
        fleet.stand_ins.engines[1].die();
        all_whole(&fleet, answers).await;
        assert_eq!(fleet.status(0).await.unwrap().quarantined, 0);
    });
}

#[test]
fn a_caller_fetches_the_rest_at_another_entry_after_its_own_is_lost() {
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
        let got = first.tokens().len() as u64;
        assert!(!first.complete && got > 0 && got < TOKENS, "{got}");
        let last = (got - 1).to_string();
        let rest = fleet.caller(1).send(&chat("a").header("last-event-id", &last)).await;
        assert!(rest.is_whole_stream(got, TOKENS), "{rest:?}");
    });
}

#[test]
fn a_silent_stream_goes_on_elsewhere_within_two_seconds() {
    for (to_server, to_client) in [(true, true), (false, true), (true, false)] {
        run(|rt| async move {
            let mut plan = Plan::new(slow_engines(2));
            let listen = plan.reserve_agent_relay(0);
            let relay = TcpRelay::start(&rt, listen, plan.agents[0].listen).await.unwrap();
            let fleet = ProcessFleet::start(&rt, plan, programs()).await.unwrap();
            assert!(fleet.wait_ready(READY).await);
            let answers = send_all(&rt, &fleet, 4);
            assert!(all_running(&fleet, 4).await);
            relay.stall_existing(to_server, to_client);
            all_whole(&fleet, answers).await;
            assert_eq!(fleet.status(0).await.unwrap().quarantined, 0);
        });
    }
}

#[test]
fn a_caller_that_leaves_cancels_its_stream_at_the_engine() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_engines(1)).await;
        let mut caller = fleet.caller(0).patience(Duration::from_millis(300));
        let answer = caller.send(&chat("a")).await;
        assert!(!answer.complete);
        drop(caller);
        let cancelled = || fleet.stand_ins.engines[0].cancelled() == 1;
        assert!(wait_until(Duration::from_secs(2), cancelled).await);
    });
}

#[test]
fn a_crashing_request_takes_two_endpoints_at_most_and_no_neighbour_with_it() {
    run(|rt| async move {
        let settings = FleetSettings { assistants: 6, ..slow_engines(6) };
        let fleet = ready_fleet(&rt, settings).await;
        let neighbours = send_all(&rt, &fleet, 18);
        assert!(all_running(&fleet, 18).await);
        for entry in [0, 1, 2, 0] {
            let answer = fleet.caller(entry).send(&chat(CRASH_WORD)).await;
            assert_eq!(answer.code, QUARANTINED, "{answer:?}");
        }
        let deaths: u64 = fleet.stand_ins.engines.iter().map(|e| e.deaths()).sum();
        let logs: String = (1..4).map(|i| fleet.read_log(&format!("entry-{i}"))).collect();
        assert!(deaths <= 2, "{deaths} endpoints lost\n{logs}");
        all_whole(&fleet, neighbours).await;
        assert_eq!(fleet.status(0).await.unwrap().quarantined, 1);
    });
}

#[test]
fn a_crashing_request_that_meets_one_endpoint_again_and_again_kills_it_twice_at_most() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, slow_engines(1)).await;
        let answer = fleet.caller(0).send(&chat(CRASH_WORD)).await;
        assert_eq!(answer.code, QUARANTINED, "{answer:?}");
        assert!(
            fleet.stand_ins.engines[0].deaths() <= 2,
            "{}",
            fleet.stand_ins.engines[0].deaths()
        );
    });
}

#[test]
fn a_cold_endpoint_never_gets_more_than_it_bears_from_four_entries_at_once() {
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
        let answers: Vec<_> = (0..200)
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
        for rx in answers {
            let answer = rx.recv().await.unwrap();
            assert!(answer.is_whole_stream(0, 20), "{answer:?}");
        }
        for e in &fleet.stand_ins.engines {
            assert!(e.most_in_flight() <= 4, "{} in flight", e.most_in_flight());
            assert_eq!(e.deaths(), 0);
        }
    });
}
