//! [`KnownPeers`]: the peers that an instance has been in contact with, kept on its disk.
//!
//! After a restart they are further seeds: all that the settings name may be gone by then. The file is
//! only a hint, so one that is missing, damaged or cannot be written costs nothing else.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use crocustally_net::DataFolder;

use crate::PeerSettings;

/// Folder inside the data folder; it has a lock of its own, so it is written beside the journal.
const FOLDER: &str = "peers";
/// File name of the list.
const FILE: &str = "known";
/// Number of peers that are kept, those with the latest contact; several times the number of
/// instances that take part in a log.
const PEERS_MAX: usize = 32;
/// Longest name that is kept, in bytes; names are addresses or short words.
const NAME_BYTES_MAX: usize = 256;
/// Largest size of the list in bytes; a longer file is damaged.
const FILE_BYTES_MAX: usize = 64 * 1024;
/// Delay before a list that could not be written is written again.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// The peers with which there has been contact, in the order of their latest contact.
#[derive(Debug, Default)]
pub(crate) struct KnownPeers {
    peers: Mutex<VecDeque<(String, SocketAddr)>>,
    /// Receives the list whenever a peer is added to it; `None` if it cannot be stored.
    writer: Option<Sender<String>>,
}

impl KnownPeers {
    /// Reads the list in a data folder and starts the thread that writes it.
    pub(crate) fn open(data: &Path) -> Self {
        let path = data.join(FOLDER);
        let shown = path.display().to_string();
        let folder = match DataFolder::open(&path) {
            Ok(folder) => folder,
            Err(code) => {
                log::warn!(folder = shown.as_str(), code = code.number(); "peers are not stored");
                return Self::default();
            }
        };
        let peers = Mutex::new(read(&folder));
        let (tx, rx) = async_channel::bounded(1);
        let spawned = thread::Builder::new().name("peers".to_owned()).spawn(|| write(folder, rx));
        if let Err(e) = &spawned {
            log::warn!(folder = shown.as_str(); "peers are not stored: {e}");
        }
        Self { peers, writer: spawned.is_ok().then_some(tx) }
    }

    /// The peers on the list.
    pub(crate) fn settings(&self) -> Vec<PeerSettings> {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let to_settings = |(name, address): &(String, SocketAddr)| PeerSettings {
            name: name.clone(),
            address: *address,
            voter: false,
        };
        peers.iter().map(to_settings).collect()
    }

    /// Records contact with a peer; a new peer or address is written to the disk.
    pub(crate) fn record(&self, name: &str, address: SocketAddr) {
        let Some(writer) = &self.writer else { return };
        if name.len() > NAME_BYTES_MAX || name.contains(char::is_whitespace) {
            return;
        }
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let position = peers.iter().position(|(known, _)| known == name);
        let before = position.and_then(|at| peers.remove(at));
        peers.push_back((name.to_owned(), address));
        if before.is_some_and(|(_, known)| known == address) {
            return;
        }
        if peers.len() > PEERS_MAX {
            peers.pop_front();
        }
        let _ = writer.force_send(encode(&peers));
    }
}

fn encode(peers: &VecDeque<(String, SocketAddr)>) -> String {
    peers.iter().map(|(name, address)| format!("{address} {name}\n")).collect()
}

fn decode(line: &str) -> Option<(String, SocketAddr)> {
    let (address, name) = line.split_once(' ')?;
    Some((name.to_owned(), address.parse().ok()?))
}

fn read(folder: &DataFolder) -> VecDeque<(String, SocketAddr)> {
    let buf = folder.read(FILE).ok().flatten().unwrap_or_default();
    let text = std::str::from_utf8(&buf).ok().filter(|t| t.len() <= FILE_BYTES_MAX);
    let lines = text.unwrap_or_default().lines();
    let peers: VecDeque<_> = lines.filter_map(decode).take(PEERS_MAX).collect();
    if peers.is_empty() && !buf.is_empty() {
        log::warn!(bytes = buf.len(); "the list of known peers is damaged");
    }
    peers
}

/// Writes each list that arrives, or the one after it.
fn write(folder: DataFolder, rx: Receiver<String>) {
    while let Ok(mut list) = async_io::block_on(rx.recv()) {
        while let Err(code) = folder.write_atomically(FILE, list.as_bytes()) {
            log::warn!(code = code.number(); "the list of known peers is not written");
            thread::sleep(RETRY_DELAY);
            if rx.is_closed() {
                return;
            }
            list = rx.try_recv().unwrap_or(list);
        }
    }
}
