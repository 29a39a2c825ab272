//! `domain`: availability and latency while one failure domain is taken out and returns, and
//! another is isolated in between.

use std::time::Duration;
use std::time::Instant;

use crocustally_fleet::FleetSettings;
use crocustally_fleet::Plan;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::Programs;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use serde_json::Value;
use serde_json::json;

use crate::load::LoadGenerator;
use crate::load::LoadSettings;
use crate::load::RequestResult;
use crate::stats::DurationHistogram;

const PHASES: [&str; 6] = ["before", "leaving", "out", "cut", "returning", "after"];
/// Failure domain that an operator takes out by a ticket.
const LEAVING_DOMAIN: &str = "zone-a";
/// Failure domain that is isolated while the other one is out.
const ISOLATED_DOMAIN: &str = "zone-c";
/// Target for the share of complete responses in each phase.
const COMPLETE_SHARE_MIN: f64 = 0.999;
/// Target for the 95th percentile of the time to first byte in the phases `leaving` and
/// `returning`, as a ratio to that in `before`.
const TTFT_RATIO_MAX: f64 = 1.5;
/// Target for the time until a domain gets no new work after the ticket that takes it out.
const NEW_WORK_AFTER_OUT_MAX_MS: f64 = 3000.0;
const TICKET_TIMEOUT: Duration = Duration::from_secs(10);
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs the experiment; the second value says whether all targets were met.
pub(crate) async fn run(
    rt: &Runtime,
    seed: u64,
    phase_s: f64,
    requests_per_s: f64,
) -> (Value, bool) {
    let plan = Plan::new(FleetSettings::default()).with_relays();
    let programs = Programs::beside_current_exe();
    let fleet = match programs {
        Ok(programs) => ProcessFleet::start(rt, plan, programs).await,
        Err(e) => Err(e),
    };
    let Ok(fleet) = fleet else { return (json!({"error": "fleet did not start"}), false) };
    if !fleet.wait_ready(READY_TIMEOUT).await {
        return (json!({"error": "fleet did not get ready"}), false);
    }
    let entries = fleet.plan.entries.iter().map(|e| e.caller_address).collect();
    let cfg = LoadSettings {
        requests_per_s,
        booking_share: 0.1,
        response_tokens: 20,
        prefix_count: 40,
        workspace_count: 10,
        seed,
    };
    let generator = LoadGenerator::start(rt, entries, cfg);
    let phase = Duration::from_secs_f64(phase_s);
    sleep(phase).await;

    generator.set_phase(1);
    let take_out = format!("number: 2\ndomains: [{{name: {LEAVING_DOMAIN}, state: out}}]\n");
    let accepted = fleet.apply_until_decided(1, &take_out, TICKET_TIMEOUT).await == Some(0);
    let accepted_at = Instant::now();
    sleep(phase).await;
    generator.set_phase(2);
    sleep(phase).await;
    let new_work_ms = last_work_after(&fleet, accepted_at).as_secs_f64() * 1000.0;

    generator.set_phase(3);
    fleet.network.set_isolated(ISOLATED_DOMAIN, true);
    sleep(phase).await;
    fleet.network.set_isolated(ISOLATED_DOMAIN, false);

    generator.set_phase(4);
    let bring_back = format!("number: 3\ndomains: [{{name: {LEAVING_DOMAIN}}}]\n");
    let returned = fleet.apply_until_decided(1, &bring_back, TICKET_TIMEOUT).await == Some(0);
    sleep(phase).await;
    generator.set_phase(5);
    sleep(phase).await;
    let results = generator.finish().await;

    let phases: Vec<Value> = (0..PHASES.len()).map(|p| phase_row(p, &results)).collect();
    let double_runs = fleet.stand_ins.journal.duplicate_run_count();
    let false_refusals = false_refusals(&fleet, &results);
    let targets = [
        ("tickets", accepted && returned),
        ("new_work_after_out", new_work_ms <= NEW_WORK_AFTER_OUT_MAX_MS),
        ("double_runs", double_runs == 0),
        ("true_refusals", false_refusals == 0),
        ("whole", phases.iter().all(|p| number_field(p, "whole_share") >= COMPLETE_SHARE_MIN)),
        ("none_cut", phases.iter().all(|p| number_field(p, "cut") == 0.0)),
        ("first_byte", ttft_target_met(&phases)),
    ];
    let missed: Vec<&str> = targets.iter().filter(|(_, met)| !met).map(|(n, _)| *n).collect();
    let passed = missed.is_empty();
    let value = json!({
        "seed": seed,
        "rate": requests_per_s,
        "phases": phases,
        "new_work_after_out_ms": new_work_ms,
        "double_runs": double_runs,
        "ran_after_refusal": false_refusals,
        "broken": missed,
    });
    (value, passed)
}

/// Time from `accepted` to the last request that an engine of the leaving domain started.
fn last_work_after(fleet: &ProcessFleet, accepted: Instant) -> Duration {
    let agents_and_engines = fleet.plan.agents.iter().zip(&fleet.stand_ins.engines);
    let started = agents_and_engines
        .filter(|(a, _)| a.domain == LEAVING_DOMAIN)
        .filter_map(|(_, e)| e.last_request_at());
    started.map(|t| t.saturating_duration_since(accepted)).max().unwrap_or_default()
}

/// Counts bookings that were refused as not run although they have run.
fn false_refusals(fleet: &ProcessFleet, results: &[RequestResult]) -> usize {
    let refused = results.iter().filter(|r| !r.complete && r.ran == "no");
    refused
        .filter(|r| {
            r.idempotency_key.as_ref().is_some_and(|k| fleet.stand_ins.journal.run_count(k) > 0)
        })
        .count()
}

fn phase_row(phase: usize, results: &[RequestResult]) -> Value {
    let mut ttft = DurationHistogram::default();
    let in_phase: Vec<&RequestResult> = results.iter().filter(|r| r.phase == phase).collect();
    let count = |f: fn(&RequestResult) -> bool| in_phase.iter().filter(|r| f(r)).count();
    for r in in_phase.iter().filter(|r| r.complete && r.idempotency_key.is_none()) {
        ttft.record(r.time_to_first_byte);
    }
    let complete = count(|r| r.complete);
    let mut codes: Vec<u32> = in_phase.iter().filter(|r| !r.complete).map(|r| r.code).collect();
    codes.sort_unstable();
    codes.dedup();
    json!({
        "phase": PHASES[phase],
        "sent": in_phase.len(),
        "whole": complete,
        "whole_share": complete as f64 / in_phase.len().max(1) as f64,
        "refused_not_run": count(|r| !r.complete && r.ran == "no"),
        "unknown": count(|r| !r.complete && r.ran != "no"),
        "cut": count(|r| r.interrupted),
        "repeated": count(|r| r.retries > 0),
        "codes": codes,
        "ttft_p50_ms": ttft.percentile_ms(50.0),
        "ttft_p95_ms": ttft.percentile_ms(95.0),
    })
}

fn number_field(row: &Value, key: &str) -> f64 {
    row[key].as_f64().unwrap_or(f64::NAN)
}

fn ttft_target_met(phases: &[Value]) -> bool {
    let bound = number_field(&phases[0], "ttft_p95_ms") * TTFT_RATIO_MAX;
    [1, 4].iter().all(|p| number_field(&phases[*p], "ttft_p95_ms") <= bound)
}
