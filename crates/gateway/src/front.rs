//! Where callers' requests enter: decode, authorize, route.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::traffic::Route;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_net::ResponseBody;
use crocustally_net::full_body;
use crocustally_net::timeout;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use smallvec::SmallVec;

use crate::Gateway;
use crate::RequestHead;
use crate::exchange::Exchange;
use crate::exchange::Trace;
use crate::stream;
use crate::whole;

/// Longest time for a body to arrive.
const BODY_TIME: Duration = Duration::from_secs(5);
/// Longest time that a request waits for the first policy of a gateway that has just started: an
/// election and a feed.
const START_WAIT_MAX: Duration = Duration::from_millis(1200);
/// The same as a part of the caller's time: one in so many.
const START_WAIT_PART: u32 = 4;
/// Time to come back to a gateway without a policy, once a request has waited for one in vain.
const RETRY_NOT_READY: Duration = Duration::from_millis(1000);

/// Answers whether this gateway takes callers.
pub(crate) async fn ready(gateway: Arc<Gateway>, _: Request<Incoming>) -> Response<ResponseBody> {
    let ready = gateway.ready();
    let mut response = Response::new(full_body(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Answers a caller's request.
pub(crate) async fn answer(
    gateway: Arc<Gateway>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = match admit(&gateway, req).await {
        Ok(ex) if ex.route.kind.streams() => stream::serve(ex).await,
        Ok(ex) => whole::serve(ex).await,
        Err(refused) => *refused,
    };
    if gateway.shutdown.is_requested() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

type Refused = Box<Response<ResponseBody>>;

/// Who a request is from and where it goes.
struct Admitted {
    route: Route,
    workspace: Option<(String, Option<u8>)>,
}

async fn admit(gateway: &Arc<Gateway>, req: Request<Incoming>) -> Result<Exchange, Refused> {
    let arrived = gateway.clock.now();
    let busy = gateway.shutdown.track_request();
    let (head, body) = req.into_parts();
    let refuse = |id: Option<&str>, code: Code, after: Option<Duration>| {
        log::info!(id = id, path = head.uri.path(), code = code.number(); "request not admitted");
        metrics::counter!("crocustally_not_admitted", "code" => code.number().to_string())
            .increment(1);
        Box::new(gateway.dialect.refuse(id, code, after))
    };
    let Ok(meta) = gateway.dialect.request(&head) else {
        return Err(refuse(None, Code::BadFraming, None));
    };
    let patience = meta.patience.unwrap_or(START_WAIT_MAX * START_WAIT_PART);
    let start_wait = START_WAIT_MAX.min(patience / START_WAIT_PART);
    let Some(policy) = gateway.policy_within(start_wait).await else {
        return Err(refuse(Some(&meta.id), Code::NotReady, Some(RETRY_NOT_READY)));
    };
    let admitted = authorize(&policy, &meta, head.uri.path());
    let Admitted { route, workspace } =
        admitted.map_err(|code| refuse(Some(&meta.id), code, None))?;
    let limit = policy.limits().body_bytes;
    let body = read_body(body, limit).await.map_err(|code| refuse(Some(&meta.id), code, None))?;
    let caller = meta.key.as_deref().unwrap_or_default().as_bytes();
    let digest = Digest::of(&[head.uri.path().as_bytes(), caller, &body]);
    if gateway.beliefs().suspicion.refuses(digest) {
        return Err(refuse(Some(&meta.id), Code::Quarantined, None));
    }
    let service = route.target(rand::random::<u64>()).and_then(|key| policy.service(key));
    let Some(service) = service.map(|s| s.name.clone()) else {
        return Err(refuse(Some(&meta.id), Code::NoEndpoint, None));
    };
    let places = gateway.places(&service);
    let patience = meta.patience.map_or(route.timeout, |p| p.min(route.timeout));
    let urgency = workspace.as_ref().and_then(|(_, urgency)| *urgency);
    Ok(Exchange {
        trace: Trace {
            id: meta.id.clone(),
            route: route.name.clone(),
            service,
            policy: policy.version(),
            gateway: gateway.clone(),
            arrived,
            queued: Duration::ZERO,
            first: None,
            gap: Duration::ZERO,
            events: 0,
            tries: SmallVec::new(),
            status: 0,
            code: None,
            retry_after: None,
            complete: false,
        },
        rank: urgency.unwrap_or(route.urgency),
        workspace: workspace.map(|(name, _)| name),
        gateway: gateway.clone(),
        end: arrived + patience,
        places,
        digest,
        head,
        meta,
        body,
        route,
        arrived,
        tried: SmallVec::new(),
        runs: 0,
        _busy: busy,
    })
}

fn authorize(policy: &TrafficPolicy, meta: &RequestHead, path: &str) -> Result<Admitted, Code> {
    let route = policy.route(&meta.host, path).ok_or(Code::UnknownService)?.clone();
    let holder = meta.key.as_deref().and_then(|key| policy.workspace(key));
    if holder.is_none() && policy.has_workspaces() && !route.public {
        return Err(Code::UnknownWorkspace);
    }
    let workspace = holder.map(|w| (w.name.clone(), w.urgency));
    Ok(Admitted { route, workspace })
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Code> {
    let read = timeout(BODY_TIME, Limited::new(body, limit).collect()).await;
    match read {
        None => Err(Code::CallerTooSlow),
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(e)) if e.is::<LengthLimitError>() => Err(Code::BodyTooLarge),
        Some(Err(_)) => Err(Code::BadFraming),
    }
}
