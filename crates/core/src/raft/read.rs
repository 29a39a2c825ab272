//! Reads of the newest state without an entry in the log.

use std::time::Instant;

use super::ProposeError;
use super::Read;
use super::ReadState;
use super::Replica;
use super::ReplicaId;
use super::Role;

impl Replica {
    /// Accepts a read of the state as of now or later, and begins the round that confirms it.
    ///
    /// The leader may have been superseded without knowing it, so its commit index counts only once
    /// a quorum has answered a round begun after the read arrived: a voter that had elected another
    /// leader by then would refuse. The commit index of a leader that has not committed an entry of
    /// its term may be too low; its barrier follows all entries committed before.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] on any replica but the leader.
    pub fn read(&mut self, now: Instant) -> Result<Read, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        // A round that is not yet handed to the driver will be sent after the arrival as well.
        if self.round == self.round_sent {
            self.broadcast(now);
        }
        let index = self.commit_index.max(self.barrier_index);
        Ok(Read { term: self.hard_state.term, index, round: self.round })
    }

    /// What has become of a read. [`ReadState::Ready`] holds until the replica is called again.
    pub fn read_state(&self, read: &Read) -> ReadState {
        if self.role != Role::Leader || self.hard_state.term != read.term {
            return ReadState::Lost;
        }
        let answered = |v: &&ReplicaId| **v == self.id || self.round_answered_by(**v) >= read.round;
        let confirmed = self.members.voters.iter().filter(answered).count();
        if confirmed >= self.members.quorum() && self.last_applied >= read.index {
            ReadState::Ready
        } else {
            ReadState::Waiting
        }
    }
}
