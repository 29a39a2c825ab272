//! [`explain`]: where the gateway would send a request now, and why.

use std::time::Duration;
use std::time::Instant;

use crocustally_core::Code;
use crocustally_core::control::PromptPart;
use crocustally_core::dispatch::DispatchDecision;
use crocustally_core::dispatch::DispatchRequest;
use crocustally_core::dispatch::EarlierSends;
use crocustally_core::dispatch::ExplainedMember;
use crocustally_core::dispatch::Explanation;
use crocustally_core::dispatch::Pool;
use crocustally_core::dispatch::SizedPart;
use crocustally_core::traffic::Route;
use crocustally_core::traffic::urgency;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::InvalidHeaderValue;
use serde_json::Value;
use serde_json::json;

use crate::Gateway;
use crate::RequestHead;
use crate::SIZED_PARTS_MAX;
use crate::exchange;
use crate::frontend;

/// A request whose way is asked for. It has no `Debug`, so that its key cannot get into a log.
#[derive(Clone, Default)]
pub struct WhereQuery {
    /// Requested host, without the port.
    pub host: String,
    /// Requested path.
    pub path: String,
    /// API key of the caller's workspace.
    pub api_key: Option<String>,
    /// Parts of the prompt with their lengths, in order.
    pub prompt: Vec<(String, u32)>,
    /// Length of the prompt in tokens; 0 for the sum of the parts.
    pub prompt_tokens: u32,
}

// Headers of a query. The key is in none of the parts of a request that servers or proxies log.
const HOST: HeaderName = HeaderName::from_static("where-host");
const PATH: HeaderName = HeaderName::from_static("where-path");
const KEY: HeaderName = HeaderName::from_static("where-key");
const PROMPT: HeaderName = HeaderName::from_static("where-prompt");
const TOKENS: HeaderName = HeaderName::from_static("where-tokens");

impl WhereQuery {
    /// Encodes the query as headers of a request to the admin server. Fails if a value is not valid in a
    /// header.
    pub fn to_headers(&self) -> Result<HeaderMap, InvalidHeaderValue> {
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_str(&self.host)?);
        headers.insert(PATH, HeaderValue::from_str(&self.path)?);
        if let Some(key) = &self.api_key {
            let mut key = HeaderValue::from_str(key)?;
            key.set_sensitive(true);
            headers.insert(KEY, key);
        }
        let parts: Vec<String> = self.prompt.iter().map(|(id, n)| format!("{id}:{n}")).collect();
        if !parts.is_empty() {
            headers.insert(PROMPT, HeaderValue::from_str(&parts.join(","))?);
        }
        headers.insert(TOKENS, self.prompt_tokens.into());
        Ok(headers)
    }

    /// Decodes a query; `None` if it is malformed.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        Some(Self {
            host: text(&HOST)?.to_owned(),
            path: text(&PATH).filter(|path| path.starts_with('/'))?.to_owned(),
            api_key: text(&KEY).map(str::to_owned),
            prompt: text(&PROMPT).map_or(Some(Vec::new()), Self::parse_prompt)?,
            prompt_tokens: text(&TOKENS).unwrap_or("0").parse().ok()?,
        })
    }

    /// Parses the parts of a prompt, given as comma-separated `ID:TOKENS`.
    pub fn parse_prompt(text: &str) -> Option<Vec<(String, u32)>> {
        let part = |entry: &str| {
            let (id, tokens) = entry.split_once(':')?;
            let (id, tokens) = (id.trim().to_owned(), tokens.trim().parse().ok()?);
            (!id.is_empty()).then_some((id, tokens))
        };
        text.split(',').map(part).collect()
    }

    fn request_head(&self) -> RequestHead {
        let sized = |(id, tokens): &(String, u32)| SizedPart {
            part: PromptPart::from_id(id.as_bytes()),
            tokens: *tokens,
        };
        let sum = self.prompt.iter().fold(0_u32, |sum, (_, n)| sum.saturating_add(*n));
        let shared = &self.prompt[..self.prompt.len().saturating_sub(1)];
        let id = |(id, _): &(String, u32)| PromptPart::from_id(id.as_bytes());
        RequestHead {
            host: self.host.clone(),
            api_key: self.api_key.clone(),
            prompt_tokens: if self.prompt_tokens > 0 { self.prompt_tokens } else { sum },
            shared_parts: shared.iter().map(id).collect(),
            prompt: self.prompt.iter().take(SIZED_PARTS_MAX).map(sized).collect(),
            ..RequestHead::default()
        }
    }
}

