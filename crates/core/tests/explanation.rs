//! Tests of the explanation of a dispatch, with simulated time.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::Code;
use crocustally_core::dispatch::DispatchDecision;
use crocustally_core::dispatch::DispatchRequest;
use crocustally_core::dispatch::EarlierSends;
use crocustally_core::dispatch::GatewaySet;
use crocustally_core::dispatch::HeldBack;
use crocustally_core::dispatch::LimiterSettings;
use crocustally_core::dispatch::MemberKey;
use crocustally_core::dispatch::Obstacle;
use crocustally_core::dispatch::Pool;
use crocustally_core::dispatch::PoolSettings;
use crocustally_core::dispatch::RankState;
use crocustally_core::dispatch::RequestOutcome;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::Registration;

const MS: Duration = Duration::from_millis(1);
const SLOTS: u32 = 10;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

fn registration(now: Instant, n: u8) -> Registration {
    let heartbeat = Heartbeat {
        id: format!("e{n}"),
        service: "s".to_owned(),
        address: address(n),
        domain: format!("d{n}"),
        born_ms: 1,
        sequence: 1,
        slots: SLOTS,
        state: HeartbeatState::Ready,
        cold_remaining: Duration::ZERO,
    };
    Registration { heartbeat, received_at: now, replaced: false }
}

/// A pool of 8 endpoints, of which the n-th has n requests, in its limits.
fn pool(now: Instant, limiter: Option<LimiterSettings>) -> Pool {
    let gateways = GatewaySet::new(0, 0..1, true);
    let cfg = PoolSettings { limiter, gateways, connections_max: 100, ..PoolSettings::default() };
    let mut pool = Pool::new(cfg);
    for n in 0..8 {
        pool.update_registration(&registration(now, n));
        report(&mut pool, now, n, true, u32::from(n));
    }
    pool
}

fn report(pool: &mut Pool, now: Instant, n: u8, open: bool, requests: u32) {
    pool.record_rank_state(address(n), RankState { open, requests, observed_at: now, group: 0 });
}

fn wide_limiter() -> Option<LimiterSettings> {
    Some(LimiterSettings { floor: 1000.0, ceiling: 1000.0, ..Default::default() })
}

fn request(now: Instant) -> DispatchRequest {
    DispatchRequest {
        urgency: 1,
        is_caller_retry: false,
        workspace: 0,
        prompt_tokens: 800,
        max_response_tokens: 0,
        parts: Default::default(),
        queue_deadline: now + 150 * MS,
        late_deadline: now + 150 * MS,
        return_time_max: 2500 * MS,
        outage_deadline: now,
        tried: Default::default(),
        earlier: EarlierSends::None,
    }
}

/// Guards against an explanation that consumes random draws, the cold limit or the retry budget, or
/// that counts a request.
#[test]
fn explaining_changes_no_later_decision() {
    let now = Instant::now();
    for limiter in [None, wide_limiter()] {
        let (mut asked, mut not_asked) = (pool(now, limiter), pool(now, limiter));
        let cold = Registration {
            heartbeat: Heartbeat { cold_remaining: 5000 * MS, ..registration(now, 0).heartbeat },
            ..registration(now, 0)
        };
        for p in [&mut asked, &mut not_asked] {
            p.update_registration(&cold);
        }
        for step in 0..60 {
            let now = now + step * 20 * MS;
            asked.explain(now, &request(now));
            let retry = DispatchRequest { earlier: EarlierSends::Arrived, ..request(now) };
            asked.explain(now, &retry);
            let req = if step % 3 == 0 { retry } else { request(now) };
            assert_eq!(asked.dispatch(now, &req), not_asked.dispatch(now, &req), "step {step}");
        }
    }
}

