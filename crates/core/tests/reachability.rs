//! Tests of how a gateway avoids endpoints behind a network partition, with simulated time.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::dispatch::DispatchDecision;
use crocustally_core::dispatch::DispatchRequest;
use crocustally_core::dispatch::EarlierSends;
use crocustally_core::dispatch::LimiterSettings;
use crocustally_core::dispatch::MemberKey;
use crocustally_core::dispatch::Pool;
use crocustally_core::dispatch::PoolSettings;
use crocustally_core::dispatch::RankState;
use crocustally_core::dispatch::Reachability;
use crocustally_core::dispatch::RequestOutcome;
use crocustally_core::dispatch::SharedReachability;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::Registration;

const MS: Duration = Duration::from_millis(1);
/// Timeout of a gateway for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

fn registration(now: Instant, n: u8) -> Registration {
    let heartbeat = Heartbeat {
        id: format!("e{n}"),
        service: "s".to_owned(),
        address: address(n),
        domain: format!("d{}", n % 3),
        born_ms: 1,
        sequence: 1,
        slots: 10,
        state: HeartbeatState::Ready,
        cold_remaining: Duration::ZERO,
    };
    Registration { heartbeat, received_at: now, replaced: false }
}

fn pool(now: Instant, cfg: PoolSettings, endpoints: u8) -> Pool {
    let mut pool = Pool::new(cfg);
    (0..endpoints).for_each(|n| pool.update_registration(&registration(now, n)));
    pool
}

/// Settings for engines, whose agents report their load.
fn engines() -> PoolSettings {
    let limiter = LimiterSettings { floor: 100.0, ..LimiterSettings::default() };
    PoolSettings { limiter: Some(limiter), ..PoolSettings::default() }
}

fn request(now: Instant) -> DispatchRequest {
    DispatchRequest {
        urgency: 0,
        is_caller_retry: false,
        workspace: 0,
        late_deadline: now + 150 * MS,
        return_time_max: 2500 * MS,
        prompt_tokens: 0,
        max_response_tokens: 0,
        parts: Default::default(),
        queue_deadline: now + 150 * MS,
        outage_deadline: now,
        tried: Default::default(),
        earlier: EarlierSends::None,
    }
}

fn send(pool: &mut Pool, now: Instant) -> MemberKey {
    match pool.dispatch(now, &request(now)) {
        DispatchDecision::Send(key) => key,
        other => panic!("not sent: {other:?}"),
    }
}

fn domain(pool: &Pool, key: MemberKey) -> String {
    pool.member(key).unwrap().registration.heartbeat.domain.clone()
}

fn report(pool: &mut Pool, n: u8, observed_at: Instant) {
    pool.record_rank_state(
        address(n),
        RankState { open: true, requests: 1, group: 0, observed_at },
    );
}

/// Requests of a gateway over time, while no endpoint of the domains `cut` responds and connections
/// to them time out. Returns the number of requests sent to each domain from `from` on.
fn requests_during_cut(
    pool: &mut Pool,
    start: Instant,
    cut: &[&str],
    (from, until): (Duration, Duration),
    every: Duration,
) -> BTreeMap<String, u32> {
    let mut open: Vec<(Instant, MemberKey, Duration, RequestOutcome)> = Vec::new();
    let mut counts = BTreeMap::new();
    let mut sent_at = Duration::ZERO;
    for ms in 0..until.as_millis() as u32 {
        let now = start + ms * MS;
        for (_, key, held, outcome) in open.extract_if(.., |(at, ..)| *at <= now) {
            let _ = pool.complete(now, key, outcome, held);
        }
        if ms * MS < sent_at {
            continue;
        }
        sent_at += every;
        let key = send(pool, now);
        let domain = domain(pool, key);
        let (took, outcome) = if cut.contains(&domain.as_str()) {
            (CONNECT_TIMEOUT, RequestOutcome::Unreachable)
        } else {
            (60 * MS, RequestOutcome::Whole)
        };
        open.push((now + took, key, took, outcome));
        if ms * MS >= from {
            *counts.entry(domain).or_insert(0) += 1;
        }
    }
    counts
}

