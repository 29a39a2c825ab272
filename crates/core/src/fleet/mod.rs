//! The fleet: which endpoints there are, as they announce themselves.

mod heartbeat;
mod registry;

pub use heartbeat::Heartbeat;
pub use heartbeat::HeartbeatState;
pub use heartbeat::MalformedHeartbeat;
pub use registry::Registration;
pub use registry::Registry;
pub use registry::RegistryChange;
