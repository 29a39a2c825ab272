//! Clients that do not keep to any pace, at gateways that run as processes with lowered limits: each process lives, its
//! memory and descriptors stay under their bounds, and ordinary requests are answered.
#![allow(clippy::unwrap_used, dead_code)]

#[path = "../../../platform/tests/common/calls.rs"]
mod calls;
#[path = "soak/deployment.rs"]
mod deployment;
#[path = "../../../platform/tests/common/endless_endpoints.rs"]
mod endpoints;
#[path = "soak/operator.rs"]
mod operator;
#[path = "../../../platform/tests/common/runner.rs"]
mod runner;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_net::TcpStream;
use crocustally_net::Abandonment;
use crocustally_net::HttpClient;
use crocustally_net::HttpClientSettings;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use serde_json::json;

use calls::CallerResponse;
use calls::caller_request;
use deployment::CONTROLS;
use deployment::Deployment;
use endpoints::Answer;
use operator::Operator;

/// Memory of a gateway in megabytes.
const MEMORY_MB: u64 = 40;
/// Descriptors of a gateway where they are the limit that clients reach.
const FEW_DESCRIPTORS: usize = 160;
/// Descriptors of a gateway where memory is the limit that clients reach.
const MANY_DESCRIPTORS: usize = 1024;
/// Clients at once; more than [`FEW_DESCRIPTORS`].
const CLIENTS: usize = 200;
/// Announced length of a body that is not sent to its end: 4 MiB less 4 KiB, below `max-body-bytes`.
const BODY: usize = 4 * 1024 * 1024 - 4 * 1024;
/// Length of a response that is read slowly or not at all.
const RESPONSE: usize = 4 * 1024 * 1024;
/// Length of an ordinary response.
const ORDINARY: usize = 4 * 1024;
/// Size of the parts in which a body or response is sent or read piece by piece.
const PIECE: usize = 64 * 1024;
/// Pause between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Requests on each connection where many are sent on one.
const REQUESTS_PER_CONNECTION: usize = 100;
/// Time for which clients keep up their load before the ordinary request.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Time that a caller waits; the routes' `timeout-ms`.
const DEADLINE: Duration = Duration::from_millis(8000);
/// Interval of the looks at a process's descriptors.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause of a client whose connection was closed, before its next one.
const RETURN_PAUSE: Duration = Duration::from_millis(200);
/// Time in which gateway and endpoints find each other.
const DISCOVERY: Duration = Duration::from_secs(3);
/// Time within which a started deployment must accept its first configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// What a client does on each of its connections, one after another, until the end of the case.
#[derive(Clone, Copy, Debug)]
enum Client {
    /// Sends all but the last byte of a body at once and waits.
    Body,
    /// The same piece by piece.
    BodyInPieces,
    /// Sends a body in one chunk without a last one.
    Chunks,
    /// The same in many chunks with pauses.
    ChunksInPieces,
    /// Does not read a long response.
    UnreadResponse,
    /// Reads one piece of a long response at a time.
    SlowResponse,
    /// Does not read a stream.
    UnreadStream,
    /// Sends a header line now and then.
    EndlessHead,
    /// Sends nothing.
    Idle,
    /// Sends one request after the other and reads the responses.
    ManyRequests,
}

/// The cases run one at a time: each measures processes that share the machine.
fn one_at_a_time() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Run {
    rt: Runtime,
    d: Deployment,
    gateways: usize,
}

