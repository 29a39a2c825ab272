//! [`Handover`]: switches all ranks of a group to a new map at one pass, by orders that may be lost
//! or carried out late.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::LayerMap;

/// What a rank says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RankStatus {
    /// Its place in the group.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
    /// Epoch of the group; a new one begins with map 0 and nothing prepared, armed or held.
    pub epoch: u64,
    /// Whether the group runs.
    pub open: bool,
    /// Last pass that was begun.
    pub step: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version of the map that is copied whole, if any.
    pub prepared: Option<u64>,
    /// Version and first pass of the map that it will switch to.
    pub armed: Option<(u64, u64)>,
    /// Pass that it holds back.
    pub held: Option<u64>,
}

/// An order to one rank.
#[derive(Clone, Debug, PartialEq)]
pub enum RankOrder {
    /// Copy what the map needs.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Placement of each set.
        sets: Arc<Vec<LayerMap>>,
    },
    /// Switch to a prepared map as a pass begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Keep the group from beginning a pass.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Let a held pass begin.
    Go {
        /// The pass.
        step: u64,
    },
}

/// What a handover is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverPhase {
    /// Waiting until every rank has been heard in one epoch.
    Gathering,
    /// All ranks use one map.
    Steady,
    /// Waiting until every rank has copied the next map.
    Preparing {
        /// Version of the map.
        version: u64,
    },
    /// Waiting until the holder holds a pass back that has not begun.
    Holding {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Waiting until every rank will switch as the held pass begins; there is no way back.
    Arming {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Letting the pass begin, until every rank uses the map.
    Going {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
}

/// Passes between the last one begun and the one that is held back: word goes round in much less
/// than one pass.
const LEAD: u64 = 1;
/// The same while orders get lost, so that they can be sent again before the pass would begin.
const LEAD_LOSSY: u64 = 4;
/// How long orders count as lossy after one got no answer.
const LOSSY_TIME: Duration = Duration::from_secs(6);
/// Time before an order is sent again whose effect does not show.
const RESEND: Duration = Duration::from_millis(60);
/// Time before a map is prepared again whose copies do not begin.
const RESEND_PREPARE: Duration = Duration::from_millis(1000);
/// A rank that has not been heard for this long may not be planned with.
const FRESH: Duration = Duration::from_millis(1000);
/// A rank that has not been heard for this long gets its orders from another agent.
const RELAY_AFTER: Duration = Duration::from_millis(500);
/// The same while a pass may be held back.
const RELAY_AFTER_HELD: Duration = Duration::from_millis(150);
/// Longest time to prepare one map before another one is planned.
const PREPARE_MAX: Duration = Duration::from_secs(12);
/// Versions that one coordinator may give out.
const VERSIONS_PER_TERM: u64 = 1 << 20;

#[derive(Clone, Debug)]
struct Seen {
    view: RankStatus,
    at: Instant,
    sent: Option<(Instant, RankOrder)>,
    /// Whether the engine has begun to copy the map that is being prepared.
    preparing: Option<u64>,
}

/// Drives the switches of one group.
///
/// A pass is held back at one rank before any rank is armed, and let go only once all are, so the
/// pass begins with one map everywhere whatever is lost or late: a late order for a pass that has
/// begun is refused, and a late hold is let go when it shows. Once a rank may be armed the switch is
/// completed, also by a successor, which finds the held pass in the ranks' own reports. Versions
/// carry the coordinator's term, so no two coordinators give one version to two maps.
#[derive(Clone, Debug)]
pub struct Handover {
    term: u64,
    given: u64,
    epoch: u64,
    phase: HandoverPhase,
    since: Option<Instant>,
    ranks: Vec<Option<Seen>>,
    next: Option<(u64, Arc<Vec<LayerMap>>)>,
    current: Option<(u64, Arc<Vec<LayerMap>>)>,
    holder: usize,
    lost_at: Option<Instant>,
}

impl Handover {
    /// A handover by the coordinator of `term`; no other coordinator has that term.
    pub fn new(term: u64) -> Self {
        Self {
            term,
            given: 0,
            epoch: 0,
            phase: HandoverPhase::Gathering,
            since: None,
            ranks: Vec::new(),
            next: None,
            current: None,
            holder: 0,
            lost_at: None,
        }
    }

    /// What it is about.
    pub fn phase(&self) -> HandoverPhase {
        self.phase
    }

    /// The epoch that it is about.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Ranks of the group, as far as known.
    pub fn size(&self) -> usize {
        self.ranks.len()
    }

    /// Version of the map that all ranks use, if all have been heard just now.
    pub fn map_in_use(&self, now: Instant) -> Option<u64> {
        let first = self.ranks.first()?.as_ref()?.view.map;
        let same = |s: &Option<Seen>| {
            s.as_ref().is_some_and(|s| {
                now.saturating_duration_since(s.at) < FRESH && s.view.open && s.view.map == first
            })
        };
        self.ranks.iter().all(same).then_some(first)
    }

    /// The placement under `version`, if this coordinator brought it into force.
    pub fn placement(&self, version: u64) -> Option<Arc<Vec<LayerMap>>> {
        self.current.as_ref().filter(|(v, _)| *v == version).map(|(_, sets)| sets.clone())
    }

    /// Begins a switch to a placement; answers its version.
    pub fn start_switch(&mut self, now: Instant, sets: Vec<LayerMap>) -> u64 {
        self.given += 1;
        assert!(self.given < VERSIONS_PER_TERM, "a term has given out all its versions");
        let version = self.term * VERSIONS_PER_TERM + self.given;
        self.next = Some((version, Arc::new(sets)));
        self.enter(now, HandoverPhase::Preparing { version });
        version
    }

    /// Takes what a rank says of itself now.
    pub fn report(&mut self, now: Instant, view: RankStatus) {
        if view.size == 0 || view.rank >= view.size || view.epoch < self.epoch {
            return;
        }
        if view.epoch > self.epoch || view.size != self.ranks.len() {
            self.epoch = view.epoch;
            self.ranks = vec![None; view.size];
            self.next = None;
            self.current = None;
            self.enter(now, HandoverPhase::Gathering);
        }
        let rank = view.rank;
        match &mut self.ranks[rank] {
            Some(seen) => {
                seen.view = view;
                seen.at = now;
            }
            empty => *empty = Some(Seen { view, at: now, sent: None, preparing: None }),
        }
        self.advance(now);
    }

    /// Takes the answer to an order: whether the engine has begun it or says that it holds; `None`
    /// when there was no answer.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        rank: usize,
        order: &RankOrder,
        status: OrderOutcome,
    ) {
        let Some(Some(seen)) = self.ranks.get_mut(rank) else { return };
        if status == OrderOutcome::NoAnswer {
            self.lost_at = Some(now);
            // The time for its answer has passed already; a second one does no harm.
            seen.sent = None;
            return;
        }
        if let (
            RankOrder::Prepare { version, .. },
            OrderOutcome::Started | OrderOutcome::InEffect,
        ) = (order, status)
        {
            seen.preparing = Some(*version);
        }
        if status != OrderOutcome::InEffect {
            return;
        }
        match order {
            RankOrder::Prepare { version, .. } => seen.view.prepared = Some(*version),
            RankOrder::Arm { version, step } => seen.view.armed = Some((*version, *step)),
            RankOrder::Hold { step } => seen.view.held = Some(*step),
            RankOrder::Go { .. } => seen.view.held = None,
        }
        self.advance(now);
    }

    /// Whether a pass may be held back, so that every moment counts.
    pub fn may_hold_pass(&self) -> bool {
        !matches!(
            self.phase,
            HandoverPhase::Gathering | HandoverPhase::Steady | HandoverPhase::Preparing { .. }
        )
    }

    /// The orders that the agent of `rank` should carry out now, each with the rank it is for: its
    /// own, or one whose agent is silent.
    pub fn orders(&mut self, now: Instant, rank: usize) -> Vec<(usize, RankOrder)> {
        let mut out = Vec::new();
        let relay_after = if self.may_hold_pass() { RELAY_AFTER_HELD } else { RELAY_AFTER };
        for target in 0..self.ranks.len() {
            let silent = self.ranks[target]
                .as_ref()
                .is_some_and(|s| now.saturating_duration_since(s.at) > relay_after);
            if (target == rank || silent)
                && let Some(order) = self.order_for(now, target)
            {
                out.push((target, order));
            }
        }
        out
    }

    fn order_for(&mut self, now: Instant, rank: usize) -> Option<RankOrder> {
        let order = self.wanted(rank)?;
        if !self.due(now, rank, &order) {
            return None;
        }
        let seen = self.ranks[rank].as_mut()?;
        seen.sent = Some((now, order.clone()));
        Some(order)
    }

    /// Whether an order was not sent just now.
    fn due(&self, now: Instant, rank: usize, order: &RankOrder) -> bool {
        let Some(Some(seen)) = self.ranks.get(rank) else { return false };
        let pause = match order {
            RankOrder::Prepare { version, .. } if seen.preparing == Some(*version) => PREPARE_MAX,
            RankOrder::Prepare { .. } => RESEND_PREPARE.min(RESEND * 5),
            _ => RESEND,
        };
        !seen
            .sent
            .as_ref()
            .is_some_and(|(at, sent)| sent == order && now.saturating_duration_since(*at) < pause)
    }

    /// What a rank should be told, whenever it was told last.
    fn wanted(&self, rank: usize) -> Option<RankOrder> {
        let view = &self.ranks.get(rank)?.as_ref()?.view;
        match self.phase {
            HandoverPhase::Gathering => None,
            // A hold that came late, or whose coordinator is gone.
            HandoverPhase::Steady => view.held.map(|step| RankOrder::Go { step }),
            HandoverPhase::Preparing { version } => {
                if let Some(step) = view.held {
                    return Some(RankOrder::Go { step });
                }
                let (_, sets) = self.next.as_ref().filter(|(v, _)| *v == version)?;
                let sets = sets.clone();
                (view.prepared != Some(version)).then_some(RankOrder::Prepare { version, sets })
            }
            HandoverPhase::Holding { step, .. } => match view.held {
                Some(other) if other != step => Some(RankOrder::Go { step: other }),
                None if rank == self.holder => Some(RankOrder::Hold { step }),
                _ => None,
            },
            HandoverPhase::Arming { version, step } => (view.armed != Some((version, step))
                && view.map != version)
                .then_some(RankOrder::Arm { version, step }),
            HandoverPhase::Going { .. } => view.held.map(|step| RankOrder::Go { step }),
        }
    }

    fn enter(&mut self, now: Instant, phase: HandoverPhase) {
        self.phase = phase;
        self.since = Some(now);
    }

    fn views(&self) -> impl Iterator<Item = &RankStatus> {
        self.ranks.iter().flatten().map(|s| &s.view)
    }

    fn advance(&mut self, now: Instant) {
        if self.ranks.iter().any(Option::is_none) {
            return;
        }
        match self.phase {
            HandoverPhase::Gathering => self.gathered(now),
            HandoverPhase::Steady => {}
            HandoverPhase::Preparing { version } => {
                let ready = self.views().all(|v| v.prepared == Some(version) && v.held.is_none());
                if ready {
                    self.hold(now, version);
                } else if self
                    .since
                    .is_some_and(|at| now.saturating_duration_since(at) > PREPARE_MAX)
                {
                    self.enter(now, HandoverPhase::Gathering);
                }
            }
            HandoverPhase::Holding { version, step } => {
                let Some(holder) = self.ranks[self.holder].as_ref() else { return };
                if holder.view.held == Some(step) {
                    self.enter(now, HandoverPhase::Arming { version, step });
                } else if holder.view.step >= step {
                    self.hold(now, version);
                }
            }
            HandoverPhase::Arming { version, step } => {
                if self.views().all(|v| v.armed == Some((version, step)) || v.map == version) {
                    self.enter(now, HandoverPhase::Going { version, step });
                }
            }
            HandoverPhase::Going { version, .. } => {
                if self.views().all(|v| v.map == version && v.held.is_none()) {
                    self.current = self.next.take().filter(|(v, _)| *v == version);
                    self.enter(now, HandoverPhase::Steady);
                }
            }
        }
    }

    /// Holds back a pass that has not begun.
    fn hold(&mut self, now: Instant, version: u64) {
        let lossy = self.lost_at.is_some_and(|at| now.saturating_duration_since(at) < LOSSY_TIME);
        let lead = if lossy { LEAD_LOSSY } else { LEAD };
        // The holder must be a rank whose agent answers; any one does.
        let heard = |r: usize| self.ranks[r].as_ref().map(|s| s.at);
        self.holder = (0..self.ranks.len()).max_by_key(|r| heard(*r)).unwrap_or(0);
        let begun = self.views().map(|v| v.step).max().unwrap_or(0);
        self.enter(now, HandoverPhase::Holding { version, step: begun + lead });
    }

    /// All ranks have been heard in one epoch: completes what a predecessor may have begun.
    fn gathered(&mut self, now: Instant) {
        if !self.views().all(|v| v.open) {
            return;
        }
        let first = self.views().next().cloned().unwrap_or_default();
        let same_map = self.views().all(|v| v.map == first.map);
        let prepared =
            first.prepared.filter(|p| self.views().all(|v| v.prepared == Some(*p) || v.map == *p));
        let armed = self.views().find_map(|v| v.armed);
        let held = self.views().find_map(|v| v.held);
        match (armed, held) {
            // Arms may be on their way to ranks that do not show them yet.
            (Some((version, step)), Some(_)) => {
                self.enter(now, HandoverPhase::Arming { version, step });
            }
            (None, Some(step)) if prepared.is_some_and(|p| p != first.map) => {
                let version = prepared.unwrap_or_default();
                self.enter(now, HandoverPhase::Arming { version, step });
            }
            // Let go already: the switch happens as the pass begins.
            (Some((version, step)), None) => {
                self.enter(now, HandoverPhase::Going { version, step });
            }
            // Nothing can have been armed, since not all ranks are prepared.
            (None, _) if same_map => self.enter(now, HandoverPhase::Steady),
            (None, _) => {}
        }
    }
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It has begun to carry it out.
    Started,
    /// The state already holds.
    InEffect,
    /// It does not fit the engine's state.
    Refused,
    /// There was no answer: it may be carried out later.
    NoAnswer,
}
