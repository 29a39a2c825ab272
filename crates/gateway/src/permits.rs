//! [`PermitPool`]: one service's pool under its lock, with the requests that wait on it.

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
use crocustally_core::dispatch::Ask;
use crocustally_core::dispatch::Ended;
use crocustally_core::dispatch::Grant;
use crocustally_core::dispatch::MemberKey;
use crocustally_core::dispatch::Pool;
use crocustally_core::dispatch::PoolSettings;
use crocustally_core::dispatch::Refusal;
use crocustally_core::dispatch::Ticket;
use crocustally_core::dispatch::Verdict;
use crocustally_net::Clock;
use crocustally_net::timeout;

type GrantResult = Result<MemberKey, Refusal>;

/// A pool that all requests share.
pub(crate) struct PermitPool {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
}

struct Inner {
    pool: Pool,
    waiters: HashMap<Ticket, Sender<GrantResult>>,
}

/// A place at one endpoint, given back when it is dropped.
pub(crate) struct Permit {
    permits: Arc<PermitPool>,
    pub(crate) key: MemberKey,
    pub(crate) endpoint: String,
    pub(crate) address: SocketAddr,
    pub(crate) sent_at: Instant,
    prompt_tokens: u32,
    response_started: bool,
    released: bool,
}

impl Permit {
    /// Whether the answer has begun.
    pub(crate) fn response_started(&self) -> bool {
        self.response_started
    }

    /// Notes that the answer has begun.
    pub(crate) fn record_response_start(&mut self) {
        if !std::mem::replace(&mut self.response_started, true) {
            let now = self.permits.clock.now();
            let took = now.saturating_duration_since(self.sent_at);
            self.permits.lock().pool.began(now, self.key, self.prompt_tokens, took);
        }
    }

    /// Notes the gap between two events.
    pub(crate) fn record_event_gap(&self, gap: Duration) {
        let now = self.permits.clock.now();
        let mut inner = self.permits.lock();
        inner.pool.event(now, gap);
        if !inner.waiters.is_empty() {
            let grants = inner.pool.tick(now);
            inner.deliver_grants(now, grants);
        }
    }

    /// Gives the place back with what was learnt.
    pub(crate) fn finish(mut self, ended: Ended) {
        self.release_once(ended);
    }

    fn release_once(&mut self, ended: Ended) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        // A prompt that never began to be answered waits no longer.
        self.record_response_start();
        let now = self.permits.clock.now();
        let held = now.saturating_duration_since(self.sent_at);
        self.permits.update_pool(now, |pool| pool.finished(now, self.key, ended, held));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release_once(Ended::Unused);
    }
}

/// Takes a waiter out again when its caller leaves.
struct WaiterGuard<'a> {
    permits: &'a Arc<PermitPool>,
    ticket: Ticket,
    rx: Receiver<GrantResult>,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.permits.lock();
        if inner.waiters.remove(&self.ticket).is_some() {
            inner.pool.cancel(self.ticket);
        }
        drop(inner);
        if let Ok(Ok(key)) = self.rx.try_recv() {
            let now = self.permits.clock.now();
            let held = Duration::ZERO;
            self.permits.update_pool(now, |pool| pool.finished(now, key, Ended::Unused, held));
        }
    }
}

impl Inner {
    /// Hands grants to those who wait; a place that nobody takes any more is passed on.
    fn deliver_grants(&mut self, now: Instant, mut grants: Vec<Grant>) {
        while let Some((ticket, granted)) = grants.pop() {
            let waiter = self.waiters.remove(&ticket);
            let delivered = waiter.is_some_and(|tx| tx.try_send(granted).is_ok());
            if let (false, Ok(key)) = (delivered, granted) {
                grants.extend(self.pool.finished(now, key, Ended::Unused, Duration::ZERO));
            }
        }
    }
}

impl PermitPool {
    pub(crate) fn new(cfg: PoolSettings, clock: Arc<dyn Clock>) -> Self {
        let inner = Inner { pool: Pool::new(cfg), waiters: HashMap::new() };
        Self { inner: Mutex::new(inner), clock }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads or changes the pool without passing permits on.
    pub(crate) fn with_pool<T>(&self, f: impl FnOnce(&mut Pool) -> T) -> T {
        f(&mut self.lock().pool)
    }

    fn update_pool(&self, now: Instant, f: impl FnOnce(&mut Pool) -> Vec<Grant>) {
        let mut inner = self.lock();
        let grants = f(&mut inner.pool);
        inner.deliver_grants(now, grants);
    }

    /// Passes on what a change of beliefs has freed.
    pub(crate) fn deliver_pending(&self) {
        let now = self.clock.now();
        self.update_pool(now, |pool| pool.tick(now));
    }

    /// Finds a place, waiting for one as long as the request may.
    pub(crate) async fn acquire(self: &Arc<Self>, ask: &Ask) -> Result<Permit, Refusal> {
        let (ticket, rx) = {
            let mut inner = self.lock();
            match inner.pool.ask(self.clock.now(), ask) {
                Verdict::Send(key) => return self.permit(&inner, key, ask.prompt),
                Verdict::Refuse(refusal) => return Err(refusal),
                Verdict::Wait(ticket) => {
                    let (tx, rx) = async_channel::bounded(1);
                    inner.waiters.insert(ticket, tx);
                    (ticket, rx)
                }
            }
        };
        let guard = WaiterGuard { permits: self, ticket, rx };
        let time_limit = ask.start_by.saturating_duration_since(self.clock.now());
        let mut granted = timeout(time_limit, guard.rx.recv()).await;
        if granted.is_none() {
            self.deliver_pending();
            granted = guard.rx.try_recv().ok().map(Ok);
        }
        let not_granted =
            Refusal { code: Code::Overloaded, retry_after: Duration::from_millis(500) };
        let granted = granted.and_then(Result::ok).unwrap_or(Err(not_granted));
        drop(guard);
        self.permit(&self.lock(), granted?, ask.prompt)
    }

    fn permit(
        self: &Arc<Self>,
        inner: &Inner,
        key: MemberKey,
        prompt_tokens: u32,
    ) -> Result<Permit, Refusal> {
        let removed = Refusal { code: Code::NoEndpoint, retry_after: Duration::from_millis(500) };
        let member = inner.pool.member(key).ok_or(removed)?;
        Ok(Permit {
            permits: self.clone(),
            key,
            endpoint: member.known.beat.id.clone(),
            address: member.address(),
            sent_at: self.clock.now(),
            prompt_tokens,
            response_started: false,
            released: false,
        })
    }
}
