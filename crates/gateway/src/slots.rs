//! [`SlotPool`]: a service's [`Pool`] behind a mutex, with the queue of waiting requests.

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
use crocustally_core::dispatch::SizedPart;
use crocustally_core::dispatch::StartedPrompt;
use crocustally_core::dispatch::Ticket;
use crocustally_net::Clock;
use crocustally_net::timeout;
use smallvec::SmallVec;

use crate::endpoint_ends::BEGINNING;
use crate::endpoint_ends::InFlight;

type SlotResult = Result<MemberKey, Refusal>;

/// A [`Pool`] shared by all requests to one service.
pub(crate) struct SlotPool {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
}

struct Inner {
    pool: Pool,
    waiters: HashMap<Ticket, Sender<SlotResult>>,
}

/// Slot at an endpoint, held for one request and released on drop.
pub(crate) struct Slot {
    slot_pool: Arc<SlotPool>,
    pub(crate) key: MemberKey,
    pub(crate) endpoint: String,
    pub(crate) address: SocketAddr,
    pub(crate) sent_at: Instant,
    prompt_tokens: u32,
    kv_tokens: u32,
    /// Parts of the prompt in order.
    parts: SmallVec<[SizedPart; 4]>,
    /// Tokens of the prompt that the endpoint was believed to hold.
    saved_tokens: u32,
    response_started_at: Option<Instant>,
    /// When the request was sent or the last event arrived.
    last_active_at: Instant,
    /// What may be at fault if the endpoint ends; `None` if the prompt's parts are unknown.
    in_flight: Option<InFlight>,
    released: bool,
}

impl Slot {
    /// Whether the response has started.
    pub(crate) fn response_started(&self) -> bool {
        self.response_started_at.is_some()
    }

    /// Whether the answer has gone on for so long that it cannot be what ends the endpoint.
    pub(crate) fn is_answering(&self) -> bool {
        self.response_started_at
            .is_some_and(|at| self.slot_pool.clock.now().saturating_duration_since(at) >= BEGINNING)
    }

    /// Remembers what the endpoint runs.
    pub(crate) fn set_in_flight(&mut self, in_flight: Option<InFlight>) {
        self.in_flight = in_flight;
    }

    /// Records the start of the response; further calls only count as activity.
    pub(crate) fn record_response_start(&mut self) {
        let now = self.slot_pool.clock.now();
        self.last_active_at = now;
        if self.response_started_at.is_none() {
            self.record_prompt(now);
        }
        self.start_response(now);
    }

    /// Records that the endpoint has prefilled the prompt.
    fn record_prompt(&self, now: Instant) {
        if self.parts.is_empty() {
            return;
        }
        let prompt = StartedPrompt {
            parts: &self.parts,
            prompt_tokens: self.prompt_tokens,
            saved_tokens: self.saved_tokens,
            latency: now.saturating_duration_since(self.sent_at),
        };
        self.slot_pool.lock().pool.record_prompt_started(now, self.key, &prompt);
        if self.saved_tokens > 0 {
            metrics::counter!("crocustally_prompt_hits").increment(1);
            metrics::counter!("crocustally_prompt_tokens_saved")
                .increment(u64::from(self.saved_tokens));
        }
    }

    fn start_response(&mut self, now: Instant) {
        if self.response_started_at.is_none() {
            self.response_started_at = Some(now);
            let took = now.saturating_duration_since(self.sent_at);
            self.slot_pool.lock().pool.response_started(now, self.key, self.prompt_tokens, took);
        }
    }

    /// Records that the endpoint has begun to respond.
    pub(crate) fn record_reached(&self) {
        let now = self.slot_pool.clock.now();
        self.slot_pool.lock().pool.record_reached(now, self.key);
    }

    /// Records that the endpoint has accepted the request.
    pub(crate) fn record_accepted(&self) {
        self.slot_pool.lock().pool.record_accepted();
    }

    /// Records that the endpoint says that it leaves; returns whether that is new.
    pub(crate) fn record_leaving(&self) -> bool {
        let mut is_new = false;
        self.update_pool(|_, pool| is_new = pool.record_leaving(self.key));
        is_new
    }

    /// Records that the endpoint wants no requests of this gateway for `time`.
    pub(crate) fn record_quiet(&self, time: Duration) {
        self.update_pool(|now, pool| pool.record_quiet(now, self.key, time));
    }

    /// Changes the pool and delivers what follows for the queue.
    fn update_pool(&self, f: impl FnOnce(Instant, &mut Pool)) {
        let now = self.slot_pool.clock.now();
        self.slot_pool.update_pool(now, |pool| {
            f(now, pool);
            pool.tick(now)
        });
    }

    /// Records the gap between two events.
    pub(crate) fn record_event_gap(&self, gap: Duration) {
        let now = self.slot_pool.clock.now();
        let mut inner = self.slot_pool.lock();
        inner.pool.record_event_gap(now, self.key, gap);
        inner.pool.record_reached(now, self.key);
        if !inner.waiters.is_empty() {
            let outcomes = inner.pool.tick(now);
            inner.deliver_outcomes(now, outcomes);
        }
    }

    /// Releases the slot and records the outcome.
    pub(crate) fn finish(mut self, outcome: RequestOutcome) {
        self.release_once(outcome);
    }

