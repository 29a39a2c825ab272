//! [`Member`]: one endpoint, as one gateway sees it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Ewma;
use super::SlidingWindow;
use crate::fleet::HeartbeatState;
use crate::fleet::Registration;

/// A key for one member of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(pub u32);

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered whole.
    Whole,
    /// The endpoint answered with a failure of its own.
    Failed,
    /// The endpoint said that it did not run the request.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// The answer broke off, or was no answer to the request.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The caller left, or the place was not used.
    Unused,
}

/// What the agent beside a rank has reported of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankState {
    /// Whether the group takes requests.
    pub open: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the rank.
    pub queued: u32,
    /// When this held.
    pub at: Instant,
}

/// Span over which the bound on requests to a cold endpoint counts.
const COLD_WINDOW: Duration = Duration::from_millis(1050);
/// Memory of latencies and failures.
const STATS_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Failures in a row, without any answer between them, that take an endpoint out for a while.
const CONSECUTIVE_FAILURES_MAX: u32 = 2;
/// How long an endpoint is left alone at first; it doubles with each time in a row.
const EJECTION_MIN: Duration = Duration::from_millis(600);
/// How long it is left alone at most.
const EJECTION_MAX: Duration = Duration::from_secs(4);
/// A report older than this says nothing of the load any more.
const REPORT_STALE_AFTER: Duration = Duration::from_millis(1500);

fn is_fresh(now: Instant, mean: &Ewma) -> bool {
    mean.last_sample_at().is_some_and(|at| now.saturating_duration_since(at) < STATS_TIME_CONSTANT)
}

/// When an endpoint that says it is cold will be warm.
fn cold_until(registration: &Registration) -> Option<Instant> {
    (!registration.heartbeat.cold_remaining.is_zero())
        .then(|| registration.received_at + registration.heartbeat.cold_remaining)
}

/// One endpoint, as one gateway sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its newest heartbeat.
    pub registration: Registration,
    /// Own requests there.
    pub in_flight: u32,
    /// Prompt tokens of own requests there that have not begun to answer.
    pub pending_prompt_tokens: u64,
    /// Own requests sent since the last report.
    pub sent_since_report: u32,
    /// Own requests that have ended since the last report.
    pub ended_since_report: u32,
    /// What its agent has reported.
    pub rank_state: Option<RankState>,
    /// Until when it is left alone.
    pub ejected_until: Option<Instant>,
    latency_ms: Ewma,
    failure_rate: Ewma,
    consecutive_failures: u32,
    ejections: u32,
    cold_until: Option<Instant>,
    sent_while_cold: SlidingWindow,
}

impl Member {
    /// An endpoint that has just made itself registration.
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
            sent_while_cold: SlidingWindow::new(COLD_WINDOW),
        }
    }

    /// Takes its next heartbeat.
    pub fn update_registration(&mut self, registration: Registration) {
        self.cold_until = self.cold_until.max(cold_until(&registration));
        self.registration = registration;
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.registration.heartbeat.address
    }

    /// Whether it takes new work as far as it says, and is not left alone.
    pub fn is_available(&self, now: Instant) -> bool {
        let open = self.rank_state.as_ref().is_none_or(|r| r.open || self.report_is_stale(now));
        self.registration.heartbeat.state == HeartbeatState::Ready && !self.is_ejected(now) && open
    }

    /// Whether it is left alone after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether one more request within the cold bound's span is allowed.
    pub fn cold_limit_allows(&mut self, now: Instant, allowance: usize) -> bool {
        // The bound's span slides, so it holds for one span more.
        let cold = self.cold_until.is_some_and(|until| now < until + COLD_WINDOW);
        !cold || self.sent_while_cold.count(now) < allowance
    }

    /// Requests there as far as is registration: own ones, or the reported ones with what followed.
    pub fn load(&self, now: Instant) -> u32 {
        match &self.rank_state {
            Some(r) if !self.report_is_stale(now) => {
                (r.running + r.queued + self.sent_since_report).max(self.in_flight)
            }
            _ => self.in_flight,
        }
    }

    /// Requests there as far as this gateway can tell, to compare endpoints by; without a report the
    /// others of `gateways` gateways are taken to have sent as many.
    pub fn estimated_load(&self, now: Instant, gateways: u32) -> f64 {
        match &self.rank_state {
            Some(r) if !self.report_is_stale(now) => {
                let reported = f64::from(r.running + r.queued + self.sent_since_report);
                (reported - f64::from(self.ended_since_report)).max(f64::from(self.in_flight))
            }
            _ => f64::from(gateways) * f64::from(self.in_flight),
        }
    }

    /// Requests there from `gateways` gateways, of which the others are taken to have sent and ended
    /// as many since the last report as this one.
    pub fn estimated_fleet_load(&self, now: Instant, gateways: u32) -> f64 {
        let gateways = f64::from(gateways);
        match &self.rank_state {
            Some(r) if !self.report_is_stale(now) => {
                let since = f64::from(self.sent_since_report) - f64::from(self.ended_since_report);
                (f64::from(r.running + r.queued) + gateways * since).max(f64::from(self.in_flight))
            }
            _ => gateways * f64::from(self.in_flight),
        }
    }

    fn report_is_stale(&self, now: Instant) -> bool {
        self.rank_state
            .as_ref()
            .is_none_or(|r| now.saturating_duration_since(r.at) > REPORT_STALE_AFTER)
    }

    /// Takes a report of its agent.
    pub fn record_rank_state(&mut self, state: RankState) {
        if self.rank_state.as_ref().is_none_or(|r| r.at <= state.at) {
            self.rank_state = Some(state);
            self.sent_since_report = 0;
            self.ended_since_report = 0;
        }
    }

    /// Notes a request that is sent there.
    pub fn record_sent(&mut self, now: Instant, prompt_tokens: u32) {
        self.in_flight += 1;
        self.sent_since_report += 1;
        self.pending_prompt_tokens += u64::from(prompt_tokens);
        self.sent_while_cold.add(now);
    }

    /// Notes that an answer has begun after `latency`.
    pub fn record_first_byte(&mut self, now: Instant, prompt_tokens: u32, latency: Duration) {
        self.pending_prompt_tokens =
            self.pending_prompt_tokens.saturating_sub(u64::from(prompt_tokens));
        if !is_fresh(now, &self.latency_ms) {
            self.latency_ms = Ewma::default();
        }
        self.latency_ms.add(now, latency.as_secs_f64() * 1e3, STATS_TIME_CONSTANT);
        self.consecutive_failures = 0;
    }

    /// Notes how a request ended.
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
            // A refusal says that the endpoint is full, not that it fails.
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

    /// Mean time to the first byte in milliseconds, if known of late: an endpoint that was slow
    /// once must be tried again.
    pub fn latency_ms(&self, now: Instant) -> Option<f64> {
        self.latency_ms.mean().filter(|_| is_fresh(now, &self.latency_ms))
    }

    /// Share of requests that failed lately.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate.mean().filter(|_| is_fresh(now, &self.failure_rate)).unwrap_or(0.0)
    }
}
