//! The replicated log: Raft consensus among voters, replication to learners, and membership repair.

mod codec;
mod contacts;
mod log;
mod peer;
mod read;
mod repair;
mod replica;
mod types;

pub use codec::MalformedMessage;
pub use contacts::Contacts;
pub use log::Log;
pub use repair::RepairSettings;
pub use repair::ReplicaStatus;
pub use repair::plan_repair;
pub use replica::CHECK_QUORUM_TIMEOUT;
pub use replica::ELECTION_TIMEOUT_MIN;
pub use replica::HEARTBEAT_INTERVAL;
pub use replica::ProposeError;
pub use replica::Ready;
pub use replica::Replica;
pub use replica::Role;
pub use types::Body;
pub use types::Entry;
pub use types::HardState;
pub use types::Members;
pub use types::Message;
pub use types::Payload;
pub use types::Read;
pub use types::ReadState;
pub use types::Record;
pub use types::ReplicaId;
pub use types::Snapshot;
