//! Sending one request to an endpoint.

use std::error::Error as _;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crocustally_core::dispatch::RequestOutcome;
use crocustally_core::promises_not_run;
use crocustally_net::BlockBody;
use crocustally_net::BodyFraming;
use crocustally_net::CollectError;
use crocustally_net::ConnectionCheck;
use crocustally_net::HttpClient;
use crocustally_net::HttpConnection;
use crocustally_net::HttpError;
use crocustally_net::collect_blocks;
use crocustally_net::timeout;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::http::uri::PathAndQuery;

use crate::ForwardHead;
use crate::ResponseHead;
use crate::endpoint_ends;
use crate::exchange::Exchange;
use crate::slots::Slot;

/// Share of an endpoint's keep-alive time for which an idle connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.7;
/// Time for which an idle connection is kept if its endpoint announces none. Also the age from which one
/// is used only if its failure domain has responded recently: the path may have gone silent since.
const UNANNOUNCED_IDLE_TIME: Duration = Duration::from_secs(3);

/// Time for which a new connection has to stay open to show that an endpoint has not ended: an ending
/// process closes its connections within a few milliseconds, and its successor, if it starts at once,
/// is heard of.
const OUTLIVE_TIME: Duration = Duration::from_millis(20);

/// An endpoint's response with an unread body.
pub(crate) struct EndpointResponse {
    pub(crate) head: response::Parts,
    pub(crate) meta: ResponseHead,
    pub(crate) body: Incoming,
    pub(crate) framing: BodyFraming,
    client: Arc<HttpClient>,
    conn: HttpConnection,
}

impl EndpointResponse {
    /// Whether the endpoint has failed the request, which another one may serve.
    pub(crate) fn is_failure(&self) -> bool {
        self.head.status.is_server_error() || promises_not_run(self.head.status.as_u16())
    }

    /// Closes the idle connections to the endpoint, which has gone silent during this response.
    pub(crate) fn discard_idle_connections(&self) {
        self.client.discard_idle();
    }

    /// Whether the end of the body is the end of the response. A process that ends closes its
    /// connections, and nothing else tells that from a response that ends with its connection.
    pub(crate) async fn is_complete(&self, ex: &Exchange, slot: &Slot) -> bool {
        if self.framing != BodyFraming::Close {
            return true;
        }
        let check = self.client.check_outlives(OUTLIVE_TIME, UNANNOUNCED_IDLE_TIME);
        let check = timeout(ex.remaining(), check).await;
        check == Some(ConnectionCheck::Accepts) && !endpoint_ends::is_replaced(ex, slot.key)
    }

    /// Returns the connection to the client's pool; the body must have been read to its end.
    pub(crate) fn reuse_connection(self) {
        if self.meta.closes_connection || self.framing == BodyFraming::Close {
            return;
        }
        match self.meta.keep_alive {
            Some(time) => self.client.put_idle_for(self.conn, time.mul_f64(KEEP_ALIVE_SHARE)),
            None => self.client.put_idle_for(self.conn, UNANNOUNCED_IDLE_TIME),
        }
    }
}

/// Outcome of a send.
pub(crate) enum SendOutcome {
    /// The endpoint responded to this request.
    Response(Box<EndpointResponse>),
    /// No endpoint was reached.
    Unopened(RequestOutcome),
    /// The endpoint did not execute the request.
    NotExecuted(RequestOutcome),
    /// The endpoint may have executed the request.
    MaybeExecuted(RequestOutcome),
}

