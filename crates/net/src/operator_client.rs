//! [`OperatorClient`]: what operators ask of entries, over the network.

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

/// Longest time for a ticket.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for a question.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of one entry's peer address; every answer is `None` when the entry gives none in time.
#[derive(Clone)]
pub struct OperatorClient {
    client: EntryClient<Channel>,
}

impl OperatorClient {
    /// A client that connects with its first question.
    pub fn new(rt: &Runtime, address: SocketAddr) -> Self {
        let channel = Channel::new(rt, address);
        let origin = channel.origin();
        Self { client: EntryClient::with_origin(channel, origin) }
    }

    /// Sends a ticket; sent again after a lost answer, it gets its first answer.
    pub async fn apply(&self, yaml: &str) -> Option<ApplyReply> {
        let ticket = yaml.as_bytes().to_vec().into();
        self.send(ApplyRequest { ticket, ..ApplyRequest::default() }).await
    }

    /// Takes a failure domain out at this entry and those that it reaches, without a quorum.
    pub async fn local_out(&self, domain: &str) -> Option<ApplyReply> {
        self.send(ApplyRequest { local_out: domain.to_owned(), ..ApplyRequest::default() }).await
    }

    /// The entry's status, as JSON.
    pub async fn status(&self) -> Option<String> {
        let mut client = self.client.clone();
        let reply = timeout(ASK_TIMEOUT, client.status(StatusRequest {})).await?.ok()?;
        Some(reply.into_inner().json)
    }

    /// The entry's counts for the burn report, as JSON.
    pub async fn report(&self) -> Option<String> {
        let mut client = self.client.clone();
        let reply = timeout(ASK_TIMEOUT, client.report(ReportRequest {})).await?.ok()?;
        Some(reply.into_inner().json)
    }

    async fn send(&self, req: ApplyRequest) -> Option<ApplyReply> {
        let mut client = self.client.clone();
        Some(timeout(APPLY_TIMEOUT, client.apply(req)).await?.ok()?.into_inner())
    }
}