    fn release_once(&mut self, outcome: RequestOutcome) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let now = self.slot_pool.clock.now();
        if let Some(in_flight) = self.in_flight.take() {
            let answered_for = self.response_started_at.map(|at| now.saturating_duration_since(at));
            let silent_for = now.saturating_duration_since(self.last_active_at);
            in_flight.ended(outcome, answered_for, silent_for);
        }
        // Without a response start, the pool would keep counting the prompt as waiting.
        self.start_response(now);
        let held = now.saturating_duration_since(self.sent_at);
        let kv_tokens = Some(self.kv_tokens);
        self.slot_pool.update_pool(now, |pool| {
            pool.complete_with_kv(now, self.key, outcome, held, kv_tokens)
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release_once(RequestOutcome::Unused);
    }
}

/// Removes a waiter from the queue when its request is cancelled.
struct WaiterGuard<'a> {
    slot_pool: &'a Arc<SlotPool>,
    ticket: Ticket,
    rx: Receiver<SlotResult>,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.slot_pool.lock();
        if inner.waiters.remove(&self.ticket).is_some() {
            inner.pool.cancel(self.ticket);
        }
        drop(inner);
        if let Ok(Ok(key)) = self.rx.try_recv() {
            let now = self.slot_pool.clock.now();
            let held = Duration::ZERO;
            self.slot_pool
                .update_pool(now, |pool| pool.complete(now, key, RequestOutcome::Unused, held));
        }
    }
}

impl Inner {
    /// Delivers outcomes to their waiters; a slot whose waiter is gone goes to the next one.
    fn deliver_outcomes(&mut self, now: Instant, mut outcomes: Vec<QueueOutcome>) {
        while let Some((ticket, result)) = outcomes.pop() {
            let waiter = self.waiters.remove(&ticket);
            let delivered = waiter.is_some_and(|tx| tx.try_send(result).is_ok());
            if let (false, Ok(key)) = (delivered, result) {
                outcomes.extend(self.pool.complete(
                    now,
                    key,
                    RequestOutcome::Unused,
                    Duration::ZERO,
                ));
            }
        }
    }
}

impl SlotPool {
    pub(crate) fn new(cfg: PoolSettings, clock: Arc<dyn Clock>) -> Self {
        let inner = Inner { pool: Pool::new(cfg), waiters: HashMap::new() };
        Self { inner: Mutex::new(inner), clock }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accesses the pool without delivering outcomes.
    pub(crate) fn with_pool<T>(&self, f: impl FnOnce(&mut Pool) -> T) -> T {
        f(&mut self.lock().pool)
    }

    fn update_pool(&self, now: Instant, f: impl FnOnce(&mut Pool) -> Vec<QueueOutcome>) {
        let mut inner = self.lock();
        let outcomes = f(&mut inner.pool);
        inner.deliver_outcomes(now, outcomes);
    }

    /// Delivers the slots that a change of the fleet state has freed.
    pub(crate) fn deliver_pending(&self) {
        let now = self.clock.now();
        self.update_pool(now, |pool| pool.tick(now));
    }

    /// Acquires a slot, waiting for as long as the pool decides.
    pub(crate) async fn acquire(self: &Arc<Self>, req: &DispatchRequest) -> Result<Slot, Refusal> {
        let (ticket, deadline, rx) = {
            let mut inner = self.lock();
            match inner.pool.dispatch(self.clock.now(), req) {
                DispatchDecision::Send(key) => {
                    return self.grant_slot(&inner, key, req);
                }
                DispatchDecision::Refuse(refusal) => return Err(refusal),
                DispatchDecision::Wait(ticket, deadline) => {
                    let (tx, rx) = async_channel::bounded(1);
                    inner.waiters.insert(ticket, tx);
                    (ticket, deadline, rx)
                }
            }
        };
        let guard = WaiterGuard { slot_pool: self, ticket, rx };
        let time_limit = deadline.saturating_duration_since(self.clock.now());
        let mut result = timeout(time_limit, guard.rx.recv()).await;
        if result.is_none() {
            self.deliver_pending();
            result = guard.rx.try_recv().ok().map(Ok);
        }
        let not_granted =
            Refusal { code: Code::Overloaded, retry_after: Duration::from_millis(500) };
        let result = result.and_then(Result::ok).unwrap_or(Err(not_granted));
        drop(guard);
        self.grant_slot(&self.lock(), result?, req)
    }

    fn grant_slot(
        self: &Arc<Self>,
        inner: &Inner,
        key: MemberKey,
        req: &DispatchRequest,
    ) -> Result<Slot, Refusal> {
        let removed = Refusal { code: Code::NoEndpoint, retry_after: Duration::from_millis(500) };
        let member = inner.pool.member(key).ok_or(removed)?;
        Ok(Slot {
            slot_pool: self.clone(),
            key,
            endpoint: member.registration.heartbeat.id.clone(),
            address: member.address(),
            sent_at: self.clock.now(),
            prompt_tokens: req.prompt_tokens,
            kv_tokens: inner.pool.kv_need(req),
            saved_tokens: inner.pool.believed_saving(self.clock.now(), key, &req.parts),
            parts: req.parts.clone(),
            response_started_at: None,
            last_active_at: self.clock.now(),
            in_flight: None,
            released: false,
        })
    }
}
