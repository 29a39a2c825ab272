//! Request routing at an entry: endpoint selection, queueing and load shedding.

mod budget;
mod directory;
mod endpoint;
mod prefix;
mod queue;
mod selection;
mod service_router;

pub use budget::RetryBudget;
pub use directory::Directory;
pub use directory::ENDPOINT_LEASE;
pub use directory::MergeOutcome;
pub use endpoint::Announcement;
pub use endpoint::Endpoint;
pub use endpoint::EndpointKey;
pub use endpoint::InvalidAnnouncement;
pub use endpoint::Load;
pub use prefix::PrefixAffinity;
pub use queue::FairQueue;
pub use queue::Waiter;
pub use queue::WaiterKey;
pub use selection::SelectionCriteria;
pub use selection::SelectionPolicy;
pub use selection::select_endpoint;
pub use service_router::QueueOutcome;
pub use service_router::QueueOutcomes;
pub use service_router::RequestOutcome;
pub use service_router::RouteDecision;
pub use service_router::RouteRequest;
pub use service_router::ServiceRouter;
