//! `route`: simulates endpoint selection policies with identical arrivals and a simulated clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::agent::Admission;
use crocustally_core::agent::AdmissionLimits;
use crocustally_core::control::Priority;
use crocustally_core::routing::Announcement;
use crocustally_core::routing::EndpointKey;
use crocustally_core::routing::Load;
use crocustally_core::routing::QueueOutcomes;
use crocustally_core::routing::RequestOutcome;
use crocustally_core::routing::RouteDecision;
use crocustally_core::routing::RouteRequest;
use crocustally_core::routing::SelectionPolicy;
use crocustally_core::routing::ServiceRouter;
use crocustally_core::routing::WaiterKey;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::stats::DurationHistogram;

const ENDPOINTS: usize = 12;
/// Endpoints with slow engines, and the factor on their times.
const SLOW_ENDPOINTS: [usize; 2] = [3, 8];
const SLOWDOWN: f64 = 2.5;
/// Endpoint whose engine restarts cold, and the share of the run after which it does.
const COLD_ENDPOINT: usize = 5;
const COLD_AT_SHARE: f64 = 0.5;
/// Concurrent requests of an engine above which all of them slow down.
const BATCH_CAPACITY: f64 = 12.0;
const PREFILL_TIME: Duration = Duration::from_millis(200);
/// Share of the prefill time that remains if the prefix is cached.
const CACHED_PREFILL_SHARE: f64 = 0.2;
/// Number of prefixes in the cache of an engine.
const CACHED_PREFIXES_MAX: usize = 24;
const PREFIX_COUNT: f64 = 160.0;
const DECODE_TIME: Duration = Duration::from_millis(900);
const REQUESTS_PER_S: f64 = 70.0;
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1000);
const QUEUE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which the concurrency limits grow from their initial value. Percentiles are printed both
/// with and without it.
const WARM_UP_TIME: Duration = Duration::from_secs(20);
const RUN_TIME: Duration = Duration::from_secs(120);

/// A simulated engine and the admission control of its agent.
struct Engine {
    admission: Admission,
    cached: VecDeque<u64>,
    slowdown: f64,
}

/// A request that has not been answered yet.
#[derive(Clone)]
struct Request {
    arrived: Instant,
    prefix: u64,
    excluded: Vec<EndpointKey>,
}

/// A simulated event. The value is the number of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    FirstByte(u64),
    End(u64),
    Announce,
    RestartCold,
}

struct Simulation {
    now: Instant,
    rng: ChaCha8Rng,
    router: ServiceRouter,
    engines: Vec<Engine>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    event_count: u64,
    waiting: HashMap<WaiterKey, Request>,
    running: HashMap<u64, (EndpointKey, Instant, Request)>,
    sequence: u64,
    /// Time to first byte over the whole run.
    ttft: DurationHistogram,
    /// Time to first byte of the requests that arrived after the warm-up.
    warm_ttft: DurationHistogram,
    started: Instant,
    cache_hits: u64,
    sent: u64,
    request_count: u64,
    refused: u64,
    retries: u64,
}

/// Parses the value of `--policy`.
pub(crate) fn policy_from_name(name: &str) -> Option<SelectionPolicy> {
    match name {
        "round_robin" => Some(SelectionPolicy::RoundRobin),
        "least_load" => Some(SelectionPolicy::LeastReported),
        "two_choices" => Some(SelectionPolicy::TwoChoices),
        "crocustally" => Some(SelectionPolicy::Scored),
        _ => None,
    }
}

/// Simulates one policy. The experiment has no targets, so the second value is always true.
pub(crate) fn run(seed: u64, name: &str) -> (Value, bool) {
    let start = Instant::now();
    let engine = |i: usize| Engine {
        admission: Admission::new(AdmissionLimits { initial: 4, max: 24 }),
        cached: VecDeque::new(),
        slowdown: if SLOW_ENDPOINTS.contains(&i) { SLOWDOWN } else { 1.0 },
    };
    let mut sim = Simulation {
        now: start,
        rng: ChaCha8Rng::seed_from_u64(seed),
        router: ServiceRouter::new("zone-a", seed)
            .with_policy(policy_from_name(name).unwrap_or_default()),
        engines: (0..ENDPOINTS).map(engine).collect(),
        events: BinaryHeap::new(),
        event_count: 0,
        waiting: HashMap::new(),
        running: HashMap::new(),
        sequence: 0,
        ttft: DurationHistogram::default(),
        warm_ttft: DurationHistogram::default(),
        started: start,
        cache_hits: 0,
        sent: 0,
        request_count: 0,
        refused: 0,
        retries: 0,
    };
    sim.schedule(Duration::ZERO, Event::Announce);
    sim.schedule(RUN_TIME.mul_f64(COLD_AT_SHARE), Event::RestartCold);
    sim.schedule(Duration::from_millis(1), Event::Arrival);
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        if at > start + RUN_TIME {
            break;
        }
        sim.now = at;
        sim.handle_event(event);
    }
    let value = json!({
        "seed": seed, "policy": name, "requests": sim.request_count,
        "ttft_p50_ms": sim.ttft.percentile_ms(50.0), "ttft_p95_ms": sim.ttft.percentile_ms(95.0),
        "ttft_p99_ms": sim.ttft.percentile_ms(99.0),
        "warm_ttft_p50_ms": sim.warm_ttft.percentile_ms(50.0),
        "warm_ttft_p95_ms": sim.warm_ttft.percentile_ms(95.0),
        "warm_ttft_p99_ms": sim.warm_ttft.percentile_ms(99.0),
        "prefix_hit_ratio": sim.cache_hits as f64 / sim.sent.max(1) as f64,
        "refused": sim.refused,
        "retries_ratio": sim.retries as f64 / sim.request_count.max(1) as f64,
    });
    (value, true)
}

