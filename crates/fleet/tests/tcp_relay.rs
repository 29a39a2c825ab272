//! Faults that a relay injects.
#![allow(clippy::unwrap_used)]

use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crocustally_fleet::Links;
use crocustally_fleet::TcpRelay;
use crocustally_net::Runtime;

/// Time after which bytes that have not come back count as held up.
const SHORT: Duration = Duration::from_millis(300);
/// Time that bytes which are forwarded may take on a busy machine.
const LONG: Duration = Duration::from_secs(10);

/// A server that sends every byte back.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for conn in listener.incoming() {
            thread::spawn(move || {
                let mut conn = conn.unwrap();
                let mut byte = [0];
                while conn.read_exact(&mut byte).is_ok() && conn.write_all(&byte).is_ok() {}
            });
        }
    });
    address
}

fn echoes_within(conn: &mut TcpStream, time: Duration) -> bool {
    conn.set_read_timeout(Some(time)).unwrap();
    conn.write_all(b"x").unwrap();
    conn.read_exact(&mut [0]).is_ok()
}

/// Guards against a silent relay that refuses, accepts or answers, as no address does that is gone.
#[test]
fn connections_to_a_silent_relay_hang() {
    let rt = Runtime::start(1);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let relay = async_io::block_on(TcpRelay::start(&rt, any, start_echo())).unwrap();
    let mut conn = TcpStream::connect(relay.address()).unwrap();
    assert!(echoes_within(&mut conn, LONG));
    async_io::block_on(relay.set_silent(true)).unwrap();
    assert!(!echoes_within(&mut conn, SHORT));
    for _ in 0..3 {
        let refused = TcpStream::connect_timeout(&relay.address(), SHORT).unwrap_err();
        assert_eq!(refused.kind(), std::io::ErrorKind::TimedOut);
    }
    async_io::block_on(relay.set_silent(false)).unwrap();
    assert!(echoes_within(&mut TcpStream::connect(relay.address()).unwrap(), LONG));
}

/// Guards against cuts that hit another way than the named one, or lose bytes that only wait.
#[test]
fn one_way_cuts_hold_bytes_until_they_are_undone() {
    let rt = Runtime::start(1);
    let (host, client) = (IpAddr::from([127, 0, 0, 2]), IpAddr::from([127, 0, 0, 1]));
    let (links, listen) = (Links::default(), SocketAddr::new(host, 0));
    let relay = TcpRelay::start_in_links(&rt, listen, start_echo(), &links);
    let relay = async_io::block_on(relay).unwrap();
    let mut conn = TcpStream::connect(relay.address()).unwrap();
    for (from, to) in [(client, host), (host, client)] {
        links.set_cut(from, to, true);
        assert!(!echoes_within(&mut conn, SHORT), "{from} to {to}");
        links.set_cut(from, to, false);
        conn.read_exact(&mut [0]).unwrap();
    }
    links.set_cut(IpAddr::from([127, 0, 0, 3]), host, true);
    assert!(echoes_within(&mut conn, LONG));
}
