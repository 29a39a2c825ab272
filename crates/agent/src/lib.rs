//! The agent: a sidecar process of each endpoint, and the only path to its engine.
//!
//! It limits concurrency, guarantees that a refused request has not run, runs each claimed attempt
//! at most once, streams responses with offsets and an end marker, and announces the endpoint to
//! the entries named in its settings.
//!
//! ```text
//! entry --gRPC Run--> AgentService --> Admission, AttemptRegistry --> EngineRun --HTTP--> engine
//! ```

mod agent;
mod announce;
mod engine_run;
mod health;
mod pieces;
mod response_store;
mod service;
mod settings;

pub use agent::Agent;
pub use settings::AgentSettings;
pub use settings::RawAgentSettings;
