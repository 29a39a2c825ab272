//! Balance of a placement: the split of the tokens over replicas, and the lower bound of the skew.

use super::ExpertId;
use super::LayerMap;
use super::RankId;

/// Exponent of the power mean that approximates the maximum.
const SMOOTH_POWER: i32 = 24;
/// Number of water-filling rounds over all replicated experts.
const ROUNDS: usize = 6;

/// Split of each expert's tokens over its replicas, in the order of [`LayerMap::holders`].
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Share of the layer's tokens for each expert and holder.
    pub token_shares: Vec<Vec<f64>>,
    /// Load of each rank, as a multiple of the mean.
    pub rank_loads: Vec<f64>,
}

impl Split {
    /// Splits the tokens of a layer so that the load of the most loaded rank is small.
    ///
    /// Replicas of an expert need not get equal shares: in each round, the tokens of every replicated
    /// expert are redistributed over its holders by water-filling.
    pub fn of(map: &LayerMap, shares: &[f64], speed: &[f64]) -> Self {
        let n = map.ranks.len() as f64;
        let mut load = vec![0.0; map.ranks.len()];
        let mut token_shares: Vec<Vec<f64>> = Vec::with_capacity(shares.len());
        for (e, holders) in map.holders.iter().enumerate() {
            let even_share = shares[e] / holders.len().max(1) as f64;
            for r in holders {
                load[r.0 as usize] += even_share;
            }
            token_shares.push(vec![even_share; holders.len()]);
        }
        let replicated: Vec<usize> =
            (0..shares.len()).filter(|e| map.holders[*e].len() > 1).collect();
        for _ in 0..ROUNDS {
            for &e in &replicated {
                water_fill(&map.holders[e], &mut token_shares[e], &mut load, shares[e], speed);
            }
        }
        let rank_loads = load.iter().zip(speed).map(|(l, s)| l * n / s).collect();
        Self { token_shares, rank_loads }
    }

    /// Skew of this split if the tokens are distributed over experts as in `shares`.
    pub fn skew_under(&self, map: &LayerMap, shares: &[f64], speed: &[f64]) -> f64 {
        let mut load = vec![0.0; map.ranks.len()];
        for (e, holders) in map.holders.iter().enumerate() {
            let total: f64 = self.token_shares[e].iter().sum();
            for (r, part) in holders.iter().zip(&self.token_shares[e]) {
                let even = 1.0 / holders.len() as f64;
                let share = if total > 0.0 { part / total } else { even };
                load[r.0 as usize] += shares[e] * share;
            }
        }
        let times = load.iter().zip(speed).map(|(l, s)| l / s);
        times.fold(0.0, f64::max) * map.ranks.len() as f64
    }

    /// Load of the most loaded rank divided by the mean: the time of a step relative to a perfectly
    /// balanced one.
    pub fn skew(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max)
    }

    /// Smooth approximation of [`Split::skew`] that also decreases when one of several equally loaded
    /// ranks loses load.
    pub fn smooth_skew(&self) -> f64 {
        let sum: f64 = self.rank_loads.iter().map(|l| l.powi(SMOOTH_POWER)).sum();
        (sum / self.rank_loads.len().max(1) as f64).powf(1.0 / f64::from(SMOOTH_POWER))
    }

    /// The most loaded rank.
    pub fn heaviest(&self) -> RankId {
        let mut best = 0;
        for (i, l) in self.rank_loads.iter().enumerate() {
            if *l > self.rank_loads[best] {
                best = i;
            }
        }
        RankId(best as u16)
    }
}

/// Redistributes the tokens of one expert over its holders by water-filling: the least loaded
/// holders are raised to a common level.
fn water_fill(
    holders: &[RankId],
    token_shares: &mut [f64],
    load: &mut [f64],
    total: f64,
    speed: &[f64],
) {
    for (r, part) in holders.iter().zip(token_shares.iter()) {
        load[r.0 as usize] -= part;
    }
    let mut order: smallvec::SmallVec<[usize; 8]> = (0..holders.len()).collect();
    let relative_load = |i: usize| load[holders[i].0 as usize] / speed[holders[i].0 as usize];
    order.sort_by(|a, b| relative_load(*a).total_cmp(&relative_load(*b)));
    // Finds the number of holders that get tokens, and the common level.
    let mut total_speed = 0.0;
    let mut total_load = 0.0;
    let mut level = 0.0;
    let mut holders_used = 0;
    for (k, &i) in order.iter().enumerate() {
        let s = speed[holders[i].0 as usize];
        if k > 0 && (total + total_load) / total_speed <= relative_load(i) {
            break;
        }
        total_speed += s;
        total_load += load[holders[i].0 as usize];
        level = (total + total_load) / total_speed;
        holders_used = k + 1;
    }
    for (k, &i) in order.iter().enumerate() {
        let r = holders[i].0 as usize;
        token_shares[i] =
            if k < holders_used { (level * speed[r] - load[r]).max(0.0) } else { 0.0 };
    }
    for (r, part) in holders.iter().zip(token_shares.iter()) {
        load[r.0 as usize] += part;
    }
}

/// Lower bound of the skew of any placement with these slots, as a multiple of the mean.
///
/// The bound uses the `spare` slots beyond one per expert to replicate the hottest experts. For any
/// split, the maximum load is at least the mean, and some rank gets at least `1/k` of the tokens of an
/// expert with `k` replicas.
pub fn skew_lower_bound(shares: &[f64], ranks: usize, spare: usize) -> f64 {
    let mut replicas = vec![1_usize; shares.len()];
    let mut heap: std::collections::BinaryHeap<(TotalF64, usize)> =
        shares.iter().enumerate().map(|(e, s)| (TotalF64(*s), e)).collect();
    for _ in 0..spare {
        let Some((_, e)) = heap.pop() else { break };
        replicas[e] += 1;
        heap.push((TotalF64(shares[e] / replicas[e] as f64), e));
    }
    let max_share = heap.peek().map_or(0.0, |(o, _)| o.0);
    (max_share * ranks as f64).max(1.0)
}

/// A floating-point number with a total order, for use in a heap.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct TotalF64(pub(super) f64);

impl Eq for TotalF64 {}

impl PartialOrd for TotalF64 {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TotalF64 {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The least loaded rank among those for which `fits` returns true.
pub fn least_loaded(loads: &[f64], fits: impl Fn(RankId) -> bool) -> Option<RankId> {
    let candidates = (0..loads.len()).map(|r| RankId(r as u16)).filter(|r| fits(*r));
    candidates.min_by(|a, b| loads[a.0 as usize].total_cmp(&loads[b.0 as usize]))
}

/// The experts of a layer in descending order of popularity.
pub fn experts_by_popularity(shares: &[f64]) -> Vec<ExpertId> {
    let mut order: Vec<ExpertId> = (0..shares.len()).map(|e| ExpertId(e as u16)).collect();
    order.sort_by(|a, b| shares[b.0 as usize].total_cmp(&shares[a.0 as usize]));
    order
}
