//! [`Exchange`]: a caller's request in progress, and its [`AccessLogEntry`].

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::Ran;
use crocustally_core::control::PartSet;
use crocustally_core::dispatch::DispatchRequest;
use crocustally_core::dispatch::EarlierSends;
use crocustally_core::dispatch::MemberKey;
use crocustally_core::dispatch::Refusal;
use crocustally_core::dispatch::RequestOutcome;
use crocustally_core::traffic::Route;
use crocustally_net::BodyFraming;
use crocustally_net::BufferBudget;
use crocustally_net::RequestGuard;
use crocustally_net::ResponseBody;
use hyper::Response;
use hyper::http::request;
use smallvec::SmallVec;

use crate::Gateway;
use crate::RequestHead;
use crate::endpoint_ends;
use crate::endpoint_ends::InFlight;
use crate::slots::Slot;
use crate::slots::SlotPool;

/// Refused sends allowed beyond a route's attempts before the request is rejected.
const REFUSED_SENDS_MAX: usize = 2;
/// Sends of a request that may fail because no connection could be opened. Such a send takes a
/// millisecond, or the time-out for connections in front of an endpoint that is cut off.
const UNOPENED_SENDS_MAX: usize = 8;
/// Time from sending a request to its first event if forward passes take as long as allowed: the
/// remainder of the current pass and one pass for the prefill.
const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(210);
/// Time for the first event of a late request, twice [`FIRST_EVENT_LATENCY`]: such requests start while
/// the endpoints are busiest.
const LATE_FIRST_EVENT_LATENCY: Duration = Duration::from_millis(420);
/// Multiple of the mean time that a request of a service takes, within which most of them end.
const USUAL_HOLDS: u32 = 2;
/// Share of a request's time left after which a refused caller may be asked to return. Callers honour up to a
/// third of what they have left when the refusal reaches them.
const RETURN_TIME_SHARE: f64 = 0.3;
/// Share of the latency objective that a unary request may spend waiting for a slot.
const UNARY_WAIT_SHARE: f64 = 0.5;
/// Longest wait for a slot of a request that has missed its latency objective or is a caller's
/// retry.
const LATE_WAIT_MAX: Duration = Duration::from_millis(120);
/// Share of a request's total time that it may spend in the queue while no endpoint accepts work.
const OUTAGE_WAIT_SHARE: f64 = 0.4;
/// A request whose timeout is shorter than the route's by more than this is a retry by the caller,
/// which has already used up part of its time.
const CALLER_RETRY_MARGIN: Duration = Duration::from_millis(250);

/// Latest time to start a request that arrived at `arrived`, or with admission by urgency, to start it on
/// time. `elapsed_before` is the time since the caller's first attempt, zero if this is the first.
pub(crate) fn queue_deadline(
    route: &Route,
    admits_by_urgency: bool,
    elapsed_before: Duration,
    arrived: Instant,
    now: Instant,
) -> Instant {
    let late_start = now + LATE_WAIT_MAX;
    if !route.kind.is_stream() {
        return (arrived + route.objective.mul_f64(UNARY_WAIT_SHARE)).max(late_start);
    }
    let on_time = route.objective.saturating_sub(FIRST_EVENT_LATENCY);
    if admits_by_urgency {
        return arrived + on_time.saturating_sub(elapsed_before);
    }
    if !elapsed_before.is_zero() {
        return late_start;
    }
    (arrived + on_time).max(late_start)
}

/// Latest time to start a late request: the caller must get its first event before it gives up, and the
/// last one before the deadline.
pub(crate) fn late_deadline(
    route: &Route,
    arrived: Instant,
    deadline: Instant,
    mean_hold: Duration,
) -> Instant {
    let patience = route.first_event_patience.unwrap_or(route.timeout);
    let first_event_due = arrived + patience.saturating_sub(LATE_FIRST_EVENT_LATENCY);
    let finish_due = deadline.checked_sub(mean_hold * USUAL_HOLDS).unwrap_or(arrived);
    first_event_due.min(finish_due)
}

/// Parts of a prompt in an access log line.
const PARTS_LOGGED_MAX: usize = 16;

