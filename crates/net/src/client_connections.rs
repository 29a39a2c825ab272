//! [`ClientConnections`]: the open connections of a server's clients, and which of them give way.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::BufferBudget;

/// Descriptors that a process keeps free for listeners, control calls, the admin address and its own files.
const RESERVED_DESCRIPTORS: usize = 32;
/// Part of the descriptors that is kept free in addition: one in this many. A connection to an endpoint that is dropped
/// is closed when the executor next runs its task; with a 32nd, 155 of 160 descriptors were in use at times.
const RESERVED_SHARE: usize = 8;
/// Descriptors that a client may take: its connection, the one to the endpoint of its request, and one to an endpoint
/// that is idle after it.
const DESCRIPTORS_PER_CLIENT: usize = 3;
/// Memory of a connection in bytes while its peer takes nothing: both buffers of the HTTP library, which may hold
/// 40 KiB of a response, and the state of the request.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Part of a process's memory that connections may take: one in this many.
const CONNECTION_SHARE: usize = 2;
/// Time without progress after which a connection gives way once the budget is half used. A caller on a path
/// inside the deployment pauses for less.
const YIELD_TIME: Duration = Duration::from_millis(1000);

/// Time that a client has to send its request, or to go on, before its connection may be closed to make room. Without
/// it, new connections would close each other unheard while all older ones wait for their responses.
const SENDING_TIME: Duration = Duration::from_millis(250);
/// The same for each connection of a small limit: eight connections of 250 ms each would let in 32 a second, and an
/// operator would wait behind hundreds of idle ones.
const SENDING_TIME_PER_CONNECTION: Duration = Duration::from_millis(4);
/// Connections that may be closed to make room at a time: some take the time of a refusal to be gone.
const CLOSING_MAX: usize = 8;

/// Most connections of clients for a process with this many descriptors and megabytes of memory.
pub fn client_connections_max(descriptors: usize, memory_mb: usize) -> usize {
    let reserved = RESERVED_DESCRIPTORS + descriptors / RESERVED_SHARE;
    let by_descriptors = descriptors.saturating_sub(reserved) / DESCRIPTORS_PER_CLIENT;
    let memory = memory_mb.saturating_mul(1024 * 1024);
    by_descriptors.min(memory / CONNECTION_SHARE / CONNECTION_BYTES).max(1)
}

/// The process's own limit on open descriptors.
pub fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX)
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request's head, since its first byte.
    Head,
    /// The rest of a request's body.
    Body,
    /// The response, which an endpoint may be working on.
    Handling,
    /// Response bytes, or the client that takes them.
    Responding,
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Cause {
    Idle,
    EndlessHead,
    Stalled,
    DescriptorsShort,
    MemoryShort,
}

impl Cause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::EndlessHead => "endless head",
            Self::Stalled => "no progress",
            Self::DescriptorsShort => "connections at their limit",
            Self::MemoryShort => "memory short",
        }
    }
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// When the phase began or, in a body, bytes last arrived.
    since: Instant,
    /// Since when the client takes none of the response bytes that are ready.
    blocked: Option<Instant>,
    /// Whether the server has taken the last byte of the response from its handler.
    body_done: bool,
    /// Whether the response was decided before the request's body had ended.
    body_unread: bool,
    /// Whether a request's head has been read on this connection.
    has_requested: bool,
    closing: bool,
}

/// One connection of a client.
#[derive(Debug)]
pub struct ClientConnection {
    peer: IpAddr,
    state: Mutex<State>,
    /// Bytes that are charged to the budget for this client.
    held: AtomicUsize,
    closed: Event,
}

impl ClientConnection {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enter(&self, phase: Phase) {
        let mut state = self.state();
        state.phase = phase;
        state.since = Instant::now();
        state.blocked = None;
    }

    pub(crate) fn begin_request(&self) {
        self.enter(Phase::Handling);
        self.state().has_requested = true;
    }

    /// Whether the client is sending the head of a request, or has connected within `time` and sent nothing yet.
    pub(crate) fn expects_request(&self, time: Duration) -> bool {
        let state = self.state();
        match state.phase {
            Phase::Head => true,
            Phase::Idle => !state.has_requested && state.since.elapsed() < time,
            Phase::Body | Phase::Handling | Phase::Responding => false,
        }
    }

    pub(crate) fn begin_response(&self) {
        self.enter(Phase::Responding);
        self.state().body_done = false;
    }

