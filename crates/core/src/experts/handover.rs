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

/// Distance of the held pass from the last started one, in passes: 1 is the next pass, which
/// suffices since a round of orders takes much less than one pass.
const LEAD_PASSES: u64 = 1;
/// The same while orders get lost, which leaves time to resend them before the pass would start.
const LEAD_PASSES_LOSSY: u64 = 4;
/// How long the channel is treated as lossy after an order without an answer.
const LOSSY_PERIOD: Duration = Duration::from_secs(6);
/// Time before an order is resent if the reports do not show its effect.
const RESEND_INTERVAL: Duration = Duration::from_millis(60);
/// Time before a prepare order is resent if the engine has not started copying; capped at five
/// times [`RESEND_INTERVAL`].
const RESEND_INTERVAL_PREPARE: Duration = Duration::from_millis(1000);
/// Maximum age of the reports that a plan may be based on.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1000);
/// Report age after which the orders of a rank are relayed by another agent.
const RELAY_AFTER: Duration = Duration::from_millis(500);
/// The same while a pass may be held.
const RELAY_AFTER_HELD: Duration = Duration::from_millis(150);
/// Maximum time to prepare a map before the switch is abandoned.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of map versions reserved for each term.
const VERSIONS_PER_TERM: u64 = 1 << 20;

#[derive(Clone, Debug)]
struct TrackedRank {
    status: RankStatus,
    reported_at: Instant,
    sent: Option<(Instant, RankOrder)>,
    /// Version of the map that the engine has started to copy, if any.
    preparing: Option<u64>,
}

/// Drives the map switches of one group.
///
/// One rank holds a pass before any rank is armed, and is released only after all ranks are armed, so
/// all ranks start the pass with the same map even if orders are lost or late: engines refuse an
/// order for a pass that has started, and a late hold is released once a report shows it. As soon as
/// any rank may be armed, the switch must be completed; a successor does this from the held pass in
/// the ranks' reports. Versions include the coordinator's term, so two coordinators never assign the
/// same version to different maps.
#[derive(Clone, Debug)]
pub struct Handover {
    term: u64,
    versions_assigned: u64,
    epoch: u64,
    phase: HandoverPhase,
    phase_since: Option<Instant>,
    ranks: Vec<Option<TrackedRank>>,
    next: Option<(u64, Arc<Vec<LayerMap>>)>,
    current: Option<(u64, Arc<Vec<LayerMap>>)>,
    holder: usize,
    last_loss_at: Option<Instant>,
}

impl Handover {
    /// Creates the handover of the coordinator of `term`, which must be unique to that coordinator.
    pub fn new(term: u64) -> Self {
        Self {
            term,
            versions_assigned: 0,
            epoch: 0,
            phase: HandoverPhase::Gathering,
            phase_since: None,
            ranks: Vec::new(),
            next: None,
            current: None,
            holder: 0,
            last_loss_at: None,
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

    /// Version of the map that all ranks use; `None` if a report is missing or stale, the group is
    /// not running, or the reported maps differ.
    pub fn map_in_use(&self, now: Instant) -> Option<u64> {
        let first = self.ranks.first()?.as_ref()?.status.map;
        let same = |s: &Option<TrackedRank>| {
            s.as_ref().is_some_and(|s| {
                now.saturating_duration_since(s.reported_at) < REPORT_AGE_MAX
                    && s.status.open
                    && s.status.map == first
            })
        };
        self.ranks.iter().all(same).then_some(first)
    }

    /// The placement of map `version`, if this coordinator completed the switch to it.
    pub fn placement(&self, version: u64) -> Option<Arc<Vec<LayerMap>>> {
        self.current.as_ref().filter(|(v, _)| *v == version).map(|(_, sets)| sets.clone())
    }

    /// Starts a switch to a placement and returns the version of the new map.
    ///
    /// Panics when the versions of the term are used up.
    pub fn start_switch(&mut self, now: Instant, sets: Vec<LayerMap>) -> u64 {
        self.versions_assigned += 1;
        assert!(
            self.versions_assigned < VERSIONS_PER_TERM,
            "the map versions of the term are exhausted"
        );
        let version = self.term * VERSIONS_PER_TERM + self.versions_assigned;
        self.next = Some((version, Arc::new(sets)));
        self.enter_phase(now, HandoverPhase::Preparing { version });
        version
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
            self.enter_phase(now, HandoverPhase::Gathering);
        }
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
            RankOrder::Prepare { version, .. } if tracked.preparing == Some(*version) => {
                PREPARE_TIMEOUT
            }
            RankOrder::Prepare { .. } => RESEND_INTERVAL_PREPARE.min(RESEND_INTERVAL * 5),
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
                    self.enter_phase(now, HandoverPhase::Going { version, step });
                }
            }
            HandoverPhase::Going { version, .. } => {
                if self.statuses().all(|v| v.map == version && v.held.is_none()) {
                    self.current = self.next.take().filter(|(v, _)| *v == version);
                    self.enter_phase(now, HandoverPhase::Steady);
                }
            }
        }
    }

    /// Enters the holding phase for a pass that has not started.
    fn hold_next_pass(&mut self, now: Instant, version: u64) {
        let lossy =
            self.last_loss_at.is_some_and(|at| now.saturating_duration_since(at) < LOSSY_PERIOD);
        let lead = if lossy { LEAD_PASSES_LOSSY } else { LEAD_PASSES };
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
