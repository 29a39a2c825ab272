//! [`Storage`]: the file operations of a data folder, at the edge of the process.

use std::fmt::Debug;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::PathBuf;

/// The files of one folder, by name.
///
/// As on a POSIX file system, what is written counts only once the file is synced, and a renamed or
/// removed name only once the folder is synced.
pub trait Storage: Debug + Send {
    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if there is none of this name, others on I/O errors.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or empties the one of this name.
    ///
    /// # Errors
    ///
    /// On I/O errors.
    fn create(&self, name: &str) -> io::Result<Box<dyn StorageFile>>;

    /// Opens an existing file to append to it.
    ///
    /// # Errors
    ///
    /// On I/O errors.
    fn open_append(&self, name: &str) -> io::Result<Box<dyn StorageFile>>;

    /// Renames a file and replaces the one that has the new name.
    ///
    /// # Errors
    ///
    /// On I/O errors.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if there is none of this name, others on I/O errors.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Syncs the folder itself, which makes renamed and removed names durable.
    ///
    /// # Errors
    ///
    /// On I/O errors.
    fn sync(&self) -> io::Result<()>;
}

/// A file that is open for writing at its end.
pub trait StorageFile: Debug + Send {
    /// Appends `buf`; after an error any part of it may have been written.
    ///
    /// # Errors
    ///
    /// On I/O errors.
    fn write_all(&mut self, buf: &[u8]) -> io::Result<()>;

    /// Makes everything written so far durable. After an error it is unknown what is durable, and a
    /// later success does not cover the earlier writes.
    ///
    /// # Errors
    ///
    /// On I/O errors.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the local file system.
#[derive(Debug)]
pub(crate) struct LocalStorage {
    /// Path of the folder.
    pub(crate) path: PathBuf,
    /// The lock file, locked until it is dropped.
    pub(crate) _lock: File,
}

impl Storage for LocalStorage {
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn StorageFile>> {
        Ok(Box::new(File::create(self.path.join(name))?))
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn StorageFile>> {
        Ok(Box::new(OpenOptions::new().append(true).open(self.path.join(name))?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl StorageFile for File {
    fn write_all(&mut self, buf: &[u8]) -> io::Result<()> {
        Write::write_all(self, buf)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
