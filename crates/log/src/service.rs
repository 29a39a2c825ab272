//! [`ReplicaService`]: the gRPC service for peers.

use std::time::Duration;

use crocustally_core::Code;
use crocustally_core::raft::Message;
use crocustally_core::raft::ReplicaId;
use crocustally_wire::HelloReply;
use crocustally_wire::HelloRequest;
use crocustally_wire::ProposeReply;
use crocustally_wire::ProposeRequest;
use crocustally_wire::RaftAck;
use crocustally_wire::RaftBatch;
use crocustally_wire::replica_server::Replica;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::LogHandle;

/// Serves the calls of peers for one [`LogHandle`].
pub struct ReplicaService {
    log: LogHandle,
}

impl ReplicaService {
    /// Creates the service for this instance's log.
    pub fn new(log: LogHandle) -> Self {
        Self { log }
    }
}

#[tonic::async_trait]
impl Replica for ReplicaService {
    async fn raft(&self, req: Request<RaftBatch>) -> Result<Response<RaftAck>, Status> {
        let batch = req.into_inner();
        let messages: Result<Vec<Message>, _> =
            batch.messages.into_iter().map(Message::try_from).collect();
        let messages = messages.map_err(|_| Status::invalid_argument("malformed message"))?;
        let (from, to) = (ReplicaId(batch.from), ReplicaId(batch.to));
        self.log.receive(from, to, batch.from_name, messages);
        Ok(Response::new(RaftAck {}))
    }

    async fn hello(&self, req: Request<HelloRequest>) -> Result<Response<HelloReply>, Status> {
        Ok(Response::new(self.log.hello(req.into_inner())))
    }

    async fn propose(
        &self,
        req: Request<ProposeRequest>,
    ) -> Result<Response<ProposeReply>, Status> {
        let req = req.into_inner();
        let limit = Duration::from_millis(u64::from(req.timeout_ms));
        let outcome = self.log.propose_local(req.command, limit).await;
        let code = if outcome.is_some() { Code::Ok } else { Code::NoQuorum };
        let leader = self.log.leader().unwrap_or_default();
        Ok(Response::new(ProposeReply { code: u32::from(code.number()), outcome, leader }))
    }
}
