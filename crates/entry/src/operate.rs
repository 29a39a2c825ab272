//! What operators ask of an entry: tickets, status, report.

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

/// Longest time to decide a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_secs(8);

/// One instance, as an entry sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Failure domain, where it is known.
    pub domain: String,
    /// Version of the configuration in force there.
    pub version: u64,
    /// Versions that it lacks.
    pub lag: u64,
    /// Wall-clock millisecond since which it has been cut off, if it is.
    pub cut_off_since_ms: Option<u64>,
    /// For an agent: requests running and allowed.
    pub load: Option<(u32, u32)>,
    /// For an agent: whether it takes no new work.
    pub leaving: bool,
}

/// What `crocustally status` shows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Entry that answered.
    pub name: String,
    /// Version of the configuration in force there.
    pub version: u64,
    /// The least free ticket number.
    pub next_number: u64,
    /// Instance that leads the replicated log, if it is known.
    pub leader: Option<String>,
    /// Its term.
    pub term: u64,
    /// Committed entries.
    pub commit: u64,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Names of the learners.
    pub learners: Vec<String>,
    /// Failure domains out, by ticket or locally.
    pub domains_out: Vec<String>,
    /// Claims kept.
    pub claims: usize,
    /// Claims whose answer is kept too.
    pub claims_finished: usize,
    /// Requests refused everywhere.
    pub quarantined: usize,
    /// Everybody else.
    pub instances: Vec<InstanceStatus>,
}

impl Entry {
    /// Decides a ticket through the log.
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
                // The ticket may still be decided; sent again it gets its first answer.
                let detail = "undecided: send the same ticket again".to_owned();
                return reply(code, detail, self.config().version);
            }
        };
        let Some(OutcomeKind::Ticket(t)) = outcome.kind else {
            return reply(Code::TicketInvalid, "no outcome".to_owned(), 0);
        };
        let code = Code::try_from(t.code).unwrap_or(Code::TicketInvalid);
        let winner = String::from_utf8_lossy(&t.winner_digest).into_owned();
        let word = if code == Code::Ok { "accepted" } else { "refused" };
        let detail = format!("{word}: ticket {} decided with digest {winner}", t.number);
        if code == Code::Ok {
            log::info!("ticket {} accepted as version {}", t.number, t.version);
        }
        reply(code, detail, t.version)
    }

    /// What this entry sees of the deployment.
    pub fn status(&self) -> StatusReport {
        let config = self.config();
        let view = self.log.view();
        let names = |ids: &[crocustally_core::raft::ReplicaId]| {
            ids.iter().map(|id| self.log.name_of(*id).unwrap_or_else(|| id.0.to_string())).collect()
        };
        let out = config.domains.keys().filter(|d| config.domain_out(d)).cloned();
        StatusReport {
            name: self.cfg.name.clone(),
            version: config.version,
            next_number: config.next_number(),
            leader: self.log.leader(),
            term: view.as_ref().map_or(0, |v| v.term),
            commit: view.as_ref().map_or(0, |v| v.commit_index),
            voters: view.as_ref().map(|v| names(&v.members.voters)).unwrap_or_default(),
            learners: view.as_ref().map(|v| names(&v.members.learners)).unwrap_or_default(),
            domains_out: out.chain(self.local_out()).collect(),
            claims: view.as_ref().map_or(0, |v| v.state_machine.claims().len()),
            claims_finished: view.as_ref().map_or(0, |v| v.state_machine.claims().finished()),
            quarantined: self.suspects().quarantined().len(),
            instances: self.instances(config.version),
        }
    }

    fn instances(&self, version: u64) -> Vec<InstanceStatus> {
        let mut out = Vec::new();
        for (name, word) in self.peers().iter() {
            out.push(InstanceStatus {
                name: name.clone(),
                role: "entry".to_owned(),
                version: word.version,
                lag: version.saturating_sub(word.version),
                cut_off_since_ms: word.silent_since_ms,
                ..InstanceStatus::default()
            });
        }
        for shard in self.shards() {
            shard.with(|core| {
                out.extend(core.directory.iter().map(|(_, e)| self.agent_status(e, version)));
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
        let silent = now.saturating_duration_since(e.announced_at).as_millis() as u64;
        let cut = (e.lease_expires_at <= now).then(|| self.clock.unix_ms().saturating_sub(silent));
        InstanceStatus {
            name: e.announcement.name.clone(),
            role: "agent".to_owned(),
            domain: e.announcement.domain.clone(),
            version: e.announcement.config_version,
            lag: version.saturating_sub(e.announcement.config_version),
            cut_off_since_ms: cut,
            load: Some((e.announcement.load.in_flight, e.announcement.load.limit)),
            leaving: e.disabled || e.announcement.load.draining,
        }
    }
}

fn reply(code: Code, detail: String, version: u64) -> ApplyReply {
    let message = format!("{} {} {detail}", code.number(), code.text());
    ApplyReply { code: u32::from(code.number()), message, version }
}
