//! HTTP server of the stand-ins, which can break all its connections at once.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_net::TcpListener;
use async_net::TcpStream;
use crocustally_net::ResponseBody;
use crocustally_net::Runtime;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;

/// Open connections of a stand-in.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Connections {
    /// Shuts every connection down without a response.
    pub(crate) fn break_all(&self) {
        let open = std::mem::take(&mut *self.open.lock().unwrap_or_else(PoisonError::into_inner));
        for stream in open {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn add(&self, stream: TcpStream) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|s| s.peer_addr().is_ok());
        open.push(stream);
    }
}

/// Serves HTTP/1.1 requests on `address` with `handler` and returns the bound address.
///
/// While `is_up` returns false, new connections are closed at once. Fails when `address` cannot be
/// bound.
pub(crate) async fn serve<H, F>(
    rt: &Runtime,
    address: SocketAddr,
    connections: Connections,
    is_up: impl Fn() -> bool + Send + 'static,
    handler: H,
) -> std::io::Result<SocketAddr>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound_address = listener.local_addr()?;
    let connection_rt = rt.clone();
    rt.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if !is_up() {
                continue;
            }
            let _ = stream.set_nodelay(true);
            connections.add(stream.clone());
            let handler = handler.clone();
            connection_rt.spawn(async move {
                let http_service = service_fn(move |req| {
                    let response = handler(req);
                    async move { Ok::<_, std::convert::Infallible>(response.await) }
                });
                let io = FuturesIo::new(stream);
                let _ = http1::Builder::new().serve_connection(io, http_service).await;
            });
        }
    });
    Ok(bound_address)
}
