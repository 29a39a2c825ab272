//! Accepted configuration is in force everywhere and never reverts: lost leaders, lost disks, races.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::READY;
use common::ready_fleet;
use common::run;
use common::small;
use crocustally_entry::StatusReport;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::workspace_key;
use crocustally_standin::CallerRequest;

const CONFLICT: u32 = 5001;
const STALE: u32 = 5002;
const NOT_READY: u32 = 2013;
const LIMIT: Duration = Duration::from_secs(20);

fn ticket(number: u64, domain: &str) -> String {
    format!("number: {number}\ndomains: [{{name: {domain}}}]\n")
}

fn settings() -> FleetSettings {
    FleetSettings { entries: 4, ..small() }
}

async fn leader(fleet: &ProcessFleet) -> usize {
    for _ in 0..500 {
        for i in 0..fleet.plan.entries.len() {
            let Some(s) = fleet.status(i).await else { continue };
            if s.leader.as_deref() == Some(&s.name) {
                return i;
            }
        }
        crocustally_net::sleep(Duration::from_millis(20)).await;
    }
    panic!("no leader");
}

fn in_force(version: u64) -> impl Fn(&StatusReport) -> bool {
    move |s| s.version == version && s.instances.iter().all(|i| i.version == version)
}

#[test]
fn a_ticket_is_in_force_at_every_instance_within_six_seconds() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, FleetSettings::default()).await;
        assert_eq!(fleet.apply_until_decided(3, &ticket(2, "x"), LIMIT).await, Some(0));
        for i in 0..4 {
            assert!(fleet.wait_status(i, Duration::from_secs(6), in_force(2)).await, "entry {i}");
        }
    });
}

#[test]
fn numbers_and_content_decide_and_racing_operators_have_one_winner() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, settings()).await;
        let (ours, theirs) = (ticket(5, "ours"), ticket(5, "theirs"));
        let both = futures_lite::future::zip(
            fleet.apply_until_decided(1, &ours, LIMIT),
            fleet.apply_until_decided(2, &theirs, LIMIT),
        );
        let (a, b) = both.await;
        let mut codes = [a.unwrap(), b.unwrap()];
        codes.sort_unstable();
        assert_eq!(codes, [0, CONFLICT]);
        // Both sent again after a lost answer: the first answers again.
        assert_eq!(fleet.apply_until_decided(0, &ours, LIMIT).await, a);
        assert_eq!(fleet.apply_until_decided(3, &theirs, LIMIT).await, b);
        let name = if a == Some(0) { "ours" } else { "theirs" };
        assert_eq!(fleet.apply_until_decided(0, &ticket(4, name), LIMIT).await, Some(STALE));
        assert_eq!(fleet.apply_until_decided(0, &ticket(3, "other"), LIMIT).await, Some(0));
    });
}

#[test]
fn a_killed_leader_is_replaced_and_comes_back_with_what_it_missed() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        let old = leader(&fleet).await;
        fleet.kill_entry(old);
        let other = (old + 1) % 4;
        assert_eq!(fleet.apply_until_decided(other, &ticket(2, "x"), LIMIT).await, Some(0));
        fleet.start_entry(old).unwrap();
        assert!(fleet.wait_status(old, LIMIT, |s| s.version == 2).await);
    });
}

#[test]
fn a_frozen_leader_wakes_into_a_group_that_went_on() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, settings()).await;
        let old = leader(&fleet).await;
        fleet.set_entry_frozen(old, true);
        let other = (old + 1) % 4;
        for n in 2..30 {
            assert_eq!(fleet.apply_until_decided(other, &ticket(n, "x"), LIMIT).await, Some(0));
        }
        fleet.set_entry_frozen(old, false);
        assert!(fleet.wait_status(old, LIMIT, |s| s.version == 29).await);
        assert_eq!(fleet.apply_until_decided(old, &ticket(30, "x"), LIMIT).await, Some(0));
    });
}

#[test]
fn a_lost_disk_is_repaired_and_a_second_one_lost_right_after_costs_nothing() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        assert_eq!(fleet.apply_until_decided(0, &ticket(2, "x"), LIMIT).await, Some(0));
        let booked = CallerRequest::booking(&workspace_key(0), "k", "room");
        assert_eq!(fleet.caller(0).send(&booked).await.status, 200);
        fleet.kill_entry_and_wipe_disk(0);
        fleet.start_entry(0).unwrap();
        // The lost identity has no name at the instance that has a new one.
        let repaired = |s: &StatusReport| {
            let named = s.voters.iter().filter(|v| v.starts_with("entry-")).count();
            s.version == 2 && (named, s.voters.len(), s.learners.len()) == (3, 3, 1)
        };
        assert!(fleet.wait_status(0, Duration::from_secs(40), repaired).await);
        fleet.kill_entry_and_wipe_disk(1);
        assert_eq!(fleet.apply_until_decided(0, &ticket(3, "y"), LIMIT).await, Some(0));
        let all_there = |s: &StatusReport| (s.claims, s.next_number) == (1, 4);
        assert!(fleet.wait_status(2, LIMIT, all_there).await);
        let again = fleet.caller(2).send(&booked).await;
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
    });
}