    pub(crate) fn end_response_body(&self) {
        self.state().body_done = true;
    }

    pub(crate) fn record_read(&self, bytes: usize) {
        let mut state = self.state();
        match state.phase {
            Phase::Idle if bytes > 0 => {
                state.phase = Phase::Head;
                state.since = Instant::now();
            }
            Phase::Body if bytes > 0 => state.since = Instant::now(),
            _ => {}
        }
    }

    pub(crate) fn record_write(&self, progress: bool) {
        let mut state = self.state();
        if progress {
            state.blocked = None;
        } else {
            state.blocked.get_or_insert_with(Instant::now);
        }
    }

    /// Records that all bytes so far are written.
    pub(crate) fn record_flush(&self) {
        let mut state = self.state();
        state.blocked = None;
        if state.phase == Phase::Responding && state.body_done {
            state.phase = Phase::Idle;
            state.since = Instant::now();
        }
    }

    /// Allows the connection to be closed until the returned guard is dropped, since its request has not been read
    /// to the end and so was not passed on.
    pub fn reading_body(self: &Arc<Self>) -> BodyReading {
        self.enter(Phase::Body);
        self.state().body_unread = true;
        BodyReading(self.clone())
    }

    /// Whether the client may still be sending a body that nobody reads.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.state().body_unread
    }

    /// Completes when the connection has to give way.
    pub async fn closing(&self) {
        loop {
            let listener = self.closed.listen();
            if self.state().closing {
                return;
            }
            listener.await;
        }
    }

    pub(crate) fn add_held(&self, bytes: usize) {
        self.held.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn remove_held(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }

    fn close(&self) -> bool {
        let first = !std::mem::replace(&mut self.state().closing, true);
        self.closed.notify(usize::MAX);
        first
    }

    /// Since when the client makes no progress; `None` while it is not the client that is waited for.
    fn without_progress_since(&self) -> Option<Instant> {
        let state = self.state();
        match state.phase {
            _ if state.closing => None,
            Phase::Idle | Phase::Head | Phase::Body => Some(state.since),
            Phase::Handling => None,
            Phase::Responding => state.blocked,
        }
    }

    fn expired(&self, now: Instant, times: Times) -> Option<Cause> {
        let since = self.without_progress_since()?;
        let phase = self.state().phase;
        let (limit, cause) = match phase {
            Phase::Idle => (times.idle, Cause::Idle),
            Phase::Head => (times.head, Cause::EndlessHead),
            _ => (times.stall, Cause::Stalled),
        };
        (now.saturating_duration_since(since) > limit).then_some(cause)
    }
}

/// A request body being read; see [`ClientConnection::reading_body`].
#[derive(Debug)]
pub struct BodyReading(Arc<ClientConnection>);

impl BodyReading {
    /// Records that the body has been read to its end.
    pub fn complete(self) {
        self.0.state().body_unread = false;
    }
}

impl Drop for BodyReading {
    fn drop(&mut self) {
        self.0.enter(Phase::Handling);
    }
}

/// Times after which connections are closed.
#[derive(Clone, Copy, Debug)]
struct Times {
    idle: Duration,
    head: Duration,
    stall: Duration,
}

/// The open connections of a server's clients.
///
/// Connections that are idle, or whose client neither sends nor takes anything, are closed after a time; earlier, the
/// longest first, if a new connection needs their place, or, the client address that holds most first, if more than
/// half of the buffer budget is used. A connection whose request was read and passed on is never closed unless its
/// client does not read the response.
#[derive(Debug)]
pub struct ClientConnections {
    max: usize,
    budget: Option<BufferBudget>,
    times: Mutex<Times>,
    next_id: AtomicU64,
    open: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    closed: Mutex<HashMap<Cause, u64>>,
}

impl ClientConnections {
    /// At most `max` connections; clients that hold bytes of `budget` give way once half of it is used.
    pub fn new(max: usize, stall: Duration, budget: Option<BufferBudget>) -> Arc<Self> {
        let times = Times { idle: Duration::MAX, head: Duration::MAX, stall };
        Arc::new(Self {
            max,
            budget,
            times: Mutex::new(times),
            next_id: AtomicU64::new(0),
            open: Mutex::default(),
            closed: Mutex::default(),
        })
    }

