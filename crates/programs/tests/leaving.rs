//! Planned stops and drains cut no request and let no new work in.
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
use crocustally_standin::CallerAnswer;
use crocustally_standin::CallerRequest;
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

fn send(rt: &Runtime, fleet: &ProcessFleet, i: usize) -> async_channel::Receiver<CallerAnswer> {
    let mut caller = fleet.caller(i % 3);
    let (tx, rx) = async_channel::bounded(1);
    rt.spawn(async move {
        let req = CallerRequest::chat(&workspace_key(0), "course", &i.to_string(), TOKENS);
        let _ = tx.send(caller.send(&req).await).await;
    });
    rx
}

async fn whole(answers: Vec<async_channel::Receiver<CallerAnswer>>) {
    for rx in answers {
        let answer = rx.recv().await.unwrap();
        assert!(answer.is_whole_stream(0, TOKENS), "{answer:?}");
    }
}

#[test]
fn a_stopping_agent_ends_its_requests_and_takes_no_more() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        let running: Vec<_> = (0..9).map(|i| send(&rt, &fleet, i)).collect();
        let busy = || fleet.stand_ins.engines[0].in_flight() > 0;
        assert!(wait_until(Duration::from_secs(5), busy).await);
        fleet.stop_agent(0);
        let later: Vec<_> = (9..18).map(|i| send(&rt, &fleet, i)).collect();
        whole(running).await;
        whole(later).await;
        assert!(wait_until(Duration::from_secs(5), || fleet.agent_exited_cleanly(0)).await);
    });
}

#[test]
fn a_stopping_entry_ends_its_requests_and_then_the_process() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        let running: Vec<_> = (0..6).map(|i| send(&rt, &fleet, i * 3)).collect();
        let busy = || fleet.stand_ins.engines.iter().map(|e| e.in_flight()).sum::<usize>() == 6;
        assert!(wait_until(Duration::from_secs(5), busy).await);
        fleet.stop_entry(0);
        whole(running).await;
        assert!(wait_until(Duration::from_secs(5), || fleet.entry_exited_cleanly(0)).await);
    });
}

#[test]
fn a_drained_endpoint_and_a_domain_taken_out_get_no_new_work() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, settings()).await;
        let running: Vec<_> = (0..9).map(|i| send(&rt, &fleet, i)).collect();
        let busy = || fleet.stand_ins.engines.iter().all(|e| e.in_flight() > 0);
        assert!(wait_until(Duration::from_secs(5), busy).await);
        let out = "number: 2\ndomains: [{name: zone-a, state: out}]\n\
                   endpoints: [{name: assistant-2, state: drain}]\n";
        assert_eq!(fleet.apply_until_decided(1, out, Duration::from_secs(10)).await, Some(0));
        for entry in 0..3 {
            let told = fleet.wait_status(entry, Duration::from_secs(3), |s| s.version == 2).await;
            assert!(told, "not in force at entry {entry} after 3 s");
        }
        let before: Vec<u64> = fleet.stand_ins.engines.iter().map(|e| e.cache_use().0).collect();
        whole((9..18).map(|i| send(&rt, &fleet, i)).collect()).await;
        let after: Vec<u64> = fleet.stand_ins.engines.iter().map(|e| e.cache_use().0).collect();
        assert_eq!((before[0], before[1]), (after[0], after[1]), "new work after the order");
        assert_eq!(after[2], before[2] + 9);
        whole(running).await;
        let back = "number: 3\ndomains: [{name: zone-a}]\nendpoints: [{name: assistant-2}]\n";
        assert_eq!(fleet.apply_until_decided(2, back, Duration::from_secs(10)).await, Some(0));
        let returned = |s: &crocustally_entry::StatusReport| {
            s.version == 3 && s.instances.iter().all(|i| !i.leaving)
        };
        assert!(fleet.wait_status(0, Duration::from_secs(5), returned).await);
        whole((18..36).map(|i| send(&rt, &fleet, i)).collect()).await;
        let again: Vec<u64> = fleet.stand_ins.engines.iter().map(|e| e.cache_use().0).collect();
        assert!(again[0] > after[0] && again[1] > after[1], "no work after the return");
    });
}
