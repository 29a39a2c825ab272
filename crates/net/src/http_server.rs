//! [`serve_http`]: HTTP/1.1 for callers, with limits and coded refusals.

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
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use crate::Runtime;
use crate::Shutdown;
use crate::coded_io::CodedIo;
use crate::coded_io::RUN_HEADER;
use crate::coded_io::raw_refusal;
use crate::connect::set_ack_timeout;

/// An answer's body.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// A caller that acknowledges nothing for this long is gone.
const CALLER_SILENCE: Duration = Duration::from_secs(10);

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest header, all lines together, in bytes.
    pub header_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Longest time to send the header.
    pub header_timeout: Duration,
    /// Longest time to send the body.
    pub body_timeout: Duration,
    /// Whether the library's own refusals get a numbered code.
    pub coded_errors: bool,
    /// Time after a planned stop is asked for in which connections and requests are still taken.
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

/// A body that is whole already.
pub fn full_body(buf: impl Into<Bytes>) -> ResponseBody {
    Full::new(buf.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A refusal or failure with its number and a true word on whether the request ran.
pub fn coded_response(code: Code, ran: Ran) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(coded_body(code, ran)));
    *response.status_mut() =
        hyper::StatusCode::from_u16(code.status()).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let word = hyper::header::HeaderValue::from_static(ran.word());
    headers.insert(RUN_HEADER, word);
    headers.insert("x-crocustally-code", code.number().into());
    let json = hyper::header::HeaderValue::from_static("application/json");
    headers.insert(hyper::header::CONTENT_TYPE, json);
    response
}

pub(crate) fn coded_body(code: Code, ran: Ran) -> String {
    let (number, text, ran) = (code.number(), code.text(), ran.word());
    format!("{{\"error\":{{\"code\":{number},\"message\":\"{text}\",\"run\":\"{ran}\"}}}}\n")
}

/// Serves until the planned stop; answers the bound address.
///
/// While stopping, requests under way end whole; idle connections are closed.
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
            let stopped = async {
                shutdown.wait_elapsed(limits.drain_delay).await;
                None
            };
            let accepted = async { Some(listener.accept().await) };
            match accepted.or(stopped).await {
                Some(Ok((stream, _))) => {
                    let served = connection(stream, limits, shutdown.clone(), handler.clone());
                    runtime.spawn(served);
                }
                Some(Err(_)) => crate::sleep(Duration::from_millis(10)).await,
                None => return,
            }
        }
    });
    Ok(bound)
}

async fn connection<H, F>(stream: TcpStream, limits: HttpLimits, shutdown: Shutdown, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    set_ack_timeout(&stream, CALLER_SILENCE);
    let mut raw = stream.clone();
    let _guard = shutdown.track_connection();
    let call = service_fn(move |req: Request<Incoming>| {
        let answer = handler(req);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8 * 1024))
        .half_close(false);
    let io = CodedIo::new(FuturesIo::new(stream), limits.coded_errors);
    let mut served = std::pin::pin!(builder.serve_connection(io, call));
    let stopped = async {
        shutdown.wait_elapsed(limits.drain_delay).await;
        None
    };
    let first = async { Some(served.as_mut().await) }.or(stopped).await;
    let ended = match first {
        Some(ended) => ended,
        None => {
            served.as_mut().graceful_shutdown();
            served.as_mut().await
        }
    };
    if limits.coded_errors && ended.is_err_and(|e| e.is_timeout()) {
        let _ = raw.write_all(raw_refusal(Code::CallerTooSlow).as_bytes()).await;
        let _ = raw.close().await;
    }
}
