//! The replicated log: consensus among voters, replication to learners, repair of membership.

mod codec;
mod log;
mod peer;
mod repair;
mod replica;
mod types;

pub use codec::Malformed;
pub use log::Log;
pub use repair::Candidate;
pub use repair::LOST_AFTER;
pub use repair::next_change;
pub use replica::ELECTION_MIN;
pub use replica::HEARTBEAT;
pub use replica::ProposeError;
pub use replica::QUORUM_LEASE;
pub use replica::Ready;
pub use replica::Replica;
pub use replica::Role;
pub use types::Body;
pub use types::Entry;
pub use types::HardState;
pub use types::Members;
pub use types::Message;
pub use types::Payload;
pub use types::Record;
pub use types::ReplicaId;
pub use types::Snapshot;
