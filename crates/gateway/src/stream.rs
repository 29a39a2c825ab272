//! Streams of numbered events, which another endpoint can resume.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use crocustally_core::Code;
use crocustally_core::dispatch::Refusal;
use crocustally_core::dispatch::RequestOutcome;
use crocustally_net::BodyFraming;
use crocustally_net::BufferCharge;
use crocustally_net::Length;
use crocustally_net::ResponseBody;
use crocustally_net::sleep;
use crocustally_net::timeout;
use futures_lite::future;
use futures_lite::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;

use crate::EventBuffer;
use crate::endpoint_ends;
use crate::exchange::Exchange;
use crate::relayed;
use crate::slots::Slot;
use crate::upstream;
use crate::upstream::BodyError;
use crate::upstream::EndpointResponse;
use crate::upstream::SendOutcome;

/// A stream without an event for this long is abandoned. A group that has lost a rank stalls for
/// less and then reports an error.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// Pause between attempts to resume a stream.
const RESUME_PAUSE: Duration = Duration::from_millis(150);
/// Total time for attempts to resume a stream; callers disconnect after about two seconds.
const RESUME_TIME_MAX: Duration = Duration::from_millis(2200);
/// `Retry-After` of a stream that endpoints have refused.
const RETRY_AFTER_REFUSALS: Duration = Duration::from_millis(600);

/// An open stream from an endpoint.
struct UpstreamStream {
    slot: Slot,
    response: Box<EndpointResponse>,
    buf: EventBuffer,
    /// Charge for `buf`.
    charge: BufferCharge,
    /// When the last bytes arrived.
    last_received: Instant,
}

/// Next item of an upstream stream.
enum StreamItem {
    Events(Bytes),
    End(Bytes),
    Interrupted(RequestOutcome),
}

/// Why no stream was opened.
enum OpenError {
    /// The endpoint's own error response, to be relayed to the caller.
    Final(Box<Response<ResponseBody>>),
    /// No endpoint accepted the request; it may be sent again.
    Refused(Refusal),
    /// The endpoint may have executed the request before it failed.
    Interrupted,
}

/// Opens a stream at an endpoint and relays it; other endpoints take over where the route allows.
pub(crate) async fn serve(mut ex: Exchange) -> Response<ResponseBody> {
    let empty = EventBuffer::after(ex.meta.last_event_id);
    loop {
        let mut source = match open(&mut ex, &empty).await {
            Ok(source) => source,
            Err(OpenError::Final(response)) => return *response,
            Err(OpenError::Refused(refusal)) => return ex.reject_or_fail(refusal),
            Err(OpenError::Interrupted) if ex.can_rerun() && ex.can_send() => continue,
            Err(OpenError::Interrupted) => return ex.fail(),
        };
        // The head is sent with the first event, so that another endpoint can serve until then.
        match first_item(&ex, &mut source).await {
            StreamItem::Interrupted(outcome) => {
                ex.record_attempt(source.slot, outcome);
                if !ex.can_rerun() || !ex.can_send() {
                    return ex.fail();
                }
            }
            first => return relay(ex, source, first),
        }
    }
}

/// Opens a stream after the last event of `buf`, which is empty, trying one endpoint after another
/// while they refuse.
async fn open(ex: &mut Exchange, buf: &EventBuffer) -> Result<UpstreamStream, OpenError> {
    loop {
        let slot = ex.acquire_slot().await.map_err(OpenError::Refused)?;
        let time_limit = ex.remaining().min(SILENCE_TIMEOUT);
        let attempts_left = ex.executions + 1 < ex.route.attempts;
        let send = upstream::send(ex, &slot, time_limit, buf.last_id());
        let given_up = async {
            if !ex.route.kind.is_retryable() || !attempts_left {
                future::pending().await
            }
            endpoint_ends::unreachable(ex, slot.key, slot.address).await;
            SendOutcome::MaybeExecuted(RequestOutcome::Silent)
        };
        match future::or(send, given_up).await {
            SendOutcome::Unopened(outcome) => {
                ex.record_unopened(slot, outcome);
                if !ex.can_send() || ex.remaining().is_zero() {
                    let refusal = ex.all_refused(RETRY_AFTER_REFUSALS);
                    return Err(OpenError::Refused(refusal));
                }
            }
            SendOutcome::NotExecuted(outcome) => {
                ex.record_attempt(slot, outcome);
                if !ex.can_send() || ex.remaining().is_zero() {
                    let refusal = ex.all_refused(RETRY_AFTER_REFUSALS);
                    return Err(OpenError::Refused(refusal));
                }
            }
            SendOutcome::MaybeExecuted(outcome) => {
                ex.executions += 1;
                ex.record_attempt(slot, outcome);
                return Err(OpenError::Interrupted);
            }
            SendOutcome::Response(response) if response.head.status.is_success() => {
                ex.executions += 1;
                let (buf, last_received) = (buf.clone(), ex.now());
                let charge = ex.buffers.charge(Length::Unknown);
                return Ok(UpstreamStream { slot, response, buf, charge, last_received });
            }
            SendOutcome::Response(response) => {
                ex.executions += 1;
                return Err(read_failure(ex, slot, response).await);
            }
        }
    }
}

