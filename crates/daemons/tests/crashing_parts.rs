//! A part of prompts that crashes each endpoint that begins to answer it.
//!
//! Gateways and control instances run as processes; stand-in endpoints end when they begin to answer
//! a prompt with the part, and come back. Sound requests share all other parts, and the caller.
//!
//! To run other seeds and sizes: `CRASH_SEEDS=1..21 CRASH_GATEWAYS=16 cargo test --release -p
//! crocustally_daemons --test crashing_parts -- --nocapture`. Without the variables it runs one seed
//! for each look of an end, with 4 gateways.
#![allow(clippy::unwrap_used, dead_code)]

#[path = "../../../platform/tests/common/calls.rs"]
mod calls;
#[path = "soak/deployment.rs"]
mod deployment;
#[path = "../../../platform/tests/common/crashing_endpoint.rs"]
mod endpoint;
#[path = "soak/operator.rs"]
mod operator;
#[path = "../../../platform/tests/common/runner.rs"]
mod runner;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use calls::CallerResponse;
use calls::caller_request;
use calls::with_prompt;
use deployment::CONTROLS;
use deployment::DOMAINS;
use deployment::Deployment;
use endpoint::Arrivals;
use endpoint::End;
use endpoint::EndpointSettings;
use operator::Operator;

/// Number of endpoints.
const ENDPOINTS: usize = 12;
/// Endpoints that have ended under the part after which it must be known.
const ENDS_KNOWN: usize = 5;
/// Time after the fifth end within which all gateways must know the part; the platform's
/// `contact-ms`.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Requests with the part that may reach endpoints when they were sent later than that.
const LATE_ARRIVALS_MAX: usize = 3;
/// Share of the sound requests' rate of starts without the part that has to remain with it.
const SOUND_SHARE_MIN: f64 = 0.5;
/// Time without the part, for the rate of starts to compare with.
const CALM: Duration = Duration::from_secs(4);
/// Time for which starts are counted once the part must be known for twice [`KNOWN_WITHIN`].
const COUNTED: Duration = Duration::from_secs(4);
/// Longest time for the fifth end, or for no more ends to come.
const ENDS_WITHIN: Duration = Duration::from_secs(24);
/// Sound requests a second, over all gateways.
const SOUND_RATE: f64 = 25.0;
/// Requests a second with the part, over all gateways: with their repeats they end a third of the
/// endpoints a second.
const CRASHING_RATE: f64 = 2.0;
/// The rate of the incident, in which an endpoint ended every four seconds.
const INCIDENT_RATE: f64 = 0.25;
/// Time in which gateways and endpoints find each other.
const DISCOVERY: Duration = Duration::from_secs(3);
/// Time that callers wait.
const DEADLINE_MS: u64 = 4000;
/// Time within which a started deployment must accept its first configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between ends without a request at fault.
const ENDS_EVERY: Duration = Duration::from_millis(800);
const PART: &str = "bad0";

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{"name": "stream", "host": "h", "path-prefix": "/stream/", "kind": "stream",
            "timeout-ms": DEADLINE_MS, "target-latency-ms": 500, "priority": 1, "attempts": 2,
            "resumable": true, "service": "s"}],
        "services": [{"name": "s", "max-conns": 900, "cold-per-s": 0.0}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "t", "api-keys": ["k"], "priority": 1}],
    })
}

/// A caller's request and whether its stream began.
#[derive(Clone, Debug)]
struct Sent {
    at: Instant,
    crashing: bool,
    began: bool,
    status: u16,
    /// Body of a response other than 200.
    error: String,
}

/// Callers that send sound and crashing requests to gateways drawn at random.
struct Traffic {
    rt: Runtime,
    gateways: Vec<SocketAddr>,
    sent: Arc<Mutex<HashMap<String, Sent>>>,
    rng: ChaCha8Rng,
    /// Position of the crashing part among the shared ones.
    position: usize,
    next_id: usize,
    /// Requests a second with the part, over all gateways.
    crashing_rate: f64,
    /// Shared parts of all prompts before the others.
    leading: usize,
}

impl Traffic {
    fn new(rt: &Runtime, gateways: Vec<SocketAddr>, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let position = rng.random_range(0..=2);
        Self {
            rt: rt.clone(),
            gateways,
            sent: Arc::default(),
            rng,
            position,
            next_id: 0,
            crashing_rate: 0.0,
            leading: 0,
        }
    }

