//! A planned stop under callers that keep coming.
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

#[test]
fn a_stopping_server_takes_nobody_in_after_its_linger() {
    let rt = Runtime::start(2);
    let shutdown = Shutdown::default();
    let limits = HttpLimits { drain_delay: Duration::from_millis(300), ..HttpLimits::default() };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = |_| async { Response::new(full_body("ok")) };
    let bound = async_io::block_on(serve_http(&rt, any, limits, &shutdown, handler)).unwrap();
    shutdown.request();
    let asked = Instant::now();
    let mut taken = Duration::ZERO;
    let mut open = Vec::new();
    while asked.elapsed() < Duration::from_secs(2) {
        if let Ok(stream) = TcpStream::connect(bound) {
            taken = asked.elapsed();
            open.push(stream);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(taken > Duration::from_millis(100), "the linger is used");
    assert!(taken < Duration::from_millis(700), "a connection was taken after {taken:?}");
}
