//! [`Groups`]: load, pass time and limit of each group of ranks of a service, as one gateway sees them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;

use super::AdmissionLimit;
use super::LearnedSkew;
use super::Limiter;
use super::LimiterSettings;
use super::Member;
use super::MemberKey;
use super::PassModel;
use crate::fleet::HeartbeatState;

/// Time after which a group without registered endpoints is forgotten; longer than a group needs to
/// re-form.
const GROUP_EXPIRY: Duration = Duration::from_secs(60);
/// Time constant with which the highest recent load falls: reports are up to 0.3 s older than the passes
/// that they are compared with.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Age of the loads after which [`Groups::is_outdated`] asks for a new scan: the interval of reports.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a group has begun to accept requests in which its expert map is not yet fitted to the
/// demand: the first counts and the copies of the first plan take about two seconds.
const START_TIME: Duration = Duration::from_secs(3);
/// Skew assumed in that time. Passes of 130 to 145 ms were measured where a skew of 2.2 had been assumed
/// for 92 ms, which a skew of 3.6 to 4.2 accounts for.
const START_SKEW: f64 = 4.0;
/// Smallest number of streams to which a gateway's limit in one group can fall.
const FLOOR_MIN: f64 = 1.0;

/// Load of one group, from the last reports of its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLoad {
    /// Requests at the endpoints when they were observed.
    pub requests: f64,
    /// Requests that this gateway has sent less those that have ended since.
    pub own_unreported: f64,
    /// Requests of this gateway in flight.
    pub in_flight: u32,
    /// Number of endpoints.
    pub endpoints: u32,
    /// Number of endpoints with a fresh report.
    reporting: u32,
    /// Number of fresh reports that say that the group accepts requests.
    open: u32,
    /// Age of the fresh observations: sum during a scan, then the mean, in seconds.
    pub age_s: f64,
}

/// Whether a group gets requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GroupState {
    /// It accepts requests.
    #[default]
    Open,
    /// It has as many streams as it may have, or this gateway has used up its part of them.
    Full,
    /// It is forming or stalled.
    Closed,
    /// None of its reports is fresh, while those of another group are.
    Silent,
}

/// What is known about a group, for metrics and logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupView {
    /// Key of the group's name.
    pub key: u64,
    /// Whether the group gets requests.
    pub state: GroupState,
    /// Load of the group.
    pub load: GroupLoad,
    /// Limit on its streams, counted over all gateways.
    pub limit: f64,
    /// Recent mean pass time.
    pub pass: Option<Duration>,
    /// Skew that the limit is derived from.
    pub skew: f64,
}

impl GroupState {
    /// Whether the group runs and its reports are fresh, with or without free places.
    pub fn is_usable(self) -> bool {
        matches!(self, Self::Open | Self::Full)
    }
}

#[derive(Clone, Debug)]
struct Group {
    load: GroupLoad,
    /// Highest recent load per endpoint.
    load_peak: f64,
    limiter: Limiter,
    skew: LearnedSkew,
    state: GroupState,
    /// Since when the group has accepted requests; `None` if it does not.
    usable_since: Option<Instant>,
    /// Skew that the limit is derived from; `None` for the limit without observations.
    skew_applied: Option<f64>,
    /// Limit on the mean number of streams per endpoint.
    streams_per_endpoint: f64,
    /// When the group was last reported or had a registered endpoint.
    seen_at: Instant,
    /// Random number from 0 to 1 that rounds this gateway's part of the free places.
    rounding: f64,
    rounded_at: Option<Instant>,
}

/// The groups of a service. They are told apart only where there is more than one, and a limiter.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    cfg: LimiterSettings,
    model: Option<PassModel>,
    groups: BTreeMap<u64, Group>,
    scanned_at: Option<Instant>,
    visits: u64,
}

impl Groups {
    /// Replaces the settings; what has been learned about the groups is kept.
    pub fn configure(&mut self, cfg: LimiterSettings, model: Option<PassModel>) {
        if self.cfg != cfg {
            self.groups.values_mut().for_each(|g| g.limiter = Limiter::new(cfg));
        }
        self.cfg = cfg;
        self.model = model;
    }

    /// Records that an endpoint has reported a group.
    pub fn observe(&mut self, at: Instant, key: u64) {
        if key != 0 {
            let group = self.groups.entry(key).or_insert_with(|| Group::new(at, self.cfg));
            group.seen_at = group.seen_at.max(at);
        }
    }

    /// Whether the service has more than one group.
    pub fn is_split(&self) -> bool {
        self.groups.keys().filter(|key| **key != 0).nth(1).is_some()
    }

