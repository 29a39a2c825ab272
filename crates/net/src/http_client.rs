//! [`HttpClient`]: an HTTP/1.1 client of one engine or service.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use async_net::TcpStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use rustix::io::Errno;
use smol_hyper::rt::FuturesIo;

use crate::Runtime;
use crate::connect::set_ack_timeout;
use crate::connect::set_reset_on_close;
use crate::final_status;
use crate::sleep;
use crate::timeout;
use crate::yielding_io::YieldingIo;

/// Largest read buffer of a connection in bytes, and so the longest head of a response. A process with
/// some thousand connections has to hold one for each.
const READ_BUFFER_MAX: usize = 16 * 1024;

/// Interim responses (1xx) that may come before the response to one request; servers send one or two.
const INTERIM_RESPONSES_MAX: u32 = 16;

/// Timeouts and socket options of a client's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpClientSettings {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum time that an idle connection is kept in the pool.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections that are kept; the oldest is closed for a newer one.
    pub idle_max: usize,
    /// How a connection is given up that the server no longer acknowledges.
    pub abandonment: Abandonment,
}

/// How a connection is given up that the server no longer acknowledges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Abandonment {
    /// The kernel closes it after this time, during a request or between two.
    KernelTimeout(Duration),
    /// Only its owner closes it, with a reset that discards undelivered data, so that a request
    /// that was given up is not delivered after a network partition heals. A connection that the
    /// kernel has given up can no longer be reset.
    OwnerReset,
}

impl Default for HttpClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1000),
            idle_timeout: Duration::from_secs(60),
            idle_max: usize::MAX,
            abandonment: Abandonment::KernelTimeout(Duration::from_secs(3)),
        }
    }
}

/// What an address does with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCheck {
    /// Something listens on it.
    Accepts,
    /// No process listens on it.
    Refuses,
    /// It does not respond, or the network reports an error.
    Silent,
}

/// Why a request got no response.
#[derive(Debug)]
pub enum HttpError {
    /// No process listens at the address; the request was not executed.
    Refused,
    /// No connection could be opened; the request was not executed.
    Unreachable,
    /// The connection closed before anything was sent; the request was not executed.
    NotSent,
    /// The connection broke after the request was sent; it may have been executed.
    Broken {
        /// Error of the connection.
        cause: hyper::Error,
        /// How long the connection had been idle before the request; `None` if it was new.
        idle: Option<Duration>,
    },
    /// The response has this number in place of a status; the request may have been executed.
    InvalidStatus(u16),
}

/// The connection of a response whose body may still be unread; dropping it closes the connection.
#[derive(Debug)]
pub struct HttpConnection {
    tx: SendRequest<Full<Bytes>>,
    /// Number of responses that have come over the connection.
    responses: u64,
    /// Set once the server has sent too many interim responses; ends the connection.
    broken: Arc<AtomicBool>,
    /// Drives the connection. It is cancelled on drop; a detached task would go on sending a
    /// cancelled request.
    _io: Task<()>,
}

impl HttpConnection {
    /// Whether the last response was the first one on the connection, so that no earlier response can
    /// have been taken for it.
    pub fn is_first_response(&self) -> bool {
        self.responses == 1
    }

    async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let mut req = req;
        let (left, broken) = (AtomicU32::new(INTERIM_RESPONSES_MAX), self.broken.clone());
        hyper::ext::on_informational(&mut req, move |_| {
            if left
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
                .is_err()
            {
                broken.store(true, Ordering::Relaxed);
            }
        });
        let response = self.tx.try_send_request(req).await?;
        self.responses += 1;
        Ok(response)
    }
}

#[derive(Debug)]
struct IdleConnection {
    conn: HttpConnection,
    since: Instant,
    expires_at: Instant,
}

