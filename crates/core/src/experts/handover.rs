//! [`Handover`]: switches all ranks of a group to a new map at the same forward pass, over an
//! unreliable channel that may drop or delay orders.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::LayerMap;

/// The state that a rank reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RankStatus {
    /// Index of the rank in the group.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
    /// Epoch of the group; a new epoch starts with map 0 and no map prepared, armed or pass held.
    pub epoch: u64,
    /// Whether the group is running.
    pub open: bool,
    /// Last pass that was started.
    pub step: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version of the map whose experts are all copied, if any.
    pub prepared: Option<u64>,
    /// Version and first pass of the next map, if a switch to it is armed.
    pub armed: Option<(u64, u64)>,
    /// Pass that the rank prevents from starting, if any.
    pub held: Option<u64>,
}

/// An order to the engine of one rank.
#[derive(Clone, Debug, PartialEq)]
pub enum RankOrder {
    /// Copy the experts that the map adds to the rank.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Placement of each set of layers.
        sets: Arc<Vec<LayerMap>>,
    },
    /// Switch to a prepared map when a given pass starts.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Prevent the group from starting a pass.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Release a held pass.
    Go {
        /// The pass.
        step: u64,
    },
}

/// Phase of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverPhase {
    /// Waiting for a report of every rank in one epoch.
    Gathering,
    /// All ranks use the same map; no switch is in progress.
    Steady,
    /// Waiting until every rank has prepared the next map.
    Preparing {
        /// Version of the map.
        version: u64,
    },
    /// Waiting until the holding rank confirms that it holds a pass that has not started.
    Holding {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Waiting until every rank is armed for the held pass; from here on the switch can only be
    /// completed.
    Arming {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Releasing the held pass and waiting until every rank uses the map.
    Going {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
}

/// Maximum distance of the held pass from the last started one, in passes. A longer lead would only
/// keep the old map in force for longer.
const LEAD_PASSES_MAX: u64 = 4;
/// Distance while orders get lost, which leaves time to resend them before the pass would start.
const LEAD_PASSES_LOSSY: u64 = 4;
/// Part of a pass for which the group may wait for a switch. One more pass with the old map, which
/// takes longer after a popularity shift, would cost about as much.
const STALL_PASSES_MAX: f64 = 0.3;
/// Weight of the newest measurement in the means of pass time and switch time.
const MEAN_WEIGHT: f64 = 0.4;
/// Gaps between two reported passes beyond this are idle time or a stall, not pass time.
const PASS_TIME_MAX: Duration = Duration::from_millis(600);
/// How long the channel is treated as lossy after an order without an answer.
const LOSSY_PERIOD: Duration = Duration::from_secs(6);
/// Time before an order is resent if the reports do not show its effect.
const RESEND_INTERVAL: Duration = Duration::from_millis(60);
/// Time before a prepare order is resent if the engine has not started copying. The order is large,
/// and an engine answers it at once.
const RESEND_INTERVAL_PREPARE: Duration = Duration::from_millis(300);
/// Maximum age of the reports that a plan may be based on.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1000);
/// Report age after which the orders of a rank are relayed by another agent.
const RELAY_AFTER: Duration = Duration::from_millis(500);
/// The same while a pass may be held.
const RELAY_AFTER_HELD: Duration = Duration::from_millis(150);
/// Divisor of the number of ranks; the quotient may be without a working agent.
const SILENT_RANKS_DIVISOR: usize = 4;
/// Report age after which the agent of a rank may be reporting elsewhere.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// Maximum time to prepare a map before the switch is abandoned.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of map versions in a block.
const VERSIONS_PER_BLOCK: u64 = 1 << 16;
/// Number of blocks in a term. Versions stay below 2^53, so that JSON numbers hold them exactly.
pub const BLOCKS_PER_TERM: u64 = 1 << 20;

/// A block of map versions, which belongs to one coordinator of one group.
///
/// Versions order by term, then by block. No two coordinators get the same block, so they never
/// assign the same version to different maps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionBlock {
    /// Term of the leader that assigned the block.
    pub term: u64,
    /// Number of the block in its term, below [`BLOCKS_PER_TERM`].
    pub number: u64,
}

impl VersionBlock {
    fn first(self) -> u64 {
        (self.term * BLOCKS_PER_TERM + self.number) * VERSIONS_PER_BLOCK
    }

    fn end(self) -> u64 {
        self.first() + VERSIONS_PER_BLOCK
    }
}

#[derive(Clone, Debug)]
struct TrackedRank {
    status: RankStatus,
    reported_at: Instant,
    sent: Option<(Instant, RankOrder)>,
    /// Version of the map that the engine has started to copy, if any.
    preparing: Option<u64>,
}

impl TrackedRank {
    /// Time since the agent's last report.
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.reported_at)
    }
}

