//! [`Planner`]: the next expert map, with as few loads as bring the step near its bound.

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

/// Skew that a change must gain for each load.
const GAIN_MIN: f64 = 1e-4;
/// Light ranks that an exchange is looked for with.
const EXCHANGE_RANKS: usize = 6;

/// What a plan may cost and what it is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Experts that one rank holds in one layer.
    pub slots: usize,
    /// Skew over the bound above which a layer is worked on.
    pub act_above: f64,
    /// Skew over the bound at which work on a layer stops.
    pub stop_below: f64,
    /// Loads for one layer in one plan at most.
    pub loads_per_layer: usize,
    /// Loads in one plan at most: what the weight store gives in one interval.
    pub loads_per_plan: usize,
    /// Steps that a map is expected to last.
    pub map_lifetime_steps: f64,
    /// Step time that one load costs, as a share of one step.
    pub load_cost_steps: f64,
    /// Skew that splitting tokens anew must gain.
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

/// A map to go to, and what it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The map.
    pub map: ExpertMap,
    /// Experts to load, over all ranks and layers.
    pub loads: usize,
    /// Mean skew over the layers before, as the estimate has it.
    pub skew_before: f64,
    /// The same afterwards.
    pub skew_after: f64,
}

/// Work on one layer.
struct LayerPlan {
    layer: usize,
    map: LayerMap,
    loads: usize,
    gain: f64,
}

/// Replicates hot experts into slots that do little, one load at a time.
///
/// A plan is made only where its gain over the expected life of the map exceeds its cost, and the
/// gap between `act_above` and `stop_below` keeps it from swinging between two maps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planner {
    /// What plans may cost and are worth.
    pub cfg: PlannerSettings,
}

impl Planner {
    /// A better map than `current`, or none worth its cost. `speed` is 1 for a usual rank and less
    /// for a slow one, which is given less.
    pub fn plan(
        &self,
        current: &ExpertMap,
        estimate: &LoadEstimate,
        speed: &[f64],
    ) -> Option<Plan> {
        let mut skew_before = 0.0;
        let mut work: Vec<LayerPlan> = Vec::new();
        for (i, map) in current.layers.iter().enumerate() {
            let shares = estimate.layer(LayerId(i as u16));
            let split = Split::of(map, shares, speed);
            skew_before += split.skew();
            work.extend(self.layer(i, map, shares, speed, split));
        }
        let layers = current.layers.len() as f64;
        // The most gain for each load first, as far as the weight store's rate goes.
        work.sort_by(|a, b| (b.gain / b.loads as f64).total_cmp(&(a.gain / a.loads as f64)));
        let mut layers_next = current.layers.clone();
        let mut plan = Plan {
            map: ExpertMap { version: current.version + 1, layers: Vec::new(), splits: Vec::new() },
            loads: 0,
            skew_before: skew_before / layers,
            skew_after: skew_before / layers,
        };
        for w in work {
            if plan.loads + w.loads > self.cfg.loads_per_plan {
                continue;
            }
            plan.loads += w.loads;
            plan.skew_after -= w.gain / layers;
            layers_next[w.layer] = w.map;
        }
        if plan.loads == 0 {
            return None;
        }
        plan.map.layers = layers_next;
        plan.map = plan.map.with_split_for(estimate, speed);
        Some(plan)
    }

    /// The current placement with its tokens split anew, which costs a switch and no load; none
    /// where that would gain little.
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

    fn layer(
        &self,
        layer: usize,
        before: &LayerMap,
        shares: &[f64],
        speed: &[f64],
        split: Split,
    ) -> Option<LayerPlan> {
        let spare = before.ranks.len() * self.cfg.slots - shares.len();
        let least = skew_lower_bound(shares, before.ranks.len(), spare);
        let skew_before = split.skew();
        let smooth_before = split.smooth_skew();
        if skew_before <= least * self.cfg.act_above {
            return None;
        }
        let mut map = before.clone();
        let mut split = split;
        let mut loads = 0;
        while loads < self.cfg.loads_per_layer && split.skew() > least * self.cfg.stop_below {
            let Some(next) = self.best_change(&map, &split, shares, speed) else { break };
            map = next.map;
            split = next.split;
            loads += next.loads;
        }
        let gain = (skew_before - split.skew()).max(smooth_before - split.smooth_skew());
        let worth = gain * self.cfg.map_lifetime_steps > loads as f64 * self.cfg.load_cost_steps;
        let layers_gain = LayerPlan { layer, map, loads, gain };
        (loads > 0 && worth).then_some(layers_gain)
    }

