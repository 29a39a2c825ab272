//! [`Exchange`]: one caller's request on its way, and the [`Trace`] that is logged at its end.

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
use crocustally_net::RequestGuard;
use crocustally_net::ResponseBody;
use hyper::Response;
use hyper::http::request;
use smallvec::SmallVec;

use crate::Gateway;
use crate::RequestHead;
use crate::places::Place;
use crate::places::Places;
use crate::suspects;

/// Sends beyond a route's attempts that endpoints may refuse before a request is refused as a whole.
const REFUSED_SENDS: usize = 2;
/// Time that a first event takes from its sending when passes are as long as they may be: the rest
/// of the running pass and one that reads the prompt.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(210);
/// Share of the objective that a plain request may wait for a place.
const PLAIN_WAIT_SHARE: f64 = 0.5;
/// Longest wait for a place of a request that has missed its objective already.
const LATE_WAIT: Duration = Duration::from_millis(120);
/// Share of its time that a caller may wait for an endpoint to take work again.
const OUTAGE_SHARE: f64 = 0.4;
/// A caller whose patience is this much below the route's timeout has been here before.
const RETURNED_AFTER: Duration = Duration::from_millis(250);

/// One caller's request, decoded, with where it goes and until when.
pub(crate) struct Exchange {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) head: request::Parts,
    pub(crate) meta: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) places: Arc<Places>,
    pub(crate) workspace: Option<String>,
    pub(crate) rank: u8,
    /// What the caller sends again when it repeats the request.
    pub(crate) digest: Digest,
    pub(crate) arrived: Instant,
    /// When the caller must have its answer.
    pub(crate) end: Instant,
    pub(crate) tried: SmallVec<[MemberKey; 2]>,
    /// Sends after which an endpoint may have run the request.
    pub(crate) runs: u32,
    pub(crate) trace: Trace,
    pub(crate) _busy: RequestGuard,
}

impl Exchange {
    pub(crate) fn now(&self) -> Instant {
        self.gateway.clock.now()
    }

    /// Time until the caller must have its answer.
    pub(crate) fn left(&self) -> Duration {
        self.end.saturating_duration_since(self.now())
    }

    /// Whether an endpoint may be asked once more, after one that may have run the request.
    pub(crate) fn may_run_again(&self) -> bool {
        self.route.kind.repeatable() && self.runs < self.route.attempts && !self.left().is_zero()
    }

    /// Whether an endpoint may be asked at all: those that refused count only so many times.
    pub(crate) fn may_send(&self) -> bool {
        self.tried.len() < self.route.attempts as usize + REFUSED_SENDS
    }

    /// Whether the caller has been refused or failed before and come back.
    fn returned(&self) -> bool {
        let patience = self.meta.patience.unwrap_or(self.route.timeout);
        patience + RETURNED_AFTER < self.route.timeout
    }

    /// When the request is refused rather than started.
    fn start_by(&self) -> Instant {
        let objective = self.route.objective;
        let late_start = self.now() + LATE_WAIT;
        if !self.route.kind.streams() {
            return (self.arrived + objective.mul_f64(PLAIN_WAIT_SHARE)).max(late_start);
        }
        if self.returned() {
            return late_start;
        }
        (self.arrived + objective.saturating_sub(FIRST_EVENT_TIME)).max(late_start)
    }

    /// When the request is refused while no endpoint takes work: one that came back from a refusal
    /// has no other chance, and one that has just found its gateway starting likely has none either.
    fn outage_by(&self) -> Instant {
        if self.returned() || self.gateway.is_starting() {
            return self.arrived + self.patience().mul_f64(OUTAGE_SHARE);
        }
        self.arrived
    }

    /// How long the caller waits.
    fn patience(&self) -> Duration {
        self.end.saturating_duration_since(self.arrived)
    }

    /// Finds a place; `again` says whether the request may have been sent before.
    pub(crate) async fn place(&mut self, again: bool) -> Result<Place, Refusal> {
        let ask = Ask {
            rank: 2 * self.rank + u8::from(self.returned()),
            prompt: self.meta.prompt_tokens,
            start_by: self.start_by().min(self.end),
            outage_by: self.outage_by(),
            tried: self.tried.clone(),
            repeat: again,
        };
        let begun = self.now();
        let place = self.places.place(&ask).await;
        self.trace.queued += self.now().saturating_duration_since(begun);
        place
    }

    /// Gives a place back and notes what came of it.
    pub(crate) fn finish(&mut self, place: Place, ended: Ended) {
        let took = self.now().saturating_duration_since(place.sent);
        self.trace.tries.push((place.endpoint.clone(), took, ended));
        if ended == Ended::Broken {
            suspects::look(&self.gateway, self.digest, &place);
        }
        self.tried.push(place.key);
        place.finish(ended);
    }

    /// The gateway's own refusal or failure.
    pub(crate) fn refuse(
        &mut self,
        code: Code,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody> {
        self.trace.code = Some(code);
        self.trace.retry_after = retry_after;
        let response = self.gateway.dialect.refuse(Some(&self.meta.id), code, retry_after);
        self.trace.status = response.status().as_u16();
        response
    }

    /// Refuses what has not run, or fails what may have.
    pub(crate) fn give_up(&mut self, refusal: Refusal) -> Response<ResponseBody> {
        if self.runs == 0 {
            return self.refuse(refusal.code, Some(refusal.retry_after));
        }
        self.fail()
    }

    /// The failure of a request that may have run.
    pub(crate) fn fail(&mut self) -> Response<ResponseBody> {
        let code = if self.left().is_zero() { Code::DeadlineOver } else { Code::AnswerBroken };
        self.refuse(code, None)
    }
}

/// What became of a request: one log line when it is dropped, whatever way it ended.
pub(crate) struct Trace {
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) policy: u64,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) arrived: Instant,
    pub(crate) queued: Duration,
    pub(crate) first: Option<Duration>,
    /// Longest pause between two events.
    pub(crate) gap: Duration,
    pub(crate) events: u32,
    pub(crate) tries: SmallVec<[(String, Duration, Ended); 2]>,
    pub(crate) status: u16,
    pub(crate) code: Option<Code>,
    pub(crate) retry_after: Option<Duration>,
    /// Whether the answer was given to the end.
    pub(crate) complete: bool,
}

impl Drop for Trace {
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
        if let Some(first) = self.first {
            metrics::histogram!("crocustally_first_byte_seconds").record(first.as_secs_f64());
        }
        let (in_flight, limit, waiting, pass) = self
            .gateway
            .places(&self.service)
            .with(|pool| (pool.in_flight(), pool.limit(now), pool.queued(), pool.pass(now)));
        let tries: Vec<String> = self
            .tries
            .iter()
            .map(|(endpoint, took, ended)| format!("{endpoint} {ended:?} {}ms", ms(*took)))
            .collect();
        log::info!(
            id = self.id.as_str(),
            route = self.route.as_str(),
            service = self.service.as_str(),
            policy = self.policy,
            status = self.status,
            code = self.code.map(Code::number),
            queued_ms = ms(self.queued),
            first_ms = self.first.map(ms),
            gap_ms = ms(self.gap),
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
