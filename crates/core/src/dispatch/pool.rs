//! [`Pool`]: the endpoints of one service, as one gateway uses them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::Ended;
use super::Ewma;
use super::Limiter;
use super::LimiterSettings;
use super::Member;
use super::MemberKey;
use super::RankState;
use super::Ticket;
use super::Window;
use super::draw;
use super::waiting::Waiter;
use super::waiting::Waiting;
use crate::Code;
use crate::fleet::BeatState;
use crate::fleet::Known;

/// What bounds a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Failure domain of the gateway.
    pub domain: String,
    /// Bounds streams in flight; none for a plain service.
    pub limiter: Option<LimiterSettings>,
    /// Repeats allowed for each first request.
    pub retry_ratio: f64,
    /// Span over which repeats are counted.
    pub retry_span: Duration,
    /// Repeats allowed besides, over all gateways.
    pub retry_slack: f64,
    /// Requests a second that a cold endpoint may get from all gateways together.
    pub cold_per_s: f64,
    /// Gateways that there may be.
    pub gateways: u32,
    /// Gateways that are known to be there.
    pub gateways_known: u32,
    /// Connections that one endpoint takes from all gateways together.
    pub connections_max: u32,
    /// Seed of the draws among engines, another one at each gateway.
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
            gateways: 8,
            gateways_known: 4,
            connections_max: 256,
            seed: 0,
        }
    }
}

/// What a request asks of the pool.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Lower goes first.
    pub rank: u8,
    /// Prompt tokens, for engines.
    pub prompt: u32,
    /// When the request is refused rather than started.
    pub start_by: Instant,
    /// The same while no endpoint takes work, which mostly ends soon.
    pub outage_by: Instant,
    /// Members that it has been sent to already.
    pub tried: SmallVec<[MemberKey; 2]>,
    /// Whether it has been sent to an endpoint before, so that this draws on the retry budget.
    pub repeat: bool,
}

/// Why a request gets no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered reason.
    pub code: Code,
    /// When a place is expected.
    pub retry_after: Duration,
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it there; the place is counted.
    Send(MemberKey),
    /// A [`Grant`] for this ticket will follow.
    Wait(Ticket),
    /// It is not served.
    Refuse(Refusal),
}

/// The later answer to a request that waits.
pub type Grant = (Ticket, Result<MemberKey, Refusal>);

/// Factor on the load of a member in another failure domain.
const OTHER_DOMAIN: f64 = 1.15;
/// Weight of failures in the choice of a plain endpoint: half of them failing counts as this much
/// latency more.
const FAILURE_WEIGHT: f64 = 8.0;
/// Prompt tokens that count like one more request: about what one pass reads.
const PROMPT_PER_REQUEST: f64 = 1024.0;
/// How long a request holds its place before anything is known.
const HOLD_UNKNOWN: Duration = Duration::from_millis(1500);
/// Memory of the mean time that a place is held.
const HOLD_MEMORY: Duration = Duration::from_secs(5);
/// Least time that a refused caller is told to stay away.
const RETRY_MIN: Duration = Duration::from_millis(250);
/// Most time that a refused caller is told to stay away.
const RETRY_MAX: Duration = Duration::from_millis(2500);
/// How long it mostly takes until an endpoint takes work again: a group stalls, forms anew, and says
/// so; endpoints make themselves known to a gateway that has just started.
const OUTAGE_USUAL: Duration = Duration::from_millis(2300);
/// Time to come back while no endpoint takes work: about what a group needs to form again.
const RETRY_NONE: Duration = Duration::from_millis(1200);

/// The endpoints of one service, as one gateway uses them.
#[derive(Clone, Debug)]
pub struct Pool {
    cfg: PoolSettings,
    members: BTreeMap<MemberKey, Member>,
    by_id: BTreeMap<String, MemberKey>,
    next_key: u32,
    evacuated: BTreeSet<String>,
    limiter: Option<Limiter>,
    in_flight: u32,
    waiting: Waiting,
    hold_ms: Ewma,
    requests: Window,
    repeats: Window,
    /// Until when places are promised to callers that were told to come back.
    promised_until: Option<Instant>,
    /// Since when no endpoint has taken work, as far as requests have noticed.
    outage_since: Option<Instant>,
    turn: u32,
    rng: ChaCha8Rng,
}

