//! `steps`: step-time skew across ranks and the cost of rebalancing, for one map policy.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::experts::Coordinator;
use crocustally_core::experts::ExpertMap;
use crocustally_core::experts::Gate;
use crocustally_core::experts::LayerId;
use crocustally_core::experts::LayerMap;
use crocustally_core::experts::LoadEstimate;
use crocustally_core::experts::Planner;
use crocustally_core::experts::PlannerSettings;
use crocustally_core::experts::repack;
use crocustally_core::experts::skew_lower_bound;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::drift::PopularityDrift;
use crate::stats::DurationHistogram;

/// Delay in steps until the selection counts of a step arrive.
const LAG_STEPS: usize = 4;
/// Probability that the selection counts of a layer in one step are lost.
const COUNT_LOSS_PROBABILITY: f64 = 0.1;
/// Size of the weights of one expert in one layer, in bytes.
const EXPERT_BYTES: u64 = 44_000_000;
/// Expert loads per step that the weight store serves to a group of up to 64 ranks.
const LOADS_PER_STEP_MIN: usize = 8;
/// In larger groups, the weight store serves one expert load per step for this number of ranks.
const RANKS_PER_STEP_LOAD: usize = 8;
/// Steps between two runs of the incremental planner.
const PLAN_INTERVAL_STEPS: u64 = 8;
/// Steps between two full repacks.
const REPACK_INTERVAL_STEPS: u64 = 200;
/// Message rounds between coordinator and gates during one step.
const MESSAGE_ROUNDS_PER_STEP: usize = 2;
/// Selections in one layer during one step.
const SELECTIONS_PER_STEP: f64 = 480_000.0;
/// Target for the 95th percentile of the skew.
const SKEW_P95_MAX: f64 = 1.1;
/// Target for the mean skew, as a ratio to the mean lower bound.
const SKEW_OVER_BOUND_MAX: f64 = 1.05;
/// Target for the 99th percentile of the planning time.
const PLAN_MS_P99_MAX: f64 = 50.0;

/// Size of the rank group and length of the run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepsSettings {
    pub(crate) seed: u64,
    pub(crate) ranks: usize,
    pub(crate) experts: usize,
    pub(crate) layers: usize,
    pub(crate) steps: u64,
}

impl StepsSettings {
    /// Expert loads per step that the weight store serves to the group.
    fn loads_per_step(&self) -> usize {
        (self.ranks / RANKS_PER_STEP_LOAD).max(LOADS_PER_STEP_MIN)
    }
}

/// How new expert maps are planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MapPolicy {
    Static,
    Repack,
    Incremental,
}

impl MapPolicy {
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        match name {
            "static" => Some(Self::Static),
            "repack" => Some(Self::Repack),
            "incremental" => Some(Self::Incremental),
            _ => None,
        }
    }
}

/// Gates of ranks that run in lock-step, and their coordinator.
struct RankGroup {
    gates: Vec<Gate>,
    coordinator: Coordinator,
    step: u64,
    paused_steps: u64,
    mixed_map_steps: u64,
}

impl RankGroup {
    fn new(n: usize) -> Self {
        let gates = (0..n).map(|_| Gate::new(1, 0, 1)).collect();
        Self {
            gates,
            coordinator: Coordinator::new(1, n),
            step: 0,
            paused_steps: 0,
            mixed_map_steps: 0,
        }
    }

    /// Exchanges one round of messages. `loaded` is the newest map whose weights are loaded.
    fn exchange_messages(&mut self, loaded: u64) {
        for (rank, token, order) in self.coordinator.pending_orders() {
            let gate = &mut self.gates[rank.0 as usize];
            gate.mark_staged(loaded);
            let state = gate.handle_order(token, order);
            self.coordinator.handle_reply(rank, order, state);
        }
    }

    /// Runs one step and returns the version of the map that it used.
    fn run_step(&mut self, loaded: u64) -> u64 {
        loop {
            for _ in 0..MESSAGE_ROUNDS_PER_STEP {
                self.exchange_messages(loaded);
            }
            let next = self.step + 1;
            let any_gate_closed =
                self.gates.iter().any(|g| g.clone().try_start_step(next).is_none());
            if any_gate_closed && next > 1 {
                self.paused_steps += 1;
            }
            if any_gate_closed {
                continue;
            }
            let used: Vec<u64> =
                self.gates.iter_mut().filter_map(|g| g.try_start_step(next)).collect();
            self.mixed_map_steps += u64::from(used.iter().any(|v| *v != used[0]));
            self.step = next;
            return used[0];
        }
    }
}