/// Sends the request to the slot's endpoint and waits up to `time_limit` for the response head.
pub(crate) async fn send(
    ex: &Exchange,
    slot: &Slot,
    time_limit: Duration,
    last_event_id: Option<u64>,
) -> SendOutcome {
    let forward_head = ForwardHead {
        endpoint: &slot.endpoint,
        workspace: ex.workspace.as_deref(),
        timeout: ex.remaining(),
        urgency_rank: ex.urgency_rank,
        last_event_id,
    };
    let mut req = Request::new(Full::new(ex.body.clone()));
    *req.method_mut() = ex.head.method.clone();
    let path = ex.head.uri.path_and_query().cloned();
    *req.uri_mut() = path.unwrap_or_else(|| PathAndQuery::from_static("/")).into();
    *req.headers_mut() = ex.gateway.dialect.forward_headers(&ex.head, &forward_head);
    let client = ex.gateway.endpoint_client(slot.address);
    // A pooled connection may break while sending, and then it is unknown whether the request was
    // executed. Requests that must not be repeated get a new connection.
    let now = ex.now();
    let (keep_idle, path_is_proven) = ex
        .slot_pool
        .with_pool(|pool| (pool.idle_allowance(slot.key), pool.path_is_proven(now, slot.key)));
    let idle_below = match (ex.route.kind.is_retryable(), path_is_proven) {
        (false, _) => Duration::ZERO,
        (true, false) => UNANNOUNCED_IDLE_TIME,
        (true, true) => Duration::MAX,
    };
    // The connection that this request reuses is no longer idle then.
    client.trim_idle(keep_idle.max(usize::from(!idle_below.is_zero())));
    ex.progress.may_have_run.store(true, Ordering::Release);
    let (response, conn) = match timeout(time_limit, client.send_reusing(req, idle_below)).await {
        None => {
            client.discard_idle();
            return SendOutcome::MaybeExecuted(RequestOutcome::Silent);
        }
        Some(Err(HttpError::Refused)) => {
            client.discard_idle();
            return SendOutcome::Unopened(RequestOutcome::Ended);
        }
        Some(Err(HttpError::Unreachable)) => {
            client.discard_idle();
            return SendOutcome::Unopened(RequestOutcome::Unreachable);
        }
        Some(Err(HttpError::NotSent)) => return SendOutcome::Unopened(RequestOutcome::Unused),
        Some(Err(HttpError::Broken { cause, idle })) => {
            log_broken_connection(ex, slot, &cause, idle);
            return SendOutcome::MaybeExecuted(RequestOutcome::Broken);
        }
        Some(Err(HttpError::InvalidStatus(number))) => {
            log::warn!(
                id = ex.meta.id.as_str(), endpoint = slot.endpoint.as_str(), status = number;
                "response has an invalid status"
            );
            return SendOutcome::MaybeExecuted(RequestOutcome::Broken);
        }
        Some(Ok(response)) => response,
    };
    let connection = if conn.is_first_response() { "new" } else { "reused" };
    metrics::counter!("crocustally_endpoint_sends", "connection" => connection).increment(1);
    slot.record_reached();
    ex.gateway.note_reachability();
    let framing = BodyFraming::of(&response);
    let (head, body) = response.into_parts();
    let meta = ex.gateway.dialect.decode_response(&head);
    // Only a refusal may lack the id, and on a kept connection it may be an earlier request's.
    let own = match &meta.request_id {
        Some(id) => *id == ex.meta.id,
        None => meta.not_executed && conn.is_first_response(),
    };
    if !own || meta.content_encoded {
        log_foreign_response(ex, slot, head.status, meta.request_id.as_deref());
        return SendOutcome::MaybeExecuted(RequestOutcome::Broken);
    }
    if !meta.misdirected {
        record_pushback(ex, slot, &meta);
    }
    if meta.not_executed {
        let response = EndpointResponse { head, meta, body, framing, client, conn };
        return consume_refusal(response).await;
    }
    if head.status.is_success() && !meta.signed {
        return SendOutcome::MaybeExecuted(RequestOutcome::Broken);
    }
    slot.record_accepted();
    SendOutcome::Response(Box::new(EndpointResponse { head, meta, body, framing, client, conn }))
}

/// Logs why the connection of a request broke: the same outcome may have been caused by the endpoint,
/// the network or the kernel's time-outs.
fn log_broken_connection(ex: &Exchange, slot: &Slot, cause: &hyper::Error, idle: Option<Duration>) {
    let kind = io_error_kind(cause);
    log::warn!(
        id = ex.meta.id.as_str(),
        endpoint = slot.endpoint.as_str(),
        idle_ms = idle.map(|d| d.as_millis() as u64),
        io_error = kind.as_deref();
        "connection to endpoint broke: {cause}"
    );
}

/// Records what the endpoint says about further requests of this gateway.
fn record_pushback(ex: &Exchange, slot: &Slot, meta: &ResponseHead) {
    let (endpoint, service) = (slot.endpoint.as_str(), ex.access_log.service.as_str());
    if meta.leaving && slot.record_leaving() {
        log::info!(endpoint = endpoint, service = service; "endpoint says that it leaves");
        metrics::counter!("crocustally_endpoints_leaving").increment(1);
    }
    if let Some(time) = meta.quiet_for {
        slot.record_quiet(time);
        let quiet_ms = time.as_millis() as u64;
        log::info!(
            endpoint = endpoint, service = service, quiet_ms = quiet_ms;
            "endpoint wants no requests for a time"
        );
        metrics::counter!("crocustally_endpoint_quiet_times").increment(1);
    }
}

