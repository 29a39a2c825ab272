//! `overhead`: latency that entry and agent add to a direct call, and their throughput and memory.

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
use crate::stats::DurationHistogram;

/// Concurrent requests when latency is measured.
const IN_FLIGHT_LATENCY: usize = 8;
/// Concurrent requests when throughput is measured.
const IN_FLIGHT_THROUGHPUT: usize = 64;
/// Concurrent streams when memory is measured.
const STREAMS: usize = 1000;
/// Length of the prompt, in bytes.
const PROMPT_BYTES: usize = 900;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const ADDED_P50_MAX_US: f64 = 250.0;
const ADDED_P99_MAX_US: f64 = 1000.0;
const RSS_MAX_MB: f64 = 64.0;
const REQUESTS_PER_S_MIN: f64 = 5000.0;

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

async fn start_fleet(rt: &Runtime, token_time: Duration) -> Option<ProcessFleet> {
    let plan = Plan::new(settings(token_time));
    let fleet = ProcessFleet::start(rt, plan, Programs::beside_current_exe().ok()?).await.ok()?;
    fleet.wait_ready(READY_TIMEOUT).await.then_some(fleet)
}

/// A chat request for one token without streaming.
fn request() -> CallerRequest {
    let mut req = CallerRequest::chat(&workspace_key(0), "course", &"x".repeat(PROMPT_BYTES), 1);
    let text = String::from_utf8_lossy(&req.body).replace("\"stream\":true", "\"stream\":false");
    req.body = text.into_bytes().into();
    req
}

/// Sends `n` requests from `callers` concurrent callers. Returns the latencies of the successful
/// requests and the total time.
async fn send_requests(
    rt: &Runtime,
    to: SocketAddr,
    callers: usize,
    n: usize,
) -> (DurationHistogram, Duration) {
    let latencies = Arc::new(Mutex::new(DurationHistogram::default()));
    let started = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let (mut caller, latencies) = (Caller::new(rt, to), latencies.clone());
            rt.spawn_task(async move {
                let req = request();
                for _ in 0..n / callers {
                    let response = caller.send(&req).await;
                    if response.status == 200 && response.complete {
                        latencies
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .record(response.total_time);
                    }
                }
            })
        })
        .collect();
    for t in tasks {
        t.await;
    }
    let elapsed = started.elapsed();
    let mut latencies = latencies.lock().unwrap_or_else(PoisonError::into_inner);
    (std::mem::take(&mut *latencies), elapsed)
}

/// Runs the experiment; the second value says whether all targets were met.
pub(crate) async fn run(rt: &Runtime, seed: u64, requests: usize) -> (Value, bool) {
    let Some(fleet) = start_fleet(rt, Duration::ZERO).await else {
        return (json!({"error": "fleet did not get ready"}), false);
    };
    let (entry, engine) =
        (fleet.plan.entries[0].caller_address, fleet.plan.agents[0].engine_address);
    let rounds = 10;
    let (mut direct, mut routed) = (DurationHistogram::default(), DurationHistogram::default());
    send_requests(rt, entry, IN_FLIGHT_LATENCY, requests / rounds).await;
    for _ in 0..rounds {
        direct.merge(&send_requests(rt, engine, IN_FLIGHT_LATENCY, requests / rounds).await.0);
        routed.merge(&send_requests(rt, entry, IN_FLIGHT_LATENCY, requests / rounds).await.0);
    }
    let (_, elapsed) = send_requests(rt, entry, IN_FLIGHT_THROUGHPUT, requests).await;
    let requests_per_s = requests as f64 / elapsed.as_secs_f64();
    drop(fleet);
    let (entry_rss, agent_rss, open) = measure_open_streams(rt).await;
    let added_p50_us = routed.percentile_us(50.0) as f64 - direct.percentile_us(50.0) as f64;
    let added_p99_us = routed.percentile_us(99.0) as f64 - direct.percentile_us(99.0) as f64;
    let passed = added_p50_us <= ADDED_P50_MAX_US
        && added_p99_us <= ADDED_P99_MAX_US
        && requests_per_s >= REQUESTS_PER_S_MIN
        && entry_rss <= RSS_MAX_MB
        && agent_rss <= RSS_MAX_MB;
    let value = json!({
        "seed": seed, "requests": requests,
        "direct_p50_us": direct.percentile_us(50.0), "direct_p99_us": direct.percentile_us(99.0),
        "routed_p50_us": routed.percentile_us(50.0), "routed_p99_us": routed.percentile_us(99.0),
        "added_p50_us": added_p50_us, "added_p99_us": added_p99_us,
        "requests_per_s": requests_per_s, "open_streams": open,
        "entry_rss_mb": entry_rss, "agent_rss_mb": agent_rss,
    });
    (value, passed)
}

/// Resident memory of entry and agent in megabytes while many streams are open, and the number of
/// open streams.
async fn measure_open_streams(rt: &Runtime) -> (f64, f64, usize) {
    let Some(fleet) = start_fleet(rt, Duration::from_secs(2)).await else {
        return (f64::NAN, f64::NAN, 0);
    };
    let mut tasks = Vec::new();
    for i in 0..STREAMS {
        let mut caller = fleet.caller(0);
        let req = CallerRequest::chat(&workspace_key(0), "course", &i.to_string(), 1000);
        tasks.push(rt.spawn_task(async move { caller.send(&req).await }));
        // The delay keeps the short accept backlog of the listener from overflowing.
        sleep(Duration::from_millis(2)).await;
    }
    let deadline = Instant::now() + READY_TIMEOUT;
    while fleet.stand_ins.engines[0].in_flight() < STREAMS && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }
    let (entries, agents) = fleet.pids();
    let open = fleet.stand_ins.engines[0].in_flight();
    let result = (proc::rss_mb(entries[0]), proc::rss_mb(agents[0]), open);
    drop(tasks);
    result
}
