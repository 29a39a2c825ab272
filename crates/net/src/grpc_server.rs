//! [`serve_grpc`]: serves a generated gRPC service over HTTP/2.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpListener;
use async_net::TcpStream;
use futures_lite::FutureExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolExecutor;
use smol_hyper::rt::SmolTimer;
use tower_service::Service;

use crate::Runtime;
use crate::Shutdown;

/// Interval of the server's keep-alive pings, which detect dead clients so that their connections
/// are closed.
const SERVER_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);
/// Interval of a client's keep-alive pings while it has open calls.
pub(crate) const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(200);
/// Time to wait for the reply to a keep-alive ping before the connection is closed.
pub(crate) const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Initial flow-control window of one stream, in bytes.
pub(crate) const STREAM_WINDOW: u32 = 1 << 20;
/// Initial flow-control window of one connection, in bytes.
pub(crate) const CONNECTION_WINDOW: u32 = 1 << 23;
/// Timeout for flushing a connection's remaining output at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent streams of one connection.
const STREAMS_MAX: u32 = 10_000;

/// Starts serving `service` and returns the bound address.
///
/// It keeps accepting connections during a shutdown until the last request has completed, so that
/// peers can query the outcome of their attempts.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_grpc<S>(
    rt: &Runtime,
    address: SocketAddr,
    service: S,
    shutdown: &Shutdown,
) -> std::io::Result<SocketAddr>
where
    S: Service<
            Request<Incoming>,
            Response = Response<tonic::body::Body>,
            Error = Infallible,
            Future: Send,
        > + Clone
        + Send
        + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let (runtime, shutdown) = (rt.clone(), shutdown.clone());
    rt.spawn(async move {
        loop {
            let drained = async {
                shutdown.drained().await;
                None
            };
            let accepted = async { Some(listener.accept().await) };
            match accepted.or(drained).await {
                Some(Ok((stream, _))) => {
                    runtime.spawn(serve_connection(
                        runtime.clone(),
                        stream,
                        service.clone(),
                        shutdown.clone(),
                    ));
                }
                Some(Err(_)) => crate::sleep(Duration::from_millis(10)).await,
                None => return,
            }
        }
    });
    Ok(bound)
}

async fn serve_connection<S>(rt: Runtime, stream: TcpStream, service: S, shutdown: Shutdown)
where
    S: Service<
            Request<Incoming>,
            Response = Response<tonic::body::Body>,
            Error = Infallible,
            Future: Send,
        > + Clone
        + Send
        + 'static,
{
    // With Nagle's algorithm a small message waits for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let call = service_fn(move |req: Request<Incoming>| service.clone().call(req));
    let mut builder = http2::Builder::new(SmolExecutor::new(rt));
    builder
        .timer(SmolTimer::new())
        .keep_alive_interval(Some(SERVER_KEEP_ALIVE_INTERVAL))
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(STREAMS_MAX);
    let mut serving = std::pin::pin!(builder.serve_connection(FuturesIo::new(stream), call));
    let guard = shutdown.track_connection();
    let drained = async {
        shutdown.drained().await;
        false
    };
    // The error of a broken connection is ignored: the client reconnects if it needs to.
    let closed = async {
        let _ = serving.as_mut().await;
        true
    };
    if !closed.or(drained).await {
        serving.as_mut().graceful_shutdown();
        let _ = crate::timeout(FLUSH_TIMEOUT, serving).await;
    }
    drop(guard);
}
