//! Which control instance an agent reports to while the leader is frozen.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crocustally_rank::LeaderSearch;

fn control(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7340))
}

#[test]
fn a_frozen_leader_that_followers_still_name_is_not_asked_again() {
    let mut now = Instant::now();
    let (frozen, elected) = (control(1), control(3));
    let mut search = LeaderSearch::new(&[frozen, control(2), elected]);
    search.record_timeout(now, frozen);
    for _ in 0..10 {
        now += Duration::from_millis(100);
        let asked = search.next_instance(now).unwrap();
        assert_ne!(asked, frozen);
        assert_eq!(search.redirect_target(now, frozen), None, "a follower names the old leader");
    }
    assert_eq!(search.redirect_target(now, elected), Some(elected));
    // It may lead again once it has thawed.
    now += Duration::from_millis(1500);
    assert_eq!(search.redirect_target(now, frozen), Some(frozen));
}

#[test]
fn the_only_instance_is_asked_even_when_it_was_silent() {
    let now = Instant::now();
    let mut search = LeaderSearch::new(&[control(1)]);
    search.record_timeout(now, control(1));
    assert_eq!(search.next_instance(now), Some(control(1)));
}

#[test]
fn instances_that_are_told_of_are_asked_in_their_turn() {
    let now = Instant::now();
    let mut search = LeaderSearch::new(&[control(1)]);
    search.add_instances(&[control(2), control(2)]);
    let mut asked: Vec<SocketAddr> = (0..4).map(|_| search.next_instance(now).unwrap()).collect();
    asked.sort();
    assert_eq!(asked, [control(1), control(1), control(2), control(2)]);
}
