//! [`Journal`]: the write-ahead log and the snapshot of one replica, on disk.

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
use crate::StorageFile;

/// Size of the header of a frame: the length and the CRC-32 of its payload, 4 bytes each.
const FRAME_HEADER_BYTES: usize = 8;
/// First bytes of a batch: no frame starts with them, since its length would exceed the maximum.
const BATCH_MARKER: [u8; 4] = *b"\xffBAT";
/// Size of the header of a batch: marker, length of the frames in it, number in the file (8 bytes),
/// and CRC-32 of number and frames; 4 bytes each but the number.
const BATCH_HEADER_BYTES: usize = 20;
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

/// An append-only file of numbered, checksummed batches of records, and one snapshot.
///
/// [`Journal::append`] writes one batch and returns only after it is synced, so at most the last
/// batch of a file is not. A loss of power may keep any part of that one. [`Journal::open`] drops
/// what is damaged in it, but fails if an intact later batch proves that the damaged one was synced.
///
/// After a failed write or sync it is unknown what is durable, and reading it back proves nothing:
/// the journal then refuses all changes, and `open` always writes what it has read to a new file.
#[derive(Debug)]
pub struct Journal {
    folder: DataFolder,
    /// The log; `None` after a failure.
    file: Option<Box<dyn StorageFile>>,
    bytes: u64,
    /// Number of the next batch in the file.
    next_batch: u64,
}

impl Journal {
    /// Opens the journal in a folder and recovers its state.
    ///
    /// # Errors
    ///
    /// [`Code::LogDamaged`] if the snapshot or a synced part of the log is corrupt,
    /// [`Code::DiskFailed`] on I/O errors.
    pub fn open(folder: DataFolder) -> Result<(Self, Recovered), JournalError> {
        let failed = |code, offset: usize| {
            let file = folder.path().join(LOG_FILE);
            JournalError { code, file, offset: offset as u64 }
        };
        folder.remove_unfinished(SNAPSHOT_FILE);
        folder.remove_unfinished(LOG_FILE);
        // A snapshot whose rename is not durable must not be lost once the log relies on it.
        folder.sync().map_err(|code| failed(code, 0))?;
        let snapshot = read_snapshot(&folder)?;
        let buf = read(&folder, LOG_FILE)?.unwrap_or_default();
        let contents = read_log(&buf).map_err(|at| failed(Code::LogDamaged, at))?;
        let mut recovered = Recovered::default();
        let mut entries: Vec<Entry> = Vec::new();
        for record in contents.records {
            replay(record, &mut recovered, &mut entries);
        }
        recovered.torn_bytes = (buf.len() - contents.end) as u64;
        recovered.log = join(snapshot, entries).ok_or_else(|| failed(Code::LogDamaged, 0))?;
        let mut journal = Self { folder, file: None, bytes: 0, next_batch: 0 };
        journal.write_log(recovered.hard_state, recovered.commit_index, &recovered.log)?;
        Ok((journal, recovered))
    }

    /// Appends records and makes them durable with a single sync.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`] on I/O errors, and always after one.
    pub fn append(&mut self, records: Vec<Record>) -> Result<(), JournalError> {
        if records.is_empty() {
            return Ok(());
        }
        let buf = batch(self.next_batch, &encode(records));
        let mut file = self.file.take().ok_or_else(|| self.disk_failed())?;
        if let Err(e) = file.write_all(&buf).and_then(|()| file.sync()) {
            log::error!("cannot write the log: {e}");
            return Err(self.disk_failed());
        }
        self.file = Some(file);
        self.bytes += buf.len() as u64;
        self.next_batch += 1;
        Ok(())
    }

    /// Replaces the snapshot and the log file by those of `log`.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`] on I/O errors, and always after one.
    pub fn replace(
        &mut self,
        hard_state: HardState,
        commit_index: u64,
        log: &Log,
    ) -> Result<(), JournalError> {
        self.file.take().ok_or_else(|| self.disk_failed())?;
        let buf = wire::Snapshot::from(log.snapshot().clone()).encode_to_vec();
        let mut framed = Vec::with_capacity(buf.len() + FRAME_HEADER_BYTES);
        frame(&mut framed, &buf);
        self.folder.write_atomically(SNAPSHOT_FILE, &framed).map_err(|_| self.disk_failed())?;
        self.write_log(hard_state, commit_index, log)
    }

