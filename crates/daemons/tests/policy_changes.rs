//! Operators that change the configuration all the time, and probes of every gateway.
//!
//! Gateways and control instances run as processes on loopback addresses. Each service has fake
//! runners of its own, so that a request's way shows which version was in force for it.
//!
//! To run it on other seeds: `POLICY_SEEDS=0..10 POLICY_SECONDS=40 cargo test --release -p
//! crocustally_daemons --test policy_changes -- --nocapture`.
#![allow(clippy::unwrap_used, dead_code)]

#[path = "../../../platform/tests/common/calls.rs"]
mod calls;
#[path = "policy_changes/changes.rs"]
mod changes;
#[path = "soak/deployment.rs"]
mod deployment;
#[path = "policy_changes/disturbances.rs"]
mod disturbances;
#[path = "policy_changes/history.rs"]
mod history;
#[path = "soak/operator.rs"]
mod operator;
#[path = "policy_changes/probes.rs"]
mod probes;
#[path = "../../../platform/tests/common/runner.rs"]
mod runner;
#[path = "policy_changes/versions.rs"]
mod versions;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use crocustally_net::Runtime;
use crocustally_net::sleep;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use changes::Operators;
use deployment::CONTROLS;
use deployment::DOMAINS;
use deployment::Deployment;
use disturbances::Disturbances;
use history::CONTACT_TIME;
use history::Disturbed;
use history::History;
use probes::Callers;
use probes::Probe;
use probes::Shared;
use versions::FIRST_ROUTES;
use versions::Outcome;
use versions::SERVICES;

const GATEWAYS: usize = 3;
/// Runners of each service.
const RUNNERS: usize = 2;
/// Time between two changes of the configuration, in milliseconds.
const ACT_EVERY_MS: std::ops::Range<u64> = 300..1000;
/// Time within which a started deployment must accept its first configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Calm between two bursts of faults, beyond [`CONTACT_TIME`].
const CALM: Duration = Duration::from_secs(2);
/// Routes that were added later must be served at least so often as the first ones, as a share of
/// their requests.
const ADDED_SHARE_MIN: f64 = 0.25;
/// Requests on added routes from which their share counts.
const ADDED_REQUESTS_MIN: usize = 20;

/// Plays one seed; returns a summary, as an error with all violations if there are any.
async fn run(rt: &Runtime, seed: u64, seconds: u64, faults: bool) -> Result<String, String> {
    let folder =
        std::env::temp_dir().join(format!("policy-{}-{seed}-{faults}", std::process::id()));
    let net = [(std::process::id() % 100 + 120 * u32::from(faults) + 20) as u8, (seed % 250) as u8];
    let d = Deployment::start(rt, net, SERVICES.len() * RUNNERS, GATEWAYS, folder).await;
    let shared = Shared {
        history: Arc::default(),
        incarnations: Arc::new((0..GATEWAYS).map(|_| AtomicU64::new(0)).collect()),
        stop: Arc::default(),
    };
    let controls: Vec<SocketAddr> = (0..CONTROLS).map(|i| d.control(i)).collect();
    for (i, runner) in d.runners.iter().enumerate() {
        let (service, relay) = (SERVICES[i % SERVICES.len()], d.relays[i].address());
        let domain = format!("d{}", i % DOMAINS);
        let (controls, stop) = (controls.clone(), shared.stop.clone());
        operator::send_heartbeats(rt, service, runner.clone(), relay, domain, controls, stop);
    }
    let rng = |salt| ChaCha8Rng::seed_from_u64(seed ^ salt);
    let mut operators = Operators::new(rt, rng(0x0e), shared.history.clone(), controls);
    let started_at = Instant::now();
    while !operators.change().await {
        assert!(started_at.elapsed() < READY_TIMEOUT, "seed {seed}: no configuration accepted");
        sleep(Duration::from_millis(100)).await;
    }
    let gateways: Vec<SocketAddr> = (0..GATEWAYS).map(|i| d.gateway(i)).collect();
    for gateway in 0..GATEWAYS {
        let start = (Disturbed::Gateway(gateway), started_at, Some(started_at));
        shared.history.lock().unwrap().disturbances.push(start);
    }
    let callers = Callers::start(rt, &shared, &gateways, seed);
    let d = Arc::new(Mutex::new(d));
    let mut disturbances = Disturbances::new(rng(0xfa), shared.clone());
    let until = Instant::now() + Duration::from_secs(seconds);
    let disturbing = async {
        while Instant::now() < until {
            if faults {
                disturbances.burst(&d).await;
            } else {
                disturbances.reload(&d);
            }
            sleep(CONTACT_TIME + CALM).await;
        }
    };
    let mut act_rng = rng(0xac);
    let operating = async {
        while Instant::now() < until {
            operators.controls = {
                let d = d.lock().unwrap();
                (0..CONTROLS).map(|i| d.control(i)).collect()
            };
            operators.act().await;
            sleep(Duration::from_millis(act_rng.random_range(ACT_EVERY_MS))).await;
        }
    };
    futures_lite::future::zip(disturbing, operating).await;
    if faults {
        final_fault(&d, &shared, &mut operators).await;
    } else {
        sleep(CONTACT_TIME).await;
    }
    let steady_from = Instant::now();
    sleep(CONTACT_TIME).await;
    read_back(&mut operators).await;
    let d = Arc::into_inner(d).unwrap().into_inner().unwrap();
    let probes = callers.finish(|| executions(&d)).await;
    check(d, seed, &shared, &operators, disturbances, &probes, steady_from, started_at)
}

