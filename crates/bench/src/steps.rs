//! `steps`: step-time skew across ranks and the cost of rebalancing, policy by policy.

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

use crate::drift::Drift;
use crate::stats::Times;

/// Steps by which counts lag.
const LAG_STEPS: usize = 4;
/// Share of a layer's counts that never come.
const GAPS: f64 = 0.1;
/// Weights of one expert of one layer in bytes.
const EXPERT_BYTES: u64 = 44_000_000;
/// Experts that the weight store gives to a group of up to 64 ranks in one step.
const LOADS_PER_STEP_MIN: usize = 8;
/// Ranks for each further expert a step in a larger group.
const RANKS_PER_LOAD: usize = 8;
/// Steps between two looks at the map.
const LOOK_STEPS: u64 = 8;
/// Steps between two packings from nothing.
const REPACK_STEPS: u64 = 200;
/// Messages between coordinator and gates that fit in one step.
const ROUNDS_PER_STEP: usize = 2;
/// Token counts of one layer in one step.
const TOKENS: f64 = 480_000.0;
/// Skew at the 95th percentile that is promised.
const SKEW_P95_MAX: f64 = 1.1;
/// Mean skew over the mean bound that is promised.
const OVER_BOUND_MAX: f64 = 1.05;
/// Plans of the target size must be made in this time.
const PLAN_MS_MAX: f64 = 50.0;

/// Size of the group and length of the run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepsSettings {
    pub(crate) seed: u64,
    pub(crate) ranks: usize,
    pub(crate) experts: usize,
    pub(crate) layers: usize,
    pub(crate) steps: u64,
}

impl StepsSettings {
    /// Experts that the weight store gives to the group in one step.
    fn loads_per_step(&self) -> usize {
        (self.ranks / RANKS_PER_LOAD).max(LOADS_PER_STEP_MIN)
    }
}

/// How maps are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MapPolicy {
    Static,
    Repack,
    Incremental,
}

impl MapPolicy {
    pub(crate) fn named(name: &str) -> Option<Self> {
        match name {
            "static" => Some(Self::Static),
            "repack" => Some(Self::Repack),
            "incremental" => Some(Self::Incremental),
            _ => None,
        }
    }
}

/// Ranks in lock-step with their gates and a coordinator.
struct Ranks {
    gates: Vec<Gate>,
    coordinator: Coordinator,
    step: u64,
    paused: u64,
    mixed: u64,
}

impl Ranks {
    fn new(n: usize) -> Self {
        let gates = (0..n).map(|_| Gate::new(1, 0, 1)).collect();
        Self { gates, coordinator: Coordinator::new(1, n), step: 0, paused: 0, mixed: 0 }
    }

    /// Lets words go back and forth once; `loaded` is the newest map whose weights are there.
    fn talk(&mut self, loaded: u64) {
        for (rank, stamp, order) in self.coordinator.pending_orders() {
            let gate = &mut self.gates[rank.0 as usize];
            gate.mark_staged(loaded);
            let state = gate.handle_order(stamp, order);
            self.coordinator.handle_reply(rank, order, state);
        }
    }

    /// Runs one step; answers the map that it used.
    fn run(&mut self, loaded: u64) -> u64 {
        loop {
            for _ in 0..ROUNDS_PER_STEP {
                self.talk(loaded);
            }
            let next = self.step + 1;
            let held = self.gates.iter().any(|g| g.clone().try_start_step(next).is_none());
            if held && next > 1 {
                self.paused += 1;
            }
            if held {
                continue;
            }
            let used: Vec<u64> =
                self.gates.iter_mut().filter_map(|g| g.try_start_step(next)).collect();
            self.mixed += u64::from(used.iter().any(|v| *v != used[0]));
            self.step = next;
            return used[0];
        }
    }
}

/// A run of one policy.
struct Run {
    cfg: StepsSettings,
    policy: MapPolicy,
    slots: usize,
    planner: Planner,
    estimate: LoadEstimate,
    maps: BTreeMap<u64, ExpertMap>,
    newest: u64,
    loading: usize,
    loaded: u64,
    rebalances: u64,
    resplits: u64,
    moved: u64,
    plan_times: Times,
}

impl Run {
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
                loads_per_plan: cfg.loads_per_step() * LOOK_STEPS as usize,
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
            newest: 1,
            loading: 0,
            loaded: 1,
            rebalances: 0,
            resplits: 0,
            moved: 0,
            plan_times: Times::default(),
        }
    }

    /// Makes a next map where the policy has one; answers its version.
    fn look(&mut self, step: u64) -> Option<u64> {
        if self.loading > 0 || self.loaded != self.newest {
            return None;
        }
        let current = &self.maps[&self.newest];
        let begun = Instant::now();
        let speed = vec![1.0; self.cfg.ranks];
        let next = match self.policy {
            MapPolicy::Static => return None,
            MapPolicy::Repack if !step.is_multiple_of(REPACK_STEPS) => return None,
            MapPolicy::Repack => {
                let layer = |i: usize| {
                    repack(self.estimate.layer(LayerId(i as u16)), self.cfg.ranks, self.slots)
                };
                let layers = (0..self.cfg.layers).map(layer).collect();
                let next = ExpertMap { version: self.newest + 1, layers, splits: Vec::new() };
                next.with_split_for(&self.estimate, &speed)
            }
            MapPolicy::Incremental if !step.is_multiple_of(LOOK_STEPS) => return None,
            MapPolicy::Incremental => {
                let plan = self.planner.plan(current, &self.estimate, &speed).map(|p| p.map);
                self.plan_times.note(begun.elapsed());
                plan.or_else(|| self.planner.resplit(current, &self.estimate, &speed))?
            }
        };
        let loads: usize =
            next.layers.iter().zip(&current.layers).map(|(a, b)| a.loads_needed_from(b)).sum();
        self.rebalances += u64::from(loads > 0);
        self.resplits += u64::from(loads == 0);
        self.moved += loads as u64;
        self.loading = loads;
        self.newest = next.version;
        self.maps.insert(next.version, next);
        Some(self.newest)
    }

    /// The weight store gives what its rate allows in one step.
    fn load(&mut self) {
        self.loading = self.loading.saturating_sub(self.cfg.loads_per_step());
        if self.loading == 0 {
            self.loaded = self.newest;
        }
    }
}

