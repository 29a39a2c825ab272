//! Graceful shutdown while callers keep connecting.
#![allow(clippy::unwrap_used)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crocustally_net::HttpLimits;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::full_body;
use crocustally_net::serve_http;
use hyper::Response;

/// Guards against a shutdown that never ends because the server accepts connections beyond its
/// drain delay, and against one that refuses them before.
#[test]
fn server_accepts_no_connections_after_drain_delay() {
    let rt = Runtime::start(2);
    let shutdown = Shutdown::default();
    let limits = HttpLimits { drain_delay: Duration::from_millis(300), ..HttpLimits::default() };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = |_| async { Response::new(full_body("ok")) };
    let bound = async_io::block_on(serve_http(&rt, any, limits, &shutdown, handler)).unwrap();
    shutdown.request();
    let requested_at = Instant::now();
    let mut last_accepted = Duration::ZERO;
    let mut open = Vec::new();
    while requested_at.elapsed() < Duration::from_secs(2) {
        if let Ok(stream) = TcpStream::connect(bound) {
            last_accepted = requested_at.elapsed();
            open.push(stream);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(
        last_accepted > Duration::from_millis(100),
        "refused a connection during the drain delay"
    );
    assert!(
        last_accepted < Duration::from_millis(700),
        "a connection was accepted after {last_accepted:?}"
    );
}

fn start(limits: HttpLimits) -> (Runtime, Shutdown, SocketAddr) {
    let rt = Runtime::start(2);
    let shutdown = Shutdown::default();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = |_| async { Response::new(full_body("ok")) };
    let bound = async_io::block_on(serve_http(&rt, any, limits, &shutdown, handler)).unwrap();
    (rt, shutdown, bound)
}

/// Reads the status line and headers of a response and its body, "ok".
fn read_response(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\nok") && matches!(stream.read(&mut byte), Ok(1)) {
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap()
}

/// Guards against connections that are accepted and closed unread, since their clients sent a first
/// request only after the listener had closed.
#[test]
fn connection_accepted_just_before_the_listener_closes_is_served() {
    let drain_delay = Duration::from_millis(100);
    let (_rt, shutdown, bound) = start(HttpLimits { drain_delay, ..HttpLimits::default() });
    shutdown.request();
    let mut stream = TcpStream::connect(bound).unwrap();
    std::thread::sleep(2 * drain_delay);
    assert!(TcpStream::connect(bound).is_err(), "the listener is still open");
    stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
    let response = read_response(&mut stream);
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    async_io::block_on(shutdown.stage_ended());
}

/// Guards against kept connections that are closed as idle while the head of their next request arrives.
#[test]
fn request_whose_head_arrives_while_idle_connections_are_closed_is_served() {
    let (_rt, shutdown, bound) = start(HttpLimits::default());
    let (mut busy, mut idle) =
        (TcpStream::connect(bound).unwrap(), TcpStream::connect(bound).unwrap());
    for stream in [&mut busy, &mut idle] {
        stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
        assert!(read_response(stream).starts_with("HTTP/1.1 200"));
    }
    busy.write_all(b"GET / HTTP/1.1\r\nHo").unwrap();
    std::thread::sleep(Duration::from_millis(100));
    shutdown.request();
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "an idle connection is still open");
    busy.write_all(b"st: h\r\n\r\n").unwrap();
    let response = read_response(&mut busy);
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    async_io::block_on(shutdown.stage_ended());
}
