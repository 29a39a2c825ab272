//! [`LoadGenerator`]: open-loop load, with arrivals that do not depend on earlier responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crocustally_fleet::workspace_key;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_standin::Caller;
use crocustally_standin::CallerRequest;
use crocustally_standin::CallerResponse;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Attempts of a caller at one request, each at another entry.
const ATTEMPTS_MAX: usize = 3;
/// Delay of a caller before each retry.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Rate and contents of the generated requests.
#[derive(Clone, Debug)]
pub(crate) struct LoadSettings {
    /// Mean arrival rate, in requests per second.
    pub(crate) requests_per_s: f64,
    /// Share of bookings among all requests.
    pub(crate) booking_share: f64,
    /// Tokens of each chat response.
    pub(crate) response_tokens: u64,
    /// Number of distinct prompt prefixes.
    pub(crate) prefix_count: u32,
    /// Number of workspaces that send requests.
    pub(crate) workspace_count: usize,
    /// Seed of arrival times and request contents.
    pub(crate) seed: u64,
}

/// The result of one request after the last attempt of its caller.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    /// Phase at the time of the first attempt.
    pub(crate) phase: usize,
    /// Idempotency key, if the request is a booking.
    pub(crate) idempotency_key: Option<String>,
    /// Whether the caller received a complete response.
    pub(crate) complete: bool,
    /// Whether the request was run, according to the last response: `no`, `yes`, `unknown` or
    /// empty.
    pub(crate) ran: String,
    /// Code of the last response.
    pub(crate) code: u32,
    /// Whether any response was interrupted.
    pub(crate) interrupted: bool,
    /// Each interrupted response: the entry, and the times when the attempt started and ended.
    pub(crate) interruptions: Vec<(usize, Instant, Instant)>,
    /// Number of attempts after the first.
    pub(crate) retries: usize,
    /// Time from the first attempt to the first byte of the last response.
    pub(crate) time_to_first_byte: Duration,
}

/// Generates requests in the background until [`LoadGenerator::finish`].
#[derive(Clone)]
pub(crate) struct LoadGenerator {
    inner: Arc<Inner>,
}

struct Inner {
    rt: Runtime,
    cfg: LoadSettings,
    entries: Vec<SocketAddr>,
    idle_callers: Vec<Mutex<Vec<Caller>>>,
    phase: AtomicUsize,
    stop: AtomicBool,
    in_flight: AtomicUsize,
    next_request: AtomicU64,
    results: Mutex<Vec<RequestResult>>,
}

impl LoadGenerator {
    /// Starts sending to the entries round robin, as the load balancer of the platform does.
    pub(crate) fn start(rt: &Runtime, entries: Vec<SocketAddr>, cfg: LoadSettings) -> Self {
        let inner = Inner {
            rt: rt.clone(),
            cfg,
            idle_callers: entries.iter().map(|_| Mutex::new(Vec::new())).collect(),
            entries,
            phase: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            next_request: AtomicU64::new(0),
            results: Mutex::new(Vec::new()),
        };
        let generator = Self { inner: Arc::new(inner) };
        rt.spawn(generator.clone().generate_arrivals());
        generator
    }

    /// Attributes all requests from now on to `phase`.
    pub(crate) fn set_phase(&self, phase: usize) {
        self.inner.phase.store(phase, Ordering::Relaxed);
    }

    /// Stops generating requests, waits for those in flight and returns all results.
    pub(crate) async fn finish(self) -> Vec<RequestResult> {
        self.inner.stop.store(true, Ordering::Release);
        while self.inner.in_flight.load(Ordering::Acquire) > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        let mut results = self.inner.results.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut results)
    }

    async fn generate_arrivals(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.inner.cfg.seed);
        let mut next_arrival = Instant::now();
        while !self.inner.stop.load(Ordering::Acquire) {
            let wait_s = -(1.0 - rng.random::<f64>()).ln() / self.inner.cfg.requests_per_s;
            next_arrival += Duration::from_secs_f64(wait_s);
            sleep(next_arrival.saturating_duration_since(Instant::now())).await;
            let n = self.inner.next_request.fetch_add(1, Ordering::Relaxed);
            let (req, key) = self.random_request(n, &mut rng);
            self.inner.in_flight.fetch_add(1, Ordering::AcqRel);
            let generator = self.clone();
            self.inner.rt.spawn(async move {
                let result = generator.send_with_retries(n as usize, req, key).await;
                generator.inner.results.lock().unwrap_or_else(PoisonError::into_inner).push(result);
                generator.inner.in_flight.fetch_sub(1, Ordering::AcqRel);
            });
        }
    }

    fn random_request(&self, n: u64, rng: &mut ChaCha8Rng) -> (CallerRequest, Option<String>) {
        let cfg = &self.inner.cfg;
        let workspace = workspace_key(rng.random_range(0..cfg.workspace_count));
        if rng.random_bool(cfg.booking_share) {
            let key = format!("booking-{}-{n}", cfg.seed);
            return (CallerRequest::booking(&workspace, &key, "room 4"), Some(key));
        }
        // Squaring the uniform variate skews popularity towards low prefixes, as for real courses.
        let u: f64 = rng.random();
        let prefix = (f64::from(cfg.prefix_count) * u * u) as u32;
        let system = format!("course {prefix}");
        (CallerRequest::chat(&workspace, &system, &n.to_string(), cfg.response_tokens), None)
    }

    async fn send_with_retries(
        &self,
        n: usize,
        req: CallerRequest,
        idempotency_key: Option<String>,
    ) -> RequestResult {
        let started = Instant::now();
        let phase = self.inner.phase.load(Ordering::Relaxed);
        let response_tokens = self.inner.cfg.response_tokens;
        let mut result = RequestResult {
            phase,
            idempotency_key,
            complete: false,
            ran: String::new(),
            code: 0,
            interrupted: false,
            interruptions: Vec::new(),
            retries: 0,
            time_to_first_byte: Duration::ZERO,
        };
        for i in 0..ATTEMPTS_MAX {
            if i > 0 {
                sleep(RETRY_DELAY).await;
                result.retries += 1;
            }
            let attempt_started = Instant::now();
            let entry = (n + i) % self.inner.entries.len();
            let response = self.send_once(entry, &req).await;
            result.complete = match result.idempotency_key {
                Some(_) => response.status == 200 && response.complete,
                None => response.is_complete_stream(0, response_tokens),
            };
            result.time_to_first_byte =
                attempt_started.duration_since(started) + response.time_to_first_byte;
            if response.status == 200 && !result.complete {
                result.interrupted = true;
                result.interruptions.push((entry, attempt_started, Instant::now()));
            }
            result.code = response.code;
            result.ran = response.ran;
            if result.complete {
                break;
            }
        }
        result
    }

    async fn send_once(&self, entry: usize, req: &CallerRequest) -> CallerResponse {
        let idle_callers = &self.inner.idle_callers[entry];
        let idle_caller = idle_callers.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let new_caller = || Caller::new(&self.inner.rt, self.inner.entries[entry]);
        let mut caller = idle_caller.unwrap_or_else(new_caller);
        let response = caller.send(req).await;
        if response.complete {
            idle_callers.lock().unwrap_or_else(PoisonError::into_inner).push(caller);
        }
        response
    }
}
