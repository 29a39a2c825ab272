//! [`Shutdown`]: a planned stop, which waits for the last request.

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

/// How often a stopping process looks whether its last request has ended.
const POLL: Duration = Duration::from_millis(10);

/// Shared by everything in a process that a planned stop concerns.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    asked: AtomicBool,
    asked_at: OnceLock<Instant>,
    busy: AtomicUsize,
    connections: AtomicUsize,
    waiting: event_listener::Event,
}

/// One request under way; the process does not end before it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    inner: Arc<Inner>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.inner.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

/// One open connection; a finished stop has let it flush.
#[derive(Debug)]
pub(crate) struct Open {
    inner: Arc<Inner>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.inner.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shutdown {
    /// Asks for the stop on SIGTERM or SIGINT.
    pub fn on_signals(&self, rt: &Runtime) {
        let this = self.clone();
        rt.spawn(async move {
            let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int]) else { return };
            signals.next().await;
            this.request();
        });
    }

    /// Takes over SIGHUP, which from now on does not end the process; the first thing to do at start,
    /// since settings may change at any moment.
    pub fn hangup_signals() -> std::io::Result<Signals> {
        Signals::new([Signal::Hup])
    }

    /// One message for each SIGHUP since it was taken over.
    pub fn reload_requests(rt: &Runtime, hangups: Signals) -> Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        let mut signals = hangups;
        rt.spawn(async move {
            while signals.next().await.is_some() {
                // A reload that is still waiting covers this one as well.
                let _ = tx.try_send(());
            }
        });
        rx
    }

    /// Asks for the stop.
    pub fn request(&self) {
        self.inner.asked_at.get_or_init(Instant::now);
        self.inner.asked.store(true, Ordering::Release);
        self.inner.waiting.notify(usize::MAX);
    }

    /// Whether the stop has been asked for.
    pub fn is_requested(&self) -> bool {
        self.inner.asked.load(Ordering::Acquire)
    }

    /// Waits until the stop is asked for.
    pub async fn wait(&self) {
        while !self.is_requested() {
            let listener = self.inner.waiting.listen();
            if self.is_requested() {
                return;
            }
            listener.await;
        }
    }

    /// Waits until `linger` has passed since the stop was asked for, whenever this is called.
    pub async fn wait_elapsed(&self, linger: Duration) {
        self.wait().await;
        let passed = self.inner.asked_at.get().map_or(Duration::ZERO, Instant::elapsed);
        sleep(linger.saturating_sub(passed)).await;
    }

    /// Notes a request under way.
    pub fn track_request(&self) -> RequestGuard {
        self.inner.busy.fetch_add(1, Ordering::AcqRel);
        RequestGuard { inner: self.inner.clone() }
    }

    /// Requests under way.
    pub fn request_count(&self) -> usize {
        self.inner.busy.load(Ordering::Acquire)
    }

    /// Waits until the stop is asked for and the last request has ended.
    pub async fn drained(&self) {
        self.wait().await;
        while self.request_count() > 0 {
            sleep(POLL).await;
        }
    }

    /// Waits until the last request has ended and its answer has left the process.
    pub async fn connections_closed(&self) {
        self.drained().await;
        while self.inner.connections.load(Ordering::Acquire) > 0 {
            sleep(POLL).await;
        }
    }

    pub(crate) fn connection(&self) -> Open {
        self.inner.connections.fetch_add(1, Ordering::AcqRel);
        Open { inner: self.inner.clone() }
    }
}
