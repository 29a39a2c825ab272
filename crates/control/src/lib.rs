//! The control instance: stores policy and evacuations in the replicated log, receives the
//! endpoints' heartbeats, streams updates to gateways and plans expert placement.
//!
//! * [`Control`] is one instance, configured by [`ControlSettings`].
//! * [`ControlDialect`] translates the requests of a platform's operators and endpoints; a
//!   platform's adapter implements it.
//! * Gateways subscribe to every control instance. Policy versions and evacuations come from the
//!   replicated log; heartbeats are not replicated and come from the instance that received them.

mod api;
mod calls;
mod control;
mod coordinator;
mod crash_reports;
mod departure_log;
mod departures;
mod dialect;
mod feed;
mod settings;
mod soft_state;

pub use control::Control;
pub use control::ControlAddresses;
pub use dialect::ControlDialect;
pub use dialect::ControlRequest;
pub use dialect::ControlResponse;
pub use settings::ControlSettings;
pub use settings::RawControlSettings;
