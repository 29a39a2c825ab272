//! [`serve_grpc`]: a generated service over HTTP/2.

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

/// How often a server asks whether a client is still there, to let go of dead connections.
const KEEP_ALIVE_SERVER: Duration = Duration::from_secs(20);
/// How often a client with calls under way asks whether the server is still there.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_millis(200);
/// How long it waits for the answer.
pub(crate) const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Flow-control window of one stream in bytes.
pub(crate) const STREAM_WINDOW: u32 = 1 << 20;
/// Flow-control window of one connection in bytes.
pub(crate) const CONNECTION_WINDOW: u32 = 1 << 23;
/// Longest time to flush what a stopping process has still to send.
const FLUSH_TIME: Duration = Duration::from_secs(2);
/// Streams that one connection may carry at once.
const STREAMS_MAX: u32 = 10_000;

/// Serves until the planned stop has let the last request end; answers the bound address.
///
/// New connections are taken even while stopping, so that peers can ask what became of attempts.
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
            let stopped = async {
                shutdown.drained().await;
                None
            };
            let accepted = async { Some(listener.accept().await) };
            match accepted.or(stopped).await {
                Some(Ok((stream, _))) => {
                    runtime.spawn(connection(
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

async fn connection<S>(rt: Runtime, stream: TcpStream, service: S, shutdown: Shutdown)
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
    // Without this a small message waits for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let call = service_fn(move |req: Request<Incoming>| service.clone().call(req));
    let mut builder = http2::Builder::new(SmolExecutor::new(rt));
    builder
        .timer(SmolTimer::new())
        .keep_alive_interval(Some(KEEP_ALIVE_SERVER))
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(STREAMS_MAX);
    let mut served = std::pin::pin!(builder.serve_connection(FuturesIo::new(stream), call));
    let open = shutdown.connection();
    let stopped = async {
        shutdown.drained().await;
        false
    };
    // A connection that breaks is the peer's to reopen; nothing here depends on how it ended.
    let ended = async {
        let _ = served.as_mut().await;
        true
    };
    if !ended.or(stopped).await {
        served.as_mut().graceful_shutdown();
        let _ = crate::timeout(FLUSH_TIME, served).await;
    }
    drop(open);
}
