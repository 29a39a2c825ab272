//! Which peers are named to others, and which are forgotten since they are gone.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use super::LogHandle;
use super::Peer;

impl LogHandle {
    pub(super) fn record_greeting(&self, name: &str) {
        let now = self.shared.clock.now();
        let mut greeted_at = self.shared.greeted_at.lock().unwrap_or_else(PoisonError::into_inner);
        greeted_at.insert(name.to_owned(), now);
    }

    /// When an instance last was in direct contact.
    fn last_contact(&self, name: &str) -> Option<Instant> {
        let at = |times: &Mutex<HashMap<String, Instant>>| {
            times.lock().unwrap_or_else(PoisonError::into_inner).get(name).copied()
        };
        at(&self.shared.heard_at).max(at(&self.shared.greeted_at))
    }

    /// Names of the group's members; `None` if not all of them are known, as without a log.
    fn member_names(&self) -> Option<HashSet<String>> {
        let view = self.view().filter(|v| v.has_log)?;
        view.members.all().map(|id| self.name_of(id)).collect()
    }

    /// Peers that other instances are told of. One that is gone would be told back and forth for good, so
    /// only direct contact counts.
    pub(super) fn peers_to_name(&self) -> Vec<Peer> {
        let Some(forget_after) = self.shared.cfg.forget_after else { return self.all_peers() };
        let (now, members) = (self.shared.clock.now(), self.member_names());
        let in_contact = |p: &Peer| {
            let at = self.last_contact(&p.name);
            at.is_some_and(|at| now.saturating_duration_since(at) < forget_after / 2)
        };
        let is_member = |p: &Peer| members.as_ref().is_none_or(|m| m.contains(&p.name));
        let mut peers = self.all_peers();
        peers.retain(|p| p.is_seed || is_member(p) || in_contact(p));
        peers
    }

    /// Forgets peers without contact that are neither seeds nor members. Not called without a leader: an
    /// instance that is itself cut off has to find the others again.
    pub(super) fn forget_gone_peers(&self) {
        let (Some(forget_after), Some(members)) =
            (self.shared.cfg.forget_after, self.member_names())
        else {
            return;
        };
        let now = self.shared.clock.now();
        let is_gone = |p: &Peer| {
            let at = self.last_contact(&p.name).map_or(p.added_at, |at| at.max(p.added_at));
            let silent = now.saturating_duration_since(at) >= forget_after;
            silent && !p.is_seed && !members.contains(&p.name)
        };
        for peer in self.all_peers().iter().filter(|p| is_gone(p)) {
            log::info!(name = peer.name.as_str(); "instance forgotten, it was silent for long");
            let mut peers = self.shared.peers.write().unwrap_or_else(PoisonError::into_inner);
            peers.remove(&peer.name);
        }
    }
}
