//! [`LayerMap`] and [`ExpertMap`]: which rank holds which experts.

use smallvec::SmallVec;

use super::LoadEstimate;
use super::Split;

/// Index of a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LayerId(pub u16);

/// Index of an expert in its layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExpertId(pub u16);

/// Index of a rank in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RankId(pub u16);

/// Ranks that hold an expert, usually one or two.
pub type Holders = SmallVec<[RankId; 4]>;

/// Placement of the experts of one layer on ranks.
///
/// A valid placement puts every expert on at least one rank and no more experts on a rank than it has
/// slots; see [`LayerMap::is_valid`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayerMap {
    /// Experts that each rank holds.
    pub ranks: Vec<SmallVec<[ExpertId; 4]>>,
    /// Ranks that hold each expert.
    pub holders: Vec<Holders>,
}

impl LayerMap {
    /// Creates a placement without experts.
    pub fn empty(ranks: usize, experts: usize) -> Self {
        Self { ranks: vec![SmallVec::new(); ranks], holders: vec![Holders::new(); experts] }
    }

    /// Places the experts on the ranks round-robin; spare slots get replicas of the first experts.
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

    /// Adds an expert to a rank.
    pub fn add(&mut self, rank: RankId, expert: ExpertId) {
        self.ranks[rank.0 as usize].push(expert);
        self.holders[expert.0 as usize].push(rank);
    }

    /// Removes an expert from a rank.
    pub fn remove(&mut self, rank: RankId, expert: ExpertId) {
        self.ranks[rank.0 as usize].retain(|e| *e != expert);
        self.holders[expert.0 as usize].retain(|r| *r != rank);
    }

    /// Whether every expert is on some rank, and no rank holds an expert twice or exceeds its slots.
    pub fn is_valid(&self, slots: usize) -> bool {
        let all_placed = self.holders.iter().all(|h| !h.is_empty());
        let within_slots = self.ranks.iter().all(|r| r.len() <= slots);
        let no_duplicates = self.ranks.iter().all(|r| {
            let mut sorted = r.clone();
            sorted.sort();
            sorted.windows(2).all(|w| w[0] != w[1])
        });
        all_placed && within_slots && no_duplicates
    }

    /// Number of replicas that are not in `before` and must be loaded.
    pub fn loads_needed_from(&self, before: &Self) -> usize {
        let new = |(rank, experts): (usize, &SmallVec<[ExpertId; 4]>)| {
            let rank = RankId(rank as u16);
            experts.iter().filter(|e| !before.holds(rank, **e)).count()
        };
        self.ranks.iter().enumerate().map(new).sum()
    }
}

/// Placement of all layers, with a version.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertMap {
    /// Version of the map; increases with every new map.
    pub version: u64,
    /// Placement of each layer.
    pub layers: Vec<LayerMap>,
    /// Split of the tokens over replicas in each layer; part of the map, since all ranks must route a
    /// token to the same replica.
    pub splits: Vec<Split>,
}

impl ExpertMap {
    /// Returns the same placement with the splits computed for this estimate.
    pub fn with_split_for(mut self, estimate: &LoadEstimate, speed: &[f64]) -> Self {
        let layer =
            |(i, map): (usize, &LayerMap)| Split::of(map, estimate.layer(LayerId(i as u16)), speed);
        self.splits = self.layers.iter().enumerate().map(layer).collect();
        self
    }

    /// Skew under this estimate with the splits of the map, as the mean over the layers.
    pub fn skew(&self, estimate: &LoadEstimate, speed: &[f64]) -> f64 {
        let layer = |(i, map): (usize, &LayerMap)| {
            self.splits[i].skew_under(map, estimate.layer(LayerId(i as u16)), speed)
        };
        let sum: f64 = self.layers.iter().enumerate().map(layer).sum();
        sum / self.layers.len().max(1) as f64
    }
}
