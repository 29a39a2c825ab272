//! [`Pool`]: endpoint selection and queueing for one service in one gateway.

mod explain;
mod retention;
mod selection;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::Ewma;
use super::GatewaySet;
use super::Limiter;
use super::LimiterSettings;
use super::Member;
use super::MemberKey;
use super::PromptRetention;
use super::RankState;
use super::RequestOutcome;
use super::RetentionSettings;
use super::SizedPart;
use super::SlidingWindow;
use super::Ticket;
use super::queue::WaitQueue;
use super::queue::Waiter;
use crate::Code;
use crate::Digest;
use crate::fleet::HeartbeatState;
use crate::fleet::Registration;

/// Settings and limits of a [`Pool`].
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Failure domain of the gateway.
    pub domain: String,
    /// Limiter of streams in flight; `None` for a service without model engines.
    pub limiter: Option<LimiterSettings>,
    /// Retry budget: retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Window over which first attempts and retries are counted.
    pub retry_span: Duration,
    /// Retries allowed per window on top of the ratio, summed over all gateways.
    pub retry_slack: f64,
    /// Rate limit of a cold endpoint in requests per second, summed over all gateways.
    pub cold_per_s: f64,
    /// The gateways among which shared budgets and limits are divided.
    pub gateways: GatewaySet,
    /// Connections that one endpoint accepts, summed over all gateways.
    pub connections_max: u32,
    /// How endpoints retain prompts; `None` if they keep none after a request.
    pub retention: Option<RetentionSettings>,
    /// Seed of the random endpoint choice; must differ between gateways.
    pub seed: u64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            domain: String::new(),
            limiter: None,
            retry_ratio: 0.2,
            retry_span: Duration::from_secs(10),
            retry_slack: 80.0,
            cold_per_s: 5.0,
            gateways: GatewaySet::new(0, 1..4, true),
            connections_max: 256,
            retention: None,
            seed: 0,
        }
    }
}

/// A request to be assigned to an endpoint.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// Lower values are served first.
    pub priority: u8,
    /// Length of the prompt in tokens; 0 for services without model engines.
    pub prompt_tokens: u32,
    /// Parts of the prompt in order; empty if unknown.
    pub parts: SmallVec<[SizedPart; 4]>,
    /// Latest time at which the request may be sent; after that it is refused.
    pub queue_deadline: Instant,
    /// Latest time at which the request may be sent if no endpoint accepts work. Such outages are
    /// usually short, so waiting may be worthwhile.
    pub outage_deadline: Instant,
    /// Members to which the request has been sent already.
    pub tried: SmallVec<[MemberKey; 2]>,
    /// What became of earlier sends of the request.
    pub earlier: EarlierSends,
}

/// What became of earlier sends of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierSends {
    /// There are none.
    None,
    /// None has reached an endpoint, so the next one is no retry.
    Unopened,
    /// One has reached an endpoint: the next one draws on the retry budget.
    Arrived,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason code.
    pub code: Code,
    /// Retry-After for the caller: estimated time until a slot is free.
    pub retry_after: Duration,
}

/// Result of [`Pool::dispatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Send the request to this member; its slot is already reserved.
    Send(MemberKey),
    /// The request is queued; a [`QueueOutcome`] with this ticket follows.
    Wait(Ticket),
    /// The request is refused.
    Refuse(Refusal),
}

/// Final result for a queued request: the member to send it to, or a refusal.
pub type QueueOutcome = (Ticket, Result<MemberKey, Refusal>);

/// Time constant of the mean slot hold time.
const HOLD_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Minimum Retry-After of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
/// Maximum Retry-After of a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(2500);
/// Usual duration of an outage in which no endpoint accepts work: a group stalls, re-forms and
/// reports it, or a gateway that has just started waits for the first heartbeats.
const OUTAGE_EXPECTED: Duration = Duration::from_millis(2300);
/// Longest time without requests that an endpoint can ask for; a longer wish is most likely a mistake.
const QUIET_TIME_MAX: Duration = Duration::from_secs(3600);
/// Retry-After while no endpoint accepts work: about the time a group needs to re-form.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_millis(1200);

/// A number that stands for an endpoint's address in load reports.
pub fn address_key(address: &SocketAddr) -> u64 {
    Digest::of(&[address.to_string().as_bytes()]).to_u64()
}

