//! Identifying a request: workspace, service, class, prefix and keys.

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

/// How keys begin that were made here for callers that gave none.
pub(crate) const MADE_KEY: &str = "crocustally-made-";

/// How a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    /// Any number of times; with `stream` its answer comes in events and can be resumed.
    Idempotent {
        /// Whether the caller asked for events.
        stream: bool,
    },
    /// At most once under this key.
    Once {
        /// The caller's key, or one made here.
        key: String,
    },
}

/// A request that is known to be allowed, with everything that routing needs.
#[derive(Clone, Debug)]
pub(crate) struct Identified {
    pub(crate) service: String,
    pub(crate) workspace: String,
    pub(crate) share: u32,
    pub(crate) priority: Priority,
    pub(crate) class: Class,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    /// Fingerprint of workspace, method, path and body.
    pub(crate) digest: Digest,
    /// Fingerprint of what its prompt begins with; 0 when it has none.
    pub(crate) prefix: u64,
    /// First event that the caller still needs.
    pub(crate) resume_from: u64,
    pub(crate) arrived: Instant,
    /// When it stops waiting for room.
    pub(crate) queue_until: Instant,
    /// When its answer must have ended.
    pub(crate) deadline: Instant,
    pub(crate) objective: Objective,
}

/// The parts of a chat request that routing needs.
#[derive(Deserialize)]
struct ChatAsk {
    #[serde(default)]
    stream: bool,
    messages: Vec<ChatMessage>,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: serde_json::Value,
}

/// The service and workspace that a request's path and key name, before its body is read.
pub(crate) fn allowed<'a>(
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
) -> Result<Identified, Code> {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let method = parts.method.clone();
    let (class, prefix) = match service.kind {
        ServiceKind::Model => chat(&body)?,
        ServiceKind::Plain => (plain(&method, &parts.headers)?, 0),
    };
    let name = workspace.name.as_bytes();
    let digest = Digest::of(&[name, method.as_str().as_bytes(), path.as_bytes(), &body]);
    Ok(Identified {
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
        queue_until: arrived + Duration::from_millis(u64::from(service.queue_ms)),
        deadline: arrived + Duration::from_millis(u64::from(service.deadline_ms)),
        objective: service.objective,
    })
}

fn chat(body: &Bytes) -> Result<(Class, u64), Code> {
    let ask: ChatAsk = serde_json::from_slice(body).map_err(|_| Code::MalformedBody)?;
    let first = ask.messages.first().ok_or(Code::MalformedBody)?;
    let text = first.content.as_str().unwrap_or_default();
    let prefix = Digest::of(&[text.as_bytes()]).to_u64();
    Ok((Class::Idempotent { stream: ask.stream }, prefix))
}

fn plain(method: &Method, headers: &HeaderMap) -> Result<Class, Code> {
    if matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS) {
        return Ok(Class::Idempotent { stream: false });
    }
    let key = match headers.get("idempotency-key") {
        Some(v) => caller_key(v.to_str().map_err(|_| Code::BadKey)?)?,
        None => format!("{MADE_KEY}{:032x}", rand::random::<u128>()),
    };
    Ok(Class::Once { key })
}

/// A caller's key; one that looks like ours is refused, since ours are known to be new.
fn caller_key(text: &str) -> Result<String, Code> {
    if text.is_empty() || text.len() > KEY_BYTES_MAX || text.starts_with(MADE_KEY) {
        return Err(Code::BadKey);
    }
    Ok(text.to_owned())
}

/// Events are numbered from 0, and `last-event-id` names the last one that the caller has.
fn resume_from(headers: &HeaderMap) -> u64 {
    let last = header(headers, "last-event-id").and_then(|v| v.parse::<u64>().ok());
    last.map_or(0, |n| n.saturating_add(1))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