    /// Number of known groups.
    fn parts(&self) -> f64 {
        self.groups.keys().filter(|key| **key != 0).count().max(1) as f64
    }

    /// Whether the loads are older than the interval of reports.
    pub fn is_outdated(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.scanned_at.is_none_or(|at| age(at) >= SCAN_INTERVAL)
    }

    /// Sums up the loads of the groups and decides which of them get requests of a class that may fill them
    /// as far as `admission` says. Every endpoint is visited
    /// once. Draining ranks still take part in every pass, so they count. An endpoint without a fresh
    /// report counts as the mean of the others of its group.
    pub fn scan<'a>(
        &mut self,
        now: Instant,
        members: impl Iterator<Item = &'a Member>,
        gateways: u32,
        admission: AdmissionLimit,
        rng: &mut impl Rng,
    ) {
        self.groups.retain(|_, g| now.saturating_duration_since(g.seen_at) < GROUP_EXPIRY);
        self.groups.values_mut().for_each(|g| g.load = GroupLoad::default());
        for m in members {
            self.visits += 1;
            if m.registration.heartbeat.state == HeartbeatState::Gone || m.has_ended(now) {
                continue;
            }
            let group = self.groups.entry(m.group()).or_insert_with(|| Group::new(now, self.cfg));
            group.seen_at = now;
            group.load.add(now, m);
        }
        let any_reports = self.groups.values().any(|g| g.load.reporting > 0);
        let elapsed = self.scanned_at.map_or(LOAD_TIME, |at| now.saturating_duration_since(at));
        let peak_left = (-elapsed.as_secs_f64() / LOAD_TIME.as_secs_f64()).exp();
        self.scanned_at = Some(now);
        let parts = self.parts();
        for g in self.groups.values_mut() {
            g.load.finish(gateways);
            // A place that this gateway takes is visible to the others after about the age of the
            // reports. A number drawn before would let several of them take it.
            let valid_for = SCAN_INTERVAL.max(Duration::from_secs_f64(g.load.age_s));
            if g.rounded_at.is_none_or(|at| now.saturating_duration_since(at) >= valid_for) {
                g.rounding = rng.random();
                g.rounded_at = Some(now);
            }
            g.load_peak = (g.load_peak * peak_left).max(g.load.per_endpoint());
            g.derive_limit(now, self.cfg.streams_per_endpoint, self.model.as_ref());
            g.state = g.decide(now, any_reports, gateways, parts, admission);
            g.usable_since = g.state.is_usable().then(|| g.usable_since.unwrap_or(now));
        }
    }

    /// Records the gap between two events of a stream at `member`, an endpoint of group `key`.
    pub fn record_gap(&mut self, now: Instant, key: u64, member: MemberKey, gap: Duration) {
        let Some(g) = self.groups.get_mut(&key) else { return };
        if let Some(model) = &self.model {
            g.skew.record_gap(now, member, gap, g.load_peak, g.streams_per_endpoint, model);
            if LearnedSkew::is_stall(gap, model) {
                return;
            }
        }
        g.limiter.record_gap(now, gap, g.load.in_flight);
    }

    /// State of a group as of the last scan; `None` if the group is not known.
    pub fn state(&self, key: u64) -> Option<GroupState> {
        self.groups.get(&key).map(|g| g.state)
    }

    /// Whether a group gets requests, as of the last scan.
    pub fn accepts(&self, key: u64) -> bool {
        self.groups.get(&key).is_some_and(|g| g.state == GroupState::Open)
    }

    /// Factor by which loads at endpoints of a group are multiplied to compare them with those of other
    /// groups: a load counts by its share of the group's limit.
    pub fn load_factor(&self, key: u64) -> f64 {
        let limit = self.groups.get(&key).map_or(0.0, |g| g.streams_per_endpoint);
        if limit > 0.0 { self.cfg.streams_per_endpoint / limit } else { 1.0 }
    }

    /// Requests in the groups that get requests, and the mean age of their observations in seconds.
    pub fn open_load(&self) -> (f64, f64) {
        let open = || self.groups.values().filter(|g| g.state == GroupState::Open);
        let requests = open().map(|g| g.load.requests).sum();
        let endpoints: u32 = open().map(|g| g.load.endpoints).sum();
        let age_s: f64 = open().map(|g| g.load.age_s * f64::from(g.load.endpoints)).sum();
        (requests, age_s / f64::from(endpoints.max(1)))
    }

    /// Number of streams that this gateway may have in flight in all groups that are neither closed nor
    /// silent.
    pub fn limit(&self, now: Instant) -> u32 {
        let parts = self.parts();
        let limits =
            self.groups.values().filter(|g| g.state.is_usable()).map(|g| g.own_limit(now, parts));
        limits.sum::<f64>() as u32
    }

    /// What is known about each group, as of the last scan.
    pub fn views(&self, now: Instant) -> impl Iterator<Item = GroupView> {
        let model = self.model.as_ref();
        self.groups.iter().filter(|(key, _)| **key != 0).map(move |(key, g)| GroupView {
            key: *key,
            state: g.state,
            load: g.load,
            limit: g.streams_per_endpoint * f64::from(g.load.endpoints),
            pass: g.limiter.mean_pass(now),
            skew: g.skew_applied.or(model.map(|m| m.skew)).unwrap_or(1.0),
        })
    }

    /// Endpoints visited in all scans: the work that telling groups apart has taken.
    pub fn visits(&self) -> u64 {
        self.visits
    }
}

