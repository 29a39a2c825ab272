//! [`StateMachine`]: the replicated state machine, to which the commands in the log are applied.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use crocustally_wire::ClaimOutcome;
use crocustally_wire::Command;
use crocustally_wire::DeathOutcome;
use crocustally_wire::DomainRevision;
use crocustally_wire::Evacuation;
use crocustally_wire::EvacuationOutcome;
use crocustally_wire::MachineState;
use crocustally_wire::Outcome;
use crocustally_wire::PolicyDocument;
use crocustally_wire::Ticket as TicketRecord;
use crocustally_wire::TicketOutcome;
use crocustally_wire::command::Kind;
use crocustally_wire::outcome::Kind as OutcomeKind;
use prost::Message;

use super::Claims;
use super::Config;
use super::CrashEvidence;
use super::PromptPart;
use super::Suspects;
use super::Ticket;
use crate::Code;

/// Largest size in bytes of a command that only reads: a tag and a flag, with room for more fields.
const READ_BYTES_MAX: usize = 16;

/// The replicated state: configuration, claims, suspects, policy document and evacuated failure
/// domains.
///
/// It is deterministic, without a clock or random numbers, so all replicas that have applied the
/// same commands have the same state. [`StateMachine::state`] and [`StateMachine::restore`] encode
/// and decode it for snapshots.
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    config: Arc<Config>,
    claims: Claims,
    suspects: Suspects,
    policy: Option<PolicyDocument>,
    /// The most gateways that have ever followed the control instances at a time.
    gateways: u32,
    evacuated: BTreeSet<String>,
    /// Log index of the last evacuation order that took effect.
    evacuation_revision: u64,
    /// The same for each domain.
    domain_revisions: BTreeMap<String, u64>,
    /// The same for all other domains, whose orders an older release did not tell apart.
    other_domains_revision: u64,
    crash_evidence: Arc<CrashEvidence>,
    /// Index of the last command applied on this replica.
    last_applied: u64,
}

/// Error for a snapshot that cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedState;

