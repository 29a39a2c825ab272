//! Routing at an entry: who gets which request, who waits, who is refused.

mod budget;
mod choose;
mod directory;
mod endpoint;
mod prefix;
mod queue;
mod shard;

pub use budget::RetryBudget;
pub use choose::Policy;
pub use choose::Wish;
pub use choose::choose;
pub use directory::Directory;
pub use directory::LEASE;
pub use directory::Merged;
pub use endpoint::Announcement;
pub use endpoint::BadAnnouncement;
pub use endpoint::Endpoint;
pub use endpoint::EndpointKey;
pub use endpoint::Load;
pub use prefix::PrefixCache;
pub use queue::FairQueue;
pub use queue::Waiter;
pub use queue::WaiterKey;
pub use shard::Answer;
pub use shard::Ask;
pub use shard::Ended;
pub use shard::Grant;
pub use shard::Grants;
pub use shard::ServiceShard;