    /// Sets the time that a connection may be idle, and the time from the first byte of a request's head to its last.
    pub fn set_times(&self, idle: Duration, head: Duration) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        (times.idle, times.head) = (idle, head);
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<ClientConnection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn insert(self: &Arc<Self>, peer: IpAddr) -> OpenConnection {
        let state = State {
            phase: Phase::Idle,
            since: Instant::now(),
            blocked: None,
            body_done: false,
            body_unread: false,
            has_requested: false,
            closing: false,
        };
        let conn = Arc::new(ClientConnection {
            peer,
            state: Mutex::new(state),
            held: AtomicUsize::new(0),
            closed: Event::new(),
        });
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.open().insert(id, conn.clone());
        OpenConnection { connections: self.clone(), id, conn }
    }

    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.open().len()
    }

    /// Whether there is a place for one more connection.
    pub(crate) fn has_room(&self) -> bool {
        self.len() < self.max
    }

    /// Closes the connection that has made no progress for longest, unless enough are being closed.
    pub(crate) fn make_room(&self) {
        let victim = {
            let open = self.open();
            if open.values().filter(|c| c.state().closing).count() >= CLOSING_MAX {
                return;
            }
            let candidates = open
                .values()
                .filter_map(|c| Some((c.without_progress_since()?, c)))
                .filter(|(since, _)| since.elapsed() >= self.sending_time());
            candidates.min_by_key(|(since, _)| *since).map(|(_, c)| c.clone())
        };
        if let Some(conn) = victim {
            self.close(&conn, Cause::DescriptorsShort);
        }
    }

    /// Time that a client has to send its request before its connection may be closed to make room.
    fn sending_time(&self) -> Duration {
        let connections = u32::try_from(self.max).unwrap_or(u32::MAX);
        SENDING_TIME.min(SENDING_TIME_PER_CONNECTION.saturating_mul(connections))
    }

    fn close(&self, conn: &ClientConnection, cause: Cause) {
        if conn.close() {
            metrics::counter!("crocustally_client_connections_closed", "cause" => cause.as_str())
                .increment(1);
            let mut closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
            *closed.entry(cause).or_default() += 1;
        }
    }

    /// Closes connections whose time is over, and those that hold most while the budget is short.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let times = *self.times.lock().unwrap_or_else(PoisonError::into_inner);
        let open: Vec<_> = self.open().values().cloned().collect();
        metrics::gauge!("crocustally_client_connections").set(open.len() as f64);
        for conn in &open {
            if let Some(cause) = conn.expired(now, times) {
                self.close(conn, cause);
            }
        }
        if let Some(budget) = &self.budget {
            metrics::gauge!("crocustally_buffer_bytes").set(budget.used() as f64);
        }
        let excess = self.budget.as_ref().map_or(0, BufferBudget::used_beyond_half);
        if excess > 0 {
            self.reclaim(now, &open, excess);
        }
    }

    /// Closes connections without progress until they have held `bytes`, those of the address that holds most first.
    fn reclaim(&self, now: Instant, open: &[Arc<ClientConnection>], bytes: usize) {
        let mut stalled: Vec<_> = open
            .iter()
            .filter(|c| {
                let since = c.without_progress_since();
                since.is_some_and(|s| now.saturating_duration_since(s) >= YIELD_TIME)
            })
            .map(|c| (c.held.load(Ordering::Relaxed), c))
            .filter(|(held, _)| *held > 0)
            .collect();
        let mut by_address: HashMap<IpAddr, usize> = HashMap::new();
        for (held, conn) in &stalled {
            *by_address.entry(conn.peer).or_default() += held;
        }
        stalled.sort_by_key(|(held, conn)| std::cmp::Reverse((by_address[&conn.peer], *held)));
        let mut left = bytes;
        for (held, conn) in stalled {
            self.close(conn, Cause::MemoryShort);
            left = left.saturating_sub(held);
            if left == 0 {
                return;
            }
        }
    }

    /// Logs how many connections were closed since the last call, by cause.
    pub(crate) fn log_closed(&self) {
        let closed =
            std::mem::take(&mut *self.closed.lock().unwrap_or_else(PoisonError::into_inner));
        let open = self.open().len();
        for (cause, n) in closed {
            log::warn!(cause = cause.as_str(), closed = n, open = open, max = self.max;
                "connections of clients closed");
        }
    }
}

/// An entry of [`ClientConnections`], removed on drop.
pub(crate) struct OpenConnection {
    connections: Arc<ClientConnections>,
    id: u64,
    pub(crate) conn: Arc<ClientConnection>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open().remove(&self.id);
    }
}
