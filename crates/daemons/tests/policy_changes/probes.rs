//! Probes of every gateway: requests that show which version is in force there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::calls::CallerResponse;
use crate::calls::caller_request;
use crate::history::History;
use crate::versions::FIRST_KEY;
use crate::versions::FIRST_ROUTES;
use crate::versions::Outcome;

/// Callers of each gateway.
const CALLERS: usize = 4;
/// Time between two probes of a caller.
const PAUSE: Duration = Duration::from_millis(15);
/// Deadline of a probe, in milliseconds.
const DEADLINE_MS: u64 = 600;
/// Versions back from the newest whose routes and keys are probed.
const VERSIONS_BACK: usize = 6;

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Probe {
    pub id: String,
    pub gateway: usize,
    /// Incarnation of the gateway that answered; `None` if it is not certain.
    pub incarnation: Option<u64>,
    pub route: String,
    pub key: String,
    pub new_connection: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// Status of the response; 0 if there is none.
    pub status: u16,
    /// `None` if it shows no version: no response, or a failure.
    pub outcome: Option<Outcome>,
}

/// State that the callers share with the rest of the run.
#[derive(Clone)]
pub struct Shared {
    pub history: Arc<Mutex<History>>,
    /// Incarnation of each gateway; it grows when a process starts and when its end begins.
    pub incarnations: Arc<Vec<AtomicU64>>,
    pub stop: Arc<AtomicBool>,
}

/// Callers that send probes until [`Callers::finish`].
pub struct Callers {
    shared: Shared,
    probes: Arc<Mutex<Vec<Probe>>>,
    running: Arc<AtomicUsize>,
}

impl Callers {
    pub fn start(rt: &Runtime, shared: &Shared, gateways: &[SocketAddr], seed: u64) -> Self {
        let running = Arc::new(AtomicUsize::new(gateways.len() * CALLERS));
        let callers = Self { shared: shared.clone(), probes: Arc::default(), running };
        for (gateway, address) in gateways.iter().enumerate() {
            for caller in 0..CALLERS {
                let (shared, probes) = (shared.clone(), callers.probes.clone());
                let (client, running) = (HttpClient::new(rt, *address), callers.running.clone());
                let number = (gateway * CALLERS + caller) as u64;
                let mut rng = ChaCha8Rng::seed_from_u64(seed << 8 | number);
                rt.spawn(async move {
                    let mut n = 0;
                    while !shared.stop.load(Ordering::Acquire) {
                        n += 1;
                        let (route, key) = draw_target(&shared.history.lock().unwrap(), &mut rng);
                        let new_connection = rng.random_bool(0.3);
                        let id = format!("c{number}n{n}");
                        let p =
                            send(&client, &shared, gateway, id, route, key, new_connection).await;
                        probes.lock().unwrap().push(p);
                        sleep(PAUSE).await;
                    }
                    running.fetch_sub(1, Ordering::AcqRel);
                });
            }
        }
        callers
    }

    /// Stops all callers and returns the probes; `services` has the service that ran each request.
    pub async fn finish(self, services: impl Fn() -> HashMap<String, Vec<usize>>) -> Vec<Probe> {
        self.shared.stop.store(true, Ordering::Release);
        while self.running.load(Ordering::Acquire) > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        let ran = services();
        let mut all = Vec::new();
        for mut p in self.probes.lock().unwrap().drain(..) {
            let by = ran.get(&p.id).map_or(&[][..], Vec::as_slice);
            for service in by {
                all.push(Probe { outcome: Some(Outcome::Run(*service)), ..p.clone() });
            }
            if by.is_empty() {
                p.outcome =
                    matches!(p.status, 401 | 403 | 404).then_some(Outcome::Denied(p.status));
                all.push(p);
            }
        }
        all
    }
}

/// Draws a route and a key of the newest versions, some of which have dropped what others have, or
/// that no valid version ever had.
fn draw_target(history: &History, rng: &mut ChaCha8Rng) -> (String, String) {
    let back = rng.random_range(0..VERSIONS_BACK).min(history.sent.len() - 1);
    let version = &history.sent[history.sent.len() - 1 - back].version;
    let mut pick = |names: Vec<&String>| names[rng.random_range(0..names.len())].clone();
    let (route, key) = (pick(version.routes.keys().collect()), pick(version.keys.keys().collect()));
    let first_route = FIRST_ROUTES[rng.random_range(0..FIRST_ROUTES.len())].to_owned();
    match rng.random_range(0..10) {
        0 | 1 => (first_route, FIRST_KEY.to_owned()),
        2 => ("bad".to_owned(), FIRST_KEY.to_owned()),
        3 => (first_route, key),
        4 => (first_route, "k-never".to_owned()),
        5..=7 => (route, FIRST_KEY.to_owned()),
        _ => (route, key),
    }
}

async fn send(
    client: &HttpClient,
    shared: &Shared,
    gateway: usize,
    id: String,
    route: String,
    key: String,
    new_connection: bool,
) -> Probe {
    let incarnation = || shared.incarnations[gateway].load(Ordering::Acquire);
    let before = incarnation();
    let sent_at = Instant::now();
    let req = caller_request(&format!("/{route}/{id}"), &id, DEADLINE_MS, Some(&key), &id);
    let call = async {
        let (response, conn) = client.send(req, new_connection).await.ok()?;
        let response = CallerResponse::read(response).await;
        if response.complete {
            client.put_idle(conn);
        }
        Some(response.status)
    };
    let limit = Duration::from_millis(DEADLINE_MS + 300);
    let status = timeout(limit, call).await.flatten().unwrap_or(0);
    let incarnation = Some(before).filter(|b| *b == incarnation());
    let ended_at = Instant::now();
    let outcome = None;
    Probe {
        id,
        gateway,
        incarnation,
        route,
        key,
        new_connection,
        sent_at,
        ended_at,
        status,
        outcome,
    }
}
