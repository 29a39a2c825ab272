//! The admin address: `/metrics`, `/healthz` and `/readyz`.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

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
use crate::full_body;
use crate::metrics_handle;
use crate::parse_address;
use crate::serve_http;

/// Where the admin address is and who may use it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// `ip:port` to listen on.
    pub address: String,
    /// File that holds the bearer token; without one only loopback addresses are taken.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// Serves on any address without a token, for a network that only operators reach.
    #[serde(default)]
    pub open: bool,
}

impl AdminSettings {
    /// The address and token, checked.
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
            return Err(SettingsError::invalid("admin.token_file", "holds no token"));
        }
        Ok((address, Some(token)))
    }
}

/// What the admin address reports.
#[derive(Clone, Debug, Default)]
pub struct AdminState {
    ready: Arc<AtomicBool>,
}

impl AdminState {
    /// Says whether the process can do its work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Whether the process can do its work.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

/// Serves the admin address; answers where it is bound.
pub async fn serve_admin(
    rt: &Runtime,
    address: SocketAddr,
    token: Option<String>,
    state: AdminState,
    shutdown: &Shutdown,
) -> std::io::Result<SocketAddr> {
    let token = Arc::new(token);
    let handler = move |req: Request<Incoming>| {
        let response = answer(&req, token.as_deref(), &state);
        async move { response }
    };
    serve_http(rt, address, HttpLimits::default(), shutdown, handler).await
}

fn answer(
    req: &Request<Incoming>,
    token: Option<&str>,
    state: &AdminState,
) -> Response<ResponseBody> {
    if token.is_some_and(|t| !bears(req, t)) {
        return plain(StatusCode::UNAUTHORIZED, "unauthorized\n".to_owned());
    }
    match req.uri().path() {
        "/healthz" => plain(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" if state.is_ready() => plain(StatusCode::OK, "ready\n".to_owned()),
        "/readyz" => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/metrics" => plain(StatusCode::OK, metrics_handle().render()),
        _ => plain(StatusCode::NOT_FOUND, "not found\n".to_owned()),
    }
}

fn bears(req: &Request<Incoming>, token: &str) -> bool {
    let given = req.headers().get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let given = given.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or_default();
    // Equal hashes instead of equal text, so that timing says nothing about the token.
    crocustally_core::Digest::key_hash(given.as_bytes())
        == crocustally_core::Digest::key_hash(token.as_bytes())
}

fn plain(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
