//! [`serve_http`]: an HTTP/1.1 server with limits and coded error responses.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use async_net::TcpListener;
use async_net::TcpStream;
use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::Ran;
use futures_lite::AsyncReadExt;
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

use crate::ClientConnection;
use crate::ClientConnections;
use crate::Runtime;
use crate::Shutdown;
use crate::client_connections::OpenConnection;
use crate::client_io::ClientIo;
use crate::client_io::PacedBody;
use crate::coded_io::CodedIo;
use crate::coded_io::RUN_HEADER;
use crate::coded_io::raw_error_response;
use crate::connect::clear_reset_on_close;
use crate::connect::set_ack_timeout;
use crate::connect::set_reset_on_close;
use crate::connect::set_send_buffer;
use crate::executed_status;

/// The body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Connections of callers that acknowledge no data for this long are closed.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without progress of a client's connection after which it is closed. Callers that are cut off, and those that
/// wait as long as the longest route allows (8 s), have given up by then.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Send buffer of a connection in bytes, which the kernel doubles. Left to itself it grows to some MB; 36 streams that
/// nobody reads then took 4 s before they could be told from ones that are read. At a round trip of 10 ms it allows 25 MB/s.
const SEND_BUFFER: usize = 256 * 1024;
/// Interval at which connections without progress are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Sweeps between two log lines about closed connections.
const SWEEPS_PER_LOG_LINE: u32 = 8;
/// Pause before the next look for a free place while all connections wait for their responses.
const ROOM_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a closing server waits for the first request of a connection, whose client may have
/// connected just before the listener was closed.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Time for which a closing server goes on accepting the connections that wait in its listener's queue while
/// it has no free descriptor.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// Interval at which a closing server looks whether a connection is between two requests.
const CLOSING_INTERVAL: Duration = Duration::from_millis(10);
/// Time for a refusal to a client whose body has not ended, before its connection is closed.
const REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Time for which the rest of a refused body is read and dropped. Closing a connection with unread data resets it,
/// and the client may lose the refusal.
const LINGER_TIME: Duration = Duration::from_millis(250);
/// Most bytes that are dropped in that time: the longest body that policies allow. A body without end would
/// otherwise go on as fast as the link carries it.
const LINGER_BYTES_MAX: usize = 4 * 1024 * 1024;

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
    /// Maximum number of connections; one that is idle or makes no progress gives way to a new one.
    pub connections_max: usize,
    /// Time after which a connection is closed whose client neither sends the rest of a body nor takes a response.
    pub stall_timeout: Duration,
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
            connections_max: usize::MAX,
            stall_timeout: STALL_TIMEOUT,
            drain_delay: Duration::ZERO,
        }
    }
}

/// A body from a complete buffer.
pub fn full_body(buf: impl Into<Bytes>) -> ResponseBody {
    Full::new(buf.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An error response with its numbered code; `ran` states whether the request was executed.
///
/// The status is that of the code unless it promises that the request has not run and that is not so.
pub fn coded_response(code: Code, ran: Ran) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(coded_body(code, ran)));
    *response.status_mut() = match ran {
        Ran::No => {
            hyper::StatusCode::from_u16(code.status()).unwrap_or(hyper::StatusCode::BAD_GATEWAY)
        }
        Ran::Yes | Ran::Unknown => executed_status(code.status()),
    };
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
/// At a shutdown, once the stage of `shutdown` has begun and [`HttpLimits::drain_delay`] has passed,
/// the listener is closed. Connections that it has accepted until then are served: open requests are
/// completed, and idle connections closed.
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
    let conns = ClientConnections::new(limits.connections_max, limits.stall_timeout, None);
    serve_http_with(rt, address, limits, conns, shutdown, handler).await
}

/// As [`serve_http`], with connections that the caller has a part in: each request carries its
/// [`crate::ClientConnection`] as an extension.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_http_with<H, F>(
    rt: &Runtime,
    address: SocketAddr,
    limits: HttpLimits,
    conns: Arc<ClientConnections>,
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
    let listener_guard = shutdown.track_listener();
    rt.spawn(sweep(Arc::downgrade(&conns)));
    rt.spawn(async move {
        loop {
            let closing = async {
                closing(&shutdown, limits.drain_delay).await;
                None
            };
            // Connections that wait in the listener's queue are accepted before it is closed.
            let accepted = async { Some(listener.accept().await) };
            match accepted.or(closing).await {
                Some(Ok((stream, peer))) => {
                    wait_for_room(&conns).await;
                    let conn = conns.insert(peer.ip());
                    let guard = shutdown.track_connection();
                    let (shutdown, handler) = (shutdown.clone(), handler.clone());
                    runtime.spawn(async move {
                        serve_connection(stream, conn, limits, shutdown, handler).await;
                        drop(guard);
                    });
                }
                Some(Err(_)) => {
                    // Without a free descriptor, one has to be made free.
                    conns.make_room();
                    let due = limits.drain_delay + LAST_ACCEPT_TIME;
                    if shutdown.stage_has_begun() && shutdown.elapsed().is_some_and(|t| t > due) {
                        log::warn!("listener closed without a descriptor for its last connections");
                        break;
                    }
                    crate::sleep(ROOM_INTERVAL).await;
                }
                None => break,
            }
        }
        drop(listener);
        let address = bound.to_string();
        log::info!(address = address.as_str(), open = conns.len(); "listener closed");
        drop(listener_guard);
    });
    Ok(bound)
}

