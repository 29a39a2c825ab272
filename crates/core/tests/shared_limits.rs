//! Limits that all gateways share: their sum holds at any number of gateways, also while some of
//! them are cut off, have just restarted or are not known yet, and they stay usable.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::dispatch::DispatchDecision;
use crocustally_core::dispatch::DispatchRequest;
use crocustally_core::dispatch::EarlierSends;
use crocustally_core::dispatch::GatewaySet;
use crocustally_core::dispatch::Pool;
use crocustally_core::dispatch::PoolSettings;
use crocustally_core::dispatch::RequestOutcome;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::Registration;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MS: Duration = Duration::from_millis(1);
/// Requests per second that a cold endpoint may get from all gateways together.
const COLD_PER_S: u32 = 26;
const ENDPOINTS: u8 = 8;

fn identity(gateway: usize) -> u64 {
    crocustally_core::Digest::of(&[format!("front-{gateway}").as_bytes()]).to_u64()
}

fn cold_endpoint(now: Instant, n: u8) -> Registration {
    let heartbeat = Heartbeat {
        id: format!("e{n}"),
        service: "s".to_owned(),
        address: SocketAddr::from(([10, 0, 0, n], 80)),
        domain: "d".to_owned(),
        born_ms: 1,
        sequence: 1,
        slots: 1000,
        state: HeartbeatState::Ready,
        cold_remaining: 60_000 * MS,
    };
    Registration { heartbeat, received_at: now, replaced: false }
}

fn pool(now: Instant, gateways: GatewaySet) -> Pool {
    let cfg =
        PoolSettings { cold_per_s: f64::from(COLD_PER_S), gateways, ..PoolSettings::default() };
    let mut pool = Pool::new(cfg);
    (0..ENDPOINTS).for_each(|n| pool.update_registration(&cold_endpoint(now, n)));
    pool
}

/// Sends for three seconds from all pools, from the first of them `uneven` times as often, and
/// returns the most requests that an endpoint got in one second, and all requests of each endpoint.
fn most_in_one_second(pools: &mut [Pool], start: Instant, uneven: usize) -> (usize, Vec<usize>) {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut sent: Vec<Vec<Instant>> = vec![Vec::new(); usize::from(ENDPOINTS)];
    let per_ms = 2 * pools.len().max(50);
    for ms in 0..3000_u32 {
        let now = start + ms * MS;
        for _ in 0..per_ms.div_ceil(100) {
            let busy = pools.len().div_ceil(10);
            let among = if rng.random_range(0..uneven) == 0 { pools.len() } else { busy };
            let p = &mut pools[rng.random_range(0..among)];
            let req = DispatchRequest {
                urgency: 0,
                is_caller_retry: false,
                workspace: 0,
                prompt_tokens: 0,
                max_response_tokens: 0,
                parts: Default::default(),
                queue_deadline: now,
                late_deadline: now + 150 * MS,
                return_time_max: 2500 * MS,
                outage_deadline: now,
                tried: Default::default(),
                earlier: EarlierSends::None,
            };
            if let DispatchDecision::Send(key) = p.dispatch(now, &req) {
                let at = p.member(key).unwrap().address();
                let std::net::IpAddr::V4(ip) = at.ip() else { panic!("not IPv4: {at}") };
                sent[usize::from(ip.octets()[3])].push(now);
                p.complete(now, key, RequestOutcome::Whole, MS);
            }
        }
    }
    let window = |times: &Vec<Instant>| {
        let count = |i: usize| times[i..].iter().take_while(|t| **t - times[i] < 1000 * MS).count();
        (0..times.len()).map(count).max().unwrap_or(0)
    };
    (sent.iter().map(window).max().unwrap(), sent.iter().map(Vec::len).collect())
}

#[test]
fn cold_endpoint_stays_within_its_rate_at_any_number_of_gateways() {
    for gateways in [4, 58, 400] {
        for uneven in [1, 10] {
            let start = Instant::now();
            let set = |own| GatewaySet::new(identity(own), (0..gateways).map(identity), true);
            let mut pools: Vec<Pool> = (0..gateways).map(|own| pool(start, set(own))).collect();
            let (most, sent) = most_in_one_second(&mut pools, start, uneven);
            assert!(most <= COLD_PER_S as usize, "{gateways} gateways, {uneven}: {most} in 1 s");
            assert!(
                sent.iter().all(|n| *n >= 3),
                "{gateways} gateways, {uneven}: an endpoint is unused: {sent:?}"
            );
        }
    }
}

/// All processes lose power: the gateways know how many there were, from the log, but not yet which,
/// and all endpoints are cold. They must be served all the same.
#[test]
fn cold_endpoints_are_used_right_after_a_restart_of_all_gateways() {
    for gateways in [4, 58, 400] {
        let start = Instant::now();
        let set = |own| GatewaySet::new(identity(own), [], false).with_expected(gateways as u32);
        let mut pools: Vec<Pool> = (0..gateways).map(|own| pool(start, set(own))).collect();
        let (most, sent) = most_in_one_second(&mut pools, start, 1);
        assert!(most <= COLD_PER_S as usize, "{gateways} gateways: {most} in 1 s");
        assert!(sent.iter().all(|n| *n >= 3), "{gateways} gateways: unused: {sent:?}");
    }
}

/// Half of the gateways are cut off from the control instances. Of these, some have restarted and
/// know nobody, and four new gateways are known to nobody.
#[test]
fn cold_endpoint_stays_within_its_rate_during_a_partition() {
    for gateways in [4, 58, 400] {
        let start = Instant::now();
        let mut pools = Vec::new();
        for own in 0..gateways {
            let cut_off = own % 2 == 0;
            let restarted = cut_off && own % 6 == 0;
            let set = if restarted {
                GatewaySet::new(identity(own), [], false).with_expected(gateways as u32)
            } else {
                GatewaySet::new(identity(own), (0..gateways).map(identity), true)
            };
            pools.push(pool(start, set));
        }
        for own in gateways..gateways + 4 {
            let known = (0..gateways).map(identity);
            pools.push(pool(start, GatewaySet::new(identity(own), known, true)));
        }
        let (most, _) = most_in_one_second(&mut pools, start, 1);
        assert!(most <= COLD_PER_S as usize, "{gateways} gateways: {most} in 1 s");
    }
}

#[test]
fn shares_of_a_limit_add_up_to_at_most_the_limit() {
    for gateways in [1, 4, 16, 58, 400] {
        let sets: Vec<GatewaySet> = (0..gateways)
            .map(|own| GatewaySet::new(identity(own), (0..gateways).map(identity), true))
            .collect();
        for limit in [1, 5, 26, 51, 96, 278, 1924] {
            for key in 0..20 {
                let sum: u32 = sets.iter().map(|s| s.share(key, limit)).sum();
                assert!(sum <= limit, "{gateways} gateways: {sum} of {limit}");
                assert!(
                    sum >= (limit / 2).saturating_sub(4).max(1) || gateways < 5,
                    "{gateways} gateways use {sum} of {limit}"
                );
            }
        }
    }
}