impl Group {
    fn new(now: Instant, cfg: LimiterSettings) -> Self {
        Self {
            load: GroupLoad::default(),
            load_peak: 0.0,
            limiter: Limiter::new(cfg),
            skew: LearnedSkew::default(),
            state: GroupState::default(),
            usable_since: None,
            skew_applied: None,
            streams_per_endpoint: cfg.streams_per_endpoint,
            seen_at: now,
            rounding: 0.0,
            rounded_at: None,
        }
    }

    /// Number of streams that this gateway may have in flight in this one of `parts` groups.
    fn own_limit(&self, now: Instant, parts: f64) -> f64 {
        self.limiter.limit_of_part(now, parts).max(FLOOR_MIN)
    }

    /// Derives the limit on the streams per endpoint; `bound` is the one without observations.
    fn derive_limit(&mut self, now: Instant, bound: f64, model: Option<&PassModel>) {
        let Some(model) = model else {
            self.streams_per_endpoint = bound;
            return;
        };
        let usable_for = |since: Instant| now.saturating_duration_since(since);
        let starting = self.usable_since.is_none_or(|since| usable_for(since) < START_TIME);
        let assumed = starting.then_some(START_SKEW);
        let worst = self.skew.worst(now, model);
        self.skew_applied = worst.into_iter().chain(assumed).reduce(f64::max);
        self.streams_per_endpoint =
            self.skew_applied.map_or(bound, |skew| model.streams_within(skew, bound));
    }

    /// Whether the group gets requests.
    ///
    /// Of the places that were free when the endpoints were observed, a gateway may take a part that is
    /// half even and half as large as the part that it holds of the streams in flight. The parts of all
    /// gateways add up to the whole. Larger parts, as in a service with one group, would exceed the
    /// limit of a small group by a tenth, since a gateway has only a few streams in it.
    fn decide(
        &self,
        now: Instant,
        any_reports: bool,
        gateways: u32,
        parts: f64,
        admission: AdmissionLimit,
    ) -> GroupState {
        let load = &self.load;
        if load.endpoints == 0 || (load.reporting == 0 && any_reports) {
            return GroupState::Silent;
        }
        // The reports of its ranks are from different times; the view of most of them counts.
        if load.open * 2 < load.reporting {
            return GroupState::Closed;
        }
        let gateways = f64::from(gateways);
        let own = f64::from(load.in_flight) + 1.0;
        let part = 0.5 * (own / (load.requests + gateways)).min(1.0) + 0.5 / gateways;
        let part = (part * admission.part_factor).min(1.0);
        let limit = admission.ceiling * self.streams_per_endpoint * f64::from(load.endpoints);
        let free = limit - load.requests;
        let full = load.own_unreported + 1.0 > free * part + self.rounding
            || own > self.own_limit(now, parts) * admission.ceiling + self.rounding;
        if full { GroupState::Full } else { GroupState::Open }
    }
}

impl GroupLoad {
    /// Requests per endpoint.
    pub fn per_endpoint(&self) -> f64 {
        self.requests / f64::from(self.endpoints.max(1))
    }

    fn add(&mut self, now: Instant, m: &Member) {
        self.endpoints += 1;
        self.in_flight += m.in_flight;
        if let (Some(load), Some(state)) = (m.reported_load(now), &m.rank_state) {
            self.reporting += 1;
            self.open += u32::from(state.open);
            self.age_s += now.saturating_duration_since(state.observed_at).as_secs_f64();
            self.requests += f64::from(load);
            self.own_unreported += m.unreported_net();
        }
    }

    fn finish(&mut self, gateways: u32) {
        if self.reporting == 0 {
            self.requests = f64::from(self.in_flight) * f64::from(gateways);
            return;
        }
        self.requests *= f64::from(self.endpoints) / f64::from(self.reporting);
        self.age_s /= f64::from(self.reporting);
    }
}