    fn send(&mut self, crashing: bool) {
        self.next_id += 1;
        let id = format!("{}{}", if crashing { "c" } else { "s" }, self.next_id);
        let document = format!("d0c{}", self.rng.random_range(0..6));
        let mut parts = vec!["f1".to_owned(), document, format!("e{}", self.next_id % 3)];
        if crashing {
            parts.insert(self.position, PART.to_owned());
        }
        parts.splice(0..0, (0..self.leading).map(|n| format!("c{n:x}")));
        parts.push(format!("0{}", self.next_id));
        let prefix = parts.iter().map(|p| format!("{p}:100")).collect::<Vec<_>>().join(",");
        let to = self.gateways[self.rng.random_range(0..self.gateways.len())];
        let (rt, sent) = (self.rt.clone(), self.sent.clone());
        let at = Instant::now();
        self.rt.spawn(async move {
            let client = HttpClient::new(&rt, to);
            let req = caller_request(&format!("/stream/{id}"), &id, DEADLINE_MS, Some("k"), &id);
            let req = with_prompt(req, &prefix);
            let call = async {
                let (response, _conn) = client.send(req, true).await.ok()?;
                Some(CallerResponse::read(response).await)
            };
            let record = Sent { at, crashing, began: false, status: 0, error: String::new() };
            sent.lock().unwrap().insert(id.clone(), record);
            let response = timeout(Duration::from_millis(DEADLINE_MS + 500), call).await.flatten();
            if let Some(response) = response
                && let Some(record) = sent.lock().unwrap().get_mut(&id)
            {
                record.status = response.status;
                record.began = response.status == 200 && !response.body.is_empty();
                if response.status != 200 {
                    record.error = response.body;
                }
            }
        });
    }

    /// Sends for `time`, at random intervals.
    async fn run(&mut self, time: Duration, crashing: bool) {
        self.run_at(time, SOUND_RATE, if crashing { self.crashing_rate } else { 0.0 }).await;
    }

    async fn run_at(&mut self, time: Duration, sound_rate: f64, crashing_rate: f64) {
        let until = Instant::now() + time;
        let rate = sound_rate + crashing_rate;
        while Instant::now() < until {
            let crash = self.rng.random_bool(crashing_rate / rate);
            self.send(crash);
            let pause = -self.rng.random::<f64>().max(1e-6).ln() / rate;
            sleep(Duration::from_secs_f64(pause)).await;
        }
    }

    /// Share of the sound requests sent between two times whose streams began.
    fn began(&self, from: Instant, to: Instant) -> f64 {
        let sent = self.sent.lock().unwrap();
        let sound: Vec<_> =
            sent.values().filter(|s| !s.crashing && s.at >= from && s.at < to).collect();
        sound.iter().filter(|s| s.began).count() as f64 / sound.len().max(1) as f64
    }

    fn statuses(&self, crashing: bool) -> Vec<(u16, usize)> {
        let mut counts = std::collections::BTreeMap::new();
        for s in self.sent.lock().unwrap().values().filter(|s| s.crashing == crashing) {
            *counts.entry(s.status).or_insert(0) += 1;
        }
        counts.into_iter().collect()
    }
}

/// When each endpoint ended under the part, oldest first.
fn ends(arrivals: &Arrivals) -> Vec<Instant> {
    let mut seen = HashSet::new();
    let arrivals = arrivals.lock().unwrap();
    arrivals.iter().filter(|a| a.crashed && seen.insert(a.endpoint.clone())).map(|a| a.at).collect()
}

/// A deployment that has accepted its configuration, and its endpoints.
struct Started {
    d: Deployment,
    arrivals: Arrivals,
    endpoints: Vec<Task<()>>,
}

/// Starts the processes and endpoints; `ends_after` has the times at which an endpoint ends besides.
async fn start(
    rt: &Runtime,
    seed: u64,
    gateways: usize,
    end: End,
    ends_after: impl Fn(usize) -> Vec<Duration>,
) -> Started {
    let folder = std::env::temp_dir().join(format!("crashing-{}-{seed}", std::process::id()));
    let net = [(std::process::id() % 200 + 20) as u8, (seed % 250) as u8];
    let d = Deployment::start(rt, net, 0, gateways, folder).await;
    let controls: Vec<_> = (0..CONTROLS).map(|i| d.control(i)).collect();
    let arrivals = Arrivals::default();
    let mut op = Operator::default();
    let started_at = Instant::now();
    while !op.put_config(rt, controls[0], &config()).await {
        assert!(started_at.elapsed() < READY_TIMEOUT, "seed {seed}: no configuration accepted");
        sleep(Duration::from_millis(100)).await;
    }
    let endpoints = (0..ENDPOINTS).map(|index| {
        let cfg = EndpointSettings {
            index,
            keeps_id: false,
            domain: format!("d{}", index % DOMAINS),
            end,
            crashing_parts: vec![PART.to_owned()],
            controls: controls.clone(),
            ends_after: ends_after(index),
        };
        endpoint::start(rt, cfg, arrivals.clone())
    });
    let endpoints = endpoints.collect();
    // Gateways and endpoints find each other.
    sleep(DISCOVERY).await;
    Started { d, arrivals, endpoints }
}

