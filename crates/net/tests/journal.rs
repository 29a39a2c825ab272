//! The journal after crashes and damage.
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

fn entry(index: u64) -> Record {
    let payload = Payload::Command(Bytes::from(format!("command {index}")));
    Record::Entry(Entry { index, term: 1, payload })
}

fn written(f: &Folder) -> PathBuf {
    let (mut journal, _) = f.open().unwrap();
    let hard = HardState { term: 1, voted_for: Some(ReplicaId(7)) };
    journal.append(vec![Record::HardState(hard), entry(1), entry(2)]).unwrap();
    journal.append(vec![entry(3), Record::Commit(2)]).unwrap();
    f.0.join("log")
}

fn cut(path: &Path, bytes: usize) {
    let buf = fs::read(path).unwrap();
    fs::write(path, &buf[..buf.len() - bytes]).unwrap();
}

#[test]
fn what_was_appended_is_read_back() {
    let f = Folder::new("read");
    written(&f);
    let (_, r) = f.open().unwrap();
    assert_eq!((r.log.last_index(), r.commit_index, r.torn_bytes), (3, 2, 0));
    assert_eq!(r.hard_state, HardState { term: 1, voted_for: Some(ReplicaId(7)) });
}

#[test]
fn a_torn_tail_is_cut_at_every_length_and_nothing_else() {
    for bytes in 1..10 {
        let f = Folder::new(&format!("torn{bytes}"));
        let path = written(&f);
        cut(&path, bytes);
        let (mut journal, r) = f.open().unwrap();
        // The last record, the commit note of 10 bytes, is torn; the entries are whole.
        assert_eq!((r.log.last_index(), r.commit_index), (3, 0), "{bytes} bytes");
        assert!(r.torn_bytes > 0);
        journal.append(vec![entry(4)]).unwrap();
        drop(journal);
        assert_eq!(f.open().unwrap().1.log.last_index(), 4);
    }
}

#[test]
fn a_damaged_middle_record_stops_the_start_and_names_the_file() {
    let f = Folder::new("damage");
    let path = written(&f);
    let mut buf = fs::read(&path).unwrap();
    buf[20] ^= 0x40;
    fs::write(&path, buf).unwrap();
    let e = f.open().unwrap_err();
    assert_eq!((e.code, e.file), (Code::LogDamaged, path));
}

#[test]
fn a_damaged_snapshot_stops_the_start() {
    let f = Folder::new("snapshot");
    written(&f);
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
    let (_, again) = f.open().unwrap();
    assert_eq!((again.log.snapshot(), again.log.last_index()), (&s, 3));
    let path = f.0.join("snapshot");
    let mut buf = fs::read(&path).unwrap();
    let last = buf.len() - 1;
    buf[last] ^= 1;
    fs::write(&path, buf).unwrap();
    assert_eq!(f.open().unwrap_err().code, Code::LogDamaged);
}

#[test]
fn a_folder_in_use_is_refused() {
    let f = Folder::new("lock");
    let _first = DataFolder::open(&f.0).unwrap();
    assert_eq!(DataFolder::open(&f.0).unwrap_err(), Code::FolderLocked);
}
