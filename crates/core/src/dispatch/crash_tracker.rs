//! [`CrashTracker`]: requests under which endpoints have died.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::Digest;

/// Endpoints that one request may take down before it is refused: the first death may be a
/// coincidence, and so may the second while a whole domain fails.
pub const CRASHES_MAX: usize = 3;
/// A request is forgotten after this long without a death.
const SUSPECT_TTL: Duration = Duration::from_secs(120);
/// Requests that are remembered; the one longest without a death goes first.
const SUSPECTS_MAX: usize = 4096;

#[derive(Clone, Debug)]
struct Suspect {
    endpoints: HashSet<String>,
    last_crash: Instant,
}

/// Counts the endpoints that died under each request, by the digest of what a caller sends again.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    by_digest: HashMap<Digest, Suspect>,
}

impl CrashTracker {
    /// Notes that an endpoint died under a request; false when that is known already.
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

    /// Whether a request is refused everywhere.
    pub fn is_quarantined(&self, digest: Digest) -> bool {
        self.by_digest.get(&digest).is_some_and(|s| s.endpoints.len() >= CRASHES_MAX)
    }

    /// Endpoints that died under a request.
    pub fn crash_count(&self, digest: Digest) -> usize {
        self.by_digest.get(&digest).map_or(0, |s| s.endpoints.len())
    }
}
