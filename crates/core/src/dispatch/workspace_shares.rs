//! [`WorkspaceShares`]: recent admissions of each workspace.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Time constant with which admissions are forgotten: a few times the usual length of a request.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Number of workspaces after which those without recent admissions are dropped.
const WORKSPACES_MAX: usize = 1024;
/// Count of recent admissions below which a workspace is as good as idle.
const IDLE: f64 = 0.05;

/// Exponentially decaying counts of the requests admitted for each workspace.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceShares {
    counts: HashMap<u64, (f64, Instant)>,
}

impl WorkspaceShares {
    /// Counts a request of a workspace.
    pub fn add(&mut self, now: Instant, workspace: u64) {
        if self.counts.len() >= WORKSPACES_MAX && !self.counts.contains_key(&workspace) {
            self.counts.retain(|_, (count, at)| decayed(*count, *at, now) > IDLE);
        }
        let count = self.recent(now, workspace) + 1.0;
        self.counts.insert(workspace, (count, now));
    }

    /// Decayed number of requests admitted for a workspace.
    pub fn recent(&self, now: Instant, workspace: u64) -> f64 {
        self.counts.get(&workspace).map_or(0.0, |(count, at)| decayed(*count, *at, now))
    }
}

fn decayed(count: f64, at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    count * (-age / TIME_CONSTANT.as_secs_f64()).exp()
}
