//! [`MovePlanner`]: the few copies that lower the load of the heaviest rank most.

use super::ExpertId;
use super::LayerMap;
use super::RankId;

/// What a plan may cost and must gain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveSettings {
    /// Experts of a set that a rank can hold.
    pub slots_per_set: usize,
    /// New experts of a set that a rank can take in one plan.
    pub new_per_set: usize,
    /// New experts that a rank may take in one plan, over all sets: it copies one after another.
    pub new_per_rank: usize,
    /// Least gain of a plan, as a share of the summed load of the heaviest ranks.
    pub gain_min: f64,
}

/// A better placement.
#[derive(Clone, Debug, PartialEq)]
pub struct MovePlan {
    /// The placement of each set.
    pub sets: Vec<LayerMap>,
    /// Copies over all ranks and sets.
    pub copies: usize,
    /// Copies of the rank that gets most.
    pub copies_max: usize,
    /// Mean over the sets of the heaviest rank's load, as a multiple of the mean rank's.
    pub skew_before: f64,
    /// The same afterwards.
    pub skew_after: f64,
}

/// Power of the mean that stands in for the maximum, so that a change that relieves one of several
/// equally heavy ranks counts.
const POWER: i32 = 12;
/// Lightest ranks that are tried as targets of a copy.
const TARGETS: usize = 5;
/// Changes that one plan makes at most; a bound on its time only.
const CHANGES_MAX: usize = 512;
/// Gains below this are rounding.
const GAIN_NOISE: f64 = 1e-4;
/// Value of a copy: a change without one is taken for a smaller gain.
const COPY_COST: f64 = 0.002;

/// Plans small changes: popularity shifts before a large plan's copies have arrived.
///
/// The holders of an expert share its work evenly. Each change takes work off the heaviest rank of
/// some set: it adds a holder, moves an expert, or drops a holder that others can stand in for.
#[derive(Clone, Copy, Debug)]
pub struct MovePlanner {
    /// What a plan may cost and must gain.
    pub cfg: MoveSettings,
}

/// A change of one set.
#[derive(Clone, Copy, Debug)]
struct Change {
    set: usize,
    /// Expert that a rank gets.
    add: Option<(RankId, ExpertId)>,
    /// Experts that ranks give up.
    drops: [Option<(RankId, ExpertId)>; 2],
    gain: f64,
}

/// One set while it is planned.
struct Work<'a> {
    before: &'a LayerMap,
    map: LayerMap,
    shares: &'a [f64],
    /// Load of each rank as a multiple of the mean.
    load: Vec<f64>,
}

impl MovePlanner {
    /// A better placement than `current`, if the gain is worth a plan.
    pub fn plan(&self, current: &[LayerMap], shares: &[Vec<f64>]) -> Option<MovePlan> {
        let mut work: Vec<Work<'_>> =
            current.iter().zip(shares).map(|(map, shares)| Work::new(map, shares)).collect();
        let ranks = current.first()?.ranks.len();
        let skew = |work: &[Work<'_>]| {
            work.iter().map(|w| maximum(&w.load)).sum::<f64>() / work.len().max(1) as f64
        };
        let skew_before = skew(&work);
        let mut copied = vec![0; ranks];
        let mut best: Vec<Option<Change>> =
            (0..work.len()).map(|s| self.best_change(&work[s], s, &copied)).collect();
        for _ in 0..CHANGES_MAX {
            let next = best.iter().flatten().max_by(|a, b| a.gain.total_cmp(&b.gain)).copied();
            let Some(change) = next else { break };
            work[change.set].apply(&change);
            let took = change.add.filter(|(r, e)| !work[change.set].before.holds(*r, *e));
            if let Some((rank, _)) = took {
                copied[rank.0 as usize] += 1;
            }
            let full = took.is_some_and(|(r, _)| copied[r.0 as usize] >= self.cfg.new_per_rank);
            for s in 0..work.len() {
                // A rank without budget closes moves in every set.
                if s == change.set || full {
                    best[s] = self.best_change(&work[s], s, &copied);
                }
            }
        }
        let skew_after = skew(&work);
        let worth = skew_before - skew_after >= self.cfg.gain_min * skew_before;
        let copies = work.iter().map(|w| w.map.loads_needed_from(w.before)).sum();
        let sets: Vec<LayerMap> = work.into_iter().map(|w| w.map).collect();
        let copies_max = copied.into_iter().max().unwrap_or(0);
        worth.then_some(MovePlan { sets, copies, copies_max, skew_before, skew_after })
    }

