//! Which connections a server closes to make room, and which it never closes.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_net::TcpStream;
use bytes::Bytes;
use crocustally_net::BufferBudget;
use crocustally_net::ClientConnection;
use crocustally_net::ClientConnections;
use crocustally_net::HttpLimits;
use crocustally_net::Length;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::client_connections_max;
use crocustally_net::collect_body;
use crocustally_net::full_body;
use crocustally_net::serve_http_with;
use crocustally_net::sleep;
use crocustally_net::timeout;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

const MIB: usize = 1024 * 1024;
/// Longer than anything that the server does in a test, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time within which a request that is sent has reached its handler.
const ARRIVAL: Duration = Duration::from_millis(300);
/// Time for which `/slow` is handled.
const HANDLING: Duration = Duration::from_secs(2);
/// Length of the response to `/long`: more than the kernel holds for a client that reads nothing.
const LONG: usize = 40 * MIB;

struct Server {
    rt: Runtime,
    address: SocketAddr,
    budget: BufferBudget,
}

impl Server {
    async fn start(connections_max: usize, stall: Duration, memory_mb: usize) -> Self {
        let rt = Runtime::start(2);
        let budget = BufferBudget::of_process(memory_mb);
        let conns = ClientConnections::new(connections_max, stall, Some(budget.clone()));
        let buffers = budget.clone();
        let handler = move |req: Request<Incoming>| {
            let conn = req.extensions().get::<Arc<ClientConnection>>().unwrap().clone();
            let buffers = buffers.for_client(Some(conn.clone()));
            async move {
                match req.uri().path() {
                    "/slow" => sleep(HANDLING).await,
                    "/body" => {
                        let reading = conn.reading_body();
                        let mut body = req.into_body();
                        let read = collect_body(&mut body, LONG, &buffers);
                        let closing = async {
                            conn.closing().await;
                            Err(crocustally_net::CollectError::NoMemory)
                        };
                        if futures_lite::future::or(read, closing).await.is_err() {
                            let mut response = Response::new(full_body(""));
                            *response.status_mut() = hyper::StatusCode::REQUEST_TIMEOUT;
                            return response;
                        }
                        reading.complete();
                    }
                    "/long" => return Response::new(full_body(Bytes::from(vec![b'a'; LONG]))),
                    _ => {}
                }
                Response::new(full_body("ok"))
            }
        };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = HttpLimits { coded_errors: false, ..HttpLimits::default() };
        let shutdown = Shutdown::default();
        let address = serve_http_with(&rt, any, limits, conns, &shutdown, handler).await.unwrap();
        Self { rt, address, budget }
    }

    async fn send(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        sleep(ARRIVAL).await;
        stream
    }
}

/// What the server sends until it closes the connection or has sent `len` bytes.
async fn read(stream: &mut TcpStream, len: usize) -> String {
    let mut text = Vec::new();
    let reading = async {
        let mut buf = [0; 1024];
        while text.len() < len {
            match stream.read(&mut buf).await {
                Ok(n) if n > 0 => text.extend_from_slice(&buf[..n]),
                _ => break,
            }
        }
    };
    timeout(PATIENCE, reading).await.unwrap();
    String::from_utf8(text).unwrap()
}

const GET: &str = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/// Guards against idle connections that keep a new one out, and against closing one whose request is being handled.
#[test]
fn idle_connection_gives_way_but_not_one_that_waits_for_its_response() {
    async_io::block_on(async {
        let server = Server::start(2, PATIENCE, 260).await;
        let mut slow = server.send("GET /slow HTTP/1.1\r\nhost: h\r\n\r\n").await;
        let mut idle = server.send("").await;
        let mut third = server.send(GET).await;
        assert!(read(&mut third, 15).await.starts_with("HTTP/1.1 200"));
        assert_eq!(read(&mut idle, 1).await, "", "the idle connection is closed");
        assert!(read(&mut slow, 15).await.starts_with("HTTP/1.1 200"));
        drop(server.rt);
    });
}

/// Guards against a new connection that is closed unheard while all others wait for their responses.
#[test]
fn new_connection_waits_while_all_others_wait_for_their_responses() {
    async_io::block_on(async {
        let server = Server::start(1, PATIENCE, 260).await;
        let mut slow = server.send("GET /slow HTTP/1.1\r\nhost: h\r\n\r\n").await;
        let mut second = server.send(GET).await;
        assert!(read(&mut slow, 15).await.starts_with("HTTP/1.1 200"));
        assert!(read(&mut second, 15).await.starts_with("HTTP/1.1 200"));
    });
}

/// Guards against responses that are kept for as long as their client stays without reading.
#[test]
fn client_that_takes_nothing_is_disconnected() {
    async_io::block_on(async {
        let server = Server::start(8, Duration::from_millis(500), 260).await;
        let mut unread = server.send("GET /long HTTP/1.1\r\nhost: h\r\n\r\n").await;
        sleep(4 * Duration::from_millis(500)).await;
        let text = read(&mut unread, 2 * LONG).await;
        assert!(text.len() < LONG, "{} bytes", text.len());
    });
}

/// Guards against bodies that hold the budget without an end, and against closing them without a word.
#[test]
fn body_without_progress_gives_way_once_half_of_the_budget_is_used() {
    async_io::block_on(async {
        let server = Server::start(8, PATIENCE, 16).await;
        let mut body =
            server.send("POST /body HTTP/1.1\r\nhost: h\r\ncontent-length: 3000000\r\n\r\n").await;
        body.write_all(&vec![b'a'; 2_500_000]).await.unwrap();
        assert!(read(&mut body, 2 * MIB).await.starts_with("HTTP/1.1 408"));
        assert_eq!(server.budget.used(), 0);
    });
}

/// Guards against limits that refuse a single request in calm: a body of 4 MiB at the smallest gateway.
#[test]
fn longest_body_fits_into_the_smallest_gateway() {
    let budget = BufferBudget::of_process(160);
    budget.charge(Length::Known).resize(4 * MIB).unwrap();
    budget.charge(Length::Unknown).resize(8 * MIB).unwrap();
}

/// Guards against a bound that leaves no descriptor for endpoints, or that ordinary callers reach.
#[test]
fn bound_on_connections_follows_descriptors_and_memory() {
    for (descriptors, memory_mb, max) in
        [(4_100, 160, 1_185), (11_275, 440, 3_278), (160, 40, 36), (4_100, 100, 800), (1, 1, 1)]
    {
        assert_eq!(client_connections_max(descriptors, memory_mb), max, "{descriptors}");
    }
}
