//! Tests of how many connections gateways open to endpoints, with simulated time.
#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::Code;
use crocustally_core::dispatch::DispatchDecision;
use crocustally_core::dispatch::DispatchRequest;
use crocustally_core::dispatch::EarlierSends;
use crocustally_core::dispatch::GatewaySet;
use crocustally_core::dispatch::IdleConnections;
use crocustally_core::dispatch::KvSettings;
use crocustally_core::dispatch::LimiterSettings;
use crocustally_core::dispatch::MemberKey;
use crocustally_core::dispatch::Pool;
use crocustally_core::dispatch::PoolSettings;
use crocustally_core::dispatch::RankState;
use crocustally_core::dispatch::RequestOutcome;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::Registration;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MS: Duration = Duration::from_millis(1);
/// Idle connections that a gateway keeps to one endpoint.
const IDLE_MAX: usize = 4;
/// Requests that an engine runs at a time.
const SLOTS: u32 = 10;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80))
}

fn registration(now: Instant, n: usize) -> Registration {
    let heartbeat = Heartbeat {
        id: format!("e{n}"),
        service: "s".to_owned(),
        address: address(n),
        domain: format!("d{}", n % 3),
        born_ms: 1,
        sequence: 1,
        slots: SLOTS,
        state: HeartbeatState::Ready,
        cold_remaining: Duration::ZERO,
    };
    Registration { heartbeat, received_at: now, replaced: false }
}

fn request(now: Instant) -> DispatchRequest {
    DispatchRequest {
        urgency: 0,
        is_caller_retry: false,
        workspace: 0,
        late_deadline: now + 150 * MS,
        return_time_max: 2500 * MS,
        prompt_tokens: 800,
        max_response_tokens: 0,
        parts: Default::default(),
        queue_deadline: now,
        outage_deadline: now,
        tried: Default::default(),
        earlier: EarlierSends::None,
    }
}

/// Idle connections of one gateway: the end of the time for which each is kept.
#[derive(Debug, Default)]
struct IdleTable(Mutex<HashMap<SocketAddr, Vec<Instant>>>);

impl IdleTable {
    fn expire(&self, now: Instant) {
        self.0.lock().unwrap().values_mut().for_each(|idle| idle.retain(|until| *until > now));
    }

    /// Takes an idle connection; whether there was one.
    fn take(&self, to: SocketAddr) -> bool {
        self.0.lock().unwrap().get_mut(&to).is_some_and(|idle| idle.pop().is_some())
    }

    fn put(&self, to: SocketAddr, until: Instant) {
        let mut table = self.0.lock().unwrap();
        let idle = table.entry(to).or_default();
        idle.push(until);
        if idle.len() > IDLE_MAX {
            idle.remove(0);
        }
    }
}

impl IdleConnections for IdleTable {
    fn idle_connections(&self, to: SocketAddr) -> usize {
        self.0.lock().unwrap().get(&to).map_or(0, Vec::len)
    }
}

/// Streams of many gateways at the engines of a service in calm operation.
#[derive(Clone, Copy, Debug)]
struct Calm {
    gateways: usize,
    engines: usize,
    per_s: u32,
    /// Time for which idle connections are kept.
    idle_time: Duration,
    /// Whether the pools know the idle connections.
    prefer: bool,
}

#[derive(Debug)]
struct CalmResult {
    /// New connections for each request.
    new: f64,
    /// Share of the streams that arrived at a full engine while another one had a free slot.
    full: f64,
    /// Mean over time of the load of the busiest engine, divided by the mean load.
    busiest: f64,
    /// The most connections, in use and idle, that one engine had.
    connections_max: usize,
}

