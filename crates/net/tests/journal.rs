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