/// Guards against each gateway learning of each of 24 unreachable endpoints by a connection timeout of
/// its own, which cost a third of the streams their objective during a cut (Kitamori). The endpoints
/// here do not report their load.
#[test]
fn two_connection_timeouts_in_a_domain_spare_its_other_endpoints() {
    let start = Instant::now();
    let mut pool = pool(start, PoolSettings::default(), 72);
    let span = (1500 * MS, 6000 * MS);
    let counts = requests_during_cut(&mut pool, start, &["d1"], span, 100 * MS);
    // Probes after 0.5, 1, 2 and 2 s.
    let probes = counts.get("d1").copied().unwrap_or(0);
    assert!((1..=4).contains(&probes), "{probes} requests to the domain that is cut off");
}

/// Guards against requests to engines that are cut off together with the agents beside them: their
/// reports end, which all gateways see at once.
#[test]
fn engine_whose_reports_have_ended_gets_no_request_while_others_report() {
    let start = Instant::now();
    let mut pool = pool(start, engines(), 72);
    (0..72).for_each(|n| report(&mut pool, n, start));
    for ms in (100..6000_u32).step_by(100) {
        let now = start + ms * MS;
        (0..72).filter(|n| n % 3 != 1).for_each(|n| report(&mut pool, n, now));
        let key = send(&mut pool, now);
        assert!(ms <= 700 || domain(&pool, key) != "d1", "sent to it after {ms} ms");
        let _ = pool.complete(now, key, RequestOutcome::Whole, 60 * MS);
    }
    // A healed domain gets requests again with its first reports.
    let now = start + 6000 * MS;
    (0..72).for_each(|n| report(&mut pool, n, now));
    let to_healed = (0..60)
        .filter(|_| {
            let key = send(&mut pool, now);
            domain(&pool, key) == "d1"
        })
        .count();
    assert!(to_healed >= 10, "{to_healed} of 60 requests to the healed domain");
}

/// Guards against overloading the endpoints whose reports still arrive, if the others only report
/// late: they serve what the first have no room for.
#[test]
fn engines_without_reports_serve_what_the_others_have_no_room_for() {
    let start = Instant::now();
    let mut pool = pool(start, engines(), 3);
    (0..3).for_each(|n| report(&mut pool, n, start));
    let now = start + 1000 * MS;
    [0, 2].iter().for_each(|n| report(&mut pool, *n, now));
    let domains: Vec<String> = (0..24)
        .map(|_| {
            let key = send(&mut pool, now);
            domain(&pool, key)
        })
        .collect();
    assert!(domains[..18].iter().all(|d| d != "d1"), "{domains:?}");
    assert!(domains.iter().any(|d| d == "d1"), "{domains:?}");
}

/// Guards against refusals while every endpoint may be cut off: then all of them may be chosen.
#[test]
fn all_endpoints_are_chosen_if_all_are_suspect() {
    let start = Instant::now();
    let mut pool = pool(start, PoolSettings::default(), 72);
    let cut = ["d0", "d1", "d2"];
    let span = (1500 * MS, 4000 * MS);
    let counts = requests_during_cut(&mut pool, start, &cut, span, 100 * MS);
    assert_eq!(counts.len(), 3, "{counts:?}");
    assert!(counts.values().all(|n| *n >= 3), "{counts:?}");
}

/// Guards against a domain that stays out of use after a cut: one response ends the suspicion.
#[test]
fn response_of_a_probe_ends_the_suspicion() {
    let start = Instant::now();
    let mut pool = pool(start, PoolSettings::default(), 72);
    let span = (Duration::ZERO, 3000 * MS);
    requests_during_cut(&mut pool, start, &["d1"], span, 100 * MS);
    let healed = start + 3500 * MS;
    let span = (2500 * MS, 5000 * MS);
    let counts = requests_during_cut(&mut pool, healed, &[], span, 100 * MS);
    assert!(counts.get("d1").is_some_and(|n| *n >= 5), "{counts:?}");
}