/// Runs one seed; returns a line with both figures, as an error if one misses its bound.
async fn run_seed(
    rt: &Runtime,
    seed: u64,
    gateways: usize,
    end: End,
    crashing_rate: f64,
    leading: usize,
) -> Result<String, String> {
    let Started { mut d, arrivals, endpoints: _endpoints } =
        start(rt, seed, gateways, end, |_| Vec::new()).await;
    let mut traffic = Traffic::new(rt, (0..gateways).map(|i| d.gateway(i)).collect(), seed);
    traffic.crashing_rate = crashing_rate;
    traffic.leading = leading;
    let position = leading + traffic.position;
    let calm_from = Instant::now();
    traffic.run(CALM, false).await;
    let calm_to = Instant::now();
    while ends(&arrivals).len() < ENDS_KNOWN && calm_to.elapsed() < ENDS_WITHIN {
        traffic.run(Duration::from_millis(500), true).await;
    }
    let at_ends = ends(&arrivals);
    let known_from = at_ends.get(ENDS_KNOWN - 1).or(at_ends.last()).copied().unwrap_or(calm_to);
    let counted_from = (known_from + 2 * KNOWN_WITHIN).max(Instant::now());
    traffic.run(counted_from - Instant::now() + COUNTED, true).await;
    let counted_to = Instant::now();
    sleep(Duration::from_millis(DEADLINE_MS)).await;
    let sent = traffic.sent.lock().unwrap().clone();
    let late = arrivals.lock().unwrap().clone().into_iter().filter(|a| {
        a.crashed && sent.get(&a.request).is_some_and(|s| s.at > known_from + KNOWN_WITHIN)
    });
    let late = if at_ends.len() < ENDS_KNOWN { 0 } else { late.count() };
    let (calm, trouble) =
        (traffic.began(calm_from, calm_to), traffic.began(counted_from, counted_to));
    let share = trouble / calm;
    let line = format!(
        "seed {seed}, {gateways} gateways, {end:?}, part at {position}: {} ended, {late} requests \
         with the part arrived late; of sound requests {trouble:.2} began, {calm:.2} without it; \
         status of sound ones {:?}, of the others {:?}",
        ends(&arrivals).len(),
        traffic.statuses(false),
        traffic.statuses(true),
    );
    if late <= LATE_ARRIVALS_MAX && share >= SOUND_SHARE_MIN {
        return Ok(line);
    }
    Err(format!("{line}; logs in {}", d.keep_folder().display()))
}

/// Held by each test: the deployments of one process share loopback addresses.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test runs; one that failed does not hold up the others.
fn wait_for_turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs all seeds of `CRASH_SEEDS`, or one for each look of an end.
fn run_seeds(ends: &[End], crashing_rate: f64) {
    run_seeds_with(ends, crashing_rate, 0);
}

