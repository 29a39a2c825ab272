//! [`Shard`]: the routing state of one service under its own lock, with the requests that wait in
//! its queue.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use crocustally_core::Code;
use crocustally_core::routing::EndpointKey;
use crocustally_core::routing::Load;
use crocustally_core::routing::QueueOutcomes;
use crocustally_core::routing::RequestOutcome;
use crocustally_core::routing::RouteDecision;
use crocustally_core::routing::RouteRequest;
use crocustally_core::routing::ServiceRouter;
use crocustally_core::routing::WaiterKey;
use crocustally_net::Clock;

type QueueResult = Result<EndpointKey, Code>;

/// Routing state of one service, shared by all threads.
pub(crate) struct Shard {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
}

struct Inner {
    router: ServiceRouter,
    waiters: HashMap<WaiterKey, Sender<QueueResult>>,
}

/// A slot at an endpoint, released on drop.
pub(crate) struct Slot {
    shard: Arc<Shard>,
    /// Key of the endpoint.
    pub(crate) key: EndpointKey,
    /// Name of the endpoint.
    pub(crate) name: String,
    /// Failure domain of the endpoint.
    pub(crate) domain: String,
    /// Address of its agent.
    pub(crate) address: String,
    /// Incarnation of its agent.
    pub(crate) incarnation: u64,
    /// How long to wait for the first byte before another endpoint is tried.
    pub(crate) first_byte_timeout: Duration,
    acquired_at: Instant,
    response_started: bool,
    released: bool,
}

impl Slot {
    /// Records that the response has started.
    pub(crate) fn mark_response_started(&mut self) {
        self.response_started = true;
        let now = self.shard.clock.now();
        self.shard.with(|router| router.response_started(now, self.key));
    }

    /// Releases the slot with the outcome of the request and the load that the agent reported.
    pub(crate) fn complete(mut self, outcome: RequestOutcome, load: Option<Load>) {
        self.release_slot(outcome, load);
    }

    fn release_slot(&mut self, outcome: RequestOutcome, load: Option<Load>) {
        if self.released {
            return;
        }
        self.released = true;
        let now = self.shard.clock.now();
        let held_for = now.saturating_duration_since(self.acquired_at);
        let started = self.response_started;
        self.shard
            .update(|router| router.complete(now, self.key, outcome, load, held_for, started));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release_slot(RequestOutcome::Unused, None);
    }
}

/// Removes a waiter from the queue when its caller disconnects. If a slot was granted meanwhile, it
/// is released.
struct WaiterGuard<'a> {
    shard: &'a Arc<Shard>,
    waiter: WaiterKey,
    rx: Receiver<QueueResult>,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.shard.lock();
        if inner.waiters.remove(&self.waiter).is_some() {
            inner.router.cancel(self.waiter);
        }
        drop(inner);
        if let Ok(Ok(key)) = self.rx.try_recv() {
            let now = self.shard.clock.now();
            let zero = Duration::ZERO;
            self.shard.update(|router| {
                router.complete(now, key, RequestOutcome::Unused, None, zero, false)
            });
        }
    }
}

impl Shard {
    pub(crate) fn new(router: ServiceRouter, clock: Arc<dyn Clock>) -> Self {
        Self { inner: Mutex::new(Inner { router, waiters: HashMap::new() }), clock }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads or changes the state without delivering outcomes to queued requests.
    pub(crate) fn with<T>(&self, f: impl FnOnce(&mut ServiceRouter) -> T) -> T {
        f(&mut self.lock().router)
    }

    /// Changes the state and delivers the resulting outcomes to queued requests. The slot of a
    /// waiter that is gone is released.
    pub(crate) fn update(&self, f: impl FnOnce(&mut ServiceRouter) -> QueueOutcomes) {
        let mut inner = self.lock();
        let mut outcomes = f(&mut inner.router);
        while let Some(outcome) = outcomes.pop() {
            let waiter = inner.waiters.remove(&outcome.waiter);
            let delivered = waiter.is_some_and(|tx| tx.try_send(outcome.result).is_ok());
            if let (false, Ok(key)) = (delivered, outcome.result) {
                let now = self.clock.now();
                let zero = Duration::ZERO;
                outcomes.extend(inner.router.complete(
                    now,
                    key,
                    RequestOutcome::Unused,
                    None,
                    zero,
                    false,
                ));
            }
        }
    }

    /// Acquires a slot, waiting in the queue until the queue deadline.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        request: &RouteRequest<'_>,
    ) -> Result<Slot, Code> {
        let (waiter, rx) = {
            let mut inner = self.lock();
            match inner.router.route(self.clock.now(), request) {
                RouteDecision::Send(key) => return self.slot_at(&inner, key),
                RouteDecision::Refuse(code) => return Err(code),
                RouteDecision::Wait(waiter) => {
                    let (tx, rx) = async_channel::bounded(1);
                    inner.waiters.insert(waiter, tx);
                    (waiter, rx)
                }
            }
        };
        let guard = WaiterGuard { shard: self, waiter, rx };
        let result = guard.rx.recv().await.unwrap_or(Err(Code::Overloaded));
        drop(guard);
        self.slot_at(&self.lock(), result?)
    }

    fn slot_at(self: &Arc<Self>, inner: &Inner, key: EndpointKey) -> Result<Slot, Code> {
        let e = inner.router.directory.get(key).ok_or(Code::NoEndpoint)?;
        Ok(Slot {
            shard: self.clone(),
            key,
            name: e.announcement.name.clone(),
            domain: e.announcement.domain.clone(),
            address: e.announcement.address.clone(),
            incarnation: e.announcement.incarnation,
            first_byte_timeout: e.first_byte_timeout(),
            acquired_at: self.clock.now(),
            response_started: false,
            released: false,
        })
    }
}
