//! [`PeerService`]: the gRPC service for agents, other entries and operators.

use std::sync::Arc;
use std::time::Duration;

use crocustally_core::Code;
use crocustally_core::routing::Announcement;
use crocustally_core::routing::MergeOutcome;
use crocustally_wire::AnnounceReply;
use crocustally_wire::AnnounceRequest;
use crocustally_wire::ApplyReply;
use crocustally_wire::ApplyRequest;
use crocustally_wire::GossipReply;
use crocustally_wire::GossipRequest;
use crocustally_wire::PullReply;
use crocustally_wire::PullRequest;
use crocustally_wire::ReportReply;
use crocustally_wire::ReportRequest;
use crocustally_wire::StatusReply;
use crocustally_wire::StatusRequest;
use crocustally_wire::entry_server::Entry as EntryCalls;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::BurnReport;
use crate::Entry;

/// Serves calls on behalf of one [`Entry`].
pub(crate) struct PeerService {
    entry: Arc<Entry>,
}

impl PeerService {
    pub(crate) fn new(entry: Arc<Entry>) -> Self {
        Self { entry }
    }
}

#[tonic::async_trait]
impl EntryCalls for PeerService {
    async fn announce(
        &self,
        req: Request<AnnounceRequest>,
    ) -> Result<Response<AnnounceReply>, Status> {
        let record = req.into_inner().record.unwrap_or_default();
        let announcement = Announcement::try_from(record)
            .map_err(|_| Status::invalid_argument("not an announcement"))?;
        let (name, domain) = (announcement.name.clone(), announcement.domain.clone());
        let outcome = self.entry.merge_announcement(announcement, true);
        let code = if outcome == MergeOutcome::NameTaken { Code::NameTaken } else { Code::Ok };
        let config = self.entry.config();
        Ok(Response::new(AnnounceReply {
            code: u32::from(code.number()),
            config_version: config.version,
            domain_out: self.entry.is_domain_out(&domain),
            draining: config.endpoint_draining(&name),
        }))
    }

    async fn gossip(&self, req: Request<GossipRequest>) -> Result<Response<GossipReply>, Status> {
        let req = req.into_inner();
        self.entry.record_contact(&req.entry, req.config_version);
        self.entry.apply_quarantine(&req.quarantined);
        self.entry.merge_local_out(&req.local_out, req.config_version);
        for record in req.records {
            if let Ok(announcement) = Announcement::try_from(record) {
                self.entry.merge_announcement(announcement, false);
            }
        }
        Ok(Response::new(GossipReply { config_version: self.entry.config().version }))
    }

    async fn apply(&self, req: Request<ApplyRequest>) -> Result<Response<ApplyReply>, Status> {
        let req = req.into_inner();
        if !req.local_out.is_empty() {
            self.entry.take_out_locally(&req.local_out);
            let version = self.entry.config().version;
            let message = format!("{} taken out here", req.local_out);
            return Ok(Response::new(ApplyReply { code: 0, message, version }));
        }
        Ok(Response::new(self.entry.apply_ticket(&req.ticket).await))
    }

    async fn status(&self, _: Request<StatusRequest>) -> Result<Response<StatusReply>, Status> {
        let json = serde_json::to_string(&self.entry.status())
            .map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(StatusReply { json }))
    }

    async fn report(&self, _: Request<ReportRequest>) -> Result<Response<ReportReply>, Status> {
        let now = Duration::from_millis(self.entry.clock.unix_ms());
        let config = self.entry.config();
        let objectives = config.services.iter().map(|(n, s)| (n.clone(), s.objective)).collect();
        let report = BurnReport { objectives, rows: self.entry.burn.rows(now) };
        let json = serde_json::to_string(&report).map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(ReportReply { json }))
    }

    async fn pull(&self, req: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        let config = self.entry.config();
        let suspects = self.entry.suspects().export();
        let newer = config.version > req.into_inner().have_version;
        let buf = if newer { serde_json::to_vec(&*config).unwrap_or_default() } else { Vec::new() };
        Ok(Response::new(PullReply { version: config.version, config: buf.into(), suspects }))
    }
}
