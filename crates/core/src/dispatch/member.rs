//! [`Member`]: one endpoint, as one gateway sees it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Ewma;
use super::Window;
use crate::fleet::BeatState;
use crate::fleet::Known;

/// A key for one member of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(pub u32);

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
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
const COLD_SPAN: Duration = Duration::from_millis(1050);
/// Memory of latencies and failures.
const MEMORY: Duration = Duration::from_secs(5);
/// Failures in a row, without any answer between them, that take an endpoint out for a while.
const FAILURES_MAX: u32 = 2;
/// How long an endpoint is left alone at first; it doubles with each time in a row.
const EJECT_FIRST: Duration = Duration::from_millis(600);
/// How long it is left alone at most.
const EJECT_MAX: Duration = Duration::from_secs(4);
/// A report older than this says nothing of the load any more.
const REPORT_STALE: Duration = Duration::from_millis(1500);

fn is_recent(now: Instant, mean: &Ewma) -> bool {
    mean.last().is_some_and(|at| now.saturating_duration_since(at) < MEMORY)
}

/// When an endpoint that says it is cold will be warm.
fn cold_until(known: &Known) -> Option<Instant> {
    (!known.beat.cold.is_zero()).then(|| known.heard + known.beat.cold)
}

/// One endpoint, as one gateway sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its newest heartbeat.
    pub known: Known,
    /// Own requests there.
    pub in_flight: u32,
    /// Prompt tokens of own requests there that have not begun to answer.
    pub prompt_waiting: u64,
    /// Own requests sent since the last report.
    pub sent_since: u32,
    /// Own requests that have ended since the last report.
    pub ended_since: u32,
    /// What its agent has reported.
    pub rank: Option<RankState>,
    /// Until when it is left alone.
    pub ejected_until: Option<Instant>,
    latency_ms: Ewma,
    failure: Ewma,
    failures: u32,
    ejections: u32,
    cold_until: Option<Instant>,
    cold_sent: Window,
}

impl Member {
    /// An endpoint that has just made itself known.
    pub fn new(known: Known) -> Self {
        Self {
            cold_until: cold_until(&known),
            known,
            in_flight: 0,
            prompt_waiting: 0,
            sent_since: 0,
            ended_since: 0,
            rank: None,
            ejected_until: None,
            latency_ms: Ewma::default(),
            failure: Ewma::default(),
            failures: 0,
            ejections: 0,
            cold_sent: Window::new(COLD_SPAN),
        }
    }

    /// Takes its next heartbeat.
    pub fn learn(&mut self, known: Known) {
        self.cold_until = self.cold_until.max(cold_until(&known));
        self.known = known;
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.known.beat.address
    }

    /// Whether it takes new work as far as it says, and is not left alone.
    pub fn usable(&self, now: Instant) -> bool {
        let open = self.rank.as_ref().is_none_or(|r| r.open || self.report_is_stale(now));
        self.known.beat.state == BeatState::Ready && !self.ejected(now) && open
    }

    /// Whether it is left alone after failures.
    pub fn ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether one more request within the cold bound's span is allowed.
    pub fn bears_cold(&mut self, now: Instant, allowance: usize) -> bool {
        // The bound's span slides, so it holds for one span more.
        let cold = self.cold_until.is_some_and(|until| now < until + COLD_SPAN);
        !cold || self.cold_sent.count(now) < allowance
    }

    /// Requests there as far as is known: own ones, or the reported ones with what followed.
    pub fn load(&self, now: Instant) -> u32 {
        match &self.rank {
            Some(r) if !self.report_is_stale(now) => {
                (r.running + r.queued + self.sent_since).max(self.in_flight)
            }
            _ => self.in_flight,
        }
    }

    /// Requests there as far as this gateway can tell, to compare endpoints by; without a report the
    /// others of `gateways` gateways are taken to have sent as many.
    pub fn expected_load(&self, now: Instant, gateways: u32) -> f64 {
        match &self.rank {
            Some(r) if !self.report_is_stale(now) => {
                let reported = f64::from(r.running + r.queued + self.sent_since);
                (reported - f64::from(self.ended_since)).max(f64::from(self.in_flight))
            }
            _ => f64::from(gateways) * f64::from(self.in_flight),
        }
    }

    /// Requests there from `gateways` gateways, of which the others are taken to have sent and ended
    /// as many since the last report as this one.
    pub fn shared_load(&self, now: Instant, gateways: u32) -> f64 {
        let gateways = f64::from(gateways);
        match &self.rank {
            Some(r) if !self.report_is_stale(now) => {
                let since = f64::from(self.sent_since) - f64::from(self.ended_since);
                (f64::from(r.running + r.queued) + gateways * since).max(f64::from(self.in_flight))
            }
            _ => gateways * f64::from(self.in_flight),
        }
    }

    fn report_is_stale(&self, now: Instant) -> bool {
        self.rank.as_ref().is_none_or(|r| now.saturating_duration_since(r.at) > REPORT_STALE)
    }

    /// Takes a report of its agent.
    pub fn report(&mut self, rank: RankState) {
        if self.rank.as_ref().is_none_or(|r| r.at <= rank.at) {
            self.rank = Some(rank);
            self.sent_since = 0;
            self.ended_since = 0;
        }
    }

    /// Notes a request that is sent there.
    pub fn sent(&mut self, now: Instant, prompt: u32) {
        self.in_flight += 1;
        self.sent_since += 1;
        self.prompt_waiting += u64::from(prompt);
        self.cold_sent.add(now);
    }

    /// Notes that an answer has begun after `took`.
    pub fn began(&mut self, now: Instant, prompt: u32, took: Duration) {
        self.prompt_waiting = self.prompt_waiting.saturating_sub(u64::from(prompt));
        if !is_recent(now, &self.latency_ms) {
            self.latency_ms = Ewma::default();
        }
        self.latency_ms.add(now, took.as_secs_f64() * 1e3, MEMORY);
        self.failures = 0;
    }

    /// Notes how a request ended.
    pub fn finished(&mut self, now: Instant, ended: Ended) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.ended_since += 1;
        match ended {
            Ended::Unused => {}
            Ended::Whole => {
                self.failure.add(now, 0.0, MEMORY);
                self.failures = 0;
                self.ejections = 0;
            }
            // A refusal says that the endpoint is full, not that it fails.
            Ended::Refused => {}
            Ended::Failed => self.failure.add(now, 1.0, MEMORY),
            Ended::Unreachable => self.eject(now),
            Ended::Broken | Ended::Silent => {
                self.failure.add(now, 1.0, MEMORY);
                self.failures += 1;
                if self.failures >= FAILURES_MAX || ended == Ended::Silent {
                    self.eject(now);
                }
            }
        }
    }

    fn eject(&mut self, now: Instant) {
        let time = EJECT_FIRST * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now + time.min(EJECT_MAX));
        self.ejections += 1;
        self.failures = 0;
    }

    /// Mean time to the first byte in milliseconds, if known of late: an endpoint that was slow
    /// once must be tried again.
    pub fn latency_ms(&self, now: Instant) -> Option<f64> {
        self.latency_ms.get().filter(|_| is_recent(now, &self.latency_ms))
    }

    /// Share of requests that failed lately.
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failure.get().filter(|_| is_recent(now, &self.failure)).unwrap_or(0.0)
    }
}
