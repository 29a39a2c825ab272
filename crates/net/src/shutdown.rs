//! [`Shutdown`]: a graceful shutdown in stages, which ends with the last response flushed.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_signal::Signal;
use async_signal::Signals;
use event_listener::Event;
use futures_lite::StreamExt;
use futures_lite::future;

use crate::Runtime;
use crate::sleep;

/// Who a server serves. A shutdown closes the servers of one stage after the other: each stage begins
/// when all listeners and connections of the stages before it are closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShutdownStage {
    /// Callers. Their stage also lasts until the last open request has completed.
    #[default]
    Callers,
    /// Other processes of the deployment, which may ask for the outcome of the last requests.
    Peers,
    /// Operators and monitoring, which may watch the shutdown.
    Observers,
}

impl ShutdownStage {
    const ALL: [Self; 3] = [Self::Callers, Self::Peers, Self::Observers];

    /// The stages that have to end before this one begins.
    fn earlier(self) -> &'static [Self] {
        &Self::ALL[..self as usize]
    }
}

/// The shutdown state of a process, shared by everything that takes part in the shutdown.
///
/// A handle belongs to a stage, [`ShutdownStage::Callers`] at first.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    inner: Arc<Inner>,
    stage: ShutdownStage,
}

#[derive(Debug, Default)]
struct Inner {
    requested: AtomicBool,
    requested_at: OnceLock<Instant>,
    requests: AtomicUsize,
    servers: [ServerCounts; ShutdownStage::ALL.len()],
    /// Notified when the shutdown is requested, and when a counter falls to zero after that.
    changed: Event,
}

/// What the servers of one stage have open.
#[derive(Debug, Default)]
struct ServerCounts {
    listeners: AtomicUsize,
    connections: AtomicUsize,
}

impl Inner {
    fn is_requested(&self) -> bool {
        self.requested.load(Ordering::SeqCst)
    }

    /// Whether a stage has nothing open. The order of the checks matters: an open listener may add
    /// connections, and an open connection may add requests, but not the other way round.
    fn has_ended(&self, stage: ShutdownStage) -> bool {
        let counts = &self.servers[stage as usize];
        counts.listeners.load(Ordering::SeqCst) == 0
            && counts.connections.load(Ordering::SeqCst) == 0
            && (stage != ShutdownStage::Callers || self.requests.load(Ordering::SeqCst) == 0)
    }

    fn decrement(&self, counter: &AtomicUsize) {
        if counter.fetch_sub(1, Ordering::SeqCst) == 1 && self.is_requested() {
            self.changed.notify(usize::MAX);
        }
    }
}

/// Counts one open request; the process does not exit before it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    inner: Arc<Inner>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.inner.decrement(&self.inner.requests);
    }
}

/// Counts one open listener. A server drops it once it has accepted its last connection.
#[derive(Debug)]
pub struct ListenerGuard {
    shutdown: Shutdown,
}

impl Drop for ListenerGuard {
    fn drop(&mut self) {
        self.shutdown.inner.decrement(&self.shutdown.counts().listeners);
    }
}

/// Counts one open connection; the process waits for its output to be flushed.
#[derive(Debug)]
pub struct ConnectionGuard {
    shutdown: Shutdown,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.shutdown.inner.decrement(&self.shutdown.counts().connections);
    }
}

impl Shutdown {
    /// Requests the shutdown on the first of `signals`, at once if one has arrived already; later ones
    /// have no effect.
    pub fn on_signals(&self, rt: &Runtime, signals: Signals) {
        let (this, mut signals) = (self.clone(), signals);
        if async_io::block_on(future::poll_once(signals.next())).flatten().is_some() {
            this.request();
        }
        rt.spawn(async move {
            while signals.next().await.is_some() {
                this.request();
            }
        });
    }

    /// Installs the handlers of SIGTERM and SIGINT, whose default action ends the process without a
    /// graceful shutdown.
    ///
    /// To be called first at start, since a supervisor may stop a process at any moment.
    ///
    /// # Errors
    ///
    /// Fails if the handlers cannot be installed.
    pub fn termination_signals() -> std::io::Result<Signals> {
        Signals::new([Signal::Term, Signal::Int])
    }

