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

/// Settings of a stand-in engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Time per generated token while at most `capacity` requests run.
    pub token_time: Duration,
    /// Prefill time of a prompt whose prefix is not cached.
    pub prefill_time: Duration,
    /// Share of `prefill_time` that a prompt with a cached prefix takes, from 0 to 1.
    pub cached_prefill_share: f64,
    /// Requests that run at once at full speed; with more, all times grow in proportion.
    pub capacity: usize,
    /// Time after a start during which the engine is cold.
    pub cold_time: Duration,
    /// Requests that a cold engine runs at once; one more crashes it.
    pub cold_capacity: usize,
    /// Time from a crash to the restart; meanwhile new connections are closed at once.
    pub down_time: Duration,
    /// Maximum number of cached prompt prefixes; the least recently used one is evicted.
    pub cached_prefixes_max: usize,
    /// KV memory for the parts of prompts that requests name in `prompt-prefix`, in tokens; 0 for an
    /// engine that keeps none of them after a request.
    pub retained_prompt_tokens: u64,
    /// Factor on prefill and token times; above 1 for a slow engine.
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
            retained_prompt_tokens: 0,
            slowdown: 1.0,
        }
    }
}

impl EngineSettings {
    /// Settings with zero prefill and token times, to measure the path to the engine.
    pub fn instant() -> Self {
        Self { token_time: Duration::ZERO, prefill_time: Duration::ZERO, ..Self::default() }
    }
}

#[derive(Debug, Default)]
struct State {
    start_number: u64,
    started_at: Option<Instant>,
    down_until: Option<Instant>,
    in_flight: usize,
    in_flight_max: usize,
    cached_prefixes: VecDeque<u64>,
    /// Beginnings of prompts with the tokens of their last part, the least recently used one first.
    retained_prompts: VecDeque<(String, u64)>,
    cache_hits: u64,
    requests: u64,
    cancelled: u64,
    crash_count: u64,
    last_request_at: Option<Instant>,
    crashes_by_request: u64,
}

/// A running stand-in engine.
#[derive(Clone)]
pub struct Engine {
    cfg: Arc<EngineSettings>,
    state: Arc<Mutex<State>>,
    connections: Connections,
    address: SocketAddr,
}

/// Text in a request body that crashes the engine running the request.
pub const CRASH_MARKER: &str = "CRASH-THE-ENGINE";

/// A request's slot in the batch. A request whose slot is dropped before [`Self::finish`] counts as
/// cancelled.
struct BatchSlot {
    engine: Engine,
    start_number: u64,
    finished: bool,
}

impl BatchSlot {
    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if state.start_number == self.start_number {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.cancelled += u64::from(!self.finished);
        }
    }
}