/// Longest `Retry-After` that a caller honours.
pub(crate) fn return_time_max(remaining: Duration) -> Duration {
    remaining.mul_f64(RETURN_TIME_SHARE)
}

/// Latest time to wait while no endpoint accepts work.
pub(crate) fn outage_deadline(may_wait: bool, arrived: Instant, total_time: Duration) -> Instant {
    if may_wait { arrived + total_time.mul_f64(OUTAGE_WAIT_SHARE) } else { arrived }
}

/// What is known of a request whose processing may be given up at any moment.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Its id, once its head is decoded.
    pub(crate) id: OnceLock<String>,
    /// Whether an endpoint may have executed it.
    pub(crate) may_have_run: AtomicBool,
    /// Whether an answer to it was broken off because no memory was left to buffer it.
    pub(crate) answer_unbuffered: AtomicBool,
}

/// A decoded request with its route, slot pool and deadline.
pub(crate) struct Exchange {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) head: request::Parts,
    pub(crate) meta: RequestHead,
    pub(crate) body: Bytes,
    /// Memory for what is held for this caller.
    pub(crate) buffers: BufferBudget,
    pub(crate) route: Route,
    pub(crate) slot_pool: Arc<SlotPool>,
    pub(crate) workspace: Option<String>,
    /// Number that stands for the workspace in the queue; 0 without one.
    pub(crate) workspace_key: u64,
    /// Rank of the urgency, if the service admits its requests by urgency.
    pub(crate) urgency_rank: Option<u8>,
    pub(crate) priority: u8,
    /// Digest of the parts that are equal when the caller repeats the request: path, key and body.
    pub(crate) digest: Digest,
    pub(crate) arrived: Instant,
    /// When the response is due at the caller.
    pub(crate) deadline: Instant,
    pub(crate) tried: SmallVec<[MemberKey; 2]>,
    /// Whether the request is a trial of blocked parts.
    pub(crate) is_trial: bool,
    /// What became of the sends so far.
    pub(crate) earlier: EarlierSends,
    /// Number of sends that reached no endpoint.
    pub(crate) unopened: usize,
    /// Number of sends that an endpoint may have executed.
    pub(crate) executions: u32,
    pub(crate) progress: Arc<Progress>,
    pub(crate) access_log: AccessLogEntry,
    pub(crate) _request_guard: RequestGuard,
}

impl Exchange {
    pub(crate) fn now(&self) -> Instant {
        self.gateway.clock.now()
    }

