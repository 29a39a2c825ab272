//! Stand-ins for what surrounds the system: callers, model engines and plain services.
//!
//! Engines and services speak the published protocols (OpenAI-style chat completions over
//! server-sent events, plain HTTP) and fail on demand. They count what the tests and the benchmarks
//! check: runs per idempotency key, requests running at once, crashes.

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
