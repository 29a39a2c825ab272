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
use crate::places::Place;
use crate::upstream;
use crate::upstream::Answer;
use crate::upstream::Sent;

/// A stream without an event for this long is given up: a group that has lost a rank stalls for
/// less and then says so.
const SILENCE: Duration = Duration::from_millis(2600);
/// Pause before a broken stream is tried again when nobody takes it.
const RESUME_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a broken stream is tried to be resumed; callers leave after about two seconds.
const RESUME_TIME: Duration = Duration::from_millis(2200);
/// Time that a refused caller is told to stay away after endpoints have refused its request.
const RETRY_AFTER_REFUSALS: Duration = Duration::from_millis(600);

/// An open stream from an endpoint.
struct Run {
    place: Place,
    answer: Box<Answer>,
    buf: EventBuffer,
    /// When the last bytes came.
    heard: Instant,
}

/// What came next.
enum Next {
    Events(Bytes),
    End(Bytes),
    Broken(Ended),
}

/// Why no stream was opened.
enum NotOpened {
    /// The caller gets this.
    Final(Box<Response<ResponseBody>>),
    /// It may be tried again.
    Refused(Refusal),
    /// It may have run, and broke.
    Broken,
}

/// Gets a stream from one endpoint, and goes on with another one where the route allows.
pub(crate) async fn serve(mut ex: Exchange) -> Response<ResponseBody> {
    let last_event = ex.meta.last_event_id;
    let mut again = false;
    loop {
        let mut run = match open(&mut ex, last_event, again).await {
            Ok(run) => run,
            Err(NotOpened::Final(response)) => return *response,
            Err(NotOpened::Refused(refusal)) => return ex.give_up(refusal),
            Err(NotOpened::Broken) if ex.may_run_again() && ex.may_send() => {
                again = true;
                continue;
            }
            Err(NotOpened::Broken) => return ex.fail(),
        };
        // The head goes out with the first event, so that until then another endpoint can serve.
        match next(&ex, &mut run).await {
            Next::Broken(ended) => {
                ex.finish(run.place, ended);
                if !ex.may_run_again() || !ex.may_send() {
                    return ex.fail();
                }
                again = true;
            }
            first => return relay(ex, run, first),
        }
    }
}

/// Opens a stream at one endpoint, trying others that refuse.
async fn open(ex: &mut Exchange, last_event: Option<u64>, again: bool) -> Result<Run, NotOpened> {
    let mut again = again;
    loop {
        let place = ex.place(again).await.map_err(NotOpened::Refused)?;
        again = true;
        let patience = ex.left().min(SILENCE);
        match upstream::send(ex, &place, patience, last_event).await {
            Sent::NotRun(ended) => {
                ex.finish(place, ended);
                if !ex.may_send() || ex.left().is_zero() {
                    let retry_after = RETRY_AFTER_REFUSALS;
                    let refusal = Refusal { code: Code::EndpointFull, retry_after };
                    return Err(NotOpened::Refused(refusal));
                }
            }
            Sent::Lost(ended) => {
                ex.runs += 1;
                ex.finish(place, ended);
                return Err(NotOpened::Broken);
            }
            Sent::Answer(answer) if answer.head.status.is_success() => {
                ex.runs += 1;
                let (buf, heard) = (EventBuffer::after(last_event), ex.now());
                return Ok(Run { place, answer, buf, heard });
            }
            Sent::Answer(answer) => {
                ex.runs += 1;
                return Err(failure(ex, place, answer).await);
            }
        }
    }
}

