//! `route`: policies of choosing an endpoint against the same arrivals, on a fake clock.

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

use crate::stats::Times;

const ENDPOINTS: usize = 12;
/// Endpoints that are slow, and by how much.
const SLOW: [usize; 2] = [3, 8];
const SLOWNESS: f64 = 2.5;
/// Endpoint that turns cold, and after which share of the run.
const COLD: usize = 5;
const COLD_AT: f64 = 0.5;
/// Requests in a batch without slowing it.
const CAPACITY: f64 = 12.0;
const PREFILL: Duration = Duration::from_millis(200);
/// Share of the prefill that a cached prefix still costs.
const CACHED_SHARE: f64 = 0.2;
/// Prefixes that an engine keeps.
const PREFIXES_KEPT: usize = 24;
const PREFIXES: f64 = 160.0;
const DECODE: Duration = Duration::from_millis(900);
const RATE: f64 = 70.0;
const REPORT: Duration = Duration::from_millis(1000);
const QUEUE: Duration = Duration::from_secs(5);
/// Time in which all engines' limits grow from their start; both figures are printed.
const WARM_UP: Duration = Duration::from_secs(20);
const RUN: Duration = Duration::from_secs(120);

/// An engine with the agent's admission before it.
struct Engine {
    admission: Admission,
    cached: VecDeque<u64>,
    slowness: f64,
}

/// A request on its way.
#[derive(Clone)]
struct Request {
    arrived: Instant,
    prefix: u64,
    not: Vec<EndpointKey>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    FirstByte(u64),
    End(u64),
    Report,
    TurnCold,
}

struct Sim {
    now: Instant,
    rng: ChaCha8Rng,
    shard: ServiceRouter,
    engines: Vec<Engine>,
    due: BinaryHeap<Reverse<(Instant, u64, Due)>>,
    number: u64,
    waiting: HashMap<WaiterKey, Request>,
    running: HashMap<u64, (EndpointKey, Instant, Request)>,
    sequence: u64,
    /// First bytes of the whole run.
    times: Times,
    /// First bytes after the warm-up.
    warm: Times,
    started: Instant,
    hits: u64,
    sent: u64,
    asked: u64,
    refused: u64,
    retries: u64,
}

/// The policy of this name.
pub(crate) fn policy(name: &str) -> Option<SelectionPolicy> {
    match name {
        "round_robin" => Some(SelectionPolicy::RoundRobin),
        "least_load" => Some(SelectionPolicy::LeastReported),
        "two_choices" => Some(SelectionPolicy::TwoChoices),
        "crocustally" => Some(SelectionPolicy::Scored),
        _ => None,
    }
}

/// Runs one policy.
pub(crate) fn run(seed: u64, name: &str) -> (Value, bool) {
    let start = Instant::now();
    let engine = |i: usize| Engine {
        admission: Admission::new(AdmissionLimits { initial: 4, max: 24 }),
        cached: VecDeque::new(),
        slowness: if SLOW.contains(&i) { SLOWNESS } else { 1.0 },
    };
    let mut sim = Sim {
        now: start,
        rng: ChaCha8Rng::seed_from_u64(seed),
        shard: ServiceRouter::new("zone-a", seed).with_policy(policy(name).unwrap_or_default()),
        engines: (0..ENDPOINTS).map(engine).collect(),
        due: BinaryHeap::new(),
        number: 0,
        waiting: HashMap::new(),
        running: HashMap::new(),
        sequence: 0,
        times: Times::default(),
        warm: Times::default(),
        started: start,
        hits: 0,
        sent: 0,
        asked: 0,
        refused: 0,
        retries: 0,
    };
    sim.push(Duration::ZERO, Due::Report);
    sim.push(RUN.mul_f64(COLD_AT), Due::TurnCold);
    sim.push(Duration::from_millis(1), Due::Arrival);
    while let Some(Reverse((at, _, due))) = sim.due.pop() {
        if at > start + RUN {
            break;
        }
        sim.now = at;
        sim.happen(due);
    }
    let value = json!({
        "seed": seed, "policy": name, "requests": sim.asked,
        "ttft_p50_ms": sim.times.ms(50.0), "ttft_p95_ms": sim.times.ms(95.0),
        "ttft_p99_ms": sim.times.ms(99.0),
        "warm_ttft_p50_ms": sim.warm.ms(50.0), "warm_ttft_p95_ms": sim.warm.ms(95.0),
        "warm_ttft_p99_ms": sim.warm.ms(99.0),
        "prefix_hit_ratio": sim.hits as f64 / sim.sent.max(1) as f64,
        "refused": sim.refused,
        "retries_ratio": sim.retries as f64 / sim.asked.max(1) as f64,
    });
    (value, true)
}

