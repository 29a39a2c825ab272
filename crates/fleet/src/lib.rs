//! Whole deployments on one machine, over loopback TCP, for the demo, the tests and the bench.
//!
//! * [`Plan`]: names, addresses and settings of a deployment of any size.
//! * [`LocalFleet`]: its daemons inside this process.
//! * [`ProcessFleet`]: its daemons as processes, which can be killed and frozen.
//! * [`TcpRelay`]: a network path that goes silent on demand.
//!
//! Engines and services are always stand-ins inside this process, so that their journals can be
//! read directly.

mod local;
mod plan;
mod processes;
mod stand;
mod tcp_relay;

pub use local::LocalFleet;
pub use plan::AgentPlan;
pub use plan::EntryPlan;
pub use plan::FleetSettings;
pub use plan::Plan;
pub use plan::workspace_key;
pub use processes::ProcessFleet;
pub use processes::Programs;
pub use stand::StandIns;
pub use tcp_relay::Network;
pub use tcp_relay::TcpRelay;