/// Kills all control instances at once, starts them again and waits until all are in touch.
async fn final_fault(d: &Arc<Mutex<Deployment>>, shared: &Shared, operators: &mut Operators) {
    let begin = Instant::now();
    {
        let mut d = d.lock().unwrap();
        let mut history = shared.history.lock().unwrap();
        history.disturbances.push((Disturbed::Final, begin, None));
        drop(history);
        (0..CONTROLS).for_each(|i| d.kill(i));
        (0..CONTROLS).for_each(|i| d.spawn(i, false));
        operators.controls = (0..CONTROLS).map(|i| d.control(i)).collect();
    }
    let back = Instant::now();
    shared.history.lock().unwrap().disturbances.last_mut().unwrap().2 = Some(back);
    sleep(CONTACT_TIME * 2).await;
}

/// Reads the configuration back from every instance, repeatedly for the time that operators do.
async fn read_back(operators: &mut Operators) {
    for from in 0..CONTROLS {
        let deadline = Instant::now() + CONTACT_TIME;
        let mut read = operators.read_from(from).await;
        while read.is_none() && Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
            read = operators.read_from(from).await;
        }
        if read.is_none() {
            operators.violations.push(format!("control instance {from} can't be read in the end"));
        }
    }
}

/// The services that ran each request.
fn executions(d: &Deployment) -> HashMap<String, Vec<usize>> {
    let mut services: HashMap<String, Vec<usize>> = HashMap::new();
    for (i, runner) in d.runners.iter().enumerate() {
        for e in runner.executions() {
            services.entry(e.request).or_default().push(i % SERVICES.len());
        }
    }
    services
}

/// Requests on added and on first routes that every version allows which may be in force, and how many
/// of them were run.
fn served(
    history: &History,
    probes: &[Probe],
    gateway: usize,
    from: Instant,
) -> [(usize, usize); 2] {
    let mut counts = [(0, 0); 2];
    for p in probes.iter().filter(|p| p.gateway == gateway && p.sent_at >= from) {
        if history.candidates(p).all(|v| v.allows(&p.route, &p.key)) {
            let (sent, run) = &mut counts[usize::from(FIRST_ROUTES.contains(&p.route.as_str()))];
            *sent += 1;
            *run += usize::from(matches!(p.outcome, Some(Outcome::Run(_))));
        }
    }
    counts
}

