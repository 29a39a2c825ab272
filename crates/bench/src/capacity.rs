//! `capacity`: growth of state, control traffic, CPU time and memory with the size of a deployment,
//! for `docs/CAPACITY.md`.

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
use crate::drift::PopularityDrift;

/// A size and the value measured at it.
type Point = (f64, f64);

/// Fits a least-squares line and returns its intercept and slope.
fn fit_line(points: &[Point]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}

/// Formats the points and the fitted line of one figure. `per` is the unit of the size.
fn figure(name: &str, per: &str, points: &[Point]) -> Value {
    let (at_zero, slope) = fit_line(points);
    json!({"figure": name, "per": per, "points": points, "at_zero": at_zero, "slope": slope})
}

/// Runs all measurements; the second value says whether each figure has at least three points.
pub(crate) async fn run(rt: &Runtime, seed: u64) -> (Value, bool) {
    let mut figures = vec![config_bytes(), claim_bytes(), apply_time(), plan_time(seed)];
    figures.extend(cost_by_agents(rt).await);
    figures.extend(cost_by_entries(rt).await);
    let complete = figures.iter().all(|l| l["points"].as_array().is_some_and(|p| p.len() >= 3));
    (json!({"seed": seed, "lines": figures}), complete)
}

/// Size of the configuration by number of workspaces.
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
    figure("config_bytes", "workspace", &points)
}

/// The encoded command of claim number `i`.
fn claim_command(i: u64) -> Vec<u8> {
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

fn state_machine_with(claims: u64) -> StateMachine {
    let mut machine = StateMachine::default();
    for i in 0..claims {
        machine.apply(i + 1, &claim_command(i));
    }
    machine
}

/// Size of a snapshot by number of claims.
fn claim_bytes() -> Value {
    let point = |claims: u64| (claims as f64, state_machine_with(claims).state().len() as f64);
    figure("snapshot_bytes", "claim", &[1000, 4000, 16_000].map(point))
}

/// Time to apply claims, by number of claims.
fn apply_time() -> Value {
    let point = |claims: u64| {
        let started = Instant::now();
        let machine = state_machine_with(claims);
        let us = started.elapsed().as_secs_f64() * 1e6;
        (machine.claims().len() as f64, us)
    };
    figure("apply_us", "claim", &[4000, 16_000, 64_000].map(point))
}

/// Time of one run of the planner by number of ranks, with 60 layers and 256 experts.
fn plan_time(seed: u64) -> Value {
    let (layers, experts) = (60, 256);
    let point = |ranks: usize| {
        let slots = (experts / ranks) + 1;
        let drift = PopularityDrift::new(seed, layers, experts);
        let mut estimate = LoadEstimate::uniform(layers, experts);
        for l in 0..layers {
            let counts: Vec<u64> = drift.shares(l).iter().map(|s| (s * 1e6) as u64).collect();
            (0..20).for_each(|_| estimate.observe(LayerId(l as u16), &counts));
        }
        let layer = LayerMap::spread_round_robin(ranks, experts, slots);
        let map = ExpertMap { version: 1, layers: vec![layer; layers], splits: Vec::new() };
        let planner = Planner { cfg: PlannerSettings { slots, ..PlannerSettings::default() } };
        let started = Instant::now();
        let _ = planner.plan(&map, &estimate, &vec![1.0; ranks]);
        (ranks as f64, started.elapsed().as_secs_f64() * 1000.0)
    };
    figure("plan_ms", "rank", &[64, 128, 256].map(point))
}

/// Cost of the control plane by number of agents, with four entries.
async fn cost_by_agents(rt: &Runtime) -> Vec<Value> {
    let sizes = [6, 18, 36, 60];
    let mut costs = Vec::new();
    for n in sizes {
        let settings = FleetSettings { assistants: n, portals: 0, ..FleetSettings::default() };
        if let Some(fleet) = control::start_fleet(rt, settings).await {
            costs.push((n as f64, control::idle_cost(&fleet).await));
        }
    }
    let points = |f: fn(&control::IdleCost) -> f64| -> Vec<Point> {
        costs.iter().map(|(n, c)| (*n, f(c))).collect()
    };
    vec![
        figure("bytes_per_s_all_links", "agent", &points(|c| c.bytes_per_s)),
        figure("entry_cpu_pct", "agent", &points(|c| c.entry_cpu_pct)),
        figure("agent_cpu_pct", "agent", &points(|c| c.agent_cpu_pct)),
        figure("entry_rss_mb", "agent", &points(|c| c.entry_rss_mb)),
        figure("agent_rss_mb", "agent", &points(|c| c.agent_rss_mb)),
    ]
}

/// Cost of the control plane by number of entries, with twelve agents.
async fn cost_by_entries(rt: &Runtime) -> Vec<Value> {
    let mut costs = Vec::new();
    for n in [3, 5, 7, 9] {
        let settings =
            FleetSettings { entries: n, assistants: 12, portals: 0, ..FleetSettings::default() };
        if let Some(fleet) = control::start_fleet(rt, settings).await {
            costs.push((n as f64, control::idle_cost(&fleet).await));
        }
    }
    let points = |f: fn(&control::IdleCost) -> f64| -> Vec<Point> {
        costs.iter().map(|(n, c)| (*n, f(c))).collect()
    };
    vec![
        figure("bytes_per_s_all_links", "entry", &points(|c| c.bytes_per_s)),
        figure("entry_cpu_pct", "entry", &points(|c| c.entry_cpu_pct)),
        figure("entry_rss_mb", "entry", &points(|c| c.entry_rss_mb)),
    ]
}
