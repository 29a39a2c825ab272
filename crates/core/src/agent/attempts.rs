//! [`AttemptRegistry`]: the agent's record of attempts that must start at most once.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::Code;
use crate::Digest;

/// Attempts remembered after they ended.
const ENDED_KEPT: usize = 16_384;

/// What has become of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It has been passed to the engine and has not ended.
    Running,
    /// It ended; its answer is kept as long as there is room.
    Done,
    /// It must never start.
    Revoked,
    /// It was refused and did not run.
    Refused,
}

/// What a revocation came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevokeOutcome {
    /// It has not started and never will here.
    Never,
    /// It is running.
    Running,
    /// It has ended.
    Done,
    /// It is so old that nothing is known of it.
    Unknown,
}

/// Every claimed attempt that this incarnation of the agent has heard of.
///
/// Memory is bounded without a clock: when an ended attempt is forgotten, its claim index becomes the
/// floor, and any attempt at or below the floor that is not in the record is refused. Late bytes of a
/// revoked attempt can therefore never run it.
#[derive(Clone, Debug, Default)]
pub struct AttemptRegistry {
    by_id: HashMap<Digest, (AttemptState, u64)>,
    ended: VecDeque<Digest>,
    floor: u64,
}

impl AttemptRegistry {
    /// Starts an attempt, or says why it must not start.
    pub fn start(&mut self, id: Digest, claim_index: u64) -> Result<(), Code> {
        match self.by_id.get(&id) {
            Some((AttemptState::Revoked | AttemptState::Refused, _)) => Err(Code::AttemptRevoked),
            Some(_) => Err(Code::StillRunning),
            None if claim_index <= self.floor => Err(Code::AttemptRevoked),
            None => {
                self.by_id.insert(id, (AttemptState::Running, claim_index));
                Ok(())
            }
        }
    }

    /// Ends a running attempt as `to`.
    pub fn finish(&mut self, id: Digest, to: AttemptState) {
        let Some(entry) = self.by_id.get_mut(&id) else { return };
        if entry.0 != AttemptState::Running {
            return;
        }
        entry.0 = to;
        self.ended.push_back(id);
        self.forget_oldest();
    }

    /// Revokes an attempt if it has not started.
    pub fn revoke(&mut self, id: Digest, claim_index: u64) -> RevokeOutcome {
        match self.by_id.get(&id) {
            Some((AttemptState::Running, _)) => RevokeOutcome::Running,
            Some((AttemptState::Done, _)) => RevokeOutcome::Done,
            Some(_) => RevokeOutcome::Never,
            None if claim_index <= self.floor => RevokeOutcome::Unknown,
            None => {
                self.by_id.insert(id, (AttemptState::Revoked, claim_index));
                self.ended.push_back(id);
                self.forget_oldest();
                RevokeOutcome::Never
            }
        }
    }

    /// What is known of an attempt.
    pub fn state(&self, id: Digest) -> Option<AttemptState> {
        self.by_id.get(&id).map(|(a, _)| *a)
    }

    fn forget_oldest(&mut self) {
        while self.ended.len() > ENDED_KEPT {
            let Some(id) = self.ended.pop_front() else { return };
            if let Some((_, index)) = self.by_id.remove(&id) {
                self.floor = self.floor.max(index);
            }
        }
    }
}
