//! Calls to agents: opening an attempt, reading its pieces, revoking it, probing the agent.

use std::error::Error;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::Ran;
use crocustally_core::routing::Load;
use crocustally_net::Channel;
use crocustally_net::ChannelError;
use crocustally_net::timeout;
use crocustally_wire::AttachRequest;
use crocustally_wire::Data;
use crocustally_wire::Head;
use crocustally_wire::Refusal;
use crocustally_wire::RevokeRequest;
use crocustally_wire::RunPiece;
use crocustally_wire::RunRequest;
use crocustally_wire::Whole;
use crocustally_wire::agent_client::AgentClient;
use crocustally_wire::revoke_reply::Outcome;
use crocustally_wire::run_piece::Kind;
use tonic::Status;
use tonic::Streaming;

use crate::identify::CallerRequest;

/// Longest time for one short call to an agent.
const AGENT_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Within this time a live host refuses a connection to a closed port; over a broken network path a
/// connection takes longer to fail.
const CONNECTION_REFUSED_TIMEOUT: Duration = Duration::from_millis(400);

/// One piece of a response, or the reason why none arrived.
#[derive(Debug)]
pub(crate) enum Piece {
    /// Status and content type; the body follows.
    Head(Head),
    /// The complete response in one piece.
    Whole(Whole),
    /// A part of the body.
    Data(Data),
    /// The end marker: one past the offset of the last part.
    End(u64),
    /// The agent refused the request, or the engine failed.
    Refused {
        /// The reason.
        code: Code,
        /// Whether the request ran.
        ran: Ran,
        /// Whether the engine died while it ran the request.
        engine_died: bool,
        /// Start number of the engine that ran the request.
        engine_start: u64,
    },
    /// The connection broke or the stream ended early.
    ConnectionLost,
    /// The response did not start within the first-byte timeout.
    FirstByteTimeout,
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

/// An open attempt.
pub(crate) struct Call {
    stream: Streaming<RunPiece>,
    deadline: Instant,
    timer: Option<Timer>,
    /// Load reported with the most recent piece that had one.
    pub(crate) load: Option<Load>,
}

/// Builds the message that starts an attempt.
pub(crate) fn run_request(
    request: &CallerRequest,
    now: Instant,
    incarnation: u64,
    resume_from: u64,
    suspect: bool,
) -> RunRequest {
    let left = request.deadline.saturating_duration_since(now);
    RunRequest {
        service: request.service.clone(),
        workspace: request.workspace.clone(),
        method: request.method.as_str().to_owned(),
        path: request.path.clone(),
        content_type: request.content_type.clone(),
        body: request.body.clone(),
        incarnation,
        priority: request.priority as u32,
        deadline_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        resume_from,
        suspect,
        ..RunRequest::default()
    }
}

/// Identifies one attempt under an idempotency key.
pub(crate) fn attempt_id(key: Digest, attempt: u32) -> Digest {
    Digest::of(&[&key.0, &attempt.to_le_bytes()])
}

/// Opens an attempt. The error says whether the request may have reached the agent.
pub(crate) async fn open(
    channel: &Channel,
    req: RunRequest,
    deadline: Instant,
) -> Result<Call, Ran> {
    let mut client = AgentClient::with_origin(channel.clone(), channel.origin());
    match client.run(req).await {
        Ok(response) => {
            Ok(Call { stream: response.into_inner(), deadline, timer: None, load: None })
        }
        Err(status) if is_not_connected(&status) => Err(Ran::No),
        Err(_) => Err(Ran::Unknown),
    }
}

/// Attaches to an attempt that the agent already has, over a new connection.
pub(crate) async fn attach(
    channel: &Channel,
    attempt: Digest,
    incarnation: u64,
    deadline: Instant,
) -> Option<Call> {
    let channel = channel.with_new_connection();
    let mut client = AgentClient::with_origin(channel.clone(), channel.origin());
    let req = AttachRequest { attempt: attempt.to_bytes(), incarnation };
    let stream = client.attach(req).await.ok()?.into_inner();
    Some(Call { stream, deadline, timer: None, load: None })
}

/// Revokes an attempt over a new connection, so that it never starts; `None` if the agent cannot be
/// reached.
pub(crate) async fn revoke(
    channel: &Channel,
    attempt: Digest,
    incarnation: u64,
    claim_index: u64,
) -> Option<Outcome> {
    let channel = channel.with_new_connection();
    let mut client = AgentClient::with_origin(channel.clone(), channel.origin());
    let req = RevokeRequest { attempt: attempt.to_bytes(), incarnation, claim_index };
    let reply = timeout(AGENT_CALL_TIMEOUT, client.revoke(req)).await?.ok()?.into_inner();
    Outcome::try_from(reply.outcome).ok()
}

/// Result of probing an agent over a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    /// The incarnation in question is alive.
    Alive,
    /// It has died: another incarnation responds, or the host refuses connections.
    Dead,
    /// No response: the agent may have died, or the network path to it is broken.
    Inconclusive,
}

