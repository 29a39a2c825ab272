//! Stand-ins for what the system meets outside: engines and plain services.
//!
//! They speak the published protocols (OpenAI-style chat completions over server-sent events, plain
//! HTTP) and misbehave on demand, and they count what the tests and the bench must know: runs per
//! key, requests over the limit, deaths.

mod caller;
mod engine;
mod plain;
mod serve;

pub use caller::Caller;
pub use caller::CallerRequest;
pub use caller::CallerResponse;
pub use engine::CRASH_MARKER;
pub use engine::Engine;
pub use engine::EngineSettings;
pub use plain::PlainService;
pub use plain::PlainSettings;
pub use plain::RunJournal;
