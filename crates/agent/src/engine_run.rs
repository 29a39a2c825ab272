//! [`EngineRun`]: one admitted attempt at the engine.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use bytes::Bytes;
use bytes::BytesMut;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::Ran;
use crocustally_core::agent::Attempt;
use crocustally_core::control::ServiceKind;
use crocustally_core::routing::Load;
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

/// Last event of a model's stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Largest answer that is not streamed, in bytes.
const WHOLE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// How an attempt ended.
enum Ended {
    /// Streamed to its end; the number is one past the last offset.
    Streamed(u64),
    /// Whole, not streamed.
    Whole { status: u16, content_type: String, body: Bytes },
    /// Refused before it ran.
    NotRun(Code),
    /// Broken off; it may have run.
    Broken(Code),
    /// The entry no longer listens, and the attempt may be cancelled.
    Cancelled,
}

/// A place at the engine, given back when it is dropped.
pub(crate) struct EngineRun {
    agent: Arc<Agent>,
    req: RunRequest,
    claimed: Option<Digest>,
    tx: Sender<RunPiece>,
    kept: Vec<RunPiece>,
    engine_start: u64,
    released: bool,
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        self.release();
    }
}

impl EngineRun {
    /// An attempt that has been admitted; `claimed` is set when it must run at most once.
    pub(crate) fn new(
        agent: Arc<Agent>,
        req: RunRequest,
        claimed: Option<Digest>,
        tx: Sender<RunPiece>,
    ) -> Self {
        let engine_start = agent.admission().engine_start();
        Self { agent, req, claimed, tx, kept: Vec::new(), engine_start, released: false }
    }

    /// Runs it to its end and says how it ended.
    pub(crate) async fn run(mut self) {
        let deadline = Duration::from_millis(u64::from(self.req.deadline_ms.max(1)));
        let ended = timeout(deadline, self.attempt()).await;
        let ended = ended.unwrap_or(Ended::Broken(Code::DeadlineOver));
        let died = matches!(ended, Ended::Broken(Code::EngineFailed)) && self.engine_died().await;
        self.release();
        let load = self.agent.load();
        let last = match ended {
            Ended::Streamed(count) => pieces::end(count, load),
            Ended::Whole { status, ref content_type, ref body } => {
                pieces::whole(status, content_type.clone(), body.clone(), load)
            }
            Ended::NotRun(code) => pieces::refusal(code, Ran::No, false, load),
            Ended::Broken(code) => {
                // A death is told apart from the next one by the start of the engine that died.
                let load = Load { engine_start: self.engine_start, ..load };
                pieces::refusal(code, Ran::Unknown, died, load)
            }
            Ended::Cancelled => return,
        };
        self.settle(&ended, &last);
        let _ = self.tx.send(last).await;
    }

    async fn attempt(&mut self) -> Ended {
        let Some(req) = self.engine_request() else { return Ended::NotRun(Code::MalformedBody) };
        let begun = self.agent.clock.now();
        let (response, tx) = match self.agent.client.send(req, self.claimed.is_some()).await {
            Ok(answered) => answered,
            Err(HttpError::NotSent | HttpError::Unreachable) => {
                // Whether it is down, or only had no room for one more connection, its health says.
                health::look(&self.agent).await;
                return Ended::NotRun(Code::EngineUnreachable);
            }
            Err(HttpError::Broken(_)) => return Ended::Broken(Code::EngineFailed),
        };
        let status = response.status().as_u16();
        let model = self.agent.cfg.kind == ServiceKind::Model;
        if model && status >= 500 {
            return Ended::Broken(Code::EngineFailed);
        }
        let ended = if is_stream(&response) {
            self.relay_events(response, begun).await
        } else {
            self.relay_whole(response, begun).await
        };
        if matches!(ended, Ended::Streamed(_) | Ended::Whole { .. }) {
            self.agent.client.put_idle(tx);
        }
        ended
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

    /// Passes events on as they come, numbered from the first one that the caller still needs.
    async fn relay_events(&mut self, response: Response<Incoming>, begun: Instant) -> Ended {
        let content_type = content_type(&response);
        let head = pieces::head(response.status().as_u16(), content_type, true);
        if !self.send(head).await {
            return Ended::Cancelled;
        }
        let mut body = response.into_body();
        let mut buf = BytesMut::new();
        let mut offset = self.req.resume_from;
        let mut done = false;
        let mut first = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Ended::Broken(Code::EngineFailed) };
            let Ok(chunk) = frame.into_data() else { continue };
            if first {
                self.note_first_byte(begun);
                first = false;
            }
            buf.extend_from_slice(&chunk);
            while let Some(event) = next_event(&mut buf) {
                done = event.starts_with(DONE_EVENT);
                if !self.send(pieces::data(offset, event)).await {
                    return Ended::Cancelled;
                }
                offset += 1;
            }
        }
        let whole = done && buf.is_empty();
        if whole { Ended::Streamed(offset) } else { Ended::Broken(Code::EngineFailed) }
    }

    /// Collects an answer that is not streamed.
    async fn relay_whole(&self, response: Response<Incoming>, begun: Instant) -> Ended {
        let content_type = content_type(&response);
        let status = response.status().as_u16();
        let limited = http_body_util::Limited::new(response.into_body(), WHOLE_BYTES_MAX);
        let Ok(body) = limited.collect().await else { return Ended::Broken(Code::EngineFailed) };
        if self.agent.cfg.kind == ServiceKind::Plain {
            self.note_first_byte(begun);
        }
        Ended::Whole { status, content_type, body: body.to_bytes() }
    }

    /// Passes a piece on; false when nobody listens and the attempt need not go on.
    async fn send(&mut self, piece: RunPiece) -> bool {
        if self.claimed.is_some() {
            self.kept.push(piece.clone());
            let _ = self.tx.send(piece).await;
            return true;
        }
        self.tx.send(piece).await.is_ok()
    }

    fn note_first_byte(&self, begun: Instant) {
        let now = self.agent.clock.now();
        self.agent.admission().first_byte(now, now.saturating_duration_since(begun));
    }

    /// Records a claimed attempt's end before anybody hears of it.
    fn settle(&mut self, ended: &Ended, last: &RunPiece) {
        let Some(id) = self.claimed else { return };
        if matches!(ended, Ended::NotRun(_)) {
            self.agent.attempts().end(id, Attempt::Refused);
        } else {
            self.agent.attempts().end(id, Attempt::Done);
        }
        self.kept.push(last.clone());
        let kept = std::mem::take(&mut self.kept);
        self.agent.answers().end(id, kept);
    }

    /// Whether the engine that ran the attempt is gone, not only the connection.
    async fn engine_died(&self) -> bool {
        match health::look(&self.agent).await {
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

/// Whether a piece ends an answer.
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

/// Network the next whole event, with its blank line, off the buffer.
fn next_event(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.windows(2).position(|w| w == b"\n\n")?;
    Some(buf.split_to(end + 2).freeze())
}
