//! [`DepartureLog`]: the departures that an instance has heard of, for the other instances to fetch.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crocustally_wire::DepartureList;
use crocustally_wire::EndpointBeat;
use crocustally_wire::ListDeparturesRequest;

/// Time for which a departure is passed on: half of the time for which registries keep it, so that one that
/// has expired at an instance does not come back from another.
const SHARE_TIME: Duration = Duration::from_secs(60);
/// Departures that are kept, the oldest of which give way: those of 600 endpoints, draining and gone.
const ENTRIES_MAX: usize = 2048;

/// Departures in the order in which this process has heard of them, numbered by revision.
#[derive(Debug)]
pub(crate) struct DepartureLog {
    /// Identity of this process, whose revisions begin at 0.
    run: u64,
    /// Revision after the newest entry.
    revision: u64,
    entries: VecDeque<Entry>,
}

#[derive(Debug)]
struct Entry {
    /// When the departure was announced.
    at: Instant,
    notice: EndpointBeat,
}

impl Default for DepartureLog {
    fn default() -> Self {
        Self { run: rand::random::<u64>(), revision: 0, entries: VecDeque::new() }
    }
}

impl DepartureLog {
    /// Adds a departure that was announced at `at`.
    pub(crate) fn push(&mut self, at: Instant, notice: EndpointBeat) {
        if self.entries.len() >= ENTRIES_MAX {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry { at, notice });
        self.revision += 1;
    }

    /// Removes entries that are no longer passed on.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_old = |e: &Entry| now.saturating_duration_since(e.at) >= SHARE_TIME;
        while self.entries.front().is_some_and(is_old) {
            self.entries.pop_front();
        }
    }

    /// The entries after the revision that the caller has, or all if that is of another process.
    pub(crate) fn since(&self, now: Instant, req: &ListDeparturesRequest) -> DepartureList {
        let known = if req.run == Some(self.run) { req.revision } else { 0 };
        let missing = usize::try_from(self.revision.saturating_sub(known)).unwrap_or(usize::MAX);
        let skipped = self.entries.len().saturating_sub(missing);
        let to_wire = |e: &Entry| {
            let age = now.saturating_duration_since(e.at).as_millis();
            EndpointBeat { age_ms: age.min(u128::from(u32::MAX)) as u32, ..e.notice.clone() }
        };
        let is_current = |e: &&Entry| now.saturating_duration_since(e.at) < SHARE_TIME;
        let endpoints = self.entries.iter().skip(skipped).filter(is_current).map(to_wire);
        DepartureList { run: self.run, revision: self.revision, endpoints: endpoints.collect() }
    }
}
