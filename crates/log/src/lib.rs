//! The replicated log of one instance: its replica, its journal on disk and its peer connections.
//!
//! * [`LogHandle`] forwards proposals to the leader and handles the calls of peers.
//! * [`LogView`] is the state of the local replica, published whenever it changes.
//! * [`ReplicaService`] serves [`crocustally_wire::replica_server::Replica`].

mod driver;
mod handle;
mod known_peers;
mod service;
mod settings;

pub use driver::LogView;
pub use handle::LogHandle;
pub use service::ReplicaService;
pub use settings::LogSettings;
pub use settings::PeerSettings;
