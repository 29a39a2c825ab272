//! Graceful shutdown while callers keep connecting.
#![allow(clippy::unwrap_used)]

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