    /// Installs the handler of SIGHUP, whose default action ends the process.
    ///
    /// To be called first at start, since an operator may send SIGHUP at any moment.
    ///
    /// # Errors
    ///
    /// Fails if the handler cannot be installed.
    pub fn hangup_signals() -> std::io::Result<Signals> {
        Signals::new([Signal::Hup])
    }

    /// Returns a channel with a message for each SIGHUP; signals before the next receive are merged
    /// into one.
    pub fn reload_requests(rt: &Runtime, hangups: Signals) -> Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        let mut signals = hangups;
        rt.spawn(async move {
            while signals.next().await.is_some() {
                // A full channel holds a reload that has not begun and covers this signal.
                let _ = tx.try_send(());
            }
        });
        rx
    }

    /// A handle to the same shutdown for servers of another stage.
    pub fn in_stage(&self, stage: ShutdownStage) -> Self {
        Self { inner: self.inner.clone(), stage }
    }

    /// Requests the shutdown.
    pub fn request(&self) {
        self.inner.requested_at.get_or_init(Instant::now);
        self.inner.requested.store(true, Ordering::SeqCst);
        self.inner.changed.notify(usize::MAX);
    }

    /// Whether the shutdown has been requested.
    pub fn is_requested(&self) -> bool {
        self.inner.is_requested()
    }

    /// Waits until the shutdown is requested.
    pub async fn wait(&self) {
        self.wait_until(|| self.is_requested()).await;
    }

    /// Time since the shutdown was requested, if it was.
    pub fn elapsed(&self) -> Option<Duration> {
        self.inner.requested_at.get().map(Instant::elapsed)
    }

    /// Waits until `delay` has passed since the shutdown was requested, regardless of when this is
    /// called.
    pub async fn wait_elapsed(&self, delay: Duration) {
        self.wait().await;
        sleep(delay.saturating_sub(self.elapsed().unwrap_or_default())).await;
    }

    /// Whether the shutdown is requested and the stage of this handle has begun.
    pub fn stage_has_begun(&self) -> bool {
        let ended = |stage: &ShutdownStage| self.inner.has_ended(*stage);
        self.is_requested() && self.stage.earlier().iter().all(ended)
    }

    /// Waits until the shutdown is requested and the stage of this handle begins.
    pub async fn stage_begins(&self) {
        self.wait_until(|| self.stage_has_begun()).await;
    }

    /// Waits until the shutdown is requested and nothing of the stage of this handle, or of those
    /// before it, is open.
    pub async fn stage_ended(&self) {
        self.wait_until(|| self.stage_has_begun() && self.inner.has_ended(self.stage)).await;
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn track_request(&self) -> RequestGuard {
        self.inner.requests.fetch_add(1, Ordering::SeqCst);
        RequestGuard { inner: self.inner.clone() }
    }

    /// Number of open requests.
    pub fn request_count(&self) -> usize {
        self.inner.requests.load(Ordering::SeqCst)
    }

    /// Counts a listener as open until the returned guard is dropped.
    pub fn track_listener(&self) -> ListenerGuard {
        self.counts().listeners.fetch_add(1, Ordering::SeqCst);
        ListenerGuard { shutdown: self.clone() }
    }

    /// Counts a connection as open until the returned guard is dropped. To be called while the
    /// listener that accepted it is still counted.
    pub fn track_connection(&self) -> ConnectionGuard {
        self.counts().connections.fetch_add(1, Ordering::SeqCst);
        ConnectionGuard { shutdown: self.clone() }
    }

    fn counts(&self) -> &ServerCounts {
        &self.inner.servers[self.stage as usize]
    }

    /// Waits until `condition` holds, which requires the request of the shutdown.
    async fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            let listener = self.inner.changed.listen();
            if condition() {
                return;
            }
            listener.await;
        }
    }
}
