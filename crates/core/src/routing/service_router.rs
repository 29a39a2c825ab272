//! [`ServiceRouter`]: the routing state of one service at an entry, to be held under one lock.

use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::Directory;
use super::EndpointKey;
use super::FairQueue;
use super::Load;
use super::PrefixAffinity;
use super::RetryBudget;
use super::SelectionCriteria;
use super::SelectionPolicy;
use super::Waiter;
use super::WaiterKey;
use super::select_endpoint;
use crate::Code;
use crate::control::Priority;

/// A request that needs an endpoint.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Workspace of the request.
    pub workspace: &'a str,
    /// Weight of the workspace.
    pub share: u32,
    /// Priority of the workspace.
    pub priority: Priority,
    /// Prefix of the prompt; 0 when it has none.
    pub prefix: u64,
    /// When the request is removed from the queue unserved.
    pub queue_deadline: Instant,
    /// Endpoints that have already refused or failed the request.
    pub excluded: &'a [EndpointKey],
    /// Whether this is a retry, which counts against the retry budget.
    pub retry: bool,
}

/// Routing decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it to this endpoint; a slot there is occupied until [`ServiceRouter::complete`].
    Send(EndpointKey),
    /// The request is queued; a [`QueueOutcome`] with this key follows.
    Wait(WaiterKey),
    /// The request is refused and has not run.
    Refuse(Code),
}

/// Outcome of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueOutcome {
    /// Key of the request in the queue.
    pub waiter: WaiterKey,
    /// Endpoint to send it to, with a slot occupied there, or why it is refused.
    pub result: Result<EndpointKey, Code>,
}

/// Queue outcomes of one event, usually none or one.
pub type QueueOutcomes = SmallVec<[QueueOutcome; 4]>;

/// Outcome of a request at an endpoint, as needed for routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response is complete.
    Answered,
    /// The agent refused the request, which has not run.
    Refused(Code),
    /// The engine failed, or did not start its response in time.
    Failed,
    /// The agent could not be reached.
    Unreachable,
    /// The slot was released without an outcome, for instance because the caller disconnected.
    Unused,
}

/// Backoff after the first refusal or failure; it doubles with each consecutive one.
const BACKOFF_MIN: Duration = Duration::from_millis(25);
/// Maximum backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Weight of the newest request in the smoothed time that a slot is occupied.
const SLOT_TIME_SMOOTHING: f64 = 0.1;
/// Queue length above which low-priority requests are refused, as a share of all slots.
const LOW_PRIORITY_QUEUE_SHARE: f64 = 0.25;

/// Endpoint directory, queue, retry budget and prefix affinity of one service.
pub struct ServiceRouter {
    /// Announced endpoints.
    pub directory: Directory,
    queue: FairQueue,
    budget: RetryBudget,
    prefixes: PrefixAffinity,
    policy: SelectionPolicy,
    domain: String,
    rng: ChaCha8Rng,
    round_robin_index: usize,
    next_waiter: u64,
    slot_time_s: f64,
    last_tick: Option<Instant>,
}