impl Run {
    async fn start(name: &str, net: u8, gateways: usize, descriptors: usize) -> Self {
        let rt = Runtime::start(2);
        let folder = std::env::temp_dir().join(format!("clients-{name}-{}", std::process::id()));
        let net = [(std::process::id() % 200 + 20) as u8, net];
        let mut d = Deployment::prepare(&rt, net, 0, gateways, folder).await;
        d.gateway_settings = json!({"memory_mb": MEMORY_MB});
        d.gateway_descriptors = Some(descriptors);
        (0..CONTROLS + gateways).for_each(|i| d.spawn(i, true));
        let controls: Vec<_> = (0..CONTROLS).map(|i| d.control(i)).collect();
        let route = |name: &str, kind: &str, service: &str| {
            json!({"name": name, "host": "h", "path-prefix": format!("/{name}/"), "kind": kind,
                "timeout-ms": DEADLINE.as_millis() as u64, "target-latency-ms": 500, "priority": 1,
                "attempts": if kind == "stream" { 2 } else { 1 }, "resumable": kind == "stream", "service": service})
        };
        let service = |name: &str| json!({"name": name, "max-conns": 4000, "cold-per-s": 0.0});
        let config = json!({
            "version": 1,
            "routes": [route("long", "unsafe", "long"), route("stream", "stream", "events"),
                route("sound", "unsafe", "sound")],
            "services": [service("long"), service("events"), service("sound")],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "t", "api-keys": ["k"], "priority": 1}],
        });
        let mut op = Operator::default();
        let started_at = Instant::now();
        while !op.put_config(&rt, controls[0], &config).await {
            assert!(started_at.elapsed() < READY_TIMEOUT, "no configuration accepted");
            sleep(Duration::from_millis(100)).await;
        }
        for i in 0..2 {
            let id = |kind: &str| format!("{kind}-{i}");
            endpoints::start(&rt, &id("l"), "long", Answer::Sound, CLIENTS, &controls).await;
            endpoints::start(&rt, &id("e"), "events", Answer::Events, CLIENTS, &controls).await;
            endpoints::start(&rt, &id("j"), "sound", Answer::Sound, CLIENTS, &controls).await;
        }
        sleep(DISCOVERY).await;
        Self { rt, d, gateways }
    }

    /// Status of an ordinary request's response, 0 without one. A caller that is refused, or whose connection is
    /// closed, asks once more on a new connection.
    async fn ordinary(&self, gateway: usize, id: &str) -> u16 {
        let mut status = 0;
        for attempt in 0..2 {
            let id = format!("{id}-{gateway}-{attempt}");
            let (answer, retry_after) = self.ask(gateway, &id).await;
            status = answer;
            if status == 200 {
                break;
            }
            sleep(retry_after.min(DEADLINE / 3)).await;
        }
        status
    }

    async fn ask(&self, gateway: usize, id: &str) -> (u16, Duration) {
        let cfg = HttpClientSettings {
            connect_timeout: DEADLINE,
            abandonment: Abandonment::KernelTimeout(2 * DEADLINE),
            ..HttpClientSettings::default()
        };
        let client = HttpClient::with_settings(&self.rt, self.d.gateway(gateway), cfg);
        let path = format!("/sound/x/{ORDINARY}");
        let call = async {
            let req = caller_request(&path, id, DEADLINE.as_millis() as u64, Some("k"), "ask");
            let (response, _conn) = client.send(req, true).await.ok()?;
            Some(CallerResponse::read(response).await)
        };
        let Some(response) = timeout(2 * DEADLINE, call).await.flatten() else {
            return (0, RETURN_PAUSE);
        };
        let whole = response.complete && response.body.len() == ORDINARY;
        let retry_after = Duration::from_secs_f64(response.retry_after.unwrap_or(0.0));
        (if response.status == 200 && !whole { 0 } else { response.status }, retry_after)
    }
}

