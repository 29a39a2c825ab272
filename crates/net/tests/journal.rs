//! Recovery of the journal after crashes and corruption.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::raft::Entry;
use crocustally_core::raft::HardState;
use crocustally_core::raft::Payload;
use crocustally_core::raft::Record;
use crocustally_core::raft::ReplicaId;
use crocustally_net::DataFolder;
use crocustally_net::Journal;
use crocustally_wire::DiskRecord;
use prost::Message;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("journal-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    fn open(&self) -> Result<(Journal, crocustally_net::Recovered), crocustally_net::JournalError> {
        Journal::open(DataFolder::open(&self.0).unwrap())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn entry_record(index: u64) -> Record {
    let payload = Payload::Command(Bytes::from(format!("command {index}")));
    Record::Entry(Entry { index, term: 1, payload })
}

/// Writes three entries and a commit record, closes the journal and returns the path of the log.
fn write_log(f: &Folder) -> PathBuf {
    let (mut journal, _) = f.open().unwrap();
    let hard = HardState { term: 1, voted_for: Some(ReplicaId(7)) };
    journal.append(vec![Record::HardState(hard), entry_record(1), entry_record(2)]).unwrap();
    journal.append(vec![entry_record(3), Record::Commit(2)]).unwrap();
    f.0.join("log")
}

fn truncate_by(path: &Path, bytes: usize) {
    let buf = fs::read(path).unwrap();
    fs::write(path, &buf[..buf.len() - bytes]).unwrap();
}

#[test]
fn appended_records_are_recovered() {
    let f = Folder::new("read");
    write_log(&f);
    let (_, r) = f.open().unwrap();
    assert_eq!((r.log.last_index(), r.commit_index, r.torn_bytes), (3, 2, 0));
    assert_eq!(r.hard_state, HardState { term: 1, voted_for: Some(ReplicaId(7)) });
}

#[test]
fn torn_tail_is_truncated_without_loss_of_intact_records() {
    for bytes in 1..10 {
        let f = Folder::new(&format!("torn{bytes}"));
        let path = write_log(&f);
        truncate_by(&path, bytes);
        let (mut journal, r) = f.open().unwrap();
        // The truncation damages only the last record, the commit index, which takes 10 bytes.
        assert_eq!((r.log.last_index(), r.commit_index), (3, 0), "{bytes} bytes");
        assert!(r.torn_bytes > 0);
        journal.append(vec![entry_record(4)]).unwrap();
        drop(journal);
        assert_eq!(f.open().unwrap().1.log.last_index(), 4);
    }
}

#[test]
fn corrupt_record_before_intact_ones_fails_open_and_names_file() {
    let f = Folder::new("damage");
    let path = write_log(&f);
    let mut buf = fs::read(&path).unwrap();
    buf[20] ^= 0x40;
    fs::write(&path, buf).unwrap();
    let e = f.open().unwrap_err();
    assert_eq!((e.code, e.file), (Code::LogDamaged, path));
}

#[test]
fn corrupt_snapshot_fails_open() {
    let f = Folder::new("snapshot");
    write_log(&f);
    let (mut journal, mut r) = f.open().unwrap();
    let s = crocustally_core::raft::Snapshot {
        index: 2,
        term: 1,
        state: Bytes::from_static(b"state"),
        ..Default::default()
    };
    r.log.compact(s.clone());
    journal.replace(r.hard_state, 2, &r.log).unwrap();
    drop(journal);
    let (_, recovered) = f.open().unwrap();
    assert_eq!((recovered.log.snapshot(), recovered.log.last_index()), (&s, 3));
    let path = f.0.join("snapshot");
    let mut buf = fs::read(&path).unwrap();
    let last = buf.len() - 1;
    buf[last] ^= 1;
    fs::write(&path, buf).unwrap();
    assert_eq!(f.open().unwrap_err().code, Code::LogDamaged);
}

#[test]
fn locked_folder_cannot_be_opened_again() {
    let f = Folder::new("lock");
    let _open = DataFolder::open(&f.0).unwrap();
    assert_eq!(DataFolder::open(&f.0).unwrap_err(), Code::FolderLocked);
}

/// Guards against a log, a snapshot or an identity that cannot be read and counts as absent: the log
/// was cut to nothing, and the replica took another identity.
#[test]
fn unreadable_files_fail_open() {
    for name in ["log", "snapshot"] {
        let f = Folder::new(&format!("unreadable-{name}"));
        let path = write_log(&f);
        // A folder in the place of a file is found and cannot be read, for any user.
        fs::rename(&path, f.0.join("log.kept")).unwrap();
        fs::create_dir(f.0.join(name)).unwrap();
        let e = f.open().unwrap_err();
        assert_eq!((e.code, e.file), (Code::DiskFailed, f.0.join(name)));
    }
    let f = Folder::new("unreadable-identity");
    fs::create_dir_all(f.0.join("identity")).unwrap();
    let folder = DataFolder::open(&f.0).unwrap();
    let generated = std::cell::Cell::new(false);
    let identity = folder.identity(|| {
        generated.set(true);
        1
    });
    assert_eq!(identity, Err(Code::DiskFailed));
    assert!(!generated.get(), "a new identity was made up for a disk that has one");
}

/// Guards against a log that no longer opens after a loss of power: of a large append that was not
/// synced the disk had kept a later page, but not the first one.
#[test]
fn unsynced_append_without_its_first_page_is_a_torn_tail() {
    let f = Folder::new("first-page");
    let path = write_log(&f);
    let (mut journal, _) = f.open().unwrap();
    let synced = fs::read(&path).unwrap().len();
    journal.append((4..1000).map(entry_record).collect()).unwrap();
    drop(journal);
    let mut buf = fs::read(&path).unwrap();
    assert!(buf.len() > 3 * 4096);
    buf[synced..4096].fill(0);
    fs::write(&path, buf).unwrap();
    let (_, r) = f.open().unwrap();
    assert_eq!((r.log.last_index(), r.commit_index), (3, 2));
}

/// Guards against damage to synced records that is taken for a torn tail, wherever it is.
#[test]
fn any_damage_before_the_last_append_fails_open() {
    let f = Folder::new("any-damage");
    let path = write_log(&f);
    let (mut journal, _) = f.open().unwrap();
    journal.append(vec![entry_record(4), entry_record(5)]).unwrap();
    let synced = fs::read(&path).unwrap().len();
    journal.append(vec![entry_record(6)]).unwrap();
    drop(journal);
    let intact = fs::read(&path).unwrap();
    for at in 0..synced {
        let mut buf = intact.clone();
        buf[at] ^= 0x10;
        fs::write(&path, &buf).unwrap();
        assert_eq!(f.open().unwrap_err().code, Code::LogDamaged, "byte {at}");
        assert_eq!(fs::read(&path).unwrap(), buf, "the damaged log was changed");
    }
}

/// Writes the log of [`write_log`] in the format of earlier versions, one frame a record.
fn write_earlier_log(f: &Folder) -> PathBuf {
    let hard = HardState { term: 1, voted_for: Some(ReplicaId(7)) };
    let entries = (1..=3).map(entry_record);
    let records = [Record::HardState(hard)].into_iter().chain(entries).chain([Record::Commit(2)]);
    let mut buf = Vec::new();
    for r in records {
        let payload = DiskRecord::from(r).encode_to_vec();
        buf.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        buf.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        buf.extend_from_slice(&payload);
    }
    fs::create_dir_all(&f.0).unwrap();
    fs::write(f.0.join("log"), buf).unwrap();
    f.0.join("log")
}

/// Guards against an update that cannot read the logs of earlier versions, or that cuts damaged ones.
#[test]
fn logs_of_earlier_versions_are_read() {
    let f = Folder::new("earlier");
    let path = write_earlier_log(&f);
    for _ in 0..2 {
        let (_, r) = f.open().unwrap();
        assert_eq!((r.log.last_index(), r.commit_index, r.torn_bytes), (3, 2, 0));
        assert_eq!(r.hard_state, HardState { term: 1, voted_for: Some(ReplicaId(7)) });
    }
    write_earlier_log(&f);
    truncate_by(&path, 3);
    let (_, r) = f.open().unwrap();
    assert_eq!((r.log.last_index(), r.commit_index), (3, 0));
    write_earlier_log(&f);
    let mut buf = fs::read(&path).unwrap();
    buf[20] ^= 0x40;
    fs::write(&path, buf).unwrap();
    assert_eq!(f.open().unwrap_err().code, Code::LogDamaged);
}

/// Guards against unfinished files that take the room of a full disk.
#[test]
fn unfinished_files_are_removed() {
    let f = Folder::new("unfinished");
    write_log(&f);
    for name in ["log.new", "snapshot.new", "identity.new"] {
        fs::write(f.0.join(name), b"unfinished").unwrap();
    }
    let folder = DataFolder::open(&f.0).unwrap();
    folder.identity(|| 7).unwrap();
    Journal::open(folder).unwrap();
    let names = fs::read_dir(&f.0).unwrap().map(|e| e.unwrap().file_name());
    let mut names: Vec<String> = names.map(|n| n.into_string().unwrap()).collect();
    names.sort();
    assert_eq!(names, ["identity", "lock", "log"]);
}
