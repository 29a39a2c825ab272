//! Load from callers with persistent connections, and a record of each attempt.

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

use crate::GATEWAYS;
use crate::calls::CallerResponse;
use crate::calls::caller_request;

/// Number of callers per gateway.
const CALLERS_PER_GATEWAY: usize = 4;
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(25);
/// Deadline of each attempt, in milliseconds.
const DEADLINE_MS: u64 = 1500;
/// Time after the deadline for which a caller still waits for the response.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
const KINDS: [&str; 3] = ["safe", "once", "stream"];

/// One attempt of a caller and its response.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub kind: &'static str,
    pub gateway: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// `None` if the connection broke before a response, or on a timeout.
    pub response: Option<CallerResponse>,
}

/// Callers that send requests until [`Load::finish`].
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
            running: Arc::new(AtomicUsize::new(CALLERS_PER_GATEWAY * GATEWAYS)),
        };
        for (gateway, address) in gateways.into_iter().enumerate() {
            for caller in 0..CALLERS_PER_GATEWAY {
                let (attempts, stop) = (load.attempts.clone(), load.stop.clone());
                let (rt2, running) = (rt.clone(), load.running.clone());
                rt.spawn(async move {
                    let client = HttpClient::new(&rt2, address);
                    let mut n = 0;
                    while !stop.load(Ordering::Acquire) {
                        n += 1;
                        let kind = KINDS[(caller + n) % KINDS.len()];
                        let id = format!("g{gateway}c{caller}n{n}");
                        let attempt = send_attempt(&client, kind, gateway, id).await;
                        attempts.lock().unwrap().push(attempt);
                        sleep(PAUSE).await;
                    }
                    running.fetch_sub(1, Ordering::AcqRel);
                });
            }
        }
        load
    }

    /// Attempts that have ended so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap().clone()
    }

    /// Stops all callers and returns all attempts.
    pub async fn finish(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::Release);
        while self.running.load(Ordering::Acquire) > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        self.attempts()
    }
}

async fn send_attempt(
    client: &HttpClient,
    kind: &'static str,
    gateway: usize,
    id: String,
) -> Attempt {
    let sent_at = Instant::now();
    let path = format!("/{kind}/{id}");
    let req = caller_request(&path, &id, DEADLINE_MS, Some("k"), &id);
    // At-most-once requests use a new connection: the gateway may close an idle one during the
    // send.
    let call = async {
        let (response, conn) = client.send(req, kind == "once").await.ok()?;
        let response = CallerResponse::read(response).await;
        if response.complete {
            client.put_idle(conn);
        }
        Some(response)
    };
    let call_timeout = Duration::from_millis(DEADLINE_MS) + DEADLINE_SLACK;
    let response = timeout(call_timeout, call).await.flatten();
    Attempt { id, kind, gateway, sent_at, ended_at: Instant::now(), response }
}
