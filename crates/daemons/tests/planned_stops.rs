//! Planned stops of gateway processes on loopback addresses, under callers that use a new connection for
//! each request.
#![allow(clippy::unwrap_used, dead_code)]

#[path = "../../../platform/tests/common/calls.rs"]
mod calls;
#[path = "soak/deployment.rs"]
mod deployment;
#[path = "soak/operator.rs"]
mod operator;
#[path = "../../../platform/tests/common/runner.rs"]
mod runner;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use calls::CallerResponse;
use calls::caller_request;
use crocustally_net::HttpClient;
use crocustally_net::HttpError;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use deployment::CONTROLS;
use deployment::DOMAINS;
use deployment::Deployment;
use operator::Operator;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

/// Time within which a started deployment must serve.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after a SIGTERM in which a balancer in front may still direct callers to the gateway: two missed
/// checks, one second apart.
const DIRECTED_TIME: Duration = Duration::from_millis(2000);
/// `grace_s` of the gateways.
const GRACE: Duration = Duration::from_secs(8);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const RUNNERS: usize = 3;
const STOPS: usize = 4;

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{"name": "once", "host": "h", "path-prefix": "/once/", "kind": "unsafe",
            "timeout-ms": 1500, "service": "s"}],
        "services": [{"name": "s", "max-conns": 90}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "t", "api-keys": ["k"]}],
    })
}

/// Result of one request: its status, 0 if its connection ended without a response, or the error of the
/// connection.
type Seen = Result<u16, String>;

/// Sends one request that must not be repeated on a new connection.
async fn send(rt: &Runtime, gateway: SocketAddr, id: &str) -> Seen {
    let client = HttpClient::new(rt, gateway);
    let req = caller_request(&format!("/once/{id}"), id, 1500, Some("k"), id);
    let call = async {
        match client.send(req, true).await {
            Ok((response, _conn)) => Ok(CallerResponse::read(response).await.status),
            Err(HttpError::Broken { .. } | HttpError::InvalidStatus(_)) => Ok(0),
            Err(e) => Err(format!("{e:?}")),
        }
    };
    timeout(Duration::from_secs(3), call).await.unwrap_or(Err("no response".to_owned()))
}

/// Requests sent, with their results.
type Results = Arc<Mutex<Vec<(String, Instant, Seen)>>>;

/// Sends a request every [`REQUEST_INTERVAL`] for [`DIRECTED_TIME`].
async fn send_while_directed(rt: &Runtime, gateway: SocketAddr, prefix: &str) -> Results {
    let results = Results::default();
    let (started, mut calls) = (Instant::now(), Vec::new());
    while started.elapsed() < DIRECTED_TIME {
        let (rt2, results) = (rt.clone(), results.clone());
        let id = format!("{prefix}{}", calls.len());
        calls.push(rt.spawn_task(async move {
            let sent = Instant::now();
            let seen = send(&rt2, gateway, &id).await;
            results.lock().unwrap().push((id, sent, seen));
        }));
        sleep(REQUEST_INTERVAL).await;
    }
    for call in calls {
        call.await;
    }
    results
}

async fn exit_status(d: &mut Deployment, process: usize, since: Instant) -> (String, Duration) {
    loop {
        if let Some(status) = d.take_exit_status(process) {
            return (status, since.elapsed());
        }
        assert!(since.elapsed() < GRACE, "the process has not exited within its grace");
        sleep(Duration::from_millis(10)).await;
    }
}