/// State of a simulation of one policy.
struct Simulation {
    cfg: StepsSettings,
    policy: MapPolicy,
    slots: usize,
    planner: Planner,
    estimate: LoadEstimate,
    maps: BTreeMap<u64, ExpertMap>,
    newest_version: u64,
    pending_loads: usize,
    loaded_version: u64,
    rebalances: u64,
    resplits: u64,
    experts_moved: u64,
    plan_times: DurationHistogram,
}

impl Simulation {
    fn new(cfg: StepsSettings, policy: MapPolicy) -> Self {
        let slots = slots(&cfg);
        let layer = LayerMap::spread_round_robin(cfg.ranks, cfg.experts, slots);
        let estimate = LoadEstimate::uniform(cfg.layers, cfg.experts);
        let layers = vec![layer; cfg.layers];
        let first = ExpertMap { version: 1, layers, splits: Vec::new() }
            .with_split_for(&estimate, &vec![1.0; cfg.ranks]);
        let planner = Planner {
            cfg: PlannerSettings {
                slots,
                loads_per_plan: cfg.loads_per_step() * PLAN_INTERVAL_STEPS as usize,
                ..PlannerSettings::default()
            },
        };
        Self {
            cfg,
            policy,
            slots,
            planner,
            estimate,
            maps: BTreeMap::from([(1, first)]),
            newest_version: 1,
            pending_loads: 0,
            loaded_version: 1,
            rebalances: 0,
            resplits: 0,
            experts_moved: 0,
            plan_times: DurationHistogram::default(),
        }
    }

    /// Plans the next map if the policy wants one at this step, and returns its version.
    fn plan_next_map(&mut self, step: u64) -> Option<u64> {
        if self.pending_loads > 0 || self.loaded_version != self.newest_version {
            return None;
        }
        let current = &self.maps[&self.newest_version];
        let plan_started = Instant::now();
        let speed = vec![1.0; self.cfg.ranks];
        let next = match self.policy {
            MapPolicy::Static => return None,
            MapPolicy::Repack if !step.is_multiple_of(REPACK_INTERVAL_STEPS) => return None,
            MapPolicy::Repack => {
                let layer = |i: usize| {
                    repack(self.estimate.layer(LayerId(i as u16)), self.cfg.ranks, self.slots)
                };
                let layers = (0..self.cfg.layers).map(layer).collect();
                let next =
                    ExpertMap { version: self.newest_version + 1, layers, splits: Vec::new() };
                next.with_split_for(&self.estimate, &speed)
            }
            MapPolicy::Incremental if !step.is_multiple_of(PLAN_INTERVAL_STEPS) => return None,
            MapPolicy::Incremental => {
                let plan = self.planner.plan(current, &self.estimate, &speed).map(|p| p.map);
                self.plan_times.record(plan_started.elapsed());
                plan.or_else(|| self.planner.resplit(current, &self.estimate, &speed))?
            }
        };
        let loads: usize =
            next.layers.iter().zip(&current.layers).map(|(a, b)| a.loads_needed_from(b)).sum();
        self.rebalances += u64::from(loads > 0);
        self.resplits += u64::from(loads == 0);
        self.experts_moved += loads as u64;
        self.pending_loads = loads;
        self.newest_version = next.version;
        self.maps.insert(next.version, next);
        Some(self.newest_version)
    }

    /// Loads as many experts as the weight store serves in one step.
    fn load_experts(&mut self) {
        self.pending_loads = self.pending_loads.saturating_sub(self.cfg.loads_per_step());
        if self.pending_loads == 0 {
            self.loaded_version = self.newest_version;
        }
    }
}

/// Expert slots per rank: those that the experts need and an eighth more, at least one.
fn slots(cfg: &StepsSettings) -> usize {
    let needed = cfg.experts.div_ceil(cfg.ranks);
    needed + (needed / 8).max(1)
}

