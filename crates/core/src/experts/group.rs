//! [`RankGroup`]: keeps one group of ranks evenly loaded.

use std::time::Duration;
use std::time::Instant;

use super::Demand;
use super::ExpertId;
use super::Handover;
use super::HandoverPhase;
use super::LayerMap;
use super::MovePlan;
use super::MovePlanner;
use super::MoveSettings;
use super::RankStatus;
use super::SelectionCounts;

/// Sizes of a group and what its plans may cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupSettings {
    /// Sets of layers.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// What a plan may cost and must gain.
    pub moves: MoveSettings,
    /// Least time between two plans.
    pub plan_interval_min: Duration,
}

/// What a rank and its agent say.
#[derive(Clone, Debug, Default)]
pub struct RankReading {
    /// The rank's state.
    pub status: RankStatus,
    /// What its requests chose since the report before, if that is known.
    pub selections: Option<SelectionCounts>,
    /// Experts of the rank under its map, set by set; empty when they are not known.
    pub experts: Vec<Vec<ExpertId>>,
}

/// Counts demand, plans small moves, and switches the ranks to them, one plan after another.
#[derive(Clone, Debug)]
pub struct RankGroup {
    cfg: GroupSettings,
    handover: Handover,
    demand: Option<Demand>,
    /// Experts of each rank, with the map version that they belong to.
    held: Vec<Option<(u64, Vec<Vec<ExpertId>>)>>,
    planned: Option<Instant>,
    /// Map that the last plan started from: after a switch the next plan need not wait.
    planned_from: Option<u64>,
    /// Skew that the plan under way was made for.
    planned_for: f64,
    epoch: u64,
}

/// Growth of the skew, while a map is being prepared, at which it is given up for a new plan: its
/// copies were chosen for a popularity that is gone.
const REPLAN_GROWTH: f64 = 1.4;

impl RankGroup {
    /// A group that the coordinator of `term` keeps.
    pub fn new(cfg: GroupSettings, term: u64) -> Self {
        Self {
            cfg,
            handover: Handover::new(term),
            demand: None,
            held: Vec::new(),
            planned: None,
            planned_from: None,
            planned_for: 0.0,
            epoch: 0,
        }
    }

    /// The switch under way.
    pub fn handover(&mut self) -> &mut Handover {
        &mut self.handover
    }

    /// Takes what a rank says.
    pub fn report(&mut self, now: Instant, reading: RankReading) {
        let RankReading { status, selections, experts } = reading;
        let (rank, size, epoch, map) = (status.rank, status.size, status.epoch, status.map);
        self.handover.report(now, status);
        if rank >= size || epoch < self.epoch {
            return;
        }
        if epoch > self.epoch || self.held.len() != size {
            self.epoch = epoch;
            self.held = vec![None; size];
            self.demand = None;
        }
        if experts.len() == self.cfg.sets {
            self.held[rank] = Some((map, experts));
        }
        if let Some(selections) = selections {
            let (sets, experts) = (self.cfg.sets, self.cfg.experts);
            let demand = self.demand.get_or_insert_with(|| Demand::new(sets, experts, size));
            demand.add(&selections);
        }
    }

    /// Whether popularity has just shifted, so that ranks should be read once a pass.
    pub fn shifting(&self) -> bool {
        self.demand.as_ref().is_some_and(Demand::shifting)
    }

    /// Begins the next plan if one is worth its cost now; answers its version.
    pub fn plan(&mut self, now: Instant) -> Option<(u64, MovePlan)> {
        let preparing = matches!(self.handover.phase(), HandoverPhase::Preparing { .. });
        if !(preparing || self.handover.phase() == HandoverPhase::Steady) {
            return None;
        }
        let map = self.handover.map_in_use(now)?;
        let rested = self
            .planned
            .is_none_or(|at| now.saturating_duration_since(at) >= self.cfg.plan_interval_min);
        if !rested && self.planned_from == Some(map) {
            return None;
        }
        let current = self.placement(map)?;
        let demand = self.demand.as_ref()?;
        let shares: Option<Vec<Vec<f64>>> = (0..self.cfg.sets).map(|s| demand.shares(s)).collect();
        let shares = shares?;
        self.planned = Some(now);
        self.planned_from = Some(map);
        if preparing && MovePlanner::skew(&current, &shares) < REPLAN_GROWTH * self.planned_for {
            return None;
        }
        let plan = MovePlanner { cfg: self.cfg.moves }.plan(&current, &shares)?;
        self.planned_for = plan.skew_before;
        let version = self.handover.start_switch(now, plan.sets.clone());
        Some((version, plan))
    }

    /// The placement under `map`, put together from the ranks' own lists.
    fn placement(&self, map: u64) -> Option<Vec<LayerMap>> {
        if let Some(sets) = self.handover.placement(map) {
            return Some((*sets).clone());
        }
        let mut sets = Vec::new();
        for set in 0..self.cfg.sets {
            let mut layer = LayerMap::empty(self.held.len(), self.cfg.experts);
            for (rank, held) in self.held.iter().enumerate() {
                let (version, experts) = held.as_ref()?;
                if *version != map {
                    return None;
                }
                for expert in &experts[set] {
                    layer.add(super::RankId(rank as u16), *expert);
                }
            }
            if layer.holders.iter().any(|h| h.is_empty()) {
                return None;
            }
            sets.push(layer);
        }
        Some(sets)
    }
}