async fn wait_until_listening(address: SocketAddr) {
    let started = Instant::now();
    while TcpStream::connect(address).is_err() {
        assert!(started.elapsed() < READY_TIMEOUT, "{address} does not listen");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a gateway that exits at the first moment without open requests, while it still accepts
/// connections: requests that it had passed on were cut, and callers that were still directed to it
/// refused (review case 6).
#[test]
fn callers_with_new_connections_are_served_through_planned_stops() {
    let rt = Runtime::start(2);
    let folder = std::env::temp_dir().join(format!("planned-stops-{}", std::process::id()));
    let net = [(std::process::id() % 100 + 20) as u8, 241];
    async_io::block_on(async {
        let mut d = Deployment::start(&rt, net, RUNNERS, 1, folder).await;
        let controls: Vec<_> = (0..CONTROLS).map(|i| d.control(i)).collect();
        let stop = Arc::new(AtomicBool::new(false));
        for i in 0..RUNNERS {
            let (runner, relay) = (d.runners[i].clone(), d.relays[i].address());
            let (zone, controls) = (format!("d{}", i % DOMAINS), controls.clone());
            operator::send_heartbeats(&rt, "s", runner, relay, zone, controls, stop.clone());
        }
        let mut op = Operator::default();
        let gateway = d.gateway(0);
        for n in 0..STOPS {
            let started = Instant::now();
            while !op.put_config(&rt, controls[0], &config()).await
                || send(&rt, gateway, &format!("ready{n}-{}", started.elapsed().as_micros())).await
                    != Ok(200)
            {
                assert!(started.elapsed() < READY_TIMEOUT, "stop {n}: the gateway does not serve");
                sleep(Duration::from_millis(100)).await;
            }
            d.signal(CONTROLS, Signal::TERM);
            let signalled = Instant::now();
            let results = send_while_directed(&rt, gateway, &format!("stop{n}-")).await;
            let (status, after) = exit_status(&mut d, CONTROLS, signalled).await;
            let results = std::mem::take(&mut *results.lock().unwrap());
            let ran =
                |id: &str| d.runners.iter().flat_map(|r| r.executions()).any(|e| e.request == id);
            let unserved: Vec<String> = results
                .iter()
                .filter(|(_, _, seen)| *seen != Ok(200))
                .map(|(id, sent, seen)| {
                    let sent = sent.saturating_duration_since(signalled);
                    format!("{id} sent after {sent:?}: {seen:?}, passed on: {}", ran(id))
                })
                .collect();
            assert!(
                unserved.is_empty() && status == "exit status: 0",
                "stop {n}: {} of {} requests not served, {status} after {after:?}; {:#?}",
                unserved.len(),
                results.len(),
                &unserved[..unserved.len().min(10)]
            );
            d.spawn(CONTROLS, false);
        }
        stop.store(true, Ordering::Release);
    });
}

/// Guards against a second SIGTERM, or one before the first policy, that ends a gateway while callers are
/// still directed to it.
#[test]
fn gateway_without_a_policy_answers_through_its_planned_stop() {
    let rt = Runtime::start(2);
    let folder = std::env::temp_dir().join(format!("no-policy-{}", std::process::id()));
    let net = [(std::process::id() % 100 + 20) as u8, 242];
    async_io::block_on(async {
        let mut d = Deployment::prepare(&rt, net, 0, 1, folder).await;
        d.spawn(CONTROLS, true);
        let gateway = d.gateway(0);
        wait_until_listening(gateway).await;
        d.signal(CONTROLS, Signal::TERM);
        let signalled = Instant::now();
        let sending = send_while_directed(&rt, gateway, "r");
        let again = async {
            for _ in 0..4 {
                sleep(Duration::from_millis(300)).await;
                d.signal(CONTROLS, Signal::TERM);
            }
        };
        let (results, ()) = futures_lite::future::zip(sending, again).await;
        let (status, after) = exit_status(&mut d, CONTROLS, signalled).await;
        let results = std::mem::take(&mut *results.lock().unwrap());
        let unanswered = results.iter().filter(|(_, _, seen)| *seen != Ok(503)).count();
        assert!(
            unanswered == 0 && status == "exit status: 0",
            "{unanswered} of {} requests without a 503, {status} after {after:?}",
            results.len()
        );
    });
}

/// Guards against a stop that waits for connections which a process without free descriptors cannot accept.
#[test]
fn gateway_without_free_descriptors_exits_within_its_grace() {
    let rt = Runtime::start(2);
    let folder = std::env::temp_dir().join(format!("no-descriptors-{}", std::process::id()));
    let net = [(std::process::id() % 100 + 20) as u8, 244];
    async_io::block_on(async {
        let mut d = Deployment::prepare(&rt, net, 0, 1, folder).await;
        d.spawn(CONTROLS, true);
        wait_until_listening(d.gateway(0)).await;
        d.set_descriptors_full(CONTROLS);
        let waiting: Vec<_> = (0..4).map(|_| TcpStream::connect(d.gateway(0)).unwrap()).collect();
        sleep(Duration::from_millis(100)).await;
        d.signal(CONTROLS, Signal::TERM);
        let (status, _) = exit_status(&mut d, CONTROLS, Instant::now()).await;
        assert_eq!(status, "exit status: 0");
        drop(waiting);
    });
}

/// Sends a configuration whose response is not read yet.
fn put_unread(control: SocketAddr, version: u64) -> TcpStream {
    let mut config = config();
    config["version"] = json!(version);
    let body = config.to_string();
    let mut stream = TcpStream::connect(control).unwrap();
    let head = format!(
        "POST /config/put HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

/// The start of a response, up to its status; shorter if the connection ends before.
fn read_status(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(GRACE)).unwrap();
    let mut buf = Vec::new();
    let _ = stream.take(12).read_to_end(&mut buf);
    String::from_utf8_lossy(&buf).into_owned()
}

/// Guards against calls of operators that a stopping control instance has accepted and does not answer.
#[test]
fn control_instance_answers_what_it_has_accepted_when_it_stops() {
    let rt = Runtime::start(2);
    let folder = std::env::temp_dir().join(format!("stopped-control-{}", std::process::id()));
    let net = [(std::process::id() % 100 + 20) as u8, 243];
    async_io::block_on(async {
        let mut d = Deployment::start(&rt, net, 0, 0, folder).await;
        let mut op = Operator::default();
        for n in 0..2 * CONTROLS {
            let (i, started) = (n % CONTROLS, Instant::now());
            while !op.put_config(&rt, d.control(i), &config()).await {
                assert!(started.elapsed() < READY_TIMEOUT, "stop {n}: no change is acknowledged");
                sleep(Duration::from_millis(100)).await;
            }
            let next = op.newest_acknowledged() + 1;
            let mut calls: Vec<_> = (0..8).map(|_| put_unread(d.control(i), next)).collect();
            d.signal(i, Signal::TERM);
            let signalled = Instant::now();
            let statuses: Vec<_> = calls.iter_mut().map(read_status).collect();
            let (status, _) = exit_status(&mut d, i, signalled).await;
            let expected = vec!["HTTP/1.1 200".to_owned(); 8];
            assert_eq!((statuses, status.as_str()), (expected, "exit status: 0"), "stop {n}");
            op.put_config(&rt, d.control((i + 1) % CONTROLS), &config()).await;
            d.spawn(i, false);
        }
    });
}
