//! [`TcpRelay`]: a TCP proxy that injects network faults between two processes.

use std::collections::BTreeSet;
use std::net::IpAddr;
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
use crocustally_net::timeout;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use rustix::net::listen;
use rustix::net::sockopt::set_socket_linger;

use crate::Plan;

/// Interval at which a stalled direction checks whether it may continue.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Length of the queue of new connections, as the standard library sets it.
const BACKLOG: i32 = 128;
/// Time after which a connection to a relay is taken for one that hangs.
const HANGING: Duration = Duration::from_millis(50);
/// Largest read, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Injected faults of one connection.
#[derive(Debug, Default)]
struct Faults {
    to_server_stalled: AtomicBool,
    to_client_stalled: AtomicBool,
    reset: AtomicBool,
    /// Both sockets of the connection, kept to reset them. Empty until the server is connected.
    sockets: Mutex<Vec<TcpStream>>,
}

/// A TCP proxy that can delay bytes, stall connections without closing them, or reset them.
///
/// A relay started with a [`Network`] also stalls all traffic from and to isolated failure domains.
#[derive(Clone)]
pub struct TcpRelay {
    address: SocketAddr,
    /// Delay added to every chunk, in milliseconds.
    delay_ms: Arc<AtomicU64>,
    connections: Arc<Mutex<Vec<Arc<Faults>>>>,
    listener: TcpListener,
    silent: Arc<AtomicBool>,
    /// Whether the relay has stopped accepting since it became silent.
    accepts_none: Arc<AtomicBool>,
    /// Connections that keep the queue of a silent relay full.
    held: Arc<Mutex<Vec<TcpStream>>>,
}

/// One-way cuts between hosts, shared by the relays in front of them. Hosts are told apart by the
/// source address of their connections.
#[derive(Clone, Debug, Default)]
pub struct Links {
    cut: Arc<Mutex<BTreeSet<(IpAddr, IpAddr)>>>,
}

impl Links {
    /// Cuts or restores the way from one host to another, on open and new connections of either host.
    /// Bytes that are under way wait.
    pub fn set_cut(&self, from: IpAddr, to: IpAddr, cut: bool) {
        let mut cuts = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        if cut {
            cuts.insert((from, to));
        } else {
            cuts.remove(&(from, to));
        }
    }

    fn is_cut(&self, from: IpAddr, to: IpAddr) -> bool {
        self.cut.lock().unwrap_or_else(PoisonError::into_inner).contains(&(from, to))
    }
}

/// State shared by all relays of a deployment: the isolated failure domains and a byte counter.
#[derive(Clone, Debug, Default)]
pub struct Network {
    isolated_domains: Arc<Mutex<BTreeSet<String>>>,
    bytes_forwarded: Arc<AtomicU64>,
}

impl Network {
    /// Isolates a failure domain from all others, or reconnects it.
    ///
    /// Traffic inside the domain is not affected. Open connections stall and are not closed.
    pub fn set_isolated(&self, domain: &str, isolated: bool) {
        let mut domains = self.isolated_domains.lock().unwrap_or_else(PoisonError::into_inner);
        if isolated {
            domains.insert(domain.to_owned());
        } else {
            domains.remove(domain);
        }
    }

    /// Payload bytes that the relays have forwarded so far, in both directions.
    pub fn bytes_forwarded(&self) -> u64 {
        self.bytes_forwarded.load(Ordering::Relaxed)
    }

    fn is_blocked(&self, a: &str, b: &str) -> bool {
        let domains = self.isolated_domains.lock().unwrap_or_else(PoisonError::into_inner);
        a != b && (domains.contains(a) || domains.contains(b))
    }
}

