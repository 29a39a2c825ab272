//! A simulated disk that loses power, fails syncs and runs out of room at chosen operations.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crocustally_net::Storage;
use crocustally_net::StorageFile;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Size of a page, the unit in which a large write may be lost, in bytes.
const PAGE_BYTES: usize = 4096;

/// What happens at an operation that changes the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The power fails during the operation.
    PowerLoss,
    /// The operation fails. A failed sync makes the system forget what the disk did not take.
    Error,
    /// From this operation on the disk takes no more bytes, until [`SimDisk::clear_fault`].
    Full,
}

#[derive(Debug, Default)]
struct Inode {
    /// Content as the running system sees it.
    seen: Vec<u8>,
    /// Content as of the last sync.
    durable: Vec<u8>,
    /// Changes since the last sync.
    unsynced: Vec<Change>,
}

#[derive(Clone, Debug)]
enum Change {
    Write(usize, Vec<u8>),
    Empty,
}

#[derive(Clone, Debug)]
enum NameChange {
    Set(String, usize),
    Remove(String),
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    /// Number of operations until the fault, and the fault.
    fault: Option<(usize, Fault)>,
    powerless: bool,
    full: bool,
}

/// A disk with one folder; clones share it.
#[derive(Clone, Debug)]
pub struct SimDisk(Arc<Mutex<State>>);

impl SimDisk {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(State {
            rng: StdRng::seed_from_u64(seed),
            inodes: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            unsynced_names: Vec::new(),
            fault: None,
            powerless: false,
            full: false,
        })))
    }

    /// Lets `fault` happen at the operation after the next `after` ones.
    pub fn set_fault(&self, after: usize, fault: Fault) {
        self.state().fault = Some((after, fault));
    }

    /// Removes a fault that has not happened, and makes room on a full disk.
    pub fn clear_fault(&self) {
        let mut state = self.state();
        (state.fault, state.full) = (None, false);
    }

    /// Whether the power has failed since the last [`SimDisk::restart`].
    pub fn is_powerless(&self) -> bool {
        self.state().powerless
    }

    /// Loses power, if it has not failed yet, and starts again with what the disk kept.
    pub fn restart(&self) {
        let mut state = self.state();
        state.lose_power();
        (state.powerless, state.fault, state.full) = (false, None, false);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }
}

impl State {
    /// Counts an operation; returns the fault that happens at it.
    fn step(&mut self) -> io::Result<Option<Fault>> {
        if self.powerless {
            return Err(io::Error::other("no power"));
        }
        match &mut self.fault {
            None => Ok(None),
            Some((0, fault)) => {
                let fault = *fault;
                self.fault = None;
                self.powerless = fault == Fault::PowerLoss;
                self.full = fault == Fault::Full;
                Ok(Some(fault))
            }
            Some((after, _)) => {
                *after -= 1;
                Ok(None)
            }
        }
    }

    /// Counts an operation that writes no bytes and either happens or not.
    fn step_or_fail(&mut self) -> io::Result<()> {
        match self.step()? {
            Some(Fault::PowerLoss) if self.rng.random::<bool>() => Ok(()),
            Some(Fault::PowerLoss | Fault::Error) => Err(io::Error::other("simulated")),
            Some(Fault::Full) | None => Ok(()),
        }
    }

    fn set_name(&mut self, name: &str, inode: usize) {
        self.names.insert(name.to_owned(), inode);
        self.unsynced_names.push(NameChange::Set(name.to_owned(), inode));
    }

    fn remove_name(&mut self, name: &str) -> io::Result<usize> {
        let inode = self.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        self.unsynced_names.push(NameChange::Remove(name.to_owned()));
        Ok(inode)
    }

    fn create(&mut self, name: &str) -> io::Result<usize> {
        self.step_or_fail()?;
        if let Some(inode) = self.names.get(name).copied() {
            let file = &mut self.inodes[inode];
            file.seen.clear();
            file.unsynced.push(Change::Empty);
            return Ok(inode);
        }
        self.inodes.push(Inode::default());
        self.set_name(name, self.inodes.len() - 1);
        Ok(self.inodes.len() - 1)
    }

