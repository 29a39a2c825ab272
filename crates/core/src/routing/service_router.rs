//! [`ServiceRouter`]: everything an entry decides about one service, under one lock.

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

/// One request's wish for an endpoint.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Workspace that it belongs to.
    pub workspace: &'a str,
    /// The workspace's weight.
    pub share: u32,
    /// The workspace's priority.
    pub priority: Priority,
    /// Prefix of its prompt; 0 when it has none.
    pub prefix: u64,
    /// When it stops waiting for room.
    pub queue_deadline: Instant,
    /// Endpoints that have refused or failed it already.
    pub excluded: &'a [EndpointKey],
    /// Whether this is a retry, which the budget must pay for.
    pub retry: bool,
}

/// What becomes of a wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it there; a place is counted until [`ServiceRouter::complete`].
    Send(EndpointKey),
    /// Wait for a [`QueueOutcome`] with this key.
    Wait(WaiterKey),
    /// It is refused and has not run.
    Refuse(Code),
}

/// Word for one waiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueOutcome {
    /// The waiter.
    pub waiter: WaiterKey,
    /// Where to send it, or why not.
    pub result: Result<EndpointKey, Code>,
}

/// Grants of one event, mostly none or one.
pub type QueueOutcomes = SmallVec<[QueueOutcome; 4]>;

/// How a request ended at its endpoint, as far as routing cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered,
    /// The agent refused it; it has not run.
    Refused(Code),
    /// The engine failed, or took too long to begin.
    Failed,
    /// The agent could not be reached.
    Unreachable,
    /// The place was given back without an outcome, because the caller left.
    Unused,
}

/// First pause after a refusal or a failure; it doubles with every further one.
const PAUSE_FIRST: Duration = Duration::from_millis(25);
/// Longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Weight of the newest request in the smoothed time that a place is held.
const HELD_SMOOTHING: f64 = 0.1;
/// Low-priority requests are refused when more than this share of the places has a waiter.
const LOW_PRIORITY_WAIT: f64 = 0.25;

/// Directory, queue, budget and caches of one service.
pub struct ServiceRouter {
    /// Endpoints that have announced themselves.
    pub directory: Directory,
    queue: FairQueue,
    budget: RetryBudget,
    prefixes: PrefixAffinity,
    policy: SelectionPolicy,
    domain: String,
    rng: ChaCha8Rng,
    turn: usize,
    next_waiter: u64,
    held_s: f64,
    ticked: Option<Instant>,
}