/// Completes when a server no longer accepts connections, and closes idle ones.
async fn closing(shutdown: &Shutdown, drain_delay: Duration) {
    shutdown.stage_begins().await;
    shutdown.wait_elapsed(drain_delay).await;
}

/// Waits until there is a place for one more connection.
async fn wait_for_room(conns: &ClientConnections) {
    while !conns.has_room() {
        conns.make_room();
        crate::sleep(ROOM_INTERVAL).await;
    }
}

/// Completes when a connection of a closing server may be closed between two requests: its client has
/// sent a first request or no part of one for [`FIRST_REQUEST_TIME`], and is not sending a head.
async fn between_requests(conn: &ClientConnection) {
    while conn.expects_request(FIRST_REQUEST_TIME) {
        crate::sleep(CLOSING_INTERVAL).await;
    }
}

/// Closes connections without progress until the server has ended.
async fn sweep(conns: Weak<ClientConnections>) {
    for n in 1u32.. {
        let slept_at = Instant::now();
        crate::sleep(SWEEP_INTERVAL).await;
        let Some(conns) = conns.upgrade() else { return };
        // After a pause of this process, bytes that have come meanwhile are read first.
        if slept_at.elapsed() < 2 * SWEEP_INTERVAL {
            conns.sweep();
        }
        if n.is_multiple_of(SWEEPS_PER_LOG_LINE) {
            conns.log_closed();
        }
    }
}

/// Completes when a connection has to give way. A client whose body is being read gets a response first.
async fn give_way(conn: &ClientConnection) {
    conn.closing().await;
    if conn.has_unread_body() {
        crate::sleep(REFUSAL_TIME).await;
    }
}

/// Lets a client read a refusal although it still sends a body.
async fn linger(mut stream: TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let drain = async {
        let mut buf = [0; 8 * 1024];
        let mut dropped = 0;
        while dropped < LINGER_BYTES_MAX {
            match stream.read(&mut buf).await {
                Ok(n) if n > 0 => dropped += n,
                _ => break,
            }
        }
    };
    let _ = crate::timeout(LINGER_TIME, drain).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    open: OpenConnection,
    limits: HttpLimits,
    shutdown: Shutdown,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    set_ack_timeout(&stream, CALLER_ACK_TIMEOUT);
    set_send_buffer(&stream, SEND_BUFFER);
    let mut raw = stream.clone();
    let (caller, conn) = (stream.clone(), open.conn.clone());
    let call = service_fn(move |mut req: Request<Incoming>| {
        // A body without a known length ends with its connection for these callers, so only a reset
        // tells one that was broken off from a whole one; also if this process is killed.
        if req.version() == Version::HTTP_10 {
            set_reset_on_close(&caller);
        }
        conn.begin_request();
        req.extensions_mut().insert(conn.clone());
        let (response, conn) = (handler(req), conn.clone());
        async move {
            let response = response.await;
            conn.begin_response();
            Ok::<_, std::convert::Infallible>(response.map(|body| PacedBody::new(body, conn)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8 * 1024))
        .half_close(false);
    let io =
        CodedIo::new(FuturesIo::new(ClientIo::new(stream, open.conn.clone())), limits.coded_errors);
    let mut serving = std::pin::pin!(builder.serve_connection(io, call));
    let served = async {
        let closing = async {
            closing(&shutdown, limits.drain_delay).await;
            between_requests(&open.conn).await;
            None
        };
        let first = async { Some(serving.as_mut().await) }.or(closing).await;
        match first {
            Some(result) => Some(result),
            None => {
                serving.as_mut().graceful_shutdown();
                Some(serving.as_mut().await)
            }
        }
    };
    let gave_way = async {
        give_way(&open.conn).await;
        None
    };
    let Some(result) = served.or(gave_way).await else { return };
    if open.conn.has_unread_body() {
        return linger(raw).await;
    }
    if result.is_ok() {
        clear_reset_on_close(&raw);
    }
    if limits.coded_errors && result.is_err_and(|e| e.is_timeout()) {
        let _ = raw.write_all(raw_error_response(Code::CallerTooSlow).as_bytes()).await;
        let _ = raw.close().await;
    }
}
