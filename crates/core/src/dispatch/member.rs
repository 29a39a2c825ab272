//! [`Member`]: load, health and warm-up state of one endpoint in a gateway's pool.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Ewma;
use super::Obstacle;
use super::SlidingWindow;
use super::kv_memory::KvReservations;
use crate::Digest;
use crate::fleet::HeartbeatState;
use crate::fleet::Registration;

/// Identifies a member within its pool; every incarnation of an endpoint gets a new key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(pub u32);

/// Result of sending a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response arrived complete.
    Whole,
    /// The endpoint responded with an error.
    Failed,
    /// The endpoint refused the request without running it.
    Refused,
    /// The connection could not be established.
    Unreachable,
    /// No process listens at the address, or another endpoint does.
    Ended,
    /// The response broke off or was invalid.
    Broken,
    /// The endpoint sent nothing until the timeout.
    Silent,
    /// The slot was not used, or the caller disconnected.
    Unused,
}

/// State of a rank as reported by its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankState {
    /// Whether the rank's group accepts requests.
    pub open: bool,
    /// Number of requests at the rank, running and queued.
    pub requests: u32,
    /// Time at which this state was observed.
    pub observed_at: Instant,
    /// Key of the name of the rank's group; 0 if it is not known.
    pub group: u64,
}

/// Change of an endpoint's load by a request of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadChange {
    Sent,
    Ended,
}

/// Window of the rate limit for cold endpoints.
const COLD_WINDOW: Duration = Duration::from_millis(1050);
/// Time constant of the latency and failure averages; an average without a sample within this time
/// is ignored.
const STATS_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Consecutive failures, without a response between them, after which an endpoint is ejected.
const CONSECUTIVE_FAILURES_MAX: u32 = 2;
/// Duration of the first ejection; it doubles with each further one until a response arrives
/// complete.
const EJECTION_MIN: Duration = Duration::from_millis(600);
/// Upper bound of the ejection time.
const EJECTION_MAX: Duration = Duration::from_secs(4);
/// Time after which an endpoint that had ended is tried again without a heartbeat: its heartbeats may
/// be held up while the control instances have no quorum or are cut off.
const ENDED_RECHECK_TIME: Duration = Duration::from_secs(15);
/// Time after which an endpoint that has refused is tried again without a new report: longer than the
/// age of reports.
const REFUSAL_RECHECK_TIME: Duration = Duration::from_millis(500);
/// Agent reports older than this are ignored.
const REPORT_STALE_AFTER: Duration = Duration::from_millis(1500);

/// Age from which a report lags behind, if most of the others do not: several of the agents' intervals,
/// and the way over a control instance.
const REPORT_LAGS_AFTER: Duration = Duration::from_millis(700);

fn is_fresh(now: Instant, mean: &Ewma) -> bool {
    mean.last_sample_at().is_some_and(|at| now.saturating_duration_since(at) < STATS_TIME_CONSTANT)
}

/// End of the warm-up that a heartbeat announces; `None` if the endpoint is warm.
fn cold_until(registration: &Registration) -> Option<Instant> {
    (!registration.heartbeat.cold_remaining.is_zero())
        .then(|| registration.received_at + registration.heartbeat.cold_remaining)
}

/// One incarnation of an endpoint, as one gateway sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest heartbeat of the endpoint.
    pub registration: Registration,
    /// Requests of this gateway in flight at the endpoint.
    pub in_flight: u32,
    /// Prompt tokens of this gateway's requests whose response has not started.
    pub pending_prompt_tokens: u64,
    /// Requests that this gateway has sent and that have ended since the state in the last report
    /// was observed.
    unreported: VecDeque<(Instant, LoadChange)>,
    /// Key by which gateways divide the endpoint's limits.
    pub key_hash: u64,
    /// Last report of the endpoint's agent.
    pub rank_state: Option<RankState>,
    /// Key of the group in the last report that named one; 0 if none has.
    group: u64,
    /// End of the current or last ejection.
    pub ejected_until: Option<Instant>,
    /// When no process of the endpoint was found at its address.
    ended_at: Option<Instant>,
    /// Whether the endpoint has said in a response that it leaves; its heartbeats may be older.
    leaving: bool,
    /// End of the time for which the endpoint has asked this gateway for no requests.
    quiet_until: Option<Instant>,
    latency_ms: Ewma,
    failure_rate: Ewma,
    consecutive_failures: u32,
    ejections: u32,
    cold_until: Option<Instant>,
    recent_sends: SlidingWindow,
    /// When the endpoint last refused a request although its report showed a free slot.
    refused_at: Option<Instant>,
    kv: KvReservations,
}

