//! Runs complete deployments on one machine over loopback TCP, for the demo, tests and benchmarks.
//!
//! * [`Plan`]: names, addresses and settings of a deployment of any size.
//! * [`LocalFleet`]: a deployment whose daemons run inside this process.
//! * [`ProcessFleet`]: a deployment of one process per daemon, which can be killed or frozen.
//! * [`TcpRelay`]: a TCP proxy that injects network faults.
//!
//! Engines and services are always stand-ins inside this process, so tests can inspect their state
//! and journals directly.

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
pub use tcp_relay::Links;
pub use tcp_relay::Network;
pub use tcp_relay::TcpRelay;