impl Engine {
    /// Starts an engine on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        rt: &Runtime,
        address: SocketAddr,
        cfg: EngineSettings,
    ) -> std::io::Result<Self> {
        let now = Instant::now();
        let state = State { start_number: 1, started_at: Some(now), ..State::default() };
        let mut engine = Self {
            cfg: Arc::new(cfg),
            state: Arc::new(Mutex::new(state)),
            connections: Connections::default(),
            address,
        };
        let (alive, shared) = (engine.clone(), engine.clone());
        let handler = move |req| {
            let engine = shared.clone();
            async move { engine.handle(req).await }
        };
        let connections = engine.connections.clone();
        engine.address = serve(rt, address, connections, move || alive.is_up(), handler).await?;
        Ok(engine)
    }

    /// Address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Crashes the engine: its connections break, running requests and the prefix cache are lost.
    ///
    /// It restarts cold, under a new start number, after `down_time`.
    pub fn crash(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let restart_at = now + self.cfg.down_time;
        state.start_number += 1;
        state.crash_count += 1;
        state.started_at = Some(restart_at);
        state.down_until = Some(restart_at);
        state.in_flight = 0;
        state.cached_prefixes.clear();
        state.retained_prompts.clear();
        drop(state);
        self.connections.break_all();
    }

    /// Restarts the engine in place: cold, with a new start number and an empty prefix cache.
    ///
    /// Connections stay open; running streams fail at their next token.
    pub fn restart_cold(&self) {
        let mut state = self.lock();
        state.started_at = Some(Instant::now());
        state.start_number += 1;
        state.in_flight = 0;
        state.cached_prefixes.clear();
        state.retained_prompts.clear();
    }

    /// Number of requests running now.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    /// Highest number of requests that ever ran at once.
    pub fn in_flight_max(&self) -> usize {
        self.lock().in_flight_max
    }

    /// Number of crashes of any cause.
    pub fn crash_count(&self) -> u64 {
        self.lock().crash_count
    }

    /// Number of crashes caused by a request that contains [`CRASH_MARKER`].
    pub fn crashes_by_request(&self) -> u64 {
        self.lock().crashes_by_request
    }

    /// Time at which the most recent request started.
    pub fn last_request_at(&self) -> Option<Instant> {
        self.lock().last_request_at
    }

    /// Number of requests whose client disconnected before the end of the response.
    pub fn cancelled(&self) -> u64 {
        self.lock().cancelled
    }

    /// Number of requests, and how many of them found their prefix cached.
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

    async fn handle(self, req: Request<Incoming>) -> Response<ResponseBody> {
        match req.uri().path() {
            "/health" => self.health(),
            "/v1/chat/completions" => self.handle_completion(req).await,
            _ => error(404, "not found"),
        }
    }

    fn health(&self) -> Response<ResponseBody> {
        let state = self.lock();
        let prefixes: Vec<u64> = state.cached_prefixes.iter().rev().take(8).copied().collect();
        let body = json!({
            "start": state.start_number,
            "in_flight": state.in_flight,
            "prefixes": prefixes,
        });
        json_response(&body, state.start_number)
    }

    async fn handle_completion(self, req: Request<Incoming>) -> Response<ResponseBody> {
        let resume_from = header_number(&req, "x-resume-from");
        let parts = header_text(&req, "prompt-prefix").map(str::to_owned);
        let Ok(body) = req.into_body().collect().await else { return error(400, "body") };
        let body = body.to_bytes();
        let Ok(chat) = serde_json::from_slice::<Value>(&body) else { return error(400, "json") };
        let Some(slot) = self.admit() else { return error(500, "dead") };
        if String::from_utf8_lossy(&body).contains(CRASH_MARKER) {
            sleep(self.cfg.token_time * 2).await;
            self.lock().crashes_by_request += 1;
            self.crash();
            return error(500, "dead");
        }
        let prefix = prompt_prefix(&chat);
        let parts = parts.filter(|_| self.cfg.retained_prompt_tokens > 0);
        let cached_share = match &parts {
            Some(parts) => self.retain_prompt(parts),
            None => self.cache_prefix(prefix),
        };
        sleep(self.prefill_time(cached_share, resume_from)).await;
        let tokens = chat["max_tokens"].as_u64().unwrap_or(16);
        let hash = Digest::of(&[&body]).hex()[..6].to_owned();
        let start_number = slot.start_number;
        if chat["stream"].as_bool().unwrap_or(false) {
            return self.stream(slot, tokens, resume_from, hash);
        }
        self.full_response(slot, tokens, &hash, start_number).await
    }

    fn admit(&self) -> Option<BatchSlot> {
        let mut state = self.lock();
        state.in_flight += 1;
        state.requests += 1;
        state.last_request_at = Some(Instant::now());
        state.in_flight_max = state.in_flight_max.max(state.in_flight);
        let cold = state.started_at.is_some_and(|t| t.elapsed() < self.cfg.cold_time);
        let start_number = state.start_number;
        if cold && state.in_flight > self.cfg.cold_capacity {
            drop(state);
            self.crash();
            return None;
        }
        Some(BatchSlot { engine: self.clone(), start_number, finished: false })
    }

    /// Caches a prefix; returns 1 if it was cached before, else 0.
    fn cache_prefix(&self, prefix: u64) -> f64 {
        let mut state = self.lock();
        let cache_hit = state.cached_prefixes.contains(&prefix);
        state.cached_prefixes.retain(|p| *p != prefix);
        state.cached_prefixes.push_back(prefix);
        if state.cached_prefixes.len() > self.cfg.cached_prefixes_max {
            state.cached_prefixes.pop_front();
        }
        state.cache_hits += u64::from(cache_hit);
        f64::from(u8::from(cache_hit))
    }

    /// Retains the parts of a prompt, given as comma-separated `id:tokens`; returns the share of its
    /// tokens that was retained before.
    fn retain_prompt(&self, parts: &str) -> f64 {
        let ends = parts.match_indices(',').map(|(i, _)| i).chain([parts.len()]);
        let beginnings: Vec<(&str, u64)> = ends
            .map(|end| {
                let tokens = parts[..end].rsplit(':').next().and_then(|t| t.trim().parse().ok());
                (&parts[..end], tokens.unwrap_or(0))
            })
            .collect();
        let mut state = self.lock();
        let is_held =
            |(text, _): &&(&str, u64)| state.retained_prompts.iter().any(|(held, _)| held == text);
        let held: u64 = beginnings.iter().take_while(is_held).map(|(_, tokens)| tokens).sum();
        let total: u64 = beginnings.iter().map(|(_, tokens)| tokens).sum();
        state.retained_prompts.retain(|(held, _)| beginnings.iter().all(|(text, _)| held != text));
        // The first part is evicted last: without it, the others are of no use.
        let newest = beginnings.iter().rev().map(|(text, tokens)| ((*text).to_owned(), *tokens));
        state.retained_prompts.extend(newest);
        let mut sum: u64 = state.retained_prompts.iter().map(|(_, tokens)| tokens).sum();
        while sum > self.cfg.retained_prompt_tokens
            && let Some((_, tokens)) = state.retained_prompts.pop_front()
        {
            sum -= tokens;
        }
        state.cache_hits += u64::from(held > 0);
        held as f64 / total.max(1) as f64
    }

    /// Prefill time of a prompt of which a share, from 0 to 1, is cached.
    fn prefill_time(&self, cached_share: f64, resume_from: u64) -> Duration {
        let share = 1.0 - cached_share * (1.0 - self.cfg.cached_prefill_share);
        let load_factor = self.load_factor(self.lock().in_flight);
        let resume_factor = if resume_from > 0 { 1.2 } else { 1.0 };
        self.cfg.prefill_time.mul_f64(share * load_factor * resume_factor * self.cfg.slowdown)
    }

    fn load_factor(&self, in_flight: usize) -> f64 {
        (in_flight as f64 / self.cfg.capacity as f64).max(1.0)
    }

    fn token_time(&self) -> Duration {
        let load_factor = self.load_factor(self.lock().in_flight);
        self.cfg.token_time.mul_f64(load_factor * self.cfg.slowdown)
    }

    fn stream(
        self,
        slot: BatchSlot,
        tokens: u64,
        resume_from: u64,
        hash: String,
    ) -> Response<ResponseBody> {
        let start_number = slot.start_number;
        let engine = self;
        let events = futures_lite::stream::unfold(
            (slot, resume_from),
            move |(slot, i): (BatchSlot, u64)| {
                let (engine, hash) = (engine.clone(), hash.clone());
                async move {
                    if engine.lock().start_number != slot.start_number {
                        return Some((
                            Err(std::io::Error::other("engine crashed during the stream")),
                            (slot, i),
                        ));
                    }
                    if i > tokens {
                        slot.finish();
                        return None;
                    }
                    let token_time = engine.token_time();
                    if i > resume_from && !token_time.is_zero() {
                        sleep(token_time).await;
                    }
                    let event = token_event(i, tokens, &hash);
                    Some((Ok(Frame::data(Bytes::from(event))), (slot, i + 1)))
                }
            },
        );
        let body = BodyExt::boxed_unsync(StreamBody::new(events));
        let mut response = Response::new(body);
        set_headers(&mut response, "text/event-stream", start_number);
        response
    }

    async fn full_response(
        self,
        slot: BatchSlot,
        tokens: u64,
        hash: &str,
        start_number: u64,
    ) -> Response<ResponseBody> {
        for _ in 0..tokens {
            let token_time = self.token_time();
            if !token_time.is_zero() {
                sleep(token_time).await;
            }
        }
        slot.finish();
        let text: String = (0..tokens).map(|i| format!("{hash}-{i} ")).collect();
        let message = json!({"role": "assistant", "content": text});
        json_response(&json!({"choices": [{"index": 0, "message": message}]}), start_number)
    }
}

/// Server-sent event number `i`: a numbered token, or the end marker after the last token.
fn token_event(i: u64, tokens: u64, hash: &str) -> String {
    if i == tokens {
        return "data: [DONE]\n\n".to_owned();
    }
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{hash}-{i} \"}}}}]}}\n\n")
}

/// Hash of the first message; requests with the same system prompt share it.
fn prompt_prefix(chat: &Value) -> u64 {
    let first = chat["messages"][0]["content"].as_str().unwrap_or_default();
    Digest::of(&[first.as_bytes()]).to_u64()
}

fn header_text<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|v| v.to_str().ok())
}

fn header_number(req: &Request<Incoming>, name: &str) -> u64 {
    header_text(req, name).and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn set_headers(
    response: &mut Response<ResponseBody>,
    content_type: &'static str,
    start_number: u64,
) {
    let headers = response.headers_mut();
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    headers.insert(hyper::header::CONTENT_TYPE, content_type);
    headers.insert("x-engine-start", start_number.into());
}

fn json_response(body: &Value, start_number: u64) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body.to_string()));
    set_headers(&mut response, "application/json", start_number);
    response
}

pub(crate) fn error(code: u16, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}
