//! Accepted configuration takes effect at every instance and never reverts, across lost leaders,
//! lost disks and racing tickets.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::READY_TIMEOUT;
use common::ready_fleet;
use common::run;
use common::small_settings;
use crocustally_entry::StatusReport;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::workspace_key;
use crocustally_standin::CallerRequest;

const CONFLICT: u32 = 5001;
const STALE: u32 = 5002;
const NOT_READY: u32 = 2013;
const TIMEOUT: Duration = Duration::from_secs(20);

fn ticket(number: u64, domain: &str) -> String {
    format!("number: {number}\ndomains: [{{name: {domain}}}]\n")
}

fn settings() -> FleetSettings {
    FleetSettings { entries: 4, ..small_settings() }
}

async fn find_leader(fleet: &ProcessFleet) -> usize {
    for _ in 0..500 {
        for i in 0..fleet.plan.entries.len() {
            let Some(s) = fleet.status(i).await else { continue };
            if s.leader.as_deref() == Some(&s.name) {
                return i;
            }
        }
        crocustally_net::sleep(Duration::from_millis(20)).await;
    }
    panic!("no entry became leader");
}

fn in_force(version: u64) -> impl Fn(&StatusReport) -> bool {
    move |s| s.version == version && s.instances.iter().all(|i| i.version == version)
}

#[test]
fn ticket_is_in_force_at_every_instance_within_six_seconds() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, FleetSettings::default()).await;
        assert_eq!(fleet.apply_until_decided(3, &ticket(2, "x"), TIMEOUT).await, Some(0));
        for i in 0..4 {
            assert!(fleet.wait_status(i, Duration::from_secs(6), in_force(2)).await, "entry {i}");
        }
    });
}

#[test]
fn racing_tickets_with_the_same_number_have_one_winner() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, settings()).await;
        let (ours, theirs) = (ticket(5, "ours"), ticket(5, "theirs"));
        let both = futures_lite::future::zip(
            fleet.apply_until_decided(1, &ours, TIMEOUT),
            fleet.apply_until_decided(2, &theirs, TIMEOUT),
        );
        let (our_code, their_code) = both.await;
        let mut codes = [our_code.unwrap(), their_code.unwrap()];
        codes.sort_unstable();
        assert_eq!(codes, [0, CONFLICT]);
        // Both tickets are sent again, as after a lost response: each gets its first decision.
        assert_eq!(fleet.apply_until_decided(0, &ours, TIMEOUT).await, our_code);
        assert_eq!(fleet.apply_until_decided(3, &theirs, TIMEOUT).await, their_code);
        let winner = if our_code == Some(0) { "ours" } else { "theirs" };
        assert_eq!(fleet.apply_until_decided(0, &ticket(4, winner), TIMEOUT).await, Some(STALE));
        assert_eq!(fleet.apply_until_decided(0, &ticket(3, "other"), TIMEOUT).await, Some(0));
    });
}

#[test]
fn killed_leader_is_replaced_and_catches_up_after_restart() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        let old_leader = find_leader(&fleet).await;
        fleet.kill_entry(old_leader);
        let other = (old_leader + 1) % 4;
        assert_eq!(fleet.apply_until_decided(other, &ticket(2, "x"), TIMEOUT).await, Some(0));
        fleet.start_entry(old_leader).unwrap();
        assert!(fleet.wait_status(old_leader, TIMEOUT, |s| s.version == 2).await);
    });
}

#[test]
fn frozen_leader_catches_up_after_resume() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, settings()).await;
        let old_leader = find_leader(&fleet).await;
        fleet.set_entry_frozen(old_leader, true);
        let other = (old_leader + 1) % 4;
        for n in 2..30 {
            assert_eq!(fleet.apply_until_decided(other, &ticket(n, "x"), TIMEOUT).await, Some(0));
        }
        fleet.set_entry_frozen(old_leader, false);
        assert!(fleet.wait_status(old_leader, TIMEOUT, |s| s.version == 29).await);
        assert_eq!(fleet.apply_until_decided(old_leader, &ticket(30, "x"), TIMEOUT).await, Some(0));
    });
}

#[test]
fn lost_disk_is_repaired_and_a_second_loss_keeps_all_data() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        assert_eq!(fleet.apply_until_decided(0, &ticket(2, "x"), TIMEOUT).await, Some(0));
        let booking = CallerRequest::booking(&workspace_key(0), "k", "room");
        assert_eq!(fleet.caller(0).send(&booking).await.status, 200);
        fleet.kill_entry_and_wipe_disk(0);
        fleet.start_entry(0).unwrap();
        // At the restarted entry, the replica that was lost with the disk has no name, so an unnamed
        // voter is one that still has to be replaced.
        let repaired = |s: &StatusReport| {
            let named = s.voters.iter().filter(|v| v.starts_with("entry-")).count();
            s.version == 2 && (named, s.voters.len(), s.learners.len()) == (3, 3, 1)
        };
        assert!(fleet.wait_status(0, Duration::from_secs(40), repaired).await);
        fleet.kill_entry_and_wipe_disk(1);
        assert_eq!(fleet.apply_until_decided(0, &ticket(3, "y"), TIMEOUT).await, Some(0));
        let data_kept = |s: &StatusReport| (s.claims, s.next_number) == (1, 4);
        assert!(fleet.wait_status(2, TIMEOUT, data_kept).await);
        let retry = fleet.caller(2).send(&booking).await;
        assert_eq!(retry.status, 200, "{retry:?}");
        assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
    });
}

