//! [`Planner`]: computes the next expert map, with few loads and a skew near the lower bound.

use smallvec::SmallVec;

use super::ExpertId;
use super::ExpertMap;
use super::LayerId;
use super::LayerMap;
use super::LoadEstimate;
use super::RankId;
use super::Split;
use super::experts_by_popularity;
use super::least_loaded;
use super::skew_lower_bound;

/// Minimum reduction of the skew per load for a change to be made.
const GAIN_PER_LOAD_MIN: f64 = 1e-4;
/// Number of least loaded ranks that an exchange is tried with.
const EXCHANGE_RANKS_MAX: usize = 6;

/// Thresholds and cost limits of plans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Maximum number of experts that one rank holds in one layer.
    pub slots: usize,
    /// Ratio of skew to its lower bound above which a layer is replanned.
    pub act_above: f64,
    /// Ratio of skew to its lower bound at which replanning of a layer stops.
    pub stop_below: f64,
    /// Maximum number of loads for one layer in one plan.
    pub loads_per_layer: usize,
    /// Maximum number of loads in one plan: what the weight store delivers in one planning interval.
    pub loads_per_plan: usize,
    /// Expected lifetime of a map, in steps.
    pub map_lifetime_steps: f64,
    /// Cost of one load, as a fraction of the time of one step.
    pub load_cost_steps: f64,
    /// Minimum reduction of the skew for splitting tokens differently on an unchanged placement.
    pub resplit_gain_min: f64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            slots: 10,
            act_above: 1.045,
            stop_below: 1.03,
            loads_per_layer: 6,
            loads_per_plan: 64,
            map_lifetime_steps: 400.0,
            load_cost_steps: 0.05,
            resplit_gain_min: 0.004,
        }
    }
}

/// The next map, its cost and its expected effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The next map.
    pub map: ExpertMap,
    /// Number of experts to load, over all ranks and layers.
    pub loads: usize,
    /// Estimated skew of the current map, as the mean over the layers.
    pub skew_before: f64,
    /// Estimated skew of the next map, as the mean over the layers.
    pub skew_after: f64,
}

/// Changes to one layer.
struct LayerPlan {
    layer: usize,
    map: LayerMap,
    loads: usize,
    gain: f64,
}

/// Replicates hot experts into free or little used slots, one load at a time.
///
/// A plan is made only if its gain over the expected lifetime of the map exceeds its cost. The
/// hysteresis between `act_above` and `stop_below` prevents oscillation between two maps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planner {
    /// Thresholds and cost limits of plans.
    pub cfg: PlannerSettings,
}

impl Planner {
    /// Returns a better map than `current`, or `None` if no change is worth its cost.
    ///
    /// `speed` is the relative speed of each rank: 1 for a normal rank, less for a slow one, which
    /// gets fewer tokens.
    pub fn plan(
        &self,
        current: &ExpertMap,
        estimate: &LoadEstimate,
        speed: &[f64],
    ) -> Option<Plan> {
        let mut skew_before = 0.0;
        let mut layer_plans: Vec<LayerPlan> = Vec::new();
        for (i, map) in current.layers.iter().enumerate() {
            let shares = estimate.layer(LayerId(i as u16));
            let split = Split::of(map, shares, speed);
            skew_before += split.skew();
            layer_plans.extend(self.plan_layer(i, map, shares, speed, split));
        }
        let layers = current.layers.len() as f64;
        // Highest gain per load first, up to the rate of the weight store.
        layer_plans.sort_by(|a, b| (b.gain / b.loads as f64).total_cmp(&(a.gain / a.loads as f64)));
        let mut next_layers = current.layers.clone();
        let mut plan = Plan {
            map: ExpertMap { version: current.version + 1, layers: Vec::new(), splits: Vec::new() },
            loads: 0,
            skew_before: skew_before / layers,
            skew_after: skew_before / layers,
        };
        for layer_plan in layer_plans {
            if plan.loads + layer_plan.loads > self.cfg.loads_per_plan {
                continue;
            }
            plan.loads += layer_plan.loads;
            plan.skew_after -= layer_plan.gain / layers;
            next_layers[layer_plan.layer] = layer_plan.map;
        }
        if plan.loads == 0 {
            return None;
        }
        plan.map.layers = next_layers;
        plan.map = plan.map.with_split_for(estimate, speed);
        Some(plan)
    }

