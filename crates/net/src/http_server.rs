//! [`serve_http`]: an HTTP/1.1 server with limits and coded error responses.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpListener;
use async_net::TcpStream;
use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::Ran;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use crate::Runtime;
use crate::Shutdown;
use crate::coded_io::CodedIo;
use crate::coded_io::RUN_HEADER;
use crate::coded_io::raw_error_response;
use crate::connect::clear_reset_on_close;
use crate::connect::set_ack_timeout;
use crate::connect::set_reset_on_close;

/// The body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Connections of callers that acknowledge no data for this long are closed.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits on requests, and the behaviour of a server at errors and shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of the request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a caller must send the request head.
    pub header_timeout: Duration,
    /// Time within which a caller must send the request body.
    pub body_timeout: Duration,
    /// Whether error responses of the HTTP library itself get a numbered code.
    pub coded_errors: bool,
    /// Time after the shutdown is requested during which connections and requests are still
    /// accepted.
    pub drain_delay: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            coded_errors: true,
            drain_delay: Duration::ZERO,
        }
    }
}

/// A body from a complete buffer.
pub fn full_body(buf: impl Into<Bytes>) -> ResponseBody {
    Full::new(buf.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An error response with its numbered code; `ran` states whether the request was executed.
pub fn coded_response(code: Code, ran: Ran) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(coded_body(code, ran)));
    *response.status_mut() =
        hyper::StatusCode::from_u16(code.status()).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let run = hyper::header::HeaderValue::from_static(ran.as_str());
    headers.insert(RUN_HEADER, run);
    headers.insert("x-crocustally-code", code.number().into());
    let json = hyper::header::HeaderValue::from_static("application/json");
    headers.insert(hyper::header::CONTENT_TYPE, json);
    response
}

pub(crate) fn coded_body(code: Code, ran: Ran) -> String {
    let (number, text, ran) = (code.number(), code.text(), ran.as_str());
    format!("{{\"error\":{{\"code\":{number},\"message\":\"{text}\",\"run\":\"{ran}\"}}}}\n")
}

/// Starts serving requests by `handler` and returns the bound address.
///
/// At a shutdown, after [`HttpLimits::drain_delay`], no more connections are accepted, open
/// requests are completed and idle connections closed.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_http<H, F>(
    rt: &Runtime,
    address: SocketAddr,
    limits: HttpLimits,
    shutdown: &Shutdown,
    handler: H,
) -> std::io::Result<SocketAddr>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let (runtime, shutdown) = (rt.clone(), shutdown.clone());
    rt.spawn(async move {
        loop {
            let shutting_down = async {
                shutdown.wait_elapsed(limits.drain_delay).await;
                None
            };
            let accepted = async { Some(listener.accept().await) };
            match accepted.or(shutting_down).await {
                Some(Ok((stream, _))) => {
                    let conn = serve_connection(stream, limits, shutdown.clone(), handler.clone());
                    runtime.spawn(conn);
                }
                Some(Err(_)) => crate::sleep(Duration::from_millis(10)).await,
                None => return,
            }
        }
    });
    Ok(bound)
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: HttpLimits,
    shutdown: Shutdown,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    set_ack_timeout(&stream, CALLER_ACK_TIMEOUT);
    let mut raw = stream.clone();
    let _guard = shutdown.track_connection();
    let caller = stream.clone();
    let call = service_fn(move |req: Request<Incoming>| {
        // A body without a known length ends with its connection for these callers, so only a reset
        // tells one that was broken off from a whole one; also if this process is killed.
        if req.version() == Version::HTTP_10 {
            set_reset_on_close(&caller);
        }
        let response = handler(req);
        async move { Ok::<_, std::convert::Infallible>(response.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8 * 1024))
        .half_close(false);
    let io = CodedIo::new(FuturesIo::new(stream), limits.coded_errors);
    let mut serving = std::pin::pin!(builder.serve_connection(io, call));
    let shutting_down = async {
        shutdown.wait_elapsed(limits.drain_delay).await;
        None
    };
    let first = async { Some(serving.as_mut().await) }.or(shutting_down).await;
    let result = match first {
        Some(result) => result,
        None => {
            serving.as_mut().graceful_shutdown();
            serving.as_mut().await
        }
    };
    if result.is_ok() {
        clear_reset_on_close(&raw);
    }
    if limits.coded_errors && result.is_err_and(|e| e.is_timeout()) {
        let _ = raw.write_all(raw_error_response(Code::CallerTooSlow).as_bytes()).await;
        let _ = raw.close().await;
    }
}
