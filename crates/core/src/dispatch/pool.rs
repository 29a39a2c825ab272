//! [`Pool`]: endpoint selection and queueing for one service in one gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::Ewma;
use super::Limiter;
use super::LimiterSettings;
use super::Member;
use super::MemberKey;
use super::RankState;
use super::RequestOutcome;
use super::SlidingWindow;
use super::Ticket;
use super::draw_water_filling;
use super::queue::WaitQueue;
use super::queue::Waiter;
use crate::Code;
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
    /// Upper bound on the number of gateways, by which shared budgets and limits are divided.
    pub gateways_max: u32,
    /// Number of gateways currently known, for load estimates.
    pub gateways_known: u32,
    /// Connections that one endpoint accepts, summed over all gateways.
    pub connections_max: u32,
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
            gateways_max: 8,
            gateways_known: 4,
            connections_max: 256,
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
    /// Latest time at which the request may be sent; after that it is refused.
    pub queue_deadline: Instant,
    /// Latest time at which the request may be sent if no endpoint accepts work. Such outages are
    /// usually short, so waiting may be worthwhile.
    pub outage_deadline: Instant,
    /// Members to which the request has been sent already.
    pub tried: SmallVec<[MemberKey; 2]>,
    /// Whether the request has been sent before, so that it counts against the retry budget.
    pub is_retry: bool,
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

/// Cost factor of a member in another failure domain.
const OTHER_DOMAIN_FACTOR: f64 = 1.15;
/// Weight of the failure rate in the cost of an endpoint without a model engine: the latency is
/// multiplied by 1 plus this weight times the failure rate.
const FAILURE_WEIGHT: f64 = 8.0;
/// Prompt tokens that count as one request of load: about the prefill of one forward pass.
const PROMPT_TOKENS_PER_REQUEST: f64 = 1024.0;
/// Assumed time that a request holds its slot, before the first measurement.
const HOLD_DEFAULT: Duration = Duration::from_millis(1500);
/// Time constant of the mean slot hold time.
const HOLD_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Minimum Retry-After of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
/// Maximum Retry-After of a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(2500);
/// Usual duration of an outage in which no endpoint accepts work: a group stalls, re-forms and
/// reports it, or a gateway that has just started waits for the first heartbeats.
const OUTAGE_EXPECTED: Duration = Duration::from_millis(2300);
/// Retry-After while no endpoint accepts work: about the time a group needs to re-form.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_millis(1200);

/// Endpoints of one service, with the queue of requests that wait for a slot.
#[derive(Clone, Debug)]
pub struct Pool {
    cfg: PoolSettings,
    members: BTreeMap<MemberKey, Member>,
    by_id: BTreeMap<String, MemberKey>,
    next_key: u32,
    evacuated: BTreeSet<String>,
    limiter: Option<Limiter>,
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
}

impl Pool {
    /// Creates a pool without members.
    pub fn new(cfg: PoolSettings) -> Self {
        Self {
            limiter: cfg.limiter.map(Limiter::new),
            first_attempts: SlidingWindow::new(cfg.retry_span),
            retries: SlidingWindow::new(cfg.retry_span),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
            members: BTreeMap::new(),
            by_id: BTreeMap::new(),
            next_key: 0,
            evacuated: BTreeSet::new(),
            in_flight: 0,
            queue: WaitQueue::default(),
            hold_ms: Ewma::default(),
            last_retry_at: None,
            outage_since: None,
            scan_offset: 0,
        }
    }

    // ------------------------------------------------------------------------------------------
    // Endpoint state

    /// Replaces the settings; requests in flight and queued requests are kept.
    pub fn configure(&mut self, cfg: PoolSettings) {
        if self.cfg.limiter != cfg.limiter {
            self.limiter = cfg.limiter.map(Limiter::new);
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
            return;
        }
        self.next_key += 1;
        let key = MemberKey(self.next_key);
        self.members.insert(key, Member::new(registration.clone()));
        self.by_id.insert(id.clone(), key);
        self.drop_ended_incarnations();
    }

    /// Removes replaced or unregistered members that have no requests in flight.
    fn drop_ended_incarnations(&mut self) {
        let by_id = &self.by_id;
        self.members
            .retain(|k, m| m.in_flight > 0 || by_id.get(&m.registration.heartbeat.id) == Some(k));
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
    pub fn record_rank_state(&mut self, address: std::net::SocketAddr, state: RankState) {
        if let Some(m) = self.members.values_mut().find(|m| m.address() == address) {
            m.record_rank_state(state);
        }
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
        if req.is_retry {
            if !self.may_retry(now) {
                return self.refuse(Code::RetryBudgetSpent, RETRY_AFTER_MIN);
            }
        } else {
            self.first_attempts.add(now);
        }
        let none_ahead = self.queue.ahead(req.priority) == 0;
        if none_ahead && let Some(key) = self.choose_member(now, req.prompt_tokens, &req.tried) {
            self.assign(now, key, req.prompt_tokens, req.is_retry);
            return DispatchDecision::Send(key);
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
            retry_after: RETRY_AFTER_MIN,
            tried: req.tried.clone(),
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
        }
        if outcome == RequestOutcome::Whole {
            self.hold_ms.add(now, held.as_secs_f64() * 1e3, HOLD_TIME_CONSTANT);
        }
        self.drop_ended_incarnations();
        self.tick(now)
    }

    /// Assigns free slots to queued requests and refuses those whose deadline has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<QueueOutcome> {
        let mut outcomes = Vec::new();
        for w in self.queue.pop_expired(now) {
            let retry_after = self.next_retry_after(now).max(w.retry_after);
            outcomes.push((w.ticket, Err(Refusal { code: Code::Overloaded, retry_after })));
        }
        loop {
            // Moved out of `self`, because `choose_member` borrows all of it mutably.
            let mut queue = std::mem::take(&mut self.queue);
            let next =
                queue.pop_first_placeable(|w| self.choose_member(now, w.prompt_tokens, &w.tried));
            self.queue = queue;
            let Some((w, key)) = next else { return outcomes };
            self.assign(now, key, w.prompt_tokens, !w.tried.is_empty());
            outcomes.push((w.ticket, Ok(key)));
        }
    }

