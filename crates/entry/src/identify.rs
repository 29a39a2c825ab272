//! Identification of a request: workspace, service, class, prefix and keys.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::control::Config;
use crocustally_core::control::Objective;
use crocustally_core::control::Priority;
use crocustally_core::control::ServiceKind;
use crocustally_core::control::ServiceSpec;
use crocustally_core::control::WorkspaceSpec;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use serde::Deserialize;

/// Longest idempotency key in bytes.
const KEY_BYTES_MAX: usize = 255;

/// Prefix of the keys generated here for requests without a key.
pub(crate) const GENERATED_KEY_PREFIX: &str = "crocustally-made-";

/// How often a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestClass {
    /// Any number of times. With `stream` the response consists of events and can be resumed.
    Idempotent {
        /// Whether the caller asked for events.
        stream: bool,
    },
    /// At most once under this key.
    AtMostOnce {
        /// The caller's idempotency key, or a generated one.
        key: String,
    },
}

/// An authorized request with everything that routing needs.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) service: String,
    pub(crate) workspace: String,
    pub(crate) share: u32,
    pub(crate) priority: Priority,
    pub(crate) class: RequestClass,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    /// Digest of workspace, method, path and body.
    pub(crate) digest: Digest,
    /// Digest of the first message of its prompt; 0 if it has no prompt.
    pub(crate) prefix: u64,
    /// Number of the first event that the caller needs.
    pub(crate) resume_from: u64,
    pub(crate) arrived: Instant,
    /// When it leaves the queue.
    pub(crate) queue_deadline: Instant,
    /// When its response must be complete.
    pub(crate) deadline: Instant,
    pub(crate) objective: Objective,
}

/// The fields of a chat request that routing needs.
#[derive(Deserialize)]
struct ChatRequest {
    #[serde(default)]
    stream: bool,
    messages: Vec<ChatMessage>,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: serde_json::Value,
}

/// Looks up the service by the path and the workspace by the key, before the body is read.
pub(crate) fn authorize<'a>(
    config: &'a Config,
    path: &str,
    headers: &HeaderMap,
) -> Result<(&'a ServiceSpec, &'a WorkspaceSpec), Code> {
    let key = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let key = key.and_then(|v| v.strip_prefix("Bearer ")).ok_or(Code::UnknownWorkspace)?;
    let hash = Digest::key_hash(key.as_bytes());
    let workspace = config.workspace_by_key_hash(&hash).ok_or(Code::UnknownWorkspace)?;
    let service = config.service_for_path(path).ok_or(Code::UnknownService)?;
    if !workspace.services.contains(&service.name) {
        return Err(Code::UnknownService);
    }
    Ok((service, workspace))
}

/// Identifies a request whose body has been read.
pub(crate) fn identify(
    service: &ServiceSpec,
    workspace: &WorkspaceSpec,
    parts: &Parts,
    body: Bytes,
    arrived: Instant,
) -> Result<CallerRequest, Code> {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let method = parts.method.clone();
    let (class, prefix) = match service.kind {
        ServiceKind::Model => chat_class(&body)?,
        ServiceKind::Plain => (plain_class(&method, &parts.headers)?, 0),
    };
    let name = workspace.name.as_bytes();
    let digest = Digest::of(&[name, method.as_str().as_bytes(), path.as_bytes(), &body]);
    Ok(CallerRequest {
        service: service.name.clone(),
        workspace: workspace.name.clone(),
        share: workspace.share,
        priority: workspace.priority,
        class,
        method,
        path,
        content_type: header(&parts.headers, CONTENT_TYPE.as_str()).unwrap_or_default().to_owned(),
        body,
        digest,
        prefix,
        resume_from: resume_from(&parts.headers),
        arrived,
        queue_deadline: arrived + Duration::from_millis(u64::from(service.queue_ms)),
        deadline: arrived + Duration::from_millis(u64::from(service.deadline_ms)),
        objective: service.objective,
    })
}

fn chat_class(body: &Bytes) -> Result<(RequestClass, u64), Code> {
    let chat: ChatRequest = serde_json::from_slice(body).map_err(|_| Code::MalformedBody)?;
    let first = chat.messages.first().ok_or(Code::MalformedBody)?;
    let text = first.content.as_str().unwrap_or_default();
    let prefix = Digest::of(&[text.as_bytes()]).to_u64();
    Ok((RequestClass::Idempotent { stream: chat.stream }, prefix))
}

fn plain_class(method: &Method, headers: &HeaderMap) -> Result<RequestClass, Code> {
    if matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS) {
        return Ok(RequestClass::Idempotent { stream: false });
    }
    let key = match headers.get("idempotency-key") {
        Some(v) => check_caller_key(v.to_str().map_err(|_| Code::BadKey)?)?,
        None => format!("{GENERATED_KEY_PREFIX}{:032x}", rand::random::<u128>()),
    };
    Ok(RequestClass::AtMostOnce { key })
}

/// Checks a caller's key. One with the prefix of generated keys is refused, since those are assumed
/// never to have been used before.
fn check_caller_key(text: &str) -> Result<String, Code> {
    if text.is_empty() || text.len() > KEY_BYTES_MAX || text.starts_with(GENERATED_KEY_PREFIX) {
        return Err(Code::BadKey);
    }
    Ok(text.to_owned())
}

/// Events are numbered from 0; `last-event-id` is the number of the last event that the caller has
/// received.
fn resume_from(headers: &HeaderMap) -> u64 {
    let last_event = header(headers, "last-event-id").and_then(|v| v.parse::<u64>().ok());
    last_event.map_or(0, |n| n.saturating_add(1))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
