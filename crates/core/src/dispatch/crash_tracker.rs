//! [`CrashTracker`]: quarantine of requests that crash the endpoints they run on.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use crate::Digest;

/// Crashes after which a request is quarantined. A single crash may be a coincidence, and during the
/// failure of a whole failure domain so may a second one.
pub const CRASHES_BEFORE_QUARANTINE: usize = 3;
/// A request is dropped from the tracker after this time without a crash.
const SUSPECT_TTL: Duration = Duration::from_secs(120);
/// Maximum number of tracked requests; the one with the oldest crash is evicted first.
const SUSPECTS_MAX: usize = 4096;
/// Starts of one endpoint that are told apart for each request, several times as many as a quarantine takes.
const STARTS_MAX: usize = 64;

/// Starts of an endpoint that have crashed; empty if no report has named one.
type CrashedStarts = SmallVec<[u64; 2]>;

#[derive(Clone, Debug)]
struct Suspect {
    by_endpoint: HashMap<String, CrashedStarts>,
    last_crash: Instant,
}

impl Suspect {
    fn crash_count(&self) -> usize {
        self.by_endpoint.values().map(|starts| starts.len().max(1)).sum()
    }
}

/// Counts the endpoints that crashed while they ran a request. Requests are identified by a digest that is
/// the same when a caller repeats the request.
///
/// A crash is identified by the start of its endpoint: one that starts again under its id may crash again,
/// and several gateways may report the same crash. Reports of an earlier release name no start; all of
/// them on one endpoint count as one crash, which a report with a start may turn out to be.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    by_digest: HashMap<Digest, Suspect>,
}

impl CrashTracker {
    /// Records that the start `born_ms` of an endpoint crashed while it ran a request; returns false if the
    /// crash was recorded before.
    pub fn record_crash(
        &mut self,
        now: Instant,
        digest: Digest,
        endpoint: &str,
        born_ms: Option<u64>,
    ) -> bool {
        self.by_digest.retain(|_, s| now.saturating_duration_since(s.last_crash) < SUSPECT_TTL);
        if self.by_digest.len() >= SUSPECTS_MAX
            && !self.by_digest.contains_key(&digest)
            && let Some(oldest) =
                self.by_digest.iter().min_by_key(|(_, s)| s.last_crash).map(|(d, _)| *d)
        {
            self.by_digest.remove(&oldest);
        }
        let fresh = || Suspect { by_endpoint: HashMap::new(), last_crash: now };
        let suspect = self.by_digest.entry(digest).or_insert_with(fresh);
        suspect.last_crash = now;
        let before = suspect.crash_count();
        let starts = suspect.by_endpoint.entry(endpoint.to_owned()).or_default();
        if let Some(born_ms) = born_ms
            && starts.len() < STARTS_MAX
            && !starts.contains(&born_ms)
        {
            starts.push(born_ms);
        }
        suspect.crash_count() > before
    }

    /// Whether the request has caused [`CRASHES_BEFORE_QUARANTINE`] crashes and must be refused.
    pub fn is_quarantined(&self, digest: Digest) -> bool {
        self.crash_count(digest) >= CRASHES_BEFORE_QUARANTINE
    }

    /// Number of crashes of endpoints that ran the request.
    pub fn crash_count(&self, digest: Digest) -> usize {
        self.by_digest.get(&digest).map_or(0, Suspect::crash_count)
    }
}
