//! One send to an endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::dispatch::Ended;
use crocustally_net::HttpClient;
use crocustally_net::HttpConnection;
use crocustally_net::HttpError;
use crocustally_net::timeout;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::http::uri::PathAndQuery;

use crate::AnswerHead;
use crate::Forward;
use crate::exchange::Exchange;
use crate::places::Place;

/// Share of the time for which an endpoint keeps an idle connection that it is used again.
const KEEP_SHARE: f64 = 0.7;

/// An endpoint's answer whose body is still to be read.
pub(crate) struct Answer {
    pub(crate) head: response::Parts,
    pub(crate) meta: AnswerHead,
    pub(crate) body: Incoming,
    client: Arc<HttpClient>,
    conn: HttpConnection,
}

impl Answer {
    /// Keeps the connection, once the body has been read to its end.
    pub(crate) fn keep(self) {
        if self.meta.closes {
            return;
        }
        match self.meta.keep {
            Some(time) => self.client.put_idle_for(self.conn, time.mul_f64(KEEP_SHARE)),
            None => self.client.put_idle(self.conn),
        }
    }
}

/// What came of a send.
pub(crate) enum Sent {
    /// An answer to this request.
    Answer(Box<Answer>),
    /// The endpoint did not run the request.
    NotRun(Ended),
    /// It may have run.
    Lost(Ended),
}

/// Sends the request to the endpoint of `place` and waits for the head of the answer.
pub(crate) async fn send(
    ex: &Exchange,
    place: &Place,
    patience: Duration,
    last_event: Option<u64>,
) -> Sent {
    let forward = Forward {
        endpoint: &place.endpoint,
        workspace: ex.workspace.as_deref(),
        patience: ex.left(),
        last_event,
    };
    let mut req = Request::new(Full::new(ex.body.clone()));
    *req.method_mut() = ex.head.method.clone();
    let path = ex.head.uri.path_and_query().cloned();
    *req.uri_mut() = path.unwrap_or_else(|| PathAndQuery::from_static("/")).into();
    *req.headers_mut() = ex.gateway.dialect.forward(&ex.head, &forward);
    let client = ex.gateway.client(place.address);
    // A kept connection may break at the moment of sending, and nobody could tell whether the
    // request ran.
    let fresh = !ex.route.kind.repeatable();
    let (answer, conn) = match timeout(patience, client.send(req, fresh)).await {
        None => return Sent::Lost(Ended::Silent),
        Some(Err(HttpError::Unreachable)) => return Sent::NotRun(Ended::Unreachable),
        Some(Err(HttpError::NotSent)) => return Sent::NotRun(Ended::Unused),
        Some(Err(HttpError::Broken(_))) => return Sent::Lost(Ended::Broken),
        Some(Ok(answer)) => answer,
    };
    let (head, body) = answer.into_parts();
    let meta = ex.gateway.dialect.answer(&head);
    let other = meta.id.as_ref().is_some_and(|id| *id != ex.meta.id);
    if other || meta.encoded {
        return Sent::Lost(Ended::Broken);
    }
    if meta.not_run {
        let answer = Answer { head, meta, body, client, conn };
        return not_run(answer).await;
    }
    if head.status.is_success() && (!meta.signed || meta.id.is_none()) {
        return Sent::Lost(Ended::Broken);
    }
    Sent::Answer(Box::new(Answer { head, meta, body, client, conn }))
}

/// Reads a refusal to its end, so that the connection can be used again.
async fn not_run(mut answer: Answer) -> Sent {
    let ended = if answer.meta.other_endpoint { Ended::Unreachable } else { Ended::Refused };
    if timeout(REFUSAL_BODY_TIME, drain(&mut answer.body)).await == Some(true) {
        answer.keep();
    }
    Sent::NotRun(ended)
}

/// Longest time to read the body of a refusal.
const REFUSAL_BODY_TIME: Duration = Duration::from_millis(20);

async fn drain(body: &mut Incoming) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}

/// Reads a whole body; `None` when it broke off.
pub(crate) async fn read_whole(body: &mut Incoming) -> Option<Bytes> {
    body.collect().await.ok().map(|b| b.to_bytes())
}
