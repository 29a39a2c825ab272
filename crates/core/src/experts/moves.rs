//! [`MovePlanner`]: incremental plans that reduce the load of the most loaded rank with few copies.

use super::ExpertId;
use super::LayerMap;
use super::RankId;

/// Cost limits and minimum gain of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveSettings {
    /// Maximum number of experts of a set that a rank holds.
    pub slots_per_set: usize,
    /// Maximum number of new experts per set that a rank copies in one plan.
    pub copies_per_set_max: usize,
    /// Maximum number of new experts that a rank copies in one plan, over all sets; copies of a rank
    /// run one after another.
    pub copies_per_rank_max: usize,
    /// Minimum reduction of the skew by a plan, as a fraction of the skew before.
    pub gain_min: f64,
}

/// A better placement, its cost and its expected effect.
#[derive(Clone, Debug, PartialEq)]
pub struct MovePlan {
    /// Placement of each set.
    pub sets: Vec<LayerMap>,
    /// Number of expert copies over all ranks and sets.
    pub copies: usize,
    /// Number of copies to the rank that gets the most.
    pub copies_max: usize,
    /// Skew before the plan: the load of the most loaded rank divided by the mean, averaged over the
    /// sets.
    pub skew_before: f64,
    /// Skew after the plan.
    pub skew_after: f64,
}

/// Exponent of the power mean that approximates the maximum, so that relieving one of several equally
/// loaded ranks counts as a gain.
const SMOOTH_POWER: i32 = 12;
/// Number of least loaded ranks that are tried as targets of a copy.
const TARGET_RANKS: usize = 5;
/// Maximum number of changes in one plan; limits the planning time only.
const CHANGES_MAX: usize = 512;
/// Gains below this are treated as rounding errors.
const GAIN_EPSILON: f64 = 1e-4;
/// Cost of a copy in units of gain: a change without a copy needs less gain.
const COPY_COST: f64 = 0.002;

/// Plans small incremental changes, since popularity would shift before the copies of a large plan
/// finish.
///
/// The holders of an expert share its load evenly. Each change takes load off the most loaded rank of
/// a set: it adds a replica, moves an expert, or drops a replica that other holders can replace.
#[derive(Clone, Copy, Debug)]
pub struct MovePlanner {
    /// Cost limits and minimum gain of a plan.
    pub cfg: MoveSettings,
}

/// A change to one set.
#[derive(Clone, Copy, Debug)]
struct Change {
    set: usize,
    /// Expert to add to a rank.
    add: Option<(RankId, ExpertId)>,
    /// Experts to drop from ranks.
    drops: [Option<(RankId, ExpertId)>; 2],
    gain: f64,
}

/// State of one set during planning.
struct SetState<'a> {
    before: &'a LayerMap,
    map: LayerMap,
    shares: &'a [f64],
    /// Load of each rank, as a multiple of the mean.
    load: Vec<f64>,
}

impl MovePlanner {
    /// Returns a better placement than `current`, or `None` if the gain is below the minimum.
    pub fn plan(&self, current: &[LayerMap], shares: &[Vec<f64>]) -> Option<MovePlan> {
        let mut states: Vec<SetState<'_>> =
            current.iter().zip(shares).map(|(map, shares)| SetState::new(map, shares)).collect();
        let ranks = current.first()?.ranks.len();
        let skew = |states: &[SetState<'_>]| {
            states.iter().map(|state| max_load(&state.load)).sum::<f64>()
                / states.len().max(1) as f64
        };
        let skew_before = skew(&states);
        let mut copies_per_rank = vec![0; ranks];
        let mut best: Vec<Option<Change>> =
            (0..states.len()).map(|s| self.best_change(&states[s], s, &copies_per_rank)).collect();
        for _ in 0..CHANGES_MAX {
            let next = best.iter().flatten().max_by(|a, b| a.gain.total_cmp(&b.gain)).copied();
            let Some(change) = next else { break };
            states[change.set].apply(&change);
            let copy = change.add.filter(|(r, e)| !states[change.set].before.holds(*r, *e));
            if let Some((rank, _)) = copy {
                copies_per_rank[rank.0 as usize] += 1;
            }
            let exhausted = copy.is_some_and(|(r, _)| {
                copies_per_rank[r.0 as usize] >= self.cfg.copies_per_rank_max
            });
            for s in 0..states.len() {
                // A rank without copy budget rules out moves in every set.
                if s == change.set || exhausted {
                    best[s] = self.best_change(&states[s], s, &copies_per_rank);
                }
            }
        }
        let skew_after = skew(&states);
        let worthwhile = skew_before - skew_after >= self.cfg.gain_min * skew_before;
        let copies = states.iter().map(|state| state.map.loads_needed_from(state.before)).sum();
        let sets: Vec<LayerMap> = states.into_iter().map(|state| state.map).collect();
        let copies_max = copies_per_rank.into_iter().max().unwrap_or(0);
        worthwhile.then_some(MovePlan { sets, copies, copies_max, skew_before, skew_after })
    }

    /// Load of the most loaded rank divided by the mean, averaged over the sets.
    pub fn skew(sets: &[LayerMap], shares: &[Vec<f64>]) -> f64 {
        let load =
            |(map, shares): (&LayerMap, &Vec<f64>)| max_load(&SetState::new(map, shares).load);
        sets.iter().zip(shares).map(load).sum::<f64>() / sets.len().max(1) as f64
    }

