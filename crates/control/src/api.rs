//! The calls of operators and endpoints.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::RegistryChange;
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
use crate::ControlAnswer;
use crate::ControlCall;

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
        return dialect.respond(ControlAnswer::Invalid("the body broke off".to_owned()));
    };
    let body = body.to_bytes();
    let answer = match dialect.decode(&head.method, head.uri.path(), &body) {
        ControlCall::Beat(beat) => control.beat(beat),
        ControlCall::UnreadableBeat => {
            log::warn!(path = head.uri.path(), bytes = body.len(); "heartbeat not readable");
            ControlAnswer::Invalid("the heartbeat cannot be read".to_owned())
        }
        ControlCall::Leave { id, born_ms } => control.leave(&id, born_ms),
        ControlCall::PutPolicy => control.put_policy(body).await,
        ControlCall::GetPolicy => control.get_policy().await,
        ControlCall::Evacuate { domain, active } => control.evacuate(domain, active).await,
        ControlCall::Unknown => ControlAnswer::Unknown,
    };
    dialect.respond(answer)
}

impl Control {
    fn beat(&self, beat: Heartbeat) -> ControlAnswer {
        let now = self.clock.now();
        let said = beat.clone();
        let change = self.book().beat(now, beat);
        if change == RegistryChange::Changed {
            log::info!(
                endpoint = said.id.as_str(),
                service = said.service.as_str(),
                domain = said.domain.as_str(),
                address = said.address.to_string().as_str(),
                born = said.born_ms,
                sequence = said.sequence,
                cold_ms = said.cold_remaining.as_millis() as u64,
                state = format!("{:?}", said.state).as_str();
                "endpoint changed"
            );
        }
        ControlAnswer::Acknowledged
    }

    fn leave(&self, id: &str, born_ms: Option<u64>) -> ControlAnswer {
        let known = self.book().leave(self.clock.now(), id, born_ms);
        log::info!(endpoint = id, born = born_ms, known = known; "endpoint leaves");
        ControlAnswer::Acknowledged
    }

    async fn put_policy(&self, document: Bytes) -> ControlAnswer {
        let policy = match self.dialect.policy(&document) {
            Ok(policy) => policy,
            Err(e) => {
                log::warn!("policy refused: {e}");
                return ControlAnswer::Invalid(e.to_string());
            }
        };
        let version = policy.version();
        // Versions never go back, so what is applied here already needs no second round.
        if version <= self.machine().policy().version {
            log::info!(version = version; "policy acknowledged again");
            return ControlAnswer::Acknowledged;
        }
        let command = Kind::Policy(PolicyDocument { version, body: document });
        match self.log.propose(command, DECIDE_TIMEOUT).await {
            Ok(_) => {
                log::info!(version = version; "policy acknowledged");
                ControlAnswer::Acknowledged
            }
            Err(code) => {
                log::warn!(version = version, code = code.number(); "policy undecided");
                ControlAnswer::Unavailable
            }
        }
    }

    /// Reads in the order of the log, so that the answer is never older than an acknowledged write.
    async fn get_policy(&self) -> ControlAnswer {
        let outcome = self.log.propose(Kind::ReadPolicy(true), DECIDE_TIMEOUT).await;
        match outcome.map(|o| o.kind) {
            Ok(Some(OutcomeKind::Policy(p))) if p.version > 0 => ControlAnswer::Policy(p.body),
            _ => ControlAnswer::Unavailable,
        }
    }

    async fn evacuate(&self, domain: String, active: bool) -> ControlAnswer {
        let command = Kind::Evacuation(Evacuation { domain: domain.clone(), active });
        let decided = self.log.propose(command, DECIDE_TIMEOUT).await;
        let acknowledged = decided.is_ok();
        log::info!(
            domain = domain.as_str(), active = active, acknowledged = acknowledged;
            "evacuation"
        );
        if acknowledged { ControlAnswer::Acknowledged } else { ControlAnswer::Unavailable }
    }
}
