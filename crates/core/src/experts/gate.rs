//! [`Gate`]: admits the steps of one rank and gives each step the map that all ranks use for it.

use std::collections::BTreeSet;

/// An order to a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load the experts of map `version`.
    Stage {
        /// The map.
        version: u64,
    },
    /// Start no step from `step` on until the next release.
    Hold {
        /// First step that is held.
        step: u64,
    },
    /// Use map `version` from `step` on; this ends a hold.
    Release {
        /// The map.
        version: u64,
        /// First step that uses it.
        step: u64,
    },
    /// Report the state of the gate.
    Inquire,
}

/// Origin and recipient of an order, by which a gate refuses stale orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken {
    /// Fencing number of the coordinator.
    pub fence: u64,
    /// Sequence number of the phase; increases with every phase of one coordinator.
    pub sequence: u64,
    /// Incarnation of the gate that the order is for; ignored for an inquiry.
    pub incarnation: u64,
}

/// State of a gate, and its reply to an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateState {
    /// Whether the order was executed.
    pub accepted: bool,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Highest sequence number seen with that fencing number.
    pub sequence: u64,
    /// Incarnation of the gate.
    pub incarnation: u64,
    /// Whether the order was refused because its map is not loaded.
    pub map_not_loaded: bool,
    /// Last step that was started; 0 before the first.
    pub step: u64,
    /// Map used in that step.
    pub version: u64,
    /// First step that is held, if any.
    pub hold: Option<u64>,
    /// Map and first step of the last release that was accepted.
    pub released: Option<(u64, u64)>,
}

/// The step gate of one rank, meant to run in the agent of that rank.
///
/// The rank asks the gate before every step. A gate loses its state on a restart, so it admits no step
/// until a coordinator has sent a release; this enforces holds that it accepted before the restart.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    state: GateState,
    staged: BTreeSet<u64>,
}

impl Gate {
    /// Creates the gate of a rank with the given last step and current map.
    pub fn new(incarnation: u64, step: u64, version: u64) -> Self {
        let state = GateState { incarnation, step, version, ..GateState::default() };
        Self { state, staged: BTreeSet::from([version]) }
    }

    /// Executes an order and returns the state.
    ///
    /// Stale orders are refused, since engines would not detect them: orders of an earlier
    /// coordinator or phase, or for an earlier incarnation of this gate.
    pub fn handle_order(&mut self, token: FencingToken, order: Order) -> GateState {
        let current = (token.fence, token.sequence) >= (self.state.fence, self.state.sequence);
        let addressed = token.incarnation == self.state.incarnation || order == Order::Inquire;
        if !current || !addressed {
            return GateState { accepted: false, ..self.state };
        }
        self.state.fence = token.fence;
        self.state.sequence = token.sequence;
        let accepted = self.execute(order);
        let map_not_loaded = match order {
            Order::Stage { version } | Order::Release { version, .. } => {
                !self.staged.contains(&version)
            }
            Order::Hold { .. } | Order::Inquire => false,
        };
        GateState { accepted, map_not_loaded, ..self.state }
    }

    /// Records that the experts of a map are loaded.
    pub fn mark_staged(&mut self, version: u64) {
        self.staged.insert(version);
    }

    /// Starts `step` and returns the map to use in it; `None` if the rank must wait or has already
    /// started the step.
    ///
    /// Panics if the released map is older than the current one.
    pub fn try_start_step(&mut self, step: u64) -> Option<u64> {
        let (version, from) = self.state.released?;
        let held = self.state.hold.is_some_and(|h| step >= h);
        if held || step <= self.state.step {
            return None;
        }
        self.state.step = step;
        if step >= from {
            assert!(
                version >= self.state.version,
                "the released map is older than the current one"
            );
            self.state.version = version;
            self.staged.retain(|v| *v >= version);
        }
        Some(self.state.version)
    }

    /// Current state.
    pub fn state(&self) -> GateState {
        self.state
    }

    fn execute(&mut self, order: Order) -> bool {
        match order {
            Order::Inquire => true,
            Order::Stage { version } => self.staged.contains(&version),
            Order::Hold { step } => self.hold(step),
            Order::Release { version, step } => self.release(version, step),
        }
    }

    /// Sets or moves the held step; refused if the step has started or a release is pending.
    fn hold(&mut self, step: u64) -> bool {
        let pending = self.state.released.is_some_and(|(_, from)| from > self.state.step);
        if self.state.step >= step || pending {
            return false;
        }
        self.state.hold = Some(step);
        true
    }

    fn release(&mut self, version: u64, step: u64) -> bool {
        if self.state.released == Some((version, step)) {
            self.state.hold = None;
            return true;
        }
        let too_late = self.state.step >= step && version != self.state.version;
        if !self.staged.contains(&version) || too_late {
            return false;
        }
        self.state.released = Some((version, step));
        self.state.hold = None;
        true
    }
}
