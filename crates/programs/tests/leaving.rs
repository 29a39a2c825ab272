//! Stopping processes, drained endpoints and domains taken out finish running requests and get no
//! new ones.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::ready_fleet;
use common::run;
use common::wait_until;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::workspace_key;
use crocustally_net::Runtime;
use crocustally_standin::CallerRequest;
use crocustally_standin::CallerResponse;
use crocustally_standin::EngineSettings;

const TOKENS: u64 = 60;

fn settings() -> FleetSettings {
    FleetSettings {
        assistants: 3,
        portals: 0,
        entries: 3,
        engine: EngineSettings {
            token_time: Duration::from_millis(10),
            ..EngineSettings::default()
        },
        ..FleetSettings::default()
    }
}

fn send(rt: &Runtime, fleet: &ProcessFleet, i: usize) -> async_channel::Receiver<CallerResponse> {
    let mut caller = fleet.caller(i % 3);
    let (tx, rx) = async_channel::bounded(1);
    rt.spawn(async move {
        let req = CallerRequest::chat(&workspace_key(0), "course", &i.to_string(), TOKENS);
        let _ = tx.send(caller.send(&req).await).await;
    });
    rx
}

async fn assert_all_complete(responses: Vec<async_channel::Receiver<CallerResponse>>) {
    for rx in responses {
        let response = rx.recv().await.unwrap();
        assert!(response.is_complete_stream(0, TOKENS), "{response:?}");
    }
}

#[test]
fn stopping_agent_finishes_requests_and_accepts_no_new_ones() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        let running: Vec<_> = (0..9).map(|i| send(&rt, &fleet, i)).collect();
        let busy = || fleet.stand_ins.engines[0].in_flight() > 0;
        assert!(wait_until(Duration::from_secs(5), busy).await);
        fleet.stop_agent(0);
        let later: Vec<_> = (9..18).map(|i| send(&rt, &fleet, i)).collect();
        assert_all_complete(running).await;
        assert_all_complete(later).await;
        assert!(wait_until(Duration::from_secs(5), || fleet.agent_exited_cleanly(0)).await);
    });
}

#[test]
fn stopping_entry_finishes_requests_before_exit() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        let running: Vec<_> = (0..6).map(|i| send(&rt, &fleet, i * 3)).collect();
        let busy = || fleet.stand_ins.engines.iter().map(|e| e.in_flight()).sum::<usize>() == 6;
        assert!(wait_until(Duration::from_secs(5), busy).await);
        fleet.stop_entry(0);
        assert_all_complete(running).await;
        assert!(wait_until(Duration::from_secs(5), || fleet.entry_exited_cleanly(0)).await);
    });
}

#[test]
fn drained_endpoint_and_domain_out_get_no_new_requests() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, settings()).await;
        let running: Vec<_> = (0..9).map(|i| send(&rt, &fleet, i)).collect();
        let busy = || fleet.stand_ins.engines.iter().all(|e| e.in_flight() > 0);
        assert!(wait_until(Duration::from_secs(5), busy).await);
        let out_ticket = "number: 2\ndomains: [{name: zone-a, state: out}]\n\
                   endpoints: [{name: assistant-2, state: drain}]\n";
        assert_eq!(
            fleet.apply_until_decided(1, out_ticket, Duration::from_secs(10)).await,
            Some(0)
        );
        for entry in 0..3 {
            let in_force =
                fleet.wait_status(entry, Duration::from_secs(3), |s| s.version == 2).await;
            assert!(in_force, "ticket not in force at entry {entry} after 3 s");
        }
        let before: Vec<u64> = fleet.stand_ins.engines.iter().map(|e| e.cache_stats().0).collect();
        assert_all_complete((9..18).map(|i| send(&rt, &fleet, i)).collect()).await;
        let after: Vec<u64> = fleet.stand_ins.engines.iter().map(|e| e.cache_stats().0).collect();
        assert_eq!(
            (before[0], before[1]),
            (after[0], after[1]),
            "new requests after the ticket was in force"
        );
        assert_eq!(after[2], before[2] + 9);
        assert_all_complete(running).await;
        let return_ticket =
            "number: 3\ndomains: [{name: zone-a}]\nendpoints: [{name: assistant-2}]\n";
        assert_eq!(
            fleet.apply_until_decided(2, return_ticket, Duration::from_secs(10)).await,
            Some(0)
        );
        let returned = |s: &crocustally_entry::StatusReport| {
            s.version == 3 && s.instances.iter().all(|i| !i.leaving)
        };
        assert!(fleet.wait_status(0, Duration::from_secs(5), returned).await);
        assert_all_complete((18..36).map(|i| send(&rt, &fleet, i)).collect()).await;
        let after_return: Vec<u64> =
            fleet.stand_ins.engines.iter().map(|e| e.cache_stats().0).collect();
        assert!(
            after_return[0] > after[0] && after_return[1] > after[1],
            "no new requests after the return"
        );
    });
}
