//! The decision logic of crocustally, without I/O, threads or a clock.
//!
//! All functions take the current time as an argument, so tests can run them with a fake clock and
//! a seeded random number generator:
//!
//! * [`routing`]: how an entry instance chooses endpoints: queues, limits and retry budget.
//! * [`agent`]: admission and the at-most-once record at each endpoint's agent.
//! * [`control`]: the replicated state machine: tickets, claims and suspects, and which parts of
//!   prompts crash endpoints.
//! * [`experts`]: expert maps: placement, and switching to a new map at the same step everywhere.
//! * [`traffic`]: validated routes, services and workspaces of a gateway.
//! * [`fleet`]: discovery of endpoints from their heartbeats.
//! * [`dispatch`]: how a gateway admits, queues and routes requests to endpoints.
//! * [`raft`]: the replicated log.
//! * [`burn`]: burn rates of error budgets.
//! * [`Code`]: the numbered result codes that all modules use.

mod code;
mod digest;

pub mod agent;
pub mod burn;
pub mod control;
pub mod dispatch;
pub mod experts;
pub mod fleet;
pub mod raft;
pub mod routing;
pub mod traffic;

pub use code::Code;
pub use code::Ran;
pub use code::UnknownCode;
pub use code::promises_not_run;
pub use digest::Digest;
pub use digest::InvalidDigestLength;
