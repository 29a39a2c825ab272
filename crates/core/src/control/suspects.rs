//! [`Suspects`]: requests that were in flight when an endpoint died.

use std::collections::BTreeMap;

use crocustally_wire::Death;
use crocustally_wire::SuspectState;

use crate::Digest;

/// Endpoints that one request may take down before it is refused everywhere.
pub const DEATHS_BEFORE_QUARANTINE: u32 = 2;

/// Suspects that are remembered; the oldest innocent-looking ones go first.
const SUSPECTS_KEPT: usize = 4096;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Suspect {
    deaths: u32,
    last: (String, u64),
}

/// Deaths counted against each request digest, replicated so that no entry has to learn it again.
///
/// Several entries report the same death; a death is named by its endpoint and engine start, and
/// counts once for each digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    by_digest: BTreeMap<Digest, Suspect>,
}

impl Suspects {
    /// Counts a death; answers the deaths so far of each digest named, in order.
    pub fn record_death(&mut self, death: &Death) -> Vec<u32> {
        let id = (death.endpoint.clone(), death.engine_start);
        death.digests.iter().map(|d| self.count(d, &id)).collect()
    }

    /// Forgets a suspect that ended whole, unless it is quarantined already.
    pub fn clear(&mut self, digest: &[u8]) {
        let Ok(digest) = Digest::try_from(digest) else { return };
        if self.deaths(digest) < DEATHS_BEFORE_QUARANTINE {
            self.by_digest.remove(&digest);
        }
    }

    /// Deaths counted against a digest.
    pub fn deaths(&self, digest: Digest) -> u32 {
        self.by_digest.get(&digest).map_or(0, |s| s.deaths)
    }

    /// Digests that are refused everywhere.
    pub fn quarantined(&self) -> Vec<Digest> {
        let bad = self.by_digest.iter().filter(|(_, s)| s.deaths >= DEATHS_BEFORE_QUARANTINE);
        bad.map(|(d, _)| *d).collect()
    }

    /// Everything, for a snapshot.
    pub fn export(&self) -> Vec<SuspectState> {
        let state = |(d, s): (&Digest, &Suspect)| SuspectState {
            digest: d.to_bytes(),
            deaths: s.deaths,
            last_endpoint: s.last.0.clone(),
            last_start: s.last.1,
        };
        self.by_digest.iter().map(state).collect()
    }

    /// The inverse of [`Suspects::export`].
    pub fn import(states: Vec<SuspectState>) -> Self {
        let mut out = Self::default();
        for s in states {
            let Ok(digest) = Digest::try_from(&s.digest[..]) else { continue };
            let suspect = Suspect { deaths: s.deaths, last: (s.last_endpoint, s.last_start) };
            out.by_digest.insert(digest, suspect);
        }
        out
    }

    fn count(&mut self, digest: &[u8], id: &(String, u64)) -> u32 {
        let Ok(digest) = Digest::try_from(digest) else { return 0 };
        if self.by_digest.len() >= SUSPECTS_KEPT && !self.by_digest.contains_key(&digest) {
            self.evict();
        }
        let s = self.by_digest.entry(digest).or_default();
        if s.last != *id {
            s.deaths += 1;
            s.last.clone_from(id);
        }
        s.deaths
    }

    fn evict(&mut self) {
        let least = self.by_digest.iter().min_by_key(|(_, s)| s.deaths).map(|(d, _)| *d);
        if let Some(digest) = least {
            self.by_digest.remove(&digest);
        }
    }
}
