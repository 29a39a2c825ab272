//! The replicated configuration, claims and suspects.

mod claims;
mod config;
mod machine;
mod suspects;
mod ticket;

pub use claims::CLAIM_RETENTION_MS;
pub use claims::Claims;
pub use claims::KEPT_ANSWER_BYTES_MAX;
pub use config::Config;
pub use config::Decision;
pub use machine::BadState;
pub use machine::Machine;
pub use suspects::DEATHS_MAX;
pub use suspects::Suspects;
pub use ticket::DomainSpec;
pub use ticket::DomainState;
pub use ticket::EndpointSpec;
pub use ticket::EndpointState;
pub use ticket::Objective;
pub use ticket::Priority;
pub use ticket::RawTicket;
pub use ticket::ServiceKind;
pub use ticket::ServiceSpec;
pub use ticket::Ticket;
pub use ticket::TicketError;
pub use ticket::WorkspaceSpec;