/// Simulates one policy; the second value says whether its targets were met.
pub(crate) fn run(cfg: StepsSettings, policy: MapPolicy) -> (Value, bool) {
    let mut drift = PopularityDrift::new(cfg.seed, cfg.layers, cfg.experts);
    let mut rng = ChaCha8Rng::seed_from_u64(cfg.seed ^ 0x5eed);
    let mut sim = Simulation::new(cfg, policy);
    let mut group = RankGroup::new(cfg.ranks);
    let speed = vec![1.0; cfg.ranks];
    let spare_slots = cfg.ranks * sim.slots - cfg.experts;
    let mut delayed_shares: VecDeque<Vec<Vec<f64>>> = VecDeque::new();
    let mut skews = DurationHistogram::default();
    let (mut skew_sum, mut bound_sum, mut measured) = (0.0, 0.0, 0_u64);
    let warm_up = cfg.steps / 10;
    for step in 1..=cfg.steps {
        drift.advance();
        let version = group.run_step(sim.loaded_version);
        sim.maps.retain(|v, _| *v >= version);
        let map = &sim.maps[&version];
        let (mut skew, mut bound) = (0.0, 0.0);
        let mut step_shares = Vec::with_capacity(cfg.layers);
        for l in 0..cfg.layers {
            let shares = drift.shares(l);
            skew += map.splits[l].skew_under(&map.layers[l], &shares, &speed);
            bound += skew_lower_bound(&shares, cfg.ranks, spare_slots);
            step_shares.push(shares);
        }
        if step > warm_up {
            skew_sum += skew / cfg.layers as f64;
            bound_sum += bound / cfg.layers as f64;
            measured += 1;
            skews.record(Duration::from_secs_f64(skew / cfg.layers as f64));
        }
        delayed_shares.push_back(step_shares);
        if delayed_shares.len() > LAG_STEPS
            && let Some(shares) = delayed_shares.pop_front()
        {
            observe_counts(&mut sim.estimate, &shares, &mut rng);
        }
        sim.load_experts();
        if let Some(version) = sim.plan_next_map(step) {
            group.coordinator.request_switch(version);
        }
    }
    let n = measured.max(1) as f64;
    let (skew_mean, bound_mean) = (skew_sum / n, bound_sum / n);
    let skew_p95 = skews.percentile_us(95.0) as f64 / 1e6;
    let plan_ms_p99 = sim.plan_times.percentile_ms(99.0);
    let safe = group.mixed_map_steps == 0 && group.paused_steps == 0;
    let skew_met = skew_mean <= bound_mean * SKEW_OVER_BOUND_MAX && skew_p95 <= SKEW_P95_MAX;
    let plan_time_met = plan_ms_p99 <= PLAN_MS_P99_MAX;
    let passed = safe && (policy != MapPolicy::Incremental || (skew_met && plan_time_met));
    let value = json!({
        "seed": cfg.seed, "ranks": cfg.ranks, "experts": cfg.experts, "layers": cfg.layers,
        "steps": cfg.steps, "slots": sim.slots, "policy": format!("{policy:?}").to_lowercase(),
        "skew_mean": skew_mean, "skew_p95": skew_p95, "bound_mean": bound_mean,
        "rebalances": sim.rebalances, "resplits": sim.resplits, "experts_moved": sim.experts_moved,
        "bytes_moved": sim.experts_moved * EXPERT_BYTES,
        "paused_steps": group.paused_steps, "mixed_map_steps": group.mixed_map_steps,
        "plan_ms_p99": plan_ms_p99,
    });
    (value, passed)
}

/// Feeds noisy selection counts to the estimate. The counts of some layers are lost.
fn observe_counts(estimate: &mut LoadEstimate, step_shares: &[Vec<f64>], rng: &mut ChaCha8Rng) {
    for (l, shares) in step_shares.iter().enumerate() {
        if rng.random_bool(COUNT_LOSS_PROBABILITY) {
            continue;
        }
        let mut noisy = |s: &f64| {
            let mean = s * SELECTIONS_PER_STEP;
            let noise: f64 = (0..4).map(|_| rng.random::<f64>() - 0.5).sum();
            (mean + noise * 1.73 * mean.sqrt()).max(0.0) as u64
        };
        let counts: Vec<u64> = shares.iter().map(&mut noisy).collect();
        estimate.observe(LayerId(l as u16), &counts);
    }
}
