//! [`Places`]: one service's pool under its lock, with the requests that wait on it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use crocustally_core::Code;
use crocustally_core::dispatch::DispatchDecision;
use crocustally_core::dispatch::DispatchRequest;
use crocustally_core::dispatch::MemberKey;
use crocustally_core::dispatch::Pool;
use crocustally_core::dispatch::PoolSettings;
use crocustally_core::dispatch::QueueOutcome;
use crocustally_core::dispatch::Refusal;
use crocustally_core::dispatch::RequestOutcome;
use crocustally_core::dispatch::Ticket;
use crocustally_net::Clock;
use crocustally_net::timeout;

type Word = Result<MemberKey, Refusal>;

/// A pool that all requests share.
pub(crate) struct Places {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
}

struct Inner {
    pool: Pool,
    waiters: HashMap<Ticket, Sender<Word>>,
}

/// A place at one endpoint, given back when it is dropped.
pub(crate) struct Place {
    places: Arc<Places>,
    pub(crate) key: MemberKey,
    pub(crate) endpoint: String,
    pub(crate) address: SocketAddr,
    pub(crate) sent: Instant,
    prompt: u32,
    began: bool,
    given_back: bool,
}

impl Place {
    /// Whether the answer has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.began
    }

    /// Notes that the answer has begun.
    pub(crate) fn began(&mut self) {
        if !std::mem::replace(&mut self.began, true) {
            let now = self.places.clock.now();
            let took = now.saturating_duration_since(self.sent);
            self.places.lock().pool.response_started(now, self.key, self.prompt, took);
        }
    }

    /// Notes the gap between two events.
    pub(crate) fn event(&self, gap: Duration) {
        let now = self.places.clock.now();
        let mut inner = self.places.lock();
        inner.pool.record_event_gap(now, gap);
        if !inner.waiters.is_empty() {
            let grants = inner.pool.tick(now);
            inner.pass_on(now, grants);
        }
    }

    /// Gives the place back with what was learnt.
    pub(crate) fn finish(mut self, ended: RequestOutcome) {
        self.give_back(ended);
    }

    fn give_back(&mut self, ended: RequestOutcome) {
        if std::mem::replace(&mut self.given_back, true) {
            return;
        }
        // A prompt that never began to be answered waits no longer.
        self.began();
        let now = self.places.clock.now();
        let held = now.saturating_duration_since(self.sent);
        self.places.update(now, |pool| pool.complete(now, self.key, ended, held));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.give_back(RequestOutcome::Unused);
    }
}

/// Takes a waiter out again when its caller leaves.
struct Waiting<'a> {
    places: &'a Arc<Places>,
    ticket: Ticket,
    rx: Receiver<Word>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut inner = self.places.lock();
        if inner.waiters.remove(&self.ticket).is_some() {
            inner.pool.cancel(self.ticket);
        }
        drop(inner);
        if let Ok(Ok(key)) = self.rx.try_recv() {
            let now = self.places.clock.now();
            let zero = Duration::ZERO;
            self.places.update(now, |pool| pool.complete(now, key, RequestOutcome::Unused, zero));
        }
    }
}

impl Inner {
    /// Hands grants to those who wait; a place that nobody takes any more is passed on.
    fn pass_on(&mut self, now: Instant, mut grants: Vec<QueueOutcome>) {
        while let Some((ticket, word)) = grants.pop() {
            let waiter = self.waiters.remove(&ticket);
            let taken = waiter.is_some_and(|tx| tx.try_send(word).is_ok());
            if let (false, Ok(key)) = (taken, word) {
                grants.extend(self.pool.complete(now, key, RequestOutcome::Unused, Duration::ZERO));
            }
        }
    }
}

impl Places {
    pub(crate) fn new(cfg: PoolSettings, clock: Arc<dyn Clock>) -> Self {
        let inner = Inner { pool: Pool::new(cfg), waiters: HashMap::new() };
        Self { inner: Mutex::new(inner), clock }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads or changes the pool without passing places on.
    pub(crate) fn with<T>(&self, f: impl FnOnce(&mut Pool) -> T) -> T {
        f(&mut self.lock().pool)
    }

    fn update(&self, now: Instant, f: impl FnOnce(&mut Pool) -> Vec<QueueOutcome>) {
        let mut inner = self.lock();
        let grants = f(&mut inner.pool);
        inner.pass_on(now, grants);
    }

    /// Passes on what a change of beliefs has freed.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        self.update(now, |pool| pool.tick(now));
    }

    /// Finds a place, waiting for one as long as the request may.
    pub(crate) async fn place(self: &Arc<Self>, ask: &DispatchRequest) -> Result<Place, Refusal> {
        let (ticket, rx) = {
            let mut inner = self.lock();
            match inner.pool.dispatch(self.clock.now(), ask) {
                DispatchDecision::Send(key) => return self.taken(&inner, key, ask.prompt_tokens),
                DispatchDecision::Refuse(refusal) => return Err(refusal),
                DispatchDecision::Wait(ticket) => {
                    let (tx, rx) = async_channel::bounded(1);
                    inner.waiters.insert(ticket, tx);
                    (ticket, rx)
                }
            }
        };
        let waiting = Waiting { places: self, ticket, rx };
        let left = ask.queue_deadline.saturating_duration_since(self.clock.now());
        let mut word = timeout(left, waiting.rx.recv()).await;
        if word.is_none() {
            self.tick();
            word = waiting.rx.try_recv().ok().map(Ok);
        }
        let none = Refusal { code: Code::Overloaded, retry_after: Duration::from_millis(500) };
        let word = word.and_then(Result::ok).unwrap_or(Err(none));
        drop(waiting);
        self.taken(&self.lock(), word?, ask.prompt_tokens)
    }

    fn taken(
        self: &Arc<Self>,
        inner: &Inner,
        key: MemberKey,
        prompt: u32,
    ) -> Result<Place, Refusal> {
        let gone = Refusal { code: Code::NoEndpoint, retry_after: Duration::from_millis(500) };
        let m = inner.pool.member(key).ok_or(gone)?;
        Ok(Place {
            places: self.clone(),
            key,
            endpoint: m.registration.heartbeat.id.clone(),
            address: m.address(),
            sent: self.clock.now(),
            prompt,
            began: false,
            given_back: false,
        })
    }
}
