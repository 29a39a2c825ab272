//! Streams of numbered events, which another run may go on with.

use std::io;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use crocustally_core::Code;
use crocustally_core::dispatch::Ended;
use crocustally_core::dispatch::Refusal;
use crocustally_net::ResponseBody;
use crocustally_net::full_body;
use crocustally_net::sleep;
use crocustally_net::timeout;
use futures_lite::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;

use crate::EventBuffer;
use crate::exchange::Exchange;
use crate::permits::Permit;
use crate::upstream;
use crate::upstream::EndpointResponse;
use crate::upstream::SendOutcome;

/// A stream without an event for this long is given up: a group that has lost a rank stalls for
/// less and then says so.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// Pause before a broken stream is tried again when nobody takes it.
const RESUME_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a broken stream is tried to be resumed; callers leave after about two seconds.
const RESUME_TIME_MAX: Duration = Duration::from_millis(2200);
/// Time that a refused caller is told to stay away after endpoints have refused its request.
const RETRY_AFTER_REFUSALS: Duration = Duration::from_millis(600);

/// An open stream from an endpoint.
struct UpstreamStream {
    permit: Permit,
    response: Box<EndpointResponse>,
    buf: EventBuffer,
    /// When the last bytes came.
    last_received: Instant,
}

/// What came next.
enum StreamItem {
    Events(Bytes),
    End(Bytes),
    Interrupted(Ended),
}

/// Why no stream was opened.
enum OpenError {
    /// The caller gets this.
    Final(Box<Response<ResponseBody>>),
    /// It may be tried again.
    Refused(Refusal),
    /// It may have run, and broke.
    Interrupted,
}

/// Gets a stream from one endpoint, and goes on with another one where the route allows.
pub(crate) async fn serve(mut ex: Exchange) -> Response<ResponseBody> {
    let last_event_id = ex.meta.last_event_id;
    let mut sent_before = false;
    loop {
        let mut run = match open(&mut ex, last_event_id, sent_before).await {
            Ok(run) => run,
            Err(OpenError::Final(response)) => return *response,
            Err(OpenError::Refused(refusal)) => return ex.reject_or_fail(refusal),
            Err(OpenError::Interrupted) if ex.can_rerun() && ex.can_send() => {
                sent_before = true;
                continue;
            }
            Err(OpenError::Interrupted) => return ex.fail(),
        };
        // The head goes out with the first event, so that until then another endpoint can serve.
        match next_item(&ex, &mut run).await {
            StreamItem::Interrupted(ended) => {
                ex.record_attempt(run.permit, ended);
                if !ex.can_rerun() || !ex.can_send() {
                    return ex.fail();
                }
                sent_before = true;
            }
            first => return relay(ex, run, first),
        }
    }
}

/// Opens a stream at one endpoint, trying others that refuse.
async fn open(
    ex: &mut Exchange,
    last_event_id: Option<u64>,
    sent_before: bool,
) -> Result<UpstreamStream, OpenError> {
    let mut sent_before = sent_before;
    loop {
        let permit = ex.acquire_permit(sent_before).await.map_err(OpenError::Refused)?;
        sent_before = true;
        let time_limit = ex.remaining().min(SILENCE_TIMEOUT);
        match upstream::send(ex, &permit, time_limit, last_event_id).await {
            SendOutcome::NotExecuted(ended) => {
                ex.record_attempt(permit, ended);
                if !ex.can_send() || ex.remaining().is_zero() {
                    let retry_after = RETRY_AFTER_REFUSALS;
                    let refusal = Refusal { code: Code::EndpointFull, retry_after };
                    return Err(OpenError::Refused(refusal));
                }
            }
            SendOutcome::MaybeExecuted(ended) => {
                ex.executions += 1;
                ex.record_attempt(permit, ended);
                return Err(OpenError::Interrupted);
            }
            SendOutcome::Response(response) if response.head.status.is_success() => {
                ex.executions += 1;
                let (buf, last_received) = (EventBuffer::after(last_event_id), ex.now());
                return Ok(UpstreamStream { permit, response, buf, last_received });
            }
            SendOutcome::Response(response) => {
                ex.executions += 1;
                return Err(read_failure(ex, permit, response).await);
            }
        }
    }
}

/// Reads an endpoint's own failure, which the caller gets unless another endpoint may serve.
async fn read_failure(
    ex: &mut Exchange,
    permit: Permit,
    mut response: Box<EndpointResponse>,
) -> OpenError {
    let time_left = ex.remaining();
    let body = timeout(time_left, upstream::collect_body(&mut response.body)).await.flatten();
    let Some(body) = body else {
        ex.record_attempt(permit, Ended::Broken);
        return OpenError::Interrupted;
    };
    ex.record_attempt(permit, Ended::Failed);
    if response.head.status.is_server_error() && ex.can_rerun() && ex.can_send() {
        response.reuse_connection();
        return OpenError::Interrupted;
    }
    let mut out = Response::new(full_body(body));
    *out.status_mut() = response.head.status;
    *out.headers_mut() = ex.gateway.dialect.relay_headers(&response.head);
    ex.access_log.status = response.head.status.as_u16();
    ex.access_log.complete = true;
    response.reuse_connection();
    OpenError::Final(Box::new(out))
}

