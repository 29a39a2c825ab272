//! [`Shard`]: one service's routing state under its own lock, with the requests that wait on it.

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

type Word = Result<EndpointKey, Code>;

/// Routing state that all threads share.
pub(crate) struct Shard {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
}

struct Inner {
    core: ServiceRouter,
    waiters: HashMap<WaiterKey, Sender<Word>>,
}

/// A place counted at one endpoint, given back when it is dropped.
pub(crate) struct Place {
    shard: Arc<Shard>,
    /// The endpoint.
    pub(crate) key: EndpointKey,
    /// Name of the endpoint.
    pub(crate) name: String,
    /// Failure domain of the endpoint.
    pub(crate) domain: String,
    /// Address of its agent.
    pub(crate) address: String,
    /// Incarnation of its agent.
    pub(crate) incarnation: u64,
    /// How long an answer may take to begin before it is worth asking elsewhere.
    pub(crate) patience: Duration,
    begun: Instant,
    answering: bool,
    given_back: bool,
}

impl Place {
    /// Notes that the answer has begun.
    pub(crate) fn began(&mut self) {
        self.answering = true;
        let now = self.shard.clock.now();
        self.shard.with(|core| core.response_started(now, self.key));
    }

    /// Gives the place back with what was learnt.
    pub(crate) fn finish(mut self, ended: RequestOutcome, load: Option<Load>) {
        self.give_back(ended, load);
    }

    fn give_back(&mut self, ended: RequestOutcome, load: Option<Load>) {
        if self.given_back {
            return;
        }
        self.given_back = true;
        let now = self.shard.clock.now();
        let held = now.saturating_duration_since(self.begun);
        let began = self.answering;
        self.shard.update(|core| core.complete(now, self.key, ended, load, held, began));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.give_back(RequestOutcome::Unused, None);
    }
}

/// Takes a waiter out again when its caller leaves.
struct Waiting<'a> {
    shard: &'a Arc<Shard>,
    waiter: WaiterKey,
    rx: Receiver<Word>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut inner = self.shard.lock();
        if inner.waiters.remove(&self.waiter).is_some() {
            inner.core.cancel(self.waiter);
        }
        drop(inner);
        if let Ok(Ok(key)) = self.rx.try_recv() {
            let now = self.shard.clock.now();
            let zero = Duration::ZERO;
            self.shard
                .update(|core| core.complete(now, key, RequestOutcome::Unused, None, zero, false));
        }
    }
}

impl Shard {
    pub(crate) fn new(core: ServiceRouter, clock: Arc<dyn Clock>) -> Self {
        Self { inner: Mutex::new(Inner { core, waiters: HashMap::new() }), clock }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads or changes the state without granting anything.
    pub(crate) fn with<T>(&self, f: impl FnOnce(&mut ServiceRouter) -> T) -> T {
        f(&mut self.lock().core)
    }

    /// Changes the state and passes on the grants that follow.
    pub(crate) fn update(&self, f: impl FnOnce(&mut ServiceRouter) -> QueueOutcomes) {
        let mut inner = self.lock();
        let mut grants = f(&mut inner.core);
        while let Some(grant) = grants.pop() {
            let waiter = inner.waiters.remove(&grant.waiter);
            let taken = waiter.is_some_and(|tx| tx.try_send(grant.result).is_ok());
            if let (false, Ok(key)) = (taken, grant.result) {
                let now = self.clock.now();
                let zero = Duration::ZERO;
                grants.extend(inner.core.complete(
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

    /// Finds a place, waiting for room as long as the request may.
    pub(crate) async fn place(self: &Arc<Self>, ask: &RouteRequest<'_>) -> Result<Place, Code> {
        let (waiter, rx) = {
            let mut inner = self.lock();
            match inner.core.route(self.clock.now(), ask) {
                RouteDecision::Send(key) => return self.taken(&inner, key),
                RouteDecision::Refuse(code) => return Err(code),
                RouteDecision::Wait(waiter) => {
                    let (tx, rx) = async_channel::bounded(1);
                    inner.waiters.insert(waiter, tx);
                    (waiter, rx)
                }
            }
        };
        let waiting = Waiting { shard: self, waiter, rx };
        let word = waiting.rx.recv().await.unwrap_or(Err(Code::Overloaded));
        drop(waiting);
        self.taken(&self.lock(), word?)
    }

    fn taken(self: &Arc<Self>, inner: &Inner, key: EndpointKey) -> Result<Place, Code> {
        let e = inner.core.directory.get(key).ok_or(Code::NoEndpoint)?;
        Ok(Place {
            shard: self.clone(),
            key,
            name: e.announcement.name.clone(),
            domain: e.announcement.domain.clone(),
            address: e.announcement.address.clone(),
            incarnation: e.announcement.incarnation,
            patience: e.first_byte_timeout(),
            begun: self.clock.now(),
            answering: false,
            given_back: false,
        })
    }
}
