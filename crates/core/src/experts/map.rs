//! [`LayerMap`] and [`ExpertMap`]: which rank holds which experts.

use smallvec::SmallVec;

use super::LoadEstimate;
use super::Split;

/// A key for one layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LayerId(pub u16);

/// A key for one expert of a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExpertId(pub u16);

/// A key for one rank of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RankId(pub u16);

/// Ranks that hold an expert, mostly one or two.
pub type Holders = SmallVec<[RankId; 4]>;

/// The placement of one layer: every expert on one rank or more, every rank with its slots full at
/// most.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayerMap {
    /// Experts that each rank holds.
    pub ranks: Vec<SmallVec<[ExpertId; 4]>>,
    /// Ranks that hold each expert.
    pub holders: Vec<Holders>,
}

impl LayerMap {
    /// Ranks that hold nothing yet.
    pub fn empty(ranks: usize, experts: usize) -> Self {
        Self { ranks: vec![SmallVec::new(); ranks], holders: vec![Holders::new(); experts] }
    }

    /// Experts in turn over the ranks, spare slots filled with the first ones again.
    pub fn spread_round_robin(ranks: usize, experts: usize, slots: usize) -> Self {
        let mut map = Self::empty(ranks, experts);
        for i in 0..ranks * slots {
            let expert = ExpertId((i % experts) as u16);
            let rank = RankId((i % ranks) as u16);
            if !map.holds(rank, expert) {
                map.add(rank, expert);
            }
        }
        map
    }

    /// Whether a rank holds an expert.
    pub fn holds(&self, rank: RankId, expert: ExpertId) -> bool {
        self.ranks[rank.0 as usize].contains(&expert)
    }

    /// Puts an expert on a rank.
    pub fn add(&mut self, rank: RankId, expert: ExpertId) {
        self.ranks[rank.0 as usize].push(expert);
        self.holders[expert.0 as usize].push(rank);
    }

    /// Takes an expert off a rank.
    pub fn remove(&mut self, rank: RankId, expert: ExpertId) {
        self.ranks[rank.0 as usize].retain(|e| *e != expert);
        self.holders[expert.0 as usize].retain(|r| *r != rank);
    }

    /// Whether every expert is held somewhere and no rank twice or beyond its slots.
    pub fn is_valid(&self, slots: usize) -> bool {
        let held = self.holders.iter().all(|h| !h.is_empty());
        let full = self.ranks.iter().all(|r| r.len() <= slots);
        let once = self.ranks.iter().all(|r| {
            let mut sorted = r.clone();
            sorted.sort();
            sorted.windows(2).all(|w| w[0] != w[1])
        });
        held && full && once
    }

    /// Replicas here that `before` does not have: what must be loaded.
    pub fn loads_needed_from(&self, before: &Self) -> usize {
        let new = |(rank, experts): (usize, &SmallVec<[ExpertId; 4]>)| {
            let rank = RankId(rank as u16);
            experts.iter().filter(|e| !before.holds(rank, **e)).count()
        };
        self.ranks.iter().enumerate().map(new).sum()
    }
}

/// The placement of all layers under one version.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertMap {
    /// Version; a later map has a higher one.
    pub version: u64,
    /// One placement per layer.
    pub layers: Vec<LayerMap>,
    /// For each layer, how tokens are split over replicas; part of the map, since all ranks must
    /// send a token to the same replica.
    pub splits: Vec<Split>,
}

impl ExpertMap {
    /// The same placement with tokens split for this estimate.
    pub fn with_split_for(mut self, estimate: &LoadEstimate, speed: &[f64]) -> Self {
        let layer =
            |(i, map): (usize, &LayerMap)| Split::of(map, estimate.layer(LayerId(i as u16)), speed);
        self.splits = self.layers.iter().enumerate().map(layer).collect();
        self
    }

    /// Mean over the layers of the skew that this estimate gives with the map's own splits.
    pub fn skew(&self, estimate: &LoadEstimate, speed: &[f64]) -> f64 {
        let layer = |(i, map): (usize, &LayerMap)| {
            self.splits[i].skew_under(map, estimate.layer(LayerId(i as u16)), speed)
        };
        let sum: f64 = self.layers.iter().enumerate().map(layer).sum();
        sum / self.layers.len().max(1) as f64
    }
}
