//! [`Journal`]: the write-ahead log and snapshot of one replica.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;

use crocustally_core::Code;
use crocustally_core::raft::Entry;
use crocustally_core::raft::HardState;
use crocustally_core::raft::Log;
use crocustally_core::raft::Record;
use crocustally_core::raft::Snapshot;
use crocustally_wire as wire;
use prost::Message;

use crate::DataFolder;

/// Bytes before each record: its length and its checksum.
const FRAME_BYTES: usize = 8;
/// Longest record; a longer length is damage.
const RECORD_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Name of the log.
const LOG: &str = "log";
/// Name of the snapshot.
const SNAPSHOT: &str = "snapshot";

/// Why a journal cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalError {
    /// Its numbered code.
    pub code: Code,
    /// File it concerns.
    pub file: PathBuf,
    /// Offset in bytes where it was noticed.
    pub offset: u64,
}

/// What was read from disk at start.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// Last commit index noted.
    pub commit_index: u64,
    /// Snapshot and entries.
    pub log: Log,
    /// Bytes of a torn last write that were cut off.
    pub torn_bytes: u64,
}

/// An append-only file of checksummed records beside one snapshot.
///
/// [`Journal::append`] returns only after the records are synced. After a crash a torn tail is cut
/// and nothing else; a damaged record with whole ones behind it stops the start.
#[derive(Debug)]
pub struct Journal {
    folder: DataFolder,
    file: File,
    bytes: u64,
}

impl Journal {
    /// Opens the journal of a folder and reads it.
    pub fn open(folder: DataFolder) -> Result<(Self, Recovered), JournalError> {
        let snapshot = read_snapshot(&folder)?;
        let path = folder.path().join(LOG);
        let buf = fs::read(&path).unwrap_or_default();
        let mut recovered = Recovered::default();
        let mut entries: Vec<Entry> = Vec::new();
        let mut at = 0;
        while let Some((record, next)) = read_record(&buf, at) {
            replay(record, &mut recovered, &mut entries);
            at = next;
        }
        if whole_record_after(&buf, at) {
            let offset = at as u64;
            return Err(JournalError { code: Code::LogDamaged, file: path, offset });
        }
        recovered.torn_bytes = (buf.len() - at) as u64;
        recovered.log = Log::new(snapshot, entries);
        let failed =
            |_| JournalError { code: Code::DiskFailed, file: folder.path().join(LOG), offset: 0 };
        let file = OpenOptions::new().create(true).append(true).open(&path).map_err(failed)?;
        file.set_len(at as u64).map_err(failed)?;
        file.sync_all().map_err(failed)?;
        folder.sync().map_err(|_| failed(std::io::Error::other("sync")))?;
        Ok((Self { folder, file, bytes: at as u64 }, recovered))
    }

    /// Writes records and syncs them, all with one sync.
    pub fn append(&mut self, records: Vec<Record>) -> Result<(), JournalError> {
        if records.is_empty() {
            return Ok(());
        }
        let buf = encode(records);
        self.file.write_all(&buf).map_err(|_| self.failed())?;
        self.file.sync_data().map_err(|_| self.failed())?;
        self.bytes += buf.len() as u64;
        Ok(())
    }

    /// Replaces everything by a snapshot and the log behind it.
    pub fn replace(&mut self, hard: HardState, commit: u64, log: &Log) -> Result<(), JournalError> {
        let buf = wire::Snapshot::from(log.snapshot().clone()).encode_to_vec();
        let mut framed = Vec::with_capacity(buf.len() + FRAME_BYTES);
        frame(&mut framed, &buf);
        self.folder.write_atomically(SNAPSHOT, &framed).map_err(|_| self.failed())?;
        let mut records = vec![Record::HardState(hard), Record::Commit(commit)];
        records.extend(log.entries().cloned().map(Record::Entry));
        let buf = encode(records);
        self.folder.write_atomically(LOG, &buf).map_err(|_| self.failed())?;
        let path = self.folder.path().join(LOG);
        self.file = OpenOptions::new().append(true).open(path).map_err(|_| self.failed())?;
        self.bytes = buf.len() as u64;
        Ok(())
    }

    /// Size of the log in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn failed(&self) -> JournalError {
        let file = self.folder.path().join(LOG);
        JournalError { code: Code::DiskFailed, file, offset: self.bytes }
    }
}

fn replay(record: Record, recovered: &mut Recovered, entries: &mut Vec<Entry>) {
    match record {
        Record::Entry(e) => entries.push(e),
        Record::TruncateFrom(index) => entries.retain(|e| e.index < index),
        Record::HardState(h) => recovered.hard_state = h,
        Record::Commit(index) => recovered.commit_index = index,
    }
}

fn read_snapshot(folder: &DataFolder) -> Result<Snapshot, JournalError> {
    let file = folder.path().join(SNAPSHOT);
    let Ok(buf) = fs::read(&file) else { return Ok(Snapshot::default()) };
    let whole = unframe(&buf, 0).filter(|(_, next)| *next == buf.len());
    let decoded = whole.and_then(|(payload, _)| wire::Snapshot::decode(payload).ok());
    let snapshot = decoded.and_then(|s| Snapshot::try_from(s).ok());
    snapshot.ok_or(JournalError { code: Code::LogDamaged, file, offset: 0 })
}

fn encode(records: Vec<Record>) -> Vec<u8> {
    let mut out = Vec::new();
    for record in records {
        frame(&mut out, &wire::DiskRecord::from(record).encode_to_vec());
    }
    out
}

fn frame(out: &mut Vec<u8>, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// The payload framed at `at` and the offset behind it, if its checksum holds.
fn unframe(buf: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let header = buf.get(at..at + FRAME_BYTES)?;
    let len = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(header[4..].try_into().ok()?);
    if len == 0 || len > RECORD_BYTES_MAX {
        return None;
    }
    let end = at + FRAME_BYTES + len;
    let payload = buf.get(at + FRAME_BYTES..end)?;
    (crc32fast::hash(payload) == crc).then_some((payload, end))
}

fn read_record(buf: &[u8], at: usize) -> Option<(Record, usize)> {
    let (payload, next) = unframe(buf, at)?;
    let record = wire::DiskRecord::decode(payload).ok()?;
    Some((Record::try_from(record).ok()?, next))
}

/// Whether a whole record stands anywhere behind a bad one: then it is damage, not a torn tail.
fn whole_record_after(buf: &[u8], bad: usize) -> bool {
    (bad + 1..buf.len()).any(|at| read_record(buf, at).is_some())
}
