//! Decisions of the agent beside each endpoint.

mod admission;
mod attempts;

pub use admission::Admission;
pub use admission::AdmissionLimits;
pub use attempts::Attempt;
pub use attempts::Attempts;
pub use attempts::Revoked;