/// Probes over a new connection whether an incarnation of an agent is alive.
pub(crate) async fn probe(channel: &Channel, incarnation: u64) -> Probe {
    let channel = channel.with_new_connection();
    let mut client = AgentClient::with_origin(channel.clone(), channel.origin());
    let req = RevokeRequest { incarnation, ..RevokeRequest::default() };
    let first_try = timeout(CONNECTION_REFUSED_TIMEOUT, client.revoke(req.clone())).await;
    let reply = match first_try {
        Some(Err(status)) if is_not_connected(&status) => return Probe::Dead,
        Some(reply) => Some(reply),
        None => timeout(AGENT_CALL_TIMEOUT, client.revoke(req)).await,
    };
    match reply {
        Some(Ok(reply)) if reply.get_ref().outcome() == Outcome::OtherIncarnation => Probe::Dead,
        Some(Ok(_)) => Probe::Alive,
        Some(Err(_)) | None => Probe::Inconclusive,
    }
}

impl Call {
    /// The first piece, or [`Piece::FirstByteTimeout`].
    pub(crate) async fn first_piece(
        &mut self,
        now: Instant,
        first_byte_timeout: Duration,
    ) -> Piece {
        let left = self.deadline.saturating_duration_since(now);
        if left <= first_byte_timeout {
            return self.next_piece(now).await;
        }
        match timeout(first_byte_timeout, self.stream.message()).await {
            None => Piece::FirstByteTimeout,
            Some(message) => self.decode_piece(message),
        }
    }

    /// The next piece; must not be called after the end marker or a refusal.
    ///
    /// The call uses a single timer, since a timer for each piece would wake the reactor each time.
    pub(crate) async fn next_piece(&mut self, now: Instant) -> Piece {
        let left = self.deadline.saturating_duration_since(now);
        let timer = self.timer.get_or_insert_with(|| Timer::after(left));
        let deadline = async {
            timer.await;
            None
        };
        let message = async { Some(self.stream.message().await) };
        match futures_lite::future::or(message, deadline).await {
            None => Piece::DeadlineExceeded,
            Some(message) => self.decode_piece(message),
        }
    }

    fn decode_piece(&mut self, message: Result<Option<RunPiece>, Status>) -> Piece {
        let Ok(Some(message)) = message else { return Piece::ConnectionLost };
        if let Some(load) = &message.load {
            self.load = Some(load.into());
        }
        match message.kind {
            Some(Kind::Head(head)) => Piece::Head(head),
            Some(Kind::Whole(whole)) => Piece::Whole(whole),
            Some(Kind::Data(data)) => Piece::Data(data),
            Some(Kind::End(end)) => Piece::End(end.count),
            Some(Kind::Refusal(r)) => decode_refusal(&r),
            None => Piece::ConnectionLost,
        }
    }
}

fn decode_refusal(r: &Refusal) -> Piece {
    let code = Code::try_from(r.code).unwrap_or(Code::EngineFailed);
    Piece::Refused {
        code,
        ran: Ran::from_number(r.ran),
        engine_died: r.engine_died,
        engine_start: r.engine_start,
    }
}

fn is_not_connected(status: &Status) -> bool {
    let mut source: Option<&(dyn Error + 'static)> = status.source();
    while let Some(e) = source {
        if let Some(ChannelError::NotConnected) = e.downcast_ref::<ChannelError>() {
            return true;
        }
        source = e.source();
    }
    false
}
