//! Callers that keep their connections, and what each attempt came to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;

use crate::calls::Got;
use crate::calls::caller_request;
use crate::deployment::GATEWAYS;

/// Callers of each gateway.
const CALLERS: usize = 4;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Time that a caller gives each attempt, in milliseconds.
const DEADLINE_MS: u64 = 1500;
/// Time after the deadline in which an answer may still come.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
const KINDS: [&str; 3] = ["safe", "once", "stream"];

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub kind: &'static str,
    pub gateway: usize,
    pub sent: Instant,
    pub ended: Instant,
    /// None when the connection broke before an answer, or none came in time.
    pub got: Option<Got>,
}

/// Callers that run until they are told to stop.
pub struct Load {
    attempts: Arc<Mutex<Vec<Attempt>>>,
    stop: Arc<AtomicBool>,
    running: Arc<AtomicUsize>,
}

impl Load {
    pub fn start(rt: &Runtime, gateways: Vec<SocketAddr>) -> Self {
        let load = Self {
            attempts: Arc::default(),
            stop: Arc::default(),
            running: Arc::new(AtomicUsize::new(CALLERS * GATEWAYS)),
        };
        for (gateway, address) in gateways.into_iter().enumerate() {
            for caller in 0..CALLERS {
                let (attempts, stop) = (load.attempts.clone(), load.stop.clone());
                let (rt2, running) = (rt.clone(), load.running.clone());
                rt.spawn(async move {
                    let client = HttpClient::new(&rt2, address);
                    let mut n = 0;
                    while !stop.load(Ordering::Acquire) {
                        n += 1;
                        let kind = KINDS[(caller + n) % KINDS.len()];
                        let id = format!("g{gateway}c{caller}n{n}");
                        let attempt = attempt(&client, kind, gateway, id).await;
                        attempts.lock().unwrap().push(attempt);
                        sleep(PAUSE).await;
                    }
                    running.fetch_sub(1, Ordering::AcqRel);
                });
            }
        }
        load
    }

    /// Attempts that have ended.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap().clone()
    }

    pub async fn finish(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::Release);
        while self.running.load(Ordering::Acquire) > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        self.attempts()
    }
}

async fn attempt(client: &HttpClient, kind: &'static str, gateway: usize, id: String) -> Attempt {
    let sent = Instant::now();
    let path = format!("/{kind}/{id}");
    let req = caller_request(&path, &id, DEADLINE_MS, Some("k"), &id);
    // A request that may not run twice goes over a connection of its own.
    let call = async {
        let (answer, conn) = client.send(req, kind == "once").await.ok()?;
        let got = Got::read(answer).await;
        if got.complete {
            client.put_idle(conn);
        }
        Some(got)
    };
    let limit = Duration::from_millis(DEADLINE_MS) + DEADLINE_SLACK;
    let got = timeout(limit, call).await.flatten();
    Attempt { id, kind, gateway, sent, ended: Instant::now(), got }
}
