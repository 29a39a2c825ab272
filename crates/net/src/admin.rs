//! The admin server: `/metrics`, `/healthz`, `/readyz` and, at gateways, `/where`.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use serde::Deserialize;

use crate::HttpLimits;
use crate::ResponseBody;
use crate::Runtime;
use crate::SettingsError;
use crate::Shutdown;
use crate::ShutdownStage;
use crate::full_body;
use crate::metrics_handle;
use crate::parse_address;
use crate::serve_http;

/// Address of the admin server and its access control.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// `ip:port` to listen on.
    pub address: String,
    /// File with the bearer token; without it only loopback addresses are accepted, unless `open`
    /// is set.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// Allows any address without a token, for a network that only operators can reach.
    #[serde(default)]
    pub open: bool,
}

impl AdminSettings {
    /// Validates the settings and reads the token; returns the address and the token.
    ///
    /// # Errors
    ///
    /// Fails if the address is malformed or needs a token, or if the token file is unreadable or
    /// empty.
    pub fn resolve(&self) -> Result<(SocketAddr, Option<String>), SettingsError> {
        let address = parse_address("admin.address", &self.address)?;
        let Some(path) = &self.token_file else {
            if !address.ip().is_loopback() && !self.open {
                let detail = "needs token_file or open unless it is a loopback address";
                return Err(SettingsError::invalid("admin.address", detail));
            }
            return Ok((address, None));
        };
        let text = fs::read_to_string(path)
            .map_err(|e| SettingsError::invalid("admin.token_file", e.to_string()))?;
        let token = text.trim().to_owned();
        if token.is_empty() {
            return Err(SettingsError::invalid("admin.token_file", "contains no token"));
        }
        Ok((address, Some(token)))
    }
}

/// Answers a `/where` query, given by its headers, in JSON; `None` if the headers are malformed.
pub type WhereHandler = Box<dyn Fn(&HeaderMap) -> Option<String> + Send + Sync>;

/// The readiness that the admin server reports, and its queries.
#[derive(Clone, Default)]
pub struct AdminState {
    ready: Arc<AtomicBool>,
    where_handler: Arc<OnceLock<WhereHandler>>,
}

impl AdminState {
    /// Serves `/where` by `handler`, unless there is a handler already.
    pub fn serve_where(&self, handler: WhereHandler) {
        let _ = self.where_handler.set(handler);
    }

    fn answer_where(&self, headers: &HeaderMap) -> Response<ResponseBody> {
        let Some(handler) = self.where_handler.get() else {
            return plain_response(StatusCode::NOT_FOUND, "not a gateway\n".to_owned());
        };
        match handler(headers) {
            Some(json) => plain_response(StatusCode::OK, json),
            None => plain_response(StatusCode::BAD_REQUEST, "malformed query\n".to_owned()),
        }
    }

    /// Sets whether the process is ready to serve.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Whether the process is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

/// Connections of operators and monitoring at a time; they count among the descriptors that a process keeps free.
const CONNECTIONS_MAX: usize = 8;

/// Starts the admin server and returns the bound address. It is available until all callers and peers
/// are served.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_admin(
    rt: &Runtime,
    address: SocketAddr,
    token: Option<String>,
    state: AdminState,
    shutdown: &Shutdown,
) -> std::io::Result<SocketAddr> {
    let token = Arc::new(token);
    let handler = move |req: Request<Incoming>| {
        let response = respond(&req, token.as_deref(), &state);
        async move { response }
    };
    let limits = HttpLimits { connections_max: CONNECTIONS_MAX, ..HttpLimits::default() };
    serve_http(rt, address, limits, &shutdown.in_stage(ShutdownStage::Observers), handler).await
}

fn respond(
    req: &Request<Incoming>,
    token: Option<&str>,
    state: &AdminState,
) -> Response<ResponseBody> {
    if token.is_some_and(|t| !is_authorized(req, t)) {
        return plain_response(StatusCode::UNAUTHORIZED, "unauthorized\n".to_owned());
    }
    match req.uri().path() {
        "/healthz" => plain_response(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" if state.is_ready() => plain_response(StatusCode::OK, "ready\n".to_owned()),
        "/readyz" => plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/metrics" => plain_response(StatusCode::OK, metrics_handle().render()),
        "/where" => state.answer_where(req.headers()),
        _ => plain_response(StatusCode::NOT_FOUND, "not found\n".to_owned()),
    }
}

fn is_authorized(req: &Request<Incoming>, token: &str) -> bool {
    let bearer = req.headers().get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let bearer = bearer.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or_default();
    // Comparing hashes instead of the text prevents a timing attack on the token.
    crocustally_core::Digest::key_hash(bearer.as_bytes())
        == crocustally_core::Digest::key_hash(token.as_bytes())
}

fn plain_response(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