    /// Mean over the sets of the heaviest rank's load, as a multiple of the mean rank's.
    pub fn skew(sets: &[LayerMap], shares: &[Vec<f64>]) -> f64 {
        let load = |(map, shares): (&LayerMap, &Vec<f64>)| maximum(&Work::new(map, shares).load);
        sets.iter().zip(shares).map(load).sum::<f64>() / sets.len().max(1) as f64
    }

    fn best_change(&self, w: &Work<'_>, set: usize, copied: &[usize]) -> Option<Change> {
        let base = smooth(&w.load);
        let heavy = heaviest(&w.load);
        let mut light: Vec<RankId> = (0..w.load.len()).map(|r| RankId(r as u16)).collect();
        light.sort_by(|a, b| w.load[a.0 as usize].total_cmp(&w.load[b.0 as usize]));
        light.truncate(TARGETS);
        let mut best: Option<Change> = None;
        let mut consider = |add: Option<(RankId, ExpertId)>, drops: [Option<_>; 2]| {
            let cost = if add.is_some() { COPY_COST } else { 0.0 };
            let gain = base - smooth(&w.load_after(add, drops)) - cost;
            if gain > GAIN_NOISE && best.is_none_or(|b| gain > b.gain) {
                best = Some(Change { set, add, drops, gain });
            }
        };
        for &expert in &w.map.ranks[heavy.0 as usize] {
            let shared = w.map.holders[expert.0 as usize].len() > 1;
            if shared {
                consider(None, [Some((heavy, expert)), None]);
            }
            for &to in &light {
                if to == heavy || w.map.holds(to, expert) || !self.may_take(w, to, expert, copied) {
                    continue;
                }
                let add = Some((to, expert));
                if w.map.ranks[to.0 as usize].len() < self.cfg.slots_per_set {
                    consider(add, [None, None]);
                    consider(add, [Some((heavy, expert)), None]);
                    continue;
                }
                for &out in &w.map.ranks[to.0 as usize] {
                    if w.map.holders[out.0 as usize].len() > 1 {
                        consider(add, [Some((to, out)), None]);
                        consider(add, [Some((to, out)), Some((heavy, expert))]);
                    }
                }
            }
        }
        best
    }

    /// Whether a rank has the budget for one more new expert.
    fn may_take(&self, w: &Work<'_>, to: RankId, expert: ExpertId, copied: &[usize]) -> bool {
        if w.before.holds(to, expert) {
            return true;
        }
        let new = |e: &&ExpertId| !w.before.holds(to, **e);
        let new_here = w.map.ranks[to.0 as usize].iter().filter(new).count();
        new_here < self.cfg.new_per_set && copied[to.0 as usize] < self.cfg.new_per_rank
    }
}

impl<'a> Work<'a> {
    fn new(before: &'a LayerMap, shares: &'a [f64]) -> Self {
        let mut load = vec![0.0; before.ranks.len()];
        for (e, holders) in before.holders.iter().enumerate() {
            let part = shares[e] * load.len() as f64 / holders.len().max(1) as f64;
            holders.iter().for_each(|r| load[r.0 as usize] += part);
        }
        Self { before, map: before.clone(), shares, load }
    }

    /// Load of the ranks after a change.
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
            self.spread_anew(&mut load, *expert, add, drops);
        }
        load
    }

    fn spread_anew(
        &self,
        load: &mut [f64],
        expert: ExpertId,
        add: Option<(RankId, ExpertId)>,
        drops: [Option<(RankId, ExpertId)>; 2],
    ) {
        let holders = &self.map.holders[expert.0 as usize];
        let work = self.shares[expert.0 as usize] * self.load.len() as f64;
        let dropped = |r: &RankId| drops.contains(&Some((*r, expert)));
        let added = add.filter(|(_, e)| *e == expert).map(|(r, _)| r);
        let kept = holders.iter().filter(|r| !dropped(r)).count() + usize::from(added.is_some());
        let (part, next) = (work / holders.len() as f64, work / kept.max(1) as f64);
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

fn maximum(load: &[f64]) -> f64 {
    load.iter().copied().fold(0.0, f64::max)
}

fn smooth(load: &[f64]) -> f64 {
    let sum: f64 = load.iter().map(|l| l.powi(POWER)).sum();
    (sum / load.len().max(1) as f64).powf(1.0 / f64::from(POWER))
}

fn heaviest(load: &[f64]) -> RankId {
    let mut best = 0;
    for (i, l) in load.iter().enumerate() {
        if *l > load[best] {
            best = i;
        }
    }
    RankId(best as u16)
}