impl Member {
    /// Creates a member from an endpoint's first heartbeat.
    pub fn new(registration: Registration) -> Self {
        let key_hash = Digest::of(&[registration.heartbeat.id.as_bytes()]).to_u64();
        Self {
            cold_until: cold_until(&registration),
            registration,
            in_flight: 0,
            pending_prompt_tokens: 0,
            unreported: VecDeque::new(),
            key_hash,
            rank_state: None,
            group: 0,
            ejected_until: None,
            ended_at: None,
            leaving: false,
            quiet_until: None,
            latency_ms: Ewma::default(),
            failure_rate: Ewma::default(),
            consecutive_failures: 0,
            ejections: 0,
            recent_sends: SlidingWindow::new(COLD_WINDOW),
            refused_at: None,
            kv: KvReservations::default(),
        }
    }

    /// Stores a newer heartbeat of the same incarnation. The end of the warm-up never moves
    /// earlier.
    pub fn update_registration(&mut self, registration: Registration) {
        self.cold_until = self.cold_until.max(cold_until(&registration));
        self.registration = registration;
    }

    /// Address at which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.registration.heartbeat.address
    }

    /// Whether the endpoint accepts new requests and is not ejected.
    pub fn is_available(&self, now: Instant) -> bool {
        self.unavailability(now).is_none()
    }

    /// Why the endpoint accepts no new requests, if it does not.
    pub fn unavailability(&self, now: Instant) -> Option<Obstacle> {
        let open = self.rank_state.as_ref().is_none_or(|r| r.open || self.report_is_stale(now));
        match self.registration.heartbeat.state {
            HeartbeatState::Draining => return Some(Obstacle::Draining),
            HeartbeatState::Gone => return Some(Obstacle::Gone),
            HeartbeatState::Ready => {}
        }
        if let Some(until) = self.ejected_until.filter(|until| now < *until) {
            return Some(Obstacle::Ejected(until - now));
        }
        if self.has_ended(now) {
            return Some(Obstacle::Ended);
        }
        if self.leaving {
            return Some(Obstacle::Leaving);
        }
        if let Some(until) = self.quiet_until(now) {
            return Some(Obstacle::Quiet(until - now));
        }
        (!open).then_some(Obstacle::GroupClosed)
    }

    /// Records that the endpoint has said that it leaves; returns whether that is new.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Whether the endpoint has said in a response that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Records that the endpoint wants no requests until `until`. A shorter wish does not end a longer
    /// one.
    pub fn record_quiet(&mut self, until: Instant) {
        self.quiet_until = self.quiet_until.max(Some(until));
    }

    /// End of the time for which the endpoint wants no requests, if it has not passed.
    pub fn quiet_until(&self, now: Instant) -> Option<Instant> {
        self.quiet_until.filter(|until| now < *until)
    }

    /// Takes over what the endpoint known before at the same address has said: a wish for quiet, and
    /// the leave of the same process under another id. A process that was born later does not leave.
    pub fn inherit(&mut self, before: &Self) {
        self.quiet_until = self.quiet_until.max(before.quiet_until);
        let born_ms = |m: &Self| m.registration.heartbeat.born_ms;
        self.leaving |= before.leaving && born_ms(self) == born_ms(before);
    }

    /// Whether the endpoint was found to have ended, and has not been heard since.
    pub fn has_ended(&self, now: Instant) -> bool {
        self.ended_at.is_some_and(|at| {
            self.registration.received_at <= at
                && now.saturating_duration_since(at) < ENDED_RECHECK_TIME
        })
    }

    /// Whether the endpoint is ejected after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the rate limit of cold endpoints applies. The window slides, so the limit applies for
    /// one window longer than the warm-up.
    pub fn is_rate_limited(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until + COLD_WINDOW)
    }

    /// Whether a rate limit of `allowance` requests per window, if it applies, allows one more.
    pub fn cold_limit_allows(&mut self, now: Instant, allowance: u32) -> bool {
        !self.is_rate_limited(now) || self.recent_sends.count(now) < allowance as usize
    }

    /// Requests at the endpoint: the reported ones plus those sent by this gateway since. Without a
    /// fresh report, the requests of this gateway alone.
    pub fn load(&self, now: Instant) -> u32 {
        match self.reported_load(now) {
            Some(reported) => (reported + self.unreported(LoadChange::Sent)).max(self.in_flight),
            None => self.in_flight,
        }
    }

    /// Estimated requests at the endpoint, for comparing endpoints: the reported ones, corrected by
    /// what this gateway has sent and completed since. Without a fresh report, each of the
    /// `gateways` gateways is assumed to have as many in flight as this one.
    pub fn estimated_load(&self, now: Instant, gateways: u32) -> f64 {
        match self.reported_load(now) {
            Some(reported) => {
                (f64::from(reported) + self.unreported_net()).max(f64::from(self.in_flight))
            }
            None => f64::from(gateways) * f64::from(self.in_flight),
        }
    }

    /// Requests at the endpoint in its last report, if that is fresh.
    pub fn reported_load(&self, now: Instant) -> Option<u32> {
        let fresh = self.rank_state.as_ref().filter(|_| !self.report_is_stale(now));
        fresh.map(|r| r.requests)
    }

    /// Time since the endpoint's load was observed, if its report is fresh.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let fresh = self.rank_state.as_ref().filter(|_| !self.report_is_stale(now));
        fresh.map(|r| now.saturating_duration_since(r.observed_at))
    }

    /// Whether the endpoint's agent has reported before and its last report is so old that the endpoint
    /// may be cut off; `None` if it has never reported.
    pub fn report_lags(&self, now: Instant) -> Option<bool> {
        let age = now.saturating_duration_since(self.rank_state.as_ref()?.observed_at);
        Some(age > REPORT_LAGS_AFTER)
    }

    /// Requests of this gateway sent less those ended since the state in the last report was
    /// observed.
    pub fn unreported_net(&self) -> f64 {
        f64::from(self.unreported(LoadChange::Sent)) - f64::from(self.unreported(LoadChange::Ended))
    }

    fn unreported(&self, kind: LoadChange) -> u32 {
        self.unreported.iter().filter(|(_, change)| *change == kind).count() as u32
    }

    fn record_load_change(&mut self, now: Instant, change: LoadChange) {
        let expired = |at: &Instant| now.saturating_duration_since(*at) > REPORT_STALE_AFTER;
        while self.unreported.front().is_some_and(|(at, _)| expired(at)) {
            self.unreported.pop_front();
        }
        self.unreported.push_back((now, change));
    }

    fn report_is_stale(&self, now: Instant) -> bool {
        self.rank_state
            .as_ref()
            .is_none_or(|r| now.saturating_duration_since(r.observed_at) > REPORT_STALE_AFTER)
    }

    /// Stores a report of the endpoint's agent, unless a newer one is already stored.
    pub fn record_rank_state(&mut self, state: RankState) {
        if self.rank_state.as_ref().is_none_or(|r| r.observed_at <= state.observed_at) {
            self.rank_state = Some(state);
            // Instances of an older release name no groups.
            self.group = if state.group == 0 { self.group } else { state.group };
            self.unreported.retain(|(at, _)| *at > state.observed_at);
        }
    }

    /// Key of the group that the endpoint is a rank of; 0 if it is not known.
    pub fn group(&self) -> u64 {
        self.group
    }

    /// Records a request sent to the endpoint.
    pub fn record_sent(&mut self, now: Instant, prompt_tokens: u32) {
        self.in_flight += 1;
        self.record_load_change(now, LoadChange::Sent);
        self.pending_prompt_tokens += u64::from(prompt_tokens);
        self.recent_sends.add(now);
    }

    /// Whether the endpoint has refused a request since its load was last observed: what the report says
    /// of it is out of date. Without reports, refusals say nothing about the next request.
    pub fn has_refused(&self, now: Instant) -> bool {
        let (Some(refused_at), Some(state)) = (self.refused_at, &self.rank_state) else {
            return false;
        };
        state.observed_at <= refused_at
            && now.saturating_duration_since(refused_at) < REFUSAL_RECHECK_TIME
    }

    /// Records the KV memory that a request sent to the endpoint is expected to hold.
    pub fn reserve_kv(&mut self, tokens: u32) {
        self.kv.reserve(tokens);
    }

    /// Releases the KV memory of a request that has ended; of the oldest one if its tokens are not known.
    pub fn release_kv(&mut self, tokens: Option<u32>) {
        self.kv.release(tokens);
    }

    /// KV memory that this gateway's requests at the endpoint are expected to hold, in tokens.
    pub fn kv_tokens(&self) -> u64 {
        self.kv.total()
    }

    /// Records that a response started, `latency` after the request was sent.
    pub fn record_first_byte(&mut self, now: Instant, prompt_tokens: u32, latency: Duration) {
        self.pending_prompt_tokens =
            self.pending_prompt_tokens.saturating_sub(u64::from(prompt_tokens));
        if !is_fresh(now, &self.latency_ms) {
            self.latency_ms = Ewma::default();
        }
        self.latency_ms.add(now, latency.as_secs_f64() * 1e3, STATS_TIME_CONSTANT);
        self.consecutive_failures = 0;
    }

    /// Records the result of a request and ejects the endpoint if it is failing.
    pub fn record_outcome(&mut self, now: Instant, outcome: RequestOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_load_change(now, LoadChange::Ended);
        match outcome {
            RequestOutcome::Unused => {}
            RequestOutcome::Whole => {
                self.failure_rate.add(now, 0.0, STATS_TIME_CONSTANT);
                self.consecutive_failures = 0;
                self.ejections = 0;
            }
            // A refusal means that the endpoint is at capacity, not that it is failing.
            RequestOutcome::Refused => self.refused_at = Some(now),
            RequestOutcome::Failed => self.failure_rate.add(now, 1.0, STATS_TIME_CONSTANT),
            RequestOutcome::Unreachable => self.eject(now),
            RequestOutcome::Ended => self.ended_at = Some(now),
            RequestOutcome::Broken | RequestOutcome::Silent => {
                self.failure_rate.add(now, 1.0, STATS_TIME_CONSTANT);
                self.consecutive_failures += 1;
                if self.consecutive_failures >= CONSECUTIVE_FAILURES_MAX
                    || outcome == RequestOutcome::Silent
                {
                    self.eject(now);
                }
            }
        }
    }

    fn eject(&mut self, now: Instant) {
        let ejection = EJECTION_MIN * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now + ejection.min(EJECTION_MAX));
        self.ejections += 1;
        self.consecutive_failures = 0;
    }

    /// Mean time to the first byte in milliseconds. Old measurements are ignored, so that an
    /// endpoint that was slow is tried again.
    pub fn latency_ms(&self, now: Instant) -> Option<f64> {
        self.latency_ms.mean().filter(|_| is_fresh(now, &self.latency_ms))
    }

    /// Share of recent requests that failed; 0 without recent ones.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate.mean().filter(|_| is_fresh(now, &self.failure_rate)).unwrap_or(0.0)
    }
}
