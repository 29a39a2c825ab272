//! [`ControlService`]: the gRPC service for gateways and rank agents.

use std::pin::Pin;
use std::sync::Arc;

use crocustally_wire::Departure;
use crocustally_wire::DepartureList;
use crocustally_wire::FetchPolicyRequest;
use crocustally_wire::FollowRequest;
use crocustally_wire::GatewayNotice;
use crocustally_wire::LiftReply;
use crocustally_wire::LiftRequest;
use crocustally_wire::ListBlockedRequest;
use crocustally_wire::ListDeparturesRequest;
use crocustally_wire::NoticeAck;
use crocustally_wire::PolicyDocument;
use crocustally_wire::RankOrders;
use crocustally_wire::RankReport;
use crocustally_wire::SuspectParts;
use crocustally_wire::TrialReply;
use crocustally_wire::TrialRequest;
use crocustally_wire::Update;
use crocustally_wire::control_server::Control as ControlCalls;
use futures_lite::Stream;
use futures_lite::StreamExt;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::Control;

type UpdateStream = Pin<Box<dyn Stream<Item = Result<Update, Status>> + Send>>;

/// Serves the gRPC calls for one [`Control`].
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
    type FollowStream = UpdateStream;

    async fn follow(&self, req: Request<FollowRequest>) -> Result<Response<UpdateStream>, Status> {
        let updates = self.control.subscribe(req.into_inner().name);
        Ok(Response::new(Box::pin(updates.map(Ok))))
    }

    async fn fetch_policy(
        &self,
        req: Request<FetchPolicyRequest>,
    ) -> Result<Response<PolicyDocument>, Status> {
        let FetchPolicyRequest { version, reads_compressed } = req.into_inner();
        let machine = self.control.state_machine();
        let Some(policy) = machine.policy().filter(|p| p.version >= version).cloned() else {
            return Err(Status::not_found("this instance has no such version yet"));
        };
        if reads_compressed || !policy.compressed {
            return Ok(Response::new(policy));
        }
        // A gateway of an earlier release.
        let body = policy.text().map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(PolicyDocument { body, compressed: false, ..policy }))
    }

    async fn attend(&self, req: Request<RankReport>) -> Result<Response<RankOrders>, Status> {
        Ok(Response::new(self.control.attend(req.into_inner()).await))
    }

    async fn notice(&self, req: Request<GatewayNotice>) -> Result<Response<NoticeAck>, Status> {
        let notice = req.into_inner();
        {
            let mut soft_state = self.control.soft_state();
            soft_state.record_gateway(self.control.clock.now(), &notice.name);
            if !notice.suspects.is_empty() {
                soft_state.add_suspects(notice.suspects);
            }
        }
        if let Some(report) = notice.report {
            let recorded = self.control.record_crash_report(report).await;
            recorded.map_err(|code| Status::unavailable(code.text()))?;
        }
        Ok(Response::new(NoticeAck {}))
    }

    async fn depart(&self, req: Request<Departure>) -> Result<Response<NoticeAck>, Status> {
        let Some(beat) = req.into_inner().endpoint else {
            return Err(Status::invalid_argument("the departure names no endpoint"));
        };
        self.control.record_departures(vec![beat]);
        Ok(Response::new(NoticeAck {}))
    }

    async fn list_departures(
        &self,
        req: Request<ListDeparturesRequest>,
    ) -> Result<Response<DepartureList>, Status> {
        let now = self.control.clock.now();
        Ok(Response::new(self.control.soft_state().departures.since(now, &req.into_inner())))
    }

    async fn list_blocked(
        &self,
        _: Request<ListBlockedRequest>,
    ) -> Result<Response<SuspectParts>, Status> {
        Ok(Response::new(self.control.state_machine().crash_evidence().suspect_parts()))
    }

    async fn trial(&self, req: Request<TrialRequest>) -> Result<Response<TrialReply>, Status> {
        let granted = self.control.trial(req.into_inner()).await;
        Ok(Response::new(TrialReply { granted }))
    }

    async fn lift(&self, req: Request<LiftRequest>) -> Result<Response<LiftReply>, Status> {
        let code = self.control.lift(req.into_inner()).await;
        Ok(Response::new(LiftReply { code: u32::from(code.number()) }))
    }
}
