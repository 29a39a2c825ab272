//! [`AttemptRegistry`]: ensures at an agent that each claimed attempt starts at most once.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::Code;
use crate::Digest;

/// Ended attempts kept in the registry.
const ENDED_MAX: usize = 16_384;

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent to the engine and not finished.
    Running,
    /// Finished; the response is kept as long as there is room.
    Done,
    /// Revoked before it started; it must never start.
    Revoked,
    /// Refused; it did not run.
    Refused,
}

/// Outcome of a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevokeOutcome {
    /// The attempt has not started and never will at this agent.
    Never,
    /// The attempt is running and cannot be revoked.
    Running,
    /// The attempt has finished.
    Done,
    /// The attempt is too old for the registry to know whether it ran.
    Unknown,
}

/// The claimed attempts known to this incarnation of the agent.
///
/// Memory is bounded without a clock: when an ended attempt is evicted, its claim index raises a
/// floor, and an unknown attempt at or below the floor is refused. A delayed request of a revoked
/// attempt therefore never runs, even after the eviction.
#[derive(Clone, Debug, Default)]
pub struct AttemptRegistry {
    by_id: HashMap<Digest, (AttemptState, u64)>,
    ended: VecDeque<Digest>,
    claim_floor: u64,
}

impl AttemptRegistry {
    /// Marks an attempt as running.
    ///
    /// # Errors
    ///
    /// The reason why the attempt must not start.
    pub fn start(&mut self, id: Digest, claim_index: u64) -> Result<(), Code> {
        match self.by_id.get(&id) {
            Some((AttemptState::Revoked | AttemptState::Refused, _)) => Err(Code::AttemptRevoked),
            Some(_) => Err(Code::StillRunning),
            None if claim_index <= self.claim_floor => Err(Code::AttemptRevoked),
            None => {
                self.by_id.insert(id, (AttemptState::Running, claim_index));
                Ok(())
            }
        }
    }

    /// Moves a running attempt to the state `to`; ignores an attempt that is not running.
    pub fn finish(&mut self, id: Digest, to: AttemptState) {
        let Some(entry) = self.by_id.get_mut(&id) else { return };
        if entry.0 != AttemptState::Running {
            return;
        }
        entry.0 = to;
        self.ended.push_back(id);
        self.evict_oldest();
    }

    /// Revokes an attempt if it has not started.
    pub fn revoke(&mut self, id: Digest, claim_index: u64) -> RevokeOutcome {
        match self.by_id.get(&id) {
            Some((AttemptState::Running, _)) => RevokeOutcome::Running,
            Some((AttemptState::Done, _)) => RevokeOutcome::Done,
            Some(_) => RevokeOutcome::Never,
            None if claim_index <= self.claim_floor => RevokeOutcome::Unknown,
            None => {
                self.by_id.insert(id, (AttemptState::Revoked, claim_index));
                self.ended.push_back(id);
                self.evict_oldest();
                RevokeOutcome::Never
            }
        }
    }

    /// State of an attempt, unless it is unknown or evicted.
    pub fn state(&self, id: Digest) -> Option<AttemptState> {
        self.by_id.get(&id).map(|(a, _)| *a)
    }

    fn evict_oldest(&mut self) {
        while self.ended.len() > ENDED_MAX {
            let Some(id) = self.ended.pop_front() else { return };
            if let Some((_, claim_index)) = self.by_id.remove(&id) {
                self.claim_floor = self.claim_floor.max(claim_index);
            }
        }
    }
}