/// Endpoints of one service, with the queue of requests that wait for a slot.
#[derive(Clone, Debug)]
pub struct Pool {
    cfg: PoolSettings,
    members: BTreeMap<MemberKey, Member>,
    by_id: BTreeMap<String, MemberKey>,
    /// The newest member at each address, by [`address_key`].
    by_address: HashMap<u64, MemberKey>,
    next_key: u32,
    evacuated: BTreeSet<String>,
    limiter: Option<Limiter>,
    retention: Option<PromptRetention>,
    in_flight: u32,
    queue: WaitQueue,
    hold_ms: Ewma,
    first_attempts: SlidingWindow,
    retries: SlidingWindow,
    /// Latest time at which a refused caller was told to retry.
    last_retry_at: Option<Instant>,
    /// When a request first found no endpoint that accepts work; `None` outside of an outage.
    outage_since: Option<Instant>,
    scan_offset: u32,
    rng: ChaCha8Rng,
    /// Random number from 0 to 1 that rounds this gateway's part of the free places, and when it was
    /// drawn.
    rounding: (f64, Option<Instant>),
}

impl Pool {
    /// Creates a pool without members.
    pub fn new(cfg: PoolSettings) -> Self {
        Self {
            limiter: cfg.limiter.map(Limiter::new),
            retention: cfg.retention.clone().map(PromptRetention::new),
            first_attempts: SlidingWindow::new(cfg.retry_span),
            retries: SlidingWindow::new(cfg.retry_span),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
            members: BTreeMap::new(),
            by_id: BTreeMap::new(),
            by_address: HashMap::new(),
            next_key: 0,
            evacuated: BTreeSet::new(),
            in_flight: 0,
            queue: WaitQueue::default(),
            hold_ms: Ewma::default(),
            last_retry_at: None,
            outage_since: None,
            scan_offset: 0,
            rounding: (0.0, None),
        }
    }

    // ------------------------------------------------------------------------------------------
    // Endpoint state

    /// Replaces the settings; requests in flight and queued requests are kept.
    pub fn configure(&mut self, cfg: PoolSettings) {
        if self.cfg.limiter != cfg.limiter {
            self.limiter = cfg.limiter.map(Limiter::new);
        }
        // Other figures mean another engine or model, which holds nothing of the prompts before.
        if self.cfg.retention != cfg.retention {
            self.retention = cfg.retention.clone().map(PromptRetention::new);
        }
        self.cfg = cfg;
    }

    /// Stores an endpoint's newest heartbeat. A new incarnation becomes a new member.
    pub fn update_registration(&mut self, registration: &Registration) {
        let id = &registration.heartbeat.id;
        let key = self.by_id.get(id).copied();
        let same_incarnation =
            |m: &&mut Member| m.registration.heartbeat.born_ms == registration.heartbeat.born_ms;
        if let Some(m) = key.and_then(|k| self.members.get_mut(&k)).filter(same_incarnation) {
            m.update_registration(registration.clone());
            if let Some(key) = key {
                self.by_address.insert(address_key(&registration.heartbeat.address), key);
            }
            return;
        }
        self.next_key += 1;
        let key = MemberKey(self.next_key);
        let mut member = Member::new(registration.clone());
        let before = self.by_address.get(&address_key(&registration.heartbeat.address));
        if let Some(before) = before.and_then(|k| self.members.get(k)) {
            member.inherit(before);
        }
        self.members.insert(key, member);
        let previous = self.by_id.insert(id.clone(), key);
        if let (Some(previous), Some(r)) = (previous, &mut self.retention) {
            r.forget(previous);
        }
        self.by_address.insert(address_key(&registration.heartbeat.address), key);
        self.drop_ended_incarnations();
    }

    /// Removes replaced or unregistered members that have no requests in flight.
    fn drop_ended_incarnations(&mut self) {
        let (by_id, retention) = (&self.by_id, &mut self.retention);
        self.members.retain(|k, m| {
            let current = by_id.get(&m.registration.heartbeat.id) == Some(k);
            if let Some(r) = retention.as_mut().filter(|_| !current) {
                r.forget(*k);
            }
            m.in_flight > 0 || current
        });
        let members = &self.members;
        self.by_address.retain(|_, key| members.contains_key(key));
    }

