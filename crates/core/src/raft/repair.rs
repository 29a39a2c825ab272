//! [`plan_repair`]: chooses the next membership change that replaces a lost voter.

use std::collections::BTreeMap;
use std::time::Duration;

use super::CHECK_QUORUM_TIMEOUT;
use super::Members;
use super::ReplicaId;

/// Part of the catch-up time after which a silent voter counts as lost. The rest is for the election
/// of a leader, the start of the successor and the membership changes.
const SILENT_SHARE: u32 = 4;
/// A learner without contact for this long is removed.
const LEARNER_LOSS_TIMEOUT: Duration = Duration::from_secs(60);

/// What a deployment asks of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairSettings {
    /// Target number of voters.
    pub voters: usize,
    /// Time after the start of a lost replica's successor within which it must be a voter, since the
    /// next replica may be lost after it.
    pub catch_up: Duration,
}

impl RepairSettings {
    /// Silence after which a voter is replaced by a learner that has caught up. A shorter one than
    /// that for which a leader keeps its quorum says nothing.
    pub fn voter_loss_timeout(&self) -> Duration {
        (self.catch_up / SILENT_SHARE).max(CHECK_QUORUM_TIMEOUT)
    }
}

/// What the leader knows about a replica that has announced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Name of the instance that runs the replica.
    pub name: String,
    /// Whether the settings allow it to become a voter.
    pub may_vote: bool,
    /// Time since the last message from it.
    pub since_contact: Duration,
    /// Number of log entries not yet replicated to it.
    pub missing_entries: u64,
}

/// Largest number of missing entries at which a learner counts as caught up.
const CAUGHT_UP_MISSING_MAX: u64 = 16;

/// Chooses the next membership change, in an order that keeps every single change safe.
///
/// 1. If an instance reports a new identity, it has lost its disk: the new identity becomes a
///    learner.
/// 2. Once the learner has caught up, the old identity is removed.
/// 3. Only then does the learner become a voter.
///
/// A voter without contact for [`RepairSettings::voter_loss_timeout`] is replaced in the same way by
/// any caught-up learner, the longest silent one first. One that was only slow becomes a learner when
/// it returns. No voter is removed before a replacement has caught up, since two voters, both alive,
/// tolerate no more failures than three with one lost. Returns `None` if no change is needed or
/// possible yet.
pub fn plan_repair(
    members: &Members,
    cfg: &RepairSettings,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<Members> {
    promote_learner(members, cfg, known)
        .or_else(|| remove_replaced_voter(members, cfg, known))
        .or_else(|| add_learner(members, cfg, known))
        .or_else(|| remove_unreachable_learner(members, known))
}

fn promote_learner(
    members: &Members,
    cfg: &RepairSettings,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<Members> {
    if members.voters.len() >= cfg.voters {
        return None;
    }
    let id = promotable_learner(members, cfg, known)?;
    let mut next = members.clone();
    next.learners.retain(|l| *l != id);
    next.voters.push(id);
    Some(next)
}

fn remove_replaced_voter(
    members: &Members,
    cfg: &RepairSettings,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<Members> {
    promotable_learner(members, cfg, known)?;
    let replaced = |old: &ReplicaStatus| {
        members.learners.iter().any(|l| {
            known
                .get(l)
                .is_some_and(|new| new.name == old.name && new.since_contact < old.since_contact)
        })
    };
    let silence = |id: &ReplicaId| {
        let old = known.get(id)?;
        let lost = replaced(old) || old.since_contact >= cfg.voter_loss_timeout();
        lost.then_some(old.since_contact)
    };
    let lost = members.voters.iter().filter_map(|v| Some((silence(v)?, *v)));
    let (_, removed) = lost.max()?;
    let mut next = members.clone();
    next.voters.retain(|v| *v != removed);
    (!next.voters.is_empty()).then_some(next)
}

fn add_learner(
    members: &Members,
    cfg: &RepairSettings,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<Members> {
    // Of two identities of the same instance, the one with the more recent contact is current.
    let superseded = |s: &ReplicaStatus| {
        known.values().any(|o| o.name == s.name && o.since_contact < s.since_contact)
    };
    let admissible = |(id, s): &(&ReplicaId, &ReplicaStatus)| {
        !members.contains(**id) && s.since_contact < cfg.voter_loss_timeout() && !superseded(s)
    };
    let (id, _) = known.iter().find(admissible)?;
    let mut next = members.clone();
    next.learners.push(*id);
    Some(next)
}

fn remove_unreachable_learner(
    members: &Members,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<Members> {
    let unreachable =
        |id: &&ReplicaId| known.get(id).is_some_and(|s| s.since_contact >= LEARNER_LOSS_TIMEOUT);
    let removed = *members.learners.iter().find(unreachable)?;
    let mut next = members.clone();
    next.learners.retain(|l| *l != removed);
    Some(next)
}

/// A learner that is allowed to vote, is reachable and has caught up.
fn promotable_learner(
    members: &Members,
    cfg: &RepairSettings,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<ReplicaId> {
    let promotable = |id: &&ReplicaId| {
        known.get(id).is_some_and(|s| {
            s.may_vote
                && s.since_contact < cfg.voter_loss_timeout()
                && s.missing_entries <= CAUGHT_UP_MISSING_MAX
        })
    };
    members.learners.iter().find(promotable).copied()
}
