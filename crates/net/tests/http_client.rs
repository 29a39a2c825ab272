//! Requests that are cancelled before they are delivered.
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

/// More than the socket buffers of both ends hold.
const BODY_BYTES: usize = 32 * 1024 * 1024;

/// Guards against the delivery of a cancelled request from the socket buffers after a network
/// partition heals: the request may have been retried elsewhere by then.
#[test]
fn cancelled_request_is_not_delivered() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let rt = Runtime::start(1);
    let cfg = HttpClientSettings { reset_on_close: true, ..HttpClientSettings::default() };
    let client = HttpClient::with_settings(&rt, listener.local_addr().unwrap(), cfg);
    let req = Request::builder().method("POST").uri("/").header("Host", "h");
    let req = req.body(Full::new(Bytes::from(vec![7; BODY_BYTES]))).unwrap();
    // The server does not read, as in a network partition.
    let response = async_io::block_on(timeout(Duration::from_millis(200), client.send(req, true)));
    assert!(response.is_none());
    std::thread::sleep(Duration::from_millis(200));
    let (mut stream, _) = listener.accept().unwrap();
    let mut buf = Vec::new();
    let result = stream.read_to_end(&mut buf);
    assert_eq!(result.unwrap_err().kind(), ErrorKind::ConnectionReset);
}
