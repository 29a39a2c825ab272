//! [`Journal`]: the write-ahead log and the snapshot of one replica, on disk.

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

/// Size of the header of a frame: the length and the CRC-32 of its payload, 4 bytes each.
const FRAME_HEADER_BYTES: usize = 8;
/// File name of the log.
const LOG_FILE: &str = "log";
/// File name of the snapshot.
const SNAPSHOT_FILE: &str = "snapshot";

/// Error of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalError {
    /// Numbered code of the error.
    pub code: Code,
    /// File in which it occurred.
    pub file: PathBuf,
    /// Offset in the file at which it was detected, in bytes.
    pub offset: u64,
}

/// The state read from disk when a journal is opened.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Current term and vote.
    pub hard_state: HardState,
    /// Last recorded commit index.
    pub commit_index: u64,
    /// Snapshot and the log entries after it.
    pub log: Log,
    /// Size of the incomplete last write that was truncated, in bytes.
    pub torn_bytes: u64,
}

/// An append-only file of checksummed records, and one snapshot.
///
/// [`Journal::append`] returns only after the records are synced. A crash during a write leaves a
/// torn tail, which [`Journal::open`] truncates. A corrupt record with intact records after it
/// cannot come from a crash and fails the open, since truncation would drop synced records.
#[derive(Debug)]
pub struct Journal {
    folder: DataFolder,
    file: File,
    bytes: u64,
}

impl Journal {
    /// Opens the journal in a folder and recovers its state.
    ///
    /// # Errors
    ///
    /// [`Code::LogDamaged`] if the snapshot or a record before the torn tail is corrupt,
    /// [`Code::DiskFailed`] on I/O errors.
    pub fn open(folder: DataFolder) -> Result<(Self, Recovered), JournalError> {
        let snapshot = read_snapshot(&folder)?;
        let path = folder.path().join(LOG_FILE);
        let buf = read(&folder, LOG_FILE)?.unwrap_or_default();
        let mut recovered = Recovered::default();
        let mut entries: Vec<Entry> = Vec::new();
        let mut at = 0;
        while let Some((record, next)) = read_record(&buf, at) {
            replay(record, &mut recovered, &mut entries);
            at = next;
        }
        if intact_record_after(&buf, at) {
            let offset = at as u64;
            return Err(JournalError { code: Code::LogDamaged, file: path, offset });
        }
        recovered.torn_bytes = (buf.len() - at) as u64;
        recovered.log = Log::new(snapshot, entries);
        let disk_failed = |_| JournalError {
            code: Code::DiskFailed,
            file: folder.path().join(LOG_FILE),
            offset: 0,
        };
        let file = OpenOptions::new().create(true).append(true).open(&path).map_err(disk_failed)?;
        file.set_len(at as u64).map_err(disk_failed)?;
        file.sync_all().map_err(disk_failed)?;
        folder.sync().map_err(|_| disk_failed(std::io::Error::other("sync")))?;
        Ok((Self { folder, file, bytes: at as u64 }, recovered))
    }

    /// Appends records and makes them durable with a single sync.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`] on I/O errors.
    pub fn append(&mut self, records: Vec<Record>) -> Result<(), JournalError> {
        if records.is_empty() {
            return Ok(());
        }
        let buf = encode(records);
        self.file.write_all(&buf).map_err(|_| self.disk_failed())?;
        self.file.sync_data().map_err(|_| self.disk_failed())?;
        self.bytes += buf.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot and the log file by those of `log`.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`] on I/O errors.
    pub fn replace(
        &mut self,
        hard_state: HardState,
        commit_index: u64,
        log: &Log,
    ) -> Result<(), JournalError> {
        let buf = wire::Snapshot::from(log.snapshot().clone()).encode_to_vec();
        let mut framed = Vec::with_capacity(buf.len() + FRAME_HEADER_BYTES);
        frame(&mut framed, &buf);
        self.folder.write_atomically(SNAPSHOT_FILE, &framed).map_err(|_| self.disk_failed())?;
        let mut records = vec![Record::HardState(hard_state), Record::Commit(commit_index)];
        records.extend(log.entries().cloned().map(Record::Entry));
        let buf = encode(records);
        self.folder.write_atomically(LOG_FILE, &buf).map_err(|_| self.disk_failed())?;
        let path = self.folder.path().join(LOG_FILE);
        self.file = OpenOptions::new().append(true).open(path).map_err(|_| self.disk_failed())?;
        self.bytes = buf.len() as u64;
        Ok(())
    }

    /// Size of the log file in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn disk_failed(&self) -> JournalError {
        let file = self.folder.path().join(LOG_FILE);
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

fn read(folder: &DataFolder, name: &str) -> Result<Option<Vec<u8>>, JournalError> {
    let failed = |code| JournalError { code, file: folder.path().join(name), offset: 0 };
    folder.read(name).map_err(failed)
}

fn read_snapshot(folder: &DataFolder) -> Result<Snapshot, JournalError> {
    let file = folder.path().join(SNAPSHOT_FILE);
    let Some(buf) = read(folder, SNAPSHOT_FILE)? else { return Ok(Snapshot::default()) };
    let frame = unframe(&buf, 0).filter(|(_, next)| *next == buf.len());
    let decoded = frame.and_then(|(payload, _)| wire::Snapshot::decode(payload).ok());
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

/// Returns the payload of the frame at `at` and the offset after it, if its checksum matches.
fn unframe(buf: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let header = buf.get(at..at + FRAME_HEADER_BYTES)?;
    let len = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(header[4..].try_into().ok()?);
    if len == 0 || len > wire::MESSAGE_BYTES_MAX {
        return None;
    }
    let end = at + FRAME_HEADER_BYTES + len;
    let payload = buf.get(at + FRAME_HEADER_BYTES..end)?;
    (crc32fast::hash(payload) == crc).then_some((payload, end))
}

fn read_record(buf: &[u8], at: usize) -> Option<(Record, usize)> {
    let (payload, next) = unframe(buf, at)?;
    let record = wire::DiskRecord::decode(payload).ok()?;
    Some((Record::try_from(record).ok()?, next))
}

/// Whether an intact record follows the corrupt one at `bad`, which is then not a torn tail.
fn intact_record_after(buf: &[u8], bad: usize) -> bool {
    (bad + 1..buf.len()).any(|at| read_record(buf, at).is_some())
}