impl Pool {
    /// A pool without members.
    pub fn new(cfg: PoolSettings) -> Self {
        Self {
            limiter: cfg.limiter.map(Limiter::new),
            requests: Window::new(cfg.retry_span),
            repeats: Window::new(cfg.retry_span),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
            members: BTreeMap::new(),
            by_id: BTreeMap::new(),
            next_key: 0,
            evacuated: BTreeSet::new(),
            in_flight: 0,
            waiting: Waiting::default(),
            hold_ms: Ewma::default(),
            promised_until: None,
            outage_since: None,
            turn: 0,
        }
    }

    // ------------------------------------------------------------------------------------------
    // Beliefs

    /// Changes the bounds; what is in flight stays.
    pub fn configure(&mut self, cfg: PoolSettings) {
        if self.cfg.limiter != cfg.limiter {
            self.limiter = cfg.limiter.map(Limiter::new);
        }
        self.cfg = cfg;
    }

    /// Takes the newest heartbeat of a member; another incarnation is another member.
    pub fn learn(&mut self, known: &Known) {
        let id = &known.beat.id;
        let key = self.by_id.get(id).copied();
        let same = |m: &&mut Member| m.known.beat.born_ms == known.beat.born_ms;
        if let Some(m) = key.and_then(|k| self.members.get_mut(&k)).filter(same) {
            m.learn(known.clone());
            return;
        }
        self.next_key += 1;
        let key = MemberKey(self.next_key);
        self.members.insert(key, Member::new(known.clone()));
        self.by_id.insert(id.clone(), key);
        self.drop_replaced();
    }

    /// Forgets incarnations that are over once nothing of theirs is in flight.
    fn drop_replaced(&mut self) {
        let by_id = &self.by_id;
        self.members.retain(|k, m| m.in_flight > 0 || by_id.get(&m.known.beat.id) == Some(k));
    }

    /// Forgets members that are not in `ids`.
    pub fn retain(&mut self, ids: impl Fn(&str) -> bool) {
        self.by_id.retain(|id, _| ids(id));
        self.drop_replaced();
    }

    /// Sets the failure domains that get no new work.
    pub fn evacuate(&mut self, domains: &BTreeSet<String>) {
        self.evacuated.clone_from(domains);
    }

    /// Takes a report of the agent beside the member at `address`.
    pub fn report(&mut self, address: std::net::SocketAddr, rank: RankState) {
        if let Some(m) = self.members.values_mut().find(|m| m.address() == address) {
            m.report(rank);
        }
    }

    /// A member.
    pub fn member(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        self.members.iter().map(|(k, m)| (*k, m))
    }

    /// Own requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Own requests that may be in flight.
    pub fn limit(&self, now: Instant) -> u32 {
        self.limiter.as_ref().map_or(u32::MAX, |l| l.limit(now))
    }

    /// The mean pass time lately, for engines.
    pub fn pass(&self, now: Instant) -> Option<Duration> {
        self.limiter.as_ref().and_then(|l| l.pass(now))
    }

    // ------------------------------------------------------------------------------------------
    // Requests

    /// Asks for a place.
    pub fn ask(&mut self, now: Instant, ask: &Ask) -> Verdict {
        if ask.repeat {
            if !self.may_repeat(now) {
                return self.refuse(Code::RetryBudgetSpent, RETRY_MIN);
            }
        } else {
            self.requests.add(now);
        }
        let nobody_before = self.waiting.ahead(ask.rank) == 0;
        if nobody_before && let Some(key) = self.place(now, ask.prompt, &ask.tried) {
            self.take(now, key, ask.prompt, ask.repeat);
            return Verdict::Send(key);
        }
        if !self.any_usable(now, &ask.tried) {
            let began = *self.outage_since.get_or_insert(now);
            let ends = began + OUTAGE_USUAL;
            if now >= ends || ask.outage_by < ends {
                return self.refuse(Code::NoEndpoint, RETRY_NONE);
            }
            return Verdict::Wait(self.wait(ask, ends));
        }
        self.outage_since = None;
        let wait = self.expected_wait(now, self.waiting.ahead(ask.rank) + 1);
        if now + wait > ask.start_by {
            let retry_after = self.promise(now);
            return self.refuse(Code::Overloaded, retry_after);
        }
        Verdict::Wait(self.wait(ask, ask.start_by))
    }