/// Reads an endpoint's own error response; it is relayed unless another endpoint may serve.
async fn read_failure(
    ex: &mut Exchange,
    slot: Slot,
    mut response: Box<EndpointResponse>,
) -> OpenError {
    let body = match upstream::read_body(ex, &slot, &mut response).await {
        Ok(body) => body,
        Err(e) => {
            ex.record_attempt(slot, e.outcome());
            return OpenError::Interrupted;
        }
    };
    ex.record_attempt(slot, RequestOutcome::Failed);
    if response.is_failure() && ex.can_rerun() && ex.can_send() {
        response.reuse_connection();
        return OpenError::Interrupted;
    }
    OpenError::Final(Box::new(relayed::relay(ex, *response, body)))
}

/// Waits for the first item. An endpoint that cannot be reached any more is left in time for another
/// one.
async fn first_item(ex: &Exchange, source: &mut UpstreamStream) -> StreamItem {
    let (key, address) = (source.slot.key, source.slot.address);
    let given_up = async {
        if !ex.can_rerun() {
            future::pending().await
        }
        endpoint_ends::unreachable(ex, key, address).await;
        StreamItem::Interrupted(RequestOutcome::Silent)
    };
    future::or(next_item(ex, source), given_up).await
}

/// Waits for complete events, the end of the stream, or its interruption.
async fn next_item(ex: &Exchange, source: &mut UpstreamStream) -> StreamItem {
    loop {
        let mut events = BytesMut::new();
        let mut count = 0;
        loop {
            match source.buf.next_event() {
                Ok(Some(event)) => events.extend_from_slice(&event),
                Ok(None) => break,
                Err(e) => return broken_off(ex, source, &e.to_string()),
            }
            count += 1;
        }
        if count > 0 {
            let now = ex.now();
            let gap = now.saturating_duration_since(source.last_received);
            source.last_received = now;
            if source.slot.response_started() {
                source.slot.record_event_gap(gap / count);
            }
            source.slot.record_response_start();
            // It shrinks to the incomplete event, which cannot fail.
            let _ = source.charge.resize(source.buf.incomplete_len());
            return StreamItem::Events(events.freeze());
        }
        if source.buf.incomplete_len() > ex.gateway.cfg.event_bytes_max {
            return StreamItem::Interrupted(RequestOutcome::Broken);
        }
        // Bytes that complete no event do not count, so a stalled stream cannot keep itself open.
        let silence = ex.now().saturating_duration_since(source.last_received);
        let time_limit = SILENCE_TIMEOUT.saturating_sub(silence).min(ex.remaining());
        match timeout(time_limit, source.response.body.frame()).await {
            None => {
                source.response.discard_idle_connections();
                return StreamItem::Interrupted(RequestOutcome::Silent);
            }
            Some(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    // The buffer grows by doubling.
                    let bytes = 2 * (source.buf.incomplete_len() + data.len());
                    if source.charge.resize(bytes).is_err() {
                        ex.progress.answer_unbuffered.store(true, Ordering::Release);
                        return broken_off(ex, source, &BodyError::NoMemory.to_string());
                    }
                    source.buf.push(&data);
                }
            }
            Some(Some(Err(e))) => return broken_off(ex, source, &BodyError::Broken(e).to_string()),
            Some(None) => return stream_end(ex, source).await,
        }
    }
}

