//! [`Exchange`]: one caller's request on its way, and the [`AccessLogEntry`] that is logged at its end.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::Ran;
use crocustally_core::dispatch::Ask;
use crocustally_core::dispatch::Ended;
use crocustally_core::dispatch::MemberKey;
use crocustally_core::dispatch::Refusal;
use crocustally_core::traffic::Route;
use crocustally_net::Busy;
use crocustally_net::ResponseBody;
use hyper::Response;
use hyper::http::request;
use smallvec::SmallVec;

use crate::Gateway;
use crate::RequestHead;
use crate::permits::Permit;
use crate::permits::PermitPool;
use crate::suspects;

/// Sends beyond a route's attempts that endpoints may refuse before a request is refused as a whole.
const REFUSED_SENDS_MAX: usize = 2;
/// Time that a first event takes from its sending when passes are as long as they may be: the rest
/// of the running pass and one that reads the prompt.
const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(210);
/// Share of the objective that a plain request may wait for a place.
const UNARY_WAIT_SHARE: f64 = 0.5;
/// Longest wait for a place of a request that has missed its objective already.
const LATE_WAIT_MAX: Duration = Duration::from_millis(120);
/// Share of its time that a caller may wait for an endpoint to take work again.
const OUTAGE_WAIT_SHARE: f64 = 0.4;
/// A caller whose patience is this much below the route's timeout has been here before.
const CLIENT_RETRY_MARGIN: Duration = Duration::from_millis(250);

/// One caller's request, decoded, with where it goes and until when.
pub(crate) struct Exchange {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) head: request::Parts,
    pub(crate) meta: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) permits: Arc<PermitPool>,
    pub(crate) workspace: Option<String>,
    pub(crate) priority: u8,
    /// What the caller sends again when it repeats the request.
    pub(crate) digest: Digest,
    pub(crate) arrived: Instant,
    /// When the caller must have its answer.
    pub(crate) deadline: Instant,
    pub(crate) tried: SmallVec<[MemberKey; 2]>,
    /// Sends after which an endpoint may have run the request.
    pub(crate) executions: u32,
    pub(crate) access_log: AccessLogEntry,
    pub(crate) _busy: Busy,
}

impl Exchange {
    pub(crate) fn now(&self) -> Instant {
        self.gateway.clock.now()
    }

    /// Time until the caller must have its answer.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(self.now())
    }

    /// Whether an endpoint may be asked once more, after one that may have run the request.
    pub(crate) fn can_rerun(&self) -> bool {
        self.route.kind.repeatable()
            && self.executions < self.route.attempts
            && !self.remaining().is_zero()
    }

    /// Whether an endpoint may be asked at all: those that refused count only so many times.
    pub(crate) fn can_send(&self) -> bool {
        self.tried.len() < self.route.attempts as usize + REFUSED_SENDS_MAX
    }

    /// Whether the caller has been refused or failed before and come back.
    fn is_client_retry(&self) -> bool {
        let time_limit = self.meta.timeout.unwrap_or(self.route.timeout);
        time_limit + CLIENT_RETRY_MARGIN < self.route.timeout
    }

    /// When the request is refused rather than started.
    fn start_deadline(&self) -> Instant {
        let objective = self.route.objective;
        let late_start = self.now() + LATE_WAIT_MAX;
        if !self.route.kind.streams() {
            return (self.arrived + objective.mul_f64(UNARY_WAIT_SHARE)).max(late_start);
        }
        if self.is_client_retry() {
            return late_start;
        }
        (self.arrived + objective.saturating_sub(FIRST_EVENT_LATENCY)).max(late_start)
    }

    /// When the request is refused while no endpoint takes work: one that came back from a refusal
    /// has no other chance, and one that has just found its gateway starting likely has none either.
    fn outage_deadline(&self) -> Instant {
        if self.is_client_retry() || self.gateway.is_starting() {
            return self.arrived + self.total_time().mul_f64(OUTAGE_WAIT_SHARE);
        }
        self.arrived
    }

    /// How long the caller waits.
    fn total_time(&self) -> Duration {
        self.deadline.saturating_duration_since(self.arrived)
    }

    /// Finds a place; `again` says whether the request may have been sent before.
    pub(crate) async fn acquire_permit(&mut self, sent_before: bool) -> Result<Permit, Refusal> {
        let ask = Ask {
            rank: 2 * self.priority + u8::from(self.is_client_retry()),
            prompt: self.meta.prompt_tokens,
            start_by: self.start_deadline().min(self.deadline),
            outage_by: self.outage_deadline(),
            tried: self.tried.clone(),
            repeat: sent_before,
        };
        let wait_started = self.now();
        let permit = self.permits.acquire(&ask).await;
        self.access_log.queue_time += self.now().saturating_duration_since(wait_started);
        permit
    }

    /// Gives a place back and notes what came of it.
    pub(crate) fn record_attempt(&mut self, permit: Permit, ended: Ended) {
        let took = self.now().saturating_duration_since(permit.sent_at);
        self.access_log.tries.push((permit.endpoint.clone(), took, ended));
        if ended == Ended::Broken {
            suspects::check_crash(&self.gateway, self.digest, &permit);
        }
        self.tried.push(permit.key);
        permit.finish(ended);
    }

    /// The gateway's own refusal or failure.
    pub(crate) fn reject(
        &mut self,
        code: Code,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody> {
        self.access_log.code = Some(code);
        self.access_log.retry_after = retry_after;
        let response = self.gateway.dialect.error_response(Some(&self.meta.id), code, retry_after);
        self.access_log.status = response.status().as_u16();
        response
    }

    /// Refuses what has not run, or fails what may have.
    pub(crate) fn reject_or_fail(&mut self, refusal: Refusal) -> Response<ResponseBody> {
        if self.executions == 0 {
            return self.reject(refusal.code, Some(refusal.retry_after));
        }
        self.fail()
    }

    /// The failure of a request that may have run.
    pub(crate) fn fail(&mut self) -> Response<ResponseBody> {
        let code = if self.remaining().is_zero() { Code::DeadlineOver } else { Code::AnswerBroken };
        self.reject(code, None)
    }
}

