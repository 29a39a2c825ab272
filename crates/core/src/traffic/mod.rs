//! The traffic policy: routing, authentication and request limits.

mod engine;
mod error;
mod policy;
mod route;

pub use engine::EngineSpec;
pub use error::PolicyError;
pub use policy::CallerLimits;
pub use policy::ServicePolicy;
pub use policy::TrafficPolicy;
pub use policy::Workspace;
pub use policy::urgency;
pub use route::Route;
pub use route::RouteKind;
pub use route::ServiceKey;
pub use route::Target;
