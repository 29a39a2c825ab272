//! [`TcpRelay`]: a network path between two processes that goes silent on demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_net::TcpListener;
use async_net::TcpStream;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;

/// How often a silent direction looks whether it may go on.
const POLL: Duration = Duration::from_millis(5);
/// Bytes moved at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Faults of one connection.
#[derive(Debug, Default)]
struct Faults {
    to_server_silent: AtomicBool,
    to_client_silent: AtomicBool,
}

/// Forwards connections; existing ones can be made silent, without being closed, while new ones
/// work, or all can be cut.
#[derive(Clone)]
pub struct TcpRelay {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<Arc<Faults>>>>,
    cut: Arc<AtomicBool>,
}

impl TcpRelay {
    /// Starts a relay on `listen` to `target`.
    pub async fn start(
        rt: &Runtime,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let relay = Self {
            address: listener.local_addr()?,
            connections: Arc::new(Mutex::new(Vec::new())),
            cut: Arc::new(AtomicBool::new(false)),
        };
        let (this, runtime) = (relay.clone(), rt.clone());
        rt.spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let faults = Arc::new(Faults::default());
                this.lock().push(faults.clone());
                runtime.spawn(forward(runtime.clone(), client, target, faults, this.cut.clone()));
            }
        });
        Ok(relay)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all connections that exist now silent for good; new ones work.
    pub fn silence_existing(&self, to_server: bool, to_client: bool) {
        for faults in self.lock().drain(..) {
            faults.to_server_silent.store(to_server, Ordering::Release);
            faults.to_client_silent.store(to_client, Ordering::Release);
        }
    }

    /// Cuts everything, existing and new, or lets it pass again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Release);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Faults>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn forward(
    rt: Runtime,
    client: TcpStream,
    target: SocketAddr,
    faults: Arc<Faults>,
    cut: Arc<AtomicBool>,
) {
    while cut.load(Ordering::Acquire) {
        sleep(POLL).await;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (up, down) = (faults.clone(), faults);
    let (cut_up, cut_down) = (cut.clone(), cut);
    let silent =
        move || up.to_server_silent.load(Ordering::Acquire) || cut_up.load(Ordering::Acquire);
    rt.spawn(copy(client.clone(), server.clone(), silent));
    let silent =
        move || down.to_client_silent.load(Ordering::Acquire) || cut_down.load(Ordering::Acquire);
    copy(server, client, silent).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream, silent: impl Fn() -> bool) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let n = match from.read(&mut buf).await {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        while silent() {
            sleep(POLL).await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