    /// Removes the members whose endpoint id does not satisfy `is_registered`.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.by_id.retain(|id, _| is_registered(id));
        self.drop_ended_incarnations();
    }

    /// Sets the failure domains that receive no new requests.
    pub fn set_evacuated_domains(&mut self, domains: &BTreeSet<String>) {
        self.evacuated.clone_from(domains);
    }

    /// Stores a report of the agent of the endpoint at `address`.
    pub fn record_rank_state(&mut self, address: SocketAddr, state: RankState) {
        self.record_rank_state_by_key(address_key(&address), state);
    }

    /// Stores a report of the agent of the endpoint whose address has this [`address_key`].
    pub fn record_rank_state_by_key(&mut self, key: u64, state: RankState) {
        let member = self.by_address.get(&key).and_then(|k| self.members.get_mut(k));
        if let Some(m) = member {
            m.record_rank_state(state);
        }
    }

    /// Records that a member has said in a response that it leaves; returns whether that is new.
    pub fn record_leaving(&mut self, key: MemberKey) -> bool {
        self.members.get_mut(&key).is_some_and(Member::record_leaving)
    }

    /// Records that a member wants no requests of this gateway for `time`.
    pub fn record_quiet(&mut self, now: Instant, key: MemberKey, time: Duration) {
        if let Some(m) = self.members.get_mut(&key) {
            m.record_quiet(now + time.min(QUIET_TIME_MAX));
        }
    }

    /// Refusal of all requests while each endpoint that could serve has said that it leaves or wants
    /// none: waiting would be in vain. It names the shortest of the times.
    pub fn pushback(&self, now: Instant) -> Option<Refusal> {
        if self.any_available(now, &[]) {
            return None;
        }
        let serving = |m: &&Member| {
            m.registration.heartbeat.state == HeartbeatState::Ready
                && self.in_service(m)
                && !m.has_ended(now)
        };
        let mut retry_at = None;
        let mut any = false;
        for m in self.members.values().filter(serving) {
            match m.quiet_until(now) {
                _ if m.is_leaving() => {}
                Some(until) => retry_at = Some(retry_at.map_or(until, |at: Instant| at.min(until))),
                None => return None,
            }
            any = true;
        }
        let retry_after = retry_at.map_or(RETRY_AFTER_OUTAGE, |at| at - now);
        any.then_some(Refusal { code: Code::EndpointLeaving, retry_after })
    }

    /// Returns a member by its key.
    pub fn member(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Iterates over all members.
    pub fn members(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        self.members.iter().map(|(k, m)| (*k, m))
    }

    /// Requests of this gateway in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Maximum number of requests that this gateway may have in flight.
    pub fn limit(&self, now: Instant) -> u32 {
        self.limiter.as_ref().map_or(u32::MAX, |l| l.limit(now))
    }

    /// Recent mean forward pass time; `None` without a limiter or a recent measurement.
    pub fn mean_pass(&self, now: Instant) -> Option<Duration> {
        self.limiter.as_ref().and_then(|l| l.mean_pass(now))
    }

    // ------------------------------------------------------------------------------------------
    // Requests

    /// Assigns a request to a member, queues it or refuses it.
    pub fn dispatch(&mut self, now: Instant, req: &DispatchRequest) -> DispatchDecision {
        match req.earlier {
            EarlierSends::None => self.first_attempts.add(now),
            EarlierSends::Unopened => {}
            EarlierSends::Arrived if self.may_retry(now) => {}
            EarlierSends::Arrived => return self.refuse(Code::RetryBudgetSpent, RETRY_AFTER_MIN),
        }
        let none_ahead = self.queue.ahead(req.priority) == 0;
        if none_ahead
            && let Some(key) = self.choose_member(now, req.prompt_tokens, &req.parts, &req.tried)
        {
            self.assign(now, key, req.prompt_tokens, req.earlier);
            return DispatchDecision::Send(key);
        }
        if let Some(refusal) = self.pushback(now) {
            return DispatchDecision::Refuse(refusal);
        }
        if !self.any_available(now, &req.tried) {
            let outage_start = *self.outage_since.get_or_insert(now);
            let outage_end = outage_start + OUTAGE_EXPECTED;
            if now >= outage_end || req.outage_deadline < outage_end {
                return self.refuse(Code::NoEndpoint, RETRY_AFTER_OUTAGE);
            }
            return DispatchDecision::Wait(self.enqueue(req, outage_end));
        }
        self.outage_since = None;
        let queue_time = self.expected_wait(now, self.queue.ahead(req.priority) + 1);
        if now + queue_time > req.queue_deadline {
            let retry_after = self.next_retry_after(now);
            return self.refuse(Code::Overloaded, retry_after);
        }
        DispatchDecision::Wait(self.enqueue(req, req.queue_deadline))
    }

    fn enqueue(&mut self, req: &DispatchRequest, deadline: Instant) -> Ticket {
        self.queue.push(Waiter {
            ticket: Ticket(0),
            priority: req.priority,
            deadline,
            prompt_tokens: req.prompt_tokens,
            parts: req.parts.clone(),
            retry_after: RETRY_AFTER_MIN,
            tried: req.tried.clone(),
            earlier: req.earlier,
        })
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Records that a response started, `latency` after its request was sent.
    pub fn response_started(
        &mut self,
        now: Instant,
        key: MemberKey,
        prompt_tokens: u32,
        latency: Duration,
    ) {
        if let Some(m) = self.members.get_mut(&key) {
            m.record_first_byte(now, prompt_tokens, latency);
        }
    }

    /// Records the gap between two events of a stream.
    pub fn record_event_gap(&mut self, now: Instant, gap: Duration) {
        if let Some(l) = &mut self.limiter {
            l.record_gap(now, gap, self.in_flight);
        }
    }

    /// Releases a slot that was held for `held`, and serves the queue.
    pub fn complete(
        &mut self,
        now: Instant,
        key: MemberKey,
        outcome: RequestOutcome,
        held: Duration,
    ) -> Vec<QueueOutcome> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(m) = self.members.get_mut(&key) {
            m.record_outcome(now, outcome);
            if let (RequestOutcome::Ended, Some(r)) = (outcome, &mut self.retention) {
                r.forget(key);
            }
            let ended = self.by_id.get(&m.registration.heartbeat.id) != Some(&key);
            if ended {
                self.drop_ended_incarnations();
            }
        }
        if outcome == RequestOutcome::Whole {
            self.hold_ms.add(now, held.as_secs_f64() * 1e3, HOLD_TIME_CONSTANT);
        }
        self.tick(now)
    }

    /// Assigns free slots to queued requests and refuses those whose deadline has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<QueueOutcome> {
        let mut outcomes = Vec::new();
        for w in self.queue.pop_expired(now) {
            let retry_after = self.next_retry_after(now).max(w.retry_after);
            outcomes.push((w.ticket, Err(Refusal { code: Code::Overloaded, retry_after })));
        }
        if self.queue.len() > 0
            && let Some(refusal) = self.pushback(now)
        {
            outcomes.extend(self.queue.drain().map(|w| (w.ticket, Err(refusal))));
        }
        loop {
            // Moved out of `self`, because `choose_member` borrows all of it mutably.
            let mut queue = std::mem::take(&mut self.queue);
            let next = queue.pop_first_placeable(|w| {
                self.choose_member(now, w.prompt_tokens, &w.parts, &w.tried)
            });
            self.queue = queue;
            let Some((w, key)) = next else { return outcomes };
            self.assign(now, key, w.prompt_tokens, w.earlier);
            outcomes.push((w.ticket, Ok(key)));
        }
    }

    /// Whether the retry budget allows one more retry.
    pub fn may_retry(&mut self, now: Instant) -> bool {
        let slack = self.cfg.retry_slack / f64::from(self.cfg.gateways.upper_bound());
        let allowed = self.cfg.retry_ratio * self.first_attempts.count(now) as f64 + slack;
        ((self.retries.count(now) + 1) as f64) <= allowed
    }

    /// Whether a request can be sent again to an endpoint that is not among `tried`.
    pub fn may_retry_elsewhere(&mut self, now: Instant, tried: &[MemberKey]) -> bool {
        self.any_available(now, tried) && self.may_retry(now)
    }

    fn assign(&mut self, now: Instant, key: MemberKey, prompt_tokens: u32, earlier: EarlierSends) {
        self.in_flight += 1;
        self.outage_since = None;
        if earlier == EarlierSends::Arrived {
            self.retries.add(now);
        }
        if let Some(m) = self.members.get_mut(&key) {
            m.record_sent(now, prompt_tokens);
        }
    }

    fn refuse(&self, code: Code, retry_after: Duration) -> DispatchDecision {
        DispatchDecision::Refuse(Refusal { code, retry_after })
    }

    /// Whether any member accepts the request, now or once it has a free slot.
    fn any_available(&self, now: Instant, tried: &[MemberKey]) -> bool {
        let available = |(k, m): (&MemberKey, &Member)| {
            m.is_available(now) && self.in_service(m) && !tried.contains(k)
        };
        self.members.iter().any(available)
    }

    fn in_service(&self, m: &Member) -> bool {
        self.by_id.contains_key(&m.registration.heartbeat.id)
            && !self.evacuated.contains(&m.registration.heartbeat.domain)
    }

    /// Estimated time until the `nth` slot from now becomes free.
    fn expected_wait(&self, now: Instant, nth: usize) -> Duration {
        let slots = f64::from(self.limit(now).min(self.in_flight).max(1));
        self.mean_hold().mul_f64(nth as f64 / slots)
    }

    /// Retry-After for a refused caller. Each caller gets a later time than the one before, up to
    /// [`RETRY_AFTER_MAX`], so that refused callers do not all retry at once.
    fn next_retry_after(&mut self, now: Instant) -> Duration {
        let spacing = self.expected_wait(now, 1);
        let earliest = now + RETRY_AFTER_MIN + self.expected_wait(now, self.queue.len() + 1);
        let retry_at = self.last_retry_at.map_or(earliest, |p| (p + spacing).max(earliest));
        let retry_at = retry_at.min(now + RETRY_AFTER_MAX);
        self.last_retry_at = Some(retry_at);
        retry_at.saturating_duration_since(now)
    }
}
