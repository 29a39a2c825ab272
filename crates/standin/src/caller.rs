//! [`Caller`]: a caller of the system, who notes what it was given.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_net::TcpStream;
use bytes::Bytes;
use crocustally_net::Runtime;
use crocustally_net::timeout;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use serde_json::json;
use smol_hyper::rt::FuturesIo;

/// What a caller got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerResponse {
    /// HTTP status; 0 when none came.
    pub status: u16,
    /// The word on whether the request ran: `no`, `yes` or `unknown`; empty when none came.
    pub ran: String,
    /// The numbered code, or 0.
    pub code: u32,
    /// Body as far as it came.
    pub body: Bytes,
    /// Whether the body came to its end.
    pub complete: bool,
    /// Time to the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Time to the end.
    pub total_time: Duration,
}

impl CallerResponse {
    /// The numbered tokens of a streamed answer, in the order they came.
    pub fn tokens(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let contents = text.split("\"content\":\"").skip(1);
        let number = |c: &str| c.split(' ').next()?.rsplit('-').next()?.parse().ok();
        contents.filter_map(number).collect()
    }

    /// Whether it is the whole answer of `tokens` tokens, from `first` on, without gap or repeat.
    pub fn is_complete_stream(&self, first: u64, tokens: u64) -> bool {
        let ended = String::from_utf8_lossy(&self.body).trim_end().ends_with("data: [DONE]");
        let expected: Vec<u64> = (first..tokens).collect();
        self.status == 200 && self.complete && ended && self.tokens() == expected
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Bearer key of its workspace.
    pub key: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl CallerRequest {
    /// A streamed chat request for `tokens` tokens; equal `system` texts share a prompt prefix.
    pub fn chat(key: &str, system: &str, user: &str, tokens: u64) -> Self {
        let messages = json!([
            {"role": "system", "content": system},
            {"role": "user", "content": user},
        ]);
        let body = json!({"stream": true, "max_tokens": tokens, "messages": messages});
        Self {
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            key: key.to_owned(),
            headers: Vec::new(),
            body: body.to_string().into(),
        }
    }

    /// A booking that must run at most once under `idempotency_key`.
    pub fn booking(key: &str, idempotency_key: &str, text: &str) -> Self {
        Self {
            method: Method::POST,
            path: "/bookings".to_owned(),
            key: key.to_owned(),
            headers: vec![("idempotency-key".to_owned(), idempotency_key.to_owned())],
            body: json!({"booking": text}).to_string().into(),
        }
    }

    /// With one more header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// A caller with a connection to one address, which it reopens when it must.
pub struct Caller {
    rt: Runtime,
    address: SocketAddr,
    tx: Option<SendRequest<Full<Bytes>>>,
    patience: Duration,
}

impl Caller {
    /// A caller of `address`.
    pub fn new(rt: &Runtime, address: SocketAddr) -> Self {
        Self { rt: rt.clone(), address, tx: None, patience: Duration::from_secs(30) }
    }

    /// With another time after which it gives up.
    pub fn timeout(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Sends a request and takes what comes.
    pub async fn send(&mut self, req: &CallerRequest) -> CallerResponse {
        let begun = Instant::now();
        let mut answer = CallerResponse::default();
        let patience = self.patience;
        let whole = timeout(patience, self.exchange(req, begun, &mut answer)).await;
        if whole != Some(Some(())) {
            self.tx = None;
        }
        answer.total_time = begun.elapsed();
        answer
    }

    async fn exchange(
        &mut self,
        req: &CallerRequest,
        begun: Instant,
        answer: &mut CallerResponse,
    ) -> Option<()> {
        let mut builder = Request::builder()
            .method(req.method.clone())
            .uri(req.path.as_str())
            .header("host", "crocustally")
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", req.key));
        for (name, value) in &req.headers {
            builder = builder.header(name, value);
        }
        let http = builder.body(Full::new(req.body.clone())).ok()?;
        let tx = self.connection().await?;
        let response = tx.send_request(http).await.ok()?;
        answer.status = response.status().as_u16();
        let text = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
        answer.ran = text("x-crocustally-run").unwrap_or_default().to_owned();
        answer.code = text("x-crocustally-code").and_then(|v| v.parse().ok()).unwrap_or(0);
        read(response.into_body(), begun, answer).await
    }

    async fn connection(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        if self.tx.as_ref().is_some_and(|tx| !tx.is_ready()) {
            self.tx = None;
        }
        if self.tx.is_none() {
            let stream = TcpStream::connect(self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (mut tx, conn) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
            self.rt.spawn(async move {
                let _ = conn.await;
            });
            tx.ready().await.ok()?;
            self.tx = Some(tx);
        }
        self.tx.as_mut()
    }
}

async fn read(mut body: Incoming, begun: Instant, answer: &mut CallerResponse) -> Option<()> {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            answer.body = buf.into();
            return None;
        };
        if let Ok(data) = frame.into_data() {
            if buf.is_empty() {
                answer.time_to_first_byte = begun.elapsed();
            }
            buf.extend_from_slice(&data);
        }
    }
    answer.body = buf.into();
    answer.complete = true;
    Some(())
}