    fn best_change(
        &self,
        state: &SetState<'_>,
        set: usize,
        copies_per_rank: &[usize],
    ) -> Option<Change> {
        let base = smooth_max_load(&state.load);
        let heaviest = most_loaded_rank(&state.load);
        let mut light: Vec<RankId> = (0..state.load.len()).map(|r| RankId(r as u16)).collect();
        light.sort_by(|a, b| state.load[a.0 as usize].total_cmp(&state.load[b.0 as usize]));
        light.truncate(TARGET_RANKS);
        let mut best: Option<Change> = None;
        let mut consider = |add: Option<(RankId, ExpertId)>, drops: [Option<_>; 2]| {
            let cost = if add.is_some() { COPY_COST } else { 0.0 };
            let gain = base - smooth_max_load(&state.load_after(add, drops)) - cost;
            if gain > GAIN_EPSILON && best.is_none_or(|b| gain > b.gain) {
                best = Some(Change { set, add, drops, gain });
            }
        };
        for &expert in &state.map.ranks[heaviest.0 as usize] {
            let shared = state.map.holders[expert.0 as usize].len() > 1;
            if shared {
                consider(None, [Some((heaviest, expert)), None]);
            }
            for &to in &light {
                if to == heaviest
                    || state.map.holds(to, expert)
                    || !self.has_copy_budget(state, to, expert, copies_per_rank)
                {
                    continue;
                }
                let add = Some((to, expert));
                if state.map.ranks[to.0 as usize].len() < self.cfg.slots_per_set {
                    consider(add, [None, None]);
                    consider(add, [Some((heaviest, expert)), None]);
                    continue;
                }
                for &out in &state.map.ranks[to.0 as usize] {
                    if state.map.holders[out.0 as usize].len() > 1 {
                        consider(add, [Some((to, out)), None]);
                        consider(add, [Some((to, out)), Some((heaviest, expert))]);
                    }
                }
            }
        }
        best
    }

    /// Whether the copy budget of a rank admits an expert; experts that the rank held before the plan
    /// are free.
    fn has_copy_budget(
        &self,
        state: &SetState<'_>,
        to: RankId,
        expert: ExpertId,
        copies_per_rank: &[usize],
    ) -> bool {
        if state.before.holds(to, expert) {
            return true;
        }
        let new = |e: &&ExpertId| !state.before.holds(to, **e);
        let new_in_set = state.map.ranks[to.0 as usize].iter().filter(new).count();
        new_in_set < self.cfg.copies_per_set_max
            && copies_per_rank[to.0 as usize] < self.cfg.copies_per_rank_max
    }
}

impl<'a> SetState<'a> {
    fn new(before: &'a LayerMap, shares: &'a [f64]) -> Self {
        let mut load = vec![0.0; before.ranks.len()];
        for (e, holders) in before.holders.iter().enumerate() {
            let part = shares[e] * load.len() as f64 / holders.len().max(1) as f64;
            holders.iter().for_each(|r| load[r.0 as usize] += part);
        }
        Self { before, map: before.clone(), shares, load }
    }

    /// Load of each rank after a change.
    fn load_after(
        &self,
        add: Option<(RankId, ExpertId)>,
        drops: [Option<(RankId, ExpertId)>; 2],
    ) -> Vec<f64> {
        let mut load = self.load.clone();
        let mut seen: [Option<ExpertId>; 3] = [None; 3];
        let touched = drops.iter().flatten().chain(&add);
        for (i, (_, expert)) in touched.enumerate() {
            if seen.contains(&Some(*expert)) {
                continue;
            }
            seen[i] = Some(*expert);
            self.redistribute(&mut load, *expert, add, drops);
        }
        load
    }

    fn redistribute(
        &self,
        load: &mut [f64],
        expert: ExpertId,
        add: Option<(RankId, ExpertId)>,
        drops: [Option<(RankId, ExpertId)>; 2],
    ) {
        let holders = &self.map.holders[expert.0 as usize];
        let total = self.shares[expert.0 as usize] * self.load.len() as f64;
        let dropped = |r: &RankId| drops.contains(&Some((*r, expert)));
        let added = add.filter(|(_, e)| *e == expert).map(|(r, _)| r);
        let kept = holders.iter().filter(|r| !dropped(r)).count() + usize::from(added.is_some());
        let (part, next) = (total / holders.len() as f64, total / kept.max(1) as f64);
        for r in holders {
            load[r.0 as usize] += if dropped(r) { 0.0 } else { next } - part;
        }
        if let Some(r) = added {
            load[r.0 as usize] += next;
        }
    }

    fn apply(&mut self, change: &Change) {
        self.load = self.load_after(change.add, change.drops);
        for (rank, expert) in change.drops.iter().flatten() {
            self.map.remove(*rank, *expert);
        }
        if let Some((rank, expert)) = change.add {
            self.map.add(rank, expert);
        }
    }
}

fn max_load(load: &[f64]) -> f64 {
    load.iter().copied().fold(0.0, f64::max)
}

fn smooth_max_load(load: &[f64]) -> f64 {
    let sum: f64 = load.iter().map(|l| l.powi(SMOOTH_POWER)).sum();
    (sum / load.len().max(1) as f64).powf(1.0 / f64::from(SMOOTH_POWER))
}

fn most_loaded_rank(load: &[f64]) -> RankId {
    let mut best = 0;
    for (i, l) in load.iter().enumerate() {
        if *l > load[best] {
            best = i;
        }
    }
    RankId(best as u16)
}
