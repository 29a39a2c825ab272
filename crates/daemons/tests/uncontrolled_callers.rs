//! Clients that take what a control instance or a rank agent has and do not use it: the process lives,
//! stays within its memory and descriptors, and answers ordinary calls.
#![allow(clippy::unwrap_used, dead_code)]

#[path = "uncontrolled/load.rs"]
mod load;
#[path = "soak/operator.rs"]
mod operator;
#[path = "uncontrolled/process.rs"]
mod process;
#[path = "../../../platform/tests/common/runner.rs"]
mod runner;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_net::TcpStream;
use bytes::Bytes;
use crocustally_net::Channel;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::FollowRequest;
use crocustally_wire::control_client::ControlClient;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http2;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolExecutor;

use load::Client;
use load::ClientLoad;
use operator::call;
use process::Daemon;
use runner::Runner;

/// `memory_mb` of the processes.
const MEMORY_MB: usize = 32;
/// `memory_mb` of a process with a large policy, whose text, decoded form and log it holds.
const POLICY_MEMORY_MB: usize = 96;
/// Descriptors that a process may open.
const DESCRIPTORS: usize = 200;
/// Clients at once that need memory; below the limit on descriptors.
const CLIENTS: usize = 120;
/// Clients at once that need descriptors.
const MANY_CLIENTS: usize = 800;
/// Length of a policy body in bytes.
const BODY: usize = 4 * 1024 * 1024;
/// Bytes of a body that are sent at a time.
const PIECE: usize = 64 * 1024;
/// Length of the policy in bytes, which does not compress.
const POLICY: usize = 3 * 1024 * 1024;
/// Length of an API key of that policy.
const KEY_CHARACTERS: usize = 4096;
/// Feeds that nobody reads, and the connections that they share.
const FEEDS: usize = 1600;
const FEED_CONNECTIONS: usize = 16;
/// Bytes of such a feed that its client takes.
const FEED_WINDOW: u32 = 1024;
/// Time that the load acts before it is checked.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Tries of one ordinary call, each with the timeout of its caller.
const TRIES: usize = 10;
/// Tries of the first call to a process that starts.
const START_TRIES: usize = 200;
/// Timeout of a gateway's try to follow.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);

const CONTROL_PORT: u16 = 8100;
const PEER_PORT: u16 = 8101;
const ADMIN_PORT: u16 = 8104;

/// Tests measure memory and descriptors, so one runs at a time.
fn one_at_a_time() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

fn ip(host: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::from(Ipv4Addr::new(127, (pid >> 8 & 0x7f) as u8 + 40, pid as u8, host))
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("uncontrolled-{name}-{}", std::process::id()))
}

/// A policy of about `bytes` bytes, filled up with random API keys.
fn policy(version: u64, bytes: usize) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(version);
    let mut key =
        || -> String { (0..KEY_CHARACTERS).map(|_| rng.random_range('#'..='Z')).collect() };
    let keys: Vec<String> = (0..bytes / (KEY_CHARACTERS + 3)).map(|_| key()).collect();
    json!({
        "version": version,
        "routes": [{"name": "r", "host": "h", "path-prefix": "/r/", "kind": "safe",
            "timeout-ms": 1500, "service": "s"}],
        "services": [{"name": "s"}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "t", "api-keys": keys}],
    })
    .to_string()
}

/// The only control instance of a deployment, with a policy.
struct Control {
    rt: Runtime,
    daemon: Daemon,
    runner: Runner,
    callers: SocketAddr,
    peers: SocketAddr,
    memory_mb: usize,
}

