//! Many answers without end at a gateway that runs as a process: its memory stays below the
//! machine's, and the requests of others are answered.
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

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crocustally_net::Abandonment;
use crocustally_net::HttpClient;
use crocustally_net::HttpClientSettings;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use serde_json::json;

use calls::CallerResponse;
use calls::caller_request;
use deployment::CONTROLS;
use deployment::Deployment;
use endpoints::Answer;
use operator::Operator;

/// Memory of the smallest gateway; the platform's `limits.memory-mb`.
const MEMORY_MAX: u64 = 260 * 1024 * 1024;
/// Time that callers wait; the routes' `timeout-ms`.
const DEADLINE: Duration = Duration::from_millis(5000);
/// Requests at once of the report.
const MANY: usize = 120;
/// Requests at once that the 4,096 descriptors of a gateway allow, two each, with some to spare.
const MOST: usize = 1900;
/// Connections that may wait to be accepted; more at once are not heard of for a second or three.
const BACKLOG: usize = 100;
/// Length of a small sound answer in bytes.
const SMALL: usize = 4 * 1024;
/// Length of a large sound answer in bytes; below the gateway's `response_bytes_max`.
const LARGE: usize = 4 * 1024 * 1024;
/// Time in which gateway and endpoints find each other.
const DISCOVERY: Duration = Duration::from_secs(3);
/// Time within which a started deployment must accept its first configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Status and length of each answer, and the longest wait for one.
#[derive(Debug, Default)]
struct Answers {
    by_status: BTreeMap<u16, usize>,
    whole: usize,
    longest: Duration,
}

struct Run {
    rt: Runtime,
    d: Deployment,
    next_id: usize,
}

