//! [`DataFolder`]: the one folder that a process may write, and its lock.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;

use crocustally_core::Code;
use crocustally_core::raft::ReplicaId;

/// A locked folder; the lock goes with the process.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Opens or makes the folder and locks it.
    pub fn open(path: &Path) -> Result<Self, Code> {
        fs::create_dir_all(path).map_err(|_| Code::DiskFailed)?;
        let lock = File::create(path.join("lock")).map_err(|_| Code::DiskFailed)?;
        lock.try_lock().map_err(|_| Code::FolderLocked)?;
        Ok(Self { path: path.to_owned(), _lock: lock })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The identity of this disk, made from `fresh` when there is none yet.
    pub fn identity(&self, fresh: impl FnOnce() -> u64) -> Result<ReplicaId, Code> {
        let file = self.path.join("identity");
        if let Ok(text) = fs::read_to_string(&file) {
            let id = text.trim().parse().map_err(|_| Code::LogDamaged)?;
            return Ok(ReplicaId(id));
        }
        let id = fresh().max(1);
        self.write_atomically("identity", id.to_string().as_bytes())?;
        Ok(ReplicaId(id))
    }

    /// Writes a file so that after a crash it is there whole or not at all.
    pub fn write_atomically(&self, name: &str, buf: &[u8]) -> Result<(), Code> {
        let failed = |_| Code::DiskFailed;
        let new = self.path.join(format!("{name}.new"));
        fs::write(&new, buf).map_err(failed)?;
        File::open(&new).and_then(|f| f.sync_all()).map_err(failed)?;
        fs::rename(&new, self.path.join(name)).map_err(failed)?;
        self.sync()
    }

    /// Syncs the folder itself, so that names in it last.
    pub fn sync(&self) -> Result<(), Code> {
        File::open(&self.path).and_then(|f| f.sync_all()).map_err(|_| Code::DiskFailed)
    }
}
