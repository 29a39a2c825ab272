//! [`Gate`]: lets one rank start a step, with the map that all ranks use in it.

use std::collections::BTreeSet;

/// An order to a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load what map `version` needs.
    Stage {
        /// The map.
        version: u64,
    },
    /// Start no step from `step` on without further word.
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
    /// Say how things stand.
    Inquire,
}

/// Who gives an order, and to whom.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken {
    /// Fencing number of the coordinator.
    pub fence: u64,
    /// Rises with every phase of one coordinator.
    pub sequence: u64,
    /// Incarnation of the gate that is meant; an inquiry may name any.
    pub incarnation: u64,
}

/// How things stand at a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateState {
    /// Whether the order was carried out.
    pub accepted: bool,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Highest sequence seen under it.
    pub sequence: u64,
    /// Incarnation of the gate.
    pub incarnation: u64,
    /// Whether the order was refused because its map is not loaded.
    pub map_not_loaded: bool,
    /// Last step started; 0 before the first.
    pub step: u64,
    /// Map used in that step.
    pub version: u64,
    /// First step held, if any.
    pub hold: Option<u64>,
    /// Map and first step of the last release that was accepted.
    pub released: Option<(u64, u64)>,
}

/// The step gate of one rank, kept by the agent beside it.
///
/// The rank asks before every step. A gate that has just started knows nothing of earlier promises,
/// so it lets no step start until a coordinator has released one: that keeps a hold that was
/// promised before a restart.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    state: GateState,
    staged: BTreeSet<u64>,
}

impl Gate {
    /// A gate that has just started beside a rank whose last step and map are these.
    pub fn new(incarnation: u64, step: u64, version: u64) -> Self {
        let state = GateState { incarnation, step, version, ..GateState::default() };
        Self { state, staged: BTreeSet::from([version]) }
    }

    /// Takes an order. Old ones are refused, on behalf of engines that would not notice: those of an
    /// earlier coordinator, of an earlier phase, or for an earlier incarnation of this gate.
    pub fn handle_order(&mut self, stamp: FencingToken, order: Order) -> GateState {
        let newest = (stamp.fence, stamp.sequence) >= (self.state.fence, self.state.sequence);
        let meant = stamp.incarnation == self.state.incarnation || order == Order::Inquire;
        if !newest || !meant {
            return GateState { accepted: false, ..self.state };
        }
        self.state.fence = stamp.fence;
        self.state.sequence = stamp.sequence;
        let accepted = self.carry_out(order);
        let map_not_loaded = match order {
            Order::Stage { version } | Order::Release { version, .. } => {
                !self.staged.contains(&version)
            }
            Order::Hold { .. } | Order::Inquire => false,
        };
        GateState { accepted, map_not_loaded, ..self.state }
    }

    /// Notes that a map has been loaded.
    pub fn mark_staged(&mut self, version: u64) {
        self.staged.insert(version);
    }

    /// The map to use in `step`, or none as long as the rank must wait.
    pub fn try_start_step(&mut self, step: u64) -> Option<u64> {
        let (version, from) = self.state.released?;
        let held = self.state.hold.is_some_and(|h| step >= h);
        if held || step <= self.state.step {
            return None;
        }
        self.state.step = step;
        if step >= from {
            assert!(version >= self.state.version, "a map went back");
            self.state.version = version;
            self.staged.retain(|v| *v >= version);
        }
        Some(self.state.version)
    }

    /// How things stand.
    pub fn state(&self) -> GateState {
        self.state
    }

    fn carry_out(&mut self, order: Order) -> bool {
        match order {
            Order::Inquire => true,
            Order::Stage { version } => self.staged.contains(&version),
            Order::Hold { step } => self.hold(step),
            Order::Release { version, step } => self.release(version, step),
        }
    }

    /// A hold that comes too late is refused; one that is later than the last moves it.
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
        let past = self.state.step >= step && version != self.state.version;
        if !self.staged.contains(&version) || past {
            return false;
        }
        self.state.released = Some((version, step));
        self.state.hold = None;
        true
    }
}
