//! What the journal and the identity keep when the power fails, a sync fails or the disk is full, at
//! any operation and again during the recovery, on a simulated disk.
//!
//! `POWER_LOSS_SEEDS=0..20000` selects other seeds.
#![allow(clippy::unwrap_used)]

mod sim_disk;

use std::fmt;
use std::fmt::Debug;
use std::fmt::Formatter;
use std::ops::Range;
use std::panic;
use std::path::Path;

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::raft::Entry;
use crocustally_core::raft::HardState;
use crocustally_core::raft::Log;
use crocustally_core::raft::Payload;
use crocustally_core::raft::Record;
use crocustally_core::raft::ReplicaId;
use crocustally_core::raft::Snapshot;
use crocustally_net::DataFolder;
use crocustally_net::Journal;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sim_disk::Fault;
use sim_disk::SimDisk;

/// Number of faults in the run of a seed.
const FAULTS: usize = 6;
/// Upper bound of the operations before a fault.
const OPERATIONS_MAX: usize = 40;
/// Upper bound of the size of a command, in bytes; several pages.
const COMMAND_BYTES_MAX: usize = 12_000;

/// What a journal holds.
#[derive(Clone, Default)]
struct Content {
    hard_state: HardState,
    commit_index: u64,
    log: Log,
}

impl Content {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Entry(e) => self.log.push(e),
            Record::TruncateFrom(index) => self.log.truncate_from(index),
            Record::HardState(h) => self.hard_state = h,
            Record::Commit(index) => self.commit_index = index,
        }
    }
}

impl Debug for Content {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (hard, snapshot) = (self.hard_state, self.log.snapshot());
        let entries: Vec<_> = self.log.entries().map(|e| (e.index, e.term)).collect();
        write!(f, "term {}, commit {}, ", hard.term, self.commit_index)?;
        write!(f, "snapshot {:?}, entries {entries:?}", (snapshot.index, snapshot.term))
    }
}

impl PartialEq for Content {
    fn eq(&self, other: &Self) -> bool {
        self.hard_state == other.hard_state
            && self.commit_index == other.commit_index
            && self.log.snapshot() == other.log.snapshot()
            && self.log.entries().eq(other.log.entries())
    }
}

