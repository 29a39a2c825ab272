//! What becomes of a request whose sender no longer waits for it.
#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use crocustally_net::HttpClient;
use crocustally_net::HttpClientSettings;
use crocustally_net::Runtime;
use crocustally_net::timeout;
use http_body_util::Full;
use hyper::Request;

/// More than the buffers between two sockets hold.
const BODY_BYTES: usize = 32 * 1024 * 1024;

#[test]
fn a_request_that_was_given_up_does_not_arrive_later() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let rt = Runtime::start(1);
    let cfg = HttpClientSettings { reset_on_close: true, ..HttpClientSettings::default() };
    let client = HttpClient::with_settings(&rt, listener.local_addr().unwrap(), cfg);
    let req = Request::builder().method("POST").uri("/").header("Host", "h");
    let req = req.body(Full::new(Bytes::from(vec![7; BODY_BYTES]))).unwrap();
    // The other end does not read, as if the way to it were cut.
    let sent = async_io::block_on(timeout(Duration::from_millis(200), client.send(req, true)));
    assert!(sent.is_none());
    std::thread::sleep(Duration::from_millis(200));
    let (mut stream, _) = listener.accept().unwrap();
    let mut buf = Vec::new();
    let end = stream.read_to_end(&mut buf);
    assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
}