/// Drives the map switches of one group.
///
/// One rank holds a pass before any rank is armed, and is released only after all ranks are armed, so
/// all ranks start the pass with the same map even if orders are lost or late: engines refuse an
/// order for a pass that has started, and a late hold is released once a report shows it. As soon as
/// any rank may be armed, the switch must be completed; a successor does this from the held pass in
/// the ranks' reports.
///
/// The pass is held as many passes ahead as a round of orders has lately taken, so that the group
/// seldom has to wait for it.
#[derive(Clone, Debug)]
pub struct Handover {
    block: VersionBlock,
    versions_assigned: u64,
    epoch: u64,
    phase: HandoverPhase,
    phase_since: Option<Instant>,
    ranks: Vec<Option<TrackedRank>>,
    next: Option<(u64, Arc<Vec<LayerMap>>)>,
    current: Option<(u64, Arc<Vec<LayerMap>>)>,
    holder: usize,
    last_loss_at: Option<Instant>,
    /// Newest pass that any rank has started, and when that was first reported.
    last_pass: Option<(u64, Instant)>,
    /// Mean time of a pass.
    pass_time: Option<Duration>,
    /// Mean time from the choice of the held pass until all ranks are armed.
    switch_time: Option<Duration>,
    switch_since: Option<Instant>,
}

impl Handover {
    /// Creates the handover of the coordinator that owns `block`.
    pub fn new(block: VersionBlock) -> Self {
        Self {
            block,
            versions_assigned: 0,
            epoch: 0,
            phase: HandoverPhase::Gathering,
            phase_since: None,
            ranks: Vec::new(),
            next: None,
            current: None,
            holder: 0,
            last_loss_at: None,
            last_pass: None,
            pass_time: None,
            switch_time: None,
            switch_since: None,
        }
    }

    /// Current phase.
    pub fn phase(&self) -> HandoverPhase {
        self.phase
    }

    /// Newest epoch of the group that was reported.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of ranks in the group; 0 before the first report.
    pub fn size(&self) -> usize {
        self.ranks.len()
    }

    /// Version of the map that all ranks use; `None` if a report is missing, too many are stale, the
    /// group is not running, or the reported maps differ.
    ///
    /// All ranks execute each pass together, and a rank that restarts breaks the group, so the newest
    /// reports also speak for a rank whose agent is silent.
    pub fn map_in_use(&self, now: Instant) -> Option<u64> {
        let first = self.ranks.first()?.as_ref()?.status.map;
        let same = |s: &Option<TrackedRank>| {
            s.as_ref().is_some_and(|s| s.status.open && s.status.map == first)
        };
        let stale = self.ranks.iter().flatten().filter(|s| s.age(now) >= REPORT_AGE_MAX).count();
        (self.ranks.iter().all(same) && stale <= self.silent_ranks_max()).then_some(first)
    }

    /// Number of ranks without a working agent with which the maps are still switched. Their orders
    /// go through other agents, at a higher price.
    fn silent_ranks_max(&self) -> usize {
        self.ranks.len() / SILENT_RANKS_DIVISOR
    }

    /// The placement of map `version`, if this coordinator completed the switch to it.
    pub fn placement(&self, version: u64) -> Option<Arc<Vec<LayerMap>>> {
        self.current.as_ref().filter(|(v, _)| *v == version).map(|(_, sets)| sets.clone())
    }

    /// Whether this coordinator should give the group up: its versions are exhausted, or a rank has
    /// seen a version of a later block, next to which it would refuse those of this one.
    pub fn is_superseded(&self) -> bool {
        let end = self.block.end();
        self.versions_assigned + 1 >= VERSIONS_PER_BLOCK
            || self.statuses().any(|s| s.map >= end || s.prepared.is_some_and(|v| v >= end))
    }

    /// Starts a switch to a placement and returns the version of the new map; `None` if the versions
    /// of the block are exhausted.
    pub fn start_switch(&mut self, now: Instant, sets: Vec<LayerMap>) -> Option<u64> {
        if self.versions_assigned + 1 >= VERSIONS_PER_BLOCK {
            return None;
        }
        self.versions_assigned += 1;
        let version = self.block.first() + self.versions_assigned;
        self.next = Some((version, Arc::new(sets)));
        self.enter_phase(now, HandoverPhase::Preparing { version });
        Some(version)
    }

