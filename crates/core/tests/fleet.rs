//! Heartbeats that are late, repeated, reborn, or at an address that another endpoint has now.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use crocustally_core::fleet::Beat;
use crocustally_core::fleet::BeatState;
use crocustally_core::fleet::Change;
use crocustally_core::fleet::Registry;

fn beat(id: &str, port: u16, born_ms: u64, sequence: u64, state: BeatState) -> Beat {
    Beat {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        domain: "d".to_owned(),
        born_ms,
        sequence,
        slots: 4,
        state,
        cold: Duration::ZERO,
    }
}

fn state(r: &Registry, id: &str) -> BeatState {
    r.get(id).unwrap().beat.state
}

#[test]
fn a_late_heartbeat_does_not_revive_a_draining_endpoint() {
    let now = Instant::now();
    let mut r = Registry::default();
    r.beat(now, beat("a", 1, 5, 1, BeatState::Ready));
    assert_eq!(r.beat(now, beat("a", 1, 5, 3, BeatState::Draining)), Change::Changed);
    assert_eq!(r.beat(now, beat("a", 1, 5, 2, BeatState::Ready)), Change::Ignored);
    assert_eq!(state(&r, "a"), BeatState::Draining);
}

#[test]
fn an_endpoint_that_has_left_comes_back_only_reborn() {
    let now = Instant::now();
    let mut r = Registry::default();
    r.beat(now, beat("a", 1, 5, 1, BeatState::Ready));
    r.leave(now, "a", None);
    assert_eq!(r.beat(now, beat("a", 1, 5, 9, BeatState::Ready)), Change::Ignored);
    assert_eq!(state(&r, "a"), BeatState::Gone);
    assert_eq!(r.beat(now, beat("a", 1, 6, 1, BeatState::Ready)), Change::Changed);
    assert_eq!(state(&r, "a"), BeatState::Ready);
}

#[test]
fn the_leave_of_an_earlier_incarnation_is_ignored() {
    let now = Instant::now();
    let mut r = Registry::default();
    r.beat(now, beat("a", 1, 6, 1, BeatState::Ready));
    assert!(r.leave(now, "a", Some(5)).is_none());
    assert_eq!(state(&r, "a"), BeatState::Ready);
}

#[test]
fn a_reborn_endpoint_starts_its_count_anew() {
    let now = Instant::now();
    let mut r = Registry::default();
    r.beat(now, beat("a", 1, 5, 900, BeatState::Draining));
    assert_eq!(r.beat(now, beat("a", 1, 6, 1, BeatState::Ready)), Change::Changed);
    assert_eq!(r.beat(now, beat("a", 1, 5, 901, BeatState::Ready)), Change::Ignored);
}

#[test]
fn an_address_belongs_to_the_endpoint_born_last() {
    let now = Instant::now();
    let mut r = Registry::default();
    r.beat(now, beat("a", 1, 5, 1, BeatState::Ready));
    assert_eq!(r.beat(now, beat("b", 1, 7, 1, BeatState::Ready)), Change::Changed);
    assert_eq!(state(&r, "a"), BeatState::Gone);
    // A heartbeat that a partition held back until after the address was used again.
    assert_eq!(r.beat(now, beat("a", 1, 5, 2, BeatState::Ready)), Change::Ignored);
    assert_eq!(r.beat(now, beat("c", 1, 6, 1, BeatState::Ready)), Change::Ignored);
    assert_eq!(state(&r, "b"), BeatState::Ready);
}

#[test]
fn refreshed_heartbeats_are_no_news() {
    let now = Instant::now();
    let mut r = Registry::default();
    assert_eq!(r.beat(now, beat("a", 1, 5, 1, BeatState::Ready)), Change::Changed);
    assert_eq!(r.beat(now, beat("a", 1, 5, 2, BeatState::Ready)), Change::Refreshed);
    assert_eq!(r.beat(now, beat("a", 1, 5, 2, BeatState::Ready)), Change::Ignored);
}

#[test]
fn a_beat_survives_the_way_between_processes() {
    let said = beat("a", 1, 5, 1, BeatState::Draining);
    assert_eq!(Beat::try_from(said.to_wire(Duration::from_millis(40))).unwrap(), said);
}