/// The same with prompts that begin with this number of parts.
fn run_seeds_with(ends: &[End], crashing_rate: f64, leading: usize) {
    let _turn = wait_for_turn();
    let seeds = std::env::var("CRASH_SEEDS").map_or(0..ends.len() as u64, |text| {
        match text.split_once("..") {
            Some((from, to)) => from.parse().unwrap()..to.parse().unwrap(),
            None => text.parse().unwrap()..text.parse::<u64>().unwrap() + 1,
        }
    });
    let gateways = std::env::var("CRASH_GATEWAYS").map_or(4, |text| text.parse().unwrap());
    let rt = Runtime::start(2);
    let mut failed = Vec::new();
    for seed in seeds {
        let end = ends[seed as usize % ends.len()];
        match async_io::block_on(run_seed(&rt, seed, gateways, end, crashing_rate, leading)) {
            Ok(line) => println!("{line}"),
            Err(line) => {
                println!("{line}");
                failed.push(seed);
            }
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}

/// Guards against requests with a crashing part of their prompts that end one endpoint after another
/// (incident BUDGET), and against sound requests that are refused because of it.
#[test]
fn crashing_part_is_refused_and_sound_requests_begin() {
    run_seeds(&[End::Reset, End::MidEvent, End::Replaced], CRASHING_RATE);
}

/// The same with a part far behind in a long prompt (review case 14): gateways looked at the first 16, and
/// control instances kept 512 of the parts that were in flight at an end.
#[test]
fn crashing_part_of_a_long_prompt_is_refused() {
    for leading in [18, 1000] {
        run_seeds_with(&[End::Reset], CRASHING_RATE, leading);
    }
}

/// The same with endpoints that end in silence, which takes longer to notice.
#[test]
fn crashing_part_is_refused_when_endpoints_end_in_silence() {
    run_seeds(&[End::Silent], INCIDENT_RATE);
}

/// The same at a rate at which all endpoints have ended before the first end is noticed.
#[test]
fn crashing_part_is_refused_when_all_endpoints_end_in_silence_at_once() {
    run_seeds(&[End::Silent], CRASHING_RATE);
}

/// Guards against a part at which endpoints hang until they are replaced, and nobody is blamed, since
/// the gateways have given its requests up by then (left from the incident BUDGET).
#[test]
fn crashing_part_is_refused_when_endpoints_hang() {
    run_seeds(&[End::Hang], CRASHING_RATE);
}

/// Guards against a blocked part that crashes endpoints again after a restart (incident BUDGET): of all
/// processes at once, and of one gateway while a control instance is down.
#[test]
fn blocked_part_is_known_after_restarts() {
    let _turn = wait_for_turn();
    let rt = Runtime::start(2);
    let seed = 102;
    async_io::block_on(async {
        let Started { mut d, arrivals, endpoints: _endpoints } =
            start(&rt, seed, 4, End::Reset, |_| Vec::new()).await;
        let gateways: Vec<_> = (0..4).map(|i| d.gateway(i)).collect();
        let mut traffic = Traffic::new(&rt, gateways, seed);
        let started_at = Instant::now();
        let refused = |traffic: &Traffic| {
            traffic.sent.lock().unwrap().values().any(|s| s.error.contains("4005"))
        };
        while !refused(&traffic) {
            assert!(started_at.elapsed() < ENDS_WITHIN, "the part is not blocked");
            traffic.run_at(Duration::from_millis(500), SOUND_RATE, CRASHING_RATE).await;
        }
        let all = 0..CONTROLS + 4;
        all.clone().for_each(|i| d.kill(i));
        all.clone().for_each(|i| d.spawn(i, false));
        sleep(DISCOVERY).await;
        let mut reached = ends(&arrivals).len();
        traffic.run_at(Duration::from_secs(4), SOUND_RATE, CRASHING_RATE).await;
        assert_eq!(ends(&arrivals).len(), reached, "ends after a restart of all processes");
        d.kill(0);
        d.kill(CONTROLS + 1);
        d.spawn(CONTROLS + 1, false);
        reached = ends(&arrivals).len();
        traffic.run_at(Duration::from_secs(4), SOUND_RATE, CRASHING_RATE).await;
        assert_eq!(ends(&arrivals).len(), reached, "ends after the restart of a gateway");
        sleep(Duration::from_millis(DEADLINE_MS)).await;
        println!(
            "seed {seed}: {reached} ended; status of sound requests {:?}, of the others {:?}",
            traffic.statuses(false),
            traffic.statuses(true)
        );
    });
}

/// Guards against sound requests that are refused for want of retry budget (2004) while endpoints are
/// idle, because sends to ended endpoints are taken for retries (found beside the incident BUDGET).
#[test]
fn ended_endpoints_cost_no_retry_budget() {
    let _turn = wait_for_turn();
    let rt = Runtime::start(2);
    let seed = 101;
    // One of the endpoints ends every 0.8 s and is down for a while.
    let ends_after = |index: usize| {
        let round = ENDPOINTS as u32 * ENDS_EVERY;
        (0..10).map(|n| DISCOVERY + n * round + index as u32 * ENDS_EVERY).collect()
    };
    async_io::block_on(async {
        let Started { mut d, endpoints: _endpoints, .. } =
            start(&rt, seed, 4, End::Reset, ends_after).await;
        let gateways = (0..4).map(|i| d.gateway(i)).collect();
        let mut traffic = Traffic::new(&rt, gateways, seed);
        let from = Instant::now();
        traffic.run_at(Duration::from_secs(15), 50.0, 0.0).await;
        sleep(Duration::from_millis(DEADLINE_MS)).await;
        let began = traffic.began(from, Instant::now());
        let sent = traffic.sent.lock().unwrap().clone();
        let spent = sent.values().filter(|s| s.error.contains("2004")).count();
        let line = format!(
            "seed {seed}: {} sent, {began:.3} began, {spent} refused with 2004, status {:?}",
            sent.len(),
            traffic.statuses(false)
        );
        println!("{line}");
        if spent > 0 {
            panic!("{line}; logs in {}", d.keep_folder().display());
        }
    });
}