/// Waits for whole events, the end, or the break of a stream.
async fn next_item(ex: &Exchange, run: &mut UpstreamStream) -> StreamItem {
    loop {
        let mut events = BytesMut::new();
        let mut count = 0;
        while let Some(event) = run.buf.next_event() {
            events.extend_from_slice(&event);
            count += 1;
        }
        if count > 0 {
            let now = ex.now();
            let gap = now.saturating_duration_since(run.last_received);
            run.last_received = now;
            if run.permit.response_started() {
                run.permit.record_event_gap(gap / count);
            }
            run.permit.record_response_start();
            return StreamItem::Events(events.freeze());
        }
        let time_limit = SILENCE_TIMEOUT.min(ex.remaining());
        match timeout(time_limit, run.response.body.frame()).await {
            None => return StreamItem::Interrupted(Ended::Silent),
            Some(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    run.buf.push(&data);
                }
            }
            Some(Some(Err(_))) => return StreamItem::Interrupted(Ended::Broken),
            Some(None) => return StreamItem::End(run.buf.take_remaining()),
        }
    }
}

/// The answer to the caller: the head of the first run, and the events of all runs.
fn relay(mut ex: Exchange, run: UpstreamStream, first: StreamItem) -> Response<ResponseBody> {
    let head = &run.response.head;
    let status = head.status;
    let headers = ex.gateway.dialect.relay_headers(head);
    ex.access_log.status = status.as_u16();
    ex.access_log.first_byte = Some(ex.now().saturating_duration_since(ex.arrived));
    let state = Relay { ex, run: Some(run), pending: Some(first), last_delivered: None };
    let frames = stream::unfold(state, |mut relay| async move {
        let frame = relay.next_frame().await?;
        Some((frame, relay))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A stream under way to its caller. Dropping it, when the caller leaves, drops the connection to
/// the endpoint, which then stops.
struct Relay {
    ex: Exchange,
    run: Option<UpstreamStream>,
    pending: Option<StreamItem>,
    /// When the last event went to the caller.
    last_delivered: Option<Instant>,
}

impl Relay {
    /// The next piece for the caller; `None` at the end, an error when the stream breaks off.
    async fn next_frame(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        loop {
            let item = match self.pending.take() {
                Some(item) => item,
                None => next_item(&self.ex, self.run.as_mut()?).await,
            };
            match item {
                StreamItem::Events(events) => {
                    self.record_event();
                    return Some(Ok(Frame::data(events)));
                }
                StreamItem::End(remaining) => {
                    let run = self.run.take()?;
                    self.ex.record_attempt(run.permit, Ended::Whole);
                    run.response.reuse_connection();
                    self.ex.access_log.complete = true;
                    return (!remaining.is_empty()).then(|| Ok(Frame::data(remaining)));
                }
                StreamItem::Interrupted(ended) => {
                    if !self.resume(ended).await {
                        let e = io::Error::new(
                            io::ErrorKind::ConnectionAborted,
                            "upstream stream was interrupted",
                        );
                        return Some(Err(e));
                    }
                }
            }
        }
    }

    fn record_event(&mut self) {
        let now = self.ex.now();
        if let Some(last) = self.last_delivered.replace(now) {
            let gap = now.saturating_duration_since(last);
            self.ex.access_log.max_gap = self.ex.access_log.max_gap.max(gap);
        }
        self.ex.access_log.events += 1;
    }

    /// Goes on after the last whole event with another run; false when nobody takes it.
    async fn resume(&mut self, ended: Ended) -> bool {
        let Some(run) = self.run.take() else { return false };
        let last_id = run.buf.last_id();
        let interrupted_at = self.ex.now();
        self.ex.record_attempt(run.permit, ended);
        while self.ex.can_rerun() {
            if self.ex.now().saturating_duration_since(interrupted_at) > RESUME_TIME_MAX {
                break;
            }
            match open(&mut self.ex, last_id, true).await {
                Ok(run) => {
                    self.run = Some(run);
                    return true;
                }
                Err(OpenError::Final(_)) => break,
                Err(OpenError::Refused(_) | OpenError::Interrupted) => {
                    // Endpoints that refuse while their group forms again may serve a moment later.
                    self.ex.tried.clear();
                    sleep(RESUME_PAUSE).await;
                }
            }
        }
        self.ex.access_log.code = Some(Code::AnswerBroken);
        false
    }
}
