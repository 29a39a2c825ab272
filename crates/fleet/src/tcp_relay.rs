//! [`TcpRelay`]: a network path between two processes that goes silent on demand.

use std::collections::BTreeSet;
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

/// Failure domains that are cut off from all others, shared by the relays of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Cuts {
    domains: Arc<Mutex<BTreeSet<String>>>,
}

impl Cuts {
    /// Cuts a domain off, or connects it again.
    pub fn set(&self, domain: &str, cut: bool) {
        let mut domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        if cut {
            domains.insert(domain.to_owned());
        } else {
            domains.remove(domain);
        }
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
        Self::start_between(rt, listen, target, |_| || false).await
    }

    /// Starts a relay before an instance of `plan`, which obeys the cuts between domains.
    pub async fn start_in(
        rt: &Runtime,
        plan: &Arc<Plan>,
        listen: SocketAddr,
        target: SocketAddr,
        cuts: &Cuts,
    ) -> std::io::Result<Self> {
        let (plan, cuts) = (plan.clone(), cuts.clone());
        let own = plan.domain_of(target.ip()).unwrap_or_default().to_owned();
        let cut_from = move |client: SocketAddr| {
            let other = plan.domain_of(client.ip()).unwrap_or(&own).to_owned();
            let (own, cuts) = (own.clone(), cuts.clone());
            move || cuts.between(&own, &other)
        };
        Self::start_between(rt, listen, target, cut_from).await
    }

    async fn start_between<C: Fn() -> bool + Clone + Send + Sync + 'static>(
        rt: &Runtime,
        listen: SocketAddr,
        target: SocketAddr,
        cut_from: impl Fn(SocketAddr) -> C + Send + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let relay = Self { address, connections: Arc::new(Mutex::new(Vec::new())) };
        let (this, runtime) = (relay.clone(), rt.clone());
        rt.spawn(async move {
            while let Ok((client, from)) = listener.accept().await {
                let faults = Arc::new(Faults::default());
                this.lock().push(faults.clone());
                let cut = cut_from(from);
                runtime.spawn(forward(runtime.clone(), client, target, faults, cut));
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

async fn forward(
    rt: Runtime,
    client: TcpStream,
    target: SocketAddr,
    faults: Arc<Faults>,
    cut: impl Fn() -> bool + Clone + Send + Sync + 'static,
) {
    while cut() {
        sleep(POLL).await;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (up, down) = (faults.clone(), faults);
    let (cut_up, cut_down) = (cut.clone(), cut);
    let silent = move || up.to_server_silent.load(Ordering::Acquire) || cut_up();
    rt.spawn(copy(client.clone(), server.clone(), silent));
    let silent = move || down.to_client_silent.load(Ordering::Acquire) || cut_down();
    copy(server, client, silent).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream, silent: impl Fn() -> bool + Send) {
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
