//! Request handlers for operators and endpoints.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::control::EvacuationCall;
use crocustally_core::control::EvacuationStep;
use crocustally_core::fleet::Departure;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::RegistryChange;
use crocustally_net::BufferBudget;
use crocustally_net::ClientConnection;
use crocustally_net::CollectError;
use crocustally_net::ResponseBody;
use crocustally_net::collect_body;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::POLICY_BYTES_MAX;
use crocustally_wire::PolicyDocument;
use crocustally_wire::command::Kind;
use crocustally_wire::outcome::Kind as OutcomeKind;
use futures_lite::future;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::Control;
use crate::ControlRequest;
use crate::ControlResponse;

/// Time for a command to be committed, after which the caller is told to try another instance.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time within which a caller must send the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// An evacuation order whose caller waits. Dropping it before the response logs that the caller has left.
struct OrderInProgress<'a> {
    domain: &'a str,
    active: bool,
    waiting: bool,
}

impl Drop for OrderInProgress<'_> {
    fn drop(&mut self) {
        if self.waiting {
            log::warn!(
                domain = self.domain, active = self.active;
                "evacuation order given up: its caller has left"
            );
            metrics::counter!("crocustally_orders_abandoned").increment(1);
        }
    }
}

/// Handles one request.
pub(crate) async fn handle_request(
    control: Arc<Control>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = req.into_parts();
    let dialect = control.dialect.clone();
    let conn = head.extensions.get::<Arc<ClientConnection>>();
    let body = match read_body(body, &control.buffers, conn).await {
        Some(Ok(body)) => body,
        failed => {
            let cause = failed.and_then(Result::err);
            let is_invalid = matches!(cause, Some(CollectError::TooLong | CollectError::Broken(_)));
            let text = cause.map(|e| e.to_string());
            let text = text.unwrap_or_else(|| "the body did not arrive in time".to_owned());
            log::warn!(path = head.uri.path(); "call not read: {text}");
            // The same call may succeed later or elsewhere unless it is at fault itself.
            let response = if is_invalid {
                ControlResponse::Invalid(text)
            } else {
                ControlResponse::Unavailable
            };
            return dialect.encode_response(response);
        }
    };
    let response = match dialect.decode_request(&head.method, head.uri.path(), &body) {
        ControlRequest::Heartbeat(beat) => control.record_heartbeat(beat).await,
        ControlRequest::MalformedHeartbeat => {
            log::warn!(path = head.uri.path(), bytes = body.len(); "malformed heartbeat");
            metrics::counter!("crocustally_odd_entries", "kind" => "heartbeat").increment(1);
            ControlResponse::Invalid("the heartbeat cannot be read".to_owned())
        }
        ControlRequest::Leave { id, born_ms } => control.deregister(&id, born_ms).await,
        ControlRequest::PutPolicy => control.put_policy(body).await,
        ControlRequest::GetPolicy => control.get_policy().await,
        ControlRequest::Evacuate { domain, active } => control.evacuate(domain, active).await,
        ControlRequest::Unknown => ControlResponse::Unknown,
    };
    dialect.encode_response(response)
}

/// Reads the body of a call; `None` if it does not arrive in time or its connection has to give way.
async fn read_body(
    mut body: Incoming,
    budget: &BufferBudget,
    conn: Option<&Arc<ClientConnection>>,
) -> Option<Result<Bytes, CollectError>> {
    if body.is_end_stream() {
        return Some(Ok(Bytes::new()));
    }
    let reading = conn.map(|c| c.reading_body());
    let budget = budget.for_client(conn.cloned());
    let read = timeout(BODY_TIMEOUT, collect_body(&mut body, POLICY_BYTES_MAX, &budget));
    let gave_way = async {
        match conn {
            Some(conn) => conn.closing().await,
            None => future::pending().await,
        }
        None
    };
    let read = future::or(read, gave_way).await;
    if let Some(reading) = reading.filter(|_| matches!(read, Some(Ok(_)))) {
        reading.complete();
    }
    read
}

impl Control {
    async fn record_heartbeat(&self, beat: Heartbeat) -> ControlResponse {
        // One that leaves is recorded all the same: other instances may know its service.
        if beat.state == HeartbeatState::Ready && !self.has_service(&beat.service) {
            let (endpoint, service) = (beat.id.as_str(), beat.service.as_str());
            log::warn!(endpoint = endpoint, service = service; "heartbeat of an unknown service");
            metrics::counter!("crocustally_odd_entries", "kind" => "service").increment(1);
            // This instance may lag behind the policy, so the endpoint should try another one.
            return ControlResponse::Unavailable;
        }
        let now = self.clock.now();
        let logged = beat.clone();
        let change = self.soft_state().record_heartbeat(now, beat);
        if change == RegistryChange::Changed {
            log::info!(
                endpoint = logged.id.as_str(),
                service = logged.service.as_str(),
                domain = logged.domain.as_str(),
                address = logged.address.to_string().as_str(),
                born = logged.born_ms,
                sequence = logged.sequence,
                cold_ms = logged.cold_remaining.as_millis() as u64,
                state = format!("{:?}", logged.state).as_str();
                "endpoint changed"
            );
            if logged.state == HeartbeatState::Draining {
                self.spread_departure(logged.to_wire(Duration::ZERO)).await;
            }
        }
        ControlResponse::Acknowledged
    }

