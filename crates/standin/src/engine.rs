//! [`Engine`]: a stand-in model engine with continuous batching, a prefix cache and cold starts.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_core::Digest;
use crocustally_net::ResponseBody;
use crocustally_net::Runtime;
use crocustally_net::full_body;
use crocustally_net::sleep;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use crate::serve::Connections;
use crate::serve::serve;

/// How a stand-in engine behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Time between tokens while the batch is within `capacity`.
    pub token_time: Duration,
    /// Time to read a prompt that is not cached.
    pub prefill_time: Duration,
    /// Share of `prefill_time` that a cached prefix still costs.
    pub cached_prefill_share: f64,
    /// Requests in a batch without slowing it.
    pub capacity: usize,
    /// How long after a start the engine is cold.
    pub cold_time: Duration,
    /// Requests at once that kill it while cold.
    pub cold_capacity: usize,
    /// How long it stays away after a death.
    pub down_time: Duration,
    /// Prompt prefixes that it keeps.
    pub cached_prefixes_max: usize,
    /// Factor on all its times; above 1 for a slow one.
    pub slowdown: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            token_time: Duration::from_millis(4),
            prefill_time: Duration::from_millis(20),
            cached_prefill_share: 0.2,
            capacity: 16,
            cold_time: Duration::ZERO,
            cold_capacity: 4,
            down_time: Duration::from_millis(300),
            cached_prefixes_max: 64,
            slowdown: 1.0,
        }
    }
}

impl EngineSettings {
    /// With no time of its own, for measuring the path.
    pub fn instant() -> Self {
        Self { token_time: Duration::ZERO, prefill_time: Duration::ZERO, ..Self::default() }
    }
}

#[derive(Debug, Default)]
struct State {
    start: u64,
    started: Option<Instant>,
    down_until: Option<Instant>,
    in_flight: usize,
    in_flight_max: usize,
    cached: VecDeque<u64>,
    cache_hits: u64,
    requests: u64,
    cancelled: u64,
    deaths: u64,
    last_request_at: Option<Instant>,
    crashes: u64,
}

/// A running stand-in engine.
#[derive(Clone)]
pub struct Engine {
    cfg: Arc<EngineSettings>,
    state: Arc<Mutex<State>>,
    connections: Connections,
    address: SocketAddr,
}

/// Text in a prompt that kills the engine that runs it.
pub const CRASH_MARKER: &str = "CRASH-THE-ENGINE";

/// A request's place in the batch; dropping it unfinished counts as a cancellation.
struct InFlight {
    engine: Engine,
    start: u64,
    done: bool,
}

impl InFlight {
    fn finish(mut self) {
        self.done = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if state.start == self.start {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.cancelled += u64::from(!self.done);
        }
    }
}

