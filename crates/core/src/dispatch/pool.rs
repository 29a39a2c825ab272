//! [`Pool`]: endpoint selection and queueing for one service in one gateway.

mod connections;
mod explain;
mod kv;
mod reach;
mod retention;
mod selection;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use self::selection::Demand;
use super::Admission;
use super::AdmissionClass;
use super::AdmissionLimit;
use super::AdmissionSettings;
use super::Ewma;
use super::GatewaySet;
use super::GroupView;
use super::Groups;
use super::IdleConnections;
use super::KvSettings;
use super::Limiter;
use super::LimiterSettings;
use super::Member;
use super::MemberKey;
use super::PassModel;
use super::PromptRetention;
use super::RankState;
use super::RequestOutcome;
use super::RetentionSettings;
use super::SharedReachability;
use super::SizedPart;
use super::SlidingWindow;
use super::Ticket;
use super::queue::Demotion;
use super::queue::QueuePlace;
use super::queue::WaitQueue;
use super::queue::Waiter;
use super::refusals::Refusals;
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
    /// Admission by urgency, in which late requests wait behind those on time. It is in force if requests are not
    /// all equally urgent, or if the engines form several groups; `None` without model engines.
    pub admission: Option<AdmissionSettings>,
    /// Figures from which limits of single groups are derived; `None` if one limit holds for all endpoints.
    pub pass_model: Option<PassModel>,
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
    /// KV memory of the engines; `None` if it is not limited.
    pub kv: Option<KvSettings>,
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
            admission: None,
            pass_model: None,
            retry_ratio: 0.2,
            retry_span: Duration::from_secs(10),
            retry_slack: 80.0,
            cold_per_s: 5.0,
            gateways: GatewaySet::new(0, 1..4, true),
            connections_max: 256,
            kv: None,
            retention: None,
            seed: 0,
        }
    }
}

/// A request to be assigned to an endpoint.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// Urgency; lower values are served first.
    pub urgency: u8,
    /// Whether the caller has sent the request before and was refused. With admission by urgency, only
    /// the time that has passed since counts.
    pub is_caller_retry: bool,
    /// Workspace of the caller, as a number that is equal at all gateways; 0 without one.
    pub workspace: u64,
    /// Length of the prompt in tokens; 0 for services without model engines.
    pub prompt_tokens: u32,
    /// Maximum length of the response in tokens; 0 if the request sets none.
    pub max_response_tokens: u32,
    /// Parts of the prompt in order; empty if unknown.
    pub parts: SmallVec<[SizedPart; 4]>,
    /// Latest time at which the request may be sent; after that it is refused.
    pub queue_deadline: Instant,
    /// With admission by urgency, the latest time at which a late request may be sent: after it, the
    /// caller would give up before the first event or the response would miss its deadline.
    pub late_deadline: Instant,
    /// Longest time after which a refused caller comes back; callers honour no later time.
    pub return_time_max: Duration,
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
    /// The request is queued until this time at the latest; a [`QueueOutcome`] with this ticket follows.
    Wait(Ticket, Instant),
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
    admission: Option<Admission>,
    groups: Groups,
    retention: Option<PromptRetention>,
    in_flight: u32,
    queue: WaitQueue,
    hold_ms: Ewma,
    /// Mean KV memory of this gateway's requests, in tokens.
    kv_need: Ewma,
    first_attempts: SlidingWindow,
    retries: SlidingWindow,
    /// Latest time at which a refused caller was told to retry.
    last_retry_at: Option<Instant>,
    /// When a request first found no endpoint that accepts work; `None` outside of an outage.
    outage_since: Option<Instant>,
    scan_offset: u32,
    reachability: SharedReachability,
    idle_connections: Option<Arc<dyn IdleConnections>>,
    refusals: Refusals,
    /// Number of times that refusals have held back further sends.
    refusal_pauses: u64,
    rng: ChaCha8Rng,
    /// Random number from 0 to 1 that rounds this gateway's part of the free places, and when it was
    /// drawn.
    rounding: (f64, Option<Instant>),
}

impl Pool {
    /// Creates a pool without members.
    pub fn new(cfg: PoolSettings) -> Self {
        let mut groups = Groups::default();
        groups.configure(cfg.limiter.unwrap_or_default(), cfg.pass_model.clone());
        Self {
            groups,
            limiter: cfg.limiter.map(Limiter::new),
            admission: cfg.admission.clone().map(Admission::new),
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
            kv_need: Ewma::default(),
            last_retry_at: None,
            outage_since: None,
            scan_offset: 0,
            reachability: SharedReachability::default(),
            idle_connections: None,
            refusals: Refusals::default(),
            refusal_pauses: 0,
            rounding: (0.0, None),
        }
    }