impl Simulation {
    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + after, self.event_count, event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::FirstByte(n) => self.first_byte(n),
            Event::End(n) => self.end(n),
            Event::Announce => self.announce(),
            Event::RestartCold => {
                self.engines[COLD_ENDPOINT].admission.update_engine_start(99);
                self.engines[COLD_ENDPOINT].cached.clear();
            }
        }
    }

    fn arrive(&mut self) {
        let wait_s = -(1.0 - self.rng.random::<f64>()).ln() / REQUESTS_PER_S;
        self.schedule(Duration::from_secs_f64(wait_s), Event::Arrival);
        let u: f64 = self.rng.random();
        let prefix = (PREFIX_COUNT * u * u) as u64 + 1;
        self.request_count += 1;
        let request = Request { arrived: self.now, prefix, excluded: Vec::new() };
        self.route_request(request);
    }

    fn route_request(&mut self, request: Request) {
        let retry = !request.excluded.is_empty();
        self.retries += u64::from(retry);
        let req = RouteRequest {
            workspace: "w",
            share: 10,
            priority: Priority::Normal,
            prefix: request.prefix,
            queue_deadline: request.arrived + QUEUE_TIMEOUT,
            excluded: &request.excluded,
            retry,
        };
        match self.router.route(self.now, &req) {
            RouteDecision::Send(key) => self.send(key, request),
            RouteDecision::Wait(w) => {
                self.waiting.insert(w, request);
            }
            RouteDecision::Refuse(_) => self.refused += 1,
        }
    }

    fn send(&mut self, key: EndpointKey, mut request: Request) {
        let engine = &mut self.engines[key.0 as usize];
        if let Err(code) = engine.admission.admit(false) {
            let load = load_of(engine);
            self.complete(key, RequestOutcome::Refused(code), Some(load), Duration::ZERO, false);
            request.excluded.push(key);
            self.route_request(request);
            return;
        }
        let cache_hit = engine.cached.contains(&request.prefix);
        engine.cached.retain(|p| *p != request.prefix);
        engine.cached.push_back(request.prefix);
        if engine.cached.len() > CACHED_PREFIXES_MAX {
            engine.cached.pop_front();
        }
        let batch_slowdown = (f64::from(engine.admission.in_flight()) / BATCH_CAPACITY).max(1.0);
        let share = if cache_hit { CACHED_PREFILL_SHARE } else { 1.0 };
        let prefill = PREFILL_TIME.mul_f64(share * batch_slowdown * engine.slowdown);
        let decode = DECODE_TIME.mul_f64(batch_slowdown * engine.slowdown);
        self.cache_hits += u64::from(cache_hit);
        self.sent += 1;
        let n = self.sent;
        self.running.insert(n, (key, self.now, request));
        self.schedule(prefill, Event::FirstByte(n));
        self.schedule(prefill + decode, Event::End(n));
    }

    fn first_byte(&mut self, n: u64) {
        let (key, sent, request) = &self.running[&n];
        let time_to_first_byte = self.now.duration_since(request.arrived);
        self.ttft.record(time_to_first_byte);
        if request.arrived >= self.started + WARM_UP_TIME {
            self.warm_ttft.record(time_to_first_byte);
        }
        let first_byte_time = self.now.duration_since(*sent);
        self.engines[key.0 as usize].admission.record_first_byte(self.now, first_byte_time);
        self.router.response_started(self.now, *key);
    }

    fn end(&mut self, n: u64) {
        let Some((key, sent, _)) = self.running.remove(&n) else { return };
        let engine = &mut self.engines[key.0 as usize];
        engine.admission.release(false);
        let load = load_of(engine);
        let slot_time = self.now.duration_since(sent);
        self.complete(key, RequestOutcome::Answered, Some(load), slot_time, true);
    }

    fn complete(
        &mut self,
        key: EndpointKey,
        outcome: RequestOutcome,
        load: Option<Load>,
        slot_time: Duration,
        response_started: bool,
    ) {
        let outcomes =
            self.router.complete(self.now, key, outcome, load, slot_time, response_started);
        self.handle_queue_outcomes(outcomes);
    }

    fn handle_queue_outcomes(&mut self, outcomes: QueueOutcomes) {
        for o in outcomes {
            let Some(request) = self.waiting.remove(&o.waiter) else { continue };
            match o.result {
                Ok(key) => self.send(key, request),
                Err(_) => self.refused += 1,
            }
        }
    }

    fn announce(&mut self) {
        self.sequence += 1;
        for i in 0..ENDPOINTS {
            let announcement = Announcement {
                name: format!("e{i}"),
                address: format!("10.0.0.{i}:1"),
                domain: "zone-a".to_owned(),
                service: "s".to_owned(),
                incarnation: 1,
                sequence: self.sequence,
                load: load_of(&self.engines[i]),
                age: Duration::ZERO,
                config_version: 1,
                prefixes: Vec::new(),
            };
            self.router.directory.merge(self.now, announcement, true);
        }
        let outcomes = self.router.tick(self.now);
        self.handle_queue_outcomes(outcomes);
        self.schedule(ANNOUNCE_INTERVAL, Event::Announce);
    }
}

fn load_of(engine: &Engine) -> Load {
    let a = &engine.admission;
    Load {
        limit: a.limit(),
        in_flight: a.in_flight(),
        engine_start: a.engine_start(),
        draining: false,
        first_byte: a.smoothed_first_byte(),
    }
}
