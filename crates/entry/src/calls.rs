//! Calls to agents: opening an attempt, reading its pieces, asking what became of it.

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

use crate::identify::Identified;

/// Longest time for one question to an agent.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// An instance that is there refuses a connection within this time; a cut path takes longer to
/// fail.
const REFUSAL_TIME: Duration = Duration::from_millis(400);

/// What came next from an agent.
#[derive(Debug)]
pub(crate) enum Piece {
    /// The start of the answer.
    Head(Head),
    /// The whole answer in one.
    Whole(Whole),
    /// A part of it.
    Data(Data),
    /// Its end: one past the offset of the last part.
    End(u64),
    /// The agent refused, or the engine failed.
    Refused {
        /// Why.
        code: Code,
        /// Whether it ran.
        ran: Ran,
        /// Whether the engine died of it, or with it.
        engine_died: bool,
        /// Start number of the engine that ran it.
        engine_start: u64,
    },
    /// The connection broke.
    Lost,
    /// The answer has not begun for far longer than usual.
    Slow,
    /// The deadline is over.
    Late,
}

/// One attempt under way.
pub(crate) struct Call {
    stream: Streaming<RunPiece>,
    deadline: Instant,
    timer: Option<Timer>,
    /// Load that came with the last piece.
    pub(crate) load: Option<Load>,
}

/// The message that starts an attempt of a request.
pub(crate) fn run_request(
    id: &Identified,
    now: Instant,
    incarnation: u64,
    resume_from: u64,
    suspect: bool,
) -> RunRequest {
    let left = id.deadline.saturating_duration_since(now);
    RunRequest {
        service: id.service.clone(),
        workspace: id.workspace.clone(),
        method: id.method.as_str().to_owned(),
        path: id.path.clone(),
        content_type: id.content_type.clone(),
        body: id.body.clone(),
        incarnation,
        priority: id.priority as u32,
        deadline_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        resume_from,
        suspect,
        ..RunRequest::default()
    }
}

/// The name of one attempt at a key.
pub(crate) fn attempt_id(key: Digest, attempt: u32) -> Digest {
    Digest::of(&[&key.0, &attempt.to_le_bytes()])
}

/// Opens an attempt; an error says whether it may have arrived.
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
        Err(status) if not_connected(&status) => Err(Ran::No),
        Err(_) => Err(Ran::Unknown),
    }
}

/// Attaches to an attempt that the agent already knows, over a connection of its own.
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

/// Asks over a fresh connection that an attempt never start; `None` when the agent cannot be asked.
pub(crate) async fn revoke(
    channel: &Channel,
    attempt: Digest,
    incarnation: u64,
    claim_index: u64,
) -> Option<Outcome> {
    let channel = channel.with_new_connection();
    let mut client = AgentClient::with_origin(channel.clone(), channel.origin());
    let req = RevokeRequest { attempt: attempt.to_bytes(), incarnation, claim_index };
    let reply = timeout(ASK_TIMEOUT, client.revoke(req)).await?.ok()?.into_inner();
    Outcome::try_from(reply.outcome).ok()
}

/// What a fresh connection to an agent shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    /// The incarnation that was meant still lives.
    Alive,
    /// It has died: another incarnation answers, or the instance refuses connections.
    Dead,
    /// Nothing answers at all: it may have died, or the way to it is cut.
    Silent,
}

/// Asks over a fresh connection whether an incarnation of an agent lives.
pub(crate) async fn probe(channel: &Channel, incarnation: u64) -> Probe {
    let channel = channel.with_new_connection();
    let mut client = AgentClient::with_origin(channel.clone(), channel.origin());
    let req = RevokeRequest { incarnation, ..RevokeRequest::default() };
    let asked = timeout(REFUSAL_TIME, client.revoke(req.clone())).await;
    let answer = match asked {
        Some(Err(status)) if not_connected(&status) => return Probe::Dead,
        Some(answer) => Some(answer),
        None => timeout(ASK_TIMEOUT, client.revoke(req)).await,
    };
    match answer {
        Some(Ok(reply)) if reply.get_ref().outcome() == Outcome::OtherIncarnation => Probe::Dead,
        Some(Ok(_)) => Probe::Alive,
        Some(Err(_)) | None => Probe::Silent,
    }
}

impl Call {
    /// The first piece, if it comes in time; [`Piece::Slow`] otherwise.
    pub(crate) async fn first(&mut self, now: Instant, patience: Duration) -> Piece {
        let left = self.deadline.saturating_duration_since(now);
        if left <= patience {
            return self.next(now).await;
        }
        match timeout(patience, self.stream.message()).await {
            None => Piece::Slow,
            Some(message) => self.piece(message),
        }
    }

    /// The next piece; after the end mark or a refusal there is none to ask for.
    ///
    /// One timer serves the whole call: setting one for each piece would wake the reactor each time.
    pub(crate) async fn next(&mut self, now: Instant) -> Piece {
        let left = self.deadline.saturating_duration_since(now);
        let timer = self.timer.get_or_insert_with(|| Timer::after(left));
        let late = async {
            timer.await;
            None
        };
        let message = async { Some(self.stream.message().await) };
        match futures_lite::future::or(message, late).await {
            None => Piece::Late,
            Some(message) => self.piece(message),
        }
    }

    fn piece(&mut self, message: Result<Option<RunPiece>, Status>) -> Piece {
        let Ok(Some(message)) = message else { return Piece::Lost };
        if let Some(load) = &message.load {
            self.load = Some(load.into());
        }
        match message.kind {
            Some(Kind::Head(head)) => Piece::Head(head),
            Some(Kind::Whole(whole)) => Piece::Whole(whole),
            Some(Kind::Data(data)) => Piece::Data(data),
            Some(Kind::End(end)) => Piece::End(end.count),
            Some(Kind::Refusal(r)) => refused(&r),
            None => Piece::Lost,
        }
    }
}

fn refused(r: &Refusal) -> Piece {
    let code = Code::try_from(r.code).unwrap_or(Code::EngineFailed);
    Piece::Refused {
        code,
        ran: Ran::from_number(r.ran),
        engine_died: r.engine_died,
        engine_start: r.engine_start,
    }
}

fn not_connected(status: &Status) -> bool {
    let mut source: Option<&(dyn Error + 'static)> = status.source();
    while let Some(e) = source {
        if let Some(ChannelError::NotConnected) = e.downcast_ref::<ChannelError>() {
            return true;
        }
        source = e.source();
    }
    false
}
