//! [`Route`]: where the requests under one prefix go, and how.

use std::time::Duration;

use smallvec::SmallVec;

/// A key for one service of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u16);

/// How a request may be repeated, and what its answer looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// Its answer is a stream of numbered events.
    Stream {
        /// Whether another run may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceKey,
    /// Its weight against the route's other targets.
    pub weight: u32,
}

/// Where the requests under one prefix go, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// How its requests may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that callers are promised.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub event_gap_max: Option<Duration>,
    /// Urgency; 0 goes first.
    pub priority: u8,
    /// Services that take its requests.
    pub targets: SmallVec<[Target; 2]>,
    /// Endpoints that one request may run on.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// The service for a request; `random` is spread evenly over all numbers.
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