impl StateMachine {
    /// Applies the command at `index` of the log and returns its outcome; a command that cannot be
    /// decoded has no effect.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> Outcome {
        self.last_applied = index;
        let kind = Command::decode(command).ok().and_then(|c| c.kind);
        let kind = match kind {
            Some(Kind::Ticket(t)) => OutcomeKind::Ticket(self.apply_ticket(&t)),
            Some(Kind::Claim(c)) => OutcomeKind::Claim(self.apply_claim(index, &c)),
            Some(Kind::Finish(f)) => OutcomeKind::Done(self.claims.finish(&f)),
            Some(Kind::Death(d)) => {
                OutcomeKind::Death(DeathOutcome { deaths: self.suspects.record_death(&d) })
            }
            Some(Kind::Cleared(d)) => {
                self.suspects.clear(&d);
                OutcomeKind::Done(true)
            }
            Some(Kind::Lookup(l)) => OutcomeKind::Claim(self.claims.lookup(&l.key, &l.digest)),
            Some(Kind::Policy(p)) => {
                // Only a higher version replaces the document; duplicates and late ones are
                // ignored.
                if self.policy_version().is_none_or(|held| p.version > held)
                    && let Some(p) = p.into_present()
                {
                    self.policy = Some(p);
                }
                OutcomeKind::Done(true)
            }
            Some(Kind::Evacuation(e)) => OutcomeKind::Evacuation(self.apply_evacuation(index, e)),
            Some(Kind::Gateways(count)) => {
                self.gateways = self.gateways.max(count);
                OutcomeKind::Done(true)
            }
            Some(Kind::CrashReport(report)) => {
                let evidence = Arc::make_mut(&mut self.crash_evidence);
                report.ends.iter().for_each(|end| evidence.record_end(report.at_ms, end));
                report.sound.iter().for_each(|sound| evidence.record_sound(sound));
                OutcomeKind::Done(true)
            }
            Some(Kind::Lift(lift)) => {
                let evidence = Arc::make_mut(&mut self.crash_evidence);
                OutcomeKind::Done(evidence.lift(&lift.service, PromptPart(lift.part)))
            }
            Some(Kind::Trial(trial)) => {
                OutcomeKind::Done(Arc::make_mut(&mut self.crash_evidence).grant_trial(&trial))
            }
            Some(Kind::ReadPolicy(_)) => self.policy_outcome(),
            None => OutcomeKind::Done(false),
        };
        Outcome { kind: Some(kind) }
    }

    /// Outcome of a command that only reads, which needs no entry in the log; `None` for any other.
    pub fn read(&self, command: &[u8]) -> Option<Outcome> {
        if command.len() > READ_BYTES_MAX {
            return None;
        }
        match Command::decode(command).ok()?.kind? {
            Kind::ReadPolicy(_) => Some(Outcome { kind: Some(self.policy_outcome()) }),
            _ => None,
        }
    }

    /// The current configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Requests suspected of crashing endpoints.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Claims of at-most-once requests.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// The policy document with the highest version so far, if there is one.
    pub fn policy(&self) -> Option<&PolicyDocument> {
        self.policy.as_ref()
    }

    /// Version of [`StateMachine::policy`].
    pub fn policy_version(&self) -> Option<u64> {
        self.policy.as_ref().map(|p| p.version)
    }

    /// The most gateways that have ever followed the control instances at a time.
    pub fn gateways(&self) -> u32 {
        self.gateways
    }

    /// Names of the failure domains that are evacuated and get no new work.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Revision of the evacuations: it grows with each order that takes effect.
    pub fn evacuation_revision(&self) -> u64 {
        self.evacuation_revision
    }

    /// Which part of their prompts makes requests crash endpoints.
    pub fn crash_evidence(&self) -> &Arc<CrashEvidence> {
        &self.crash_evidence
    }

    /// Index of the last command applied on this replica.
    pub fn last_applied(&self) -> u64 {
        self.last_applied
    }

    /// Applies an evacuation order unless another one has overtaken it. An order that its proposer
    /// has given up may still be committed later, when the opposite has been acknowledged.
    fn apply_evacuation(&mut self, index: u64, e: Evacuation) -> EvacuationOutcome {
        let last_on_domain =
            self.domain_revisions.get(&e.domain).copied().unwrap_or(self.other_domains_revision);
        let overtaken = match e.known_revision {
            Some(known) => known < last_on_domain,
            None => e.revision.is_some_and(|r| r < self.evacuation_revision),
        };
        if !overtaken {
            self.evacuation_revision = index;
            self.domain_revisions.insert(e.domain.clone(), index);
            if e.active {
                self.evacuated.insert(e.domain.clone());
            } else {
                self.evacuated.remove(&e.domain);
            }
        }
        let in_force = self.evacuated.contains(&e.domain) == e.active;
        EvacuationOutcome { in_force, revision: self.evacuation_revision }
    }

    /// Encodes the state for a snapshot.
    pub fn state(&self) -> Bytes {
        let (claims, expired, claim_floor_ms) = self.claims.export();
        let config = serde_json::to_vec(&*self.config).unwrap_or_default();
        let suspects = self.suspects.export();
        let to_wire = |(domain, revision): (&String, &u64)| DomainRevision {
            domain: domain.clone(),
            revision: *revision,
        };
        let state = MachineState {
            config: config.into(),
            claims,
            suspects,
            claim_floor_ms,
            expired,
            policy: self.policy.clone(),
            gateways: self.gateways,
            evacuated: self.evacuated.iter().cloned().collect(),
            evacuation_revision: self.evacuation_revision,
            domain_revisions: self.domain_revisions.iter().map(to_wire).collect(),
            other_domains_revision: Some(self.other_domains_revision),
            crash_evidence: self.crash_evidence.export(),
            applied: self.last_applied,
        };
        state.encode_to_vec().into()
    }

    /// Decodes the output of [`StateMachine::state`].
    ///
    /// Fails if the bytes or the configuration in them are malformed.
    pub fn restore(buf: &[u8]) -> Result<Self, MalformedState> {
        let state = MachineState::decode(buf).map_err(|_| MalformedState)?;
        let domain_revisions = state.domain_revisions.into_iter();
        let config: Config = serde_json::from_slice(&state.config).map_err(|_| MalformedState)?;
        Ok(Self {
            config: Arc::new(config),
            claims: Claims::import(state.claims, &state.expired, state.claim_floor_ms),
            suspects: Suspects::import(state.suspects),
            policy: state.policy.and_then(PolicyDocument::into_present),
            gateways: state.gateways,
            evacuated: state.evacuated.into_iter().collect(),
            evacuation_revision: state.evacuation_revision,
            domain_revisions: domain_revisions.map(|d| (d.domain, d.revision)).collect(),
            other_domains_revision: state
                .other_domains_revision
                .unwrap_or(state.evacuation_revision),
            crash_evidence: Arc::new(CrashEvidence::import(state.crash_evidence)),
            last_applied: state.applied,
        })
    }

    fn policy_outcome(&self) -> OutcomeKind {
        OutcomeKind::Policy(self.policy.clone().unwrap_or_default())
    }

    fn apply_ticket(&mut self, record: &TicketRecord) -> TicketOutcome {
        let Ok(ticket) = Ticket::from_json(&record.body) else {
            let code = u32::from(Code::TicketInvalid.number());
            return TicketOutcome { code, ..TicketOutcome::default() };
        };
        let previous = self.config.version;
        let decision = Arc::make_mut(&mut self.config).apply(&ticket);
        assert!(self.config.version >= previous, "the configuration version must not decrease");
        TicketOutcome {
            code: u32::from(decision.code),
            version: decision.version,
            winner_digest: decision.winner.into_bytes().into(),
            number: ticket.number(),
        }
    }

    fn apply_claim(&mut self, index: u64, claim: &crocustally_wire::Claim) -> ClaimOutcome {
        let outcome = self.claims.claim(index, claim);
        let newly_granted =
            outcome.state.as_ref().filter(|s| outcome.granted && s.claim_index == index);
        if let Some(state) = newly_granted {
            assert_eq!(
                state.attempt,
                claim.after_attempt + 1,
                "attempts must be granted in sequence"
            );
        }
        outcome
    }
}
