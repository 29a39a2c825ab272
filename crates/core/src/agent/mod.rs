//! Admission control and at-most-once execution at the agent beside each endpoint.

mod admission;
mod attempts;

pub use admission::Admission;
pub use admission::AdmissionLimits;
pub use attempts::AttemptRegistry;
pub use attempts::AttemptState;
pub use attempts::RevokeOutcome;
