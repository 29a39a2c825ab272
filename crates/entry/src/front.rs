//! The callers' side: accepts, identifies, hands on, accounts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::Ran;
use crocustally_core::control::ServiceKind;
use crocustally_net::RUN_HEADER;
use crocustally_net::ResponseBody;
use crocustally_net::coded_response;
use crocustally_net::full_body;
use crocustally_net::timeout;
use crocustally_wire::Whole;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

use crate::Entry;
use crate::identify::Class;
use crate::identify::Identified;
use crate::identify::allowed;
use crate::identify::identify;
use crate::once;
use crate::relay;

/// Status of an answer whose own status is none.
const BAD_GATEWAY: u16 = 502;

/// An answer that has arrived whole.
#[derive(Clone, Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

impl From<Whole> for WholeAnswer {
    fn from(w: Whole) -> Self {
        let status = u16::try_from(w.status).unwrap_or(BAD_GATEWAY);
        Self { status, content_type: w.content_type, body: w.body }
    }
}

/// Answers one request of a caller.
pub(crate) async fn answer(entry: Arc<Entry>, req: Request<Incoming>) -> Response<ResponseBody> {
    let busy = entry.shutdown.track_request();
    metrics::counter!("crocustally_requests_total").increment(1);
    // Boxed, since the HTTP library keeps room for this future as long as the connection lasts.
    let id = match Box::pin(accept(&entry, req)).await {
        Ok(id) => id,
        Err(code) => return refuse(code),
    };
    match id.class.clone() {
        Class::Idempotent { .. } => Box::pin(relay::serve(entry, id, busy)).await,
        Class::Once { key } => {
            let result = Box::pin(once::serve(&entry, &id, &key)).await;
            account(&entry, &id, result.is_ok(), result.as_ref().err().copied(), None);
            match result {
                Ok(whole) => whole_response(whole),
                Err(code) => refuse(code),
            }
        }
    }
}

/// Reads and identifies a request.
async fn accept(entry: &Entry, req: Request<Incoming>) -> Result<Identified, Code> {
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
    let (service, workspace) = allowed(&config, parts.uri.path(), &parts.headers)?;
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(Code::BodyTooLarge);
    }
    let body = read_body(body, limits.body_bytes, limits.body_timeout).await?;
    if service.kind == ServiceKind::Model && parts.method != hyper::Method::POST {
        return Err(Code::MalformedBody);
    }
    identify(service, workspace, &parts, body, arrived)
}

fn header_bytes(headers: &hyper::HeaderMap) -> usize {
    headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum()
}

async fn read_body(body: Incoming, max: usize, time: Duration) -> Result<Bytes, Code> {
    let collected = timeout(time, Limited::new(body, max).collect()).await;
    match collected {
        None => Err(Code::CallerTooSlow),
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(e)) if e.is::<LengthLimitError>() => Err(Code::BodyTooLarge),
        Some(Err(_)) => Err(Code::BadFraming),
    }
}

/// A refusal, counted, of a request of which no earlier attempt has run.
pub(crate) fn refuse(code: Code) -> Response<ResponseBody> {
    refuse_after(code, code.ran())
}

/// A refusal, counted, with what is known of all attempts together.
pub(crate) fn refuse_after(code: Code, ran: Ran) -> Response<ResponseBody> {
    let number = code.number().to_string();
    metrics::counter!("crocustally_refused_total", "code" => number).increment(1);
    coded_response(code, ran)
}

/// The answer of a back end, with the word that it ran.
pub(crate) fn whole_response(whole: WholeAnswer) -> Response<ResponseBody> {
    response(whole.status, &whole.content_type, full_body(whole.body))
}

pub(crate) fn response(
    status: u16,
    content_type: &str,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(RUN_HEADER, HeaderValue::from_static(Ran::Yes.as_str()));
    if let Ok(value) = HeaderValue::from_str(content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    response
}

/// Counts an ended request for the burn report; a caller's own mistake counts for nothing.
pub(crate) fn account(
    entry: &Entry,
    id: &Identified,
    whole: bool,
    code: Option<Code>,
    first: Option<Duration>,
) {
    let own_fault = matches!(code, Some(Code::KeyConflict | Code::Quarantined | Code::KeyExpired));
    if own_fault {
        return;
    }
    let now = Duration::from_millis(entry.clock.unix_ms());
    let took = entry.clock.now().saturating_duration_since(id.arrived);
    let first = first.or(whole.then_some(took));
    entry.burn.note(now, &id.service, &id.workspace, id.objective, whole, first);
    let name = if whole { "crocustally_whole_total" } else { "crocustally_not_whole_total" };
    metrics::counter!(name, "service" => id.service.clone()).increment(1);
}
