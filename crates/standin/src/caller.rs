//! [`Caller`]: an HTTP client of the system that records what it receives.

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

/// A response as the caller received it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerResponse {
    /// HTTP status; 0 when no response head arrived.
    pub status: u16,
    /// Value of the `x-crocustally-run` header: whether the request ran (`no`, `yes`, `unknown`).
    ///
    /// Empty when the header is missing.
    pub ran: String,
    /// Numbered code of the `x-crocustally-code` header; 0 when it is missing.
    pub code: u32,
    /// Body; incomplete when the connection broke, empty after a timeout.
    pub body: Bytes,
    /// Whether the whole body arrived.
    pub complete: bool,
    /// Time from sending the request to the first byte of the body; zero when none arrived.
    pub time_to_first_byte: Duration,
    /// Time from sending the request to the end of the body, the failure or the timeout.
    pub total_time: Duration,
}

impl CallerResponse {
    /// Numbers of the tokens of a streamed response, in the order they arrived.
    pub fn tokens(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let contents = text.split("\"content\":\"").skip(1);
        let number = |c: &str| c.split(' ').next()?.rsplit('-').next()?.parse().ok();
        contents.filter_map(number).collect()
    }

    /// Whether the response is a complete stream of the tokens `first..tokens`, without gap or
    /// repeat, up to its end marker.
    pub fn is_complete_stream(&self, first: u64, tokens: u64) -> bool {
        let has_end_marker =
            String::from_utf8_lossy(&self.body).trim_end().ends_with("data: [DONE]");
        let expected: Vec<u64> = (first..tokens).collect();
        self.status == 200 && self.complete && has_end_marker && self.tokens() == expected
    }
}

/// A request that a [`Caller`] sends.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path of the request target.
    pub path: String,
    /// Bearer key of the workspace.
    pub key: String,
    /// Headers besides the host, the content type and the bearer key.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
}

impl CallerRequest {
    /// Creates a streamed chat request for `tokens` tokens.
    ///
    /// Requests with the same `system` text share a prompt prefix.
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

    /// Creates a booking, which runs at most once under `idempotency_key`.
    pub fn booking(key: &str, idempotency_key: &str, text: &str) -> Self {
        Self {
            method: Method::POST,
            path: "/bookings".to_owned(),
            key: key.to_owned(),
            headers: vec![("idempotency-key".to_owned(), idempotency_key.to_owned())],
            body: json!({"booking": text}).to_string().into(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// An HTTP client with one connection to one address, reopened after a failure.
pub struct Caller {
    rt: Runtime,
    address: SocketAddr,
    tx: Option<SendRequest<Full<Bytes>>>,
    timeout: Duration,
}

impl Caller {
    /// Creates a caller of `address` with a request timeout of 30 s.
    pub fn new(rt: &Runtime, address: SocketAddr) -> Self {
        Self { rt: rt.clone(), address, tx: None, timeout: Duration::from_secs(30) }
    }

    /// Sets the request timeout.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a request and waits for the end of the response, a failure or the timeout.
    pub async fn send(&mut self, req: &CallerRequest) -> CallerResponse {
        let started_at = Instant::now();
        let mut response = CallerResponse::default();
        let limit = self.timeout;
        let outcome = timeout(limit, self.exchange(req, started_at, &mut response)).await;
        if outcome != Some(Some(())) {
            self.tx = None;
        }
        response.total_time = started_at.elapsed();
        response
    }

    async fn exchange(
        &mut self,
        req: &CallerRequest,
        started_at: Instant,
        response: &mut CallerResponse,
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
        let http_request = builder.body(Full::new(req.body.clone())).ok()?;
        let tx = self.connection().await?;
        let http_response = tx.send_request(http_request).await.ok()?;
        response.status = http_response.status().as_u16();
        let header = |name: &str| http_response.headers().get(name).and_then(|v| v.to_str().ok());
        response.ran = header("x-crocustally-run").unwrap_or_default().to_owned();
        response.code = header("x-crocustally-code").and_then(|v| v.parse().ok()).unwrap_or(0);
        read_body(http_response.into_body(), started_at, response).await
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

async fn read_body(
    mut body: Incoming,
    started_at: Instant,
    response: &mut CallerResponse,
) -> Option<()> {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            response.body = buf.into();
            return None;
        };
        if let Ok(data) = frame.into_data() {
            if buf.is_empty() {
                response.time_to_first_byte = started_at.elapsed();
            }
            buf.extend_from_slice(&data);
        }
    }
    response.body = buf.into();
    response.complete = true;
    Some(())
}
