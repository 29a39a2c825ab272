//! The calls of operators and endpoints.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::fleet::Beat;
use crocustally_core::fleet::Change;
use crocustally_net::ResponseBody;
use crocustally_wire::Evacuation;
use crocustally_wire::PolicyDocument;
use crocustally_wire::command::Kind;
use crocustally_wire::outcome::Kind as OutcomeKind;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::Control;
use crate::ControlRequest;
use crate::ControlResponse;

/// How long an order may take to be replicated before the caller is sent elsewhere.
const DECIDE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Answers one call.
pub(crate) async fn answer(
    control: Arc<Control>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = req.into_parts();
    let dialect = control.dialect.clone();
    let Ok(body) = body.collect().await else {
        return dialect.encode_response(ControlResponse::Invalid("the body broke off".to_owned()));
    };
    let body = body.to_bytes();
    let answer = match dialect.decode_request(&head.method, head.uri.path(), &body) {
        ControlRequest::Heartbeat(beat) => control.beat(beat),
        ControlRequest::MalformedHeartbeat => {
            log::warn!(path = head.uri.path(), bytes = body.len(); "heartbeat not readable");
            ControlResponse::Invalid("the heartbeat cannot be read".to_owned())
        }
        ControlRequest::Leave { id, born_ms } => control.leave(&id, born_ms),
        ControlRequest::PutPolicy => control.put_policy(body).await,
        ControlRequest::GetPolicy => control.get_policy().await,
        ControlRequest::Evacuate { domain, active } => control.evacuate(domain, active).await,
        ControlRequest::Unknown => ControlResponse::Unknown,
    };
    dialect.encode_response(answer)
}

impl Control {
    fn beat(&self, beat: Beat) -> ControlResponse {
        let now = self.clock.now();
        let said = beat.clone();
        let change = self.book().beat(now, beat);
        if change == Change::Changed {
            log::info!(
                endpoint = said.id.as_str(),
                service = said.service.as_str(),
                domain = said.domain.as_str(),
                address = said.address.to_string().as_str(),
                born = said.born_ms,
                sequence = said.sequence,
                cold_ms = said.cold.as_millis() as u64,
                state = format!("{:?}", said.state).as_str();
                "endpoint changed"
            );
        }
        ControlResponse::Acknowledged
    }

    fn leave(&self, id: &str, born_ms: Option<u64>) -> ControlResponse {
        let known = self.book().leave(self.clock.now(), id, born_ms);
        log::info!(endpoint = id, born = born_ms, known = known; "endpoint leaves");
        ControlResponse::Acknowledged
    }

    async fn put_policy(&self, document: Bytes) -> ControlResponse {
        let policy = match self.dialect.decode_policy(&document) {
            Ok(policy) => policy,
            Err(e) => {
                log::warn!("policy refused: {e}");
                return ControlResponse::Invalid(e.to_string());
            }
        };
        let version = policy.version();
        // Versions never go back, so what is applied here already needs no second round.
        if version <= self.state_machine().policy().version {
            log::info!(version = version; "policy acknowledged again");
            return ControlResponse::Acknowledged;
        }
        let command = Kind::Policy(PolicyDocument { version, body: document });
        match self.log.propose(command, DECIDE_TIMEOUT).await {
            Ok(_) => {
                log::info!(version = version; "policy acknowledged");
                ControlResponse::Acknowledged
            }
            Err(code) => {
                log::warn!(version = version, code = code.number(); "policy undecided");
                ControlResponse::Unavailable
            }
        }
    }

    /// Reads in the order of the log, so that the answer is never older than an acknowledged write.
    async fn get_policy(&self) -> ControlResponse {
        let outcome = self.log.propose(Kind::ReadPolicy(true), DECIDE_TIMEOUT).await;
        match outcome.map(|o| o.kind) {
            Ok(Some(OutcomeKind::Policy(p))) if p.version > 0 => ControlResponse::Policy(p.body),
            _ => ControlResponse::Unavailable,
        }
    }

    async fn evacuate(&self, domain: String, active: bool) -> ControlResponse {
        let command = Kind::Evacuation(Evacuation { domain: domain.clone(), active });
        let decided = self.log.propose(command, DECIDE_TIMEOUT).await;
        let acknowledged = decided.is_ok();
        log::info!(
            domain = domain.as_str(), active = active, acknowledged = acknowledged;
            "evacuation"
        );
        if acknowledged { ControlResponse::Acknowledged } else { ControlResponse::Unavailable }
    }
}