#[allow(clippy::too_many_arguments)]
fn check(
    mut d: Deployment,
    seed: u64,
    shared: &Shared,
    operators: &Operators,
    disturbances: Disturbances,
    probes: &[Probe],
    steady_from: Instant,
    started_at: Instant,
) -> Result<String, String> {
    let history = shared.history.lock().unwrap();
    let mut violations = operators.violations.clone();
    violations.extend(disturbances.violations);
    violations.extend(history.violations(probes));
    let mut shares = Vec::new();
    for gateway in 0..GATEWAYS {
        let [added, first] = served(&history, probes, gateway, steady_from);
        shares.push((added, first));
        let share = |(sent, run): (usize, usize)| run as f64 / sent.max(1) as f64;
        if added.0 >= ADDED_REQUESTS_MIN && share(added) < ADDED_SHARE_MIN * share(first) {
            violations
                .push(format!("gateway {gateway}: added {added:?}, first {first:?} (sent, run)"));
        }
        if first.1 == 0 {
            violations.push(format!("gateway {gateway} serves no first route in steady state"));
        }
    }
    for i in 0..d.processes.len() {
        if let Some(status) = d.take_exit_status(i) {
            violations.push(format!("{} ended by itself: {status}", d.processes[i].name));
        }
    }
    let shown = probes.iter().filter(|p| p.outcome.is_some()).count();
    let bound = |p: &&Probe| history.candidates(p).map(|v| v.number).min().unwrap_or(0) > 1;
    let bound = probes.iter().filter(bound).count();
    let summary = format!(
        "seed {seed}: {} versions, {} acks, {} reads, {} probes, {shown} with an outcome, {bound} \
         with a bound, {} faults, steady {shares:?}",
        history.sent.len(),
        operators.acknowledged,
        operators.reads,
        probes.len(),
        disturbances.events.len(),
    );
    if violations.is_empty() {
        return Ok(summary);
    }
    let mut text = format!("{summary}; logs in {}\n", d.keep_folder().display());
    let seconds = |at: Instant| at.saturating_duration_since(started_at).as_secs_f64();
    text += &format!("  {} violations\n", violations.len());
    violations.iter().take(30).for_each(|v| text += &format!("  {v}\n"));
    for (at, event) in &disturbances.events {
        text += &format!("  {:.2} s {event}\n", seconds(*at));
    }
    for s in &history.sent {
        let acknowledged = s.acknowledged.map(seconds);
        text +=
            &format!("  {:.2} s sent {}, ack {acknowledged:?}\n", seconds(s.at), s.version.number);
    }
    Err(text)
}

/// Parses a half-open range such as `0..10`, or a single seed.
fn parse_seeds(text: &str) -> Vec<u64> {
    match text.split_once("..") {
        Some((from, to)) => (from.parse().unwrap()..to.parse().unwrap()).collect(),
        None => vec![text.parse().unwrap()],
    }
}

fn play(faults: bool, seconds: u64) {
    let seeds = std::env::var("POLICY_SEEDS").map_or(vec![1], |text| parse_seeds(&text));
    let seconds = std::env::var("POLICY_SECONDS").map_or(seconds, |text| text.parse().unwrap());
    let rt = Runtime::start(2);
    let mut failed = Vec::new();
    for seed in seeds {
        match async_io::block_on(run(&rt, seed, seconds, faults)) {
            Ok(summary) => println!("{summary}"),
            Err(text) => {
                println!("{text}");
                failed.push(seed);
            }
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}

/// Guards against gateways that handle requests as an older version than they may, or one that is
/// invalid, and against added routes that are not served.
#[test]
fn changes_are_in_force_in_time_and_never_undone() {
    play(false, 5);
}

/// Guards against gateways that handle requests as an older version than they may after faults of
/// processes, and against acknowledged changes that faults undo.
#[test]
fn changes_are_in_force_in_time_and_never_undone_under_faults() {
    play(true, 6);
}