impl Calm {
    fn play(self, seed: u64) -> CalmResult {
        let start = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let tables: Vec<Arc<IdleTable>> = (0..self.gateways).map(|_| Arc::default()).collect();
        let mut pools: Vec<Pool> = (0..self.gateways)
            .map(|g| {
                let mut pool = Pool::new(PoolSettings {
                    limiter: Some(LimiterSettings {
                        streams_per_endpoint: f64::from(SLOTS),
                        floor: 100.0,
                        ..LimiterSettings::default()
                    }),
                    gateways: GatewaySet::new(g as u64, 0..self.gateways as u64, true),
                    seed: seed * 1000 + g as u64,
                    connections_max: 530,
                    ..PoolSettings::default()
                });
                if self.prefer {
                    pool.use_idle_connections(tables[g].clone());
                }
                (0..self.engines).for_each(|e| pool.update_registration(&registration(start, e)));
                pool
            })
            .collect();
        let mut running: Vec<(Instant, usize, MemberKey, usize)> = Vec::new();
        let mut loads = vec![0_u32; self.engines];
        let mut delayed = std::collections::VecDeque::new();
        let (mut sent, mut new, mut full, mut connections_max) = (0_u32, 0_u32, 0_u32, 0);
        let (mut busiest, mut samples) = (0.0, 0);
        // The first half fills the tables of idle connections.
        let (measured_from, until) = (12_000, 20_000);
        for ms in 0..until {
            let now = start + ms * MS;
            for (_, g, key, e) in running.extract_if(.., |(ends_at, ..)| *ends_at <= now) {
                loads[e] -= 1;
                let _ = pools[g].complete(now, key, RequestOutcome::Whole, 1600 * MS);
                tables[g].put(address(e), now + self.idle_time);
            }
            for e in (0..self.engines).filter(|e| (ms as usize + e * 37).is_multiple_of(100)) {
                let state =
                    RankState { open: true, requests: loads[e], group: 0, observed_at: now };
                delayed.push_back((now + 100 * MS, e, state));
            }
            while let Some((_, e, state)) = delayed.pop_front_if(|(at, ..)| *at <= now) {
                pools.iter_mut().for_each(|p| p.record_rank_state(address(e), state));
            }
            if ms.is_multiple_of(50) {
                tables.iter().for_each(|t| t.expire(now));
            }
            if ms >= measured_from && ms.is_multiple_of(500) {
                let mean = f64::from(loads.iter().sum::<u32>()) / self.engines as f64;
                busiest += f64::from(*loads.iter().max().unwrap()) / mean;
                samples += 1;
                for (e, load) in loads.iter().enumerate() {
                    let idle: usize = tables.iter().map(|t| t.idle_connections(address(e))).sum();
                    connections_max = connections_max.max(idle + *load as usize);
                }
            }
            if !rng.random_bool(f64::from(self.per_s) / 1e3) {
                continue;
            }
            let g = rng.random_range(0..self.gateways);
            let DispatchDecision::Send(key) = pools[g].dispatch(now, &request(now)) else {
                continue;
            };
            let at = pools[g].member(key).unwrap().address();
            let e = (0..self.engines).find(|e| address(*e) == at).unwrap();
            pools[g].response_started(now, key, 800, 100 * MS);
            let reused = tables[g].take(at);
            if ms >= measured_from {
                sent += 1;
                new += u32::from(!reused);
                full += u32::from(loads[e] >= SLOTS && loads.iter().any(|l| *l < SLOTS));
            }
            loads[e] += 1;
            running.push((now + MS * rng.random_range(200..3000), g, key, e));
        }
        CalmResult {
            new: f64::from(new) / f64::from(sent),
            full: f64::from(full) / f64::from(sent),
            busiest: busiest / f64::from(samples),
            connections_max,
        }
    }
}

/// Guards against 0.5 to 0.7 new connections for each request: 31 gateways and 72 engines are 2,232
/// pairs, so at 240 requests/s an idle connection of the engine drawn is rare (Kitamori, Boardrun).
#[test]
fn calm_gateways_open_a_connection_for_fewer_than_a_quarter_of_their_requests() {
    // What endpoints announce, times the share that gateways make use of: 3.5 s and 10 s.
    for (gateways, per_s, idle_ms) in [(31, 240, 3500), (31, 240, 10_000), (15, 253, 3500)] {
        let calm = Calm { gateways, engines: 72, per_s, idle_time: idle_ms * MS, prefer: true };
        let result = calm.play(1);
        let plain = Calm { prefer: false, ..calm }.play(1);
        println!(
            "{gateways} gateways, kept {idle_ms} ms: {result:?}; without preference {plain:?}"
        );
        assert!(result.new < 0.25, "{:.2} new connections for each request", result.new);
        assert!(result.full < 0.01, "{:.3} arrived at a full engine", result.full);
        assert!(result.busiest < 1.25 * plain.busiest, "{result:?}, without preference {plain:?}");
        assert!(result.connections_max < 530, "{result:?}");
    }
}

