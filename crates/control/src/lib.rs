//! The control instance: keeps policy and evacuations in the replicated log, hears endpoints, and
//! feeds gateways.
//!
//! * [`Control`] is one instance; [`ControlSettings`] is what it is told.
//! * [`ControlDialect`] decodes the calls of a platform's operators and endpoints; a platform's
//!   adapter implements it.
//! * Gateways follow every control instance: policy versions and evacuations come from the log,
//!   heartbeats straight from the instance that heard them.

mod api;
mod book;
mod calls;
mod control;
mod coordinator;
mod dialect;
mod settings;

pub use control::Control;
pub use control::ControlAddresses;
pub use dialect::ControlDialect;
pub use dialect::ControlRequest;
pub use dialect::ControlResponse;
pub use settings::ControlSettings;
pub use settings::RawControlSettings;