/// Guards against avoiding a whole domain because single endpoints of it are hung or crash while the
/// others respond.
#[test]
fn failures_between_responses_of_a_domain_do_not_make_it_suspect() {
    let start = Instant::now();
    let mut pool = pool(start, PoolSettings::default(), 9);
    let shared = SharedReachability::default();
    pool.share_reachability(shared.clone());
    for step in 0..30_u32 {
        let now = start + step * 100 * MS;
        let key = send(&mut pool, now);
        let hung =
            ["e1", "e4"].contains(&pool.member(key).unwrap().registration.heartbeat.id.as_str());
        let outcome = if hung { RequestOutcome::Unreachable } else { RequestOutcome::Whole };
        // The third endpoint of the domain goes on streaming.
        let streaming = pool.members().find(|(_, m)| m.address() == address(7)).unwrap().0;
        pool.record_reached(now + 90 * MS, streaming);
        let _ = pool.complete(now + 99 * MS, key, outcome, 99 * MS);
        assert!(!shared.lock().unwrap().any_suspect(), "suspect after {step} requests");
    }
}

/// Guards against taking a stalled group for unreachable: its streams go silent in all domains, while
/// the agents of its engines still report.
#[test]
fn silence_of_engines_that_report_does_not_make_a_domain_suspect() {
    let start = Instant::now();
    let mut pool = pool(start, engines(), 9);
    let shared = SharedReachability::default();
    pool.share_reachability(shared.clone());
    (0..9).for_each(|n| report(&mut pool, n, start));
    let keys: Vec<MemberKey> = (0..9).map(|_| send(&mut pool, start)).collect();
    let now = start + 1400 * MS;
    (0..9).for_each(|n| report(&mut pool, n, now));
    for key in &keys {
        let _ = pool.complete(now, *key, RequestOutcome::Silent, 1400 * MS);
    }
    assert!(!shared.lock().unwrap().any_suspect());
    // Without reports, the same silence does.
    let keys: Vec<MemberKey> = (0..9).map(|_| send(&mut pool, now + 700 * MS)).collect();
    let now = now + 2100 * MS;
    for key in &keys {
        let _ = pool.complete(now, *key, RequestOutcome::Silent, 1400 * MS);
    }
    assert!(shared.lock().unwrap().any_suspect());
}

/// Guards against a service with one endpoint in each domain that learns of a cut by its own failures
/// only: the path to a domain is the same for the endpoints of all services.
#[test]
fn cut_that_one_service_finds_spares_the_requests_of_another() {
    let start = Instant::now();
    let shared = SharedReachability::default();
    let mut engines = pool(start, PoolSettings::default(), 72);
    let mut plain = pool(start, PoolSettings::default(), 3);
    engines.share_reachability(shared.clone());
    plain.share_reachability(shared.clone());
    requests_during_cut(&mut engines, start, &["d1"], (Duration::ZERO, 1200 * MS), 100 * MS);
    let changes = shared.lock().unwrap().take_changes();
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].suspect && changes[0].domain == "d1", "{changes:?}");
    let now = start + 1200 * MS;
    let to_cut = (0..12)
        .filter(|_| {
            let key = send(&mut plain, now);
            domain(&plain, key) == "d1"
        })
        .count();
    assert!(to_cut <= 1, "{to_cut} requests to the domain that is cut off");
}

/// Guards against a domain that is never probed again because the result of a probing request got lost,
/// for instance with an endpoint that has moved.
#[test]
fn lost_probe_does_not_prevent_the_next_one_for_ever() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_failure(now, "d1", address(1), CONNECT_TIMEOUT);
    reachability.record_failure(now, "d1", address(4), CONNECT_TIMEOUT);
    assert!(reachability.is_suspect("d1"));
    assert!(!reachability.is_probe_due(now + 499 * MS, "d1"));
    assert!(reachability.is_probe_due(now + 500 * MS, "d1"));
    reachability.record_probe(now + 500 * MS, "d1", address(1));
    assert!(!reachability.is_probe_due(now + 5000 * MS, "d1"));
    assert!(reachability.is_probe_due(now + 11_500 * MS, "d1"));
    // A probe with a result does not delay the next one beyond its interval.
    reachability.record_probe(now + 11_500 * MS, "d1", address(1));
    reachability.record_failure(now + 11_900 * MS, "d1", address(1), CONNECT_TIMEOUT);
    assert!(reachability.is_probe_due(now + 13_500 * MS, "d1"));
}