    /// Writes the log to a new file, whose first batch is synced before the file gets its name.
    fn write_log(
        &mut self,
        hard_state: HardState,
        commit_index: u64,
        log: &Log,
    ) -> Result<(), JournalError> {
        let mut records = vec![Record::HardState(hard_state), Record::Commit(commit_index)];
        records.extend(log.entries().cloned().map(Record::Entry));
        let buf = batch(0, &encode(records));
        self.folder.write_atomically(LOG_FILE, &buf).map_err(|_| self.disk_failed())?;
        let file = self.folder.open_append(LOG_FILE).map_err(|_| self.disk_failed())?;
        self.file = Some(file);
        self.bytes = buf.len() as u64;
        self.next_batch = 1;
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

/// The log of the entries after the snapshot; `None` if some are missing in between.
///
/// A loss of power while both files are replaced may leave the log that the snapshot was to replace.
/// Its entries are dropped as a whole if they contradict the snapshot.
fn join(snapshot: Snapshot, mut entries: Vec<Entry>) -> Option<Log> {
    let last_covered = entries.iter().find(|e| e.index == snapshot.index);
    if last_covered.is_some_and(|e| e.term != snapshot.term) {
        entries.clear();
    }
    entries.retain(|e| e.index > snapshot.index);
    let complete = entries.iter().zip(snapshot.index + 1..).all(|(e, index)| e.index == index);
    complete.then(|| Log::new(snapshot, entries))
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

/// Reads the records from `at` up to the first damaged one, and returns the offset of that one.
fn read_records(buf: &[u8], mut at: usize, records: &mut Vec<Record>) -> usize {
    while let Some((record, next)) = read_record(buf, at) {
        records.push(record);
        at = next;
    }
    at
}

fn batch(number: u64, frames: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(BATCH_HEADER_BYTES + frames.len());
    out.extend_from_slice(&BATCH_MARKER);
    out.extend_from_slice(&(frames.len() as u32).to_le_bytes());
    out.extend_from_slice(&number.to_le_bytes());
    out.extend_from_slice(&batch_checksum(number, frames).to_le_bytes());
    out.extend_from_slice(frames);
    out
}

fn batch_checksum(number: u64, frames: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&number.to_le_bytes());
    hasher.update(frames);
    hasher.finalize()
}

/// Returns number and frames of the batch at `at` and the offset after it, if it is intact.
fn read_batch(buf: &[u8], at: usize) -> Option<(u64, &[u8], usize)> {
    let header = buf.get(at..)?.get(..BATCH_HEADER_BYTES)?;
    if !header.starts_with(&BATCH_MARKER) {
        return None;
    }
    let len = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let number = u64::from_le_bytes(header[8..16].try_into().ok()?);
    let crc = u32::from_le_bytes(header[16..].try_into().ok()?);
    let start = at + BATCH_HEADER_BYTES;
    let frames = buf.get(start..)?.get(..len)?;
    (batch_checksum(number, frames) == crc).then_some((number, frames, start + len))
}

/// What a log file holds.
struct LogContents {
    records: Vec<Record>,
    /// Offset after the last intact record.
    end: usize,
}

/// Reads a log file up to its torn tail; fails with the offset of a synced part that is damaged.
fn read_log(buf: &[u8]) -> Result<LogContents, usize> {
    let mut records = Vec::new();
    if !buf.starts_with(&BATCH_MARKER) {
        return read_unbatched(buf);
    }
    let (mut at, mut next_number) = (0, 0);
    while let Some((number, frames, next)) = read_batch(buf, at) {
        if number != next_number || read_records(frames, 0, &mut records) != frames.len() {
            return Err(at);
        }
        (at, next_number) = (next, next_number + 1);
    }
    // The first batch is synced before the file gets its name.
    if next_number == 0 || intact_batch_after(buf, at, next_number) {
        return Err(at);
    }
    if buf[at..].starts_with(&BATCH_MARKER) {
        let first = (at + BATCH_HEADER_BYTES).min(buf.len());
        let end = read_records(buf, first, &mut records);
        at = if end > first { end } else { at };
    }
    Ok(LogContents { records, end: at })
}

/// Whether an intact batch follows the damaged one at `bad`, which has therefore been synced.
fn intact_batch_after(buf: &[u8], bad: usize, bad_number: u64) -> bool {
    (bad + 1..buf.len())
        .any(|at| read_batch(buf, at).is_some_and(|(number, _, _)| number > bad_number))
}

/// Reads a log file of earlier versions, whose frames are not in batches.
fn read_unbatched(buf: &[u8]) -> Result<LogContents, usize> {
    let mut records = Vec::new();
    let end = read_records(buf, 0, &mut records);
    // An intact record after a damaged one shows that the file is not torn at its end.
    if (end + 1..buf.len()).any(|at| read_record(buf, at).is_some()) {
        return Err(end);
    }
    Ok(LogContents { records, end })
}
