//! `capacity`: slopes of state, messages, processor time and memory, for `docs/CAPACITY.md`.

use std::time::Instant;

use crocustally_core::control::Config;
use crocustally_core::control::StateMachine;
use crocustally_core::control::Ticket;
use crocustally_core::experts::ExpertMap;
use crocustally_core::experts::LayerId;
use crocustally_core::experts::LayerMap;
use crocustally_core::experts::LoadEstimate;
use crocustally_core::experts::Planner;
use crocustally_core::experts::PlannerSettings;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::Plan;
use crocustally_net::Runtime;
use crocustally_wire::Claim;
use crocustally_wire::Command;
use crocustally_wire::command::Kind;
use prost::Message;
use serde_json::Value;
use serde_json::json;

use crate::control;
use crate::drift::Drift;

/// A measured size and what was measured there.
type Point = (f64, f64);

/// Least-squares line: value at zero and rise for each unit.
fn fit(points: &[Point]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let above: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let below: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if below > 0.0 { above / below } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}

fn line(name: &str, per: &str, points: &[Point]) -> Value {
    let (at_zero, slope) = fit(points);
    json!({"figure": name, "per": per, "points": points, "at_zero": at_zero, "slope": slope})
}

/// Runs all measurements.
pub(crate) async fn run(rt: &Runtime, seed: u64) -> (Value, bool) {
    let mut lines = vec![config_bytes(), claim_bytes(), apply_time(), plan_time(seed)];
    lines.extend(by_agents(rt).await);
    lines.extend(by_entries(rt).await);
    let whole = lines.iter().all(|l| l["points"].as_array().is_some_and(|p| p.len() >= 3));
    (json!({"seed": seed, "lines": lines}), whole)
}

/// Bytes of the configuration for each workspace.
fn config_bytes() -> Value {
    let bytes = |workspaces: usize| {
        let settings = FleetSettings { workspaces, ..FleetSettings::default() };
        let ticket = Ticket::from_yaml(&Plan::new(settings).first_ticket());
        let mut config = Config::default();
        if let Ok(ticket) = ticket {
            config.apply(&ticket);
        }
        serde_json::to_vec(&config).unwrap_or_default().len() as f64
    };
    let points: Vec<Point> = [10, 90, 270].iter().map(|n| (*n as f64, bytes(*n))).collect();
    line("config_bytes", "workspace", &points)
}

fn claim(i: u64) -> Vec<u8> {
    let claim = Claim {
        key: [i.to_le_bytes(), [1; 8]].concat().into(),
        digest: vec![7; 16].into(),
        endpoint: "portal-1".to_owned(),
        address: "127.0.0.1:8002".to_owned(),
        incarnation: 1_700_000_000_000,
        at_ms: 1_700_000_000_000 + i,
        ..Claim::default()
    };
    Command { kind: Some(Kind::Claim(claim)) }.encode_to_vec()
}

fn machine_with(claims: u64) -> StateMachine {
    let mut machine = StateMachine::default();
    for i in 0..claims {
        machine.apply(i + 1, &claim(i));
    }
    machine
}

/// Bytes of a snapshot for each claim kept.
fn claim_bytes() -> Value {
    let point = |n: u64| (n as f64, machine_with(n).state().len() as f64);
    line("snapshot_bytes", "claim", &[1000, 4000, 16_000].map(point))
}

/// Time to apply claims.
fn apply_time() -> Value {
    let point = |n: u64| {
        let begun = Instant::now();
        let machine = machine_with(n);
        let us = begun.elapsed().as_secs_f64() * 1e6;
        (machine.claims().len() as f64, us)
    };
    line("apply_us", "claim", &[4000, 16_000, 64_000].map(point))
}

/// Time of one plan for each rank, at 60 layers and 256 experts.
fn plan_time(seed: u64) -> Value {
    let (layers, experts) = (60, 256);
    let point = |ranks: usize| {
        let slots = (experts / ranks) + 1;
        let drift = Drift::new(seed, layers, experts);
        let mut estimate = LoadEstimate::uniform(layers, experts);
        for l in 0..layers {
            let counts: Vec<u64> = drift.shares(l).iter().map(|s| (s * 1e6) as u64).collect();
            (0..20).for_each(|_| estimate.observe(LayerId(l as u16), &counts));
        }
        let layer = LayerMap::spread_round_robin(ranks, experts, slots);
        let map = ExpertMap { version: 1, layers: vec![layer; layers], splits: Vec::new() };
        let planner = Planner { cfg: PlannerSettings { slots, ..PlannerSettings::default() } };
        let begun = Instant::now();
        let _ = planner.plan(&map, &estimate, &vec![1.0; ranks]);
        (ranks as f64, begun.elapsed().as_secs_f64() * 1000.0)
    };
    line("plan_ms", "rank", &[64, 128, 256].map(point))
}

/// Control cost by number of agents, with four entries.
async fn by_agents(rt: &Runtime) -> Vec<Value> {
    let sizes = [6, 18, 36, 60];
    let mut costs = Vec::new();
    for n in sizes {
        let settings = FleetSettings { assistants: n, portals: 0, ..FleetSettings::default() };
        if let Some(fleet) = control::fleet(rt, settings).await {
            costs.push((n as f64, control::idle_cost(&fleet).await));
        }
    }
    let points = |f: fn(&control::IdleCost) -> f64| -> Vec<Point> {
        costs.iter().map(|(n, c)| (*n, f(c))).collect()
    };
    vec![
        line("bytes_per_s_all_links", "agent", &points(|c| c.bytes_per_s)),
        line("entry_cpu_pct", "agent", &points(|c| c.entry_cpu_pct)),
        line("agent_cpu_pct", "agent", &points(|c| c.agent_cpu_pct)),
        line("entry_rss_mb", "agent", &points(|c| c.entry_rss_mb)),
        line("agent_rss_mb", "agent", &points(|c| c.agent_rss_mb)),
    ]
}

/// Control cost by number of entries, with twelve agents.
async fn by_entries(rt: &Runtime) -> Vec<Value> {
    let mut costs = Vec::new();
    for n in [3, 5, 7, 9] {
        let settings =
            FleetSettings { entries: n, assistants: 12, portals: 0, ..FleetSettings::default() };
        if let Some(fleet) = control::fleet(rt, settings).await {
            costs.push((n as f64, control::idle_cost(&fleet).await));
        }
    }
    let points = |f: fn(&control::IdleCost) -> f64| -> Vec<Point> {
        costs.iter().map(|(n, c)| (*n, f(c))).collect()
    };
    vec![
        line("bytes_per_s_all_links", "entry", &points(|c| c.bytes_per_s)),
        line("entry_cpu_pct", "entry", &points(|c| c.entry_cpu_pct)),
        line("entry_rss_mb", "entry", &points(|c| c.entry_rss_mb)),
    ]
}