    /// Time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(self.now())
    }

    /// Whether the request may be sent again after an endpoint may have executed it.
    pub(crate) fn can_rerun(&self) -> bool {
        self.route.kind.is_retryable()
            && self.executions < self.route.attempts
            && !self.remaining().is_zero()
    }

    /// Whether the request may be sent at all; also bounds the sends that endpoints refuse.
    pub(crate) fn can_send(&self) -> bool {
        self.unopened < UNOPENED_SENDS_MAX
            && self.tried.len() - self.unopened < self.route.attempts as usize + REFUSED_SENDS_MAX
    }

    /// Whether the caller has sent this request before and was refused or got an error.
    fn is_caller_retry(&self) -> bool {
        let time_limit = self.meta.timeout.unwrap_or(self.route.timeout);
        time_limit + CALLER_RETRY_MARGIN < self.route.timeout
    }

    /// Time since the caller's first attempt; zero if this is the first.
    fn elapsed_before(&self) -> Duration {
        if !self.is_caller_retry() {
            return Duration::ZERO;
        }
        self.route.timeout.saturating_sub(self.meta.timeout.unwrap_or(self.route.timeout))
    }

    /// Latest time to start the request, or with admission by urgency, to start it on time. After it, the
    /// request is rejected or waits behind those that can still be on time.
    fn queue_deadline(&self) -> Instant {
        queue_deadline(
            &self.route,
            self.urgency_rank.is_some(),
            self.elapsed_before(),
            self.arrived,
            self.now(),
        )
    }

    /// Latest time to start a late request.
    fn late_deadline(&self) -> Instant {
        let mean_hold = self.slot_pool.with_pool(|pool| pool.mean_hold());
        late_deadline(&self.route, self.arrived, self.deadline, mean_hold)
    }

    /// Latest time to wait while no endpoint accepts work. A caller's retry may wait, since there
    /// is no time for another one; so may a request to a gateway that has just started, whose
    /// caller likely has no time for one either. All others are rejected at once.
    fn outage_deadline(&self) -> Instant {
        let may_wait = self.is_caller_retry() || self.gateway.is_starting();
        outage_deadline(may_wait, self.arrived, self.total_time())
    }

    /// Time from arrival to the deadline.
    fn total_time(&self) -> Duration {
        self.deadline.saturating_duration_since(self.arrived)
    }

    /// Acquires a slot, waiting in the queue if needed.
    pub(crate) async fn acquire_slot(&mut self) -> Result<Slot, Refusal> {
        let req = DispatchRequest {
            urgency: self.priority,
            is_caller_retry: self.is_caller_retry(),
            workspace: self.workspace_key,
            prompt_tokens: self.meta.prompt_tokens,
            max_response_tokens: self.meta.max_response_tokens,
            parts: self.meta.prompt.clone(),
            queue_deadline: self.queue_deadline().min(self.deadline),
            late_deadline: self.late_deadline(),
            return_time_max: return_time_max(self.remaining()),
            outage_deadline: self.outage_deadline(),
            tried: self.tried.clone(),
            earlier: self.earlier,
        };
        let wait_started = self.now();
        let slot = match self.check_blocked_parts() {
            Ok(()) => self.slot_pool.acquire(&req).await,
            Err(refusal) => Err(refusal),
        };
        self.access_log.queue_time += self.now().saturating_duration_since(wait_started);
        let mut slot = slot?;
        // A part may have been blocked while the request waited.
        self.check_blocked_parts()?;
        let registration = self
            .slot_pool
            .with_pool(|pool| pool.member(slot.key).map(|member| member.registration.clone()));
        slot.set_in_flight(registration.map(|r| InFlight::new(self, slot.key, r)));
        Ok(slot)
    }

    /// Refuses a request whose prompt has a part that crashes endpoints, unless it is a trial.
    fn check_blocked_parts(&mut self) -> Result<(), Refusal> {
        if self.meta.shared_parts.is_empty() || self.is_trial {
            return Ok(());
        }
        let service = &self.access_log.service;
        let fleet = self.gateway.fleet();
        let Some(blocked) = fleet.part_filter.blocked(service, &self.meta.shared_parts) else {
            return Ok(());
        };
        let blocked = blocked.clone();
        drop(fleet);
        // A trial is one request, and one send of it.
        if self.tried.is_empty() && endpoint_ends::take_trial(&self.gateway, service, &blocked) {
            self.is_trial = true;
            return Ok(());
        }
        endpoint_ends::ask_for_trial(&self.gateway, service, &blocked);
        Err(Refusal { code: Code::PromptBlocked, retry_after: Duration::ZERO })
    }

    /// Refusal of a request that endpoints have refused, or could not be reached at.
    pub(crate) fn all_refused(&self, retry_after: Duration) -> Refusal {
        let now = self.now();
        let pushback = self.slot_pool.with_pool(|pool| pool.pushback(now));
        pushback.unwrap_or(Refusal { code: Code::EndpointFull, retry_after })
    }

    /// Records an attempt that reached no endpoint and releases its slot.
    pub(crate) fn record_unopened(&mut self, slot: Slot, outcome: RequestOutcome) {
        self.unopened += 1;
        if self.earlier == EarlierSends::None {
            self.earlier = EarlierSends::Unopened;
        }
        self.end_attempt(slot, outcome);
    }

    /// Records the outcome of an attempt that reached an endpoint and releases its slot.
    pub(crate) fn record_attempt(&mut self, slot: Slot, outcome: RequestOutcome) {
        self.earlier = EarlierSends::Arrived;
        self.is_trial = false;
        self.end_attempt(slot, outcome);
    }

    fn end_attempt(&mut self, slot: Slot, outcome: RequestOutcome) {
        self.progress.may_have_run.store(self.executions > 0, Ordering::Release);
        let took = self.now().saturating_duration_since(slot.sent_at);
        self.access_log.tries.push((slot.endpoint.clone(), took, outcome));
        self.tried.push(slot.key);
        let pauses = |pool: &SlotPool| pool.with_pool(|p| p.refusal_pauses());
        let pauses_before = pauses(&self.slot_pool);
        slot.finish(outcome);
        if outcome == RequestOutcome::Refused && pauses(&self.slot_pool) > pauses_before {
            let service = self.access_log.service.as_str();
            log::info!(service = service; "endpoints refuse requests: sends wait for a load report");
            metrics::counter!("crocustally_refusal_pauses").increment(1);
        }
        self.gateway.note_reachability();
    }

    /// Builds the gateway's own error response.
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

    /// Rejects a request that was never executed; fails one that may have been.
    pub(crate) fn reject_or_fail(&mut self, refusal: Refusal) -> Response<ResponseBody> {
        if self.executions == 0 {
            // Zero if the caller should not come back.
            let retry_after = Some(refusal.retry_after).filter(|time| !time.is_zero());
            return self.reject(refusal.code, retry_after);
        }
        self.fail()
    }

    /// Fails a request that an endpoint may have executed.
    pub(crate) fn fail(&mut self) -> Response<ResponseBody> {
        let code = if self.progress.answer_unbuffered.load(Ordering::Acquire) {
            Code::AnswerUnbuffered
        } else if self.remaining().is_zero() {
            Code::DeadlineOver
        } else {
            Code::AnswerBroken
        };
        self.reject(code, None)
    }
}

