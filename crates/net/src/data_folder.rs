//! [`DataFolder`]: the locked folder in which a process stores its data.

use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use crocustally_core::Code;
use crocustally_core::raft::ReplicaId;

use crate::Storage;
use crate::StorageFile;
use crate::storage::LocalStorage;

/// A folder that one process at a time has open; the lock is released when the process exits.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    storage: Box<dyn Storage>,
}

impl DataFolder {
    /// Opens the folder, creates it if it is missing, and locks it.
    ///
    /// # Errors
    ///
    /// [`Code::FolderLocked`] if another process has it open, [`Code::DiskFailed`] on I/O errors.
    pub fn open(path: &Path) -> Result<Self, Code> {
        create_durably(path).map_err(|_| Code::DiskFailed)?;
        let lock = File::create(path.join("lock")).map_err(|_| Code::DiskFailed)?;
        lock.try_lock().map_err(|_| Code::FolderLocked)?;
        let storage = LocalStorage { path: path.to_owned(), _lock: lock };
        Ok(Self::with_storage(path, Box::new(storage)))
    }

    /// Creates a folder on another storage, which holds the lock; errors and logs name it by `path`.
    pub fn with_storage(path: &Path, storage: Box<dyn Storage>) -> Self {
        Self { path: path.to_owned(), storage }
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the replica identity stored on this disk; creates it from `generate` if there is none.
    /// It is durable on return.
    ///
    /// # Errors
    ///
    /// [`Code::LogDamaged`] if the stored identity is not a number, [`Code::DiskFailed`] if a new
    /// one cannot be stored.
    pub fn identity(&self, generate: impl FnOnce() -> u64) -> Result<ReplicaId, Code> {
        self.remove_unfinished("identity");
        if let Some(buf) = self.read("identity")? {
            // An earlier start may have failed between the rename and its sync.
            self.sync()?;
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
        match self.storage.read(name) {
            Ok(buf) => Ok(Some(buf)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
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
        let temp = format!("{name}.new");
        let written = self.write_synced(&temp, buf);
        let renamed = written.and_then(|()| self.storage.rename(&temp, name));
        if let Err(e) = renamed {
            self.log_failure(name, &e);
            self.remove(&temp);
            return Err(Code::DiskFailed);
        }
        self.sync()
    }

    /// Opens an existing file to append to it.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`] on I/O errors.
    pub fn open_append(&self, name: &str) -> Result<Box<dyn StorageFile>, Code> {
        self.storage.open_append(name).map_err(|e| {
            self.log_failure(name, &e);
            Code::DiskFailed
        })
    }

    /// Removes what an interrupted [`DataFolder::write_atomically`] of this file left behind.
    pub fn remove_unfinished(&self, name: &str) {
        self.remove(&format!("{name}.new"));
    }

    /// Syncs the folder itself, which makes created and renamed files durable.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`] on I/O errors.
    pub fn sync(&self) -> Result<(), Code> {
        self.storage.sync().map_err(|e| {
            self.log_failure(".", &e);
            Code::DiskFailed
        })
    }

    fn write_synced(&self, name: &str, buf: &[u8]) -> io::Result<()> {
        let mut f = self.storage.create(name)?;
        f.write_all(buf)?;
        f.sync()
    }

    /// Removes a file that is not needed; one that stays takes room but does no harm.
    fn remove(&self, name: &str) {
        match self.storage.remove(name) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => self.log_failure(name, &e),
            Ok(()) | Err(_) => {}
        }
    }

    fn log_failure(&self, name: &str, e: &io::Error) {
        let folder = self.path.display().to_string();
        log::error!(folder = folder.as_str(), file = name; "disk operation failed: {e}");
    }
}

/// Creates a folder and its missing parents; each is durable once the folder that has it is synced.
fn create_durably(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    let parent = path.parent().filter(|p| !p.as_os_str().is_empty());
    let parent = parent.unwrap_or(Path::new("."));
    create_durably(parent)?;
    match fs::create_dir(path) {
        Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
        Ok(()) | Err(_) => {}
    }
    File::open(parent)?.sync_all()
}