/// Guards against idle connections that, with those in use, exceed the `max-conns` of an endpoint in the
/// sum over all gateways.
#[test]
fn idle_connections_of_all_gateways_stay_within_the_limit_of_an_endpoint() {
    let now = Instant::now();
    let (limit, gateways) = (100, 31_u64);
    // Each gateway holds this many requests at the endpoint, and as many idle connections as it may.
    for in_use in 0..3 {
        let mut total = 0;
        for g in 0..gateways {
            let mut pool = Pool::new(PoolSettings {
                gateways: GatewaySet::new(g, 0..gateways, true),
                connections_max: limit,
                ..PoolSettings::default()
            });
            pool.update_registration(&registration(now, 0));
            let key = pool.members().next().unwrap().0;
            let sent = (0..in_use)
                .filter(|_| matches!(pool.dispatch(now, &request(now)), DispatchDecision::Send(_)));
            total += sent.count() + pool.idle_allowance(key);
        }
        assert!(total <= limit as usize, "{total} connections");
        assert!(total >= limit as usize / 2, "{total} connections");
    }
}

/// Engines with KV memory for ten usual requests of 1,000 tokens.
const KV: KvSettings =
    KvSettings { capacity_tokens: 10_000, mean_prompt_tokens: 800, mean_response_tokens: 200 };

fn engine_pool(now: Instant, engines: usize, gateways: u64) -> Pool {
    let mut pool = Pool::new(PoolSettings {
        limiter: Some(LimiterSettings { floor: 100.0, ..LimiterSettings::default() }),
        gateways: GatewaySet::new(0, 0..gateways, true),
        kv: Some(KV),
        ..PoolSettings::default()
    });
    (0..engines).for_each(|e| pool.update_registration(&registration(now, e)));
    pool
}

/// Guards against engines that end because their requests exceed their KV memory: few long prompts do,
/// while slots are free.
#[test]
fn long_prompts_fill_no_engine_beyond_its_kv_memory() {
    let now = Instant::now();
    let mut pool = engine_pool(now, 3, 1);
    let long = DispatchRequest { prompt_tokens: 4000, max_response_tokens: 4096, ..request(now) };
    let mut sent = Vec::new();
    while let DispatchDecision::Send(key) = pool.dispatch(now, &long) {
        sent.push(key);
    }
    // 4,000 tokens of the prompt and twice the mean response, of 9,000 usable ones.
    assert_eq!(sent.len(), 6);
    assert!(pool.members().all(|(_, m)| m.kv_tokens() == 8800));
    // The place of one that ends goes to the next.
    let need = Some(pool.kv_need(&long));
    let _ = pool.complete_with_kv(now, sent[0], RequestOutcome::Whole, MS, need);
    assert_eq!(pool.dispatch(now, &long), DispatchDecision::Send(sent[0]));
}

/// Guards against counting this gateway's requests only: those of other gateways are known by the
/// reported load.
#[test]
fn requests_of_other_gateways_count_against_the_kv_memory() {
    let now = Instant::now();
    let mut pool = engine_pool(now, 1, 4);
    pool.record_rank_state(
        address(0),
        RankState { open: true, requests: 6, group: 0, observed_at: now },
    );
    let long = DispatchRequest { prompt_tokens: 2600, ..request(now) };
    assert!(matches!(pool.dispatch(now, &long), DispatchDecision::Send(_)));
    assert!(!matches!(pool.dispatch(now, &long), DispatchDecision::Send(_)));
    let usual = DispatchRequest { prompt_tokens: 0, ..request(now) };
    pool.record_rank_state(
        address(0),
        RankState { open: true, requests: 1, group: 0, observed_at: now + MS },
    );
    assert!(matches!(pool.dispatch(now + MS, &usual), DispatchDecision::Send(_)));
}

