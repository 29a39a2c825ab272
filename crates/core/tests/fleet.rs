//! Tests of the registry with delayed and duplicate heartbeats, restarts and reused addresses.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use crocustally_core::fleet::Departure;
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

fn departure(id: &str, born_ms: Option<u64>) -> Departure {
    Departure { id: id.to_owned(), born_ms }
}

fn state(registry: &Registry, id: &str) -> HeartbeatState {
    registry.get(id).unwrap().heartbeat.state
}

#[test]
fn delayed_heartbeat_does_not_end_draining() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, heartbeat("a", 1, 5, 1, HeartbeatState::Ready));
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("a", 1, 5, 3, HeartbeatState::Draining)),
        RegistryChange::Changed
    );
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("a", 1, 5, 2, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
    assert_eq!(state(&registry, "a"), HeartbeatState::Draining);
}

#[test]
fn gone_endpoint_returns_only_as_a_new_incarnation() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, heartbeat("a", 1, 5, 1, HeartbeatState::Ready));
    registry.record_departure(now, &departure("a", None));
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("a", 1, 5, 9, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
    assert_eq!(state(&registry, "a"), HeartbeatState::Gone);
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("a", 1, 6, 1, HeartbeatState::Ready)),
        RegistryChange::Changed
    );
    assert_eq!(state(&registry, "a"), HeartbeatState::Ready);
}

#[test]
fn shutdown_notice_of_an_earlier_incarnation_is_ignored() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, heartbeat("a", 1, 6, 1, HeartbeatState::Ready));
    assert!(registry.record_departure(now, &departure("a", Some(5))).is_none());
    assert_eq!(state(&registry, "a"), HeartbeatState::Ready);
}

#[test]
fn new_incarnation_restarts_the_sequence_numbers() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, heartbeat("a", 1, 5, 900, HeartbeatState::Draining));
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("a", 1, 6, 1, HeartbeatState::Ready)),
        RegistryChange::Changed
    );
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("a", 1, 5, 901, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
}

#[test]
fn address_belongs_to_the_endpoint_started_last() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.record_heartbeat(now, heartbeat("a", 1, 5, 1, HeartbeatState::Ready));
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("b", 1, 7, 1, HeartbeatState::Ready)),
        RegistryChange::Changed
    );
    assert_eq!(state(&registry, "a"), HeartbeatState::Gone);
    // Heartbeats delayed by a network partition until the address belongs to another endpoint.
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("a", 1, 5, 2, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("c", 1, 6, 1, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
    assert_eq!(state(&registry, "b"), HeartbeatState::Ready);
}

#[test]
fn heartbeat_without_changes_only_refreshes() {
    let now = Instant::now();
    let mut registry = Registry::default();
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("a", 1, 5, 1, HeartbeatState::Ready)),
        RegistryChange::Changed
    );
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("a", 1, 5, 2, HeartbeatState::Ready)),
        RegistryChange::Refreshed
    );
    assert_eq!(
        registry.record_heartbeat(now, heartbeat("a", 1, 5, 2, HeartbeatState::Ready)),
        RegistryChange::Ignored
    );
}

#[test]
fn heartbeat_round_trips_through_the_wire_format() {
    let sent = heartbeat("a", 1, 5, 1, HeartbeatState::Draining);
    assert_eq!(Heartbeat::try_from(sent.to_wire(Duration::from_millis(40))).unwrap(), sent);
}

/// Guards against sound endpoints that count as gone once others register at the addresses that they had
/// before a restart.
#[test]
fn earlier_address_of_a_restarted_endpoint_is_free_for_others() {
    for restarted_at in [6, 8] {
        let now = Instant::now();
        let mut registry = Registry::default();
        registry.record_heartbeat(now, heartbeat("a", 1, 5, 1, HeartbeatState::Ready));
        registry.record_heartbeat(now, heartbeat("a", 2, restarted_at, 1, HeartbeatState::Ready));
        assert_eq!(registry.holder(&([10, 0, 0, 1], 1).into()), None);
        let other = registry.record_heartbeat(now, heartbeat("b", 1, 7, 1, HeartbeatState::Ready));
        assert_eq!(other, RegistryChange::Changed, "restarted at {restarted_at}");
        assert_eq!(state(&registry, "a"), HeartbeatState::Ready, "restarted at {restarted_at}");
        let next = heartbeat("a", 2, restarted_at, 2, HeartbeatState::Ready);
        assert_eq!(registry.record_heartbeat(now, next), RegistryChange::Refreshed);
        // One that was delayed since before the restart changes nothing.
        let delayed = heartbeat("a", 1, 5, 9, HeartbeatState::Ready);
        assert_eq!(registry.record_heartbeat(now, delayed), RegistryChange::Ignored);
        assert_eq!(registry.holder(&([10, 0, 0, 1], 1).into()), Some("b"));
    }
}
