//! The entry instance: accepts requests of callers, routes them to agents, and replicates the
//! configuration.
//!
//! A request passes these modules in one direction:
//!
//! ```text
//! front (accept, identify) -> once (claim; requests that run at most once)
//!                          -> relay (all other requests)
//!   both: shard (queue, select an endpoint) -> calls (send, read) -> burn (account)
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
