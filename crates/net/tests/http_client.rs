//! Requests that are given up before they are delivered.
#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_net::Abandonment;
use crocustally_net::HttpClient;
use crocustally_net::HttpClientSettings;
use crocustally_net::Runtime;
use crocustally_net::timeout;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;

/// More than the socket buffers of both ends hold.
const BODY_BYTES: usize = 32 * 1024 * 1024;

/// Longer than the kernel's acknowledgement timeout of a client with default settings.
const SEND_TIMEOUT: Duration = Duration::from_millis(4500);
/// Time for a reset to arrive on the loopback interface.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);

fn owner_reset() -> HttpClientSettings {
    HttpClientSettings { abandonment: Abandonment::OwnerReset, ..HttpClientSettings::default() }
}

fn large_request() -> Request<Full<Bytes>> {
    let req = Request::builder().method("POST").uri("/").header("Host", "h");
    req.body(Full::new(Bytes::from(vec![7; BODY_BYTES]))).unwrap()
}

/// Reads one request without a body and answers it; the connection stays open.
fn answer_request(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut buf = [0; 1024];
    while !head.ends_with(b"\r\n\r\n") {
        let n = stream.read(&mut buf).unwrap();
        head.extend_from_slice(&buf[..n]);
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
}

/// The error that is pending on a connection, waiting for it up to `time`.
fn pending_error(stream: &TcpStream, time: Duration) -> Option<ErrorKind> {
    let deadline = Instant::now() + time;
    loop {
        if let Some(e) = stream.take_error().unwrap() {
            return Some(e.kind());
        }
        if Instant::now() > deadline {
            return None;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against the delivery of a cancelled request from the socket buffers after a network
/// partition heals: the request may have been retried elsewhere by then.
#[test]
fn cancelled_request_is_not_delivered() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let rt = Runtime::start(1);
    let cfg = owner_reset();
    let client = HttpClient::with_settings(&rt, listener.local_addr().unwrap(), cfg);
    // The server does not read, as in a network partition.
    let response =
        async_io::block_on(timeout(Duration::from_millis(200), client.send(large_request(), true)));
    assert!(response.is_none());
    thread::sleep(Duration::from_millis(200));
    let (mut stream, _) = listener.accept().unwrap();
    let mut buf = Vec::new();
    let result = stream.read_to_end(&mut buf);
    assert_eq!(result.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// Guards against a request that the kernel gives up by a time-out of its own: its connection can no
/// longer be reset, so bytes that a partition holds up are delivered once it heals, long after the
/// caller has its answer and, in the reported case, into an evacuated failure domain.
#[test]
fn request_on_a_reused_connection_is_withdrawn_by_a_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let rt = Runtime::start(1);
    let client = HttpClient::with_settings(&rt, listener.local_addr().unwrap(), owner_reset());
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        answer_request(&mut stream);
        stream
    });
    async_io::block_on(async {
        let req = Request::builder().uri("/").header("Host", "h").body(Full::default()).unwrap();
        let (response, conn) = client.send(req, false).await.unwrap();
        response.into_body().collect().await.unwrap();
        client.put_idle(conn);
    });
    let stream = server.join().unwrap();
    // The server reads no more, so nothing beyond the socket buffers is accepted.
    let send = client.send(large_request(), false);
    let response = async_io::block_on(timeout(SEND_TIMEOUT, send));
    assert!(response.is_none(), "the connection was given up by the kernel: {response:?}");
    assert_eq!(pending_error(&stream, RESET_TIMEOUT), Some(ErrorKind::ConnectionReset));
}

/// Accepts connections and answers one request on each of them.
fn answering_server(
    listener: TcpListener,
    connections: usize,
) -> thread::JoinHandle<Vec<TcpStream>> {
    thread::spawn(move || {
        let accept = || {
            let (mut stream, _) = listener.accept().unwrap();
            answer_request(&mut stream);
            stream
        };
        (0..connections).map(|_| accept()).collect()
    })
}

fn get() -> Request<Full<Bytes>> {
    Request::builder().uri("/").header("Host", "h").body(Full::default()).unwrap()
}

/// Opens `count` connections, and returns them to the pool.
async fn open_idle(client: &HttpClient, count: usize) {
    let mut open = Vec::new();
    for _ in 0..count {
        let (response, conn) = client.send(get(), true).await.unwrap();
        response.into_body().collect().await.unwrap();
        open.push(conn);
    }
    open.into_iter().for_each(|conn| client.put_idle(conn));
}

/// Guards against idle connections that take the descriptors of a gateway, or the connections that an
/// endpoint accepts from all gateways together.
#[test]
fn surplus_idle_connections_are_closed_the_oldest_first() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let rt = Runtime::start(1);
    let cfg = HttpClientSettings { idle_max: 3, ..owner_reset() };
    let client = HttpClient::with_settings(&rt, listener.local_addr().unwrap(), cfg);
    let server = answering_server(listener, 5);
    async_io::block_on(open_idle(&client, 5));
    let streams = server.join().unwrap();
    assert_eq!(client.idle_connections(), 3);
    client.trim_idle(1);
    assert_eq!(client.idle_connections(), 1);
    let closed: Vec<bool> =
        streams.iter().map(|s| pending_error(s, RESET_TIMEOUT).is_some()).collect();
    assert_eq!(closed, [true, true, true, true, false]);
}

/// Guards against a request on a connection that has been idle for so long that its path may have gone
/// silent.
#[test]
fn connection_that_was_idle_for_longer_than_allowed_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let rt = Runtime::start(1);
    let client = HttpClient::with_settings(&rt, listener.local_addr().unwrap(), owner_reset());
    let server = answering_server(listener, 2);
    async_io::block_on(async {
        open_idle(&client, 1).await;
        thread::sleep(Duration::from_millis(50));
        let (_, conn) = client.send_reusing(get(), Duration::from_millis(20)).await.unwrap();
        assert!(conn.is_first_response());
    });
    assert_eq!(client.idle_connections(), 1);
    drop(server.join().unwrap());
}