    /// The change that lowers the skew most for each load: one more replica, or two experts
    /// exchanged where no slot does little enough to be given up.
    fn best_change(
        &self,
        map: &LayerMap,
        split: &Split,
        shares: &[f64],
        speed: &[f64],
    ) -> Option<Change> {
        let before = split.smooth_skew();
        let tried = [(self.one_load(map, split), 1), (exchange(map, split), 2)];
        let mut best: Option<(f64, Change)> = None;
        for (next, loads) in tried {
            let Some(next) = next else { continue };
            let split = Split::of(&next, shares, speed);
            let gain = (before - split.smooth_skew()) / loads as f64;
            if gain > GAIN_MIN && best.as_ref().is_none_or(|(g, _)| gain > *g) {
                best = Some((gain, Change { map: next, split, loads }));
            }
        }
        best.map(|(_, change)| change)
    }

    /// The map after loading one more replica of what burdens the heaviest rank.
    fn one_load(&self, map: &LayerMap, split: &Split) -> Option<LayerMap> {
        let heavy = split.heaviest();
        let mut burden: SmallVec<[(ExpertId, f64); 8]> = SmallVec::new();
        for e in &map.ranks[heavy.0 as usize] {
            burden.push((*e, part(map, split, heavy, *e)));
        }
        burden.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (expert, _) in burden {
            let fits = |r: RankId| !map.holds(r, expert) && self.room(map, split, r).is_some();
            let Some(to) = least_loaded(&split.ranks, fits) else { continue };
            if split.ranks[to.0 as usize] >= split.ranks[heavy.0 as usize] {
                continue;
            }
            let mut next = map.clone();
            if let Some(Room::Instead(out)) = self.room(map, split, to) {
                next.remove(to, out);
            }
            next.add(to, expert);
            return Some(next);
        }
        None
    }

    /// Whether a rank can take one more expert: into a free slot, or instead of the replica that
    /// does least there and is held elsewhere too.
    fn room(&self, map: &LayerMap, split: &Split, rank: RankId) -> Option<Room> {
        let held = &map.ranks[rank.0 as usize];
        if held.len() < self.cfg.slots {
            return Some(Room::Free);
        }
        let spare = held.iter().filter(|e| map.holders[e.0 as usize].len() > 1);
        let load = |e: &ExpertId| part(map, split, rank, *e);
        spare.min_by(|a, b| load(a).total_cmp(&load(b))).map(|e| Room::Instead(*e))
    }
}

/// A changed layer and what it takes.
struct Change {
    map: LayerMap,
    split: Split,
    loads: usize,
}

/// The map after the heaviest rank and a light one have exchanged the experts that bring their
/// loads closest together.
fn exchange(map: &LayerMap, split: &Split) -> Option<LayerMap> {
    let heavy = split.heaviest();
    let n = map.ranks.len() as f64;
    let mut light: Vec<RankId> = (0..map.ranks.len()).map(|r| RankId(r as u16)).collect();
    light.sort_by(|a, b| split.ranks[a.0 as usize].total_cmp(&split.ranks[b.0 as usize]));
    let mut best: Option<(f64, RankId, ExpertId, ExpertId)> = None;
    for &to in light.iter().take(EXCHANGE_RANKS) {
        let gap = split.ranks[heavy.0 as usize] - split.ranks[to.0 as usize];
        for &out in &map.ranks[heavy.0 as usize] {
            for &back in &map.ranks[to.0 as usize] {
                if map.holds(to, out) || map.holds(heavy, back) {
                    continue;
                }
                let moved = (part(map, split, heavy, out) - part(map, split, to, back)) * n;
                // What is left between the two ranks; a move past the gap only swaps their roles.
                let left = (gap - 2.0 * moved).abs();
                if moved > 0.0 && left < gap && best.is_none_or(|(l, ..)| left < l) {
                    best = Some((left, to, out, back));
                }
            }
        }
    }
    let (_, to, out, back) = best?;
    let mut next = map.clone();
    next.remove(heavy, out);
    next.remove(to, back);
    next.add(heavy, back);
    next.add(to, out);
    Some(next)
}

/// Where a rank can take one more expert.
enum Room {
    Free,
    Instead(ExpertId),
}

/// The part of an expert's tokens that a rank gets.
fn part(map: &LayerMap, split: &Split, rank: RankId, expert: ExpertId) -> f64 {
    let holders = &map.holders[expert.0 as usize];
    let place = holders.iter().position(|r| *r == rank);
    place.map_or(0.0, |i| split.parts[expert.0 as usize][i])
}

/// Packs one layer from nothing, the usual way: replicas to the largest parts, then the heaviest
/// part onto the least loaded rank. It is the baseline that pays no heed to what is loaded already.
pub fn repack(shares: &[f64], ranks: usize, slots: usize) -> LayerMap {
    let mut copies = vec![1_usize; shares.len()];
    for _ in 0..ranks * slots - shares.len() {
        let part = |e: usize| shares[e] / copies[e] as f64;
        let open = (0..shares.len()).filter(|e| copies[*e] < ranks);
        let Some(e) = open.max_by(|a, b| part(*a).total_cmp(&part(*b))) else { break };
        copies[e] += 1;
    }
    let mut parts: Vec<(ExpertId, f64)> = Vec::new();
    for e in experts_by_popularity(shares) {
        let n = copies[e.0 as usize];
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
