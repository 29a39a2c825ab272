//! [`DataFolder`]: the locked folder in which a process stores its data.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;

use crocustally_core::Code;
use crocustally_core::raft::ReplicaId;

/// A folder that one process at a time has open; the lock is released when the process exits.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Opens the folder, creates it if it is missing, and locks it.
    ///
    /// # Errors
    ///
    /// [`Code::FolderLocked`] if another process has it open, [`Code::DiskFailed`] on I/O errors.
    pub fn open(path: &Path) -> Result<Self, Code> {
        fs::create_dir_all(path).map_err(|_| Code::DiskFailed)?;
        let lock = File::create(path.join("lock")).map_err(|_| Code::DiskFailed)?;
        lock.try_lock().map_err(|_| Code::FolderLocked)?;
        Ok(Self { path: path.to_owned(), _lock: lock })
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the replica identity stored on this disk; creates it from `generate` if there is none.
    ///
    /// # Errors
    ///
    /// [`Code::LogDamaged`] if the stored identity is not a number, [`Code::DiskFailed`] if a new
    /// one cannot be stored.
    pub fn identity(&self, generate: impl FnOnce() -> u64) -> Result<ReplicaId, Code> {
        if let Some(buf) = self.read("identity")? {
            let text = String::from_utf8(buf).map_err(|_| Code::LogDamaged)?;
            let id = text.trim().parse().map_err(|_| Code::LogDamaged)?;
            return Ok(ReplicaId(id));
        }
        let id = generate().max(1);
        self.write_atomically("identity", id.to_string().as_bytes())?;
        Ok(ReplicaId(id))
    }

    /// Reads a file; `None` if there is none of this name.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`] if it cannot be read.
    pub fn read(&self, name: &str) -> Result<Option<Vec<u8>>, Code> {
        match fs::read(self.path.join(name)) {
            Ok(buf) => Ok(Some(buf)),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => {
                let folder = self.path.display().to_string();
                log::error!(folder = folder.as_str(), file = name; "cannot read: {e}");
                Err(Code::DiskFailed)
            }
        }
    }

    /// Replaces a file atomically: after a crash it has either its old or its new content.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`] on I/O errors.
    pub fn write_atomically(&self, name: &str, buf: &[u8]) -> Result<(), Code> {
        let failed = |_| Code::DiskFailed;
        let temp = self.path.join(format!("{name}.new"));
        fs::write(&temp, buf).map_err(failed)?;
        File::open(&temp).and_then(|f| f.sync_all()).map_err(failed)?;
        fs::rename(&temp, self.path.join(name)).map_err(failed)?;
        self.sync()
    }

    /// Syncs the folder itself, which makes created and renamed files durable.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`] on I/O errors.
    pub fn sync(&self) -> Result<(), Code> {
        File::open(&self.path).and_then(|f| f.sync_all()).map_err(|_| Code::DiskFailed)
    }
}