/// Guards against chances that differ from those with which requests are sent.
#[test]
fn chances_are_those_of_dispatch() {
    const SENDS: u32 = 4000;
    let now = Instant::now();
    let mut pool = pool(now, wide_limiter());
    let report_loads =
        |pool: &mut Pool| (0..8).for_each(|n| report(pool, now, n, true, u32::from(n) / 4));
    report_loads(&mut pool);
    let explained = pool.explain(now, &request(now));
    assert!(explained.held_back.is_none());
    assert!(explained.members.iter().all(|m| m.probability < 0.5), "{explained:?}");
    let mut sent: BTreeMap<MemberKey, u32> = BTreeMap::new();
    for _ in 0..SENDS {
        let DispatchDecision::Send(key) = pool.dispatch(now, &request(now)) else { panic!() };
        *sent.entry(key).or_default() += 1;
        pool.response_started(now, key, 800, MS);
        pool.complete(now, key, RequestOutcome::Unused, Duration::ZERO);
        // The reports cover what was sent, so the next request finds the same loads.
        report_loads(&mut pool);
    }
    for m in &explained.members {
        let share = f64::from(sent.get(&m.key).copied().unwrap_or(0)) / f64::from(SENDS);
        assert!((share - m.probability).abs() < 0.04, "{m:?}: {share}");
    }
}

/// Guards against an endpoint that gets nothing without a reason being shown.
#[test]
fn reasons_are_shown() {
    let now = Instant::now();
    let mut pool = pool(now, wide_limiter());
    let keys: Vec<MemberKey> = pool.members().map(|(k, _)| k).collect();
    let mut draining = registration(now, 0);
    draining.heartbeat.state = HeartbeatState::Draining;
    pool.update_registration(&draining);
    report(&mut pool, now, 1, false, 0);
    report(&mut pool, now, 2, true, SLOTS);
    pool.set_evacuated_domains(&BTreeSet::from(["d3".to_owned()]));
    pool.record_leaving(keys[4]);
    pool.record_quiet(now, keys[5], 700 * MS);
    let tried = DispatchRequest { tried: [keys[6]].into_iter().collect(), ..request(now) };
    let explained = pool.explain(now, &tried);
    let obstacles: Vec<Option<Obstacle>> = explained.members.iter().map(|m| m.obstacle).collect();
    assert_eq!(
        obstacles,
        [
            Some(Obstacle::Draining),
            Some(Obstacle::GroupClosed),
            Some(Obstacle::Full),
            Some(Obstacle::OutOfService),
            Some(Obstacle::Leaving),
            Some(Obstacle::Quiet(700 * MS)),
            Some(Obstacle::Tried),
            None,
        ]
    );
    assert_eq!(explained.members[7].probability, 1.0);
    assert_eq!(explained.decision, DispatchDecision::Send(keys[7]));
}

/// Guards against a limit of the gateway or the fleet that is shown as room.
#[test]
fn limits_are_shown() {
    let now = Instant::now();
    let limiter = LimiterSettings { streams_per_endpoint: 1.0, ..wide_limiter().unwrap() };
    let explained = pool(now, Some(limiter)).explain(now, &request(now));
    assert_eq!(explained.held_back, Some(HeldBack::FleetLimit));
    // The expected wait is longer than the request may wait.
    let DispatchDecision::Refuse(refusal) = explained.decision else { panic!("{explained:?}") };
    assert_eq!(refusal.code, Code::Overloaded);
    assert_eq!(refusal.retry_after, explained.expected_wait + 250 * MS);
    let patient = DispatchRequest { queue_deadline: now + 3000 * MS, ..request(now) };
    let explained = pool(now, Some(limiter)).explain(now, &patient);
    assert!(matches!(explained.decision, DispatchDecision::Wait(..)), "{explained:?}");
    let none = LimiterSettings { floor: 0.0, ceiling: 0.0, ..Default::default() };
    let explained = pool(now, Some(none)).explain(now, &request(now));
    assert_eq!(explained.held_back, Some(HeldBack::GatewayLimit));
}
