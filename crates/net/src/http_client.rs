//! [`HttpClient`]: HTTP/1.1 to one engine or service.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use async_net::TcpStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol_hyper::rt::FuturesIo;

use crate::Runtime;
use crate::connect::set_ack_timeout;
use crate::connect::set_reset_on_close;
use crate::timeout;

/// How a client opens and keeps connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpClientSettings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time that an idle connection is kept.
    pub idle_timeout: Duration,
    /// A connection on which nothing is acknowledged for this long is given up.
    pub ack_timeout: Duration,
    /// Whether closing a connection discards what has not arrived yet, so that a request which
    /// nobody waits for is not delivered once a cut path is whole again.
    pub reset_on_close: bool,
}

impl Default for HttpClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1000),
            idle_timeout: Duration::from_secs(60),
            ack_timeout: Duration::from_secs(3),
            reset_on_close: false,
        }
    }
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum HttpError {
    /// No connection could be opened: not run.
    Unreachable,
    /// The connection closed before anything was sent: not run.
    NotSent,
    /// The connection broke after the request was sent: it may have run.
    Broken(hyper::Error),
}

/// A connection with an answer that is still to be read; dropping it closes the connection.
#[derive(Debug)]
pub struct HttpConnection {
    tx: SendRequest<Full<Bytes>>,
    /// Moves the bytes; without it the library goes on sending what nobody waits for.
    _io: Task<()>,
}

#[derive(Debug)]
struct Idle {
    conn: HttpConnection,
    until: Instant,
}

/// A client for one address, which keeps idle connections.
#[derive(Debug)]
pub struct HttpClient {
    rt: Runtime,
    address: SocketAddr,
    cfg: HttpClientSettings,
    idle: Mutex<Vec<Idle>>,
}

impl HttpClient {
    /// A client without connections yet.
    pub fn new(rt: &Runtime, address: SocketAddr) -> Self {
        Self::with_settings(rt, address, HttpClientSettings::default())
    }

    /// A client that opens and keeps connections as `cfg` says.
    pub fn with_settings(rt: &Runtime, address: SocketAddr, cfg: HttpClientSettings) -> Self {
        Self { rt: rt.clone(), address, cfg, idle: Mutex::new(Vec::new()) }
    }

    /// Sends a request over an idle connection, or a new one.
    ///
    /// With `fresh` it is always a new one: an idle connection may be closed by the other end at the
    /// very moment of sending, and then nobody can tell whether the request ran.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<(Response<Incoming>, HttpConnection), HttpError> {
        let mut req = req;
        if !fresh {
            while let Some(mut conn) = self.take_idle() {
                match conn.tx.try_send_request(req).await {
                    Ok(response) => return Ok((response, conn)),
                    Err(mut e) => match e.take_message() {
                        // The connection had closed before anything of the request was written.
                        Some(unsent) => req = unsent,
                        None => return Err(HttpError::Broken(e.into_error())),
                    },
                }
            }
        }
        let mut conn = self.connect().await?;
        match conn.tx.try_send_request(req).await {
            Ok(response) => Ok((response, conn)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(HttpError::NotSent),
                None => Err(HttpError::Broken(e.into_error())),
            },
        }
    }

    /// Whether the other end refuses new connections, so that nobody listens there any more.
    pub async fn refuses_connections(&self) -> bool {
        let connected = timeout(self.cfg.connect_timeout, TcpStream::connect(self.address)).await;
        connected.is_some_and(|c| c.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused))
    }

    /// Keeps a connection for later, once its answer has been read to the end.
    pub fn put_idle(&self, conn: HttpConnection) {
        self.put_idle_for(conn, self.cfg.idle_timeout);
    }

    /// Keeps a connection for at most `time`.
    pub fn put_idle_for(&self, conn: HttpConnection, time: Duration) {
        if conn.tx.is_closed() {
            return;
        }
        let until = Instant::now() + time.min(self.cfg.idle_timeout);
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(Idle { conn, until });
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|c| c.until > now && !c.conn.tx.is_closed());
        let ready = idle.iter().rposition(|c| c.conn.tx.is_ready())?;
        Some(idle.remove(ready).conn)
    }

    async fn connect(&self) -> Result<HttpConnection, HttpError> {
        let stream = timeout(self.cfg.connect_timeout, TcpStream::connect(self.address)).await;
        let stream = stream.and_then(Result::ok).ok_or(HttpError::Unreachable)?;
        let _ = stream.set_nodelay(true);
        set_ack_timeout(&stream, self.cfg.ack_timeout);
        if self.cfg.reset_on_close {
            set_reset_on_close(&stream);
        }
        let (mut tx, conn) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(|_| HttpError::Unreachable)?;
        let io = self.rt.spawn_task(async move {
            // How a connection ends shows in the request that it carried.
            let _ = conn.await;
        });
        tx.ready().await.map_err(|_| HttpError::Unreachable)?;
        Ok(HttpConnection { tx, _io: io })
    }
}
