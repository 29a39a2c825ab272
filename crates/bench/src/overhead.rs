//! `overhead`: what the path through entry and agent adds to a direct call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crocustally_fleet::FleetSettings;
use crocustally_fleet::Plan;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::Programs;
use crocustally_fleet::workspace_key;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_standin::Caller;
use crocustally_standin::CallerRequest;
use crocustally_standin::EngineSettings;
use serde_json::Value;
use serde_json::json;

use crate::proc;
use crate::stats::Times;

/// Requests under way at once for the times.
const IN_FLIGHT: usize = 8;
/// Requests under way at once for the rate.
const IN_FLIGHT_FULL: usize = 64;
/// Streams open at once for the memory.
const STREAMS: usize = 1000;
/// Bytes of a request's text.
const REQUEST_BYTES: usize = 900;
const READY_LIMIT: Duration = Duration::from_secs(30);
const MEDIAN_MAX_US: f64 = 250.0;
const P99_MAX_US: f64 = 1000.0;
const RSS_MAX_MB: f64 = 64.0;
const RATE_MIN: f64 = 5000.0;

fn settings(token_time: Duration) -> FleetSettings {
    FleetSettings {
        domains: 1,
        entries: 1,
        assistants: 1,
        portals: 0,
        start_limit: 2048,
        max_limit: 2048,
        threads: 2,
        engine: EngineSettings { token_time, capacity: 4096, ..EngineSettings::instant() },
        ..FleetSettings::default()
    }
}

async fn fleet(rt: &Runtime, token_time: Duration) -> Option<ProcessFleet> {
    let plan = Plan::new(settings(token_time));
    let fleet = ProcessFleet::start(rt, plan, Programs::beside_current_exe().ok()?).await.ok()?;
    fleet.wait_ready(READY_LIMIT).await.then_some(fleet)
}

fn request() -> CallerRequest {
    let mut req = CallerRequest::chat(&workspace_key(0), "course", &"x".repeat(REQUEST_BYTES), 1);
    let text = String::from_utf8_lossy(&req.body).replace("\"stream\":true", "\"stream\":false");
    req.body = text.into_bytes().into();
    req
}

/// Sends `n` requests from `callers` callers; answers the times and the time it took.
async fn hammer(rt: &Runtime, to: SocketAddr, callers: usize, n: usize) -> (Times, Duration) {
    let times = Arc::new(Mutex::new(Times::default()));
    let begun = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let (mut caller, times) = (Caller::new(rt, to), times.clone());
            rt.spawn_task(async move {
                let req = request();
                for _ in 0..n / callers {
                    let answer = caller.send(&req).await;
                    if answer.status == 200 && answer.complete {
                        times.lock().unwrap_or_else(PoisonError::into_inner).note(answer.total);
                    }
                }
            })
        })
        .collect();
    for t in tasks {
        t.await;
    }
    let took = begun.elapsed();
    let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
    (std::mem::take(&mut *times), took)
}

/// Runs the experiment.
pub(crate) async fn run(rt: &Runtime, seed: u64, requests: usize) -> (Value, bool) {
    let Some(fast) = fleet(rt, Duration::ZERO).await else {
        return (json!({"error": "fleet did not get ready"}), false);
    };
    let (entry, engine) = (fast.plan.entries[0].caller_address, fast.plan.agents[0].engine_address);
    let rounds = 10;
    let (mut direct, mut routed) = (Times::default(), Times::default());
    hammer(rt, entry, IN_FLIGHT, requests / rounds).await;
    for _ in 0..rounds {
        direct.add(&hammer(rt, engine, IN_FLIGHT, requests / rounds).await.0);
        routed.add(&hammer(rt, entry, IN_FLIGHT, requests / rounds).await.0);
    }
    let (_, took) = hammer(rt, entry, IN_FLIGHT_FULL, requests).await;
    let rate = requests as f64 / took.as_secs_f64();
    drop(fast);
    let (entry_rss, agent_rss, open) = open_streams(rt).await;
    let median_added = routed.us(50.0) as f64 - direct.us(50.0) as f64;
    let p99_added = routed.us(99.0) as f64 - direct.us(99.0) as f64;
    let held = median_added <= MEDIAN_MAX_US
        && p99_added <= P99_MAX_US
        && rate >= RATE_MIN
        && entry_rss <= RSS_MAX_MB
        && agent_rss <= RSS_MAX_MB;
    let value = json!({
        "seed": seed, "requests": requests,
        "direct_p50_us": direct.us(50.0), "direct_p99_us": direct.us(99.0),
        "routed_p50_us": routed.us(50.0), "routed_p99_us": routed.us(99.0),
        "added_p50_us": median_added, "added_p99_us": p99_added,
        "requests_per_s": rate, "open_streams": open,
        "entry_rss_mb": entry_rss, "agent_rss_mb": agent_rss,
    });
    (value, held)
}

/// Memory of entry and agent with many streams open.
async fn open_streams(rt: &Runtime) -> (f64, f64, usize) {
    let Some(slow) = fleet(rt, Duration::from_secs(2)).await else {
        return (f64::NAN, f64::NAN, 0);
    };
    let mut tasks = Vec::new();
    for i in 0..STREAMS {
        let mut caller = slow.caller(0);
        let req = CallerRequest::chat(&workspace_key(0), "course", &i.to_string(), 1000);
        tasks.push(rt.spawn_task(async move { caller.send(&req).await }));
        // A little apart, since a listener's queue of new connections is short.
        sleep(Duration::from_millis(2)).await;
    }
    let until = Instant::now() + READY_LIMIT;
    while slow.stand_ins.engines[0].in_flight() < STREAMS && Instant::now() < until {
        sleep(Duration::from_millis(20)).await;
    }
    let (entries, agents) = slow.pids();
    let open = slow.stand_ins.engines[0].in_flight();
    let rss = (proc::rss_mb(entries[0]), proc::rss_mb(agents[0]), open);
    drop(tasks);
    rss
}
