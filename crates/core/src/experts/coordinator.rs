//! [`Coordinator`]: switches all ranks of a group to a new map at one step.

use super::FencingToken;
use super::GateState;
use super::Order;
use super::RankId;

/// Steps between the furthest rank and the step of a switch, so that word is everywhere in time.
const LEAD_STEPS: u64 = 8;

/// What the coordinator is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Asking all ranks how things stand, before anything else.
    Inquiring,
    /// Nothing: all ranks use one map.
    Steady,
    /// Waiting until all ranks have loaded the next map.
    Staging {
        /// The next map.
        version: u64,
    },
    /// Waiting until all ranks have promised to start no step from `step` on.
    Holding {
        /// The next map.
        version: u64,
        /// First step that will use it.
        step: u64,
    },
    /// Telling all ranks to use the map from `step` on; there is no way back.
    Releasing {
        /// The map.
        version: u64,
        /// First step that uses it.
        step: u64,
    },
}

/// Orders to send, also while nothing is under way, so that a restarted gate is noticed; each may be
/// lost and is sent again by [`Coordinator::tick`].
pub type Orders = Vec<(RankId, FencingToken, Order)>;

/// Drives one group's switches under one fencing number.
///
/// A release goes out only after every rank has promised the hold, so the lock-step keeps any rank
/// from going past the switch on the old map. A successor has a higher number, hears from *every*
/// rank before it acts, and completes a switch that any rank was released for; ranks that have seen
/// its number refuse its predecessor.
#[derive(Clone, Debug)]
pub struct Coordinator {
    fence: u64,
    sequence: u64,
    phase: Phase,
    heard: Vec<Option<GateState>>,
    done: Vec<bool>,
    /// Map that each rank said it had not loaded when it was last told of it.
    lacking: Vec<Option<u64>>,
    wanted: Option<u64>,
    superseded: bool,
}

impl Coordinator {
    /// A coordinator for `ranks` ranks; `fence` must be higher than any before, which the control
    /// state sees to.
    pub fn new(fence: u64, ranks: usize) -> Self {
        Self {
            fence,
            sequence: 0,
            phase: Phase::Inquiring,
            heard: vec![None; ranks],
            done: vec![false; ranks],
            lacking: vec![None; ranks],
            wanted: None,
            superseded: false,
        }
    }

    /// Asks for a switch to a map; it begins once nothing else is under way.
    pub fn request_switch(&mut self, version: u64) {
        self.wanted = Some(version);
        self.begin_wanted();
    }

    /// What it is about.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Its fencing number.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Whether a rank has seen a higher number, so that this coordinator must stop.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Orders for every rank that has not done its part.
    pub fn tick(&self) -> Orders {
        let ranks = (0..self.done.len()).filter(|r| !self.done[*r] && !self.superseded);
        ranks
            .filter_map(|r| Some((RankId(r as u16), self.stamp_for(r), self.order_for(r)?)))
            .collect()
    }

    fn stamp_for(&self, rank: usize) -> FencingToken {
        let incarnation = self.heard[rank].map_or(0, |s| s.incarnation);
        FencingToken { fence: self.fence, sequence: self.sequence, incarnation }
    }

    fn order_for(&self, rank: usize) -> Option<Order> {
        Some(match self.phase {
            Phase::Inquiring => Order::Inquire,
            Phase::Steady => Order::Inquire,
            Phase::Staging { version } => Order::Stage { version },
            Phase::Holding { step, .. } => Order::Hold { step },
            // A rank that was replaced, or whose gate restarted, must load the map first.
            Phase::Releasing { version, .. } if self.lacks(rank, version) => {
                Order::Stage { version }
            }
            Phase::Releasing { version, step } => Order::Release { version, step },
        })
    }

    /// Whether the last answer to an order about `version` was that the rank has not loaded it.
    fn lacks(&self, rank: usize, version: u64) -> bool {
        self.lacking[rank] == Some(version)
    }

