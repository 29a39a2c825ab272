//! [`HttpClient`]: HTTP/1.1 to one engine or service.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

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
use crate::connect::set_silence;
use crate::timeout;

/// How a client opens and keeps connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpClientSettings {
    /// Longest time to open a connection.
    pub connect_time: Duration,
    /// Longest time that an idle connection is kept.
    pub idle_time: Duration,
    /// A connection on which nothing is acknowledged for this long is given up.
    pub silence: Duration,
}

impl Default for HttpClientSettings {
    fn default() -> Self {
        Self {
            connect_time: Duration::from_millis(1000),
            idle_time: Duration::from_secs(60),
            silence: Duration::from_secs(3),
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

/// A connection with an answer that is still to be read.
pub type HttpConnection = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    tx: HttpConnection,
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
            while let Some(mut tx) = self.take_idle() {
                match tx.try_send_request(req).await {
                    Ok(response) => return Ok((response, tx)),
                    Err(mut e) => match e.take_message() {
                        // The connection had closed before anything of the request was written.
                        Some(unsent) => req = unsent,
                        None => return Err(HttpError::Broken(e.into_error())),
                    },
                }
            }
        }
        let mut tx = self.connect().await?;
        match tx.try_send_request(req).await {
            Ok(response) => Ok((response, tx)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(HttpError::NotSent),
                None => Err(HttpError::Broken(e.into_error())),
            },
        }
    }

    /// Keeps a connection for later, once its answer has been read to the end.
    pub fn keep(&self, tx: HttpConnection) {
        self.keep_for(tx, self.cfg.idle_time);
    }

    /// Keeps a connection for at most `time`.
    pub fn keep_for(&self, tx: HttpConnection, time: Duration) {
        if tx.is_closed() {
            return;
        }
        let until = Instant::now() + time.min(self.cfg.idle_time);
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(Idle { tx, until });
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|c| c.until > now && !c.tx.is_closed());
        let ready = idle.iter().rposition(|c| c.tx.is_ready())?;
        Some(idle.remove(ready).tx)
    }

    async fn connect(&self) -> Result<HttpConnection, HttpError> {
        let stream = timeout(self.cfg.connect_time, TcpStream::connect(self.address)).await;
        let stream = stream.and_then(Result::ok).ok_or(HttpError::Unreachable)?;
        let _ = stream.set_nodelay(true);
        set_silence(&stream, self.cfg.silence);
        let (mut tx, conn) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(|_| HttpError::Unreachable)?;
        self.rt.spawn(async move {
            let _ = conn.await;
        });
        tx.ready().await.map_err(|_| HttpError::Unreachable)?;
        Ok(tx)
    }
}