/// Slots of each rank: what the experts need, and a tenth more, one at least.
fn slots(cfg: &StepsSettings) -> usize {
    let needed = cfg.experts.div_ceil(cfg.ranks);
    needed + (needed / 8).max(1)
}

/// Runs one policy; the second value says whether the promises for it held.
pub(crate) fn run(cfg: StepsSettings, policy: MapPolicy) -> (Value, bool) {
    let mut drift = Drift::new(cfg.seed, cfg.layers, cfg.experts);
    let mut rng = ChaCha8Rng::seed_from_u64(cfg.seed ^ 0x5eed);
    let mut run = Run::new(cfg, policy);
    let mut ranks = Ranks::new(cfg.ranks);
    let speed = vec![1.0; cfg.ranks];
    let spare = cfg.ranks * run.slots - cfg.experts;
    let mut late: VecDeque<Vec<Vec<f64>>> = VecDeque::new();
    let mut skews = Times::default();
    let (mut skew_sum, mut bound_sum, mut measured) = (0.0, 0.0, 0_u64);
    let warm_up = cfg.steps / 10;
    for step in 1..=cfg.steps {
        drift.advance();
        let version = ranks.run(run.loaded);
        run.maps.retain(|v, _| *v >= version);
        let map = &run.maps[&version];
        let (mut skew, mut least) = (0.0, 0.0);
        let mut seen = Vec::with_capacity(cfg.layers);
        for l in 0..cfg.layers {
            let shares = drift.shares(l);
            skew += map.splits[l].skew_under(&map.layers[l], &shares, &speed);
            least += skew_lower_bound(&shares, cfg.ranks, spare);
            seen.push(shares);
        }
        if step > warm_up {
            skew_sum += skew / cfg.layers as f64;
            bound_sum += least / cfg.layers as f64;
            measured += 1;
            skews.note(Duration::from_secs_f64(skew / cfg.layers as f64));
        }
        late.push_back(seen);
        if late.len() > LAG_STEPS
            && let Some(old) = late.pop_front()
        {
            learn(&mut run.estimate, &old, &mut rng);
        }
        run.load();
        if let Some(version) = run.look(step) {
            ranks.coordinator.request_switch(version);
        }
    }
    let n = measured.max(1) as f64;
    let (skew_mean, bound_mean) = (skew_sum / n, bound_sum / n);
    let skew_p95 = skews.us(95.0) as f64 / 1e6;
    let plan_ms_p99 = run.plan_times.ms(99.0);
    let safe = ranks.mixed == 0 && ranks.paused == 0;
    let near = skew_mean <= bound_mean * OVER_BOUND_MAX && skew_p95 <= SKEW_P95_MAX;
    let quick = plan_ms_p99 <= PLAN_MS_MAX;
    let held = safe && (policy != MapPolicy::Incremental || (near && quick));
    let value = json!({
        "seed": cfg.seed, "ranks": cfg.ranks, "experts": cfg.experts, "layers": cfg.layers,
        "steps": cfg.steps, "slots": run.slots, "policy": format!("{policy:?}").to_lowercase(),
        "skew_mean": skew_mean, "skew_p95": skew_p95, "bound_mean": bound_mean,
        "rebalances": run.rebalances, "resplits": run.resplits, "experts_moved": run.moved,
        "bytes_moved": run.moved * EXPERT_BYTES,
        "paused_steps": ranks.paused, "mixed_map_steps": ranks.mixed,
        "plan_ms_p99": plan_ms_p99,
    });
    (value, held)
}

/// Counts with noise, some of which never come.
fn learn(estimate: &mut LoadEstimate, seen: &[Vec<f64>], rng: &mut ChaCha8Rng) {
    for (l, shares) in seen.iter().enumerate() {
        if rng.random_bool(GAPS) {
            continue;
        }
        let mut noisy = |s: &f64| {
            let mean = s * TOKENS;
            let noise: f64 = (0..4).map(|_| rng.random::<f64>() - 0.5).sum();
            (mean + noise * 1.73 * mean.sqrt()).max(0.0) as u64
        };
        let counts: Vec<u64> = shares.iter().map(&mut noisy).collect();
        estimate.observe(LayerId(l as u16), &counts);
    }
}
