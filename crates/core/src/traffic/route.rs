//! [`Route`]: routing rule for the requests under one host and path prefix.

use std::time::Duration;

use smallvec::SmallVec;

/// Index of a service in its policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u16);

/// Retry semantics and response format of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another run can continue the stream after the last event that was sent.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run already may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service that receives the requests.
    pub service: ServiceKey,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// Routing rule for the requests under one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Retry semantics and response format.
    pub kind: RouteKind,
    /// Maximum time until the caller has the response.
    pub timeout: Duration,
    /// Latency objective: time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// Objective for the gap between two events of a stream; longer gaps count as late.
    pub event_gap_max: Option<Duration>,
    /// Time without an event after which callers give a stream up, also before its first event.
    pub first_event_patience: Option<Duration>,
    /// Priority; lower values are served first.
    pub priority: u8,
    /// Services among which the requests are split.
    pub targets: SmallVec<[Target; 2]>,
    /// Maximum number of endpoints on which one request may run.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

impl Route {
    /// Selects the service for a request by weight. `random` must be uniformly distributed over all
    /// values; `None` if all weights are 0.
    pub fn target(&self, random: u64) -> Option<ServiceKey> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remaining = random % total.max(1);
        for t in &self.targets {
            if remaining < u64::from(t.weight) {
                return Some(t.service);
            }
            remaining -= u64::from(t.weight);
        }
        None
    }
}
