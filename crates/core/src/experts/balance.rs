//! Balance of a placement: how a layer's tokens split over replicas, and the best there could be.

use super::ExpertId;
use super::LayerMap;
use super::RankId;

/// Power of the mean that stands in for the maximum.
const SMOOTH_POWER: i32 = 24;
/// Rounds of moving tokens between the replicas of an expert.
const ROUNDS: usize = 6;

/// How each expert's tokens are split over its replicas, in the order of the map's holders.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Shares of the layer's tokens per expert and holder.
    pub parts: Vec<Vec<f64>>,
    /// Load of each rank, as a multiple of the mean.
    pub ranks: Vec<f64>,
}

impl Split {
    /// Splits a layer's tokens so that the heaviest rank gets little.
    ///
    /// Replicas of one expert need not share its tokens evenly: each round, an expert's tokens are
    /// poured anew over its holders, filling the least loaded ones up to one level.
    pub fn of(map: &LayerMap, shares: &[f64], speed: &[f64]) -> Self {
        let n = map.ranks.len() as f64;
        let mut load = vec![0.0; map.ranks.len()];
        let mut parts: Vec<Vec<f64>> = Vec::with_capacity(shares.len());
        for (e, holders) in map.holders.iter().enumerate() {
            let each = shares[e] / holders.len().max(1) as f64;
            for r in holders {
                load[r.0 as usize] += each;
            }
            parts.push(vec![each; holders.len()]);
        }
        let replicated: Vec<usize> =
            (0..shares.len()).filter(|e| map.holders[*e].len() > 1).collect();
        for _ in 0..ROUNDS {
            for &e in &replicated {
                pour(&map.holders[e], &mut parts[e], &mut load, shares[e], speed);
            }
        }
        let ranks = load.iter().zip(speed).map(|(l, s)| l * n / s).collect();
        Self { parts, ranks }
    }

    /// Skew when the tokens fall as `shares` and are split as here.
    pub fn skew_under(&self, map: &LayerMap, shares: &[f64], speed: &[f64]) -> f64 {
        let mut load = vec![0.0; map.ranks.len()];
        for (e, holders) in map.holders.iter().enumerate() {
            let total: f64 = self.parts[e].iter().sum();
            for (r, part) in holders.iter().zip(&self.parts[e]) {
                let even = 1.0 / holders.len() as f64;
                let share = if total > 0.0 { part / total } else { even };
                load[r.0 as usize] += shares[e] * share;
            }
        }
        let times = load.iter().zip(speed).map(|(l, s)| l / s);
        times.fold(0.0, f64::max) * map.ranks.len() as f64
    }

    /// Load of the heaviest rank over the mean: the time that a step takes over the least it could.
    pub fn skew(&self) -> f64 {
        self.ranks.iter().copied().fold(0.0, f64::max)
    }

    /// A smooth stand-in for [`Split::skew`] that also falls when one of several equally heavy ranks
    /// gets lighter.
    pub fn smooth_skew(&self) -> f64 {
        let sum: f64 = self.ranks.iter().map(|l| l.powi(SMOOTH_POWER)).sum();
        (sum / self.ranks.len().max(1) as f64).powf(1.0 / f64::from(SMOOTH_POWER))
    }

    /// The heaviest rank.
    pub fn heaviest(&self) -> RankId {
        let mut best = 0;
        for (i, l) in self.ranks.iter().enumerate() {
            if *l > self.ranks[best] {
                best = i;
            }
        }
        RankId(best as u16)
    }
}

/// Pours one expert's tokens over its holders so that their loads level out.
fn pour(holders: &[RankId], parts: &mut [f64], load: &mut [f64], total: f64, speed: &[f64]) {
    for (r, part) in holders.iter().zip(parts.iter()) {
        load[r.0 as usize] -= part;
    }
    let mut order: smallvec::SmallVec<[usize; 8]> = (0..holders.len()).collect();
    let height = |i: usize| load[holders[i].0 as usize] / speed[holders[i].0 as usize];
    order.sort_by(|a, b| height(*a).total_cmp(&height(*b)));
    // Find how many of the least loaded ones the tokens reach, and up to what level.
    let mut width = 0.0;
    let mut filled = 0.0;
    let mut level = 0.0;
    let mut used = 0;
    for (k, &i) in order.iter().enumerate() {
        let s = speed[holders[i].0 as usize];
        if k > 0 && (total + filled) / width <= height(i) {
            break;
        }
        width += s;
        filled += load[holders[i].0 as usize];
        level = (total + filled) / width;
        used = k + 1;
    }
    for (k, &i) in order.iter().enumerate() {
        let r = holders[i].0 as usize;
        parts[i] = if k < used { (level * speed[r] - load[r]).max(0.0) } else { 0.0 };
    }
    for (r, part) in holders.iter().zip(parts.iter()) {
        load[r.0 as usize] += part;
    }
}

/// The least skew that any placement with these slots could reach, as a multiple of the mean.
///
/// With `spare` slots beyond one for each expert, the most that can be done for the hottest experts
/// is to split them; whatever the split, no rank can be below the mean, and an expert with `k`
/// replicas puts at least a `k`th of its tokens on some rank.
pub fn skew_lower_bound(shares: &[f64], ranks: usize, spare: usize) -> f64 {
    let mut copies = vec![1_usize; shares.len()];
    let mut heap: std::collections::BinaryHeap<(Ordered, usize)> =
        shares.iter().enumerate().map(|(e, s)| (Ordered(*s), e)).collect();
    for _ in 0..spare {
        let Some((_, e)) = heap.pop() else { break };
        copies[e] += 1;
        heap.push((Ordered(shares[e] / copies[e] as f64), e));
    }
    let largest = heap.peek().map_or(0.0, |(o, _)| o.0);
    (largest * ranks as f64).max(1.0)
}

/// A number that orders totally, for the heap.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct Ordered(pub(super) f64);

impl Eq for Ordered {}

impl PartialOrd for Ordered {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ordered {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The rank with the least load among those that could take an expert.
pub fn least_loaded(loads: &[f64], fits: impl Fn(RankId) -> bool) -> Option<RankId> {
    let candidates = (0..loads.len()).map(|r| RankId(r as u16)).filter(|r| fits(*r));
    candidates.min_by(|a, b| loads[a.0 as usize].total_cmp(&loads[b.0 as usize]))
}

/// The experts of a layer, most popular first.
pub fn experts_by_popularity(shares: &[f64]) -> Vec<ExpertId> {
    let mut order: Vec<ExpertId> = (0..shares.len()).map(|e| ExpertId(e as u16)).collect();
    order.sort_by(|a, b| shares[b.0 as usize].total_cmp(&shares[a.0 as usize]));
    order
}
