//! `control`: the latency of configuration changes and the cost of the control plane per daemon.

use std::collections::BTreeMap;
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

use crate::proc;
use crate::stats::DurationHistogram;

const READY_TIMEOUT: Duration = Duration::from_secs(60);
const TICKET_TIMEOUT: Duration = Duration::from_secs(20);
/// Time over which the cost of an idle fleet is measured.
const IDLE_MEASUREMENT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const ENTRIES: usize = 4;
const IN_FORCE_P99_MAX_MS: f64 = 1000.0;
const LEADER_LOSS_GAP_MAX_MS: f64 = 2000.0;
const CATCH_UP_MAX_MS: f64 = 2000.0;

/// Cost of the control plane in a fleet without load.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdleCost {
    /// Bytes per second over all links together.
    pub(crate) bytes_per_s: f64,
    /// CPU use in percent of a core, mean over entries.
    pub(crate) entry_cpu_pct: f64,
    /// CPU use in percent of a core, mean over agents.
    pub(crate) agent_cpu_pct: f64,
    /// Resident memory in megabytes, mean over entries.
    pub(crate) entry_rss_mb: f64,
    /// Resident memory in megabytes, mean over agents.
    pub(crate) agent_rss_mb: f64,
}

/// Starts a fleet whose daemons talk through relays, which count the bytes.
pub(crate) async fn start_fleet(rt: &Runtime, settings: FleetSettings) -> Option<ProcessFleet> {
    let plan = Plan::new(settings).with_relays();
    let fleet = ProcessFleet::start(rt, plan, Programs::beside_current_exe().ok()?).await.ok()?;
    fleet.wait_ready(READY_TIMEOUT).await.then_some(fleet)
}

/// Measures the cost of the control plane in a fleet without load.
pub(crate) async fn idle_cost(fleet: &ProcessFleet) -> IdleCost {
    let (entries, agents) = fleet.pids();
    let cpu_s = |pids: &[u32]| proc::mean(pids.iter().map(|p| proc::cpu_time(*p).as_secs_f64()));
    let (bytes_before, entry_cpu_before, agent_cpu_before) =
        (fleet.network.bytes_forwarded(), cpu_s(&entries), cpu_s(&agents));
    sleep(IDLE_MEASUREMENT).await;
    let seconds = IDLE_MEASUREMENT.as_secs_f64();
    IdleCost {
        bytes_per_s: (fleet.network.bytes_forwarded() - bytes_before) as f64 / seconds,
        entry_cpu_pct: (cpu_s(&entries) - entry_cpu_before) / seconds * 100.0,
        agent_cpu_pct: (cpu_s(&agents) - agent_cpu_before) / seconds * 100.0,
        entry_rss_mb: proc::mean(entries.iter().map(|p| proc::rss_mb(*p))),
        agent_rss_mb: proc::mean(agents.iter().map(|p| proc::rss_mb(*p))),
    }
}

