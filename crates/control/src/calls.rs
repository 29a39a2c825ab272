//! [`ControlService`]: the calls of gateways and rank agents.

use std::pin::Pin;
use std::sync::Arc;

use crocustally_wire::FetchPolicyRequest;
use crocustally_wire::FollowRequest;
use crocustally_wire::GatewayNotice;
use crocustally_wire::NoticeAck;
use crocustally_wire::PolicyDocument;
use crocustally_wire::RankOrders;
use crocustally_wire::RankReport;
use crocustally_wire::Update;
use crocustally_wire::control_server::Control as ControlCalls;
use futures_lite::Stream;
use futures_lite::StreamExt;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::Control;

type Updates = Pin<Box<dyn Stream<Item = Result<Update, Status>> + Send>>;

/// Answers calls on behalf of one [`Control`].
pub(crate) struct ControlService {
    control: Arc<Control>,
}

impl ControlService {
    pub(crate) fn new(control: Arc<Control>) -> Self {
        Self { control }
    }
}

#[tonic::async_trait]
impl ControlCalls for ControlService {
    type FollowStream = Updates;

    async fn follow(&self, req: Request<FollowRequest>) -> Result<Response<Updates>, Status> {
        let updates = self.control.follow(req.into_inner().name);
        Ok(Response::new(Box::pin(updates.map(Ok))))
    }

    async fn fetch_policy(
        &self,
        req: Request<FetchPolicyRequest>,
    ) -> Result<Response<PolicyDocument>, Status> {
        let wanted = req.into_inner().version;
        let policy = self.control.state_machine().policy().clone();
        if policy.version < wanted {
            return Err(Status::not_found("this instance has no such version yet"));
        }
        Ok(Response::new(policy))
    }

    async fn attend(&self, req: Request<RankReport>) -> Result<Response<RankOrders>, Status> {
        Ok(Response::new(self.control.attend(req.into_inner()).await))
    }

    async fn notice(&self, req: Request<GatewayNotice>) -> Result<Response<NoticeAck>, Status> {
        let notice = req.into_inner();
        let mut book = self.control.book();
        book.heard_gateway(self.control.clock.now(), &notice.name);
        if !notice.suspects.is_empty() {
            book.suspect(notice.suspects);
        }
        Ok(Response::new(NoticeAck {}))
    }
}