    /// Returns the current placement with a new split of the tokens, which costs a switch but no
    /// load; `None` if the gain would be too small.
    pub fn resplit(
        &self,
        current: &ExpertMap,
        estimate: &LoadEstimate,
        speed: &[f64],
    ) -> Option<ExpertMap> {
        let mut next = current.clone().with_split_for(estimate, speed);
        next.version += 1;
        let gain = current.skew(estimate, speed) - next.skew(estimate, speed);
        (gain >= self.cfg.resplit_gain_min).then_some(next)
    }

    fn plan_layer(
        &self,
        layer: usize,
        before: &LayerMap,
        shares: &[f64],
        speed: &[f64],
        split: Split,
    ) -> Option<LayerPlan> {
        let spare = before.ranks.len() * self.cfg.slots - shares.len();
        let lower_bound = skew_lower_bound(shares, before.ranks.len(), spare);
        let skew_before = split.skew();
        let smooth_before = split.smooth_skew();
        if skew_before <= lower_bound * self.cfg.act_above {
            return None;
        }
        let mut map = before.clone();
        let mut split = split;
        let mut loads = 0;
        while loads < self.cfg.loads_per_layer && split.skew() > lower_bound * self.cfg.stop_below {
            let Some(next) = self.best_change(&map, &split, shares, speed) else { break };
            map = next.map;
            split = next.split;
            loads += next.loads;
        }
        let gain = (skew_before - split.skew()).max(smooth_before - split.smooth_skew());
        let worthwhile =
            gain * self.cfg.map_lifetime_steps > loads as f64 * self.cfg.load_cost_steps;
        let layer_plan = LayerPlan { layer, map, loads, gain };
        (loads > 0 && worthwhile).then_some(layer_plan)
    }

    /// The change with the highest gain per load: one more replica, or an exchange of two experts,
    /// which helps where no slot can be spared for a replica.
    fn best_change(
        &self,
        map: &LayerMap,
        split: &Split,
        shares: &[f64],
        speed: &[f64],
    ) -> Option<Change> {
        let before = split.smooth_skew();
        let candidates = [(self.add_replica(map, split), 1), (exchange(map, split), 2)];
        let mut best: Option<(f64, Change)> = None;
        for (next, loads) in candidates {
            let Some(next) = next else { continue };
            let split = Split::of(&next, shares, speed);
            let gain = (before - split.smooth_skew()) / loads as f64;
            if gain > GAIN_PER_LOAD_MIN && best.as_ref().is_none_or(|(g, _)| gain > *g) {
                best = Some((gain, Change { map: next, split, loads }));
            }
        }
        best.map(|(_, change)| change)
    }

    /// The map with one more replica of an expert that the most loaded rank holds.
    fn add_replica(&self, map: &LayerMap, split: &Split) -> Option<LayerMap> {
        let heaviest = split.heaviest();
        let mut expert_loads: SmallVec<[(ExpertId, f64); 8]> = SmallVec::new();
        for e in &map.ranks[heaviest.0 as usize] {
            expert_loads.push((*e, token_share(map, split, heaviest, *e)));
        }
        expert_loads.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (expert, _) in expert_loads {
            let fits = |r: RankId| !map.holds(r, expert) && self.slot_for(map, split, r).is_some();
            let Some(to) = least_loaded(&split.rank_loads, fits) else { continue };
            if split.rank_loads[to.0 as usize] >= split.rank_loads[heaviest.0 as usize] {
                continue;
            }
            let mut next = map.clone();
            if let Some(Slot::Replace(out)) = self.slot_for(map, split, to) {
                next.remove(to, out);
            }
            next.add(to, expert);
            return Some(next);
        }
        None
    }

    /// The slot for one more expert on a rank: a free slot, or the slot of the least loaded expert
    /// there that has another replica elsewhere.
    fn slot_for(&self, map: &LayerMap, split: &Split, rank: RankId) -> Option<Slot> {
        let held = &map.ranks[rank.0 as usize];
        if held.len() < self.cfg.slots {
            return Some(Slot::Free);
        }
        let replicated = held.iter().filter(|e| map.holders[e.0 as usize].len() > 1);
        let load = |e: &ExpertId| token_share(map, split, rank, *e);
        replicated.min_by(|a, b| load(a).total_cmp(&load(b))).map(|e| Slot::Replace(*e))
    }
}