    /// Processes the reported status of a rank.
    pub fn report(&mut self, now: Instant, status: RankStatus) {
        if status.size == 0 || status.rank >= status.size || status.epoch < self.epoch {
            return;
        }
        if status.epoch > self.epoch || status.size != self.ranks.len() {
            self.epoch = status.epoch;
            self.ranks = vec![None; status.size];
            self.next = None;
            self.current = None;
            self.last_pass = None;
            self.enter_phase(now, HandoverPhase::Gathering);
        }
        self.record_pass(now, status.step);
        self.phase_since.get_or_insert(now);
        let rank = status.rank;
        match &mut self.ranks[rank] {
            Some(tracked) => {
                tracked.status = status;
                tracked.reported_at = now;
            }
            empty => {
                *empty = Some(TrackedRank { status, reported_at: now, sent: None, preparing: None })
            }
        }
        self.advance(now);
    }

    /// Updates the mean pass time from the newest pass that a rank has started.
    fn record_pass(&mut self, now: Instant, step: u64) {
        if let Some((last, at)) = self.last_pass {
            if step <= last {
                return;
            }
            let per_pass = now.saturating_duration_since(at) / (step - last) as u32;
            // A pass that was held for a switch took longer than usual.
            if per_pass < PASS_TIME_MAX && !self.may_hold_pass() {
                self.pass_time = Some(mean(self.pass_time, per_pass));
            }
        }
        self.last_pass = Some((step, now));
    }

    /// Updates the mean switch time, except while orders get lost, which says nothing about the time
    /// of later rounds.
    fn record_switch(&mut self, now: Instant) {
        if let Some(since) = self.switch_since.take()
            && !self.is_lossy(now)
        {
            let took = now.saturating_duration_since(since);
            self.switch_time = Some(mean(self.switch_time, took));
        }
    }

    fn is_lossy(&self, now: Instant) -> bool {
        self.last_loss_at.is_some_and(|at| now.saturating_duration_since(at) < LOSSY_PERIOD)
    }

    /// Passes between the last started one and the one to hold.
    fn lead_passes(&self, now: Instant) -> u64 {
        if self.is_lossy(now) {
            return LEAD_PASSES_LOSSY;
        }
        let (Some(pass), Some(switch)) = (self.pass_time, self.switch_time) else { return 1 };
        let passes = switch.as_secs_f64() / pass.as_secs_f64().max(1e-3);
        ((passes - STALL_PASSES_MAX).ceil() as u64).clamp(1, LEAD_PASSES_MAX)
    }