    /// Whether the retry budget allows one more retry.
    pub fn may_retry(&mut self, now: Instant) -> bool {
        let slack = self.cfg.retry_slack / f64::from(self.cfg.gateways_max.max(1));
        let allowed = self.cfg.retry_ratio * self.first_attempts.count(now) as f64 + slack;
        ((self.retries.count(now) + 1) as f64) <= allowed
    }

    fn assign(&mut self, now: Instant, key: MemberKey, prompt_tokens: u32, is_retry: bool) {
        self.in_flight += 1;
        self.outage_since = None;
        if is_retry {
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

    /// Selects the member for a request among those with a free slot: with a limiter by a weighted
    /// random draw, otherwise the one with the lowest cost.
    fn choose_member(
        &mut self,
        now: Instant,
        prompt_tokens: u32,
        tried: &[MemberKey],
    ) -> Option<MemberKey> {
        if self.in_flight >= self.limit(now) || self.streams_at_limit(now) {
            return None;
        }
        let gateways = f64::from(self.cfg.gateways_max.max(1));
        let cold_allowance = (self.cfg.cold_per_s / gateways).floor().max(1.0) as usize;
        let conns_max = (self.cfg.connections_max / self.cfg.gateways_max.max(1)).max(1);
        self.scan_offset = self.scan_offset.wrapping_add(1);
        let keys: SmallVec<[MemberKey; 32]> = self.members.keys().copied().collect();
        let start = self.scan_offset as usize;
        let mut candidates: SmallVec<[(MemberKey, f64); 32]> = SmallVec::new();
        for i in 0..keys.len() {
            // The rotating start distributes ties evenly.
            let key = keys[(start + i) % keys.len()];
            let Some(m) = self.members.get(&key) else { continue };
            let eligible = m.is_available(now) && self.in_service(m) && !tried.contains(&key);
            let has_room =
                m.load(now) < m.registration.heartbeat.slots.max(1) && m.in_flight < conns_max;
            if !eligible || !has_room {
                continue;
            }
            let score = self.score(now, m, prompt_tokens);
            if self.members.get_mut(&key).is_some_and(|m| m.cold_limit_allows(now, cold_allowance))
            {
                candidates.push((key, score));
            }
        }
        if self.limiter.is_none() {
            let cheapest = candidates.iter().min_by(|a, b| a.1.total_cmp(&b.1));
            return cheapest.map(|(key, _)| *key);
        }
        let loads: SmallVec<[f64; 32]> = candidates.iter().map(|(_, load)| *load).collect();
        let index = draw_water_filling(&loads, self.estimated_sent_by_others(), &mut self.rng)?;
        Some(candidates[index].0)
    }

    /// Estimated requests that the other gateways have sent since the endpoints' last reports,
    /// assuming that each has sent as many as this one.
    fn estimated_sent_by_others(&self) -> f64 {
        let own: u32 = self.members.values().map(|m| m.sent_since_report).sum();
        f64::from(own) * f64::from(self.cfg.gateways_known.saturating_sub(1))
    }

    /// Whether all gateways together have reached the limit of streams in flight.
    fn streams_at_limit(&self, now: Instant) -> bool {
        let Some(limiter) = &self.cfg.limiter else { return false };
        let (mut load, mut members) = (0.0, 0);
        // Draining ranks still take part in every forward pass, so they count.
        for m in
            self.members.values().filter(|m| m.registration.heartbeat.state != HeartbeatState::Gone)
        {
            load += m.estimated_fleet_load(now, self.cfg.gateways_known);
            members += 1;
        }
        load >= limiter.streams_per_endpoint * f64::from(members)
    }

    /// Estimated cost of one more request at a member; lower is better.
    fn score(&self, now: Instant, m: &Member, prompt_tokens: u32) -> f64 {
        let domain_factor = if m.registration.heartbeat.domain == self.cfg.domain {
            1.0
        } else {
            OTHER_DOMAIN_FACTOR
        };
        if self.limiter.is_some() {
            let prefill = (m.pending_prompt_tokens + u64::from(prompt_tokens)) as f64
                / PROMPT_TOKENS_PER_REQUEST;
            return m.estimated_load(now, self.cfg.gateways_known)
                + prefill
                + (domain_factor - 1.0);
        }
        let latency = m.latency_ms(now).unwrap_or_else(|| self.lowest_latency_ms(now));
        let failure_factor = 1.0 + FAILURE_WEIGHT * m.failure_rate(now);
        (f64::from(m.in_flight) + 1.0) * latency * failure_factor * domain_factor
    }

    /// Latency assumed for an endpoint without recent measurements: the lowest one known, so that
    /// the endpoint gets traffic.
    fn lowest_latency_ms(&self, now: Instant) -> f64 {
        let latencies = self.members.values().filter_map(|m| m.latency_ms(now));
        latencies.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Estimated time until the `nth` slot from now becomes free.
    fn expected_wait(&self, now: Instant, nth: usize) -> Duration {
        let hold = self.hold_ms.mean().map_or(HOLD_DEFAULT.as_secs_f64(), |ms| ms / 1e3);
        let slots = f64::from(self.limit(now).min(self.in_flight).max(1));
        Duration::from_secs_f64(hold * nth as f64 / slots)
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