/// Answers a query as JSON. The functions that dispatch requests decide, on copies of the pools, so no
/// state changes.
pub(crate) fn explain(gateway: &Gateway, query: &WhereQuery) -> Value {
    let meta = query.request_head();
    let mut report = json!({"gateway": gateway.cfg.name, "domain": gateway.cfg.domain});
    let Some(policy) = gateway.policy() else {
        report["refusal"] = refusal(Code::NotReady, Some(frontend::NOT_READY_RETRY_AFTER));
        return report;
    };
    report["policy_version"] = json!(policy.version());
    let authorized = match frontend::authorize(&policy, &meta, &query.path) {
        Ok(authorized) => authorized,
        Err(code) => {
            report["refusal"] = refusal(code, None);
            return report;
        }
    };
    let route = authorized.route;
    let priority = authorized.workspace.as_ref().and_then(|(_, priority)| *priority);
    let request_urgency = urgency(priority, route.priority);
    let priority = priority.unwrap_or(route.priority);
    report["route"] = json!(route.name);
    let workspace = authorized.workspace.map(|(name, _)| name);
    let caller = Caller {
        urgency: request_urgency,
        workspace_key: workspace.as_deref().map_or(0, frontend::workspace_key),
    };
    report["workspace"] = json!(workspace);
    report["priority"] = json!(priority);
    report["urgency"] = json!(request_urgency);
    report["prompt_tokens"] = json!(meta.prompt_tokens);
    let weights: u32 = route.targets.iter().map(|t| t.weight).sum();
    let mut services = Vec::new();
    for target in route.targets.iter().filter(|t| t.weight > 0) {
        let Some(service) = policy.service(target.service) else { continue };
        let mut entry = explain_service(gateway, &route, &service.name, &caller, &meta);
        entry["service"] = json!(service.name);
        entry["share"] = json!(f64::from(target.weight) / f64::from(weights.max(1)));
        services.push(entry);
    }
    report["services"] = Value::Array(services);
    report
}

/// The caller of a request, as the queue sees it.
struct Caller {
    urgency: u8,
    workspace_key: u64,
}

fn explain_service(
    gateway: &Gateway,
    route: &Route,
    service: &str,
    caller: &Caller,
    meta: &RequestHead,
) -> Value {
    let blocked = gateway.fleet().part_filter.blocked(service, &meta.shared_parts).is_some();
    let Some(slot_pool) = gateway.existing_pool(service) else {
        return json!({"decision": "refuse", "refusal": refusal(Code::NoEndpoint, None)});
    };
    let pool = slot_pool.with_pool(|pool| pool.clone());
    let now = gateway.clock.now();
    let waits_in_outage = gateway.is_starting();
    let deadline = now + route.timeout;
    let queue_deadline =
        exchange::queue_deadline(route, pool.admits_by_urgency(), Duration::ZERO, now, now);
    let req = DispatchRequest {
        urgency: caller.urgency,
        is_caller_retry: false,
        workspace: caller.workspace_key,
        prompt_tokens: meta.prompt_tokens,
        max_response_tokens: meta.max_response_tokens,
        parts: meta.prompt.clone(),
        queue_deadline: queue_deadline.min(deadline),
        late_deadline: exchange::late_deadline(route, now, deadline, pool.mean_hold()),
        return_time_max: exchange::return_time_max(route.timeout),
        outage_deadline: exchange::outage_deadline(waits_in_outage, now, route.timeout),
        tried: Default::default(),
        earlier: EarlierSends::None,
    };
    let explanation = pool.explain(now, &req);
    let status = pool.retention_status(now);
    let members: Vec<Value> =
        explanation.members.iter().map(|m| member_json(now, &pool, m)).collect();
    let mut entry = json!({
        "in_flight": pool.in_flight(),
        "limit": (pool.limit(now) < u32::MAX).then(|| pool.limit(now)),
        "waiting": pool.queue_len(),
        "pass_ms": pool.mean_pass(now).map(ms),
        "retention": status.map(|s| if s.keeps_nothing { "keeps nothing" } else { "on" }),
        "retained_parts": status.map(|s| s.entries),
        "endpoints": members,
    });
    if blocked {
        entry["decision"] = json!("refuse");
        entry["refusal"] = refusal(Code::PromptBlocked, None);
    } else {
        decide(&mut entry, &explanation);
    }
    entry
}

fn decide(entry: &mut Value, explanation: &Explanation) {
    entry["class"] = json!(explanation.class.map(|class| {
        let time = if class.late { "late" } else { "on time" };
        format!("{time}, rank {}", class.rank)
    }));
    entry["held_back"] = json!(explanation.held_back.map(|h| h.to_string()));
    match explanation.decision {
        DispatchDecision::Send(_) => entry["decision"] = json!("send"),
        DispatchDecision::Wait(..) => {
            entry["decision"] = json!("wait");
            entry["expected_wait_ms"] = json!(ms(explanation.expected_wait));
        }
        DispatchDecision::Refuse(r) => {
            entry["decision"] = json!("refuse");
            entry["refusal"] = refusal(r.code, Some(r.retry_after));
        }
    }
}

fn member_json(now: Instant, pool: &Pool, m: &ExplainedMember) -> Value {
    let Some(member) = pool.member(m.key) else { return Value::Null };
    let beat = &member.registration.heartbeat;
    let heard = now.saturating_duration_since(member.registration.received_at);
    json!({
        "endpoint": beat.id,
        "domain": beat.domain,
        "available": m.obstacle.is_none(),
        "reason": m.obstacle.map(|o| o.to_string()),
        "load": m.load,
        "slots": beat.slots,
        "in_flight": member.in_flight,
        "pending_prompt_tokens": member.pending_prompt_tokens,
        "report_age_ms": m.report_age.map(ms),
        "heartbeat_age_ms": ms(heard),
        "saved_tokens": m.saved_tokens,
        "saved_ms": m.saved.as_secs_f64() * 1e3,
        "score": m.score,
        "probability": m.probability,
    })
}

fn refusal(code: Code, retry_after: Option<Duration>) -> Value {
    json!({"code": code.number(), "text": code.text(), "retry_after_ms": retry_after.map(ms)})
}

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}
