//! The replicated log of one instance: its replica, its disk, and the way to its peers.
//!
//! * [`LogHandle`] proposes commands wherever the leader is, and answers the peers' calls.
//! * [`LogView`] is what the replica here knows, published whenever it changes.
//! * [`ReplicaService`] serves the calls of [`crocustally_wire::replica_server::Replica`].

mod driver;
mod handle;
mod service;
mod settings;

pub use driver::LogView;
pub use handle::LogHandle;
pub use service::ReplicaService;
pub use settings::LogSettings;
pub use settings::PeerSettings;
