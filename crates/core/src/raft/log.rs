//! [`Log`]: the entries in memory, after the last snapshot.

use std::collections::VecDeque;

use super::Entry;
use super::Members;
use super::Payload;
use super::Snapshot;

/// Entries carried by one append message.
const ENTRIES_PER_APPEND: usize = 256;
/// Command bytes carried by one append message, past its first entry.
const BYTES_PER_APPEND: usize = 256 * 1024;

/// The tail of the replicated log, with the snapshot that it follows.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

impl Log {
    /// The log that was read from disk.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let first = snapshot.index + 1;
        let entries: VecDeque<Entry> = entries.into_iter().filter(|e| e.index >= first).collect();
        for (i, e) in entries.iter().enumerate() {
            assert_eq!(e.index, first + i as u64, "a gap in the log");
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

    /// Term of the entry at `index`, if it is still known.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "an entry out of order");
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Entries from `index` on, as many as one message carries.
    pub fn batch(&self, index: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let mut out = Vec::new();
        let mut at = index;
        while let Some(e) = self.get(at) {
            if let Payload::Command(buf) = &e.payload {
                bytes += buf.len();
            }
            if out.len() >= ENTRIES_PER_APPEND || (bytes > BYTES_PER_APPEND && !out.is_empty()) {
                break;
            }
            out.push(e.clone());
            at += 1;
        }
        out
    }

    /// Members after the whole log, committed or not, and the index that set them.
    pub fn members(&self) -> (Members, u64) {
        for e in self.entries.iter().rev() {
            if let Payload::Members(m) = &e.payload {
                return (m.clone(), e.index);
            }
        }
        (self.snapshot.members.clone(), self.snapshot.index)
    }

    /// Members after the entry at `index`.
    pub fn members_at(&self, index: u64) -> Members {
        let before = self.entries.iter().rev().filter(|e| e.index <= index);
        let mut named = before.filter_map(|e| match &e.payload {
            Payload::Members(m) => Some(m.clone()),
            _ => None,
        });
        named.next().unwrap_or_else(|| self.snapshot.members.clone())
    }

    /// The snapshot that the entries follow.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Replaces the entries up to the snapshot's index by the snapshot.
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

    /// Whether there is nothing after the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entries after the snapshot.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
