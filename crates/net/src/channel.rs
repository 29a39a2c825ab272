//! [`Channel`]: a gRPC connection to another process that reconnects on demand.

use std::future::Future;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_lock::Mutex;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolExecutor;
use smol_hyper::rt::SmolTimer;
use tonic::body::Body;
use tower_service::Service;

use crate::Runtime;
use crate::connect::connect_from;
use crate::grpc_server::CONNECTION_WINDOW;
use crate::grpc_server::KEEP_ALIVE_INTERVAL;
use crate::grpc_server::KEEP_ALIVE_TIMEOUT;
use crate::grpc_server::STREAM_WINDOW;
use crate::timeout;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a call failed in transport.
#[derive(Debug)]
pub enum ChannelError {
    /// No connection could be opened; nothing was sent.
    NotConnected,
    /// The connection broke; the server may have received the call.
    Broken(hyper::Error),
}

impl std::fmt::Display for ChannelError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotConnected => f.write_str("no connection"),
            Self::Broken(e) => write!(f, "connection broke: {e}"),
        }
    }
}

impl std::error::Error for ChannelError {}

/// A client channel to one address over one HTTP/2 connection, with keep-alive pings from both
/// ends.
///
/// While calls are open, a connection without replies to pings is closed after at most
/// `KEEP_ALIVE_INTERVAL` plus `KEEP_ALIVE_TIMEOUT`: its calls fail, and the next call connects
/// again. The client sends no pings on an idle connection. [`Channel::with_new_connection`] returns
/// a channel that does not share the connection, to query the outcome of a call whose connection
/// may be dead.
#[derive(Clone, Debug)]
pub struct Channel {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    rt: Runtime,
    address: SocketAddr,
    source: Option<IpAddr>,
    connected: Mutex<Option<SendRequest<Body>>>,
}

impl Channel {
    /// Creates a channel that connects on its first call.
    pub fn new(rt: &Runtime, address: SocketAddr) -> Self {
        Self::with_source(rt, address, None)
    }

    /// Creates a channel that binds its connections to the local address `source`, for instances
    /// with several addresses.
    pub fn with_source(rt: &Runtime, address: SocketAddr, source: Option<IpAddr>) -> Self {
        let inner = Inner { rt: rt.clone(), address, source, connected: Mutex::new(None) };
        Self { inner: Arc::new(inner) }
    }

    /// Returns a channel to the same address that opens a connection of its own.
    pub fn with_new_connection(&self) -> Self {
        Self::with_source(&self.inner.rt, self.inner.address, self.inner.source)
    }

    /// Returns the origin URI that generated clients require.
    pub fn origin(&self) -> Uri {
        let text = format!("http://{}", self.inner.address);
        text.parse().unwrap_or_else(|_| Uri::from_static("http://127.0.0.1"))
    }

    async fn connected_sender(&self) -> Result<SendRequest<Body>, ChannelError> {
        let mut connected = self.inner.connected.lock().await;
        if let Some(tx) = connected.as_ref()
            && !tx.is_closed()
        {
            return Ok(tx.clone());
        }
        *connected = None;
        let tx = timeout(CONNECT_TIMEOUT, self.connect()).await;
        let tx = tx.unwrap_or(Err(ChannelError::NotConnected))?;
        *connected = Some(tx.clone());
        Ok(tx)
    }

    async fn connect(&self) -> Result<SendRequest<Body>, ChannelError> {
        let stream = connect_from(self.inner.address, self.inner.source).await;
        let stream = stream.map_err(|_| ChannelError::NotConnected)?;
        let _ = stream.set_nodelay(true);
        let rt = &self.inner.rt;
        let mut builder = http2::Builder::new(SmolExecutor::new(rt.clone()));
        builder
            .timer(SmolTimer::new())
            .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW);
        let (tx, conn) = builder
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|_| ChannelError::NotConnected)?;
        rt.spawn(async move {
            let _ = conn.await;
        });
        Ok(tx)
    }
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = ChannelError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, ChannelError>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), ChannelError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Body>) -> Self::Future {
        let this = self.clone();
        Box::pin(async move {
            let mut tx = this.connected_sender().await?;
            tx.send_request(req).await.map_err(ChannelError::Broken)
        })
    }
}
