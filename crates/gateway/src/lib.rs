//! The gateway: takes callers' requests and sends them straight to endpoints that announce
//! themselves to control instances.
//!
//! ```text
//! front (decode, authorize, route) -> whole (answers of one piece)   -> places -> upstream
//!                                  -> stream (numbered events, resumed)
//! feed (policy, evacuations, heartbeats, load of ranks) -> Gateway -> pools
//! ```
//!
//! [`Gateway`] is one instance; [`GatewayDialect`] decodes what callers and endpoints say and is
//! implemented by a platform's adapter.

mod dialect;
mod events;
mod exchange;
mod feed;
mod frontend;
mod gateway;
mod permits;
mod settings;
mod stream;
mod suspects;
mod unary;
mod upstream;

pub use dialect::ForwardHead;
pub use dialect::GatewayDialect;
pub use dialect::MalformedRequest;
pub use dialect::RequestHead;
pub use dialect::ResponseHead;
pub use events::EventBuffer;
pub use gateway::Gateway;
pub use gateway::GatewayAddresses;
pub use settings::GatewaySettings;
pub use settings::RawGatewaySettings;
