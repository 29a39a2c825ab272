//! [`HttpClient`]: HTTP/1.1 to the engine or service beside an agent.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

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
use crate::timeout;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why a request got no answer.
#[derive(Debug)]
pub enum HttpError {
    /// No connection could be opened, or it closed before anything was sent: not run.
    NotSent,
    /// The connection broke after the request was sent: it may have run.
    Broken(hyper::Error),
}

/// A client for one address, which keeps idle connections.
#[derive(Debug)]
pub struct HttpClient {
    rt: Runtime,
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl HttpClient {
    /// A client without connections yet.
    pub fn new(rt: &Runtime, address: SocketAddr) -> Self {
        Self { rt: rt.clone(), address, idle: Mutex::new(Vec::new()) }
    }

    /// Sends a request over an idle connection, or a new one.
    ///
    /// With `fresh` it is always a new one: an idle connection may be closed by the other end at the
    /// very moment of sending, and then nobody can tell whether the request ran.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<(Response<Incoming>, SendRequest<Full<Bytes>>), HttpError> {
        let mut tx = if fresh { self.connect().await? } else { self.idle_or_new().await? };
        match tx.send_request(req).await {
            Ok(response) => Ok((response, tx)),
            Err(e) if e.is_canceled() => Err(HttpError::NotSent),
            Err(e) => Err(HttpError::Broken(e)),
        }
    }

    /// Keeps a connection for later, once its answer has been read to the end.
    pub fn keep(&self, tx: SendRequest<Full<Bytes>>) {
        if tx.is_ready() {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(tx);
        }
    }

    async fn idle_or_new(&self) -> Result<SendRequest<Full<Bytes>>, HttpError> {
        loop {
            let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            match idle {
                Some(tx) if tx.is_ready() => return Ok(tx),
                Some(_) => {}
                None => return self.connect().await,
            }
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, HttpError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = stream.and_then(Result::ok).ok_or(HttpError::NotSent)?;
        let _ = stream.set_nodelay(true);
        let (mut tx, conn) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(|_| HttpError::NotSent)?;
        self.rt.spawn(async move {
            let _ = conn.await;
        });
        tx.ready().await.map_err(|_| HttpError::NotSent)?;
        Ok(tx)
    }
}
