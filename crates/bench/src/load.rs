//! [`Load`]: callers who send at random times, whatever becomes of what they sent before.

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

/// Times that a caller sends one request, each time at another entry.
const SENDINGS: usize = 3;
/// Pause of a caller before it sends again.
const SEND_AGAIN: Duration = Duration::from_millis(200);

/// What callers send.
#[derive(Clone, Debug)]
pub(crate) struct LoadSettings {
    /// Requests a second.
    pub(crate) rate: f64,
    /// Share of bookings among them.
    pub(crate) bookings: f64,
    /// Tokens of each answer.
    pub(crate) tokens: u64,
    /// Different prompt prefixes.
    pub(crate) prefixes: u32,
    /// Workspaces.
    pub(crate) workspaces: usize,
    /// Seed of arrivals and contents.
    pub(crate) seed: u64,
}

/// What became of one request, after its caller's last sending.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    /// Phase in which it was first sent.
    pub(crate) phase: usize,
    /// Idempotency key of a booking.
    pub(crate) key: Option<String>,
    /// Whether the caller got its whole answer.
    pub(crate) whole: bool,
    /// Word of the last answer: `no`, `yes`, `unknown` or nothing.
    pub(crate) ran: String,
    /// Code of the last answer.
    pub(crate) code: u32,
    /// Whether an answer was broken off.
    pub(crate) cut: bool,
    /// Entries that broke an answer off, and when the answer was asked for and had ended.
    pub(crate) cuts: Vec<(usize, Instant, Instant)>,
    /// Sendings after the first.
    pub(crate) repeats: usize,
    /// From the first sending to the first byte of the last answer.
    pub(crate) first: Duration,
}

/// Load under way.
#[derive(Clone)]
pub(crate) struct Load {
    inner: Arc<Inner>,
}

struct Inner {
    rt: Runtime,
    cfg: LoadSettings,
    entries: Vec<SocketAddr>,
    pools: Vec<Mutex<Vec<Caller>>>,
    phase: AtomicUsize,
    stop: AtomicBool,
    under_way: AtomicUsize,
    number: AtomicU64,
    done: Mutex<Vec<Sent>>,
}

impl Load {
    /// Starts sending to these entries in turn, as the platform's balancer does.
    pub(crate) fn start(rt: &Runtime, entries: Vec<SocketAddr>, cfg: LoadSettings) -> Self {
        let inner = Inner {
            rt: rt.clone(),
            cfg,
            pools: entries.iter().map(|_| Mutex::new(Vec::new())).collect(),
            entries,
            phase: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            under_way: AtomicUsize::new(0),
            number: AtomicU64::new(0),
            done: Mutex::new(Vec::new()),
        };
        let load = Self { inner: Arc::new(inner) };
        rt.spawn(load.clone().arrivals());
        load
    }

    /// Counts what is sent from now on to another phase.
    pub(crate) fn set_phase(&self, phase: usize) {
        self.inner.phase.store(phase, Ordering::Relaxed);
    }

    /// Stops sending, waits for what is under way and answers what became of everything.
    pub(crate) async fn finish(self) -> Vec<Sent> {
        self.inner.stop.store(true, Ordering::Release);
        while self.inner.under_way.load(Ordering::Acquire) > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        let mut done = self.inner.done.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut done)
    }

    async fn arrivals(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.inner.cfg.seed);
        let mut at = Instant::now();
        while !self.inner.stop.load(Ordering::Acquire) {
            let wait_s = -(1.0 - rng.random::<f64>()).ln() / self.inner.cfg.rate;
            at += Duration::from_secs_f64(wait_s);
            sleep(at.saturating_duration_since(Instant::now())).await;
            let n = self.inner.number.fetch_add(1, Ordering::Relaxed);
            let (req, key) = self.request(n, &mut rng);
            self.inner.under_way.fetch_add(1, Ordering::AcqRel);
            let load = self.clone();
            self.inner.rt.spawn(async move {
                let sent = load.send(n as usize, req, key).await;
                load.inner.done.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
                load.inner.under_way.fetch_sub(1, Ordering::AcqRel);
            });
        }
    }

    fn request(&self, n: u64, rng: &mut ChaCha8Rng) -> (CallerRequest, Option<String>) {
        let cfg = &self.inner.cfg;
        let workspace = workspace_key(rng.random_range(0..cfg.workspaces));
        if rng.random_bool(cfg.bookings) {
            let key = format!("booking-{}-{n}", cfg.seed);
            return (CallerRequest::booking(&workspace, &key, "room 4"), Some(key));
        }
        // Popularity falls with rank, as that of courses and cakes does.
        let u: f64 = rng.random();
        let prefix = (f64::from(cfg.prefixes) * u * u) as u32;
        let system = format!("course {prefix}");
        (CallerRequest::chat(&workspace, &system, &n.to_string(), cfg.tokens), None)
    }

    async fn send(&self, n: usize, req: CallerRequest, key: Option<String>) -> Sent {
        let begun = Instant::now();
        let phase = self.inner.phase.load(Ordering::Relaxed);
        let tokens = self.inner.cfg.tokens;
        let mut sent = Sent {
            phase,
            key,
            whole: false,
            ran: String::new(),
            code: 0,
            cut: false,
            cuts: Vec::new(),
            repeats: 0,
            first: Duration::ZERO,
        };
        for i in 0..SENDINGS {
            if i > 0 {
                sleep(SEND_AGAIN).await;
                sent.repeats += 1;
            }
            let sending = Instant::now();
            let entry = (n + i) % self.inner.entries.len();
            let answer = self.exchange(entry, &req).await;
            sent.whole = match sent.key {
                Some(_) => answer.status == 200 && answer.complete,
                None => answer.is_complete_stream(0, tokens),
            };
            sent.first = sending.duration_since(begun) + answer.time_to_first_byte;
            if answer.status == 200 && !sent.whole {
                sent.cut = true;
                sent.cuts.push((entry, sending, Instant::now()));
            }
            sent.code = answer.code;
            sent.ran = answer.ran;
            if sent.whole {
                break;
            }
        }
        sent
    }

    async fn exchange(&self, entry: usize, req: &CallerRequest) -> CallerResponse {
        let pool = &self.inner.pools[entry];
        let idle = pool.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let fresh = || Caller::new(&self.inner.rt, self.inner.entries[entry]);
        let mut caller = idle.unwrap_or_else(fresh);
        let answer = caller.send(req).await;
        if answer.complete {
            pool.lock().unwrap_or_else(PoisonError::into_inner).push(caller);
        }
        answer
    }
}