/// Plays the clients in turn, spread over the gateways, and checks each gateway.
async fn check(name: &str, net: u8, gateways: usize, descriptors: usize, clients: &[Client]) {
    let run = Run::start(name, net, gateways, descriptors).await;
    let pids: Vec<_> = (0..gateways).map(|g| run.d.pid(CONTROLS + g)).collect();
    let mut before = Vec::new();
    for g in 0..gateways {
        before.push(run.ordinary(g, "before").await);
    }
    let done = Arc::new(AtomicBool::new(false));
    let opened = Arc::new(AtomicUsize::new(0));
    let tasks: Vec<_> = (0..CLIENTS * gateways)
        .map(|i| {
            let to = run.d.gateway(i % gateways);
            let client = clients[(i / gateways) % clients.len()];
            run.rt.spawn_task(play(to, client, i, done.clone(), opened.clone()))
        })
        .collect();
    let mut most = vec![0; gateways];
    let started_at = Instant::now();
    let look = |most: &mut Vec<usize>| {
        for (g, most) in most.iter_mut().enumerate() {
            *most = run.d.descriptors(CONTROLS + g).max(*most);
        }
    };
    while started_at.elapsed() < LOAD_TIME {
        look(&mut most);
        sleep(LOOK_INTERVAL).await;
    }
    let mut during = Vec::new();
    for g in 0..gateways {
        during.push(run.ordinary(g, "during").await);
        look(&mut most);
    }
    done.store(true, Ordering::Release);
    drop(tasks);
    let mut after = Vec::new();
    for g in 0..gateways {
        after.push(run.ordinary(g, "after").await);
    }
    let peaks: Vec<_> = (0..gateways).map(|g| run.d.peak_memory(CONTROLS + g)).collect();
    println!(
        "{name}: peaks {:?} MB; most descriptors {most:?}; {} connections opened; ordinary {before:?}, {during:?}, \
         {after:?}",
        peaks.iter().map(|p| p / 1024 / 1024).collect::<Vec<_>>(),
        opened.load(Ordering::Acquire),
    );
    let mut d = run.d;
    for (g, pid) in pids.iter().enumerate() {
        assert_eq!(d.take_exit_status(CONTROLS + g), None, "{name}: gateway {g} ended");
        assert_eq!(d.pid(CONTROLS + g), *pid, "{name}: gateway {g}");
        let limit = MEMORY_MB * 1024 * 1024;
        assert!(peaks[g] > 0 && peaks[g] < limit, "{name}: peak of {} bytes", peaks[g]);
        assert!(most[g] < descriptors, "{name}: {} descriptors of {descriptors}", most[g]);
        assert_eq!([before[g], during[g], after[g]], [200; 3], "{name}: ordinary requests");
    }
}

async fn play(
    to: SocketAddr,
    client: Client,
    i: usize,
    done: Arc<AtomicBool>,
    opened: Arc<AtomicUsize>,
) {
    while !done.load(Ordering::Acquire) {
        if let Ok(stream) = TcpStream::connect(to).await {
            let n = opened.fetch_add(1, Ordering::AcqRel);
            let _ = play_connection(stream, client, &format!("c{i}-{n}")).await;
        }
        sleep(RETURN_PAUSE).await;
    }
}

fn head(path: &str, id: &str, framing: &str) -> String {
    let deadline = DEADLINE.as_millis();
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n\
         Authorization: Bearer k\r\n{framing}\r\n\r\n"
    )
}

async fn play_connection(mut s: TcpStream, client: Client, id: &str) -> std::io::Result<()> {
    let long = format!("/long/x/{RESPONSE}");
    let length = format!("Content-Length: {BODY}");
    let chunked = "Transfer-Encoding: chunked";
    match client {
        Client::Body => {
            s.write_all(head(&long, id, &length).as_bytes()).await?;
            s.write_all(&vec![b'a'; BODY - 1]).await?;
        }
        Client::BodyInPieces => {
            s.write_all(head(&long, id, &length).as_bytes()).await?;
            let mut left = BODY - 1;
            while left > 0 {
                let n = left.min(PIECE);
                s.write_all(&vec![b'a'; n]).await?;
                left -= n;
                sleep(PIECE_PAUSE).await;
            }
        }
        Client::Chunks => {
            s.write_all(head(&long, id, chunked).as_bytes()).await?;
            s.write_all(format!("{BODY:x}\r\n").as_bytes()).await?;
            s.write_all(&vec![b'a'; BODY]).await?;
        }
        Client::ChunksInPieces => {
            s.write_all(head(&long, id, chunked).as_bytes()).await?;
            for _ in 0..BODY / PIECE {
                s.write_all(format!("{PIECE:x}\r\n").as_bytes()).await?;
                s.write_all(&vec![b'a'; PIECE]).await?;
                s.write_all(b"\r\n").await?;
                sleep(PIECE_PAUSE).await;
            }
        }
        Client::UnreadResponse => {
            s.write_all(head(&long, id, "Content-Length: 0").as_bytes()).await?;
            return wait_for_close(s).await;
        }
        Client::UnreadStream => {
            s.write_all(head("/stream/x", id, "Content-Length: 0").as_bytes()).await?;
            return wait_for_close(s).await;
        }
        Client::SlowResponse => {
            s.write_all(head(&long, id, "Content-Length: 0").as_bytes()).await?;
            let mut buf = vec![0; PIECE];
            while s.read(&mut buf).await? > 0 {
                sleep(10 * PIECE_PAUSE).await;
            }
            return Ok(());
        }
        Client::EndlessHead => {
            s.write_all(b"POST /long/x HTTP/1.1\r\nHost: h\r\n").await?;
            for _ in 0.. {
                s.write_all(b"x: a\r\n").await?;
                sleep(10 * PIECE_PAUSE).await;
            }
        }
        Client::Idle => {}
        Client::ManyRequests => {
            let path = format!("/sound/x/{ORDINARY}");
            let mut buf = vec![0; PIECE];
            for n in 0..REQUESTS_PER_CONNECTION {
                let request = head(&path, &format!("{id}-{n}"), "Content-Length: 0");
                s.write_all(request.as_bytes()).await?;
                let mut response = Vec::new();
                // Ends of a sound response; refusals are shorter.
                while !response.ends_with(b"aaaa") && !response.ends_with(b"}\n") {
                    let n = s.read(&mut buf).await?;
                    if n == 0 {
                        return Ok(());
                    }
                    response.extend_from_slice(&buf[..n]);
                    if response.len() > ORDINARY {
                        break;
                    }
                }
            }
        }
    }
    let mut buf = [0; 1024];
    while s.read(&mut buf).await? > 0 {}
    Ok(())
}