impl Engine {
    /// Starts an engine on `address`.
    pub async fn start(
        rt: &Runtime,
        address: SocketAddr,
        cfg: EngineSettings,
    ) -> std::io::Result<Self> {
        let now = Instant::now();
        let state = State { start: 1, started: Some(now), ..State::default() };
        let mut engine = Self {
            cfg: Arc::new(cfg),
            state: Arc::new(Mutex::new(state)),
            connections: Connections::default(),
            address,
        };
        let (alive, shared) = (engine.clone(), engine.clone());
        let handler = move |req| {
            let engine = shared.clone();
            async move { engine.answer(req).await }
        };
        let connections = engine.connections.clone();
        engine.address = serve(rt, address, connections, move || alive.is_up(), handler).await?;
        Ok(engine)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Kills it; it comes back cold, under a new start number, after `down_time`.
    pub fn crash(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let back = now + self.cfg.down_time;
        state.start += 1;
        state.deaths += 1;
        state.started = Some(back);
        state.down_until = Some(back);
        state.in_flight = 0;
        state.cached.clear();
        drop(state);
        self.connections.break_all();
    }

    /// Turns it cold without a word: an empty cache and the small capacity again.
    pub fn restart_cold(&self) {
        let mut state = self.lock();
        state.started = Some(Instant::now());
        state.start += 1;
        state.in_flight = 0;
        state.cached.clear();
    }

    /// Requests running now.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    /// Most requests that ever ran at once.
    pub fn in_flight_max(&self) -> usize {
        self.lock().in_flight_max
    }

    /// Times that it died.
    pub fn crash_count(&self) -> u64 {
        self.lock().deaths
    }

    /// Times that a crashing request killed it.
    pub fn crashes_by_request(&self) -> u64 {
        self.lock().crashes
    }

    /// When it last began a request.
    pub fn last_request_at(&self) -> Option<Instant> {
        self.lock().last_request_at
    }

    /// Requests that were broken off by their caller.
    pub fn cancelled(&self) -> u64 {
        self.lock().cancelled
    }

    /// Requests, and how many of them found their prefix cached.
    pub fn cache_stats(&self) -> (u64, u64) {
        let state = self.lock();
        (state.requests, state.cache_hits)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_up(&self) -> bool {
        self.lock().down_until.is_none_or(|t| Instant::now() >= t)
    }

    async fn answer(self, req: Request<Incoming>) -> Response<ResponseBody> {
        match req.uri().path() {
            "/health" => self.health(),
            "/v1/chat/completions" => self.complete(req).await,
            _ => status(404, "not found"),
        }
    }

    fn health(&self) -> Response<ResponseBody> {
        let state = self.lock();
        let prefixes: Vec<u64> = state.cached.iter().rev().take(8).copied().collect();
        let body =
            json!({"start": state.start, "in_flight": state.in_flight, "prefixes": prefixes});
        json_response(&body, state.start)
    }

    async fn complete(self, req: Request<Incoming>) -> Response<ResponseBody> {
        let resume = header_number(&req, "x-resume-from");
        let Ok(body) = req.into_body().collect().await else { return status(400, "body") };
        let body = body.to_bytes();
        let Ok(ask) = serde_json::from_slice::<Value>(&body) else { return status(400, "json") };
        let Some(place) = self.enter() else { return status(500, "dead") };
        if String::from_utf8_lossy(&body).contains(CRASH_MARKER) {
            sleep(self.cfg.token_time * 2).await;
            self.lock().crashes += 1;
            self.crash();
            return status(500, "dead");
        }
        let prefix = prompt_prefix(&ask);
        sleep(self.prefill(prefix, resume)).await;
        let tokens = ask["max_tokens"].as_u64().unwrap_or(16);
        let word = Digest::of(&[&body]).hex()[..6].to_owned();
        let start = place.start;
        if ask["stream"].as_bool().unwrap_or(false) {
            return self.stream(place, tokens, resume, word);
        }
        self.whole(place, tokens, &word, start).await
    }

    fn enter(&self) -> Option<InFlight> {
        let mut state = self.lock();
        state.in_flight += 1;
        state.requests += 1;
        state.last_request_at = Some(Instant::now());
        state.in_flight_max = state.in_flight_max.max(state.in_flight);
        let cold = state.started.is_some_and(|t| t.elapsed() < self.cfg.cold_time);
        let start = state.start;
        if cold && state.in_flight > self.cfg.cold_capacity {
            drop(state);
            self.crash();
            return None;
        }
        Some(InFlight { engine: self.clone(), start, done: false })
    }

    fn prefill(&self, prefix: u64, resume: u64) -> Duration {
        let mut state = self.lock();
        let hit = state.cached.contains(&prefix);
        state.cached.retain(|p| *p != prefix);
        state.cached.push_back(prefix);
        if state.cached.len() > self.cfg.cached_prefixes_max {
            state.cached.pop_front();
        }
        state.cache_hits += u64::from(hit);
        let share = if hit { self.cfg.cached_prefill_share } else { 1.0 };
        let crowd = self.crowding(state.in_flight);
        let resumed = if resume > 0 { 1.2 } else { 1.0 };
        self.cfg.prefill_time.mul_f64(share * crowd * resumed * self.cfg.slowdown)
    }

    fn crowding(&self, in_flight: usize) -> f64 {
        (in_flight as f64 / self.cfg.capacity as f64).max(1.0)
    }

    fn token_time(&self) -> Duration {
        let crowd = self.crowding(self.lock().in_flight);
        self.cfg.token_time.mul_f64(crowd * self.cfg.slowdown)
    }

    fn stream(
        self,
        place: InFlight,
        tokens: u64,
        resume: u64,
        word: String,
    ) -> Response<ResponseBody> {
        let start = place.start;
        let engine = self;
        let events =
            futures_lite::stream::unfold((place, resume), move |(place, i): (InFlight, u64)| {
                let (engine, word) = (engine.clone(), word.clone());
                async move {
                    if engine.lock().start != place.start {
                        return Some((Err(std::io::Error::other("engine died")), (place, i)));
                    }
                    if i > tokens {
                        place.finish();
                        return None;
                    }
                    let wait = engine.token_time();
                    if i > resume && !wait.is_zero() {
                        sleep(wait).await;
                    }
                    let text = event(i, tokens, &word);
                    Some((Ok(Frame::data(Bytes::from(text))), (place, i + 1)))
                }
            });
        let body = BodyExt::boxed_unsync(StreamBody::new(events));
        let mut response = Response::new(body);
        stamp(&mut response, "text/event-stream", start);
        response
    }

    async fn whole(
        self,
        place: InFlight,
        tokens: u64,
        word: &str,
        start: u64,
    ) -> Response<ResponseBody> {
        for _ in 0..tokens {
            let wait = self.token_time();
            if !wait.is_zero() {
                sleep(wait).await;
            }
        }
        place.finish();
        let text: String = (0..tokens).map(|i| format!("{word}-{i} ")).collect();
        let message = json!({"role": "assistant", "content": text});
        json_response(&json!({"choices": [{"index": 0, "message": message}]}), start)
    }
}

/// The event at place `i`: a numbered token, or the end.
fn event(i: u64, tokens: u64, word: &str) -> String {
    if i == tokens {
        return "data: [DONE]\n\n".to_owned();
    }
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{word}-{i} \"}}}}]}}\n\n")
}

/// Fingerprint of the first message, which is what requests of one kind share.
fn prompt_prefix(ask: &Value) -> u64 {
    let first = ask["messages"][0]["content"].as_str().unwrap_or_default();
    Digest::of(&[first.as_bytes()]).to_u64()
}

fn header_number(req: &Request<Incoming>, name: &str) -> u64 {
    let value = req.headers().get(name).and_then(|v| v.to_str().ok());
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn stamp(response: &mut Response<ResponseBody>, kind: &'static str, start: u64) {
    let headers = response.headers_mut();
    let kind = hyper::header::HeaderValue::from_static(kind);
    headers.insert(hyper::header::CONTENT_TYPE, kind);
    headers.insert("x-engine-start", start.into());
}

fn json_response(body: &Value, start: u64) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body.to_string()));
    stamp(&mut response, "application/json", start);
    response
}

pub(crate) fn status(code: u16, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}
