//! Use of idle connections: endpoints that a pool prefers, and how many connections it may keep.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use smallvec::SmallVec;

use super::Pool;
use super::reach;
use super::selection::Candidate;
use crate::dispatch::IdleConnections;
use crate::dispatch::Member;
use crate::dispatch::MemberKey;

/// Difference in load, in requests, up to which an endpoint with an idle connection is preferred. A
/// report is 0.1 to 0.3 s old, so smaller differences mean little.
const LOAD_TOLERANCE: f64 = 1.0;
/// Time since the last response from a failure domain within which the path to it counts as open.
const PATH_PROVEN_TIME: Duration = Duration::from_secs(3);

impl Pool {
    /// Makes the pool prefer endpoints with idle connections.
    pub fn use_idle_connections(&mut self, idle: Arc<dyn IdleConnections>) {
        self.idle_connections = Some(idle);
    }

    /// Number of idle connections to a member that this gateway may keep beside its requests there,
    /// so that all gateways together stay within the connections that the endpoint accepts.
    pub fn idle_allowance(&self, key: MemberKey) -> usize {
        let allowance = |m: &Member| self.connection_share(m).saturating_sub(m.in_flight) as usize;
        self.members.get(&key).map_or(0, allowance)
    }

    /// Whether the member's failure domain has responded to this gateway so recently that the path to
    /// it is open.
    pub fn path_is_proven(&self, now: Instant, key: MemberKey) -> bool {
        let Some(m) = self.members.get(&key) else { return false };
        let domain = &m.registration.heartbeat.domain;
        reach::lock(&self.reachability).responded_within(now, domain, PATH_PROVEN_TIME)
    }

    /// Index of a candidate with an idle connection whose load is about that of the one at `index`,
    /// which is chosen if there is none. The choice among several is random, so that all gateways
    /// together do not turn to one endpoint.
    pub(super) fn prefer_connected(&mut self, candidates: &[Candidate], index: usize) -> usize {
        let connected = self.connected_instead(candidates, index);
        if connected.is_empty() {
            return index;
        }
        connected[self.rng.random_range(0..connected.len())]
    }

    /// Indices of the candidates that are preferred to the one at `index`; empty if that is kept.
    pub(super) fn connected_instead(
        &self,
        candidates: &[Candidate],
        index: usize,
    ) -> SmallVec<[usize; 32]> {
        let Some(idle) = &self.idle_connections else { return SmallVec::new() };
        let is_connected = |i: usize| {
            let member = self.members.get(&candidates[i].key);
            member.is_some_and(|m| idle.idle_connections(m.address()) > 0)
        };
        if is_connected(index) {
            return SmallVec::new();
        }
        let load_max = candidates[index].score + LOAD_TOLERANCE;
        let near = (0..candidates.len()).filter(|i| candidates[*i].score <= load_max);
        near.filter(|i| is_connected(*i)).collect()
    }
}