    async fn deregister(&self, id: &str, born_ms: Option<u64>) -> ControlResponse {
        let departure = Departure { id: id.to_owned(), born_ms };
        let now = self.clock.now();
        let known = {
            let mut soft_state = self.soft_state();
            let known = soft_state.registry.get(id).map(|r| r.heartbeat.born_ms);
            soft_state.record_departure(now, &departure);
            known
        };
        log::info!(endpoint = id, born = born_ms, known = known; "endpoint deregistered");
        self.spread_departure(departure.to_wire(Duration::ZERO)).await;
        ControlResponse::Acknowledged
    }

    async fn put_policy(&self, document: Bytes) -> ControlResponse {
        let policy = match self.dialect.decode_policy(&document) {
            Ok(policy) => policy,
            Err(e) => {
                log::warn!("invalid policy document: {e}");
                return ControlResponse::Invalid(e.to_string());
            }
        };
        let version = policy.version();
        // Versions only increase, so a version that is already applied needs no replication.
        if self.state_machine().policy_version().is_some_and(|held| version <= held) {
            log::info!(version = version; "policy version is already applied");
            return ControlResponse::Acknowledged;
        }
        let command = Kind::Policy(PolicyDocument::compress(version, &document));
        match self.log.propose(command, COMMIT_TIMEOUT).await {
            Ok(_) => {
                log::info!(version = version; "policy committed");
                ControlResponse::Acknowledged
            }
            Err(code) => {
                log::warn!(version = version, code = code.number(); "policy not committed in time");
                ControlResponse::Unavailable
            }
        }
    }

    /// Returns the applied policy document.
    ///
    /// The leader answers once a quorum has confirmed that it still leads, so the read is never older
    /// than an acknowledged write.
    async fn get_policy(&self) -> ControlResponse {
        let arrived = self.clock.now();
        let outcome = self.log.propose(Kind::ReadPolicy(true), COMMIT_TIMEOUT).await;
        match outcome.map(|o| o.kind) {
            Ok(Some(OutcomeKind::Policy(p))) => {
                let Some(document) = p.into_present() else {
                    log::info!("read of the policy refused: there is none yet");
                    return ControlResponse::Unavailable;
                };
                match self.policy_text(&document) {
                    Ok(text) => ControlResponse::Policy(text),
                    Err(e) => {
                        log::error!(version = document.version; "policy document unusable: {e}");
                        ControlResponse::Unavailable
                    }
                }
            }
            outcome => {
                let waited = self.clock.now().saturating_duration_since(arrived);
                let code = outcome.err().map(|code| code.number());
                let leader = self.log.leader();
                log::warn!(
                    ms = waited.as_millis() as u64, code = code, leader = leader.as_deref();
                    "read of the policy refused"
                );
                ControlResponse::Unavailable
            }
        }
    }

    /// Carries out an evacuation order. The server drops this future when the caller disconnects.
    async fn evacuate(&self, domain: String, active: bool) -> ControlResponse {
        let arrived = self.clock.now();
        let revision = self.state_machine().evacuation_revision();
        let mut in_progress = OrderInProgress { domain: &domain, active, waiting: true };
        let mut call = EvacuationCall::new(arrived, domain.clone(), active, revision);
        let acknowledged = loop {
            match call.next_step(self.pause_ended()) {
                EvacuationStep::Wait(time) => sleep(time).await,
                EvacuationStep::Propose(order) => {
                    let outcome = self.log.propose(Kind::Evacuation(order), COMMIT_TIMEOUT).await;
                    let outcome = match outcome.map(|o| o.kind) {
                        Ok(Some(OutcomeKind::Evacuation(outcome))) => Some(outcome),
                        _ => None,
                    };
                    call.record_outcome(self.clock.now(), outcome);
                }
                EvacuationStep::Respond(in_force) => break in_force,
            }
        };
        in_progress.waiting = false;
        let waited = self.clock.now().saturating_duration_since(arrived);
        log::info!(
            domain = domain.as_str(), active = active, revision = call.revision(),
            ms = waited.as_millis() as u64, acknowledged = acknowledged;
            "evacuation"
        );
        if acknowledged { ControlResponse::Acknowledged } else { ControlResponse::Unavailable }
    }
}