/// How a body that has ended leaves its stream. One that ends inside an event has been broken off,
/// unless it has its announced length, and so has one that ends with its connection before any event.
async fn stream_end(ex: &Exchange, source: &mut UpstreamStream) -> StreamItem {
    let framing = source.response.framing;
    let none_came = framing == BodyFraming::Close && source.buf.last_id().is_none();
    let inside_event = framing != BodyFraming::Length && source.buf.incomplete_len() > 0;
    if inside_event || none_came {
        return broken_off(ex, source, "ended inside an event or before the first one");
    }
    if !source.response.is_complete(ex, &source.slot).await {
        return broken_off(ex, source, &BodyError::EndpointEnded.to_string());
    }
    StreamItem::End(source.buf.take_remaining())
}

fn broken_off(ex: &Exchange, source: &UpstreamStream, cause: &str) -> StreamItem {
    let (framing, buf) = (source.response.framing, &source.buf);
    let incomplete = buf.incomplete_len();
    upstream::log_broken_response(ex, &source.slot, framing, buf.last_id(), incomplete, cause);
    StreamItem::Interrupted(RequestOutcome::Broken)
}

/// Builds the response: the head of the first upstream stream, and the events of all of them.
fn relay(mut ex: Exchange, source: UpstreamStream, first: StreamItem) -> Response<ResponseBody> {
    let status = source.response.head.status;
    let headers = ex.gateway.dialect.relay_headers(&source.response.head);
    ex.access_log.status = status.as_u16();
    ex.access_log.first_byte = Some(ex.now().saturating_duration_since(ex.arrived));
    let state = Relay {
        ex,
        source: Some(source),
        pending: Some(first),
        last_delivered: None,
        sound: false,
    };
    let frames = stream::unfold(state, |mut relay| async move {
        let frame = relay.next_frame().await?;
        Some((frame, relay))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A stream being relayed to its caller. It is dropped when the caller disconnects, which closes
/// the connection to the endpoint and so stops the work there.
struct Relay {
    ex: Exchange,
    source: Option<UpstreamStream>,
    pending: Option<StreamItem>,
    /// When the last event was passed to the caller.
    last_delivered: Option<Instant>,
    /// Whether the answer has turned out sound at the current endpoint.
    sound: bool,
}

impl Relay {
    /// The next frame for the caller: `None` at the end, an error if the stream cannot be resumed.
    async fn next_frame(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        loop {
            let item = match self.pending.take() {
                Some(item) => item,
                None => next_item(&self.ex, self.source.as_mut()?).await,
            };
            match item {
                StreamItem::Events(events) => {
                    self.record_event();
                    if !self.sound && self.source.as_ref().is_some_and(|s| s.slot.is_answering()) {
                        self.sound = true;
                        endpoint_ends::report_sound(&self.ex);
                    }
                    return Some(Ok(Frame::data(events)));
                }
                StreamItem::End(remaining) => {
                    let source = self.source.take()?;
                    self.ex.access_log.framing = Some(source.response.framing);
                    // A crash may look like the end of a connection that ends its stream.
                    if source.response.framing != BodyFraming::Close {
                        endpoint_ends::report_sound(&self.ex);
                    }
                    self.ex.record_attempt(source.slot, RequestOutcome::Whole);
                    source.response.reuse_connection();
                    self.ex.access_log.complete = true;
                    return (!remaining.is_empty()).then(|| Ok(Frame::data(remaining)));
                }
                StreamItem::Interrupted(outcome) => {
                    if !self.resume(outcome).await {
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

    /// Resumes the stream at another endpoint, after the last complete event. Returns false on
    /// failure.
    async fn resume(&mut self, outcome: RequestOutcome) -> bool {
        let Some(source) = self.source.take() else { return false };
        let empty = source.buf.to_resume();
        let interrupted_at = self.ex.now();
        self.ex.record_attempt(source.slot, outcome);
        while self.ex.can_rerun() {
            if self.ex.now().saturating_duration_since(interrupted_at) > RESUME_TIME_MAX {
                break;
            }
            match open(&mut self.ex, &empty).await {
                Ok(source) => {
                    self.source = Some(source);
                    self.sound = false;
                    return true;
                }
                Err(OpenError::Final(_)) => break,
                Err(OpenError::Refused(refusal)) if refusal.code == Code::PromptBlocked => break,
                Err(OpenError::Refused(_) | OpenError::Interrupted) => {
                    // Endpoints that refuse while their group re-forms may accept shortly after.
                    self.ex.tried.clear();
                    self.ex.unopened = 0;
                    sleep(RESUME_PAUSE).await;
                }
            }
        }
        self.ex.access_log.code = Some(Code::AnswerBroken);
        false
    }
}
