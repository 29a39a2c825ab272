//! [`BurnBook`]: this entry's counts for the burn report.

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

/// Counts of one service and workspace at one entry, for the report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Service.
    pub service: String,
    /// Workspace.
    pub workspace: String,
    /// For the windows of 5 minutes, 1 hour, 30 minutes and 6 hours: all requests, those without
    /// a whole answer, answers, and those whose first byte came late.
    pub windows: [[u64; 4]; 4],
}

/// What one entry tells for the report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Objectives by service, from the configuration in force.
    pub objectives: BTreeMap<String, Objective>,
    /// Counts.
    pub rows: Vec<BurnRow>,
}

/// Windows of a [`BurnRow`], in its order.
pub(crate) const WINDOWS: [Duration; 4] =
    [FAST_BURN.short, FAST_BURN.long, SLOW_BURN.short, SLOW_BURN.long];

#[derive(Debug, Default)]
struct Book {
    whole: BurnTracker,
    first: BurnTracker,
    level: BurnLevel,
}

/// Counts per service and workspace.
#[derive(Debug, Default)]
pub(crate) struct BurnBook {
    books: Mutex<HashMap<(String, String), Book>>,
}

impl BurnBook {
    /// Counts one ended request; `first` is the time to its first byte, if one came.
    pub(crate) fn note(
        &self,
        now: Duration,
        service: &str,
        workspace: &str,
        objective: Objective,
        whole: bool,
        first: Option<Duration>,
    ) {
        let mut books = lock(&self.books);
        let book = books.entry((service.to_owned(), workspace.to_owned())).or_default();
        book.whole.record(now, !whole);
        if let Some(first) = first {
            book.first.record(now, first > Duration::from_millis(u64::from(objective.first_ms)));
        }
        let level = worse(
            book.whole.level(now, objective.whole_per_100k),
            book.first.level(now, objective.first_per_100k),
        );
        if level != book.level {
            book.level = level;
            log::warn!("burn of {service} for {workspace}: {level:?}");
            metrics::counter!("crocustally_burn_changes_total").increment(1);
        }
    }

    /// Everything counted, for the report.
    pub(crate) fn rows(&self, now: Duration) -> Vec<BurnRow> {
        let books = lock(&self.books);
        let row = |((service, workspace), b): (&(String, String), &Book)| BurnRow {
            service: service.clone(),
            workspace: workspace.clone(),
            windows: WINDOWS.map(|w| {
                let (all, bad) = b.whole.counts(now, w);
                let (answered, late) = b.first.counts(now, w);
                [all, bad, answered, late]
            }),
        };
        books.iter().map(row).collect()
    }
}

fn worse(a: BurnLevel, b: BurnLevel) -> BurnLevel {
    match (a, b) {
        (BurnLevel::Fast, _) | (_, BurnLevel::Fast) => BurnLevel::Fast,
        (BurnLevel::Slow, _) | (_, BurnLevel::Slow) => BurnLevel::Slow,
        _ => BurnLevel::Fine,
    }
}