#[test]
fn a_process_back_after_five_hundred_changes_serves_within_two_seconds() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        fleet.kill_entry(3);
        for n in 2..502 {
            let code =
                fleet.apply_until_decided(0, &ticket(n, &format!("d{}", n % 40)), LIMIT).await;
            assert_eq!(code, Some(0), "ticket {n}");
        }
        fleet.start_entry(3).unwrap();
        let begun = std::time::Instant::now();
        assert!(fleet.wait_status(3, LIMIT, |s| s.version == 501).await);
        let chat = CallerRequest::chat(&workspace_key(0), "course", "quiz", 4);
        let mut answer = fleet.caller(3).send(&chat).await;
        while !answer.is_whole_stream(0, 4) && begun.elapsed() < LIMIT {
            answer = fleet.caller(3).send(&chat).await;
        }
        let took = begun.elapsed();
        assert!(took < Duration::from_secs(2), "{took:?}");
    });
}

#[test]
fn a_domain_can_be_taken_out_without_a_quorum_and_the_order_is_folded_in() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, small()).await;
        fleet.kill_entry(0);
        fleet.kill_entry(1);
        assert!(fleet.operator(2).local_out("zone-a").await.is_some());
        let out =
            |s: &StatusReport| s.instances.iter().any(|i| i.name == "assistant-1" && i.leaving);
        assert!(fleet.wait_status(2, Duration::from_secs(3), out).await);
        let before = fleet.stand_ins.engines[0].cache_use().0;
        for i in 0..12 {
            let chat = CallerRequest::chat(&workspace_key(0), "course", &i.to_string(), 4);
            let answer = fleet.caller(2).send(&chat).await;
            assert!(answer.is_whole_stream(0, 4), "{answer:?}");
        }
        assert_eq!(fleet.stand_ins.engines[0].cache_use().0, before);
        fleet.start_entry(0).unwrap();
        fleet.start_entry(1).unwrap();
        for i in 0..3 {
            let folded =
                |s: &StatusReport| s.version >= 2 && s.domains_out == vec!["zone-a".to_owned()];
            assert!(fleet.wait_status(i, READY, folded).await, "entry {i}");
        }
    });
}

#[test]
fn an_entry_without_a_disk_pulls_what_is_in_force_and_claims_through_the_others() {
    run(|rt| async move {
        let settings = FleetSettings { diskless: true, ..settings() };
        let mut fleet = ready_fleet(&rt, settings).await;
        assert!(!fleet.plan.entry_yaml(3).contains("data:"));
        assert_eq!(fleet.apply_until_decided(3, &ticket(2, "x"), LIMIT).await, Some(0));
        assert!(fleet.wait_status(3, Duration::from_secs(6), |s| s.version == 2).await);
        let booked = CallerRequest::booking(&workspace_key(0), "k", "room");
        assert_eq!(fleet.caller(3).send(&booked).await.status, 200);
        assert_eq!(fleet.caller(3).send(&booked).await.status, 200);
        assert_eq!(fleet.stand_ins.journal.runs("k"), 1);
        let old = leader(&fleet).await;
        fleet.kill_entry(old);
        assert_eq!(fleet.apply_until_decided(3, &ticket(3, "y"), LIMIT).await, Some(0));
        assert!(fleet.wait_status(3, Duration::from_secs(6), |s| s.version == 3).await);
    });
}

#[test]
fn an_entry_that_lost_its_disk_never_shows_an_older_version_on_its_way_back() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        for n in 2..802 {
            let code =
                fleet.apply_until_decided(1, &ticket(n, &format!("d{}", n % 9)), LIMIT).await;
            assert_eq!(code, Some(0), "ticket {n}");
        }
        assert!(fleet.wait_status(3, LIMIT, |s| s.version == 801).await);
        fleet.kill_entry_and_wipe_disk(3);
        fleet.start_entry(3).unwrap();
        let chat = CallerRequest::chat(&workspace_key(0), "course", "quiz", 4);
        let mut seen = Vec::new();
        let begun = std::time::Instant::now();
        while !seen.contains(&801) && begun.elapsed() < LIMIT {
            let Some(s) = fleet.status(3).await else { continue };
            seen.push(s.version);
            if s.version == 0 {
                let answer = fleet.caller(3).send(&chat).await;
                let not_ready = (answer.code, answer.ran.as_str()) == (NOT_READY, "no");
                assert!(answer.status != 401 && (not_ready || answer.status == 200), "{answer:?}");
            }
        }
        seen.dedup();
        assert_eq!(seen, [0, 801]);
    });
}
