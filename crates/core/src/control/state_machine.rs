//! [`StateMachine`]: the replicated state machine that the log's commands drive.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use crocustally_wire::ClaimOutcome;
use crocustally_wire::Command;
use crocustally_wire::DeathOutcome;
use crocustally_wire::Evacuation;
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
use super::Suspects;
use super::Ticket;
use crate::Code;

/// Configuration, claims and suspects: the durable state that voters share.
///
/// It has no clock and draws no random numbers, so every replica that has applied the same commands
/// is equal; [`StateMachine::state`] and [`StateMachine::restore`] carry it through snapshots.
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    config: Arc<Config>,
    claims: Claims,
    suspects: Suspects,
    policy: PolicyDocument,
    evacuated: BTreeSet<String>,
    /// Index of the last command that was applied here.
    applied: u64,
}

/// A snapshot whose bytes are not a machine's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedState;

impl StateMachine {
    /// Applies the command at `index` of the log.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> Outcome {
        self.applied = index;
        let kind = Command::decode(command).ok().and_then(|c| c.kind);
        let kind = match kind {
            Some(Kind::Ticket(t)) => OutcomeKind::Ticket(self.ticket(&t)),
            Some(Kind::Claim(c)) => OutcomeKind::Claim(self.claim(index, &c)),
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
                // The highest version wins, so a document that comes again or too late changes nothing.
                if p.version > self.policy.version {
                    self.policy = p;
                }
                OutcomeKind::Done(true)
            }
            Some(Kind::Evacuation(e)) => {
                self.evacuate(e);
                OutcomeKind::Done(true)
            }
            Some(Kind::ReadPolicy(_)) => OutcomeKind::Policy(self.policy.clone()),
            None => OutcomeKind::Done(false),
        };
        Outcome { kind: Some(kind) }
    }

    /// The configuration in force here.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The suspects known here.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// The claims known here.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// The policy document with the highest version so far; version 0 when there is none.
    pub fn policy(&self) -> &PolicyDocument {
        &self.policy
    }

    /// Failure domains that get no new work.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Index of the last command that was applied here.
    pub fn last_applied(&self) -> u64 {
        self.applied
    }

    fn evacuate(&mut self, e: Evacuation) {
        if e.active {
            self.evacuated.insert(e.domain);
        } else {
            self.evacuated.remove(&e.domain);
        }
    }

    /// Everything, as the bytes of a snapshot.
    pub fn state(&self) -> Bytes {
        let (claims, expired, claim_floor_ms) = self.claims.export();
        let config = serde_json::to_vec(&*self.config).unwrap_or_default();
        let suspects = self.suspects.export();
        let state = MachineState {
            config: config.into(),
            claims,
            suspects,
            claim_floor_ms,
            expired,
            policy: Some(self.policy.clone()),
            evacuated: self.evacuated.iter().cloned().collect(),
            applied: self.applied,
        };
        state.encode_to_vec().into()
    }

    /// The inverse of [`StateMachine::state`].
    pub fn restore(buf: &[u8]) -> Result<Self, MalformedState> {
        let state = MachineState::decode(buf).map_err(|_| MalformedState)?;
        let config: Config = serde_json::from_slice(&state.config).map_err(|_| MalformedState)?;
        Ok(Self {
            config: Arc::new(config),
            claims: Claims::import(state.claims, &state.expired, state.claim_floor_ms),
            suspects: Suspects::import(state.suspects),
            policy: state.policy.unwrap_or_default(),
            evacuated: state.evacuated.into_iter().collect(),
            applied: state.applied,
        })
    }

    fn ticket(&mut self, record: &TicketRecord) -> TicketOutcome {
        let Ok(ticket) = Ticket::from_json(&record.body) else {
            let code = u32::from(Code::TicketInvalid.number());
            return TicketOutcome { code, ..TicketOutcome::default() };
        };
        let before = self.config.version;
        let decision = Arc::make_mut(&mut self.config).apply(&ticket);
        assert!(self.config.version >= before, "a configuration version went back");
        TicketOutcome {
            code: u32::from(decision.code),
            version: decision.version,
            winner_digest: decision.winner.into_bytes().into(),
            number: ticket.number(),
        }
    }

    fn claim(&mut self, index: u64, claim: &crocustally_wire::Claim) -> ClaimOutcome {
        let outcome = self.claims.claim(index, claim);
        let first = outcome.state.as_ref().filter(|s| outcome.granted && s.claim_index == index);
        if let Some(state) = first {
            assert_eq!(state.attempt, claim.after_attempt + 1, "an attempt out of turn");
        }
        outcome
    }
}
