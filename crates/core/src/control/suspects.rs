//! [`Suspects`]: requests that were in flight when an endpoint's engine died.

use std::collections::BTreeMap;

use crocustally_wire::Death;
use crocustally_wire::SuspectState;

use crate::Digest;

/// Number of deaths at which a request is quarantined, that is, refused by all entry instances.
pub const DEATHS_BEFORE_QUARANTINE: u32 = 2;

/// Maximum number of retained suspects; those with the fewest deaths are evicted first.
const SUSPECTS_RETAINED: usize = 4096;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Suspect {
    deaths: u32,
    /// Endpoint and engine start of the last counted death.
    last_death: (String, u64),
}

/// Death counts by request digest, replicated so that all entry instances share them.
///
/// Several entry instances may report the same death. A death is identified by its endpoint and
/// engine start; a report that repeats the last death counted for a digest is not counted again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    by_digest: BTreeMap<Digest, Suspect>,
}

impl Suspects {
    /// Counts a death for each of its digests and returns their death counts, in the same order.
    pub fn record_death(&mut self, death: &Death) -> Vec<u32> {
        let id = (death.endpoint.clone(), death.engine_start);
        death.digests.iter().map(|d| self.count_death(d, &id)).collect()
    }

    /// Removes a suspect whose request completed successfully, unless it is quarantined.
    pub fn clear(&mut self, digest: &[u8]) {
        let Ok(digest) = Digest::try_from(digest) else { return };
        if self.deaths(digest) < DEATHS_BEFORE_QUARANTINE {
            self.by_digest.remove(&digest);
        }
    }

    /// Death count of a request digest.
    pub fn deaths(&self, digest: Digest) -> u32 {
        self.by_digest.get(&digest).map_or(0, |s| s.deaths)
    }

    /// Digests of quarantined requests.
    pub fn quarantined(&self) -> Vec<Digest> {
        let quarantined =
            self.by_digest.iter().filter(|(_, s)| s.deaths >= DEATHS_BEFORE_QUARANTINE);
        quarantined.map(|(d, _)| *d).collect()
    }

    /// All suspects, for a snapshot.
    pub fn export(&self) -> Vec<SuspectState> {
        let state = |(d, s): (&Digest, &Suspect)| SuspectState {
            digest: d.to_bytes(),
            deaths: s.deaths,
            last_endpoint: s.last_death.0.clone(),
            last_start: s.last_death.1,
        };
        self.by_digest.iter().map(state).collect()
    }

    /// Restores suspects from the output of [`Suspects::export`]; skips malformed digests.
    pub fn import(states: Vec<SuspectState>) -> Self {
        let mut out = Self::default();
        for s in states {
            let Ok(digest) = Digest::try_from(&s.digest[..]) else { continue };
            let suspect = Suspect { deaths: s.deaths, last_death: (s.last_endpoint, s.last_start) };
            out.by_digest.insert(digest, suspect);
        }
        out
    }

    fn count_death(&mut self, digest: &[u8], id: &(String, u64)) -> u32 {
        let Ok(digest) = Digest::try_from(digest) else { return 0 };
        if self.by_digest.len() >= SUSPECTS_RETAINED && !self.by_digest.contains_key(&digest) {
            self.evict_one();
        }
        let s = self.by_digest.entry(digest).or_default();
        if s.last_death != *id {
            s.deaths += 1;
            s.last_death.clone_from(id);
        }
        s.deaths
    }

    fn evict_one(&mut self) {
        let fewest_deaths = self.by_digest.iter().min_by_key(|(_, s)| s.deaths).map(|(d, _)| *d);
        if let Some(digest) = fewest_deaths {
            self.by_digest.remove(&digest);
        }
    }
}
