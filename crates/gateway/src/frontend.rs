//! Entry point of callers' requests: decoding, authorization and routing.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::dispatch::EarlierSends;
use crocustally_core::traffic::Route;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_core::traffic::urgency;
use crocustally_net::BufferBudget;
use crocustally_net::ClientConnection;
use crocustally_net::CollectError;
use crocustally_net::ResponseBody;
use crocustally_net::collect_body;
use crocustally_net::full_body;
use crocustally_net::timeout;
use futures_lite::future;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use smallvec::SmallVec;

use crate::Gateway;
use crate::RequestHead;
use crate::exchange::AccessLogEntry;
use crate::exchange::Exchange;
use crate::exchange::Progress;
use crate::stream;
use crate::unary;

/// Longest time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the first policy after the gateway's start: covers an election and the first
/// update from a control instance.
const POLICY_WAIT_MAX: Duration = Duration::from_millis(1200);
/// Divisor of the caller's timeout; the quotient also bounds the wait for the first policy.
const POLICY_WAIT_DIVISOR: u32 = 4;
/// `Retry-After` of a request that was rejected since the gateway has no policy yet.
pub(crate) const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// `Retry-After` of a request that a stopping gateway has not run. Its caller's next connection goes to
/// another gateway.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` of a request for whose body no memory was left: buffered answers are short of that.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Serves the readiness check.
pub(crate) async fn handle_readiness(
    gateway: Arc<Gateway>,
    _: Request<Incoming>,
) -> Response<ResponseBody> {
    let ready = gateway.is_ready();
    let mut response = Response::new(full_body(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Handles a caller's request.
pub(crate) async fn handle_request(
    gateway: Arc<Gateway>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let progress = Arc::new(Progress::default());
    let serving = async {
        match admit(&gateway, req, &progress).await {
            Ok(ex) if ex.route.kind.is_stream() => stream::serve(ex).await,
            Ok(ex) => unary::serve(ex).await,
            Err(rejection) => *rejection,
        }
    };
    let given_up = async {
        gateway.grace_over().await;
        give_up(&gateway, &progress)
    };
    let mut response = future::or(serving, given_up).await;
    if gateway.shutdown.is_requested() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Response to a request that is not answered when the grace of a stop ends.
fn give_up(gateway: &Gateway, progress: &Progress) -> Response<ResponseBody> {
    let id = progress.id.get().map(String::as_str);
    let may_have_run = progress.may_have_run.load(Ordering::Acquire);
    let code = if may_have_run { Code::AnswerBroken } else { Code::EntryLeaving };
    log::warn!(id = id, code = code.number(); "request given up: the grace of the stop ends");
    let retry_after = (!may_have_run).then_some(STOPPING_RETRY_AFTER);
    gateway.dialect.error_response(id, code, retry_after)
}

type Rejection = Box<Response<ResponseBody>>;

/// Route and workspace of an authorized request; the workspace comes with its priority.
pub(crate) struct Authorized {
    pub(crate) route: Route,
    pub(crate) workspace: Option<(String, Option<u8>)>,
}

async fn admit(
    gateway: &Arc<Gateway>,
    req: Request<Incoming>,
    progress: &Arc<Progress>,
) -> Result<Exchange, Rejection> {
    let arrived = gateway.clock.now();
    let request_guard = gateway.shutdown.track_request();
    let (head, body) = req.into_parts();
    let conn = head.extensions.get::<Arc<ClientConnection>>().cloned();
    let reject = |id: Option<&str>, code: Code, retry_after: Option<Duration>| {
        log::info!(id = id, path = head.uri.path(), code = code.number(); "request not admitted");
        metrics::counter!("crocustally_not_admitted", "code" => code.number().to_string())
            .increment(1);
        Box::new(gateway.dialect.error_response(id, code, retry_after))
    };
    let Ok(meta) = gateway.dialect.decode_request(&head) else {
        return Err(reject(None, Code::BadFraming, None));
    };
    progress.id.get_or_init(|| meta.id.clone());
    let time_limit = meta.timeout.unwrap_or(POLICY_WAIT_MAX * POLICY_WAIT_DIVISOR);
    let policy_wait = POLICY_WAIT_MAX.min(time_limit / POLICY_WAIT_DIVISOR);
    let Some(policy) = gateway.wait_for_policy(policy_wait).await else {
        return Err(reject(Some(&meta.id), Code::NotReady, Some(NOT_READY_RETRY_AFTER)));
    };
    let authorized = authorize(&policy, &meta, head.uri.path());
    let Authorized { route, workspace } =
        authorized.map_err(|code| reject(Some(&meta.id), code, None))?;
    let limit = policy.limits().body_bytes;
    let buffers = gateway.buffers.for_client(conn.clone());
    let body = read_body(body, limit, &buffers, conn.as_ref()).await.map_err(|code| {
        let retry_after = (code == Code::MemoryShort).then_some(MEMORY_RETRY_AFTER);
        let mut response = reject(Some(&meta.id), code, retry_after);
        // The rest of the body is not read.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    })?;
    let caller = meta.api_key.as_deref().unwrap_or_default().as_bytes();
    let digest = Digest::of(&[head.uri.path().as_bytes(), caller, &body]);
    if gateway.fleet().crash_tracker.is_quarantined(digest) {
        return Err(reject(Some(&meta.id), Code::Quarantined, None));
    }
    let service = route.target(rand::random::<u64>()).and_then(|key| policy.service(key));
    let Some(service) = service.map(|s| s.name.clone()) else {
        return Err(reject(Some(&meta.id), Code::NoEndpoint, None));
    };
    let slot_pool = gateway.pool(&service);
    let time_limit = meta.timeout.map_or(route.timeout, |t| t.min(route.timeout));
    let time_left = (arrived + time_limit).saturating_duration_since(gateway.clock.now());
    if !gateway.can_finish(&route, &slot_pool, time_left) {
        return Err(reject(Some(&meta.id), Code::EntryLeaving, Some(STOPPING_RETRY_AFTER)));
    }
    let priority = workspace.as_ref().and_then(|(_, priority)| *priority);
    Ok(Exchange {
        access_log: AccessLogEntry {
            id: meta.id.clone(),
            route: route.name.clone(),
            service,
            policy_version: policy.version(),
            urgency: urgency(priority, route.priority),
            gateway: gateway.clone(),
            arrived,
            queue_time: Duration::ZERO,
            first_byte: None,
            max_gap: Duration::ZERO,
            events: 0,
            tries: SmallVec::new(),
            status: 0,
            endpoint_status: None,
            code: None,
            retry_after: None,
            parts: meta.shared_parts.clone(),
            framing: None,
            complete: false,
        },
        urgency_rank: slot_pool.with_pool(|p| p.urgency_rank(urgency(priority, route.priority))),
        workspace_key: workspace.as_ref().map_or(0, |(name, _)| workspace_key(name)),
        priority: urgency(priority, route.priority),
        workspace: workspace.map(|(name, _)| name),
        gateway: gateway.clone(),
        deadline: arrived + time_limit,
        buffers,
        slot_pool,
        digest,
        head,
        meta,
        body,
        route,
        arrived,
        tried: SmallVec::new(),
        is_trial: false,
        earlier: EarlierSends::None,
        unopened: 0,
        executions: 0,
        progress: progress.clone(),
        _request_guard: request_guard,
    })
}

/// Looks up the route and the workspace of a request.
pub(crate) fn authorize(
    policy: &TrafficPolicy,
    meta: &RequestHead,
    path: &str,
) -> Result<Authorized, Code> {
    let route = policy.route(&meta.host, path).ok_or(Code::UnknownService)?.clone();
    let workspace = meta.api_key.as_deref().and_then(|key| policy.workspace(key));
    if workspace.is_none() && policy.has_workspaces() && !route.public {
        return Err(Code::UnknownWorkspace);
    }
    let workspace = workspace.map(|w| (w.name.clone(), w.priority));
    Ok(Authorized { route, workspace })
}

/// Number that stands for a workspace in the queue.
pub(crate) fn workspace_key(name: &str) -> u64 {
    Digest::of(&[name.as_bytes()]).to_u64()
}

async fn read_body(
    mut body: Incoming,
    limit: usize,
    budget: &BufferBudget,
    conn: Option<&Arc<ClientConnection>>,
) -> Result<Bytes, Code> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reading = conn.map(|c| c.reading_body());
    let read = async {
        match timeout(BODY_TIMEOUT, collect_body(&mut body, limit, budget)).await {
            None => Err(Code::CallerTooSlow),
            Some(Ok(body)) => Ok(body),
            Some(Err(CollectError::TooLong)) => Err(Code::BodyTooLarge),
            Some(Err(CollectError::NoMemory)) => Err(Code::MemoryShort),
            Some(Err(CollectError::Broken(_))) => Err(Code::BadFraming),
        }
    };
    let gave_way = async {
        match conn {
            Some(conn) => conn.closing().await,
            None => future::pending().await,
        }
        Err(Code::CallerTooSlow)
    };
    let result = future::or(read, gave_way).await;
    if let Some(reading) = reading.filter(|_| result.is_ok()) {
        reading.complete();
    }
    result
}
