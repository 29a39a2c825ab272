//! [`OperatorClient`]: the operators' calls to an entry.

use std::net::SocketAddr;
use std::time::Duration;

use crocustally_wire::ApplyReply;
use crocustally_wire::ApplyRequest;
use crocustally_wire::ReportRequest;
use crocustally_wire::StatusRequest;
use crocustally_wire::entry_client::EntryClient;

use crate::Channel;
use crate::Runtime;
use crate::timeout;

/// Timeout for applying a ticket.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of one entry's peer address; each call returns `None` on an error or a timeout.
#[derive(Clone)]
pub struct OperatorClient {
    client: EntryClient<Channel>,
}

impl OperatorClient {
    /// Creates a client that connects on its first call.
    pub fn new(rt: &Runtime, address: SocketAddr) -> Self {
        let channel = Channel::new(rt, address);
        let origin = channel.origin();
        Self { client: EntryClient::with_origin(channel, origin) }
    }

    /// Applies a ticket. It is safe to retry after a lost reply: the entry returns the first
    /// result.
    pub async fn apply(&self, yaml: &str) -> Option<ApplyReply> {
        let ticket = yaml.as_bytes().to_vec().into();
        self.call_apply(ApplyRequest { ticket, ..ApplyRequest::default() }).await
    }

    /// Takes a failure domain out at this entry and the entries it can reach, without a quorum.
    pub async fn local_out(&self, domain: &str) -> Option<ApplyReply> {
        self.call_apply(ApplyRequest { local_out: domain.to_owned(), ..ApplyRequest::default() })
            .await
    }

    /// Returns the entry's status as JSON.
    pub async fn status(&self) -> Option<String> {
        let mut client = self.client.clone();
        let reply = timeout(QUERY_TIMEOUT, client.status(StatusRequest {})).await?.ok()?;
        Some(reply.into_inner().json)
    }

    /// Returns the entry's request counts for the burn report as JSON.
    pub async fn report(&self) -> Option<String> {
        let mut client = self.client.clone();
        let reply = timeout(QUERY_TIMEOUT, client.report(ReportRequest {})).await?.ok()?;
        Some(reply.into_inner().json)
    }

    async fn call_apply(&self, req: ApplyRequest) -> Option<ApplyReply> {
        let mut client = self.client.clone();
        Some(timeout(APPLY_TIMEOUT, client.apply(req)).await?.ok()?.into_inner())
    }
}
