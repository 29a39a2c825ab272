//! [`serve_grpc`]: serves a generated gRPC service over HTTP/2.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_net::TcpListener;
use async_net::TcpStream;
use futures_lite::FutureExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use rustix::process::Resource;
use rustix::process::getrlimit;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolExecutor;
use smol_hyper::rt::SmolTimer;
use tonic::body::Body;
use tower_service::Service;

use crate::BufferBudget;
use crate::Runtime;
use crate::Shutdown;
use crate::ShutdownStage;
use crate::metered_body::GuardedBody;
use crate::metered_body::MeteredBody;
use crate::peer_connections::PeerConnection;
use crate::peer_connections::PeerConnections;

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
/// Time in which a connection must make its first call. Clients connect for a call.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Part of a process's descriptors for connections of peers: one in this many. The others are for
/// callers, files and connections that the process opens itself.
const DESCRIPTOR_SHARE: usize = 4;
/// Bound on the connections of peers of a process without a limit on its descriptors.
const CONNECTIONS_UNLIMITED: usize = 16 * 1024;

/// Limits of a gRPC server.
#[derive(Clone, Debug)]
pub struct GrpcLimits {
    /// Open connections.
    pub connections: usize,
    /// Memory for messages that are being received.
    pub budget: BufferBudget,
}

impl GrpcLimits {
    /// The default number of connections: a quarter of the descriptors that the process may open.
    pub fn default_connections() -> usize {
        let descriptors = getrlimit(Resource::Nofile).current.and_then(|n| usize::try_from(n).ok());
        descriptors.map_or(CONNECTIONS_UNLIMITED, |n| n / DESCRIPTOR_SHARE).max(1)
    }
}

impl Default for GrpcLimits {
    fn default() -> Self {
        Self { connections: Self::default_connections(), budget: BufferBudget::unbounded() }
    }
}

/// Starts serving `service` with the default limits and returns the bound address.
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
    S: Service<Request<Body>, Response = Response<Body>, Error = Infallible, Future: Send>
        + Clone
        + Send
        + 'static,
{
    serve_grpc_within(rt, address, GrpcLimits::default(), service, shutdown).await
}

/// Starts serving `service` within `limits` and returns the bound address.
///
/// It keeps accepting connections during a shutdown until [`ShutdownStage::Peers`] begins, so that peers
/// can query the outcome of their attempts.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_grpc_within<S>(
    rt: &Runtime,
    address: SocketAddr,
    limits: GrpcLimits,
    service: S,
    shutdown: &Shutdown,
) -> std::io::Result<SocketAddr>
where
    S: Service<Request<Body>, Response = Response<Body>, Error = Infallible, Future: Send>
        + Clone
        + Send
        + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let (runtime, shutdown) = (rt.clone(), shutdown.in_stage(ShutdownStage::Peers));
    let listener_guard = shutdown.track_listener();
    let connections = PeerConnections::new(limits.connections);
    rt.spawn(async move {
        loop {
            let closing = async {
                shutdown.stage_begins().await;
                None
            };
            let accepted = async { Some(listener.accept().await) };
            match accepted.or(closing).await {
                Some(Ok((stream, from))) => {
                    let Some(conn) = connections.add() else {
                        let from = from.ip().to_string();
                        log::warn!(from = from.as_str(); "connection of a peer refused: too many");
                        metrics::counter!("crocustally_peer_connections_refused").increment(1);
                        continue;
                    };
                    let guard = shutdown.track_connection();
                    let serving = serve_connection(
                        runtime.clone(),
                        stream,
                        Arc::new(conn),
                        limits.budget.clone(),
                        service.clone(),
                        shutdown.clone(),
                    );
                    runtime.spawn(async move {
                        serving.await;
                        drop(guard);
                    });
                    // New connections may be evicted soon, so their first calls are read before that.
                    futures_lite::future::yield_now().await;
                }
                // Without a free descriptor, the connections in the queue are not waited for.
                Some(Err(_)) if shutdown.stage_has_begun() => break,
                Some(Err(_)) => crate::sleep(Duration::from_millis(10)).await,
                None => break,
            }
        }
        drop(listener);
        drop(listener_guard);
    });
    Ok(bound)
}

async fn serve_connection<S>(
    rt: Runtime,
    stream: TcpStream,
    conn: Arc<PeerConnection>,
    budget: BufferBudget,
    service: S,
    shutdown: Shutdown,
) where
    S: Service<Request<Body>, Response = Response<Body>, Error = Infallible, Future: Send>
        + Clone
        + Send
        + 'static,
{
    // With Nagle's algorithm a small message waits for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let calls = conn.clone();
    let call = service_fn(move |req: Request<Incoming>| {
        let guard = calls.start_call();
        let req = req.map(|body| Body::new(MeteredBody::new(body, &budget)));
        let response = service.clone().call(req);
        async move {
            let response = response.await?;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let mut builder = http2::Builder::new(SmolExecutor::new(rt));
    builder
        .timer(SmolTimer::new())
        .keep_alive_interval(Some(SERVER_KEEP_ALIVE_INTERVAL))
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(STREAMS_MAX);
    let mut serving = std::pin::pin!(builder.serve_connection(FuturesIo::new(stream), call));
    let drained = async {
        shutdown.stage_begins().await;
        End::Drained
    };
    // The error of a broken connection is ignored: the client reconnects if it needs to.
    let closed = async {
        let _ = serving.as_mut().await;
        End::Closed
    };
    let evicted = async {
        conn.evicted().await;
        End::Evicted
    };
    let unused = async {
        crate::sleep(FIRST_CALL_TIMEOUT).await;
        if conn.is_used() {
            futures_lite::future::pending::<()>().await;
        }
        End::Evicted
    };
    match closed.or(drained).or(evicted).or(unused).await {
        End::Closed => {}
        End::Drained => {
            serving.as_mut().graceful_shutdown();
            let _ = crate::timeout(FLUSH_TIMEOUT, serving).await;
        }
        End::Evicted => {
            metrics::counter!("crocustally_peer_connections_evicted").increment(1);
            log::debug!("idle connection of a peer closed");
            // A call that has arrived since then is completed.
            if conn.has_calls() {
                serving.as_mut().graceful_shutdown();
                let _ = crate::timeout(FLUSH_TIMEOUT, serving).await;
            }
        }
    }
}

/// Why a connection is no longer served.
enum End {
    /// The client closed it, or it broke.
    Closed,
    /// The process has served its last caller.
    Drained,
    /// It had no open call and gave way to another one, or never made a call.
    Evicted,
}
