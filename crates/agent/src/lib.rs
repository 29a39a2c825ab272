//! The agent: the one process beside each endpoint, and the only way to its engine.
//!
//! It admits, refuses truly, runs each claimed attempt at most once, streams answers with offsets
//! and an end mark, and announces itself to the entries named in its settings.
//!
//! ```text
//! entry --gRPC Run--> AgentService --> Admission, Attempts --> EngineRun --HTTP--> engine
//! ```

mod agent;
mod announce;
mod answers;
mod engine_run;
mod health;
mod pieces;
mod service;
mod settings;

pub use agent::Agent;
pub use settings::AgentSettings;
pub use settings::RawAgentSettings;
