//! [`EngineRun`]: the execution of one admitted attempt at the engine.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use bytes::Bytes;
use bytes::BytesMut;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::Ran;
use crocustally_core::agent::AttemptState;
use crocustally_core::control::ServiceKind;
use crocustally_core::routing::Load;
use crocustally_net::BodyFraming;
use crocustally_net::HttpError;
use crocustally_net::timeout;
use crocustally_wire::RunPiece;
use crocustally_wire::RunRequest;
use crocustally_wire::run_piece::Kind;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;

use crate::Agent;
use crate::health;
use crate::pieces;

/// Last event of a model's stream, without which the stream is incomplete.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Maximum body size of a response that is not streamed, in bytes.
const UNSTREAMED_BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Outcome of an attempt.
enum Outcome {
    /// The stream is complete; the number is one past the last offset.
    Streamed(u64),
    /// A complete response that is not streamed.
    Whole { status: u16, content_type: String, body: Bytes },
    /// Refused before it ran.
    NotRun(Code),
    /// Failed or timed out; it may have run.
    Failed(Code),
    /// The entry closed the stream of an attempt that may be cancelled.
    Cancelled,
}

/// An admitted attempt with its admission slot, which is released on drop at the latest.
pub(crate) struct EngineRun {
    agent: Arc<Agent>,
    req: RunRequest,
    attempt_id: Option<Digest>,
    tx: Sender<RunPiece>,
    recorded: Vec<RunPiece>,
    engine_start: u64,
    released: bool,
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        self.release();
    }
}

impl EngineRun {
    /// An attempt that has been admitted; `attempt_id` is set when it must run at most once.
    pub(crate) fn new(
        agent: Arc<Agent>,
        req: RunRequest,
        attempt_id: Option<Digest>,
        tx: Sender<RunPiece>,
    ) -> Self {
        let engine_start = agent.admission().engine_start();
        Self { agent, req, attempt_id, tx, recorded: Vec::new(), engine_start, released: false }
    }

    /// Runs the attempt and sends its outcome to the entry.
    pub(crate) async fn run(mut self) {
        let deadline = Duration::from_millis(u64::from(self.req.deadline_ms.max(1)));
        let outcome = timeout(deadline, self.execute()).await;
        let outcome = outcome.unwrap_or(Outcome::Failed(Code::DeadlineOver));
        let engine_died =
            matches!(outcome, Outcome::Failed(Code::EngineFailed)) && self.engine_died().await;
        self.release();
        let load = self.agent.load();
        let last = match outcome {
            Outcome::Streamed(count) => pieces::end(count, load),
            Outcome::Whole { status, ref content_type, ref body } => {
                pieces::whole(status, content_type.clone(), body.clone(), load)
            }
            Outcome::NotRun(code) => pieces::refusal(code, Ran::No, false, load),
            Outcome::Failed(code) => {
                // The start number of the failed engine distinguishes this crash from later ones.
                let load = Load { engine_start: self.engine_start, ..load };
                pieces::refusal(code, Ran::Unknown, engine_died, load)
            }
            Outcome::Cancelled => return,
        };
        self.record_outcome(&outcome, &last);
        let _ = self.tx.send(last).await;
    }

    async fn execute(&mut self) -> Outcome {
        let Some(req) = self.engine_request() else { return Outcome::NotRun(Code::MalformedBody) };
        let sent_at = self.agent.clock.now();
        let (response, tx) = match self.agent.client.send(req, self.attempt_id.is_some()).await {
            Ok(pair) => pair,
            Err(HttpError::NotSent | HttpError::Refused | HttpError::Unreachable) => {
                // The probe tells whether the engine is down or only refused another connection.
                health::probe(&self.agent).await;
                return Outcome::NotRun(Code::EngineUnreachable);
            }
            Err(HttpError::Broken { .. }) => return Outcome::Failed(Code::EngineFailed),
            Err(HttpError::InvalidStatus(number)) => {
                log::warn!(status = number; "the engine's response has an invalid status");
                return Outcome::Failed(Code::EngineFailed);
            }
        };
        let status = response.status().as_u16();
        let model = self.agent.cfg.kind == ServiceKind::Model;
        if model && status >= 500 {
            return Outcome::Failed(Code::EngineFailed);
        }
        let outcome = if is_stream(&response) {
            self.relay_stream(response, sent_at).await
        } else {
            self.relay_unstreamed(response, sent_at).await
        };
        if matches!(outcome, Outcome::Streamed(_) | Outcome::Whole { .. }) {
            self.agent.client.put_idle(tx);
        }
        outcome
    }