    /// Processes the outcome of an order that was sent to `rank`.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        rank: usize,
        order: &RankOrder,
        outcome: OrderOutcome,
    ) {
        let Some(Some(tracked)) = self.ranks.get_mut(rank) else { return };
        if outcome == OrderOutcome::NoAnswer {
            self.last_loss_at = Some(now);
            // The answer has timed out already, and orders are idempotent: resend without delay.
            tracked.sent = None;
            return;
        }
        if let (
            RankOrder::Prepare { version, .. },
            OrderOutcome::Started | OrderOutcome::InEffect,
        ) = (order, outcome)
        {
            tracked.preparing = Some(*version);
        }
        if outcome != OrderOutcome::InEffect {
            return;
        }
        match order {
            RankOrder::Prepare { version, .. } => tracked.status.prepared = Some(*version),
            RankOrder::Arm { version, step } => tracked.status.armed = Some((*version, *step)),
            RankOrder::Hold { step } => tracked.status.held = Some(*step),
            RankOrder::Go { .. } => tracked.status.held = None,
        }
        self.advance(now);
    }

    /// Whether a pass may be held, in which case any delay stalls the group.
    pub fn may_hold_pass(&self) -> bool {
        !matches!(
            self.phase,
            HandoverPhase::Gathering | HandoverPhase::Steady | HandoverPhase::Preparing { .. }
        )
    }

    /// Whether more ranks than may be silent have not been heard of for [`LOST_AFTER`], or some have
    /// never been. Their agents may report to another coordinator, so this one should give the group
    /// up, unless it has to complete a switch.
    pub fn has_lost_ranks(&self, now: Instant) -> bool {
        let lost = |at: Instant| now.saturating_duration_since(at) > LOST_AFTER;
        let gathering = self.phase == HandoverPhase::Gathering;
        let silent = self.ranks.iter().flatten().filter(|r| lost(r.reported_at)).count();
        !self.may_hold_pass()
            && (silent > self.silent_ranks_max()
                || (gathering && self.phase_since.is_some_and(lost)))
    }

    /// The orders that the agent of `rank` should deliver now, each with its target: the agent's own
    /// rank, or a rank whose agent has stopped reporting.
    pub fn orders(&mut self, now: Instant, rank: usize) -> Vec<(usize, RankOrder)> {
        let mut orders = Vec::new();
        let relay_after = if self.may_hold_pass() { RELAY_AFTER_HELD } else { RELAY_AFTER };
        for target in 0..self.ranks.len() {
            let stale = self.ranks[target]
                .as_ref()
                .is_some_and(|s| now.saturating_duration_since(s.reported_at) > relay_after);
            if (target == rank || stale)
                && let Some(order) = self.next_order(now, target)
            {
                orders.push((target, order));
            }
        }
        orders
    }

    fn next_order(&mut self, now: Instant, rank: usize) -> Option<RankOrder> {
        let order = self.order_for_phase(rank)?;
        if !self.resend_due(now, rank, &order) {
            return None;
        }
        let tracked = self.ranks[rank].as_mut()?;
        tracked.sent = Some((now, order.clone()));
        Some(order)
    }

    /// Whether an order was not sent yet or its resend interval has passed.
    fn resend_due(&self, now: Instant, rank: usize, order: &RankOrder) -> bool {
        let Some(Some(tracked)) = self.ranks.get(rank) else { return false };
        let interval = match order {
            // Of a rank whose agent is silent, only the answer to an order tells that the copies are
            // complete.
            RankOrder::Prepare { version, .. }
                if tracked.preparing == Some(*version) && tracked.age(now) <= RELAY_AFTER =>
            {
                PREPARE_TIMEOUT
            }
            RankOrder::Prepare { .. } => RESEND_INTERVAL_PREPARE,
            _ => RESEND_INTERVAL,
        };
        !tracked.sent.as_ref().is_some_and(|(at, sent)| {
            sent == order && now.saturating_duration_since(*at) < interval
        })
    }

    /// The order that brings a rank to the state of the current phase, regardless of earlier sends.
    fn order_for_phase(&self, rank: usize) -> Option<RankOrder> {
        let status = &self.ranks.get(rank)?.as_ref()?.status;
        match self.phase {
            HandoverPhase::Gathering => None,
            // Releases a hold that was delayed or left behind by an earlier coordinator.
            HandoverPhase::Steady => status.held.map(|step| RankOrder::Go { step }),
            HandoverPhase::Preparing { version } => {
                if let Some(step) = status.held {
                    return Some(RankOrder::Go { step });
                }
                let (_, sets) = self.next.as_ref().filter(|(v, _)| *v == version)?;
                let sets = sets.clone();
                (status.prepared != Some(version)).then_some(RankOrder::Prepare { version, sets })
            }
            HandoverPhase::Holding { step, .. } => match status.held {
                Some(other) if other != step => Some(RankOrder::Go { step: other }),
                None if rank == self.holder => Some(RankOrder::Hold { step }),
                _ => None,
            },
            HandoverPhase::Arming { version, step } => (status.armed != Some((version, step))
                && status.map != version)
                .then_some(RankOrder::Arm { version, step }),
            HandoverPhase::Going { .. } => status.held.map(|step| RankOrder::Go { step }),
        }
    }

    fn enter_phase(&mut self, now: Instant, phase: HandoverPhase) {
        self.phase = phase;
        self.phase_since = Some(now);
    }

    fn statuses(&self) -> impl Iterator<Item = &RankStatus> {
        self.ranks.iter().flatten().map(|s| &s.status)
    }

    fn advance(&mut self, now: Instant) {
        if self.ranks.iter().any(Option::is_none) {
            return;
        }
        match self.phase {
            HandoverPhase::Gathering => self.resume_switch(now),
            HandoverPhase::Steady => {}
            HandoverPhase::Preparing { version } => {
                let ready =
                    self.statuses().all(|v| v.prepared == Some(version) && v.held.is_none());
                if ready {
                    self.hold_next_pass(now, version);
                } else if self
                    .phase_since
                    .is_some_and(|at| now.saturating_duration_since(at) > PREPARE_TIMEOUT)
                {
                    self.enter_phase(now, HandoverPhase::Gathering);
                }
            }
            HandoverPhase::Holding { version, step } => {
                let Some(holder) = self.ranks[self.holder].as_ref() else { return };
                if holder.status.held == Some(step) {
                    self.enter_phase(now, HandoverPhase::Arming { version, step });
                } else if holder.status.step >= step {
                    self.hold_next_pass(now, version);
                }
            }
            HandoverPhase::Arming { version, step } => {
                if self.statuses().all(|v| v.armed == Some((version, step)) || v.map == version) {
                    self.record_switch(now);
                    self.enter_phase(now, HandoverPhase::Going { version, step });
                }
            }
            HandoverPhase::Going { version, step } => {
                self.infer_silent_ranks(now, version, step);
                if self.statuses().all(|v| v.map == version && v.held.is_none()) {
                    self.current = self.next.take().filter(|(v, _)| *v == version);
                    self.enter_phase(now, HandoverPhase::Steady);
                }
            }
        }
    }

    /// Concludes that ranks whose agents are silent use a map for which they were armed, once all
    /// others do: the pass has started, and all ranks execute it together.
    fn infer_silent_ranks(&mut self, now: Instant, version: u64, step: u64) {
        let switched = |r: &TrackedRank| r.status.map == version;
        let silent = |r: &TrackedRank| r.age(now) > RELAY_AFTER;
        if !self.ranks.iter().flatten().all(|r| switched(r) || silent(r))
            || !self.ranks.iter().flatten().any(|r| switched(r) && !silent(r))
        {
            return;
        }
        for r in self.ranks.iter_mut().flatten() {
            if r.status.map != version && r.status.armed == Some((version, step)) {
                r.status.map = version;
                r.status.armed = None;
                r.status.prepared = None;
            }
        }
    }

    /// Enters the holding phase for a pass that has not started.
    fn hold_next_pass(&mut self, now: Instant, version: u64) {
        let lead = self.lead_passes(now);
        self.switch_since = Some(now);
        // Any rank can hold the pass; prefer the one with the newest report, as its agent responds.
        let last_report = |r: usize| self.ranks[r].as_ref().map(|s| s.reported_at);
        self.holder = (0..self.ranks.len()).max_by_key(|r| last_report(*r)).unwrap_or(0);
        let last_started = self.statuses().map(|v| v.step).max().unwrap_or(0);
        self.enter_phase(now, HandoverPhase::Holding { version, step: last_started + lead });
    }

    /// Resumes a switch that a predecessor may have started; called when all ranks have reported in
    /// one epoch.
    fn resume_switch(&mut self, now: Instant) {
        if !self.statuses().all(|v| v.open) {
            return;
        }
        let first = self.statuses().next().cloned().unwrap_or_default();
        let same_map = self.statuses().all(|v| v.map == first.map);
        let prepared = first
            .prepared
            .filter(|p| self.statuses().all(|v| v.prepared == Some(*p) || v.map == *p));
        let armed = self.statuses().find_map(|v| v.armed);
        let held = self.statuses().find_map(|v| v.held);
        match (armed, held) {
            // Arm orders may still be in flight to ranks that do not report them yet.
            (Some((version, step)), Some(_)) => {
                self.enter_phase(now, HandoverPhase::Arming { version, step });
            }
            (None, Some(step)) if prepared.is_some_and(|p| p != first.map) => {
                let version = prepared.unwrap_or_default();
                self.enter_phase(now, HandoverPhase::Arming { version, step });
            }
            // The pass was released already: the switch takes effect when it starts.
            (Some((version, step)), None) => {
                self.enter_phase(now, HandoverPhase::Going { version, step });
            }
            // No rank can have been armed, since not all ranks are prepared.
            (None, _) if same_map => self.enter_phase(now, HandoverPhase::Steady),
            (None, _) => {}
        }
    }
}

/// The mean of durations after one more measurement.
fn mean(before: Option<Duration>, newest: Duration) -> Duration {
    before.map_or(newest, |b| b.mul_f64(1.0 - MEAN_WEIGHT) + newest.mul_f64(MEAN_WEIGHT))
}

/// Outcome of an order at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has started to execute the order.
    Started,
    /// The engine is in the requested state.
    InEffect,
    /// The engine refused the order, which does not fit its state.
    Refused,
    /// There was no answer; the order may still be executed later.
    NoAnswer,
}