impl ServiceRouter {
    /// An empty shard for an entry in `domain`.
    pub fn new(domain: &str, seed: u64) -> Self {
        Self {
            directory: Directory::default(),
            queue: FairQueue::default(),
            budget: RetryBudget::default(),
            prefixes: PrefixAffinity::default(),
            policy: SelectionPolicy::default(),
            domain: domain.to_owned(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            turn: 0,
            next_waiter: 0,
            held_s: 0.0,
            ticked: None,
        }
    }

    /// Uses another policy, for comparison.
    pub fn with_policy(mut self, policy: SelectionPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Decides about a request that has just come, or has just been refused somewhere.
    pub fn route(&mut self, now: Instant, ask: &RouteRequest<'_>) -> RouteDecision {
        if ask.retry && !self.budget.try_spend() {
            return RouteDecision::Refuse(Code::RetryBudgetSpent);
        }
        if !ask.retry {
            self.budget.record_request();
        }
        let first_in_line = self.queue.ahead_of(ask.priority) == 0;
        if first_in_line && let Some(key) = self.take(now, ask.prefix, ask.excluded) {
            return RouteDecision::Send(key);
        }
        self.wait(now, ask)
    }

    /// Learns how a request ended, and who may go next; `began` is whether [`ServiceRouter::response_started`]
    /// has been said of it.
    pub fn complete(
        &mut self,
        now: Instant,
        key: EndpointKey,
        ended: RequestOutcome,
        load: Option<Load>,
        held: Duration,
        response_started: bool,
    ) -> QueueOutcomes {
        if !response_started {
            self.response_started(now, key);
        }
        if let Some(e) = self.directory.get_mut(key) {
            e.local_in_flight = e.local_in_flight.saturating_sub(1);
            note_end(e, now, ended);
        }
        if let Some(load) = load {
            self.directory.update_load(key, load);
        }
        if ended == RequestOutcome::Answered {
            self.held_s += HELD_SMOOTHING * (held.as_secs_f64() - self.held_s);
        }
        self.pump(now)
    }

    /// Learns that an answer has begun.
    pub fn response_started(&mut self, now: Instant, key: EndpointKey) {
        let Some(e) = self.directory.get_mut(key) else { return };
        e.awaiting_first_byte = e.awaiting_first_byte.saturating_sub(1);
        e.first_byte_awaited_since = Some(now);
    }

    /// Learns a load, and who may go next.
    pub fn update_load(&mut self, now: Instant, key: EndpointKey, load: Load) -> QueueOutcomes {
        self.directory.update_load(key, load);
        self.pump(now)
    }

    /// Learns prefixes that an engine said it holds; late or wrong word costs a miss at most.
    pub fn record_cached_prefixes(&mut self, key: EndpointKey, prefixes: &[u64]) {
        for p in prefixes {
            self.prefixes.insert(*p, key);
        }
    }

    /// Lets time pass: expires waiters, fills the budget, forgets silent endpoints.
    pub fn tick(&mut self, now: Instant) -> QueueOutcomes {
        let last = self.ticked.replace(now).unwrap_or(now);
        self.budget.refill(now.duration_since(last).as_secs_f64());
        self.directory.remove_expired(now);
        let expired = self.queue.expire(now);
        let refuse = |waiter| QueueOutcome { waiter, result: Err(Code::Overloaded) };
        let mut grants: QueueOutcomes = expired.into_iter().map(refuse).collect();
        grants.extend(self.pump(now));
        grants
    }

    /// Takes a waiter out whose caller has left.
    pub fn cancel(&mut self, waiter: WaiterKey) {
        self.queue.cancel(waiter);
    }

    /// Whether any endpoint can take work at all, now or when it has room.
    pub fn any_usable(&self, now: Instant) -> bool {
        let alive = |e: &super::Endpoint| {
            e.lease_expires_at > now && !e.disabled && !e.announcement.load.draining
        };
        self.directory.iter().any(|(_, e)| alive(e) && e.unreachable_since.is_none())
    }

    /// Requests waiting.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    fn take(&mut self, now: Instant, prefix: u64, excluded: &[EndpointKey]) -> Option<EndpointKey> {
        let cached = self.prefixes.get(prefix);
        let wish = SelectionCriteria { domain: &self.domain, excluded, cached };
        let key = select_endpoint(
            self.policy,
            &self.directory,
            now,
            &wish,
            &mut self.rng,
            &mut self.turn,
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

    fn wait(&mut self, now: Instant, ask: &RouteRequest<'_>) -> RouteDecision {
        // An entry that has just started has heard nobody yet; that is no reason to refuse.
        if !self.any_usable(now) && !self.directory.is_empty() {
            return RouteDecision::Refuse(Code::NoEndpoint);
        }
        let ahead = self.queue.ahead_of(ask.priority) as f64;
        let places = self.places(now).max(1.0);
        if ask.priority == Priority::Low && self.queue.len() as f64 > places * LOW_PRIORITY_WAIT {
            return RouteDecision::Refuse(Code::LowPriorityShed);
        }
        let expected_s = ahead * self.held_s / places;
        if now + Duration::from_secs_f64(expected_s) > ask.queue_deadline {
            return RouteDecision::Refuse(Code::DeadlineTooShort);
        }
        self.next_waiter += 1;
        let key = WaiterKey(self.next_waiter);
        let w = Waiter { key, queue_deadline: ask.queue_deadline, prefix: ask.prefix };
        if !self.queue.push(ask.priority, ask.workspace, ask.share, w) {
            return RouteDecision::Refuse(Code::ShareExceeded);
        }
        RouteDecision::Wait(key)
    }

    fn pump(&mut self, now: Instant) -> QueueOutcomes {
        let mut grants = QueueOutcomes::new();
        while let Some(w) = self.queue.peek() {
            let Some(key) = self.take(now, w.prefix, &[]) else { break };
            self.queue.pop();
            grants.push(QueueOutcome { waiter: w.key, result: Ok(key) });
        }
        grants
    }

    /// Places at all usable endpoints together.
    fn places(&self, now: Instant) -> f64 {
        let usable = self.directory.iter().filter(|(_, e)| e.usable(now));
        usable.map(|(_, e)| f64::from(e.announcement.load.limit)).sum()
    }
}

fn note_end(e: &mut super::Endpoint, now: Instant, ended: RequestOutcome) {
    match ended {
        RequestOutcome::Answered => {
            e.consecutive_failures = 0;
            e.backoff_until = None;
        }
        RequestOutcome::Refused(Code::EndpointLeaving) => e.announcement.load.draining = true,
        RequestOutcome::Refused(Code::SuspectBusy) | RequestOutcome::Unused => {}
        RequestOutcome::Unreachable => e.unreachable_since = Some(now),
        RequestOutcome::Refused(_) | RequestOutcome::Failed => {
            e.consecutive_failures = (e.consecutive_failures + 1).min(8);
            let pause = PAUSE_FIRST * (1 << (e.consecutive_failures - 1));
            e.backoff_until = Some(now + pause.min(PAUSE_MAX));
        }
    }
}
