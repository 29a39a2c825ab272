//! Operations for operators: tickets and status.

use std::time::Duration;

use crocustally_core::Code;
use crocustally_core::control::Ticket;
use crocustally_wire::ApplyReply;
use crocustally_wire::Ticket as TicketRecord;
use crocustally_wire::command::Kind;
use crocustally_wire::outcome::Kind as OutcomeKind;
use serde::Deserialize;
use serde::Serialize;

use crate::Entry;

/// Longest time to replicate a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_secs(8);

/// State of one instance, as seen by an entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Failure domain; empty if unknown.
    pub domain: String,
    /// Version of the configuration in effect at the instance.
    pub version: u64,
    /// Number of versions it is behind.
    pub lag: u64,
    /// Unix time in milliseconds since which it has been unreachable, if it is.
    pub cut_off_since_ms: Option<u64>,
    /// For an agent: requests in flight and the admission limit.
    pub load: Option<(u32, u32)>,
    /// For an agent: whether it takes no new work.
    pub leaving: bool,
}

/// The data of `crocustally status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the entry that produced the report.
    pub name: String,
    /// Version of the configuration in effect at that entry.
    pub version: u64,
    /// Lowest unused ticket number.
    pub next_number: u64,
    /// Leader of the replicated log, if known.
    pub leader: Option<String>,
    /// Current term of the log.
    pub term: u64,
    /// Commit index of the log.
    pub commit: u64,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Names of the learners.
    pub learners: Vec<String>,
    /// Failure domains that are out, by ticket or locally.
    pub domains_out: Vec<String>,
    /// Number of stored claims.
    pub claims: usize,
    /// Number of stored claims with a stored response.
    pub claims_finished: usize,
    /// Number of quarantined requests.
    pub quarantined: usize,
    /// All other entries and all agents.
    pub instances: Vec<InstanceStatus>,
}

impl Entry {
    /// Submits a ticket to the log and returns the decision.
    pub(crate) async fn apply_ticket(&self, yaml: &[u8]) -> ApplyReply {
        let text = String::from_utf8_lossy(yaml);
        let ticket = match Ticket::from_yaml(&text) {
            Ok(ticket) => ticket,
            Err(e) => return reply(e.code, e.detail, 0),
        };
        let record = Kind::Ticket(TicketRecord { body: ticket.to_json().into() });
        let outcome = match self.log.propose(record, TICKET_TIMEOUT).await {
            Ok(outcome) => outcome,
            Err(code) => {
                // The ticket may still be decided later; submitting it again returns that decision.
                let detail = "undecided: send the same ticket again".to_owned();
                return reply(code, detail, self.config().version);
            }
        };
        let Some(OutcomeKind::Ticket(t)) = outcome.kind else {
            return reply(Code::TicketInvalid, "no outcome".to_owned(), 0);
        };
        let code = Code::try_from(t.code).unwrap_or(Code::TicketInvalid);
        let winner = String::from_utf8_lossy(&t.winner_digest).into_owned();
        let decision = if code == Code::Ok { "accepted" } else { "refused" };
        let detail = format!("{decision}: ticket {} decided with digest {winner}", t.number);
        if code == Code::Ok {
            log::info!("ticket {} accepted as version {}", t.number, t.version);
        }
        reply(code, detail, t.version)
    }

    /// The deployment as seen by this entry.
    pub fn status(&self) -> StatusReport {
        let config = self.config();
        let view = self.log.view();
        let names = |ids: &[crocustally_core::raft::ReplicaId]| {
            ids.iter().map(|id| self.log.name_of(*id).unwrap_or_else(|| id.0.to_string())).collect()
        };
        let replicated_out = config.domains.keys().filter(|d| config.domain_out(d)).cloned();
        StatusReport {
            name: self.cfg.name.clone(),
            version: config.version,
            next_number: config.next_number(),
            leader: self.log.leader(),
            term: view.as_ref().map_or(0, |v| v.term),
            commit: view.as_ref().map_or(0, |v| v.commit_index),
            voters: view.as_ref().map(|v| names(&v.members.voters)).unwrap_or_default(),
            learners: view.as_ref().map(|v| names(&v.members.learners)).unwrap_or_default(),
            domains_out: replicated_out.chain(self.local_out()).collect(),
            claims: view.as_ref().map_or(0, |v| v.state_machine.claims().len()),
            claims_finished: view.as_ref().map_or(0, |v| v.state_machine.claims().finished()),
            quarantined: self.suspects().quarantined().len(),
            instances: self.instances(config.version),
        }
    }

    fn instances(&self, version: u64) -> Vec<InstanceStatus> {
        let mut out = Vec::new();
        for (name, peer) in self.peers().iter() {
            out.push(InstanceStatus {
                name: name.clone(),
                role: "entry".to_owned(),
                version: peer.config_version,
                lag: version.saturating_sub(peer.config_version),
                cut_off_since_ms: peer.unreachable_since_ms,
                ..InstanceStatus::default()
            });
        }
        for shard in self.shards() {
            shard.with(|router| {
                out.extend(router.directory.iter().map(|(_, e)| self.agent_status(e, version)));
            });
        }
        out.sort_by(|a, b| (&b.role, &a.name).cmp(&(&a.role, &b.name)));
        out
    }

    fn agent_status(
        &self,
        e: &crocustally_core::routing::Endpoint,
        version: u64,
    ) -> InstanceStatus {
        let now = self.clock.now();
        let since_announced = now.saturating_duration_since(e.announced_at).as_millis() as u64;
        let unreachable_since_ms = (e.lease_expires_at <= now)
            .then(|| self.clock.unix_ms().saturating_sub(since_announced));
        InstanceStatus {
            name: e.announcement.name.clone(),
            role: "agent".to_owned(),
            domain: e.announcement.domain.clone(),
            version: e.announcement.config_version,
            lag: version.saturating_sub(e.announcement.config_version),
            cut_off_since_ms: unreachable_since_ms,
            load: Some((e.announcement.load.in_flight, e.announcement.load.limit)),
            leaving: e.disabled || e.announcement.load.draining,
        }
    }
}

fn reply(code: Code, detail: String, version: u64) -> ApplyReply {
    let message = format!("{} {} {detail}", code.number(), code.text());
    ApplyReply { code: u32::from(code.number()), message, version }
}
