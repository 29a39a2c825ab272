//! [`Log`]: in-memory log entries since the last snapshot.

use std::collections::VecDeque;

use super::Entry;
use super::Members;
use super::Payload;
use super::Snapshot;

/// Maximum number of entries in one append message.
const APPEND_ENTRIES_MAX: usize = 256;
/// Maximum command bytes in one append message; a larger first entry is still sent, on its own.
const APPEND_BYTES_MAX: usize = 256 * 1024;

/// The log entries after the last snapshot, together with that snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates a log from disk contents; entries that the snapshot covers are dropped.
    ///
    /// # Panics
    ///
    /// If the remaining entries do not follow the snapshot without a gap.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let first = snapshot.index + 1;
        let entries: VecDeque<Entry> = entries.into_iter().filter(|e| e.index >= first).collect();
        for (i, e) in entries.iter().enumerate() {
            assert_eq!(e.index, first + i as u64, "the log has a gap");
        }
        Self { snapshot, entries }
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.term, |e| e.term)
    }

    /// Term of the entry at `index`; `None` beyond the end of the log and below the snapshot's
    /// index.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// The entry at `index`, if it is in memory.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends an entry.
    ///
    /// # Panics
    ///
    /// If the entry's index does not follow the last one.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "the entry does not follow the last index");
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Entries from `index` on, up to the size limit of one append message.
    pub fn batch(&self, index: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let mut out = Vec::new();
        let mut next = index;
        while let Some(e) = self.get(next) {
            if let Payload::Command(buf) = &e.payload {
                bytes += buf.len();
            }
            if out.len() >= APPEND_ENTRIES_MAX || (bytes > APPEND_BYTES_MAX && !out.is_empty()) {
                break;
            }
            out.push(e.clone());
            next += 1;
        }
        out
    }

    /// Latest membership in the log, committed or not, and the index of the entry that set it.
    pub fn members(&self) -> (Members, u64) {
        for e in self.entries.iter().rev() {
            if let Payload::Members(m) = &e.payload {
                return (m.clone(), e.index);
            }
        }
        (self.snapshot.members.clone(), self.snapshot.index)
    }

    /// Membership as of the entry at `index`.
    pub fn members_at(&self, index: u64) -> Members {
        let up_to_index = self.entries.iter().rev().filter(|e| e.index <= index);
        let mut memberships = up_to_index.filter_map(|e| match &e.payload {
            Payload::Members(m) => Some(m.clone()),
            _ => None,
        });
        memberships.next().unwrap_or_else(|| self.snapshot.members.clone())
    }

    /// The snapshot that precedes the entries.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Replaces the entries up to the snapshot's index by the snapshot; drops the whole log if it
    /// does not match the snapshot at that index.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let matches = self.term(snapshot.index) == Some(snapshot.term);
        while matches && self.entries.front().is_some_and(|e| e.index <= snapshot.index) {
            self.entries.pop_front();
        }
        if !matches {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// Number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entries follow the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entries after the snapshot.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