impl TcpRelay {
    /// Starts a relay that listens on `listen` and connects to `target`.
    ///
    /// # Errors
    ///
    /// Fails if `listen` is in use.
    pub async fn start(
        rt: &Runtime,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<Self> {
        Self::start_with(rt, listen, target, |_| |_| false, Arc::default()).await
    }

    /// Starts a relay in front of an instance of `plan`, which stalls connections between failure
    /// domains while `network` has either of them isolated.
    ///
    /// # Errors
    ///
    /// Fails if `listen` is in use.
    pub async fn start_in_network(
        rt: &Runtime,
        plan: &Arc<Plan>,
        listen: SocketAddr,
        target: SocketAddr,
        network: &Network,
    ) -> std::io::Result<Self> {
        let (plan, network) = (plan.clone(), network.clone());
        let bytes_forwarded = network.bytes_forwarded.clone();
        let target_domain = plan.domain_by_ip(target.ip()).unwrap_or_default().to_owned();
        let blocked_from = move |client: SocketAddr| {
            let client_domain = plan.domain_by_ip(client.ip()).unwrap_or(&target_domain).to_owned();
            let (target_domain, network) = (target_domain.clone(), network.clone());
            move |_| network.is_blocked(&target_domain, &client_domain)
        };
        Self::start_with(rt, listen, target, blocked_from, bytes_forwarded).await
    }

    /// Starts a relay in front of a host, which stalls the ways that `links` has cut.
    ///
    /// # Errors
    ///
    /// Fails if `listen` is in use.
    pub async fn start_in_links(
        rt: &Runtime,
        listen: SocketAddr,
        target: SocketAddr,
        links: &Links,
    ) -> std::io::Result<Self> {
        let (links, host) = (links.clone(), listen.ip());
        let blocked_from = move |client: SocketAddr| {
            let (links, client) = (links.clone(), client.ip());
            move |direction| match direction {
                Direction::ToServer => links.is_cut(client, host),
                Direction::ToClient => links.is_cut(host, client),
            }
        };
        Self::start_with(rt, listen, target, blocked_from, Arc::default()).await
    }

    async fn start_with<C: Fn(Direction) -> bool + Clone + Send + Sync + 'static>(
        rt: &Runtime,
        listen: SocketAddr,
        target: SocketAddr,
        blocked_from: impl Fn(SocketAddr) -> C + Send + 'static,
        bytes_forwarded: Arc<AtomicU64>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let connections = Arc::new(Mutex::new(Vec::new()));
        let relay = Self {
            address,
            delay_ms: Arc::default(),
            connections,
            listener: listener.clone(),
            silent: Arc::default(),
            accepts_none: Arc::default(),
            held: Arc::default(),
        };
        let (this, runtime) = (relay.clone(), rt.clone());
        rt.spawn(async move {
            while let Ok((client, from)) = listener.accept().await {
                if this.silent.load(Ordering::Acquire) {
                    this.lock_held().push(client);
                    this.accepts_none.store(true, Ordering::Release);
                    while this.silent.load(Ordering::Acquire) {
                        sleep(POLL_INTERVAL).await;
                    }
                    this.accepts_none.store(false, Ordering::Release);
                    continue;
                }
                let faults = Arc::new(Faults::default());
                this.lock().push(faults.clone());
                let delay_ms = this.delay_ms.clone();
                let state = ConnectionState {
                    faults,
                    is_blocked: blocked_from(from),
                    bytes_forwarded: bytes_forwarded.clone(),
                    delay_ms,
                };
                runtime.spawn(forward_connection(runtime.clone(), client, target, state));
            }
        });
        Ok(relay)
    }

    /// The address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Permanently stalls the given directions of all open connections. New connections work.
    pub fn stall_existing(&self, to_server: bool, to_client: bool) {
        for faults in self.lock().drain(..) {
            faults.to_server_stalled.store(to_server, Ordering::Release);
            faults.to_client_stalled.store(to_client, Ordering::Release);
        }
    }