    fn engine_request(&self) -> Option<Request<Full<Bytes>>> {
        let r = &self.req;
        let mut builder = Request::builder()
            .method(r.method.as_str())
            .uri(r.path.as_str())
            .header("host", "engine")
            .header("x-priority", r.priority)
            .header("x-resume-from", r.resume_from);
        if !r.content_type.is_empty() {
            builder = builder.header(CONTENT_TYPE, r.content_type.as_str());
        }
        if !r.idempotency_key.is_empty() {
            builder = builder.header("idempotency-key", r.idempotency_key.as_str());
        }
        builder.body(Full::new(r.body.clone())).ok()
    }

    /// Relays events as they arrive, numbered from the first one that the caller still needs.
    async fn relay_stream(&mut self, response: Response<Incoming>, sent_at: Instant) -> Outcome {
        let content_type = content_type(&response);
        let head = pieces::head(response.status().as_u16(), content_type, true);
        if !self.send_piece(head).await {
            return Outcome::Cancelled;
        }
        let mut body = response.into_body();
        let mut buf = BytesMut::new();
        let mut offset = self.req.resume_from;
        let mut done = false;
        let mut awaiting_first_byte = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Outcome::Failed(Code::EngineFailed) };
            let Ok(chunk) = frame.into_data() else { continue };
            if awaiting_first_byte {
                self.record_first_byte(sent_at);
                awaiting_first_byte = false;
            }
            buf.extend_from_slice(&chunk);
            while let Some(event) = next_event(&mut buf) {
                done = event.starts_with(DONE_EVENT);
                if !self.send_piece(pieces::data(offset, event)).await {
                    return Outcome::Cancelled;
                }
                offset += 1;
            }
        }
        let complete = done && buf.is_empty();
        if complete { Outcome::Streamed(offset) } else { Outcome::Failed(Code::EngineFailed) }
    }

    /// Reads a response that is not streamed.
    async fn relay_unstreamed(&self, response: Response<Incoming>, sent_at: Instant) -> Outcome {
        let content_type = content_type(&response);
        let status = response.status().as_u16();
        let framing = BodyFraming::of(&response);
        let limited = http_body_util::Limited::new(response.into_body(), UNSTREAMED_BODY_BYTES_MAX);
        let Ok(body) = limited.collect().await else { return Outcome::Failed(Code::EngineFailed) };
        // The end of an engine's process closes a body in the same way as its own end.
        if framing == BodyFraming::Close && self.engine_died().await {
            return Outcome::Failed(Code::EngineFailed);
        }
        if self.agent.cfg.kind == ServiceKind::Plain {
            self.record_first_byte(sent_at);
        }
        Outcome::Whole { status, content_type, body: body.to_bytes() }
    }

    /// Sends a piece to the entry; false when the entry closed the stream and the attempt may be
    /// cancelled. A claimed attempt continues without a listener, and its pieces are recorded.
    async fn send_piece(&mut self, piece: RunPiece) -> bool {
        if self.attempt_id.is_some() {
            self.recorded.push(piece.clone());
            let _ = self.tx.send(piece).await;
            return true;
        }
        self.tx.send(piece).await.is_ok()
    }

    fn record_first_byte(&self, sent_at: Instant) {
        let now = self.agent.clock.now();
        self.agent.admission().record_first_byte(now, now.saturating_duration_since(sent_at));
    }

    /// Records the outcome of a claimed attempt, before it is sent to the entry.
    fn record_outcome(&mut self, outcome: &Outcome, last: &RunPiece) {
        let Some(id) = self.attempt_id else { return };
        if matches!(outcome, Outcome::NotRun(_)) {
            self.agent.attempts().finish(id, AttemptState::Refused);
        } else {
            self.agent.attempts().finish(id, AttemptState::Done);
        }
        self.recorded.push(last.clone());
        let recorded = std::mem::take(&mut self.recorded);
        self.agent.responses().complete(id, recorded);
    }

    /// Whether the engine has crashed or restarted, rather than only lost the connection.
    async fn engine_died(&self) -> bool {
        match health::probe(&self.agent).await {
            Some(h) => h.start != self.engine_start,
            None => true,
        }
    }

    fn release(&mut self) {
        if !self.released {
            self.released = true;
            self.agent.admission().release(self.req.suspect);
        }
    }
}

/// Whether a piece is the last one of a response.
pub(crate) fn is_last(piece: &RunPiece) -> bool {
    matches!(piece.kind, Some(Kind::End(_) | Kind::Refusal(_) | Kind::Whole(_)) | None)
}

fn is_stream(response: &Response<Incoming>) -> bool {
    content_type(response).starts_with("text/event-stream")
}

fn content_type(response: &Response<Incoming>) -> String {
    let value = response.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Splits the next complete event, including its blank line, off the buffer.
fn next_event(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.windows(2).position(|w| w == b"\n\n")?;
    Some(buf.split_to(end + 2).freeze())
}