impl Run {
    async fn start(name: &str, net: u8, answer: Answer, slots: usize) -> Self {
        let rt = Runtime::start(2);
        let folder = std::env::temp_dir().join(format!("endless-{name}-{}", std::process::id()));
        let net = [(std::process::id() % 200 + 20) as u8, net];
        let d = Deployment::start(&rt, net, 0, 1, folder).await;
        let controls: Vec<_> = (0..CONTROLS).map(|i| d.control(i)).collect();
        let route = |name: &str, kind: &str, service: &str| {
            json!({"name": name, "host": "h", "path-prefix": format!("/{name}/"), "kind": kind,
                "timeout-ms": DEADLINE.as_millis() as u64, "target-latency-ms": 500, "priority": 1,
                "attempts": if kind == "stream" { 2 } else { 1 }, "resumable": kind == "stream", "service": service})
        };
        let service = |name: &str| json!({"name": name, "max-conns": 4000, "cold-per-s": 0.0});
        let config = json!({
            "version": 1,
            "routes": [route("once", "unsafe", "s"), route("stream", "stream", "s"),
                route("sound", "unsafe", "sound")],
            "services": [service("s"), service("sound")],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
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
            endpoints::start(&rt, &format!("i-{i}"), "s", answer, slots, &controls).await;
            endpoints::start(&rt, &format!("j-{i}"), "sound", Answer::Sound, 6, &controls).await;
        }
        sleep(DISCOVERY).await;
        Self { rt, d, next_id: 0 }
    }

    fn gateway(&self) -> SocketAddr {
        self.d.gateway(0)
    }

    /// Sends `n` requests at once and waits for the answers, while sound requests are sent beside
    /// them; returns the answers of all, the small and the large sound ones.
    async fn play(&mut self, path: &str, n: usize) -> [Answers; 3] {
        let done = Arc::new(AtomicBool::new(false));
        let requests: Vec<_> = (0..n).map(|_| self.request(path)).collect();
        let mut endless = Vec::new();
        for (i, request) in requests.into_iter().enumerate() {
            endless.push(self.rt.spawn_task(request));
            if i % BACKLOG == BACKLOG - 1 {
                sleep(Duration::from_millis(20)).await;
            }
        }
        let sound = [SMALL, LARGE].map(|length| {
            let (rt, to, done) = (self.rt.clone(), self.gateway(), done.clone());
            self.rt.spawn_task(async move {
                let answers = Mutex::new(Answers::default());
                for i in 0.. {
                    let path = format!("/sound/{i}/{length}");
                    let id = format!("s{length}-{i}");
                    ask(&rt, to, &path, &id, length, &answers).await;
                    if done.load(Ordering::Acquire) {
                        break;
                    }
                    sleep(Duration::from_millis(20)).await;
                }
                answers.into_inner().unwrap()
            })
        });
        let mut all = Answers::default();
        for task in endless {
            let one = task.await;
            one.by_status.iter().for_each(|(s, n)| *all.by_status.entry(*s).or_default() += n);
            all.longest = all.longest.max(one.longest);
        }
        done.store(true, Ordering::Release);
        let [small, large] = sound;
        [all, small.await, large.await]
    }

    fn request(&mut self, path: &str) -> impl Future<Output = Answers> + use<> {
        self.next_id += 1;
        let (rt, to, path) = (self.rt.clone(), self.gateway(), path.to_owned());
        let id = format!("e{}", self.next_id);
        async move {
            let answers = Mutex::new(Answers::default());
            ask(&rt, to, &path, &id, 0, &answers).await;
            answers.into_inner().unwrap()
        }
    }
}

async fn ask(
    rt: &Runtime,
    to: SocketAddr,
    path: &str,
    id: &str,
    length: usize,
    answers: &Mutex<Answers>,
) {
    // A busy gateway may accept a connection late.
    let cfg = HttpClientSettings {
        connect_timeout: DEADLINE,
        abandonment: Abandonment::KernelTimeout(2 * DEADLINE),
        ..HttpClientSettings::default()
    };
    let client = HttpClient::with_settings(rt, to, cfg);
    let asked = Instant::now();
    let call = async {
        let req = caller_request(path, id, DEADLINE.as_millis() as u64, Some("k"), "ask");
        let (response, _conn) = client.send(req, true).await.ok()?;
        Some(CallerResponse::read(response).await)
    };
    let response = timeout(2 * DEADLINE, call).await.flatten();
    let mut answers = answers.lock().unwrap();
    answers.longest = answers.longest.max(asked.elapsed());
    *answers.by_status.entry(response.as_ref().map_or(0, |r| r.status)).or_default() += 1;
    let whole = response.is_some_and(|r| r.status == 200 && r.complete && r.body.len() == length);
    answers.whole += usize::from(whole);
}

/// The gateway's peak stays below its memory, every answer without end is a true failure, small sound
/// answers all pass, and large ones pass beside them.
async fn check(name: &str, net: u8, answer: Answer, path: &str, n: usize) {
    let mut run = Run::start(name, net, answer, n / 2).await;
    let [endless, small, large] = run.play(path, n).await;
    let peak = run.d.peak_memory(CONTROLS);
    println!(
        "{name}: peak {} MB; {n} endless {:?}, longest {:?}; small sound {}/{} {:?}, longest {:?}; \
         large sound {}/{} {:?}, longest {:?}",
        peak / 1024 / 1024,
        endless.by_status,
        endless.longest,
        small.whole,
        small.by_status.values().sum::<usize>(),
        small.by_status,
        small.longest,
        large.whole,
        large.by_status.values().sum::<usize>(),
        large.by_status,
        large.longest,
    );
    assert!(run.d.take_exit_status(CONTROLS).is_none(), "{name}: the gateway ended");
    assert!(peak > 0 && peak < MEMORY_MAX, "{name}: peak of {peak} bytes");
    let statuses: Vec<u16> = endless.by_status.keys().copied().collect();
    // A stream's head may have been sent before it broke off, and the time of as many requests as
    // connections may run out before their bytes are read.
    let allowed = |s: &u16| {
        [502, 503].contains(s)
            || (*s == 200 && path.starts_with("/stream"))
            || (*s == 504 && n == MOST)
    };
    assert!(statuses.iter().all(allowed), "{name}: {statuses:?}");
    assert!(endless.by_status.contains_key(&502), "{name}: no answer without end was read");
    assert_eq!(Some(&small.whole), small.by_status.get(&200), "{name}: small {small:?}");
    assert_eq!(small.by_status.len(), 1, "{name}: small {small:?}");
    assert!(large.whole > 0, "{name}: large {large:?}");
}

/// Guards against a gateway that keeps many answers without end until it runs out of memory.
#[test]
fn bodies_without_end_fit_into_memory() {
    async_io::block_on(check("body", 1, Answer::Body, "/once/x", MANY));
}

/// Guards against the same in chunks.
#[test]
fn chunks_without_end_fit_into_memory() {
    async_io::block_on(check("chunks", 2, Answer::Chunks, "/once/x", MANY));
}

/// Guards against interim responses without end, which took the gateway's thread until the deadline.
#[test]
fn interim_responses_without_end_do_not_take_the_thread() {
    async_io::block_on(check("interim", 5, Answer::Interim, "/once/x", MANY));
}

/// Guards against limits that hold for each answer but not for as many as connections allow.
#[test]
fn as_many_bodies_without_end_as_connections_fit_into_memory() {
    async_io::block_on(check("bodies", 3, Answer::Body, "/once/x", MOST));
}

/// Guards against the same in events of streams.
#[test]
fn as_many_events_without_end_as_connections_fit_into_memory() {
    async_io::block_on(check("events", 4, Answer::Event, "/stream/x", MOST));
}
