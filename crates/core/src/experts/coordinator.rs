//! [`Coordinator`]: switches all ranks of a group to a new map at the same step.

use super::FencingToken;
use super::GateState;
use super::Order;
use super::RankId;

/// Steps between the most advanced rank and the step of a switch, so that orders reach all ranks in
/// time.
const LEAD_STEPS: u64 = 8;

/// Phase of a map switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Querying the state of all ranks; the first phase of each coordinator.
    Inquiring,
    /// All ranks use the same map; no switch is in progress.
    Steady,
    /// Waiting until all ranks have loaded the next map.
    Staging {
        /// The next map.
        version: u64,
    },
    /// Waiting until all ranks have agreed to start no step from `step` on.
    Holding {
        /// The next map.
        version: u64,
        /// First step that will use it.
        step: u64,
    },
    /// Ordering all ranks to use the map from `step` on; from here on the switch can only be
    /// completed.
    Releasing {
        /// The map.
        version: u64,
        /// First step that uses it.
        step: u64,
    },
}

/// Orders to send to ranks; orders may be lost and are resent by [`Coordinator::pending_orders`].
///
/// Inquiries are also sent while no switch is in progress, to detect restarted gates.
pub type Orders = Vec<(RankId, FencingToken, Order)>;

/// Drives the map switches of one group under one fencing number.
///
/// A release is sent only after every rank has accepted the hold, so no rank can run past the switch
/// on the old map, as ranks run in lock-step. A successor has a higher fencing number, queries
/// *every* rank before it acts, and completes a switch that any rank was released for; ranks that
/// have seen the higher number refuse orders of its predecessor.
#[derive(Clone, Debug)]
pub struct Coordinator {
    fence: u64,
    sequence: u64,
    phase: Phase,
    states: Vec<Option<GateState>>,
    acked: Vec<bool>,
    /// Map that each rank reported as not loaded in its last reply to a stage or release order.
    missing_map: Vec<Option<u64>>,
    requested: Option<u64>,
    superseded: bool,
}

impl Coordinator {
    /// Creates a coordinator for `ranks` ranks; `fence` must be higher than that of any earlier
    /// coordinator of the group.
    pub fn new(fence: u64, ranks: usize) -> Self {
        Self {
            fence,
            sequence: 0,
            phase: Phase::Inquiring,
            states: vec![None; ranks],
            acked: vec![false; ranks],
            missing_map: vec![None; ranks],
            requested: None,
            superseded: false,
        }
    }