    /// Takes a gate's answer to `order`.
    pub fn handle_reply(&mut self, rank: RankId, order: Order, state: GateState) {
        let r = rank.0 as usize;
        if state.fence > self.fence {
            self.superseded = true;
            return;
        }
        let before = self.heard[r].map(|s| s.incarnation);
        if before.is_some_and(|b| state.incarnation < b) {
            return;
        }
        self.heard[r] = Some(state);
        if before.is_some_and(|b| state.incarnation > b) {
            self.restarted(r);
            return;
        }
        if let Order::Stage { version } | Order::Release { version, .. } = order {
            self.lacking[r] = state.map_not_loaded.then_some(version);
        }
        if !self.answers_phase(order) || state.sequence != self.sequence {
            return;
        }
        if state.accepted {
            self.done[r] = true;
        } else if let Phase::Holding { version, step } = self.phase
            && state.step >= step
        {
            // Too late for this step: hold at a later one instead.
            self.enter(Phase::Holding { version, step: state.step + LEAD_STEPS });
            return;
        }
        if self.done.iter().all(|d| *d) {
            self.advance();
        }
    }

    /// A rank was replaced or its gate restarted: nothing that it promised before counts.
    fn restarted(&mut self, rank: usize) {
        match self.phase {
            Phase::Releasing { .. } => self.done[rank] = false,
            Phase::Steady => self.enter(Phase::Inquiring),
            Phase::Inquiring | Phase::Staging { .. } | Phase::Holding { .. } => {
                if let Phase::Staging { version } | Phase::Holding { version, .. } = self.phase {
                    self.wanted.get_or_insert(version);
                }
                self.enter(Phase::Inquiring);
            }
        }
    }

    fn answers_phase(&self, order: Order) -> bool {
        match (self.phase, order) {
            (Phase::Inquiring, Order::Inquire) => true,
            (Phase::Staging { version }, Order::Stage { version: v }) => v == version,
            (Phase::Holding { step, .. }, Order::Hold { step: s }) => s == step,
            (Phase::Releasing { version, step }, Order::Release { version: v, step: s }) => {
                (v, s) == (version, step)
            }
            _ => false,
        }
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.sequence += 1;
        self.done.fill(false);
    }

    fn advance(&mut self) {
        match self.phase {
            Phase::Inquiring => self.recover(),
            Phase::Steady => {}
            Phase::Staging { version } => {
                let step = self.furthest() + LEAD_STEPS;
                self.enter(Phase::Holding { version, step });
            }
            Phase::Holding { version, step } => self.enter(Phase::Releasing { version, step }),
            Phase::Releasing { .. } => {
                self.enter(Phase::Steady);
                self.begin_wanted();
            }
        }
    }

    /// All ranks have answered under this number, so no older coordinator can release any more.
    ///
    /// The newest map that any rank was released for, or uses already, is completed. A rank whose
    /// gate has restarted is released again with it.
    fn recover(&mut self) {
        let states = || self.heard.iter().flatten();
        let used = states().map(|s| s.version).max().unwrap_or(0);
        let released = states().filter_map(|s| s.released).max().unwrap_or((used, 0));
        let first_used = states().filter(|s| s.version == used).map(|s| s.step).min();
        let (version, step) = if released.0 >= used {
            released
        } else {
            // Some rank uses a map of whose release nothing is known any more; no rank can be
            // further than one step from another, so it holds from that rank's last step on.
            (used, first_used.unwrap_or(0))
        };
        self.enter(Phase::Releasing { version, step });
    }

    fn furthest(&self) -> u64 {
        self.heard.iter().flatten().map(|s| s.step).max().unwrap_or(0)
    }

    fn begin_wanted(&mut self) {
        if self.phase != Phase::Steady {
            return;
        }
        if let Some(version) = self.wanted.take() {
            self.enter(Phase::Staging { version });
        }
    }
}