impl Control {
    async fn start(name: &str, host: u8, policy_bytes: usize) -> Self {
        let rt = Runtime::start(2);
        let (callers, peers) =
            (SocketAddr::new(ip(host), CONTROL_PORT), SocketAddr::new(ip(host), PEER_PORT));
        let folder = folder(name);
        let _ = std::fs::remove_dir_all(&folder);
        let memory_mb = if policy_bytes > 0 { POLICY_MEMORY_MB } else { MEMORY_MB };
        let settings = json!({
            "name": "control-0", "domain": "d0", "log": "json", "found": true, "losses": 0,
            "listen": callers.to_string(), "peer_listen": peers.to_string(),
            "seeds": [callers.to_string()], "data": folder.join("data"), "memory_mb": memory_mb,
        });
        let program = env!("CARGO_BIN_EXE_crocustally-control");
        let daemon = Daemon::start(program, &folder, name, &settings.to_string(), DESCRIPTORS);
        let runner = Runner::start(&rt, "i-0".to_owned()).await;
        let control = Self { rt, daemon, runner, callers, peers, memory_mb };
        let policy = policy(1, policy_bytes);
        let mut accepted = false;
        for _ in 0..START_TRIES {
            accepted = call(&control.rt, callers, "POST", "/config/put", &policy).await.0 == 200;
            if accepted {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        assert!(accepted, "{name}: no policy accepted: {}", control.daemon.read_log());
        control
    }

    /// Whether an operator reads the policy.
    async fn reads_policy(&self) -> bool {
        for _ in 0..TRIES {
            let (status, body) = call(&self.rt, self.callers, "GET", "/config/get", "").await;
            let version = || serde_json::from_str::<Value>(&body).unwrap()["version"].as_u64();
            if status == 200 && version() == Some(1) {
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Whether a heartbeat of an endpoint is acknowledged.
    async fn acknowledges_heartbeat(&self) -> bool {
        for _ in 0..TRIES {
            let (path, body) = self.runner.heartbeat("s", "d0", self.runner.address, "ready");
            if call(&self.rt, self.callers, "POST", &path, &body).await.0 == 200 {
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Whether a gateway that follows gets its first update.
    async fn feeds_gateway(&self) -> bool {
        for _ in 0..TRIES {
            let channel = Channel::new(&self.rt, self.peers);
            let mut client = ControlClient::with_origin(channel.clone(), channel.origin());
            let req = FollowRequest { name: "gateway-0".to_owned() };
            let update = timeout(FOLLOW_TIMEOUT, async {
                client.follow(req).await.ok()?.into_inner().message().await.ok()?
            });
            if update.await.flatten().is_some() {
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Checks the process and its ordinary calls.
    async fn check(&mut self, name: &str, when: &str) -> Vec<String> {
        let mut failures = Vec::new();
        let mut expect = |held: bool, what: String| {
            if !held {
                failures.push(format!("{when}: {what}"));
            }
        };
        let (descriptors, alive) = (self.daemon.descriptors(), self.daemon.is_alive());
        expect(alive, "the process ended".to_owned());
        expect(descriptors < DESCRIPTORS, format!("{descriptors} descriptors are open"));
        expect(self.acknowledges_heartbeat().await, "no heartbeat is acknowledged".to_owned());
        expect(self.reads_policy().await, "no read of the policy is answered".to_owned());
        expect(self.feeds_gateway().await, "no gateway is fed".to_owned());
        let peak = self.daemon.peak_memory() / 1024 / 1024;
        println!("{name}, {when}: {descriptors} descriptors, peak {peak} MB");
        expect(peak < self.memory_mb as u64, format!("peak of {peak} MB"));
        let alive = self.daemon.is_alive();
        expect(alive, "the process ended".to_owned());
        failures
    }
}

/// Checks a control instance while `clients` clients act and afterwards.
fn check_control(
    name: &str,
    host: u8,
    policy: usize,
    peers: bool,
    clients: usize,
    client: &Client,
) {
    let _one = one_at_a_time();
    async_io::block_on(async {
        let mut control = Control::start(name, host, policy).await;
        let to = if peers { control.peers } else { control.callers };
        let load = ClientLoad::start(&control.rt, to, clients, client);
        sleep(LOAD_TIME).await;
        let mut failures = control.check(name, "under load").await;
        println!("{name}: {} bytes of bodies sent", load.bytes_sent());
        drop(load);
        sleep(Duration::from_secs(1)).await;
        failures.extend(control.check(name, "afterwards").await);
        assert!(failures.is_empty(), "{name}: {failures:?}");
        let _ = std::fs::remove_dir_all(folder(name));
    });
}

fn policy_body(chunked: bool, piece: usize) -> Client {
    let head = "POST /config/put HTTP/1.1\r\nHost: c\r\n".to_owned();
    Client::Body { head, length: BODY, chunked, piece }
}

/// Guards against bodies of permitted size that are kept until the memory is used up.
#[test]
fn control_fits_bodies_with_length_that_stop_short_into_memory() {
    check_control("length", 1, 0, false, CLIENTS, &policy_body(false, BODY));
}

/// Guards against the same in chunks, whose length is unknown.
#[test]
fn control_fits_chunked_bodies_that_stop_short_into_memory() {
    check_control("chunks", 2, 0, false, CLIENTS, &policy_body(true, BODY));
}

/// Guards against bodies that are small when they are admitted and grow piece by piece.
#[test]
fn control_fits_bodies_that_grow_in_pieces_into_memory() {
    check_control("pieces", 3, 0, false, CLIENTS, &policy_body(false, PIECE));
}

/// Guards against the same in chunks.
#[test]
fn control_fits_chunked_bodies_that_grow_in_pieces_into_memory() {
    check_control("chunk-pieces", 4, 0, false, CLIENTS, &policy_body(true, PIECE));
}

/// Guards against a copy of the policy for each reader that does not read.
#[test]
fn control_fits_policy_reads_without_reader_into_memory() {
    let request = "GET /config/get HTTP/1.1\r\nHost: c\r\n\r\n".to_owned();
    check_control("unread", 5, POLICY, false, CLIENTS, &Client::Unread { request });
}

/// Guards against heads that occupy all descriptors.
#[test]
fn control_answers_beside_heads_that_never_end() {
    check_control("heads", 6, 0, false, MANY_CLIENTS, &Client::Head);
}

/// Guards against idle connections that occupy all descriptors.
#[test]
fn control_answers_beside_idle_connections() {
    check_control("idle", 7, 0, false, MANY_CLIENTS, &Client::Idle);
}

/// Guards against idle connections to the peer port that occupy all descriptors.
#[test]
fn control_answers_beside_idle_peer_connections() {
    check_control("idle-peers", 8, 0, true, MANY_CLIENTS, &Client::Idle);
}

/// A call of `Follow`, whose message has the name of the gateway in its first field.
fn follow_request(to: SocketAddr, name: &str) -> Request<Full<Bytes>> {
    let mut message = vec![0, 0, 0, 0, name.len() as u8 + 2, 0x0a, name.len() as u8];
    message.extend_from_slice(name.as_bytes());
    Request::post(format!("http://{to}/crocustally.v1.Control/Follow"))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(Full::new(Bytes::from(message)))
        .unwrap()
}

/// Guards against feeds whose queued updates use up the memory because nobody reads them.
#[test]
fn control_fits_feeds_without_reader_into_memory() {
    let _one = one_at_a_time();
    async_io::block_on(async {
        let name = "feeds";
        let mut control = Control::start(name, 9, 0).await;
        let mut feeds = Vec::new();
        let mut connections = Vec::new();
        for i in 0..FEED_CONNECTIONS {
            let stream = TcpStream::connect(control.peers).await.unwrap();
            stream.set_nodelay(true).unwrap();
            // Without keep-alive pings, so that the connection stays however slow the server is, and
            // with a small window, as the client library ends one on which much is unread.
            let (mut tx, conn) = http2::Builder::new(SmolExecutor::new(control.rt.clone()))
                .initial_stream_window_size(FEED_WINDOW)
                .handshake(FuturesIo::new(stream))
                .await
                .unwrap();
            control.rt.spawn(async move {
                let _ = conn.await;
            });
            for _ in 0..FEEDS / FEED_CONNECTIONS {
                let req = follow_request(control.peers, &format!("g-{i}"));
                feeds.push(timeout(FOLLOW_TIMEOUT, tx.send_request(req)).await);
            }
            connections.push(tx);
        }
        sleep(LOAD_TIME).await;
        let mut failures = control.check(name, "under load").await;
        println!(
            "{name}: {} feeds open",
            feeds.iter().filter(|f| matches!(f, Some(Ok(_)))).count()
        );
        drop(feeds);
        drop(connections);
        sleep(Duration::from_secs(1)).await;
        failures.extend(control.check(name, "afterwards").await);
        assert!(failures.is_empty(), "{name}: {failures:?}");
        let _ = std::fs::remove_dir_all(folder(name));
    });
}

/// Checks the admin address of a rank agent while clients act and afterwards.
fn check_rank(name: &str, host: u8, client: &Client) {
    let _one = one_at_a_time();
    async_io::block_on(async {
        let rt = Runtime::start(2);
        let admin = SocketAddr::new(ip(host), ADMIN_PORT);
        let settings = json!({
            "name": "rank-0", "service": "s", "log": "json", "memory_mb": MEMORY_MB,
            "engine": SocketAddr::new(ip(host), CONTROL_PORT).to_string(),
            "seeds": [SocketAddr::new(ip(host), CONTROL_PORT).to_string()],
            "control_port": PEER_PORT, "admin": {"address": admin.to_string()},
        });
        let folder = folder(name);
        let program = env!("CARGO_BIN_EXE_crocustally-rank");
        let mut daemon = Daemon::start(program, &folder, name, &settings.to_string(), DESCRIPTORS);
        let answers = async |tries: usize| {
            for _ in 0..tries {
                if call(&rt, admin, "GET", "/metrics", "").await.0 == 200 {
                    return true;
                }
                sleep(Duration::from_millis(100)).await;
            }
            false
        };
        assert!(answers(START_TRIES).await, "{name}: not started: {}", daemon.read_log());
        let load = ClientLoad::start(&rt, admin, MANY_CLIENTS, client);
        sleep(LOAD_TIME).await;
        let mut failures = Vec::new();
        for when in ["under load", "afterwards"] {
            let descriptors = daemon.descriptors();
            let answered = answers(TRIES).await;
            let peak = daemon.peak_memory() / 1024 / 1024;
            println!("{name}, {when}: {descriptors} descriptors, peak {peak} MB, {answered}");
            if descriptors >= DESCRIPTORS || !answered || peak >= MEMORY_MB as u64 {
                let seen = format!("{descriptors} descriptors, peak {peak} MB, answers {answered}");
                failures.push(format!("{when}: {seen}"));
            }
            if !daemon.is_alive() {
                failures.push(format!("{when}: the process ended"));
            }
            if when == "under load" {
                load.end();
                sleep(Duration::from_secs(1)).await;
            }
        }
        drop(load);
        assert!(failures.is_empty(), "{name}: {failures:?}");
        let _ = std::fs::remove_dir_all(folder);
    });
}

/// Guards against idle connections to the admin address that occupy all descriptors.
#[test]
fn rank_agent_answers_beside_idle_connections() {
    check_rank("rank-idle", 20, &Client::Idle);
}

/// Guards against heads at the admin address that occupy all descriptors.
#[test]
fn rank_agent_answers_beside_heads_that_never_end() {
    check_rank("rank-heads", 21, &Client::Head);
}
