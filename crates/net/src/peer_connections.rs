//! [`PeerConnections`]: the open connections of a gRPC server and which of them gives way to a new one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use event_listener::Event;
use event_listener::EventListener;

/// The open connections of a gRPC server.
///
/// At the bound, a new connection takes the place of one without an open call: first of one that has
/// never made a call, then of the one whose last call is the longest ago. If all have open calls, the
/// new connection is refused.
#[derive(Debug)]
pub(crate) struct PeerConnections {
    max: usize,
    next: AtomicU64,
    open: Mutex<BTreeMap<u64, Arc<State>>>,
}

#[derive(Debug, Default)]
struct State {
    /// Calls whose response has not ended.
    calls: AtomicUsize,
    /// Position of the last call in the order of all calls and connections; 0 before the first one.
    last_call: AtomicU64,
    evicted: AtomicBool,
    event: Event,
}

/// One open connection; dropping it makes room for another one.
#[derive(Debug)]
pub(crate) struct PeerConnection {
    table: Arc<PeerConnections>,
    id: u64,
    state: Arc<State>,
}

/// One open call of a connection.
#[derive(Debug)]
pub(crate) struct CallGuard(Arc<State>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        let mut open = self.table.open();
        open.remove(&self.id);
        metrics::gauge!("crocustally_peer_connections").set(open.len() as f64);
    }
}

impl PeerConnections {
    pub(crate) fn new(max: usize) -> Arc<Self> {
        Arc::new(Self { max, next: AtomicU64::new(1), open: Mutex::default() })
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<State>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection, at the bound in place of another one; `None` if there is no room.
    pub(crate) fn add(self: &Arc<Self>) -> Option<PeerConnection> {
        let mut open = self.open();
        if open.len() >= self.max {
            let idle = open.iter().filter(|(_, s)| s.calls.load(Ordering::Acquire) == 0);
            let victim = idle.min_by_key(|(id, s)| (s.last_call.load(Ordering::Acquire), **id));
            let victim = victim.map(|(id, _)| *id)?;
            if let Some(state) = open.remove(&victim) {
                state.evicted.store(true, Ordering::Release);
                state.event.notify(usize::MAX);
            }
        }
        let id = self.next.fetch_add(1, Ordering::AcqRel);
        let state = Arc::new(State::default());
        open.insert(id, state.clone());
        metrics::gauge!("crocustally_peer_connections").set(open.len() as f64);
        Some(PeerConnection { table: self.clone(), id, state })
    }
}

impl PeerConnection {
    /// Registers a call, which is open until the guard is dropped.
    pub(crate) fn start_call(&self) -> CallGuard {
        self.state.calls.fetch_add(1, Ordering::AcqRel);
        let at = self.table.next.fetch_add(1, Ordering::AcqRel);
        self.state.last_call.store(at, Ordering::Release);
        CallGuard(self.state.clone())
    }

    /// Whether the connection has made a call.
    pub(crate) fn is_used(&self) -> bool {
        self.state.last_call.load(Ordering::Acquire) > 0
    }

    /// Whether the response of a call has not ended.
    pub(crate) fn has_calls(&self) -> bool {
        self.state.calls.load(Ordering::Acquire) > 0
    }

    /// Completes once the connection has to give way to another one.
    pub(crate) async fn evicted(&self) {
        loop {
            let listener: EventListener = self.state.event.listen();
            if self.state.evicted.load(Ordering::Acquire) {
                return;
            }
            listener.await;
        }
    }
}