    // ------------------------------------------------------------------------------------------
    // Endpoint state

    /// Replaces the settings; requests in flight and queued requests are kept. Returns whether the admission
    /// by urgency has changed.
    pub fn configure(&mut self, cfg: PoolSettings) -> bool {
        if self.cfg.limiter != cfg.limiter {
            self.limiter = cfg.limiter.map(Limiter::new);
        }
        let admission_changed = self.cfg.admission != cfg.admission;
        if admission_changed {
            self.admission = cfg.admission.clone().map(Admission::new);
        }
        self.groups.configure(cfg.limiter.unwrap_or_default(), cfg.pass_model.clone());
        // Other figures mean another engine or model, which holds nothing of the prompts before.
        if self.cfg.retention != cfg.retention {
            self.retention = cfg.retention.clone().map(PromptRetention::new);
        }
        self.cfg = cfg;
        admission_changed
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
            if m.report_lags(state.observed_at) == Some(true) {
                let domain = &m.registration.heartbeat.domain;
                reach::lock(&self.reachability).record_reports_resumed(state.observed_at, domain);
            }
            m.record_rank_state(state);
            self.groups.observe(state.observed_at, state.group);
            if state.open {
                self.refusals.record_open_report(state.observed_at);
            }
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

    /// Whether late requests wait behind those on time, and the most urgent are admitted first.
    pub fn admits_by_urgency(&self) -> bool {
        let urgencies = self.admission.as_ref().map_or(0, |a| a.settings().urgencies.len());
        urgencies > 1 || (urgencies > 0 && self.has_groups())
    }

    /// Rank of an urgency among those of the service, 0 for the most urgent; `None` if the service does not
    /// admit by urgency.
    pub fn urgency_rank(&self, urgency: u8) -> Option<u8> {
        let admission = self.admission.as_ref().filter(|_| self.admits_by_urgency())?;
        Some(admission.class(urgency, false).rank)
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
        if self.has_groups() {
            return self.groups.limit(now);
        }
        self.limiter.as_ref().map_or(u32::MAX, |l| l.limit(now))
    }

    /// Recent mean forward pass time; `None` without a limiter or a recent measurement.
    pub fn mean_pass(&self, now: Instant) -> Option<Duration> {
        self.limiter.as_ref().and_then(|l| l.mean_pass(now))
    }

    /// Whether the service has several groups with limits of their own.
    pub fn has_groups(&self) -> bool {
        self.limiter.is_some() && self.cfg.pass_model.is_some() && self.groups.is_split()
    }

    /// What is known about each group; empty if there are not several.
    pub fn group_views(&mut self, now: Instant) -> Vec<GroupView> {
        if !self.has_groups() {
            return Vec::new();
        }
        self.scan_groups(now, AdmissionLimit::default());
        self.groups.views(now).collect()
    }

    /// Endpoints visited so far to tell groups apart.
    pub fn group_visits(&self) -> u64 {
        self.groups.visits()
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
        let mut place = self.arrive(now, req);
        let kv_tokens = self.kv_need(req);
        if self.exceeds_kv(kv_tokens) {
            return self.refuse(Code::Overloaded, RETRY_AFTER_MAX);
        }
        let demand = Demand {
            prompt_tokens: req.prompt_tokens,
            kv_tokens,
            parts: &req.parts,
            tried: &req.tried,
        };
        let none_ahead = self.queue.ahead(place.priority) == 0;
        if none_ahead && let Some(key) = self.choose_for(now, &place, &demand) {
            self.assign(now, key, (req.prompt_tokens, kv_tokens), req.earlier);
            self.record_admission(now, place.class, req.workspace, true);
            return DispatchDecision::Send(key);
        }
        if let Some(refusal) = self.pushback(now) {
            // A caller that has been refused before does not come a third time.
            let may_wait = req.is_caller_retry && place.class.is_some();
            if may_wait && now + refusal.retry_after < place.deadline {
                return self.enqueue(req, place);
            }
            return DispatchDecision::Refuse(refusal);
        }
        if !self.any_available(now, &req.tried) {
            return self.wait_out_outage(now, req, place);
        }
        self.outage_since = None;
        let queue_time = self.wait_in_queue(now, &mut place);
        if now + queue_time > place.deadline {
            self.record_admission(now, place.class, req.workspace, false);
            let retry_after = self.next_retry_after(now).min(req.return_time_max);
            return self.refuse(Code::Overloaded, retry_after);
        }
        self.enqueue(req, place)
    }

    /// Expected time in the queue. A request that would miss its objective there gets its later place.
    fn wait_in_queue(&self, now: Instant, place: &mut QueuePlace) -> Duration {
        let queue_time = self.expected_wait(now, self.queue.ahead(place.priority) + 1);
        let Some(demotion) = place.demotion.filter(|d| now + queue_time > d.at) else {
            return queue_time;
        };
        // It would miss its objective in any case, and must not delay those that can meet theirs.
        place.demote(demotion);
        self.expected_wait(now, self.queue.ahead(place.priority) + 1)
    }

    /// Decides on a request while no endpoint accepts work.
    fn wait_out_outage(
        &mut self,
        now: Instant,
        req: &DispatchRequest,
        place: QueuePlace,
    ) -> DispatchDecision {
        let outage_start = *self.outage_since.get_or_insert(now);
        let outage_end = outage_start + OUTAGE_EXPECTED;
        let may_end_in_time = now < outage_end && req.outage_deadline >= outage_end;
        if place.class.is_none() {
            if !may_end_in_time {
                return self.refuse(Code::NoEndpoint, RETRY_AFTER_OUTAGE);
            }
            return self.enqueue(req, QueuePlace { deadline: outage_end, ..place });
        }
        // A caller that has been refused before does not come a third time, so it waits as long as it can.
        if may_end_in_time || (req.is_caller_retry && now < place.deadline) {
            return self.enqueue(req, place);
        }
        // The last chance of a caller is best used late: most outages have ended by then, also long ones.
        self.refuse(Code::NoEndpoint, req.return_time_max.max(RETRY_AFTER_MIN))
    }

    /// Counts an arrived request in its class; returns its place in the queue.
    fn arrive(&mut self, now: Instant, req: &DispatchRequest) -> QueuePlace {
        let place = self.queue_place(now, req);
        if let (Some(admission), Some(class)) = (&mut self.admission, place.class) {
            admission.record_arrival(now, class);
        }
        place
    }

    /// Where the request stands in the queue, and until when.
    fn queue_place(&self, now: Instant, req: &DispatchRequest) -> QueuePlace {
        let Some(admission) = self.admission.as_ref().filter(|_| self.admits_by_urgency()) else {
            let priority =
                req.urgency.saturating_mul(2).saturating_add(u8::from(req.is_caller_retry));
            return QueuePlace {
                priority,
                class: None,
                demotion: None,
                deadline: req.queue_deadline,
            };
        };
        let on_time = admission.class(req.urgency, false);
        let late = admission.class(req.urgency, true);
        let demotion = Demotion { at: req.queue_deadline, priority: late.position(), class: late };
        let mut place = QueuePlace {
            priority: on_time.position(),
            class: Some(on_time),
            demotion: Some(demotion),
            deadline: req.late_deadline.max(req.queue_deadline),
        };
        if demotion.at <= now {
            place.demote(demotion);
        }
        place
    }

    fn enqueue(&mut self, req: &DispatchRequest, place: QueuePlace) -> DispatchDecision {
        let deadline = place.deadline;
        let ticket = self.queue.push(Waiter {
            ticket: Ticket(0),
            place,
            is_last_attempt: req.is_caller_retry && place.class.is_some(),
            workspace: req.workspace,
            workspace_admitted: 0.0,
            prompt_tokens: req.prompt_tokens,
            kv_tokens: self.kv_need(req),
            parts: req.parts.clone(),
            retry_after: RETRY_AFTER_MIN,
            return_time_max: req.return_time_max,
            tried: req.tried.clone(),
            earlier: req.earlier,
        });
        DispatchDecision::Wait(ticket, deadline)
    }

    /// Selects a member within the ceiling of the request's class.
    fn choose_for(
        &mut self,
        now: Instant,
        place: &QueuePlace,
        demand: &Demand<'_>,
    ) -> Option<MemberKey> {
        let limit = self.admission_limit(now, place);
        self.choose_member(now, limit, demand)
    }

    /// How far a request in this place may fill the fleet.
    fn admission_limit(&mut self, now: Instant, place: &QueuePlace) -> AdmissionLimit {
        let own_places = self.own_places();
        match (&mut self.admission, place.class) {
            (Some(admission), Some(class)) => admission.limit(now, class, own_places),
            _ => AdmissionLimit::default(),
        }
    }

    fn record_admission(
        &mut self,
        now: Instant,
        class: Option<AdmissionClass>,
        workspace: u64,
        admitted: bool,
    ) {
        if let (Some(admission), Some(class)) = (&mut self.admission, class) {
            admission.record(now, class, workspace, admitted);
        }
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

    /// Records the gap between two events of a stream at a member.
    pub fn record_event_gap(&mut self, now: Instant, key: MemberKey, gap: Duration) {
        if self.has_groups()
            && let Some(group) = self.members.get(&key).map(Member::group)
        {
            if self.groups.is_outdated(now) {
                self.scan_groups(now, AdmissionLimit::default());
            }
            self.groups.record_gap(now, group, key, gap);
        }
        if let Some(l) = &mut self.limiter {
            l.record_gap(now, gap, self.in_flight);
        }
    }

    /// Releases a slot that was held for `held`, and serves the queue. Of the reservations of KV memory
    /// at the member, the oldest one ends.
    pub fn complete(
        &mut self,
        now: Instant,
        key: MemberKey,
        outcome: RequestOutcome,
        held: Duration,
    ) -> Vec<QueueOutcome> {
        self.complete_with_kv(now, key, outcome, held, None)
    }

    /// As [`complete`](Self::complete), for a request whose need of KV memory is known.
    pub fn complete_with_kv(
        &mut self,
        now: Instant,
        key: MemberKey,
        outcome: RequestOutcome,
        held: Duration,
        kv_tokens: Option<u32>,
    ) -> Vec<QueueOutcome> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_reachability(now, key, outcome, held);
        self.record_refusal(now, key, outcome);
        if let Some(m) = self.members.get_mut(&key) {
            m.record_outcome(now, outcome);
            m.release_kv(kv_tokens);
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
        self.queue.demote(now);
        for w in self.queue.pop_expired(now) {
            self.record_admission(now, w.place.class, w.workspace, false);
            let retry_after = self.next_retry_after(now).max(w.retry_after).min(w.return_time_max);
            outcomes.push((w.ticket, Err(Refusal { code: Code::Overloaded, retry_after })));
        }
        if self.queue.len() > 0
            && let Some(refusal) = self.pushback(now)
        {
            let refused = self.queue.pop_hopeless(now + refusal.retry_after);
            outcomes.extend(refused.into_iter().map(|w| (w.ticket, Err(refusal))));
        }
        loop {
            // Moved out of `self`, because `choose_for` borrows all of it mutably.
            let mut queue = std::mem::take(&mut self.queue);
            if let Some(admission) = &self.admission {
                queue.rank_workspaces(|w| admission.workspace_shares().recent(now, w));
            }
            let next = queue.pop_first_placeable(|w| {
                let demand = Demand {
                    prompt_tokens: w.prompt_tokens,
                    kv_tokens: w.kv_tokens,
                    parts: &w.parts,
                    tried: &w.tried,
                };
                self.choose_for(now, &w.place, &demand)
            });
            self.queue = queue;
            let Some((w, key)) = next else { return outcomes };
            self.assign(now, key, (w.prompt_tokens, w.kv_tokens), w.earlier);
            self.record_admission(now, w.place.class, w.workspace, true);
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

    /// Reserves a slot and KV memory; `tokens` are those of the prompt and of the need of KV memory.
    fn assign(&mut self, now: Instant, key: MemberKey, tokens: (u32, u32), earlier: EarlierSends) {
        let (prompt_tokens, kv_tokens) = tokens;
        self.in_flight += 1;
        self.outage_since = None;
        if earlier == EarlierSends::Arrived {
            self.retries.add(now);
        }
        if let Some(m) = self.members.get_mut(&key) {
            m.record_sent(now, prompt_tokens);
            m.reserve_kv(kv_tokens);
        }
        self.kv_need.add(now, f64::from(kv_tokens), HOLD_TIME_CONSTANT);
    }

    /// Number of times that refusals have held back further sends.
    pub fn refusal_pauses(&self) -> u64 {
        self.refusal_pauses
    }

    /// Records that an endpoint has accepted a request.
    pub fn record_accepted(&mut self) {
        self.refusals.record_acceptance();
    }

    /// Records a refusal by an endpoint whose agent reports its load. Without reports, nothing would
    /// tell when the endpoints accept requests again.
    fn record_refusal(&mut self, now: Instant, key: MemberKey, outcome: RequestOutcome) {
        let reports = self.members.get(&key).is_some_and(|m| m.rank_state.is_some());
        if outcome == RequestOutcome::Refused && reports {
            self.refusal_pauses += u64::from(self.refusals.record_refusal(now, key));
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