/// What became of a request: one log line when it is dropped, whatever way it ended.
pub(crate) struct AccessLogEntry {
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) policy_version: u64,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) arrived: Instant,
    pub(crate) queue_time: Duration,
    pub(crate) first_byte: Option<Duration>,
    /// Longest pause between two events.
    pub(crate) max_gap: Duration,
    pub(crate) events: u32,
    pub(crate) tries: SmallVec<[(String, Duration, Ended); 2]>,
    pub(crate) status: u16,
    pub(crate) code: Option<Code>,
    pub(crate) retry_after: Option<Duration>,
    /// Whether the answer was given to the end.
    pub(crate) complete: bool,
}

impl Drop for AccessLogEntry {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let took = now.saturating_duration_since(self.arrived);
        let ms = |d: Duration| d.as_millis() as u64;
        let outcome = match (self.code, self.complete) {
            (None, true) => "answered",
            (Some(code), _) if code.ran() == Ran::No => "refused",
            (Some(_), _) if self.events == 0 => "failed",
            _ => "broken off",
        };
        metrics::counter!("crocustally_requests", "route" => self.route.clone(), "outcome" => outcome)
            .increment(1);
        metrics::histogram!("crocustally_request_seconds", "outcome" => outcome)
            .record(took.as_secs_f64());
        if let Some(first_byte) = self.first_byte {
            metrics::histogram!("crocustally_first_byte_seconds").record(first_byte.as_secs_f64());
        }
        let (in_flight, limit, waiting, pass) = self
            .gateway
            .pool(&self.service)
            .with_pool(|pool| (pool.in_flight(), pool.limit(now), pool.queued(), pool.pass(now)));
        let tries: Vec<String> = self
            .tries
            .iter()
            .map(|(endpoint, took, ended)| format!("{endpoint} {ended:?} {}ms", ms(*took)))
            .collect();
        log::info!(
            id = self.id.as_str(),
            route = self.route.as_str(),
            service = self.service.as_str(),
            policy = self.policy_version,
            status = self.status,
            code = self.code.map(Code::number),
            queued_ms = ms(self.queue_time),
            first_ms = self.first_byte.map(ms),
            gap_ms = ms(self.max_gap),
            took_ms = ms(took),
            events = self.events,
            tries = tries.join(", ").as_str(),
            retry_after_ms = self.retry_after.map(ms),
            in_flight = in_flight,
            limit = limit,
            waiting = waiting,
            pass_ms = pass.map(ms);
            "request {outcome}"
        );
    }
}