    /// Makes the relay behave like an address that is gone and silent: open connections stall for good,
    /// and new ones hang while they are opened. Undone, new connections work.
    ///
    /// # Errors
    ///
    /// Fails if the queue of new connections cannot be changed.
    pub async fn set_silent(&self, silent: bool) -> std::io::Result<()> {
        self.silent.store(silent, Ordering::Release);
        listen(&self.listener, if silent { 0 } else { BACKLOG })?;
        if !silent {
            self.accepts_none.store(false, Ordering::Release);
            self.lock_held().clear();
            return Ok(());
        }
        self.stall_existing(true, true);
        // The kernel drops what opens connections to a queue that is full. It is full for good only once
        // the relay accepts none any more: until then it makes room for one.
        loop {
            let connected = timeout(HANGING, TcpStream::connect(self.address)).await;
            match connected {
                Some(connected) => self.lock_held().push(connected?),
                None if self.accepts_none.load(Ordering::Acquire) => return Ok(()),
                None => {}
            }
        }
    }

    /// Delays all bytes in both directions. Zero removes the delay.
    pub fn set_delay(&self, time: Duration) {
        self.delay_ms.store(time.as_millis() as u64, Ordering::Release);
    }

    /// Resets all open connections with a TCP RST.
    pub fn reset_existing(&self) {
        for faults in self.lock().drain(..) {
            faults.reset.store(true, Ordering::Release);
            let mut sockets = faults.sockets.lock().unwrap_or_else(PoisonError::into_inner);
            for socket in sockets.drain(..) {
                // With a linger time of zero, closing the last handle resets the connection.
                let _ = set_socket_linger(&socket, Some(Duration::ZERO));
                let _ = socket.shutdown(std::net::Shutdown::Read);
            }
        }
    }

    fn lock_held(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Faults>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Faults and counters that apply to one connection.
#[derive(Clone)]
struct ConnectionState<C> {
    faults: Arc<Faults>,
    is_blocked: C,
    bytes_forwarded: Arc<AtomicU64>,
    delay_ms: Arc<AtomicU64>,
}

async fn forward_connection<C: Fn(Direction) -> bool + Clone + Send + Sync + 'static>(
    rt: Runtime,
    client: TcpStream,
    target: SocketAddr,
    state: ConnectionState<C>,
) {
    while (state.is_blocked)(Direction::ToServer) || (state.is_blocked)(Direction::ToClient) {
        sleep(POLL_INTERVAL).await;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let sockets = vec![client.clone(), server.clone()];
    *state.faults.sockets.lock().unwrap_or_else(PoisonError::into_inner) = sockets;
    let upload = rt.spawn_task(copy_bytes(
        client.clone(),
        server.clone(),
        state.clone(),
        Direction::ToServer,
    ));
    copy_bytes(server, client, state.clone(), Direction::ToClient).await;
    upload.await;
    state.faults.sockets.lock().unwrap_or_else(PoisonError::into_inner).clear();
}

/// Direction of a byte stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl<C: Fn(Direction) -> bool> ConnectionState<C> {
    fn is_stalled(&self, direction: Direction) -> bool {
        let stalled = match direction {
            Direction::ToServer => &self.faults.to_server_stalled,
            Direction::ToClient => &self.faults.to_client_stalled,
        };
        stalled.load(Ordering::Acquire) || (self.is_blocked)(direction)
    }

    fn is_reset(&self) -> bool {
        self.faults.reset.load(Ordering::Acquire)
    }
}

async fn copy_bytes<C: Fn(Direction) -> bool + Send>(
    mut from: TcpStream,
    mut to: TcpStream,
    state: ConnectionState<C>,
    direction: Direction,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let n = match from.read(&mut buf).await {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        while state.is_stalled(direction) && !state.is_reset() {
            sleep(POLL_INTERVAL).await;
        }
        let delay = Duration::from_millis(state.delay_ms.load(Ordering::Acquire));
        if !delay.is_zero() {
            sleep(delay).await;
        }
        state.bytes_forwarded.fetch_add(n as u64, Ordering::Relaxed);
        if state.is_reset() || to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    if !state.is_reset() {
        let _ = to.shutdown(std::net::Shutdown::Both);
        let _ = from.shutdown(std::net::Shutdown::Both);
    }
}