/// A changed layer and the loads it needs.
struct Change {
    map: LayerMap,
    split: Split,
    loads: usize,
}

/// The map after the most loaded rank and a lightly loaded one have exchanged the two experts that
/// bring their loads closest together.
fn exchange(map: &LayerMap, split: &Split) -> Option<LayerMap> {
    let heaviest = split.heaviest();
    let n = map.ranks.len() as f64;
    let mut light: Vec<RankId> = (0..map.ranks.len()).map(|r| RankId(r as u16)).collect();
    light.sort_by(|a, b| split.rank_loads[a.0 as usize].total_cmp(&split.rank_loads[b.0 as usize]));
    let mut best: Option<(f64, RankId, ExpertId, ExpertId)> = None;
    for &to in light.iter().take(EXCHANGE_RANKS_MAX) {
        let gap = split.rank_loads[heaviest.0 as usize] - split.rank_loads[to.0 as usize];
        for &out in &map.ranks[heaviest.0 as usize] {
            for &incoming in &map.ranks[to.0 as usize] {
                if map.holds(to, out) || map.holds(heaviest, incoming) {
                    continue;
                }
                let moved = (token_share(map, split, heaviest, out)
                    - token_share(map, split, to, incoming))
                    * n;
                // Remaining difference between the two ranks; moving more than the gap only swaps
                // their roles.
                let remaining = (gap - 2.0 * moved).abs();
                if moved > 0.0 && remaining < gap && best.is_none_or(|(l, ..)| remaining < l) {
                    best = Some((remaining, to, out, incoming));
                }
            }
        }
    }
    let (_, to, out, incoming) = best?;
    let mut next = map.clone();
    next.remove(heaviest, out);
    next.remove(to, incoming);
    next.add(heaviest, incoming);
    next.add(to, out);
    Some(next)
}

/// Slot of a rank for one more expert.
enum Slot {
    Free,
    Replace(ExpertId),
}

/// Share of the layer's tokens that a rank processes for an expert.
fn token_share(map: &LayerMap, split: &Split, rank: RankId, expert: ExpertId) -> f64 {
    let holders = &map.holders[expert.0 as usize];
    let index = holders.iter().position(|r| *r == rank);
    index.map_or(0.0, |i| split.token_shares[expert.0 as usize][i])
}

/// Packs one layer from scratch with the usual greedy algorithm: replicates the experts with the
/// largest load per replica, then places replicas in descending order on the least loaded rank.
///
/// This is the baseline that ignores which experts are loaded already.
pub fn repack(shares: &[f64], ranks: usize, slots: usize) -> LayerMap {
    let mut replicas = vec![1_usize; shares.len()];
    for _ in 0..ranks * slots - shares.len() {
        let load = |e: usize| shares[e] / replicas[e] as f64;
        let candidates = (0..shares.len()).filter(|e| replicas[*e] < ranks);
        let Some(e) = candidates.max_by(|a, b| load(*a).total_cmp(&load(*b))) else { break };
        replicas[e] += 1;
    }
    let mut parts: Vec<(ExpertId, f64)> = Vec::new();
    for e in experts_by_popularity(shares) {
        let n = replicas[e.0 as usize];
        parts.extend(std::iter::repeat_n((e, shares[e.0 as usize] / n as f64), n));
    }
    parts.sort_by(|a, b| b.1.total_cmp(&a.1));
    let mut map = LayerMap {
        ranks: vec![SmallVec::new(); ranks],
        holders: vec![super::Holders::new(); shares.len()],
    };
    let mut load = vec![0.0; ranks];
    for (expert, share) in parts {
        let fits = |r: RankId| map.ranks[r.0 as usize].len() < slots && !map.holds(r, expert);
        let Some(rank) = least_loaded(&load, fits) else { continue };
        map.add(rank, expert);
        load[rank.0 as usize] += share;
    }
    map
}
