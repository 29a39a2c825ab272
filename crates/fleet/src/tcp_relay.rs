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
}

/// Forwards connections; existing ones can be made silent, without being closed, while new ones
/// work, or all between two failure domains can be cut.
#[derive(Clone)]
pub struct TcpRelay {
    address: SocketAddr,
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
    pub fn cut(&self, domain: &str, cut: bool) {
        let mut domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        if cut {
            domains.insert(domain.to_owned());
        } else {
            domains.remove(domain);
        }
    }

    /// Bytes that have passed so far, in both directions, without the headers below TCP.
    pub fn bytes(&self) -> u64 {
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
    pub async fn start_in(
        rt: &Runtime,
        plan: &Arc<Plan>,
        listen: SocketAddr,
        target: SocketAddr,
        network: &Network,
    ) -> std::io::Result<Self> {
        let (plan, network) = (plan.clone(), network.clone());
        let bytes = network.bytes.clone();
        let own = plan.domain_of(target.ip()).unwrap_or_default().to_owned();
        let cut_from = move |client: SocketAddr| {
            let other = plan.domain_of(client.ip()).unwrap_or(&own).to_owned();
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
        let relay = Self { address, connections: Arc::new(Mutex::new(Vec::new())) };
        let (this, runtime) = (relay.clone(), rt.clone());
        rt.spawn(async move {
            while let Ok((client, from)) = listener.accept().await {
                let faults = Arc::new(Faults::default());
                this.lock().push(faults.clone());
                let path = Path { faults, cut: cut_from(from), bytes: bytes.clone() };
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
    pub fn silence_existing(&self, to_server: bool, to_client: bool) {
        for faults in self.lock().drain(..) {
            faults.to_server_silent.store(to_server, Ordering::Release);
            faults.to_client_silent.store(to_client, Ordering::Release);
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
    let (up, down) = (path.clone(), path);
    let bytes = up.bytes.clone();
    let silent = move || up.faults.to_server_silent.load(Ordering::Acquire) || (up.cut)();
    rt.spawn(copy(client.clone(), server.clone(), silent, bytes));
    let bytes = down.bytes.clone();
    let silent = move || down.faults.to_client_silent.load(Ordering::Acquire) || (down.cut)();
    copy(server, client, silent, bytes).await;
}

async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    silent: impl Fn() -> bool + Send,
    bytes: Arc<AtomicU64>,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let n = match from.read(&mut buf).await {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        while silent() {
            sleep(POLL).await;
        }
        bytes.fetch_add(n as u64, Ordering::Relaxed);
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