/// One journal on a simulated disk, and what it may hold after the next start.
struct Run {
    disk: SimDisk,
    rng: StdRng,
    identity: Option<ReplicaId>,
    /// Content as of the last operation that returned.
    content: Content,
    /// Further contents that an operation without success may have left.
    possible: Vec<Content>,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            disk: SimDisk::new(seed),
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            identity: None,
            content: Content::default(),
            possible: Vec::new(),
        }
    }

    fn open(&mut self) -> Result<Journal, Code> {
        let folder = DataFolder::with_storage(Path::new("simulated"), Box::new(self.disk.clone()));
        let generated = self.rng.random();
        let identity = folder.identity(|| generated)?;
        assert_eq!(identity, *self.identity.get_or_insert(identity), "the identity has changed");
        let (journal, r) = Journal::open(folder).map_err(|e| e.code)?;
        // A replica takes the entries of its snapshot for committed.
        let commit_index = r.commit_index.max(r.log.snapshot().index);
        let found = Content { hard_state: r.hard_state, commit_index, log: r.log };
        let known = found == self.content || self.possible.contains(&found);
        assert!(known, "found {found:?}; acknowledged {:?}", self.content);
        assert!(found.commit_index <= found.log.last_index(), "more committed than stored");
        self.content = found;
        self.possible.clear();
        Ok(journal)
    }

    /// Opens the journal, with up to two further faults on the way.
    fn recover(&mut self) -> Journal {
        for _ in 0..2 {
            let after = self.rng.random_range(0..16);
            let fault = self.random_fault();
            self.disk.set_fault(after, fault);
            match self.open() {
                Ok(journal) if self.rng.random() => {
                    self.disk.clear_fault();
                    return journal;
                }
                Ok(_) => {}
                Err(code) => assert_eq!(code, Code::DiskFailed, "after {fault:?}"),
            }
            self.restart();
        }
        let opened = self.open();
        opened.unwrap_or_else(|code| panic!("the journal does not open: {code:?}"))
    }

    /// Ends the process, with or without a loss of power.
    fn restart(&mut self) {
        if self.disk.is_powerless() || self.rng.random() {
            self.disk.restart();
        }
        self.disk.clear_fault();
    }

    fn random_fault(&mut self) -> Fault {
        match self.rng.random_range(0..4) {
            0 => Fault::Error,
            1 => Fault::Full,
            _ => Fault::PowerLoss,
        }
    }

    /// Changes the journal until an operation fails.
    fn write_until_fault(&mut self, journal: &mut Journal) {
        loop {
            let failed = match self.rng.random_range(0..8) {
                0 => self.compact(journal),
                1 => self.install(journal),
                _ => self.append(journal),
            };
            if failed {
                return;
            }
        }
    }

    fn append(&mut self, journal: &mut Journal) -> bool {
        let mut next = self.content.clone();
        let mut records = Vec::new();
        if self.rng.random_range(0..4) == 0 {
            let term = next.hard_state.term + 1;
            let voted_for = self.rng.random::<bool>().then_some(ReplicaId(self.rng.random()));
            records.push(Record::HardState(HardState { term, voted_for }));
        }
        let last = next.log.last_index();
        if last > next.commit_index && self.rng.random_range(0..4) == 0 {
            records.push(Record::TruncateFrom(self.rng.random_range(next.commit_index + 1..=last)));
        }
        for r in &records {
            next.apply(r.clone());
        }
        for _ in 0..self.rng.random_range(1..5) {
            let (index, term) = (next.log.last_index() + 1, next.hard_state.term);
            let record = Record::Entry(Entry { index, term, payload: self.command() });
            next.apply(record.clone());
            records.push(record);
        }
        if self.rng.random_range(0..3) == 0 {
            let commit = self.rng.random_range(next.commit_index..=next.log.last_index());
            next.apply(Record::Commit(commit));
            records.push(Record::Commit(commit));
        }
        let mut partial = self.content.clone();
        for r in &records {
            partial.apply(r.clone());
            self.possible.push(partial.clone());
        }
        let result = journal.append(records);
        self.finish(next, result.is_ok())
    }

    /// Replaces the entries up to the commit index by a snapshot.
    fn compact(&mut self, journal: &mut Journal) -> bool {
        let index = self.content.commit_index;
        let term = self.content.log.term(index).unwrap_or_default();
        self.replace(journal, index, term, self.content.hard_state)
    }

    /// Installs the snapshot of a leader, which may contradict the entries that are not committed.
    fn install(&mut self, journal: &mut Journal) -> bool {
        let mut hard_state = self.content.hard_state;
        hard_state.term += 1;
        let last = self.content.log.last_index();
        let index = self.rng.random_range(self.content.commit_index + 1..=last + 4);
        let same = self.content.log.term(index).filter(|_| self.rng.random());
        self.replace(journal, index, same.unwrap_or(hard_state.term), hard_state)
    }

    fn replace(
        &mut self,
        journal: &mut Journal,
        index: u64,
        term: u64,
        hard_state: HardState,
    ) -> bool {
        let Payload::Command(state) = self.command() else { return false };
        let snapshot = Snapshot { index, term, state, ..Snapshot::default() };
        // Of a replacement that was interrupted, the snapshot may be in force before the rest.
        let mut between = self.content.clone();
        between.log.compact(snapshot);
        between.commit_index = between.commit_index.max(index);
        let next = Content { hard_state, ..between.clone() };
        self.possible.extend([between, next.clone()]);
        let result = journal.replace(hard_state, next.commit_index, &next.log);
        self.finish(next, result.is_ok())
    }

    fn finish(&mut self, next: Content, succeeded: bool) -> bool {
        if succeeded {
            self.content = next;
            self.possible.clear();
        }
        !succeeded
    }

    fn command(&mut self) -> Payload {
        let mut buf = vec![0; self.rng.random_range(1..COMMAND_BYTES_MAX)];
        self.rng.fill(&mut buf[..]);
        Payload::Command(Bytes::from(buf))
    }
}

fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("POWER_LOSS_SEEDS") else { return default };
    let (from, to) = text.split_once("..").unwrap();
    from.parse().unwrap()..to.parse().unwrap()
}

/// Guards against a log that loses what was acknowledged, or does not open again, after a loss of
/// power, a failed sync or a full disk at any point.
#[test]
fn what_was_synced_outlives_any_fault() {
    let seeds = seeds(0..600);
    let fails = |seed: &u64| panic::catch_unwind(|| play(*seed)).is_err();
    let failed: Vec<u64> = seeds.clone().filter(fails).collect();
    assert!(failed.is_empty(), "{} of seeds {seeds:?} failed: {failed:?}", failed.len());
}

fn play(seed: u64) {
    println!("seed {seed}");
    let mut run = Run::new(seed);
    for _ in 0..FAULTS {
        let mut journal = run.recover();
        let after = run.rng.random_range(0..OPERATIONS_MAX);
        let fault = run.random_fault();
        run.disk.set_fault(after, fault);
        run.write_until_fault(&mut journal);
        drop(journal);
        run.restart();
    }
    run.recover();
}
