//! [`PlainService`]: a stand-in for bookings, certificates and orders.

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
use hyper::body::Incoming;
use serde_json::json;

use crate::engine::status;
use crate::serve::Connections;
use crate::serve::serve;

/// How a stand-in service behaves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlainSettings {
    /// Time between running a request and answering it.
    pub work_time: Duration,
}

/// Runs per key, shared by all services of one deployment: the journal that proves at most once.
#[derive(Clone, Debug, Default)]
pub struct RunJournal {
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl RunJournal {
    /// How often the request with this key was run.
    pub fn run_count(&self, key: &str) -> u32 {
        self.lock().get(key).copied().unwrap_or(0)
    }

    /// Keys that were run more than once.
    pub fn duplicate_run_count(&self) -> usize {
        self.lock().values().filter(|n| **n > 1).count()
    }

    /// Keys that were run at all.
    pub fn key_count(&self) -> usize {
        self.lock().len()
    }

    fn note(&self, key: &str) -> u32 {
        let mut runs = self.lock();
        let n = runs.entry(key.to_owned()).or_default();
        *n += 1;
        *n
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
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
    /// Starts a service on `address` that notes its runs in `journal`.
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
            async move { service.answer(req).await }
        };
        let connections = service.connections.clone();
        service.address = serve(rt, address, connections, || true, handler).await?;
        Ok(service)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The runs it has noted.
    pub fn journal(&self) -> &RunJournal {
        &self.journal
    }

    /// Breaks all connections, as a crash of the service would; what ran has run.
    pub fn break_connections(&self) {
        self.connections.break_all();
    }

    async fn answer(self, req: Request<Incoming>) -> Response<ResponseBody> {
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
            return status(400, "body");
        }
        if method == Method::GET {
            return Response::new(full_body("{\"bookings\":[]}"));
        }
        let run = self.journal.note(&key);
        sleep(self.cfg.work_time).await;
        Response::new(full_body(json!({"key": key, "run": run}).to_string()))
    }
}