/// Guards against a request that waits in vain, or ends the engine: no engine can hold it.
#[test]
fn request_larger_than_the_kv_memory_is_refused_at_once() {
    let now = Instant::now();
    let mut pool = engine_pool(now, 3, 1);
    let huge =
        DispatchRequest { prompt_tokens: 9900, queue_deadline: now + 500 * MS, ..request(now) };
    let decision = pool.dispatch(now, &huge);
    assert!(
        matches!(decision, DispatchDecision::Refuse(r) if r.code == Code::Overloaded),
        "{decision:?}"
    );
    // One that only an empty engine can hold is sent to such a one.
    let large = DispatchRequest { prompt_tokens: 9700, ..request(now) };
    assert!(matches!(pool.dispatch(now, &large), DispatchDecision::Send(_)));
}

fn report_all(pool: &mut Pool, engines: usize, open: bool, observed_at: Instant) {
    for e in 0..engines {
        pool.record_rank_state(address(e), RankState { open, requests: 1, group: 0, observed_at });
    }
}

/// Sends each request to one engine after another, as a gateway does while they refuse, and returns the
/// number of sends.
fn sends_refused(pool: &mut Pool, now: Instant, requests: u32) -> u32 {
    let mut sends = 0;
    for _ in 0..requests {
        let mut req = request(now);
        for _ in 0..4 {
            let DispatchDecision::Send(key) = pool.dispatch(now, &req) else { break };
            sends += 1;
            let _ = pool.complete(now, key, RequestOutcome::Refused, MS);
            req.tried.push(key);
            req.earlier = EarlierSends::Arrived;
        }
    }
    sends
}

/// Guards against a fifth of all sends being refused (Boardrun): when a group stalls, each request was
/// sent to one engine after another until the reports said so, and again once these were stale.
#[test]
fn requests_wait_for_a_report_after_refusals_by_several_engines() {
    let start = Instant::now();
    let mut pool = engine_pool(start, 72, 15);
    report_all(&mut pool, 72, true, start);
    assert_eq!(sends_refused(&mut pool, start + 50 * MS, 10), 3);
    assert_eq!(pool.refusal_pauses(), 1);
    // A report from before the refusals changes nothing, the next one does.
    report_all(&mut pool, 72, true, start + 40 * MS);
    assert_eq!(sends_refused(&mut pool, start + 100 * MS, 10), 0);
    report_all(&mut pool, 72, true, start + 110 * MS);
    assert!(matches!(
        pool.dispatch(start + 150 * MS, &request(start + 150 * MS)),
        DispatchDecision::Send(_)
    ));
    // The group says that it is closed, and then nothing any more: its coordinator is cut off.
    report_all(&mut pool, 72, false, start + 200 * MS);
    let mut sends = 0;
    for ms in (210..5200).step_by(60) {
        sends += sends_refused(&mut pool, start + ms * MS, 1);
    }
    assert!((3..=3 * 8).contains(&sends), "{sends} sends of 84 requests");
}

/// Guards against holding requests back because single engines are full while others accept.
#[test]
fn refusals_between_acceptances_hold_nothing_back() {
    let start = Instant::now();
    let mut pool = engine_pool(start, 3, 15);
    for round in 0..10_u32 {
        let now = start + round * 100 * MS;
        report_all(&mut pool, 3, true, now);
        let DispatchDecision::Send(full) = pool.dispatch(now, &request(now)) else { panic!() };
        let _ = pool.complete(now, full, RequestOutcome::Refused, MS);
        pool.record_accepted();
        for _ in 0..5 {
            let DispatchDecision::Send(next) = pool.dispatch(now, &request(now)) else { panic!() };
            assert_ne!(next, full, "sent to an engine that has just refused");
            let _ = pool.complete(now, next, RequestOutcome::Whole, MS);
        }
    }
    assert_eq!(pool.refusal_pauses(), 0);
}
