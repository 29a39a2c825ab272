//! [`AgentService`]: the calls that entries make.

use std::pin::Pin;
use std::sync::Arc;

use async_channel::Receiver;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::Ran;
use crocustally_core::agent::Revoked;
use crocustally_wire::AttachRequest;
use crocustally_wire::GateOrder;
use crocustally_wire::GateReply;
use crocustally_wire::RevokeReply;
use crocustally_wire::RevokeRequest;
use crocustally_wire::RunPiece;
use crocustally_wire::RunRequest;
use crocustally_wire::TellReply;
use crocustally_wire::TellRequest;
use crocustally_wire::agent_server::Agent as AgentCalls;
use crocustally_wire::revoke_reply::Outcome;
use futures_lite::Stream;
use futures_lite::StreamExt;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::Agent;
use crate::agent::Wanted;
use crate::answers::Answer;
use crate::engine_run::EngineRun;
use crate::engine_run::is_last;
use crate::pieces;

/// Pieces that may wait between engine and entry.
const PIECES_WAITING: usize = 8;

type Pieces = Pin<Box<dyn Stream<Item = Result<RunPiece, Status>> + Send>>;

/// Answers calls on behalf of one [`Agent`].
pub(crate) struct AgentService {
    agent: Arc<Agent>,
}

impl AgentService {
    pub(crate) fn new(agent: Arc<Agent>) -> Self {
        Self { agent }
    }

    /// Admits an attempt, or says why not; a refused one has not run and never will.
    fn admit(&self, req: &RunRequest) -> Result<Option<Digest>, Code> {
        if req.incarnation != 0 && req.incarnation != self.agent.incarnation {
            return Err(Code::OtherIncarnation);
        }
        if self.agent.shutdown.is_requested() {
            return Err(Code::EndpointLeaving);
        }
        self.agent.admission().admit(req.suspect)?;
        if req.claim_index == 0 {
            return Ok(None);
        }
        let started = self.start_attempt(req);
        if started.is_err() {
            self.agent.admission().release(req.suspect);
        }
        started.map(Some)
    }

    fn start_attempt(&self, req: &RunRequest) -> Result<Digest, Code> {
        let id = Digest::try_from(&req.attempt[..]).map_err(|_| Code::BadKey)?;
        self.agent.attempts().start(id, req.claim_index)?;
        self.agent.answers().begin(id);
        Ok(id)
    }

    fn revoke_attempt(&self, req: &RevokeRequest) -> Outcome {
        if req.incarnation != self.agent.incarnation {
            return Outcome::OtherIncarnation;
        }
        let Ok(id) = Digest::try_from(&req.attempt[..]) else { return Outcome::Unknown };
        match self.agent.attempts().revoke(id, req.claim_index) {
            Revoked::Never => Outcome::Revoked,
            Revoked::Running => Outcome::Running,
            Revoked::Done => Outcome::Done,
            Revoked::Unknown => Outcome::Unknown,
        }
    }

    async fn whole_answer(&self, id: Digest) -> Vec<RunPiece> {
        loop {
            let known = self.agent.answers().get(id);
            match known {
                Some(Answer::Whole(pieces)) => return pieces.to_vec(),
                Some(Answer::Pending(event)) => {
                    let listener = event.listen();
                    let still = self.agent.answers().get(id);
                    if matches!(still, Some(Answer::Pending(_))) {
                        listener.await;
                    }
                }
                None => {
                    let load = self.agent.load();
                    return vec![pieces::refusal(Code::OutcomeUnknown, Ran::Unknown, false, load)];
                }
            }
        }
    }
}

/// Turns the channel into the stream that the library sends, ending after the last piece.
fn piece_stream(rx: Receiver<RunPiece>) -> Pieces {
    let pieces = futures_lite::stream::unfold(Some(rx), |rx| async move {
        let rx = rx?;
        let piece = rx.recv().await.ok()?;
        let next = (!is_last(&piece)).then_some(rx);
        Some((Ok(piece), next))
    });
    pieces.boxed()
}

#[tonic::async_trait]
impl AgentCalls for AgentService {
    type RunStream = Pieces;
    type AttachStream = Pieces;

    async fn run(&self, req: Request<RunRequest>) -> Result<Response<Pieces>, Status> {
        let req = req.into_inner();
        let (tx, rx) = async_channel::bounded(PIECES_WAITING);
        metrics::counter!("crocustally_agent_requests_total").increment(1);
        match self.admit(&req) {
            Ok(claimed) => {
                let busy = self.agent.shutdown.track_request();
                let run = EngineRun::new(self.agent.clone(), req, claimed, tx);
                self.agent.rt.spawn(async move {
                    run.run().await;
                    drop(busy);
                });
            }
            Err(code) => {
                metrics::counter!("crocustally_agent_refused_total").increment(1);
                let load = self.agent.load();
                let _ = tx.try_send(pieces::refusal(code, Ran::No, false, load));
            }
        }
        Ok(Response::new(piece_stream(rx)))
    }

    async fn attach(&self, req: Request<AttachRequest>) -> Result<Response<Pieces>, Status> {
        let req = req.into_inner();
        let id = Digest::try_from(&req.attempt[..]);
        let id = id.map_err(|_| Status::invalid_argument("attempt is not 16 bytes"))?;
        if req.incarnation != self.agent.incarnation {
            let load = self.agent.load();
            let gone = pieces::refusal(Code::OutcomeUnknown, Ran::Unknown, false, load);
            return Ok(Response::new(futures_lite::stream::iter([Ok(gone)]).boxed()));
        }
        let pieces = self.whole_answer(id).await.into_iter().map(Ok);
        Ok(Response::new(futures_lite::stream::iter(pieces).boxed()))
    }

    async fn revoke(&self, req: Request<RevokeRequest>) -> Result<Response<RevokeReply>, Status> {
        let outcome = self.revoke_attempt(&req.into_inner());
        Ok(Response::new(RevokeReply { outcome: outcome.into() }))
    }

    async fn tell(&self, req: Request<TellRequest>) -> Result<Response<TellReply>, Status> {
        let req = req.into_inner();
        let entry = req.entry.parse().map_err(|_| Status::invalid_argument("entry address"))?;
        self.agent.told(entry, Wanted { version: req.config_version, leave: req.leave });
        Ok(Response::new(TellReply { config_version: self.agent.config_version() }))
    }

    async fn gate(&self, _: Request<GateOrder>) -> Result<Response<GateReply>, Status> {
        Err(Status::unimplemented("this endpoint has no step gate"))
    }
}