    fn wait(&mut self, ask: &Ask, until: Instant) -> Ticket {
        self.waiting.push(Waiter {
            ticket: Ticket(0),
            rank: ask.rank,
            until,
            prompt: ask.prompt,
            retry_after: RETRY_MIN,
            tried: ask.tried.clone(),
        })
    }

    /// Takes a waiting request out again.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.remove(ticket);
    }

    /// Notes that an answer has begun, `took` after it was sent.
    pub fn began(&mut self, now: Instant, key: MemberKey, prompt: u32, took: Duration) {
        if let Some(m) = self.members.get_mut(&key) {
            m.began(now, prompt, took);
        }
    }

    /// Notes the gap between two events of a stream.
    pub fn event(&mut self, now: Instant, gap: Duration) {
        if let Some(l) = &mut self.limiter {
            l.observe(now, gap, self.in_flight);
        }
    }

    /// Gives a place back, `held` after it was taken, and passes it on.
    pub fn finished(
        &mut self,
        now: Instant,
        key: MemberKey,
        ended: Ended,
        held: Duration,
    ) -> Vec<Grant> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(m) = self.members.get_mut(&key) {
            m.finished(now, ended);
        }
        if ended == Ended::Whole {
            self.hold_ms.add(now, held.as_secs_f64() * 1e3, HOLD_MEMORY);
        }
        self.drop_replaced();
        self.tick(now)
    }

    /// Passes on places that have become free, and refuses what has waited too long.
    pub fn tick(&mut self, now: Instant) -> Vec<Grant> {
        let mut grants = Vec::new();
        for w in self.waiting.expire(now) {
            let retry_after = self.promise(now).max(w.retry_after);
            grants.push((w.ticket, Err(Refusal { code: Code::Overloaded, retry_after })));
        }
        loop {
            // Taken out while members are looked at, since finding a place needs all of `self`.
            let mut waiting = std::mem::take(&mut self.waiting);
            let placed = waiting.first_placed(|w| self.place(now, w.prompt, &w.tried));
            self.waiting = waiting;
            let Some((w, key)) = placed else { return grants };
            self.take(now, key, w.prompt, !w.tried.is_empty());
            grants.push((w.ticket, Ok(key)));
        }
    }

    /// Whether one more repeat fits the retry budget.
    pub fn may_repeat(&mut self, now: Instant) -> bool {
        let slack = self.cfg.retry_slack / f64::from(self.cfg.gateways.max(1));
        let allowed = self.cfg.retry_ratio * self.requests.count(now) as f64 + slack;
        ((self.repeats.count(now) + 1) as f64) <= allowed
    }

    fn take(&mut self, now: Instant, key: MemberKey, prompt: u32, repeat: bool) {
        self.in_flight += 1;
        self.outage_since = None;
        if repeat {
            self.repeats.add(now);
        }
        if let Some(m) = self.members.get_mut(&key) {
            m.sent(now, prompt);
        }
    }

    fn refuse(&self, code: Code, retry_after: Duration) -> Verdict {
        Verdict::Refuse(Refusal { code, retry_after })
    }

    /// Whether any member could take the request once it has room.
    fn any_usable(&self, now: Instant, tried: &[MemberKey]) -> bool {
        let usable = |(k, m): (&MemberKey, &Member)| {
            m.usable(now) && self.in_service(m) && !tried.contains(k)
        };
        self.members.iter().any(usable)
    }

    fn in_service(&self, m: &Member) -> bool {
        self.by_id.contains_key(&m.known.beat.id) && !self.evacuated.contains(&m.known.beat.domain)
    }

    /// The best member with room.
    fn place(&mut self, now: Instant, prompt: u32, tried: &[MemberKey]) -> Option<MemberKey> {
        if self.in_flight >= self.limit(now) || self.is_full(now) {
            return None;
        }
        let gateways = f64::from(self.cfg.gateways.max(1));
        let cold = (self.cfg.cold_per_s / gateways).floor().max(1.0) as usize;
        let conns = (self.cfg.connections_max / self.cfg.gateways.max(1)).max(1);
        self.turn = self.turn.wrapping_add(1);
        let keys: SmallVec<[MemberKey; 32]> = self.members.keys().copied().collect();
        let start = self.turn as usize;
        let mut fitting: SmallVec<[(MemberKey, f64); 32]> = SmallVec::new();
        for i in 0..keys.len() {
            // Equal members take turns.
            let key = keys[(start + i) % keys.len()];
            let Some(m) = self.members.get(&key) else { continue };
            let fits = m.usable(now) && self.in_service(m) && !tried.contains(&key);
            let room = m.load(now) < m.known.beat.slots.max(1) && m.in_flight < conns;
            if !fits || !room {
                continue;
            }
            let score = self.score(now, m, prompt);
            if self.members.get_mut(&key).is_some_and(|m| m.bears_cold(now, cold)) {
                fitting.push((key, score));
            }
        }
        if self.limiter.is_none() {
            let least = fitting.iter().min_by(|a, b| a.1.total_cmp(&b.1));
            return least.map(|(key, _)| *key);
        }
        let loads: SmallVec<[f64; 32]> = fitting.iter().map(|(_, load)| *load).collect();
        let drawn = draw(&loads, self.sent_by_others(), &mut self.rng)?;
        Some(fitting[drawn].0)
    }

    /// Requests that the other gateways are taken to have sent since the endpoints' last reports: as
    /// many each as this one.
    fn sent_by_others(&self) -> f64 {
        let own: u32 = self.members.values().map(|m| m.sent_since).sum();
        f64::from(own) * f64::from(self.cfg.gateways_known.saturating_sub(1))
    }

    /// Whether all gateways together keep as many streams in flight as passes bear.
    fn is_full(&self, now: Instant) -> bool {
        let Some(limiter) = &self.cfg.limiter else { return false };
        let (mut load, mut members) = (0.0, 0);
        // Ranks that get no new work still run every pass with the others.
        for m in self.members.values().filter(|m| m.known.beat.state != BeatState::Gone) {
            load += m.shared_load(now, self.cfg.gateways_known);
            members += 1;
        }
        load >= limiter.per_endpoint * f64::from(members)
    }

    /// Expected cost of one more request at a member; lower is better.
    fn score(&self, now: Instant, m: &Member, prompt: u32) -> f64 {
        let far = if m.known.beat.domain == self.cfg.domain { 1.0 } else { OTHER_DOMAIN };
        if self.limiter.is_some() {
            let reading = (m.prompt_waiting + u64::from(prompt)) as f64 / PROMPT_PER_REQUEST;
            return m.expected_load(now, self.cfg.gateways_known) + reading + (far - 1.0);
        }
        let latency = m.latency_ms(now).unwrap_or_else(|| self.least_latency_ms(now));
        let failing = 1.0 + FAILURE_WEIGHT * m.failure_share(now);
        (f64::from(m.in_flight) + 1.0) * latency * failing * far
    }

    /// Latency that is assumed of an endpoint of which none is known: the best one, so that it is
    /// tried.
    fn least_latency_ms(&self, now: Instant) -> f64 {
        let known = self.members.values().filter_map(|m| m.latency_ms(now));
        known.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Time until the `nth` place from now becomes free.
    fn expected_wait(&self, now: Instant, nth: usize) -> Duration {
        let hold = self.hold_ms.get().map_or(HOLD_UNKNOWN.as_secs_f64(), |ms| ms / 1e3);
        let places = f64::from(self.limit(now).min(self.in_flight).max(1));
        Duration::from_secs_f64(hold * nth as f64 / places)
    }

    /// When a refused caller should come back: each one is promised a later turn, so that they do
    /// not return all at once.
    fn promise(&mut self, now: Instant) -> Duration {
        let turn = self.expected_wait(now, 1);
        let earliest = now + RETRY_MIN + self.expected_wait(now, self.waiting.len() + 1);
        let at = self.promised_until.map_or(earliest, |p| (p + turn).max(earliest));
        let at = at.min(now + RETRY_MAX);
        self.promised_until = Some(at);
        at.saturating_duration_since(now)
    }
}