impl ServiceRouter {
    /// Creates a router without endpoints for an entry in `domain`; `seed` seeds its random numbers.
    pub fn new(domain: &str, seed: u64) -> Self {
        Self {
            directory: Directory::default(),
            queue: FairQueue::default(),
            budget: RetryBudget::default(),
            prefixes: PrefixAffinity::default(),
            policy: SelectionPolicy::default(),
            domain: domain.to_owned(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            round_robin_index: 0,
            next_waiter: 0,
            slot_time_s: 0.0,
            last_tick: None,
        }
    }

    /// Sets the selection policy, for benchmarks.
    pub fn with_policy(mut self, policy: SelectionPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Routes a request that is new or that an endpoint has just refused or failed.
    pub fn route(&mut self, now: Instant, req: &RouteRequest<'_>) -> RouteDecision {
        if req.retry && !self.budget.try_spend() {
            return RouteDecision::Refuse(Code::RetryBudgetSpent);
        }
        if !req.retry {
            self.budget.record_request();
        }
        let queue_clear = self.queue.len_at_or_above(req.priority) == 0;
        if queue_clear && let Some(key) = self.try_reserve(now, req.prefix, req.excluded) {
            return RouteDecision::Send(key);
        }
        self.enqueue(now, req)
    }

    /// Records the outcome of a request, releases its slot and serves the queue.
    ///
    /// `response_started` is whether [`ServiceRouter::response_started`] was called for it, and
    /// `slot_time` is how long it occupied the slot.
    pub fn complete(
        &mut self,
        now: Instant,
        key: EndpointKey,
        outcome: RequestOutcome,
        load: Option<Load>,
        slot_time: Duration,
        response_started: bool,
    ) -> QueueOutcomes {
        if !response_started {
            self.response_started(now, key);
        }
        if let Some(e) = self.directory.get_mut(key) {
            e.local_in_flight = e.local_in_flight.saturating_sub(1);
            record_outcome(e, now, outcome);
        }
        if let Some(load) = load {
            self.directory.update_load(key, load);
        }
        if outcome == RequestOutcome::Answered {
            self.slot_time_s += SLOT_TIME_SMOOTHING * (slot_time.as_secs_f64() - self.slot_time_s);
        }
        self.serve_queue(now)
    }

    /// Records that a response has started.
    pub fn response_started(&mut self, now: Instant, key: EndpointKey) {
        let Some(e) = self.directory.get_mut(key) else { return };
        e.awaiting_first_byte = e.awaiting_first_byte.saturating_sub(1);
        e.first_byte_awaited_since = Some(now);
    }

    /// Records a load report and serves the queue.
    pub fn update_load(&mut self, now: Instant, key: EndpointKey, load: Load) -> QueueOutcomes {
        self.directory.update_load(key, load);
        self.serve_queue(now)
    }

    /// Records prefixes that an engine reports as cached; a late or wrong report costs at most one
    /// cache miss each.
    pub fn record_cached_prefixes(&mut self, key: EndpointKey, prefixes: &[u64]) {
        for p in prefixes {
            self.prefixes.insert(*p, key);
        }
    }

    /// Periodic maintenance: refills the retry budget, removes expired endpoints, refuses waiters
    /// past their deadline and serves the queue.
    pub fn tick(&mut self, now: Instant) -> QueueOutcomes {
        let previous_tick = self.last_tick.replace(now).unwrap_or(now);
        self.budget.refill(now.duration_since(previous_tick).as_secs_f64());
        self.directory.remove_expired(now);
        let expired = self.queue.expire(now);
        let refuse = |waiter| QueueOutcome { waiter, result: Err(Code::Overloaded) };
        let mut outcomes: QueueOutcomes = expired.into_iter().map(refuse).collect();
        outcomes.extend(self.serve_queue(now));
        outcomes
    }

    /// Removes the waiter of a caller that has disconnected.
    pub fn cancel(&mut self, waiter: WaiterKey) {
        self.queue.cancel(waiter);
    }

    /// Whether any endpoint could serve a request now, or once a slot is free or its backoff ends.
    pub fn any_usable(&self, now: Instant) -> bool {
        let may_serve = |e: &super::Endpoint| {
            e.lease_expires_at > now && !e.disabled && !e.announcement.load.draining
        };
        self.directory.iter().any(|(_, e)| may_serve(e) && e.unreachable_since.is_none())
    }

    /// Number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    fn try_reserve(
        &mut self,
        now: Instant,
        prefix: u64,
        excluded: &[EndpointKey],
    ) -> Option<EndpointKey> {
        let cached = self.prefixes.get(prefix);
        let criteria = SelectionCriteria { domain: &self.domain, excluded, cached };
        let key = select_endpoint(
            self.policy,
            &self.directory,
            now,
            &criteria,
            &mut self.rng,
            &mut self.round_robin_index,
        )?;
        let e = self.directory.get_mut(key)?;
        e.local_in_flight += 1;
        if e.awaiting_first_byte == 0 {
            e.first_byte_awaited_since = Some(now);
        }
        e.awaiting_first_byte += 1;
        self.prefixes.insert(prefix, key);
        Some(key)
    }

    fn enqueue(&mut self, now: Instant, req: &RouteRequest<'_>) -> RouteDecision {
        // An empty directory is no reason to refuse: a new entry has received no announcements.
        if !self.any_usable(now) && !self.directory.is_empty() {
            return RouteDecision::Refuse(Code::NoEndpoint);
        }
        let ahead = self.queue.len_at_or_above(req.priority) as f64;
        let total_slots = self.total_slots(now).max(1.0);
        if req.priority == Priority::Low
            && self.queue.len() as f64 > total_slots * LOW_PRIORITY_QUEUE_SHARE
        {
            return RouteDecision::Refuse(Code::LowPriorityShed);
        }
        let expected_wait_s = ahead * self.slot_time_s / total_slots;
        if now + Duration::from_secs_f64(expected_wait_s) > req.queue_deadline {
            return RouteDecision::Refuse(Code::DeadlineTooShort);
        }
        self.next_waiter += 1;
        let key = WaiterKey(self.next_waiter);
        let w = Waiter { key, queue_deadline: req.queue_deadline, prefix: req.prefix };
        if !self.queue.push(req.priority, req.workspace, req.share, w) {
            return RouteDecision::Refuse(Code::ShareExceeded);
        }
        RouteDecision::Wait(key)
    }

    fn serve_queue(&mut self, now: Instant) -> QueueOutcomes {
        let mut outcomes = QueueOutcomes::new();
        while let Some(w) = self.queue.peek() {
            let Some(key) = self.try_reserve(now, w.prefix, &[]) else { break };
            self.queue.pop();
            outcomes.push(QueueOutcome { waiter: w.key, result: Ok(key) });
        }
        outcomes
    }

    /// Total number of slots at all usable endpoints.
    fn total_slots(&self, now: Instant) -> f64 {
        let usable = self.directory.iter().filter(|(_, e)| e.usable(now));
        usable.map(|(_, e)| f64::from(e.announcement.load.limit)).sum()
    }
}

fn record_outcome(e: &mut super::Endpoint, now: Instant, outcome: RequestOutcome) {
    match outcome {
        RequestOutcome::Answered => {
            e.consecutive_failures = 0;
            e.backoff_until = None;
        }
        RequestOutcome::Refused(Code::EndpointLeaving) => e.announcement.load.draining = true,
        RequestOutcome::Refused(Code::SuspectBusy) | RequestOutcome::Unused => {}
        RequestOutcome::Unreachable => e.unreachable_since = Some(now),
        RequestOutcome::Refused(_) | RequestOutcome::Failed => {
            e.consecutive_failures = (e.consecutive_failures + 1).min(8);
            let backoff = BACKOFF_MIN * (1 << (e.consecutive_failures - 1));
            e.backoff_until = Some(now + backoff.min(BACKOFF_MAX));
        }
    }
}
