//! Connections of clients that keep a server's resources without using them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_net::TcpStream;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use rustix::net::sockopt::set_socket_recv_buffer_size;

/// Pause before a client whose connection was closed opens another one.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two lines of a head that never ends, and between two pieces of a body.
const PIECE_PAUSE: Duration = Duration::from_millis(50);
/// Receive buffer of a client that does not read, in bytes.
const UNREAD_BUFFER: usize = 4096;
/// Time after which such a client opens another connection: longer than the kernel keeps a connection
/// without progress.
const UNREAD_TIME: Duration = Duration::from_secs(15);
/// Bytes of a body that are missing at its end.
const MISSING: usize = 4096;
/// Time after which a connection that is not accepted is given up and opened again.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// What each client does.
#[derive(Clone, Debug)]
pub enum Client {
    /// Sends `head` and a body of `length` bytes that stops shortly before its end, `piece` bytes at
    /// a time; the pieces follow one another with a pause unless the body is sent at once.
    Body { head: String, length: usize, chunked: bool, piece: usize },
    /// Sends the request and never reads the response.
    Unread { request: String },
    /// Sends a head line by line without end.
    Head,
    /// Sends nothing.
    Idle,
}

/// A number of clients that act until the drop.
pub struct ClientLoad {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
}

impl Drop for ClientLoad {
    fn drop(&mut self) {
        self.end();
    }
}

impl ClientLoad {
    pub fn start(rt: &Runtime, to: SocketAddr, clients: usize, client: &Client) -> Self {
        let load = Self { stop: Arc::default(), sent: Arc::default() };
        for _ in 0..clients {
            let (client, stop, sent) = (client.clone(), load.stop.clone(), load.sent.clone());
            rt.spawn(async move {
                while !stop.load(Ordering::Acquire) {
                    let stopped = async {
                        while !stop.load(Ordering::Acquire) {
                            sleep(REOPEN_PAUSE).await;
                        }
                    };
                    act(to, &client, &sent).or(stopped).await;
                    sleep(REOPEN_PAUSE).await;
                }
            });
        }
        load
    }

    /// Makes all clients close their connections.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Release);
    }

    /// Bytes of bodies that the server's kernel or process has taken.
    pub fn bytes_sent(&self) -> u64 {
        self.sent.load(Ordering::Acquire)
    }
}

/// Acts until the server closes the connection or, if the client does not read, for [`UNREAD_TIME`].
async fn act(to: SocketAddr, client: &Client, sent: &AtomicU64) {
    let Some(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await else { return };
    let mut reader = stream.clone();
    let closed = async move {
        let mut buf = [0; 512];
        // A refusal is as good as an end, but an HTTP/2 server sends its settings first.
        while matches!(reader.read(&mut buf).await, Ok(n) if n > 0) {
            if !matches!(client, Client::Idle) {
                break;
            }
        }
    };
    let mut stream = stream;
    match client {
        Client::Idle => closed.await,
        Client::Head => {
            let endless = async {
                let mut line = "GET /config/get HTTP/1.1\r\nHost: c\r\n";
                while stream.write_all(line.as_bytes()).await.is_ok() {
                    line = "a: b\r\n";
                    sleep(10 * PIECE_PAUSE).await;
                }
            };
            endless.or(closed).await;
        }
        Client::Unread { request } => {
            let _ = set_socket_recv_buffer_size(&stream, UNREAD_BUFFER);
            let _ = stream.write_all(request.as_bytes()).await;
            sleep(UNREAD_TIME).await;
        }
        Client::Body { head, length, chunked, piece } => {
            let body = async {
                let framing = if *chunked {
                    "Transfer-Encoding: chunked".to_owned()
                } else {
                    format!("Content-Length: {length}")
                };
                let head = format!("{head}{framing}\r\n\r\n");
                if stream.write_all(head.as_bytes()).await.is_err() {
                    return;
                }
                let mut left = length - MISSING;
                while left > 0 {
                    let n = left.min(*piece);
                    let mut data = Vec::with_capacity(n + 16);
                    if *chunked {
                        data.extend_from_slice(format!("{n:x}\r\n").as_bytes());
                    }
                    data.resize(data.len() + n, b' ');
                    if *chunked {
                        data.extend_from_slice(b"\r\n");
                    }
                    if stream.write_all(&data).await.is_err() {
                        return;
                    }
                    sent.fetch_add(n as u64, Ordering::AcqRel);
                    left -= n;
                    if n < *length / 2 {
                        sleep(PIECE_PAUSE).await;
                    }
                }
                futures_lite::future::pending::<()>().await;
            };
            body.or(closed).await;
        }
    }
}
