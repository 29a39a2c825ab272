//! Tests of [`LeaderSearch`].
//!
//! Guards against an agent that keeps reporting to a frozen leader because followers that have not
//! yet elected a new one redirect to it.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crocustally_rank::LeaderSearch;

fn control(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7340))
}

#[test]
fn redirects_to_a_frozen_leader_are_ignored_until_it_may_lead_again() {
    let mut now = Instant::now();
    let (frozen, elected) = (control(1), control(3));
    let mut search = LeaderSearch::new(&[frozen, control(2), elected]);
    search.record_timeout(now, frozen);
    for _ in 0..10 {
        now += Duration::from_millis(100);
        let selected = search.next_instance(now).unwrap();
        assert_ne!(selected, frozen);
        assert_eq!(search.redirect_target(now, frozen), None, "redirect to the old leader");
    }
    assert_eq!(search.redirect_target(now, elected), Some(elected));
    // The instance may become leader again, so it is skipped for a limited time only.
    now += Duration::from_millis(1500);
    assert_eq!(search.redirect_target(now, frozen), Some(frozen));
}

#[test]
fn only_instance_is_retried_after_a_timeout() {
    let now = Instant::now();
    let mut search = LeaderSearch::new(&[control(1)]);
    search.record_timeout(now, control(1));
    assert_eq!(search.next_instance(now), Some(control(1)));
}

#[test]
fn added_instances_are_selected_round_robin_without_duplicates() {
    let now = Instant::now();
    let mut search = LeaderSearch::new(&[control(1)]);
    search.add_instances(&[control(2), control(2)]);
    let mut selected: Vec<SocketAddr> =
        (0..4).map(|_| search.next_instance(now).unwrap()).collect();
    selected.sort();
    assert_eq!(selected, [control(1), control(1), control(2), control(2)]);
}
