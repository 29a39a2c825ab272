//! [`plan_repair`]: the next membership change that repairs the group, if any.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Members;
use super::ReplicaId;

/// A voter of which nothing has been heard for this long may be replaced.
pub const VOTER_LOSS_TIMEOUT: Duration = Duration::from_secs(10);

/// What the leader knows of one replica that has made itself known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Name of its instance.
    pub name: String,
    /// Whether its settings say it may vote.
    pub may_vote: bool,
    /// Time since it was last heard.
    pub since_contact: Duration,
    /// Entries that it lacks.
    pub missing_entries: u64,
}

/// Entries that a learner may lack and still count as caught up.
const CAUGHT_UP: u64 = 16;

/// Decides on one change of members, in the order that keeps every step safe.
///
/// 1. An instance that is known under a newer identity has lost its disk: the new identity learns.
/// 2. Once it has caught up, the old identity is removed; only then
/// 3. the new one votes.
///
/// A voter since_contact for [`VOTER_LOSS_TIMEOUT`] is replaced in the same way by any caught-up learner; it is
/// never removed before there is one, since a group of two with both alive is no better than three
/// with one lost.
pub fn plan_repair(
    members: &Members,
    wanted_voters: usize,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<Members> {
    promote(members, wanted_voters, known)
        .or_else(|| remove_replaced(members, known))
        .or_else(|| admit(members, known))
        .or_else(|| drop_dead_learner(members, known))
}

fn promote(
    members: &Members,
    wanted_voters: usize,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<Members> {
    if members.voters.len() >= wanted_voters {
        return None;
    }
    let id = ready_learner(members, known)?;
    let mut next = members.clone();
    next.learners.retain(|l| *l != id);
    next.voters.push(id);
    Some(next)
}

fn remove_replaced(
    members: &Members,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<Members> {
    ready_learner(members, known)?;
    let lost = |id: &&ReplicaId| {
        let Some(old) = known.get(id) else { return false };
        let replaced = members.learners.iter().any(|l| {
            known
                .get(l)
                .is_some_and(|new| new.name == old.name && new.since_contact < old.since_contact)
        });
        replaced || old.since_contact >= VOTER_LOSS_TIMEOUT
    };
    let gone = *members.voters.iter().find(lost)?;
    let mut next = members.clone();
    next.voters.retain(|v| *v != gone);
    (!next.voters.is_empty()).then_some(next)
}

fn admit(members: &Members, known: &BTreeMap<ReplicaId, ReplicaStatus>) -> Option<Members> {
    // Of two identities of one instance, the one heard last is the living one.
    let outlived = |c: &ReplicaStatus| {
        known.values().any(|o| o.name == c.name && o.since_contact < c.since_contact)
    };
    let newcomer = |(id, c): &(&ReplicaId, &ReplicaStatus)| {
        !members.contains(**id) && c.since_contact < VOTER_LOSS_TIMEOUT && !outlived(c)
    };
    let (id, _) = known.iter().find(newcomer)?;
    let mut next = members.clone();
    next.learners.push(*id);
    Some(next)
}

fn drop_dead_learner(
    members: &Members,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<Members> {
    let dead =
        |id: &&ReplicaId| known.get(id).is_some_and(|c| c.since_contact >= 6 * VOTER_LOSS_TIMEOUT);
    let gone = *members.learners.iter().find(dead)?;
    let mut next = members.clone();
    next.learners.retain(|l| *l != gone);
    Some(next)
}

/// A learner that may vote, is alive and has the log.
fn ready_learner(
    members: &Members,
    known: &BTreeMap<ReplicaId, ReplicaStatus>,
) -> Option<ReplicaId> {
    let ready = |id: &&ReplicaId| {
        known.get(id).is_some_and(|c| {
            c.may_vote && c.since_contact < VOTER_LOSS_TIMEOUT / 5 && c.missing_entries <= CAUGHT_UP
        })
    };
    members.learners.iter().find(ready).copied()
}
