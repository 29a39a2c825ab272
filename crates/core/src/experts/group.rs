//! [`RankGroup`]: load balancing of the experts in one group of ranks.

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
use super::VersionBlock;

/// Dimensions of a group and limits of its plans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupSettings {
    /// Number of sets of layers; the layers of a set share one placement.
    pub sets: usize,
    /// Number of experts in a set.
    pub experts: usize,
    /// Cost limits and minimum gain of a plan.
    pub moves: MoveSettings,
    /// Minimum time between two plans.
    pub plan_interval_min: Duration,
}

/// Report of an agent about its rank.
#[derive(Clone, Debug, Default)]
pub struct RankReading {
    /// Status of the rank.
    pub status: RankStatus,
    /// Selections of each expert on this rank since the previous report, if known.
    pub selections: Option<SelectionCounts>,
    /// Experts that the rank holds in its current map, per set; empty if unknown.
    pub experts: Vec<Vec<ExpertId>>,
}

/// Tracks the demand for experts, plans incremental moves and switches the ranks to them, one plan
/// at a time.
#[derive(Clone, Debug)]
pub struct RankGroup {
    cfg: GroupSettings,
    handover: Handover,
    demand: Option<Demand>,
    /// Map version and experts per set that each rank reported last.
    rank_experts: Vec<Option<(u64, Vec<Vec<ExpertId>>)>>,
    last_planned_at: Option<Instant>,
    /// Map that the last plan was based on; after a switch the next plan need not wait for the
    /// interval.
    last_planned_map: Option<u64>,
    /// Skew at the time of the plan in progress.
    planned_skew: f64,
    epoch: u64,
}

/// Growth of the skew while a map is being prepared at which the map is dropped for a new plan, since
/// its copies no longer match the popularity of the experts.
const REPLAN_SKEW_GROWTH: f64 = 1.4;

/// Largest number of ranks in a group; groups of 256 are planned for.
const RANKS_MAX: usize = 4096;

impl GroupSettings {
    /// Whether a report can be that of a rank of this group.
    pub fn admits(&self, reading: &RankReading) -> bool {
        let status = &reading.status;
        let in_set = |experts: &Vec<ExpertId>| {
            experts.len() <= self.experts && experts.iter().all(|e| usize::from(e.0) < self.experts)
        };
        let known_sets = reading.experts.is_empty() || reading.experts.len() == self.sets;
        (1..=RANKS_MAX).contains(&status.size)
            && status.rank < status.size
            && known_sets
            && reading.experts.iter().all(in_set)
    }
}

impl RankGroup {
    /// Creates the group for the coordinator that owns `block`.
    pub fn new(cfg: GroupSettings, block: VersionBlock) -> Self {
        Self {
            cfg,
            handover: Handover::new(block),
            demand: None,
            rank_experts: Vec::new(),
            last_planned_at: None,
            last_planned_map: None,
            planned_skew: 0.0,
            epoch: 0,
        }
    }

    /// The handover that switches the maps of the group.
    pub fn handover(&mut self) -> &mut Handover {
        &mut self.handover
    }

    /// Processes the report of a rank, unless [`GroupSettings::admits`] refuses it; returns whether it
    /// was admitted.
    pub fn report(&mut self, now: Instant, reading: RankReading) -> bool {
        if !self.cfg.admits(&reading) {
            return false;
        }
        let RankReading { status, selections, experts } = reading;
        let (rank, size, epoch, map) = (status.rank, status.size, status.epoch, status.map);
        self.handover.report(now, status);
        if epoch < self.epoch {
            return true;
        }
        if epoch > self.epoch || self.rank_experts.len() != size {
            self.epoch = epoch;
            self.rank_experts = vec![None; size];
            self.demand = None;
        }
        if experts.len() == self.cfg.sets {
            self.rank_experts[rank] = Some((map, experts));
        }
        if let Some(selections) = selections {
            let (sets, experts) = (self.cfg.sets, self.cfg.experts);
            let demand = self.demand.get_or_insert_with(|| Demand::new(sets, experts, size));
            demand.add(&selections);
        }
        true
    }

    /// Whether the experts of a rank that uses map `map` are known. Without those of all ranks nothing
    /// is planned.
    pub fn knows_experts(&self, rank: usize, map: u64) -> bool {
        let reported = self.rank_experts.get(rank).and_then(Option::as_ref);
        reported.is_some_and(|(version, _)| *version == map)
            || self.handover.placement(map).is_some()
    }

    /// Whether the popularity of experts is shifting; ranks should then report once per pass.
    pub fn shifting(&self) -> bool {
        self.demand.as_ref().is_some_and(Demand::shifting)
    }

    /// Starts the next plan if its gain is worth its cost, and returns its version.
    pub fn plan(&mut self, now: Instant) -> Option<(u64, MovePlan)> {
        let preparing = matches!(self.handover.phase(), HandoverPhase::Preparing { .. });
        if !(preparing || self.handover.phase() == HandoverPhase::Steady) {
            return None;
        }
        let map = self.handover.map_in_use(now)?;
        let interval_elapsed = self
            .last_planned_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.cfg.plan_interval_min);
        if !interval_elapsed && self.last_planned_map == Some(map) {
            return None;
        }
        let current = self.placement(map)?;
        let demand = self.demand.as_ref()?;
        let shares: Option<Vec<Vec<f64>>> = (0..self.cfg.sets).map(|s| demand.shares(s)).collect();
        let shares = shares?;
        self.last_planned_at = Some(now);
        self.last_planned_map = Some(map);
        if preparing
            && MovePlanner::skew(&current, &shares) < REPLAN_SKEW_GROWTH * self.planned_skew
        {
            return None;
        }
        let plan = MovePlanner { cfg: self.cfg.moves }.plan(&current, &shares)?;
        self.planned_skew = plan.skew_before;
        let version = self.handover.start_switch(now, plan.sets.clone())?;
        Some((version, plan))
    }

    /// The placement of map `map`; assembled from the ranks' reports if this coordinator did not make
    /// it.
    fn placement(&self, map: u64) -> Option<Vec<LayerMap>> {
        if let Some(sets) = self.handover.placement(map) {
            return Some((*sets).clone());
        }
        let mut sets = Vec::new();
        for set in 0..self.cfg.sets {
            let mut layer = LayerMap::empty(self.rank_experts.len(), self.cfg.experts);
            for (rank, rank_experts) in self.rank_experts.iter().enumerate() {
                let (version, experts) = rank_experts.as_ref()?;
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
