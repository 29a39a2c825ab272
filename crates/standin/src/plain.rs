//! [`PlainService`]: a stand-in for a plain HTTP service such as a booking portal.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crocustally_net::ResponseBody;
use crocustally_net::Runtime;
use crocustally_net::full_body;
use crocustally_net::sleep;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;

use crate::engine::error;
use crate::serve::Connections;
use crate::serve::serve;

/// Settings of a stand-in service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlainSettings {
    /// Time between recording the run of a request and sending its response.
    pub work_time: Duration,
    /// Status of the responses to requests that have run; 200 without one.
    pub status: Option<u16>,
}

/// Number of runs per idempotency key, shared by all services of a deployment.
///
/// Tests read from it whether a request ran at most once.
#[derive(Clone, Debug, Default)]
pub struct RunJournal {
    runs_by_key: Arc<Mutex<HashMap<String, u32>>>,
}

impl RunJournal {
    /// Number of runs of the request with this key.
    pub fn run_count(&self, key: &str) -> u32 {
        self.lock().get(key).copied().unwrap_or(0)
    }

    /// Number of keys that ran more than once.
    pub fn duplicate_run_count(&self) -> usize {
        self.lock().values().filter(|n| **n > 1).count()
    }

    /// Number of keys that ran at least once.
    pub fn key_count(&self) -> usize {
        self.lock().len()
    }

    fn record(&self, key: &str) -> u32 {
        let mut runs = self.lock();
        let n = runs.entry(key.to_owned()).or_default();
        *n += 1;
        *n
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u32>> {
        self.runs_by_key.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in service.
#[derive(Clone)]
pub struct PlainService {
    cfg: Arc<PlainSettings>,
    journal: RunJournal,
    connections: Connections,
    address: SocketAddr,
}

impl PlainService {
    /// Starts a service on `address` that records its runs in `journal`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        rt: &Runtime,
        address: SocketAddr,
        cfg: PlainSettings,
        journal: RunJournal,
    ) -> std::io::Result<Self> {
        let connections = Connections::default();
        let mut service = Self { cfg: Arc::new(cfg), journal, connections, address };
        let shared = service.clone();
        let handler = move |req| {
            let service = shared.clone();
            async move { service.handle(req).await }
        };
        let connections = service.connections.clone();
        service.address = serve(rt, address, connections, || true, handler).await?;
        Ok(service)
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Journal in which the service records its runs.
    pub fn journal(&self) -> &RunJournal {
        &self.journal
    }

    /// Breaks all open connections, as a crash would; runs already recorded stay in the journal.
    pub fn break_connections(&self) {
        self.connections.break_all();
    }

    async fn handle(self, req: Request<Incoming>) -> Response<ResponseBody> {
        if req.uri().path() == "/health" {
            return Response::new(full_body("{\"start\":1}"));
        }
        if req.uri().path().ends_with("/journal") && req.method() == Method::GET {
            let runs = self.journal.lock().clone();
            return Response::new(full_body(json!(runs).to_string()));
        }
        let key = req.headers().get("idempotency-key").and_then(|v| v.to_str().ok());
        let key = key.unwrap_or("none").to_owned();
        let method = req.method().clone();
        if req.into_body().collect().await.is_err() {
            return error(400, "body");
        }
        if method == Method::GET {
            return Response::new(full_body("{\"bookings\":[]}"));
        }
        let run_number = self.journal.record(&key);
        sleep(self.cfg.work_time).await;
        let body = full_body(json!({"key": key, "run": run_number}).to_string());
        let mut response = Response::new(body);
        if let Some(status) = self.cfg.status.and_then(|s| StatusCode::from_u16(s).ok()) {
            *response.status_mut() = status;
        }
        response
    }
}
