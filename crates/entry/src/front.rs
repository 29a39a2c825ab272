//! The HTTP side for callers: reads and identifies requests, dispatches them by class, records
//! results.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::Ran;
use crocustally_core::control::ServiceKind;
use crocustally_net::ClientConnection;
use crocustally_net::CollectError;
use crocustally_net::RUN_HEADER;
use crocustally_net::ResponseBody;
use crocustally_net::coded_response;
use crocustally_net::collect_body;
use crocustally_net::executed_status;
use crocustally_net::sliced_body;
use crocustally_net::timeout;
use crocustally_wire::Whole;
use futures_lite::future;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

use crate::Entry;
use crate::identify::CallerRequest;
use crate::identify::RequestClass;
use crate::identify::authorize;
use crate::identify::identify;
use crate::once;
use crate::relay;

/// Status of a response whose own status is no number of a status.
const BAD_GATEWAY: u16 = 502;

/// A complete response.
#[derive(Clone, Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

impl From<Whole> for CompleteResponse {
    fn from(w: Whole) -> Self {
        let status = u16::try_from(w.status).unwrap_or(BAD_GATEWAY);
        Self { status, content_type: w.content_type, body: w.body }
    }
}

/// Handles one request of a caller.
pub(crate) async fn handle_request(
    entry: Arc<Entry>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let guard = entry.shutdown.track_request();
    metrics::counter!("crocustally_requests_total").increment(1);
    // Boxed, since the HTTP library reserves space for this future for the lifetime of the
    // connection.
    let request = match Box::pin(read_and_identify(&entry, req)).await {
        Ok(request) => request,
        Err(code) => return refusal(code),
    };
    match request.class.clone() {
        RequestClass::Idempotent { .. } => Box::pin(relay::serve(entry, request, guard)).await,
        RequestClass::AtMostOnce { key } => {
            let result = Box::pin(once::serve(&entry, &request, &key)).await;
            record_result(&entry, &request, result.is_ok(), result.as_ref().err().copied(), None);
            match result {
                Ok(response) => complete_response(response),
                Err(code) => refusal(code),
            }
        }
    }
}

/// Reads and identifies a request.
async fn read_and_identify(entry: &Entry, req: Request<Incoming>) -> Result<CallerRequest, Code> {
    let arrived = entry.clock.now();
    if entry.shutdown.is_requested() {
        return Err(Code::EntryLeaving);
    }
    let (parts, body) = req.into_parts();
    let limits = entry.cfg.limits;
    if header_bytes(&parts.headers) > limits.header_bytes {
        return Err(Code::HeaderTooLarge);
    }
    let config = entry.config();
    if config.version == 0 {
        return Err(Code::NotReady);
    }
    let (service, workspace) = authorize(&config, parts.uri.path(), &parts.headers)?;
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(Code::BodyTooLarge);
    }
    let conn = parts.extensions.get::<Arc<ClientConnection>>();
    let body = read_body(entry, body, conn).await?;
    if service.kind == ServiceKind::Model && parts.method != hyper::Method::POST {
        return Err(Code::MalformedBody);
    }
    identify(service, workspace, &parts, body, arrived)
}

fn header_bytes(headers: &hyper::HeaderMap) -> usize {
    headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum()
}

async fn read_body(
    entry: &Entry,
    mut body: Incoming,
    conn: Option<&Arc<ClientConnection>>,
) -> Result<Bytes, Code> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limits = entry.cfg.limits;
    let reading = conn.map(|c| c.reading_body());
    let budget = entry.buffers.for_client(conn.cloned());
    let read = async {
        let body = collect_body(&mut body, limits.body_bytes, &budget);
        match timeout(limits.body_timeout, body).await {
            None => Err(Code::CallerTooSlow),
            Some(Ok(body)) => Ok(body),
            Some(Err(CollectError::TooLong)) => Err(Code::BodyTooLarge),
            Some(Err(CollectError::NoMemory)) => {
                let name = entry.cfg.name.as_str();
                log::warn!(name = name; "request refused: no memory for its body");
                Err(Code::MemoryShort)
            }
            Some(Err(CollectError::Broken(_))) => Err(Code::BadFraming),
        }
    };
    let gave_way = async {
        match conn {
            Some(conn) => conn.closing().await,
            None => future::pending().await,
        }
        Err(Code::CallerTooSlow)
    };
    let body = future::or(read, gave_way).await;
    if let Some(reading) = reading.filter(|_| body.is_ok()) {
        reading.complete();
    }
    body
}

/// Counts and builds the refusal of a request without earlier attempts.
pub(crate) fn refusal(code: Code) -> Response<ResponseBody> {
    refusal_with(code, code.ran())
}

/// Counts and builds a refusal; `ran` covers all attempts together.
pub(crate) fn refusal_with(code: Code, ran: Ran) -> Response<ResponseBody> {
    let number = code.number().to_string();
    metrics::counter!("crocustally_refused_total", "code" => number).increment(1);
    coded_response(code, ran)
}

/// Builds the HTTP response for a complete response of an endpoint; its header says that the
/// request ran.
pub(crate) fn complete_response(response: CompleteResponse) -> Response<ResponseBody> {
    build_response(response.status, &response.content_type, sliced_body(response.body))
}

pub(crate) fn build_response(
    status: u16,
    content_type: &str,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = executed_status(status);
    if response.status().as_u16() != status {
        let sent = response.status().as_u16();
        log::warn!(status = status, sent = sent; "status of an endpoint's response replaced");
        metrics::counter!("crocustally_statuses_replaced").increment(1);
    }
    let headers = response.headers_mut();
    headers.insert(RUN_HEADER, HeaderValue::from_static(Ran::Yes.as_str()));
    if let Ok(value) = HeaderValue::from_str(content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    response
}

/// Counts a finished request in the burn report; errors caused by the caller are not counted.
pub(crate) fn record_result(
    entry: &Entry,
    request: &CallerRequest,
    complete: bool,
    code: Option<Code>,
    first_byte: Option<Duration>,
) {
    let caller_fault =
        matches!(code, Some(Code::KeyConflict | Code::Quarantined | Code::KeyExpired));
    if caller_fault {
        return;
    }
    let now = Duration::from_millis(entry.clock.unix_ms());
    let elapsed = entry.clock.now().saturating_duration_since(request.arrived);
    let first_byte = first_byte.or(complete.then_some(elapsed));
    entry.burn.record(
        now,
        &request.service,
        &request.workspace,
        request.objective,
        complete,
        first_byte,
    );
    let name = if complete { "crocustally_whole_total" } else { "crocustally_not_whole_total" };
    metrics::counter!(name, "service" => request.service.clone()).increment(1);
}
