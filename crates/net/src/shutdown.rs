//! [`Shutdown`]: a graceful shutdown, which waits for open requests and connections.

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
use futures_lite::StreamExt;

use crate::Runtime;
use crate::sleep;

/// Interval at which a stopping process checks for open requests and connections.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The shutdown state of a process, shared by everything that takes part in the shutdown.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    requested: AtomicBool,
    requested_at: OnceLock<Instant>,
    requests: AtomicUsize,
    connections: AtomicUsize,
    request_event: event_listener::Event,
}

/// Counts one open request; the process does not exit before it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    inner: Arc<Inner>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.inner.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts one open connection; the process waits for its output to be flushed.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    inner: Arc<Inner>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.inner.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shutdown {
    /// Requests the shutdown on the first of `signals`.
    pub fn on_signals(&self, rt: &Runtime, signals: Signals) {
        let (this, mut signals) = (self.clone(), signals);
        rt.spawn(async move {
            signals.next().await;
            this.request();
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

    /// Requests the shutdown.
    pub fn request(&self) {
        self.inner.requested_at.get_or_init(Instant::now);
        self.inner.requested.store(true, Ordering::Release);
        self.inner.request_event.notify(usize::MAX);
    }

    /// Whether the shutdown has been requested.
    pub fn is_requested(&self) -> bool {
        self.inner.requested.load(Ordering::Acquire)
    }

    /// Waits until the shutdown is requested.
    pub async fn wait(&self) {
        while !self.is_requested() {
            let listener = self.inner.request_event.listen();
            if self.is_requested() {
                return;
            }
            listener.await;
        }
    }

    /// Time since the shutdown was requested, if it was.
    pub fn elapsed(&self) -> Option<Duration> {
        self.inner.requested_at.get().map(Instant::elapsed)
    }

    /// Waits until `delay` has passed since the shutdown was requested, regardless of when this is
    /// called.
    pub async fn wait_elapsed(&self, delay: Duration) {
        self.wait().await;
        let elapsed = self.inner.requested_at.get().map_or(Duration::ZERO, Instant::elapsed);
        sleep(delay.saturating_sub(elapsed)).await;
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn track_request(&self) -> RequestGuard {
        self.inner.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard { inner: self.inner.clone() }
    }

    /// Number of open requests.
    pub fn request_count(&self) -> usize {
        self.inner.requests.load(Ordering::Acquire)
    }

    /// Waits until the shutdown is requested and the last request has completed.
    pub async fn drained(&self) {
        self.wait().await;
        while self.request_count() > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the last request has completed and all connections are closed, so that every
    /// response has been flushed.
    pub async fn connections_closed(&self) {
        self.drained().await;
        while self.inner.connections.load(Ordering::Acquire) > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub(crate) fn track_connection(&self) -> ConnectionGuard {
        self.inner.connections.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard { inner: self.inner.clone() }
    }
}