fn log_foreign_response(ex: &Exchange, slot: &Slot, status: StatusCode, response_id: Option<&str>) {
    log::warn!(
        id = ex.meta.id.as_str(),
        endpoint = slot.endpoint.as_str(),
        status = status.as_u16(),
        response_id = response_id;
        "response is not the one to this request"
    );
}

/// Reads a refusal to its end, so that the connection can be reused.
async fn consume_refusal(mut response: EndpointResponse) -> SendOutcome {
    let outcome =
        if response.meta.misdirected { RequestOutcome::Ended } else { RequestOutcome::Refused };
    if timeout(REFUSAL_BODY_TIMEOUT, drain(&mut response.body)).await == Some(true) {
        response.reuse_connection();
    }
    SendOutcome::NotExecuted(outcome)
}

/// Timeout for reading the body of a refusal.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);

async fn drain(body: &mut Incoming) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}

/// Why the body of a response is not whole.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// The connection broke.
    Broken(hyper::Error),
    /// The body is longer than the gateway's limit.
    TooLong,
    /// No memory is left to buffer the body.
    NoMemory,
    /// The body was not complete at the deadline.
    TimedOut,
    /// The body ended with its connection, and the endpoint with it.
    EndpointEnded,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Broken(e) => match io_error_kind(e) {
                Some(kind) => write!(f, "{e} ({kind})"),
                None => write!(f, "{e}"),
            },
            Self::TooLong => f.write_str("longer than the limit"),
            Self::NoMemory => f.write_str("no memory left to buffer it"),
            Self::TimedOut => f.write_str("not complete at the deadline"),
            Self::EndpointEnded => f.write_str("the endpoint ended or is unreachable"),
        }
    }
}

fn io_error_kind(e: &hyper::Error) -> Option<String> {
    let io_error = e.source().and_then(|e| e.downcast_ref::<io::Error>());
    io_error.map(|e| format!("{:?}", e.kind()))
}

impl BodyError {
    /// What the endpoint is told apart by: a lack of memory here is not its fault.
    pub(crate) fn outcome(&self) -> RequestOutcome {
        match self {
            Self::NoMemory => RequestOutcome::Unused,
            _ => RequestOutcome::Broken,
        }
    }
}

/// Reads the complete body of a response and logs why, if that fails.
pub(crate) async fn read_body(
    ex: &Exchange,
    slot: &Slot,
    response: &mut EndpointResponse,
) -> Result<BlockBody, BodyError> {
    let limit = ex.gateway.cfg.response_bytes_max;
    let collect = collect_blocks(&mut response.body, limit, &ex.buffers);
    let read = timeout(ex.remaining(), collect).await;
    let mut body = match read {
        None => Err(BodyError::TimedOut),
        Some(Err(CollectError::TooLong)) => Err(BodyError::TooLong),
        Some(Err(CollectError::NoMemory)) => Err(BodyError::NoMemory),
        Some(Err(CollectError::Broken(e))) => Err(BodyError::Broken(e)),
        Some(Ok(body)) => Ok(body),
    };
    if body.is_ok() && !response.is_complete(ex, slot).await {
        body = Err(BodyError::EndpointEnded);
    }
    if matches!(body, Err(BodyError::NoMemory)) {
        ex.progress.answer_unbuffered.store(true, Ordering::Release);
    }
    if let Err(e) = &body {
        log_broken_response(ex, slot, response.framing, None, 0, &e.to_string());
    }
    body
}

/// Logs where and why a response broke off. `after_event` is the last complete event of a stream,
/// `incomplete_bytes` the length of what came after it.
pub(crate) fn log_broken_response(
    ex: &Exchange,
    slot: &Slot,
    framing: BodyFraming,
    after_event: Option<u64>,
    incomplete_bytes: usize,
    cause: &str,
) {
    metrics::counter!("crocustally_responses_broken_off", "framing" => framing.as_str())
        .increment(1);
    log::warn!(
        id = ex.meta.id.as_str(),
        endpoint = slot.endpoint.as_str(),
        framing = framing.as_str(),
        after_event = after_event,
        incomplete_bytes = incomplete_bytes;
        "response broke off: {cause}"
    );
}
