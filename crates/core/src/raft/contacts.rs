//! [`Contacts`]: when a replica last heard from each other replica.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::Replica;
use super::ReplicaId;
use super::ReplicaStatus;

/// Names and times of contact of the replicas that have sent anything to this one.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    names: HashMap<ReplicaId, String>,
    last_contact: HashMap<ReplicaId, Instant>,
}

impl Contacts {
    /// Records a message from a replica.
    pub fn record(&mut self, now: Instant, id: ReplicaId) {
        self.last_contact.insert(id, now);
    }

    /// Records that a replica has stated the name of its instance.
    pub fn record_name(&mut self, now: Instant, id: ReplicaId, name: String) {
        self.record(now, id);
        self.names.insert(id, name);
    }

    /// Name of a replica's instance, if it has been stated.
    pub fn name(&self, id: ReplicaId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Time since the last message from a replica, if it has sent any.
    pub fn silence(&self, now: Instant, id: ReplicaId) -> Option<Duration> {
        let contact_at = self.last_contact.get(&id)?;
        Some(now.saturating_duration_since(*contact_at))
    }

    /// What a leader since `since` knows about all members and all replicas with a name.
    ///
    /// Silence counts from `since` at the earliest, as followers hear little from one another.
    /// `may_vote` lists the names of instances that may become voters; empty allows any.
    pub fn statuses(
        &self,
        now: Instant,
        since: Instant,
        replica: &Replica,
        may_vote: &[String],
    ) -> BTreeMap<ReplicaId, ReplicaStatus> {
        let last = replica.log().last_index();
        let mut statuses = BTreeMap::new();
        for id in self.names.keys().copied().chain(replica.members().all()) {
            let name = self.names.get(&id).cloned().unwrap_or_default();
            let contact_at = self.last_contact.get(&id).copied().unwrap_or(since).max(since);
            let since_contact = if id == replica.id() {
                Duration::ZERO
            } else {
                now.saturating_duration_since(contact_at)
            };
            let missing_entries = replica.progress(id).map_or(0, |(m, _)| last.saturating_sub(m));
            let may_vote = may_vote.is_empty() || may_vote.contains(&name);
            statuses.insert(id, ReplicaStatus { name, may_vote, since_contact, missing_entries });
        }
        statuses
    }
}
