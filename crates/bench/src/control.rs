//! `control`: how soon changes are accepted and in force, and what control costs a daemon.

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
use crate::stats::Times;

const READY_LIMIT: Duration = Duration::from_secs(60);
const TICKET_LIMIT: Duration = Duration::from_secs(20);
/// Time over which idle cost is measured.
const IDLE: Duration = Duration::from_secs(6);
/// How often a wait looks again.
const POLL: Duration = Duration::from_millis(2);
const ENTRIES: usize = 4;
const IN_FORCE_P99_MAX_MS: f64 = 1000.0;
const LEADER_GAP_MAX_MS: f64 = 2000.0;
const CATCH_UP_MAX_MS: f64 = 2000.0;

/// What control costs the daemons of a fleet that serves nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdleCost {
    /// Bytes a second over all links together.
    pub(crate) bytes_per_s: f64,
    /// Percent of a core, mean over entries.
    pub(crate) entry_cpu_pct: f64,
    /// Percent of a core, mean over agents.
    pub(crate) agent_cpu_pct: f64,
    /// Resident memory, mean over entries.
    pub(crate) entry_rss_mb: f64,
    /// Resident memory, mean over agents.
    pub(crate) agent_rss_mb: f64,
}

/// Starts a fleet whose daemons talk through relays that count.
pub(crate) async fn fleet(rt: &Runtime, settings: FleetSettings) -> Option<ProcessFleet> {
    let plan = Plan::new(settings).with_relays();
    let fleet = ProcessFleet::start(rt, plan, Programs::beside_current_exe().ok()?).await.ok()?;
    fleet.wait_ready(READY_LIMIT).await.then_some(fleet)
}

/// Measures a fleet at rest.
pub(crate) async fn idle_cost(fleet: &ProcessFleet) -> IdleCost {
    let (entries, agents) = fleet.pids();
    let cpu = |pids: &[u32]| proc::mean(pids.iter().map(|p| proc::cpu(*p).as_secs_f64()));
    let (bytes, e0, a0) = (fleet.network.bytes_forwarded(), cpu(&entries), cpu(&agents));
    sleep(IDLE).await;
    let s = IDLE.as_secs_f64();
    IdleCost {
        bytes_per_s: (fleet.network.bytes_forwarded() - bytes) as f64 / s,
        entry_cpu_pct: (cpu(&entries) - e0) / s * 100.0,
        agent_cpu_pct: (cpu(&agents) - a0) / s * 100.0,
        entry_rss_mb: proc::mean(entries.iter().map(|p| proc::rss_mb(*p))),
        agent_rss_mb: proc::mean(agents.iter().map(|p| proc::rss_mb(*p))),
    }
}

/// Runs the experiment with `daemons` daemons and `changes` changes.
pub(crate) async fn run(rt: &Runtime, seed: u64, changes: u64, daemons: usize) -> (Value, bool) {
    let portals = 3;
    let assistants = daemons.saturating_sub(ENTRIES + portals);
    let settings =
        FleetSettings { assistants, portals, entries: ENTRIES, ..FleetSettings::default() };
    let Some(mut fleet) = fleet(rt, settings).await else {
        return (json!({"error": "fleet did not get ready"}), false);
    };
    let cost = idle_cost(&fleet).await;
    let (mut accept, mut in_force) = (Times::default(), Times::default());
    let mut number = 1;
    for _ in 0..changes {
        number += 1;
        let begun = Instant::now();
        let at = (number as usize + seed as usize) % ENTRIES;
        let ticket = format!("number: {number}\ndomains: [{{name: d{}}}]\n", number % 20);
        if fleet.apply_until_decided(at, &ticket, TICKET_LIMIT).await != Some(0) {
            return (json!({"error": "a ticket was not accepted", "number": number}), false);
        }
        accept.note(begun.elapsed());
        while !everywhere(&fleet, number).await && begun.elapsed() < TICKET_LIMIT {
            sleep(POLL).await;
        }
        in_force.note(begun.elapsed());
    }
    let catch_up_ms = catch_up(&mut fleet, &mut number).await;
    let leader_loss_gap_ms = leader_loss(&mut fleet, &mut number).await;
    let daemons = (ENTRIES + portals + assistants) as f64;
    let held = in_force.ms(99.0) <= IN_FORCE_P99_MAX_MS
        && leader_loss_gap_ms <= LEADER_GAP_MAX_MS
        && catch_up_ms <= CATCH_UP_MAX_MS;
    let value = json!({
        "seed": seed, "changes": changes, "daemons": daemons,
        "accept_p50_ms": accept.ms(50.0), "accept_p99_ms": accept.ms(99.0),
        "in_force_p50_ms": in_force.ms(50.0), "in_force_p99_ms": in_force.ms(99.0),
        "catch_up_ms": catch_up_ms, "leader_loss_gap_ms": leader_loss_gap_ms,
        // Every byte has a sender and a receiver; each daemon is charged for both halves.
        "control_bytes_per_s": cost.bytes_per_s * 2.0 / daemons,
        "control_cpu_pct_entry": cost.entry_cpu_pct, "control_cpu_pct_agent": cost.agent_cpu_pct,
        "control_rss_mb_entry": cost.entry_rss_mb, "control_rss_mb_agent": cost.agent_rss_mb,
    });
    (value, held)
}

/// Whether a version is in force at every entry, by its own word, and at every agent, by the word it
/// gave to any entry.
async fn everywhere(fleet: &ProcessFleet, version: u64) -> bool {
    let mut agents: BTreeMap<String, u64> = BTreeMap::new();
    for i in 0..ENTRIES {
        let Some(s) = fleet.status(i).await else { return false };
        if s.version < version {
            return false;
        }
        for a in s.instances.into_iter().filter(|a| a.role == "agent") {
            let known = agents.entry(a.name).or_default();
            *known = a.version.max(*known);
        }
    }
    agents.len() == fleet.plan.agents.len() && agents.values().all(|v| *v >= version)
}

/// Time from the start of an entry that missed 500 changes until it has them in force.
async fn catch_up(fleet: &mut ProcessFleet, number: &mut u64) -> f64 {
    let late = ENTRIES - 1;
    fleet.kill_entry(late);
    for _ in 0..500 {
        *number += 1;
        let ticket = format!("number: {number}\ndomains: [{{name: d{}}}]\n", *number % 20);
        fleet.apply_until_decided(0, &ticket, TICKET_LIMIT).await;
    }
    let begun = Instant::now();
    if fleet.start_entry(late).is_err() {
        return f64::INFINITY;
    }
    let version = *number;
    fleet.wait_status(late, TICKET_LIMIT, |s| s.version >= version).await;
    begun.elapsed().as_secs_f64() * 1000.0
}

/// Time from the leader's death to the next acceptance.
async fn leader_loss(fleet: &mut ProcessFleet, number: &mut u64) -> f64 {
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
    let begun = Instant::now();
    *number += 1;
    let ticket = format!("number: {number}\ndomains: [{{name: after}}]\n");
    fleet.apply_until_decided((leader + 1) % ENTRIES, &ticket, TICKET_LIMIT).await;
    begun.elapsed().as_secs_f64() * 1000.0
}