/// Access log entry of a request; dropping it writes the log line and the metrics.
pub(crate) struct AccessLogEntry {
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) policy_version: u64,
    /// Urgency among the requests of the service; lower values are served first.
    pub(crate) urgency: u8,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) arrived: Instant,
    pub(crate) queue_time: Duration,
    pub(crate) first_byte: Option<Duration>,
    /// Longest gap between two events.
    pub(crate) max_gap: Duration,
    pub(crate) events: u32,
    pub(crate) tries: SmallVec<[(String, Duration, RequestOutcome); 2]>,
    pub(crate) status: u16,
    /// Status of the endpoint's response that was relayed or replaced.
    pub(crate) endpoint_status: Option<u16>,
    pub(crate) code: Option<Code>,
    pub(crate) retry_after: Option<Duration>,
    /// Shared parts of the prompt.
    pub(crate) parts: PartSet,
    /// What ended the body of the response that was delivered.
    pub(crate) framing: Option<BodyFraming>,
    /// Whether the response was delivered completely.
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
        let slot_pool = self.gateway.pool(&self.service);
        let (in_flight, limit, waiting, pass) = slot_pool.with_pool(|pool| {
            (pool.in_flight(), pool.limit(now), pool.queue_len(), pool.mean_pass(now))
        });
        if let Some(status) = slot_pool.with_pool(|pool| pool.retention_status(now)) {
            let service = || self.service.clone();
            metrics::gauge!("crocustally_prompt_entries", "service" => service())
                .set(status.entries as f64);
            metrics::gauge!("crocustally_prompts_not_retained", "service" => service())
                .set(f64::from(u8::from(status.keeps_nothing)));
        }
        let tries: Vec<String> = self
            .tries
            .iter()
            .map(|(endpoint, took, outcome)| format!("{endpoint} {outcome:?} {}ms", ms(*took)))
            .collect();
        let parts: Vec<String> =
            self.parts.iter().take(PARTS_LOGGED_MAX).map(ToString::to_string).collect();
        log::info!(
            id = self.id.as_str(),
            route = self.route.as_str(),
            service = self.service.as_str(),
            policy = self.policy_version,
            urgency = self.urgency,
            status = self.status,
            endpoint_status = self.endpoint_status,
            code = self.code.map(Code::number),
            queued_ms = ms(self.queue_time),
            first_ms = self.first_byte.map(ms),
            gap_ms = ms(self.max_gap),
            took_ms = ms(took),
            events = self.events,
            tries = tries.join(", ").as_str(),
            framing = self.framing.map(BodyFraming::as_str),
            retry_after_ms = self.retry_after.map(ms),
            parts = parts.join(",").as_str(),
            parts_count = self.parts.len(),
            in_flight = in_flight,
            limit = limit,
            waiting = waiting,
            pass_ms = pass.map(ms);
            "request {outcome}"
        );
    }
}
