//! Service discovery: the endpoints of all services, as their heartbeats announce them.

mod departure;
mod heartbeat;
mod registry;

pub use departure::Departure;
pub use heartbeat::Heartbeat;
pub use heartbeat::HeartbeatState;
pub use heartbeat::MalformedHeartbeat;
pub use registry::Registration;
pub use registry::Registry;
pub use registry::RegistryChange;
