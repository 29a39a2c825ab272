//! Heartbeats that are late, repeated, reborn, or at an address that another endpoint has now.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::Registry;
use crocustally_core::fleet::RegistryChange;

fn heartbeat(id: &str, port: u16, born_ms: u64, sequence: u64, state: HeartbeatState) -> Heartbeat {
    Heartbeat {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        domain: "d".to_owned(),
        born_ms,
        sequence,
        slots: 4,
        state,
        cold_remaining: Duration::ZERO,
    }
}

fn state(r: &Registry, id: &str) -> HeartbeatState {
    r.get(id).unwrap().heartbeat.state
}

#[test]
fn a_late_heartbeat_does_not_revive_a_draining_endpoint() {
    let now = Instant::now();
    let mut r = Registry::default();
    r.record_heartbeat(now, heartbeat("a", 1, 5, 1, HeartbeatState::Ready));
    assert_eq!(
        r.record_heartbeat(now, heartbeat("a", 1, 5, 3, HeartbeatState::Draining)),
        RegistryChange::Changed
    );
    assert_eq!(
        r.record_heartbeat(now, heartbeat("a", 1, 5, 2, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
    assert_eq!(state(&r, "a"), HeartbeatState::Draining);
}

#[test]
fn an_endpoint_that_has_left_comes_back_only_reborn() {
    let now = Instant::now();
    let mut r = Registry::default();
    r.record_heartbeat(now, heartbeat("a", 1, 5, 1, HeartbeatState::Ready));
    r.mark_gone(now, "a", None);
    assert_eq!(
        r.record_heartbeat(now, heartbeat("a", 1, 5, 9, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
    assert_eq!(state(&r, "a"), HeartbeatState::Gone);
    assert_eq!(
        r.record_heartbeat(now, heartbeat("a", 1, 6, 1, HeartbeatState::Ready)),
        RegistryChange::Changed
    );
    assert_eq!(state(&r, "a"), HeartbeatState::Ready);
}

#[test]
fn the_leave_of_an_earlier_incarnation_is_ignored() {
    let now = Instant::now();
    let mut r = Registry::default();
    r.record_heartbeat(now, heartbeat("a", 1, 6, 1, HeartbeatState::Ready));
    assert!(r.mark_gone(now, "a", Some(5)).is_none());
    assert_eq!(state(&r, "a"), HeartbeatState::Ready);
}

#[test]
fn a_reborn_endpoint_starts_its_count_anew() {
    let now = Instant::now();
    let mut r = Registry::default();
    r.record_heartbeat(now, heartbeat("a", 1, 5, 900, HeartbeatState::Draining));
    assert_eq!(
        r.record_heartbeat(now, heartbeat("a", 1, 6, 1, HeartbeatState::Ready)),
        RegistryChange::Changed
    );
    assert_eq!(
        r.record_heartbeat(now, heartbeat("a", 1, 5, 901, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
}

#[test]
fn an_address_belongs_to_the_endpoint_born_last() {
    let now = Instant::now();
    let mut r = Registry::default();
    r.record_heartbeat(now, heartbeat("a", 1, 5, 1, HeartbeatState::Ready));
    assert_eq!(
        r.record_heartbeat(now, heartbeat("b", 1, 7, 1, HeartbeatState::Ready)),
        RegistryChange::Changed
    );
    assert_eq!(state(&r, "a"), HeartbeatState::Gone);
    // A heartbeat that a partition held back until after the address was used again.
    assert_eq!(
        r.record_heartbeat(now, heartbeat("a", 1, 5, 2, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
    assert_eq!(
        r.record_heartbeat(now, heartbeat("c", 1, 6, 1, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
    assert_eq!(state(&r, "b"), HeartbeatState::Ready);
}

#[test]
fn refreshed_heartbeats_are_no_news() {
    let now = Instant::now();
    let mut r = Registry::default();
    assert_eq!(
        r.record_heartbeat(now, heartbeat("a", 1, 5, 1, HeartbeatState::Ready)),
        RegistryChange::Changed
    );
    assert_eq!(
        r.record_heartbeat(now, heartbeat("a", 1, 5, 2, HeartbeatState::Ready)),
        RegistryChange::Refreshed
    );
    assert_eq!(
        r.record_heartbeat(now, heartbeat("a", 1, 5, 2, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
}

#[test]
fn a_beat_survives_the_way_between_processes() {
    let sent = heartbeat("a", 1, 5, 1, HeartbeatState::Draining);
    assert_eq!(Heartbeat::try_from(sent.to_wire(Duration::from_millis(40))).unwrap(), sent);
}
