//! The entry instance: takes callers' requests and operators' tickets, routes, and replicates.
//!
//! A request passes these filters in one direction:
//!
//! ```text
//! front (accept, identify) -> once (claim, for what runs at most once)
//!                          -> relay (everything else)
//!   both: shard (budget, queue, choose) -> calls (send, watch) -> burn (account)
//! ```

mod burn;
mod calls;
mod entry;
mod front;
mod gossip;
mod identify;
mod loss;
mod once;
mod operate;
mod peer_service;
mod relay;
mod settings;
mod shard;

pub use crocustally_log::LogView;
pub use crocustally_log::PeerSettings;

pub use burn::BurnReport;
pub use burn::BurnRow;
pub use entry::Entry;
pub use entry::EntryAddresses;
pub use operate::InstanceStatus;
pub use operate::StatusReport;
pub use settings::EntrySettings;
pub use settings::RawEntrySettings;
pub use settings::RawLimits;
pub use settings::RawPeer;
