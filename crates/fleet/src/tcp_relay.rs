//! [`TcpRelay`]: a network path between two processes that goes silent on demand.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_net::TcpListener;
use async_net::TcpStream;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use rustix::net::sockopt::set_socket_linger;

use crate::Plan;

/// How often a silent direction looks whether it may go on.
const POLL: Duration = Duration::from_millis(5);
/// Bytes moved at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Faults of one connection.
#[derive(Debug, Default)]
struct Faults {
    to_server_silent: AtomicBool,
    to_client_silent: AtomicBool,
    reset: AtomicBool,
    /// Both sockets, to reset them; none before the server is connected.
    sockets: Mutex<Vec<TcpStream>>,
}

/// Forwards connections; existing ones can be made silent, without being closed, while new ones
/// work, or all between two failure domains can be cut.
#[derive(Clone)]
pub struct TcpRelay {
    address: SocketAddr,
    /// Time by which all bytes come later, in milliseconds.
    delay_ms: Arc<AtomicU64>,
    connections: Arc<Mutex<Vec<Arc<Faults>>>>,
}

/// The network of a deployment, shared by its relays: which failure domains are cut off from all
/// others, and how much has passed.
#[derive(Clone, Debug, Default)]
pub struct Network {
    domains: Arc<Mutex<BTreeSet<String>>>,
    bytes: Arc<AtomicU64>,
}

impl Network {
    /// Network a domain off, or connects it again.
    pub fn set_isolated(&self, domain: &str, cut: bool) {
        let mut domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        if cut {
            domains.insert(domain.to_owned());
        } else {
            domains.remove(domain);
        }
    }

    /// Bytes that have passed so far, in both directions, without the headers below TCP.
    pub fn bytes_forwarded(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn between(&self, a: &str, b: &str) -> bool {
        let domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        a != b && (domains.contains(a) || domains.contains(b))
    }
}

impl TcpRelay {
    /// Starts a relay on `listen` to `target`.
    pub async fn start(
        rt: &Runtime,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<Self> {
        Self::start_between(rt, listen, target, |_| || false, Arc::default()).await
    }

    /// Starts a relay before an instance of `plan`, which obeys the network between domains.
    pub async fn start_in_network(
        rt: &Runtime,
        plan: &Arc<Plan>,
        listen: SocketAddr,
        target: SocketAddr,
        network: &Network,
    ) -> std::io::Result<Self> {
        let (plan, network) = (plan.clone(), network.clone());
        let bytes = network.bytes.clone();
        let own = plan.domain_by_ip(target.ip()).unwrap_or_default().to_owned();
        let cut_from = move |client: SocketAddr| {
            let other = plan.domain_by_ip(client.ip()).unwrap_or(&own).to_owned();
            let (own, network) = (own.clone(), network.clone());
            move || network.between(&own, &other)
        };
        Self::start_between(rt, listen, target, cut_from, bytes).await
    }

    async fn start_between<C: Fn() -> bool + Clone + Send + Sync + 'static>(
        rt: &Runtime,
        listen: SocketAddr,
        target: SocketAddr,
        cut_from: impl Fn(SocketAddr) -> C + Send + 'static,
        bytes: Arc<AtomicU64>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let connections = Arc::new(Mutex::new(Vec::new()));
        let relay = Self { address, delay_ms: Arc::default(), connections };
        let (this, runtime) = (relay.clone(), rt.clone());
        rt.spawn(async move {
            while let Ok((client, from)) = listener.accept().await {
                let faults = Arc::new(Faults::default());
                this.lock().push(faults.clone());
                let delay_ms = this.delay_ms.clone();
                let path = Path { faults, cut: cut_from(from), bytes: bytes.clone(), delay_ms };
                runtime.spawn(forward(runtime.clone(), client, target, path));
            }
        });
        Ok(relay)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all connections that exist now silent for good; new ones work.
    pub fn stall_existing(&self, to_server: bool, to_client: bool) {
        for faults in self.lock().drain(..) {
            faults.to_server_silent.store(to_server, Ordering::Release);
            faults.to_client_silent.store(to_client, Ordering::Release);
        }
    }

    /// Delays all bytes, in both directions, until it is told otherwise.
    pub fn set_delay(&self, time: Duration) {
        self.delay_ms.store(time.as_millis() as u64, Ordering::Release);
    }

    /// Resets all connections that exist now.
    pub fn reset_existing(&self) {
        for faults in self.lock().drain(..) {
            faults.reset.store(true, Ordering::Release);
            let mut sockets = faults.sockets.lock().unwrap_or_else(PoisonError::into_inner);
            for socket in sockets.drain(..) {
                // With no time to linger, the last close resets the connection.
                let _ = set_socket_linger(&socket, Some(Duration::ZERO));
                let _ = socket.shutdown(std::net::Shutdown::Read);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Faults>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What happens to the bytes of one connection.
#[derive(Clone)]
struct Path<C> {
    faults: Arc<Faults>,
    cut: C,
    bytes: Arc<AtomicU64>,
    delay_ms: Arc<AtomicU64>,
}

async fn forward<C: Fn() -> bool + Clone + Send + Sync + 'static>(
    rt: Runtime,
    client: TcpStream,
    target: SocketAddr,
    path: Path<C>,
) {
    while (path.cut)() {
        sleep(POLL).await;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let sockets = vec![client.clone(), server.clone()];
    *path.faults.sockets.lock().unwrap_or_else(PoisonError::into_inner) = sockets;
    let up = rt.spawn_task(copy(client.clone(), server.clone(), path.clone(), Direction::ToServer));
    copy(server, client, path.clone(), Direction::ToClient).await;
    up.await;
    path.faults.sockets.lock().unwrap_or_else(PoisonError::into_inner).clear();
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl<C: Fn() -> bool> Path<C> {
    fn is_silent(&self, direction: Direction) -> bool {
        let silent = match direction {
            Direction::ToServer => &self.faults.to_server_silent,
            Direction::ToClient => &self.faults.to_client_silent,
        };
        silent.load(Ordering::Acquire) || (self.cut)()
    }

    fn is_reset(&self) -> bool {
        self.faults.reset.load(Ordering::Acquire)
    }
}

async fn copy<C: Fn() -> bool + Send>(
    mut from: TcpStream,
    mut to: TcpStream,
    path: Path<C>,
    direction: Direction,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let n = match from.read(&mut buf).await {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        while path.is_silent(direction) && !path.is_reset() {
            sleep(POLL).await;
        }
        let delay = Duration::from_millis(path.delay_ms.load(Ordering::Acquire));
        if !delay.is_zero() {
            sleep(delay).await;
        }
        path.bytes.fetch_add(n as u64, Ordering::Relaxed);
        if path.is_reset() || to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    if !path.is_reset() {
        let _ = to.shutdown(std::net::Shutdown::Both);
        let _ = from.shutdown(std::net::Shutdown::Both);
    }
}
