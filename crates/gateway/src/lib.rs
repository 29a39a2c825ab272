//! The gateway: forwards callers' requests directly to the endpoints that send heartbeats to the
//! control instances.
//!
//! ```text
//! frontend (decode, authorize, route) -> unary  (single responses)          -> slots -> upstream
//!                                     -> stream (numbered events, resumable)
//! feed (policy, evacuations, heartbeats, rank load, blocked parts of prompts) -> Gateway -> slot pools
//! slots -> endpoint_ends (which prompts crash endpoints) -> control instances
//! ```
//!
//! [`Gateway`] is one gateway instance. [`GatewayDialect`] decodes the messages of callers and
//! endpoints; a platform's adapter implements it.

mod dialect;
mod endpoint_clients;
mod endpoint_ends;
mod events;
mod exchange;
mod explain;
mod feed;
mod followed_controls;
mod frontend;
mod gateway;
mod group_metrics;
mod policy_fetch;
mod relayed;
mod settings;
mod slots;
mod stream;
mod suspects;
mod unary;
mod upstream;

pub use dialect::ForwardHead;
pub use dialect::GatewayDialect;
pub use dialect::MalformedRequest;
pub use dialect::RequestHead;
pub use dialect::ResponseHead;
pub use dialect::SIZED_PARTS_MAX;
pub use events::EventBuffer;
pub use events::MissingEvents;
pub use explain::WhereQuery;
pub use gateway::Gateway;
pub use gateway::GatewayAddresses;
pub use settings::GatewaySettings;
pub use settings::PromptRetentionSettings;
pub use settings::RawGatewaySettings;
pub use settings::RawPromptRetention;
