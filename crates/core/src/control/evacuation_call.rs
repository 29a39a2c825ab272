//! [`EvacuationCall`]: the course of an operator's evacuation order at one instance.

use std::time::Duration;
use std::time::Instant;

use crocustally_wire::Evacuation;
use crocustally_wire::EvacuationOutcome;

/// Shortest time after which an operator without a response turns to another instance.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(1);
/// Time for which a caller stays connected before its order is proposed. A caller that has turned away has
/// closed its connection, and the close of one that a cut held up comes a round trip behind the order.
const PRESENCE_TIME: Duration = Duration::from_millis(200);
/// Parts in which that time passes. A process that was paused finds one part over, and has the others to
/// learn what came meanwhile.
const PRESENCE_STEPS: u32 = 5;
/// Time after a pause of the process in which an order that is read may have waited for it.
const AFTER_PAUSE: Duration = Duration::from_millis(500);

/// What an instance does next with an order.
#[derive(Clone, Debug, PartialEq)]
pub enum EvacuationStep {
    /// Wait for this time; give the order up if its caller disconnects meanwhile.
    Wait(Duration),
    /// Propose this and record the outcome.
    Propose(Evacuation),
    /// Respond: whether the order is in force.
    Respond(bool),
}

/// An evacuation order in progress.
///
/// An order carries no time and no number, so one that was held up on its way looks like a new one. What
/// tells them apart is its caller, which is still connected if it has issued no other order since. So each
/// proposal is made on a revision that was known before the caller was last seen: orders that are
/// acknowledged after that overtake it, however long the proposal takes. Behind a cut the close of a caller
/// may be missing for longer, so an order that may have waited for a paused process is not trusted.
#[derive(Clone, Debug)]
pub struct EvacuationCall {
    domain: String,
    active: bool,
    arrived: Instant,
    /// Revision of the evacuations that was known when the wait began.
    revision: u64,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Waiting { steps_left: u32 },
    Proposing,
    Ended { in_force: bool },
}

impl EvacuationCall {
    /// An order that has just arrived at an instance whose state has this revision of the evacuations.
    pub fn new(now: Instant, domain: String, active: bool, revision: u64) -> Self {
        let phase = Phase::Waiting { steps_left: PRESENCE_STEPS };
        Self { domain, active, arrived: now, revision, phase }
    }

    /// The next step, to be asked for after the time of [`EvacuationStep::Wait`]. `pause_ended` is when the
    /// last pause of the process had ended.
    pub fn next_step(&mut self, pause_ended: Option<Instant>) -> EvacuationStep {
        if let Phase::Waiting { steps_left: 0 } = self.phase
            && pause_ended.is_some_and(|ended| ended + AFTER_PAUSE > self.arrived)
        {
            self.phase = Phase::Ended { in_force: false };
        }
        match self.phase {
            Phase::Waiting { steps_left: 0 } | Phase::Proposing => {
                self.phase = Phase::Proposing;
                let (domain, active) = (self.domain.clone(), self.active);
                let known_revision = Some(self.revision);
                EvacuationStep::Propose(Evacuation {
                    domain,
                    active,
                    known_revision,
                    revision: None,
                })
            }
            Phase::Waiting { steps_left } => {
                self.phase = Phase::Waiting { steps_left: steps_left - 1 };
                EvacuationStep::Wait(PRESENCE_TIME / PRESENCE_STEPS)
            }
            Phase::Ended { in_force } => EvacuationStep::Respond(in_force),
        }
    }

    /// Records the outcome of a proposal; `None` if it was not committed in time.
    ///
    /// An order that was overtaken, since the state of its instance lagged, is proposed once more on the
    /// newest revision, but not at a time at which its caller may have turned to another instance.
    pub fn record_outcome(&mut self, now: Instant, outcome: Option<EvacuationOutcome>) {
        let waited = now.saturating_duration_since(self.arrived);
        self.phase = match outcome {
            Some(outcome) if !outcome.in_force && waited < OPERATOR_PATIENCE => {
                self.revision = outcome.revision;
                Phase::Waiting { steps_left: PRESENCE_STEPS }
            }
            outcome => Phase::Ended { in_force: outcome.is_some_and(|o| o.in_force) },
        };
    }

    /// Revision on which the order was last proposed, or is to be.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
