//! [`Member`]: load, health and warm-up state of one endpoint in a gateway's pool.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Ewma;
use super::SlidingWindow;
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
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the rank.
    pub queued: u32,
    /// Time at which this state was observed.
    pub observed_at: Instant,
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
/// Agent reports older than this are ignored.
const REPORT_STALE_AFTER: Duration = Duration::from_millis(1500);

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
    /// Requests sent by this gateway since the last agent report.
    pub sent_since_report: u32,
    /// Requests of this gateway that ended since the last agent report.
    pub ended_since_report: u32,
    /// Last report of the endpoint's agent.
    pub rank_state: Option<RankState>,
    /// End of the current or last ejection.
    pub ejected_until: Option<Instant>,
    latency_ms: Ewma,
    failure_rate: Ewma,
    consecutive_failures: u32,
    ejections: u32,
    cold_until: Option<Instant>,
    recent_sends: SlidingWindow,
}

impl Member {
    /// Creates a member from an endpoint's first heartbeat.
    pub fn new(registration: Registration) -> Self {
        Self {
            cold_until: cold_until(&registration),
            registration,
            in_flight: 0,
            pending_prompt_tokens: 0,
            sent_since_report: 0,
            ended_since_report: 0,
            rank_state: None,
            ejected_until: None,
            latency_ms: Ewma::default(),
            failure_rate: Ewma::default(),
            consecutive_failures: 0,
            ejections: 0,
            recent_sends: SlidingWindow::new(COLD_WINDOW),
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
        let open = self.rank_state.as_ref().is_none_or(|r| r.open || self.report_is_stale(now));
        self.registration.heartbeat.state == HeartbeatState::Ready && !self.is_ejected(now) && open
    }

    /// Whether the endpoint is ejected after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the cold rate limit of `allowance` requests per window allows one more request.
    pub fn cold_limit_allows(&mut self, now: Instant, allowance: usize) -> bool {
        // The window slides, so the limit applies for one window longer than the warm-up.
        let limit_applies = self.cold_until.is_some_and(|until| now < until + COLD_WINDOW);
        !limit_applies || self.recent_sends.count(now) < allowance
    }

    /// Requests at the endpoint: the reported ones plus those sent by this gateway since. Without a
    /// fresh report, the requests of this gateway alone.
    pub fn load(&self, now: Instant) -> u32 {
        match &self.rank_state {
            Some(r) if !self.report_is_stale(now) => {
                (r.running + r.queued + self.sent_since_report).max(self.in_flight)
            }
            _ => self.in_flight,
        }
    }

    /// Estimated requests at the endpoint, for comparing endpoints: the reported ones, corrected by
    /// what this gateway has sent and completed since. Without a fresh report, each of the
    /// `gateways` gateways is assumed to have as many in flight as this one.
    pub fn estimated_load(&self, now: Instant, gateways: u32) -> f64 {
        match &self.rank_state {
            Some(r) if !self.report_is_stale(now) => {
                let reported = f64::from(r.running + r.queued + self.sent_since_report);
                (reported - f64::from(self.ended_since_report)).max(f64::from(self.in_flight))
            }
            _ => f64::from(gateways) * f64::from(self.in_flight),
        }
    }

    /// Estimated requests of all `gateways` gateways at the endpoint. Each of the others is assumed
    /// to have sent and completed as many since the last report as this one.
    pub fn estimated_fleet_load(&self, now: Instant, gateways: u32) -> f64 {
        let gateways = f64::from(gateways);
        match &self.rank_state {
            Some(r) if !self.report_is_stale(now) => {
                let net_sent =
                    f64::from(self.sent_since_report) - f64::from(self.ended_since_report);
                (f64::from(r.running + r.queued) + gateways * net_sent)
                    .max(f64::from(self.in_flight))
            }
            _ => gateways * f64::from(self.in_flight),
        }
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
            self.sent_since_report = 0;
            self.ended_since_report = 0;
        }
    }

    /// Records a request sent to the endpoint.
    pub fn record_sent(&mut self, now: Instant, prompt_tokens: u32) {
        self.in_flight += 1;
        self.sent_since_report += 1;
        self.pending_prompt_tokens += u64::from(prompt_tokens);
        self.recent_sends.add(now);
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
        self.ended_since_report += 1;
        match outcome {
            RequestOutcome::Unused => {}
            RequestOutcome::Whole => {
                self.failure_rate.add(now, 0.0, STATS_TIME_CONSTANT);
                self.consecutive_failures = 0;
                self.ejections = 0;
            }
            // A refusal means that the endpoint is at capacity, not that it is failing.
            RequestOutcome::Refused => {}
            RequestOutcome::Failed => self.failure_rate.add(now, 1.0, STATS_TIME_CONSTANT),
            RequestOutcome::Unreachable => self.eject(now),
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