    /// Requests a switch to a map; it starts when no other switch is in progress.
    pub fn request_switch(&mut self, version: u64) {
        self.requested = Some(version);
        self.start_requested();
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Fencing number of this coordinator.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Whether a rank has seen a higher fencing number, in which case this coordinator must stop.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Orders for every rank that has not acknowledged the current phase.
    pub fn pending_orders(&self) -> Orders {
        let ranks = (0..self.acked.len()).filter(|r| !self.acked[*r] && !self.superseded);
        ranks
            .filter_map(|r| Some((RankId(r as u16), self.token_for(r), self.order_for(r)?)))
            .collect()
    }

    fn token_for(&self, rank: usize) -> FencingToken {
        let incarnation = self.states[rank].map_or(0, |s| s.incarnation);
        FencingToken { fence: self.fence, sequence: self.sequence, incarnation }
    }

    fn order_for(&self, rank: usize) -> Option<Order> {
        Some(match self.phase {
            Phase::Inquiring => Order::Inquire,
            Phase::Steady => Order::Inquire,
            Phase::Staging { version } => Order::Stage { version },
            Phase::Holding { step, .. } => Order::Hold { step },
            // A replaced rank, or one with a restarted gate, must load the map first.
            Phase::Releasing { version, .. } if self.lacks_map(rank, version) => {
                Order::Stage { version }
            }
            Phase::Releasing { version, step } => Order::Release { version, step },
        })
    }

    /// Whether a rank reported map `version` as not loaded in its last reply.
    fn lacks_map(&self, rank: usize, version: u64) -> bool {
        self.missing_map[rank] == Some(version)
    }

    /// Processes the reply of a gate to `order`.
    pub fn handle_reply(&mut self, rank: RankId, order: Order, state: GateState) {
        let r = rank.0 as usize;
        if state.fence > self.fence {
            self.superseded = true;
            return;
        }
        let before = self.states[r].map(|s| s.incarnation);
        if before.is_some_and(|b| state.incarnation < b) {
            return;
        }
        self.states[r] = Some(state);
        if before.is_some_and(|b| state.incarnation > b) {
            self.handle_restart(r);
            return;
        }
        if let Order::Stage { version } | Order::Release { version, .. } = order {
            self.missing_map[r] = state.map_not_loaded.then_some(version);
        }
        if !self.is_reply_to_phase(order) || state.sequence != self.sequence {
            return;
        }
        if state.accepted {
            self.acked[r] = true;
        } else if let Phase::Holding { version, step } = self.phase
            && state.step >= step
        {
            // The rank has started the step already: hold at a later one.
            self.enter_phase(Phase::Holding { version, step: state.step + LEAD_STEPS });
            return;
        }
        if self.acked.iter().all(|d| *d) {
            self.advance();
        }
    }

    /// Handles a replaced rank or restarted gate, which has lost its earlier holds and releases.
    fn handle_restart(&mut self, rank: usize) {
        match self.phase {
            Phase::Releasing { .. } => self.acked[rank] = false,
            Phase::Steady => self.enter_phase(Phase::Inquiring),
            Phase::Inquiring | Phase::Staging { .. } | Phase::Holding { .. } => {
                if let Phase::Staging { version } | Phase::Holding { version, .. } = self.phase {
                    self.requested.get_or_insert(version);
                }
                self.enter_phase(Phase::Inquiring);
            }
        }
    }

    fn is_reply_to_phase(&self, order: Order) -> bool {
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

    fn enter_phase(&mut self, phase: Phase) {
        self.phase = phase;
        self.sequence += 1;
        self.acked.fill(false);
    }

    fn advance(&mut self) {
        match self.phase {
            Phase::Inquiring => self.recover(),
            Phase::Steady => {}
            Phase::Staging { version } => {
                let step = self.highest_step() + LEAD_STEPS;
                self.enter_phase(Phase::Holding { version, step });
            }
            Phase::Holding { version, step } => {
                self.enter_phase(Phase::Releasing { version, step })
            }
            Phase::Releasing { .. } => {
                self.enter_phase(Phase::Steady);
                self.start_requested();
            }
        }
    }

    /// Completes the newest switch that any rank was released for or has made already.
    ///
    /// Called when all ranks have replied under this fencing number, so no older coordinator can
    /// release a switch any more. A rank with a restarted gate is released again.
    fn recover(&mut self) {
        let states = || self.states.iter().flatten();
        let used = states().map(|s| s.version).max().unwrap_or(0);
        let released = states().filter_map(|s| s.released).max().unwrap_or((used, 0));
        let first_used = states().filter(|s| s.version == used).map(|s| s.step).min();
        let (version, step) = if released.0 >= used {
            released
        } else {
            // A rank uses a map whose release is no longer known. Ranks are at most one step apart,
            // so the map applies from the last step of that rank on.
            (used, first_used.unwrap_or(0))
        };
        self.enter_phase(Phase::Releasing { version, step });
    }

    fn highest_step(&self) -> u64 {
        self.states.iter().flatten().map(|s| s.step).max().unwrap_or(0)
    }

    fn start_requested(&mut self) {
        if self.phase != Phase::Steady {
            return;
        }
        if let Some(version) = self.requested.take() {
            self.enter_phase(Phase::Staging { version });
        }
    }
}
