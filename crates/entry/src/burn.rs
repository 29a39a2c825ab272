//! [`BurnCounters`]: request counts of this entry for the burn report.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use crocustally_core::burn::BurnLevel;
use crocustally_core::burn::BurnTracker;
use crocustally_core::burn::FAST_BURN;
use crocustally_core::burn::SLOW_BURN;
use crocustally_core::control::Objective;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::lock;

/// Counts of one service and workspace at one entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Name of the service.
    pub service: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Counts for the windows of 5 minutes, 1 hour, 30 minutes and 6 hours: all requests, requests
    /// without a complete response, requests with a first byte, and those whose first byte was
    /// late.
    pub windows: [[u64; 4]; 4],
}

/// Contribution of one entry to the burn report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Objectives by service, from the configuration in effect.
    pub objectives: BTreeMap<String, Objective>,
    /// Counts by service and workspace.
    pub rows: Vec<BurnRow>,
}

/// Windows of a [`BurnRow`], in its order.
pub(crate) const WINDOWS: [Duration; 4] =
    [FAST_BURN.short, FAST_BURN.long, SLOW_BURN.short, SLOW_BURN.long];

#[derive(Debug, Default)]
struct Counters {
    incomplete: BurnTracker,
    first_byte: BurnTracker,
    level: BurnLevel,
}

/// Request counts by service and workspace.
#[derive(Debug, Default)]
pub(crate) struct BurnCounters {
    by_workspace: Mutex<HashMap<(String, String), Counters>>,
}

impl BurnCounters {
    /// Counts one finished request; `first_byte` is the time to its first byte, if one arrived.
    pub(crate) fn record(
        &self,
        now: Duration,
        service: &str,
        workspace: &str,
        objective: Objective,
        complete: bool,
        first_byte: Option<Duration>,
    ) {
        let mut by_workspace = lock(&self.by_workspace);
        let counters = by_workspace.entry((service.to_owned(), workspace.to_owned())).or_default();
        counters.incomplete.record(now, !complete);
        if let Some(first_byte) = first_byte {
            counters
                .first_byte
                .record(now, first_byte > Duration::from_millis(u64::from(objective.first_ms)));
        }
        let level = worse(
            counters.incomplete.level(now, objective.whole_per_100k),
            counters.first_byte.level(now, objective.first_per_100k),
        );
        if level != counters.level {
            counters.level = level;
            log::warn!("burn of {service} for {workspace}: {level:?}");
            metrics::counter!("crocustally_burn_changes_total").increment(1);
        }
    }

    /// The rows of the report.
    pub(crate) fn rows(&self, now: Duration) -> Vec<BurnRow> {
        let by_workspace = lock(&self.by_workspace);
        let row = |((service, workspace), counters): (&(String, String), &Counters)| BurnRow {
            service: service.clone(),
            workspace: workspace.clone(),
            windows: WINDOWS.map(|window| {
                let (all, incomplete) = counters.incomplete.counts(now, window);
                let (started, late) = counters.first_byte.counts(now, window);
                [all, incomplete, started, late]
            }),
        };
        by_workspace.iter().map(row).collect()
    }
}

fn worse(a: BurnLevel, b: BurnLevel) -> BurnLevel {
    match (a, b) {
        (BurnLevel::Fast, _) | (_, BurnLevel::Fast) => BurnLevel::Fast,
        (BurnLevel::Slow, _) | (_, BurnLevel::Slow) => BurnLevel::Slow,
        _ => BurnLevel::Fine,
    }
}
