//! `where`: where a gateway would send a request now, and why.

use std::fmt;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use crocustally_gateway::WhereQuery;
use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_net::timeout;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use serde_json::Value;

/// Timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Why there is no answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhereError {
    /// The host, path, key or token is not valid in a header.
    InvalidQuery,
    /// The address did not answer in time, or its answer broke off.
    NotReached(SocketAddr),
    /// The address answered with this status.
    Status(SocketAddr, StatusCode),
    /// The answer is not the JSON of a gateway.
    Malformed(SocketAddr),
}

impl fmt::Display for WhereError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidQuery => f.write_str("host, path, key or token is not valid in a header"),
            Self::NotReached(address) => write!(f, "{address}: not reached"),
            Self::Status(address, status) => write!(f, "{address}: answered {status}"),
            Self::Malformed(address) => write!(f, "{address}: malformed answer"),
        }
    }
}

/// Asks the gateway with this admin address.
///
/// # Errors
///
/// Fails if the query is invalid or gets no usable answer.
pub async fn fetch_where(
    rt: &Runtime,
    address: SocketAddr,
    token: Option<&str>,
    query: &WhereQuery,
) -> Result<Value, WhereError> {
    let header = |text: String| HeaderValue::from_str(&text).map_err(|_| WhereError::InvalidQuery);
    let mut req = Request::get("/where").body(Full::new(Bytes::new())).unwrap_or_default();
    *req.headers_mut() = query.to_headers().map_err(|_| WhereError::InvalidQuery)?;
    req.headers_mut().insert(HOST, header(address.to_string())?);
    if let Some(token) = token {
        req.headers_mut().insert(AUTHORIZATION, header(format!("Bearer {token}"))?);
    }
    let client = HttpClient::new(rt, address);
    let call = async {
        let (response, conn) = client.send(req, true).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        drop(conn);
        Some((status, body))
    };
    let answer = timeout(QUERY_TIMEOUT, call).await.flatten();
    let (status, body) = answer.ok_or(WhereError::NotReached(address))?;
    if status != StatusCode::OK {
        return Err(WhereError::Status(address, status));
    }
    serde_json::from_slice(&body).map_err(|_| WhereError::Malformed(address))
}

/// Asks a gateway and prints the answer.
pub(crate) async fn run(
    rt: &Runtime,
    address: SocketAddr,
    token: Option<&str>,
    query: &WhereQuery,
    json: bool,
) -> ExitCode {
    match fetch_where(rt, address, token, query).await {
        Ok(report) if json => println!("{report}"),
        Ok(report) => print!("{}", where_table(&report)),
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// A field as text; `-` if it is missing.
fn text(value: &Value, key: &str) -> String {
    match &value[key] {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn number(value: &Value, key: &str, decimals: usize) -> String {
    value[key].as_f64().map_or_else(|| "-".to_owned(), |n| format!("{n:.decimals$}"))
}

fn refusal(value: &Value) -> String {
    let r = &value["refusal"];
    let after = r["retry_after_ms"].as_u64().map(|ms| format!(", retry after {ms} ms"));
    format!("refuse: {} {}{}", text(r, "code"), text(r, "text"), after.unwrap_or_default())
}

/// The answer of a gateway as a table.
pub fn where_table(report: &Value) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        out,
        "gateway {} in {}, policy {}",
        text(report, "gateway"),
        text(report, "domain"),
        text(report, "policy_version")
    );
    if !report["refusal"].is_null() {
        let _ = writeln!(out, "{}", refusal(report));
        return out;
    }
    let urgency = report["urgency"].as_u64().map(|u| format!(", urgency {u}")).unwrap_or_default();
    let _ = writeln!(
        out,
        "route {}, workspace {}, priority {}{urgency}, prompt {} tokens",
        text(report, "route"),
        text(report, "workspace"),
        text(report, "priority"),
        text(report, "prompt_tokens")
    );
    for service in report["services"].as_array().into_iter().flatten() {
        write_service(&mut out, service);
    }
    out
}

fn write_service(out: &mut String, service: &Value) {
    let decision = match service["decision"].as_str() {
        Some("wait") => format!("wait, about {} ms", text(service, "expected_wait_ms")),
        Some("refuse") => refusal(service),
        _ => text(service, "decision"),
    };
    let held_back = service["held_back"].as_str().map(|h| format!(" ({h})")).unwrap_or_default();
    let class = service["class"].as_str().map(|c| format!(", class {c}")).unwrap_or_default();
    let _ = writeln!(
        out,
        "\nservice {}, share {}: {decision}{held_back}{class}",
        text(service, "service"),
        number(service, "share", 2)
    );
    let _ = writeln!(
        out,
        "  in flight {} of {}, waiting {}, pass {} ms, retained prompts {} ({} parts)",
        text(service, "in_flight"),
        text(service, "limit"),
        text(service, "waiting"),
        text(service, "pass_ms"),
        text(service, "retention"),
        text(service, "retained_parts")
    );
    let _ = writeln!(
        out,
        "  {:<16} {:<10} {:>6} {:>5} {:>8} {:>7} {:>8} {:>8} {:>8} {:>7} {:>6}  reason",
        "endpoint",
        "domain",
        "load",
        "slots",
        "pending",
        "saved",
        "saved ms",
        "report",
        "beat",
        "score",
        "chance"
    );
    for e in service["endpoints"].as_array().into_iter().flatten() {
        let age = |key| e[key].as_u64().map_or_else(|| "stale".to_owned(), |ms| format!("{ms} ms"));
        let chance = format!("{:.0}%", e["probability"].as_f64().unwrap_or(0.0) * 100.0);
        let _ = writeln!(
            out,
            "  {:<16} {:<10} {:>6} {:>5} {:>8} {:>7} {:>8} {:>8} {:>8} {:>7} {:>6}  {}",
            text(e, "endpoint"),
            text(e, "domain"),
            number(e, "load", 1),
            text(e, "slots"),
            text(e, "pending_prompt_tokens"),
            text(e, "saved_tokens"),
            number(e, "saved_ms", 1),
            age("report_age_ms"),
            age("heartbeat_age_ms"),
            number(e, "score", 2),
            chance,
            text(e, "reason")
        );
    }
}