/// Runs the experiment with `daemons` daemons and `changes` configuration changes; the second value
/// says whether all targets were met.
pub(crate) async fn run(rt: &Runtime, seed: u64, changes: u64, daemons: usize) -> (Value, bool) {
    let portals = 3;
    let assistants = daemons.saturating_sub(ENTRIES + portals);
    let settings =
        FleetSettings { assistants, portals, entries: ENTRIES, ..FleetSettings::default() };
    let Some(mut fleet) = start_fleet(rt, settings).await else {
        return (json!({"error": "fleet did not get ready"}), false);
    };
    let cost = idle_cost(&fleet).await;
    let (mut accept_times, mut in_force_times) =
        (DurationHistogram::default(), DurationHistogram::default());
    let mut number = 1;
    for _ in 0..changes {
        number += 1;
        let started = Instant::now();
        let entry = (number as usize + seed as usize) % ENTRIES;
        let ticket = format!("number: {number}\ndomains: [{{name: d{}}}]\n", number % 20);
        if fleet.apply_until_decided(entry, &ticket, TICKET_TIMEOUT).await != Some(0) {
            return (json!({"error": "a ticket was not accepted", "number": number}), false);
        }
        accept_times.record(started.elapsed());
        while !in_force_everywhere(&fleet, number).await && started.elapsed() < TICKET_TIMEOUT {
            sleep(POLL_INTERVAL).await;
        }
        in_force_times.record(started.elapsed());
    }
    let catch_up_ms = measure_catch_up(&mut fleet, &mut number).await;
    let leader_loss_gap_ms = measure_leader_loss(&mut fleet, &mut number).await;
    let daemons = (ENTRIES + portals + assistants) as f64;
    let passed = in_force_times.percentile_ms(99.0) <= IN_FORCE_P99_MAX_MS
        && leader_loss_gap_ms <= LEADER_LOSS_GAP_MAX_MS
        && catch_up_ms <= CATCH_UP_MAX_MS;
    let value = json!({
        "seed": seed, "changes": changes, "daemons": daemons,
        "accept_p50_ms": accept_times.percentile_ms(50.0),
        "accept_p99_ms": accept_times.percentile_ms(99.0),
        "in_force_p50_ms": in_force_times.percentile_ms(50.0),
        "in_force_p99_ms": in_force_times.percentile_ms(99.0),
        "catch_up_ms": catch_up_ms, "leader_loss_gap_ms": leader_loss_gap_ms,
        // Every byte is counted twice, for its sender and for its receiver.
        "control_bytes_per_s": cost.bytes_per_s * 2.0 / daemons,
        "control_cpu_pct_entry": cost.entry_cpu_pct, "control_cpu_pct_agent": cost.agent_cpu_pct,
        "control_rss_mb_entry": cost.entry_rss_mb, "control_rss_mb_agent": cost.agent_rss_mb,
    });
    (value, passed)
}

/// Whether the configuration version is in force at every entry and every agent.
///
/// For an agent, the highest version that it has reported to any entry counts.
async fn in_force_everywhere(fleet: &ProcessFleet, version: u64) -> bool {
    let mut agents: BTreeMap<String, u64> = BTreeMap::new();
    for i in 0..ENTRIES {
        let Some(s) = fleet.status(i).await else { return false };
        if s.version < version {
            return false;
        }
        for a in s.instances.into_iter().filter(|a| a.role == "agent") {
            let reported = agents.entry(a.name).or_default();
            *reported = a.version.max(*reported);
        }
    }
    agents.len() == fleet.plan.agents.len() && agents.values().all(|v| *v >= version)
}

/// Milliseconds that a restarted entry takes until 500 missed changes are in force.
async fn measure_catch_up(fleet: &mut ProcessFleet, number: &mut u64) -> f64 {
    let lagging = ENTRIES - 1;
    fleet.kill_entry(lagging);
    for _ in 0..500 {
        *number += 1;
        let ticket = format!("number: {number}\ndomains: [{{name: d{}}}]\n", *number % 20);
        fleet.apply_until_decided(0, &ticket, TICKET_TIMEOUT).await;
    }
    let started = Instant::now();
    if fleet.start_entry(lagging).is_err() {
        return f64::INFINITY;
    }
    let version = *number;
    fleet.wait_status(lagging, TICKET_TIMEOUT, |s| s.version >= version).await;
    started.elapsed().as_secs_f64() * 1000.0
}

/// Milliseconds from killing the leader until the next ticket is accepted.
async fn measure_leader_loss(fleet: &mut ProcessFleet, number: &mut u64) -> f64 {
    let mut leader = None;
    for i in 0..ENTRIES {
        if let Some(s) = fleet.status(i).await
            && s.leader.as_deref() == Some(&s.name)
        {
            leader = Some(i);
        }
    }
    let Some(leader) = leader else { return f64::INFINITY };
    fleet.kill_entry(leader);
    let started = Instant::now();
    *number += 1;
    let ticket = format!("number: {number}\ndomains: [{{name: after}}]\n");
    fleet.apply_until_decided((leader + 1) % ENTRIES, &ticket, TICKET_TIMEOUT).await;
    started.elapsed().as_secs_f64() * 1000.0
}