impl Sim {
    fn push(&mut self, after: Duration, due: Due) {
        self.number += 1;
        self.due.push(Reverse((self.now + after, self.number, due)));
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrive(),
            Due::FirstByte(n) => self.first_byte(n),
            Due::End(n) => self.end(n),
            Due::Report => self.report(),
            Due::TurnCold => {
                self.engines[COLD].admission.update_engine_start(99);
                self.engines[COLD].cached.clear();
            }
        }
    }

    fn arrive(&mut self) {
        let wait_s = -(1.0 - self.rng.random::<f64>()).ln() / RATE;
        self.push(Duration::from_secs_f64(wait_s), Due::Arrival);
        let u: f64 = self.rng.random();
        let prefix = (PREFIXES * u * u) as u64 + 1;
        self.asked += 1;
        let request = Request { arrived: self.now, prefix, not: Vec::new() };
        self.place(request);
    }

    fn place(&mut self, request: Request) {
        let retry = !request.not.is_empty();
        self.retries += u64::from(retry);
        let ask = RouteRequest {
            workspace: "w",
            share: 10,
            priority: Priority::Normal,
            prefix: request.prefix,
            queue_deadline: request.arrived + QUEUE,
            excluded: &request.not,
            retry,
        };
        match self.shard.route(self.now, &ask) {
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
            self.finished(key, RequestOutcome::Refused(code), Some(load), Duration::ZERO, false);
            request.not.push(key);
            self.place(request);
            return;
        }
        let hit = engine.cached.contains(&request.prefix);
        engine.cached.retain(|p| *p != request.prefix);
        engine.cached.push_back(request.prefix);
        if engine.cached.len() > PREFIXES_KEPT {
            engine.cached.pop_front();
        }
        let crowd = (f64::from(engine.admission.in_flight()) / CAPACITY).max(1.0);
        let share = if hit { CACHED_SHARE } else { 1.0 };
        let prefill = PREFILL.mul_f64(share * crowd * engine.slowness);
        let decode = DECODE.mul_f64(crowd * engine.slowness);
        self.hits += u64::from(hit);
        self.sent += 1;
        let n = self.sent;
        self.running.insert(n, (key, self.now, request));
        self.push(prefill, Due::FirstByte(n));
        self.push(prefill + decode, Due::End(n));
    }

    fn first_byte(&mut self, n: u64) {
        let (key, sent, request) = &self.running[&n];
        let first = self.now.duration_since(request.arrived);
        self.times.note(first);
        if request.arrived >= self.started + WARM_UP {
            self.warm.note(first);
        }
        let took = self.now.duration_since(*sent);
        self.engines[key.0 as usize].admission.record_first_byte(self.now, took);
        self.shard.response_started(self.now, *key);
    }

    fn end(&mut self, n: u64) {
        let Some((key, sent, _)) = self.running.remove(&n) else { return };
        let engine = &mut self.engines[key.0 as usize];
        engine.admission.release(false);
        let load = load_of(engine);
        let held = self.now.duration_since(sent);
        self.finished(key, RequestOutcome::Answered, Some(load), held, true);
    }

    fn finished(
        &mut self,
        key: EndpointKey,
        ended: RequestOutcome,
        load: Option<Load>,
        held: Duration,
        began: bool,
    ) {
        let grants = self.shard.complete(self.now, key, ended, load, held, began);
        self.grant(grants);
    }

    fn grant(&mut self, grants: QueueOutcomes) {
        for g in grants {
            let Some(request) = self.waiting.remove(&g.waiter) else { continue };
            match g.result {
                Ok(key) => self.send(key, request),
                Err(_) => self.refused += 1,
            }
        }
    }

    fn report(&mut self) {
        self.sequence += 1;
        for i in 0..ENDPOINTS {
            let said = Announcement {
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
            self.shard.directory.merge(self.now, said, true);
        }
        let grants = self.shard.tick(self.now);
        self.grant(grants);
        self.push(REPORT, Due::Report);
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