/// Reads an endpoint's own failure, which the caller gets unless another endpoint may serve.
async fn failure(ex: &mut Exchange, place: Place, mut answer: Box<Answer>) -> NotOpened {
    let left = ex.left();
    let body = timeout(left, upstream::read_whole(&mut answer.body)).await.flatten();
    let Some(body) = body else {
        ex.finish(place, Ended::Broken);
        return NotOpened::Broken;
    };
    ex.finish(place, Ended::Failed);
    if answer.head.status.is_server_error() && ex.may_run_again() && ex.may_send() {
        answer.keep();
        return NotOpened::Broken;
    }
    let mut response = Response::new(full_body(body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = ex.gateway.dialect.relay_headers(&answer.head);
    ex.trace.status = answer.head.status.as_u16();
    ex.trace.complete = true;
    answer.keep();
    NotOpened::Final(Box::new(response))
}

/// Waits for whole events, the end, or the break of a stream.
async fn next(ex: &Exchange, run: &mut Run) -> Next {
    loop {
        let mut events = BytesMut::new();
        let mut count = 0;
        while let Some(event) = run.buf.next_event() {
            events.extend_from_slice(&event);
            count += 1;
        }
        if count > 0 {
            let now = ex.now();
            let gap = now.saturating_duration_since(run.heard);
            run.heard = now;
            if run.place.has_begun() {
                run.place.event(gap / count);
            }
            run.place.began();
            return Next::Events(events.freeze());
        }
        let patience = SILENCE.min(ex.left());
        match timeout(patience, run.answer.body.frame()).await {
            None => return Next::Broken(Ended::Silent),
            Some(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    run.buf.push(&data);
                }
            }
            Some(Some(Err(_))) => return Next::Broken(Ended::Broken),
            Some(None) => return Next::End(run.buf.take_remaining()),
        }
    }
}

/// The answer to the caller: the head of the first run, and the events of all runs.
fn relay(mut ex: Exchange, run: Run, first: Next) -> Response<ResponseBody> {
    let head = &run.answer.head;
    let status = head.status;
    let headers = ex.gateway.dialect.relay_headers(head);
    ex.trace.status = status.as_u16();
    ex.trace.first = Some(ex.now().saturating_duration_since(ex.arrived));
    let state = Relay { ex, run: Some(run), pending: Some(first), delivered: None };
    let frames = stream::unfold(state, |mut relay| async move {
        let item = relay.frame().await?;
        Some((item, relay))
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
    run: Option<Run>,
    pending: Option<Next>,
    /// When the last event went to the caller.
    delivered: Option<Instant>,
}

impl Relay {
    /// The next piece for the caller; `None` at the end, an error when the stream breaks off.
    async fn frame(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        loop {
            let next = match self.pending.take() {
                Some(next) => next,
                None => next(&self.ex, self.run.as_mut()?).await,
            };
            match next {
                Next::Events(events) => {
                    self.note_event();
                    return Some(Ok(Frame::data(events)));
                }
                Next::End(rest) => {
                    let run = self.run.take()?;
                    self.ex.finish(run.place, Ended::Whole);
                    run.answer.keep();
                    self.ex.trace.complete = true;
                    return (!rest.is_empty()).then(|| Ok(Frame::data(rest)));
                }
                Next::Broken(ended) => {
                    if !self.resume(ended).await {
                        let e =
                            io::Error::new(io::ErrorKind::ConnectionAborted, "stream broke off");
                        return Some(Err(e));
                    }
                }
            }
        }
    }

    fn note_event(&mut self) {
        let now = self.ex.now();
        if let Some(last) = self.delivered.replace(now) {
            let gap = now.saturating_duration_since(last);
            self.ex.trace.gap = self.ex.trace.gap.max(gap);
        }
        self.ex.trace.events += 1;
    }

    /// Goes on after the last whole event with another run; false when nobody takes it.
    async fn resume(&mut self, ended: Ended) -> bool {
        let Some(run) = self.run.take() else { return false };
        let last = run.buf.last_id();
        let lost_at = self.ex.now();
        self.ex.finish(run.place, ended);
        while self.ex.may_run_again() {
            if self.ex.now().saturating_duration_since(lost_at) > RESUME_TIME {
                break;
            }
            match open(&mut self.ex, last, true).await {
                Ok(run) => {
                    self.run = Some(run);
                    return true;
                }
                Err(NotOpened::Final(_)) => break,
                Err(NotOpened::Refused(_) | NotOpened::Broken) => {
                    // Endpoints that refuse while their group forms again may serve a moment later.
                    self.ex.tried.clear();
                    sleep(RESUME_PAUSE).await;
                }
            }
        }
        self.ex.trace.code = Some(Code::AnswerBroken);
        false
    }
}