#[test]
fn restarted_entry_serves_within_two_seconds_after_500_missed_tickets() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        fleet.kill_entry(3);
        for n in 2..502 {
            let code =
                fleet.apply_until_decided(0, &ticket(n, &format!("d{}", n % 40)), TIMEOUT).await;
            assert_eq!(code, Some(0), "ticket {n}");
        }
        fleet.start_entry(3).unwrap();
        let started_at = std::time::Instant::now();
        assert!(fleet.wait_status(3, TIMEOUT, |s| s.version == 501).await);
        let chat = CallerRequest::chat(&workspace_key(0), "course", "quiz", 4);
        let mut response = fleet.caller(3).send(&chat).await;
        while !response.is_complete_stream(0, 4) && started_at.elapsed() < TIMEOUT {
            response = fleet.caller(3).send(&chat).await;
        }
        let elapsed = started_at.elapsed();
        assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    });
}

#[test]
fn local_domain_out_without_quorum_is_committed_after_recovery() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, small_settings()).await;
        fleet.kill_entry(0);
        fleet.kill_entry(1);
        assert!(fleet.operator(2).local_out("zone-a").await.is_some());
        let leaving =
            |s: &StatusReport| s.instances.iter().any(|i| i.name == "assistant-1" && i.leaving);
        assert!(fleet.wait_status(2, Duration::from_secs(3), leaving).await);
        let before = fleet.stand_ins.engines[0].cache_stats().0;
        for i in 0..12 {
            let chat = CallerRequest::chat(&workspace_key(0), "course", &i.to_string(), 4);
            let response = fleet.caller(2).send(&chat).await;
            assert!(response.is_complete_stream(0, 4), "{response:?}");
        }
        assert_eq!(fleet.stand_ins.engines[0].cache_stats().0, before);
        fleet.start_entry(0).unwrap();
        fleet.start_entry(1).unwrap();
        for i in 0..3 {
            let committed =
                |s: &StatusReport| s.version >= 2 && s.domains_out == vec!["zone-a".to_owned()];
            assert!(fleet.wait_status(i, READY_TIMEOUT, committed).await, "entry {i}");
        }
    });
}

#[test]
fn diskless_entry_pulls_configuration_and_claims_through_other_entries() {
    run(|rt| async move {
        let settings = FleetSettings { diskless: true, ..settings() };
        let mut fleet = ready_fleet(&rt, settings).await;
        assert!(!fleet.plan.entry_yaml(3).contains("data:"));
        assert_eq!(fleet.apply_until_decided(3, &ticket(2, "x"), TIMEOUT).await, Some(0));
        assert!(fleet.wait_status(3, Duration::from_secs(6), |s| s.version == 2).await);
        let booking = CallerRequest::booking(&workspace_key(0), "k", "room");
        assert_eq!(fleet.caller(3).send(&booking).await.status, 200);
        assert_eq!(fleet.caller(3).send(&booking).await.status, 200);
        assert_eq!(fleet.stand_ins.journal.run_count("k"), 1);
        let old_leader = find_leader(&fleet).await;
        fleet.kill_entry(old_leader);
        assert_eq!(fleet.apply_until_decided(3, &ticket(3, "y"), TIMEOUT).await, Some(0));
        assert!(fleet.wait_status(3, Duration::from_secs(6), |s| s.version == 3).await);
    });
}

#[test]
fn entry_with_lost_disk_never_reports_an_older_version() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, settings()).await;
        for n in 2..802 {
            let code =
                fleet.apply_until_decided(1, &ticket(n, &format!("d{}", n % 9)), TIMEOUT).await;
            assert_eq!(code, Some(0), "ticket {n}");
        }
        assert!(fleet.wait_status(3, TIMEOUT, |s| s.version == 801).await);
        fleet.kill_entry_and_wipe_disk(3);
        fleet.start_entry(3).unwrap();
        let chat = CallerRequest::chat(&workspace_key(0), "course", "quiz", 4);
        let mut seen = Vec::new();
        let started_at = std::time::Instant::now();
        while !seen.contains(&801) && started_at.elapsed() < TIMEOUT {
            let Some(s) = fleet.status(3).await else { continue };
            seen.push(s.version);
            if s.version == 0 {
                let response = fleet.caller(3).send(&chat).await;
                let not_ready = (response.code, response.ran.as_str()) == (NOT_READY, "no");
                assert!(
                    response.status != 401 && (not_ready || response.status == 200),
                    "{response:?}"
                );
            }
        }
        seen.dedup();
        assert_eq!(seen, [0, 801]);
    });
}