    fn write(&mut self, inode: usize, buf: &[u8]) -> io::Result<()> {
        let fault = self.step()?;
        let failed = fault.is_some() || self.full;
        let len = if failed { self.rng.random_range(0..=buf.len()) } else { buf.len() };
        // A disk without power may hold all of the write, as it may after any unsynced one.
        let len = if self.powerless { buf.len() } else { len };
        let file = &mut self.inodes[inode];
        file.unsynced.push(Change::Write(file.seen.len(), buf[..len].to_vec()));
        file.seen.extend_from_slice(&buf[..len]);
        if failed { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync_file(&mut self, inode: usize) -> io::Result<()> {
        match self.step()? {
            Some(Fault::PowerLoss) => return Err(io::Error::other("no power")),
            Some(Fault::Error) => {
                self.settle(inode);
                return Err(io::Error::other("simulated"));
            }
            Some(Fault::Full) | None => {}
        }
        let file = &mut self.inodes[inode];
        for c in std::mem::take(&mut file.unsynced) {
            apply(&mut file.durable, &c);
        }
        // The name of a new file becomes durable with the file.
        for c in std::mem::take(&mut self.unsynced_names) {
            match c {
                NameChange::Set(name, i)
                    if i == inode && !self.durable_names.contains_key(&name) =>
                {
                    self.durable_names.insert(name, i);
                }
                c => self.unsynced_names.push(c),
            }
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        match self.step()? {
            Some(Fault::PowerLoss | Fault::Error) => return Err(io::Error::other("simulated")),
            Some(Fault::Full) | None => {}
        }
        self.durable_names = self.names.clone();
        self.unsynced_names.clear();
        Ok(())
    }

    /// Decides which unsynced changes of a file the disk keeps; the running system sees them all.
    fn settle(&mut self, inode: usize) {
        let all_lost = self.rng.random_range(0..4) == 0;
        for c in std::mem::take(&mut self.inodes[inode].unsynced) {
            if all_lost {
                continue;
            }
            match c {
                Change::Empty => {
                    if self.rng.random::<bool>() {
                        self.inodes[inode].durable.clear();
                    }
                }
                Change::Write(at, buf) => self.settle_write(inode, at, &buf),
            }
        }
    }

    /// Keeps, loses or tears each page of a write.
    fn settle_write(&mut self, inode: usize, at: usize, buf: &[u8]) {
        let mut start = 0;
        while start < buf.len() {
            let page_end = (at + start) / PAGE_BYTES * PAGE_BYTES + PAGE_BYTES - at;
            let end = page_end.min(buf.len());
            let kept = match self.rng.random_range(0..3) {
                0 => 0,
                1 => end - start,
                _ => self.rng.random_range(0..=end - start),
            };
            if kept > 0 {
                let page = Change::Write(at + start, buf[start..start + kept].to_vec());
                apply(&mut self.inodes[inode].durable, &page);
            }
            start = end;
        }
    }

    fn lose_power(&mut self) {
        for inode in 0..self.inodes.len() {
            self.settle(inode);
            let file = &mut self.inodes[inode];
            file.seen = file.durable.clone();
        }
        for c in std::mem::take(&mut self.unsynced_names) {
            if self.rng.random::<bool>() {
                continue;
            }
            match c {
                NameChange::Set(name, inode) => {
                    self.durable_names.insert(name, inode);
                }
                NameChange::Remove(name) => {
                    self.durable_names.remove(&name);
                }
            }
        }
        self.names = self.durable_names.clone();
    }
}

fn apply(durable: &mut Vec<u8>, c: &Change) {
    match c {
        Change::Empty => durable.clear(),
        Change::Write(at, buf) => {
            let len = durable.len().max(at + buf.len());
            durable.resize(len, 0);
            durable[*at..at + buf.len()].copy_from_slice(buf);
        }
    }
}

#[derive(Debug)]
struct SimFile {
    disk: SimDisk,
    inode: usize,
}

impl StorageFile for SimFile {
    fn write_all(&mut self, buf: &[u8]) -> io::Result<()> {
        self.disk.state().write(self.inode, buf)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.disk.state().sync_file(self.inode)
    }
}

impl Storage for SimDisk {
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        if state.powerless {
            return Err(io::Error::other("no power"));
        }
        let inode = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(state.inodes[inode].seen.clone())
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn StorageFile>> {
        let inode = self.state().create(name)?;
        Ok(Box::new(SimFile { disk: self.clone(), inode }))
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn StorageFile>> {
        let mut state = self.state();
        state.step_or_fail()?;
        let inode = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(Box::new(SimFile { disk: self.clone(), inode }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step_or_fail()?;
        let inode = state.remove_name(from)?;
        state.set_name(to, inode);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step_or_fail()?;
        state.remove_name(name).map(|_| ())
    }

    fn sync(&self) -> io::Result<()> {
        self.state().sync_names()
    }
}