/// Rejects a response whose status is none; its connection is closed.
fn with_valid_status(
    response: Response<Incoming>,
    conn: HttpConnection,
) -> Result<(Response<Incoming>, HttpConnection), HttpError> {
    let number = response.status().as_u16();
    match final_status(number) {
        Some(_) => Ok((response, conn)),
        None => {
            metrics::counter!("crocustally_invalid_statuses").increment(1);
            Err(HttpError::InvalidStatus(number))
        }
    }
}

/// A client of one address with a pool of idle connections.
#[derive(Debug)]
pub struct HttpClient {
    rt: Runtime,
    address: SocketAddr,
    cfg: HttpClientSettings,
    idle: Mutex<Vec<IdleConnection>>,
}

impl HttpClient {
    /// Creates a client with default settings; it connects on its first request.
    pub fn new(rt: &Runtime, address: SocketAddr) -> Self {
        Self::with_settings(rt, address, HttpClientSettings::default())
    }

    /// Creates a client with the settings `cfg`.
    pub fn with_settings(rt: &Runtime, address: SocketAddr, cfg: HttpClientSettings) -> Self {
        Self { rt: rt.clone(), address, cfg, idle: Mutex::new(Vec::new()) }
    }

    /// Sends a request over an idle connection, or over a new one if none is idle or
    /// `new_connection` is set.
    ///
    /// The server may close an idle connection while the request is being sent, and then it is
    /// unknown whether the request was executed; a new connection avoids this race.
    ///
    /// # Errors
    ///
    /// The variants of [`HttpError`] tell whether the request may have been executed.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        new_connection: bool,
    ) -> Result<(Response<Incoming>, HttpConnection), HttpError> {
        self.send_reusing(req, if new_connection { Duration::ZERO } else { Duration::MAX }).await
    }

    /// Sends a request over a connection that has been idle for less than `idle_below`, or over a new
    /// one if there is none.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub async fn send_reusing(
        &self,
        req: Request<Full<Bytes>>,
        idle_below: Duration,
    ) -> Result<(Response<Incoming>, HttpConnection), HttpError> {
        let mut req = req;
        if !idle_below.is_zero() {
            while let Some((mut conn, idle)) = self.take_idle(idle_below) {
                match conn.send(req).await {
                    Ok(response) => return with_valid_status(response, conn),
                    Err(mut e) => match e.take_message() {
                        // The connection was closed before any byte of the request was written.
                        Some(unsent) => req = unsent,
                        None => {
                            let cause = e.into_error();
                            return Err(HttpError::Broken { cause, idle: Some(idle) });
                        }
                    },
                }
            }
        }
        let mut conn = self.connect().await?;
        match conn.send(req).await {
            Ok(response) => with_valid_status(response, conn),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(HttpError::NotSent),
                None => Err(HttpError::Broken { cause: e.into_error(), idle: None }),
            },
        }
    }

    /// Checks whether the address accepts new connections.
    pub async fn check_connection(&self) -> ConnectionCheck {
        match timeout(self.cfg.connect_timeout, TcpStream::connect(self.address)).await {
            Some(Ok(_)) => ConnectionCheck::Accepts,
            Some(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => ConnectionCheck::Refuses,
            Some(Err(_)) | None => ConnectionCheck::Silent,
        }
    }

    /// Checks whether the server outlives a connection that it has just closed: it must accept a
    /// new one, and keep it open for `time`. The new connection goes to the pool
    /// for at most `keep`.
    ///
    /// A process that ends closes its connections one after the other, and its listener among them,
    /// so a connection may be accepted once more and then reset. A server with too many connections
    /// resets new ones as well, but goes on accepting them.
    pub async fn check_outlives(&self, time: Duration, keep: Duration) -> ConnectionCheck {
        let conn = match self.connect().await {
            Ok(conn) => conn,
            Err(HttpError::Refused) => return ConnectionCheck::Refuses,
            Err(_) => return ConnectionCheck::Silent,
        };
        sleep(time).await;
        if conn.tx.is_closed() {
            return self.check_connection().await;
        }
        self.put_idle_for(conn, keep);
        ConnectionCheck::Accepts
    }

    /// Returns a connection to the pool; its response must have been read to the end.
    pub fn put_idle(&self, conn: HttpConnection) {
        self.put_idle_for(conn, self.cfg.idle_timeout);
    }

    /// Returns a connection to the pool for at most `time`.
    pub fn put_idle_for(&self, conn: HttpConnection, time: Duration) {
        if conn.tx.is_closed() {
            return;
        }
        let since = Instant::now();
        let expires_at = since + time.min(self.cfg.idle_timeout);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(IdleConnection { conn, since, expires_at });
        // Closed after the lock is released.
        let _surplus = take_oldest(&mut idle, self.cfg.idle_max);
        drop(idle);
    }

    /// Number of idle connections that can be used.
    pub fn idle_connections(&self) -> usize {
        let now = Instant::now();
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.iter().filter(|c| c.expires_at > now && !c.conn.tx.is_closed()).count()
    }

    /// Closes the oldest idle connections so that at most `keep` are left.
    pub fn trim_idle(&self, keep: usize) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let _surplus = take_oldest(&mut idle, keep);
        drop(idle);
    }

    /// Closes all idle connections. Once one connection has stopped responding, the others likely
    /// have too.
    pub fn discard_idle(&self) {
        // Closed after the lock is released.
        let _idle = std::mem::take(&mut *self.idle.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Takes a connection that has been idle for less than `idle_below`, with the time for which it was
    /// idle.
    fn take_idle(&self, idle_below: Duration) -> Option<(HttpConnection, Duration)> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|c| c.expires_at > now && !c.conn.tx.is_closed());
        let usable = |c: &IdleConnection| {
            c.conn.tx.is_ready() && now.saturating_duration_since(c.since) < idle_below
        };
        let ready = idle.iter().rposition(usable)?;
        let taken = idle.remove(ready);
        Some((taken.conn, now.saturating_duration_since(taken.since)))
    }

    async fn connect(&self) -> Result<HttpConnection, HttpError> {
        let stream = timeout(self.cfg.connect_timeout, TcpStream::connect(self.address)).await;
        let stream = match stream {
            Some(Ok(stream)) => stream,
            Some(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                return Err(HttpError::Refused);
            }
            Some(Err(e)) if is_out_of_descriptors(&e) => return Err(HttpError::NotSent),
            Some(Err(_)) | None => return Err(HttpError::Unreachable),
        };
        let _ = stream.set_nodelay(true);
        match self.cfg.abandonment {
            Abandonment::KernelTimeout(time) => set_ack_timeout(&stream, time),
            Abandonment::OwnerReset => set_reset_on_close(&stream),
        }
        let broken = Arc::new(AtomicBool::new(false));
        let io = FuturesIo::new(YieldingIo::new(stream, broken.clone()));
        let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_MAX).handshake(io);
        let (mut tx, conn) = handshake.await.map_err(|_| HttpError::Unreachable)?;
        let io = self.rt.spawn_task(async move {
            // An error of the connection is reported by the request on it.
            let _ = conn.await;
        });
        tx.ready().await.map_err(|_| HttpError::Unreachable)?;
        Ok(HttpConnection { tx, responses: 0, broken, _io: io })
    }
}

/// Takes the oldest connections out of `idle`, so that at most `keep` are left.
fn take_oldest(idle: &mut Vec<IdleConnection>, keep: usize) -> Vec<IdleConnection> {
    let surplus = idle.len().saturating_sub(keep);
    idle.drain(..surplus).collect()
}

/// Whether this process has no descriptor left, which says nothing about the address.
fn is_out_of_descriptors(e: &std::io::Error) -> bool {
    matches!(Errno::from_io_error(e), Some(Errno::MFILE | Errno::NFILE))
}