/// Waits until the peer has closed or reset the connection, without reading from it.
async fn wait_for_close(mut s: TcpStream) -> std::io::Result<()> {
    loop {
        sleep(10 * PIECE_PAUSE).await;
        // Fails once the connection is reset; ignored as the beginning of a further request.
        s.write_all(b"\r\n").await?;
    }
}

fn run(name: &str, net: u8, gateways: usize, descriptors: usize, clients: &[Client]) {
    let _running = one_at_a_time();
    async_io::block_on(check(name, net, gateways, descriptors, clients));
}

/// Guards against bodies of announced length that take all memory although none of them ends.
#[test]
fn bodies_that_stop_before_their_end_fit_into_memory() {
    run("bodies", 1, 1, MANY_DESCRIPTORS, &[Client::Body, Client::BodyInPieces]);
}

/// Guards against the same in chunks.
#[test]
fn chunks_that_stop_before_their_end_fit_into_memory() {
    run("chunks", 2, 1, MANY_DESCRIPTORS, &[Client::Chunks, Client::ChunksInPieces]);
}

/// Guards against responses that stay in memory since nobody reads them.
#[test]
fn unread_responses_fit_into_memory() {
    run("unread", 3, 1, MANY_DESCRIPTORS, &[Client::UnreadResponse]);
}

/// Guards against the same where a little is read now and then.
#[test]
fn slowly_read_responses_fit_into_memory() {
    run("slow", 4, 1, MANY_DESCRIPTORS, &[Client::SlowResponse]);
}

/// Guards against streams that hold two descriptors each since nobody reads them.
#[test]
fn unread_streams_leave_room_for_others() {
    run("streams", 5, 1, FEW_DESCRIPTORS, &[Client::UnreadStream]);
}

/// Guards against heads without an end that hold all descriptors.
#[test]
fn endless_heads_leave_room_for_others() {
    run("heads", 6, 1, FEW_DESCRIPTORS, &[Client::EndlessHead]);
}

/// Guards against idle connections that hold all descriptors.
#[test]
fn idle_connections_leave_room_for_others() {
    run("idle", 7, 1, FEW_DESCRIPTORS, &[Client::Idle]);
}

/// Guards against connections to endpoints that are kept for each request of a connection.
#[test]
fn many_requests_on_one_connection_leave_room_for_others() {
    run("requests", 8, 1, FEW_DESCRIPTORS, &[Client::ManyRequests]);
}

/// Guards against limits that hold at one gateway only.
#[test]
fn clients_spread_over_two_gateways_leave_room_for_others() {
    let clients = [
        Client::Body,
        Client::ChunksInPieces,
        Client::UnreadResponse,
        Client::UnreadStream,
        Client::EndlessHead,
        Client::Idle,
    ];
    run("spread", 9, 2, FEW_DESCRIPTORS, &clients);
}
