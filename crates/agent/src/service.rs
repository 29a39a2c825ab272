//! [`AgentService`]: the gRPC service that entries call.

use std::pin::Pin;
use std::sync::Arc;

use async_channel::Receiver;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::Ran;
use crocustally_core::agent::RevokeOutcome;
use crocustally_wire::AttachRequest;
use crocustally_wire::GateOrder;
use crocustally_wire::GateReply;
use crocustally_wire::RevokeReply;
use crocustally_wire::RevokeRequest;
use crocustally_wire::RunPiece;
use crocustally_wire::RunRequest;
use crocustally_wire::TellReply;
use crocustally_wire::TellRequest;
use crocustally_wire::agent_server::Agent as AgentRpc;
use crocustally_wire::revoke_reply::Outcome;
use futures_lite::Stream;
use futures_lite::StreamExt;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::Agent;
use crate::agent::EntryDirective;
use crate::engine_run::EngineRun;
use crate::engine_run::is_last;
use crate::pieces;
use crate::response_store::StoredResponse;

/// Pieces buffered between the engine and the entry.
const PIECES_BUFFERED_MAX: usize = 8;

type PieceStream = Pin<Box<dyn Stream<Item = Result<RunPiece, Status>> + Send>>;

/// The gRPC service of one [`Agent`].
pub(crate) struct AgentService {
    agent: Arc<Agent>,
}

impl AgentService {
    pub(crate) fn new(agent: Arc<Agent>) -> Self {
        Self { agent }
    }

    /// Admits an attempt and returns its id when it is claimed.
    ///
    /// # Errors
    ///
    /// The reason for the refusal; a refused attempt has not run and never will.
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
        self.agent.responses().begin(id);
        Ok(id)
    }

    fn revoke_attempt(&self, req: &RevokeRequest) -> Outcome {
        if req.incarnation != self.agent.incarnation {
            return Outcome::OtherIncarnation;
        }
        let Ok(id) = Digest::try_from(&req.attempt[..]) else { return Outcome::Unknown };
        match self.agent.attempts().revoke(id, req.claim_index) {
            RevokeOutcome::Never => Outcome::Revoked,
            RevokeOutcome::Running => Outcome::Running,
            RevokeOutcome::Done => Outcome::Done,
            RevokeOutcome::Unknown => Outcome::Unknown,
        }
    }

    async fn wait_for_response(&self, id: Digest) -> Vec<RunPiece> {
        loop {
            let response = self.agent.responses().get(id);
            match response {
                Some(StoredResponse::Complete(pieces)) => return pieces.to_vec(),
                Some(StoredResponse::Pending(event)) => {
                    let listener = event.listen();
                    let current = self.agent.responses().get(id);
                    if matches!(current, Some(StoredResponse::Pending(_))) {
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

/// Converts the channel into a response stream that ends after the last piece.
fn piece_stream(rx: Receiver<RunPiece>) -> PieceStream {
    let pieces = futures_lite::stream::unfold(Some(rx), |rx| async move {
        let rx = rx?;
        let piece = rx.recv().await.ok()?;
        let next = (!is_last(&piece)).then_some(rx);
        Some((Ok(piece), next))
    });
    pieces.boxed()
}

#[tonic::async_trait]
impl AgentRpc for AgentService {
    type RunStream = PieceStream;
    type AttachStream = PieceStream;

    async fn run(&self, req: Request<RunRequest>) -> Result<Response<PieceStream>, Status> {
        let req = req.into_inner();
        let (tx, rx) = async_channel::bounded(PIECES_BUFFERED_MAX);
        metrics::counter!("crocustally_agent_requests_total").increment(1);
        // Counted before the shutdown is looked at: an attempt that is admitted holds up its next stage.
        let request_guard = self.agent.shutdown.track_request();
        match self.admit(&req) {
            Ok(attempt_id) => {
                let run = EngineRun::new(self.agent.clone(), req, attempt_id, tx);
                self.agent.rt.spawn(async move {
                    run.run().await;
                    drop(request_guard);
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

    async fn attach(&self, req: Request<AttachRequest>) -> Result<Response<PieceStream>, Status> {
        let req = req.into_inner();
        let id = Digest::try_from(&req.attempt[..]);
        let id = id.map_err(|_| Status::invalid_argument("attempt is not 16 bytes"))?;
        if req.incarnation != self.agent.incarnation {
            let load = self.agent.load();
            let refusal = pieces::refusal(Code::OutcomeUnknown, Ran::Unknown, false, load);
            return Ok(Response::new(futures_lite::stream::iter([Ok(refusal)]).boxed()));
        }
        let pieces = self.wait_for_response(id).await.into_iter().map(Ok);
        Ok(Response::new(futures_lite::stream::iter(pieces).boxed()))
    }

    async fn revoke(&self, req: Request<RevokeRequest>) -> Result<Response<RevokeReply>, Status> {
        let outcome = self.revoke_attempt(&req.into_inner());
        Ok(Response::new(RevokeReply { outcome: outcome.into() }))
    }

    async fn tell(&self, req: Request<TellRequest>) -> Result<Response<TellReply>, Status> {
        let req = req.into_inner();
        let entry = req.entry.parse().map_err(|_| Status::invalid_argument("entry address"))?;
        self.agent.apply_directive(
            entry,
            EntryDirective { config_version: req.config_version, drain: req.leave },
        );
        Ok(Response::new(TellReply { config_version: self.agent.config_version() }))
    }

    async fn gate(&self, _: Request<GateOrder>) -> Result<Response<GateReply>, Status> {
        Err(Status::unimplemented("this endpoint has no step gate"))
    }
}
