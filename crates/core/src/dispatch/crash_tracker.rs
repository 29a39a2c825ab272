//! [`CrashTracker`]: quarantine of requests that crash the endpoints they run on.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::Digest;

/// Crashed endpoints after which a request is quarantined. A single crash may be a coincidence, and
/// during the failure of a whole failure domain so may a second one.
pub const CRASHES_BEFORE_QUARANTINE: usize = 3;
/// A request is dropped from the tracker after this time without a crash.
const SUSPECT_TTL: Duration = Duration::from_secs(120);
/// Maximum number of tracked requests; the one with the oldest crash is evicted first.
const SUSPECTS_MAX: usize = 4096;

#[derive(Clone, Debug)]
struct Suspect {
    endpoints: HashSet<String>,
    last_crash: Instant,
}

/// Counts the distinct endpoints that crashed while they ran a request. Requests are identified by
/// a digest that is the same when a caller repeats the request.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    by_digest: HashMap<Digest, Suspect>,
}

impl CrashTracker {
    /// Records that an endpoint crashed while it ran a request; returns false if this pair was
    /// recorded before.
    pub fn record_crash(&mut self, now: Instant, digest: Digest, endpoint: &str) -> bool {
        self.by_digest.retain(|_, s| now.saturating_duration_since(s.last_crash) < SUSPECT_TTL);
        if self.by_digest.len() >= SUSPECTS_MAX
            && let Some(oldest) =
                self.by_digest.iter().min_by_key(|(_, s)| s.last_crash).map(|(d, _)| *d)
        {
            self.by_digest.remove(&oldest);
        }
        let fresh = || Suspect { endpoints: HashSet::new(), last_crash: now };
        let suspect = self.by_digest.entry(digest).or_insert_with(fresh);
        suspect.last_crash = now;
        suspect.endpoints.insert(endpoint.to_owned())
    }

    /// Whether the request has crashed [`CRASHES_BEFORE_QUARANTINE`] endpoints and must be refused.
    pub fn is_quarantined(&self, digest: Digest) -> bool {
        self.by_digest.get(&digest).is_some_and(|s| s.endpoints.len() >= CRASHES_BEFORE_QUARANTINE)
    }

    /// Number of distinct endpoints that crashed while they ran the request.
    pub fn crash_count(&self, digest: Digest) -> usize {
        self.by_digest.get(&digest).map_or(0, |s| s.endpoints.len())
    }
}
