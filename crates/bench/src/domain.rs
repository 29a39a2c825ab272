//! `domain`: the service that callers get while a failure domain leaves, is cut off and returns.

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

use crate::load::Load;
use crate::load::LoadSettings;
use crate::load::Sent;
use crate::stats::Times;

const PHASES: [&str; 6] = ["before", "leaving", "out", "cut", "returning", "after"];
/// Domain that operators take out.
const LEAVING: &str = "zone-a";
/// Domain that is cut off while the other one is out.
const CUT: &str = "zone-c";
/// Share of whole answers that each phase must reach.
const WHOLE_TARGET: f64 = 0.999;
/// First-byte time in `leaving` and `returning` over that in `before`, at the 95th percentile.
const FIRST_RATIO_MAX: f64 = 1.5;
/// Latest new work in a domain after the ticket that takes it out.
const NEW_WORK_MAX_MS: f64 = 3000.0;
const TICKET_LIMIT: Duration = Duration::from_secs(10);
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Runs the experiment; the second value says whether all promises held.
pub(crate) async fn run(rt: &Runtime, seed: u64, phase_s: f64, rate: f64) -> (Value, bool) {
    let plan = Plan::new(FleetSettings::default()).with_relays();
    let programs = Programs::beside_current_exe();
    let fleet = match programs {
        Ok(programs) => ProcessFleet::start(rt, plan, programs).await,
        Err(e) => Err(e),
    };
    let Ok(fleet) = fleet else { return (json!({"error": "fleet did not start"}), false) };
    if !fleet.wait_ready(READY_LIMIT).await {
        return (json!({"error": "fleet did not get ready"}), false);
    }
    let entries = fleet.plan.entries.iter().map(|e| e.caller_address).collect();
    let cfg = LoadSettings { rate, bookings: 0.1, tokens: 20, prefixes: 40, workspaces: 10, seed };
    let load = Load::start(rt, entries, cfg);
    let phase = Duration::from_secs_f64(phase_s);
    sleep(phase).await;

    load.set_phase(1);
    let out = format!("number: 2\ndomains: [{{name: {LEAVING}, state: out}}]\n");
    let accepted = fleet.apply_until_decided(1, &out, TICKET_LIMIT).await == Some(0);
    let accepted_at = Instant::now();
    sleep(phase).await;
    load.set_phase(2);
    sleep(phase).await;
    let new_work_ms = last_work_after(&fleet, accepted_at).as_secs_f64() * 1000.0;

    load.set_phase(3);
    fleet.network.set_isolated(CUT, true);
    sleep(phase).await;
    fleet.network.set_isolated(CUT, false);

    load.set_phase(4);
    let back = format!("number: 3\ndomains: [{{name: {LEAVING}}}]\n");
    let returned = fleet.apply_until_decided(1, &back, TICKET_LIMIT).await == Some(0);
    sleep(phase).await;
    load.set_phase(5);
    sleep(phase).await;
    let sent = load.finish().await;

    let phases: Vec<Value> = (0..PHASES.len()).map(|p| phase_row(p, &sent)).collect();
    let double_runs = fleet.stand_ins.journal.run_twice();
    let lies = lies(&fleet, &sent);
    let promises = [
        ("tickets", accepted && returned),
        ("new_work_after_out", new_work_ms <= NEW_WORK_MAX_MS),
        ("double_runs", double_runs == 0),
        ("true_refusals", lies == 0),
        ("whole", phases.iter().all(|p| number(p, "whole_share") >= WHOLE_TARGET)),
        ("none_cut", phases.iter().all(|p| number(p, "cut") == 0.0)),
        ("first_byte", first_byte_holds(&phases)),
    ];
    let broken: Vec<&str> = promises.iter().filter(|(_, held)| !held).map(|(n, _)| *n).collect();
    let held = broken.is_empty();
    let value = json!({
        "seed": seed,
        "rate": rate,
        "phases": phases,
        "new_work_after_out_ms": new_work_ms,
        "double_runs": double_runs,
        "ran_after_refusal": lies,
        "broken": broken,
    });
    (value, held)
}

fn last_work_after(fleet: &ProcessFleet, accepted: Instant) -> Duration {
    let leaving = fleet.plan.agents.iter().zip(&fleet.stand_ins.engines);
    let begun = leaving.filter(|(a, _)| a.domain == LEAVING).filter_map(|(_, e)| e.last_begun());
    begun.map(|t| t.saturating_duration_since(accepted)).max().unwrap_or_default()
}

/// Refusals that said not run of bookings that have run.
fn lies(fleet: &ProcessFleet, sent: &[Sent]) -> usize {
    let refused = sent.iter().filter(|s| !s.whole && s.ran == "no");
    refused.filter(|s| s.key.as_ref().is_some_and(|k| fleet.stand_ins.journal.runs(k) > 0)).count()
}

fn phase_row(phase: usize, sent: &[Sent]) -> Value {
    let mut times = Times::default();
    let own: Vec<&Sent> = sent.iter().filter(|s| s.phase == phase).collect();
    let count = |f: fn(&Sent) -> bool| own.iter().filter(|s| f(s)).count();
    for s in own.iter().filter(|s| s.whole && s.key.is_none()) {
        times.note(s.first);
    }
    let whole = count(|s| s.whole);
    let mut codes: Vec<u32> = own.iter().filter(|s| !s.whole).map(|s| s.code).collect();
    codes.sort_unstable();
    codes.dedup();
    json!({
        "phase": PHASES[phase],
        "sent": own.len(),
        "whole": whole,
        "whole_share": whole as f64 / own.len().max(1) as f64,
        "refused_not_run": count(|s| !s.whole && s.ran == "no"),
        "unknown": count(|s| !s.whole && s.ran != "no"),
        "cut": count(|s| s.cut),
        "repeated": count(|s| s.repeats > 0),
        "codes": codes,
        "ttft_p50_ms": times.ms(50.0),
        "ttft_p95_ms": times.ms(95.0),
    })
}

fn number(row: &Value, key: &str) -> f64 {
    row[key].as_f64().unwrap_or(f64::NAN)
}

fn first_byte_holds(phases: &[Value]) -> bool {
    let bound = number(&phases[0], "ttft_p95_ms") * FIRST_RATIO_MAX;
    [1, 4].iter().all(|p| number(&phases[*p], "ttft_p95_ms") <= bound)
}
