//! [`CrashReports`]: reports of many gateways on crashing prompts, committed together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use crocustally_core::Code;
use crocustally_wire::CrashReport;
use crocustally_wire::ServiceParts;
use crocustally_wire::command::Kind;
use event_listener::Event;

use crate::Control;

/// Delay before pending reports are proposed. All gateways notice an end within a few milliseconds of
/// each other.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Time for a batch to be committed, after which the gateways turn to another instance.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(800);

/// Parts of prompts in the reports of one batch: 1 MiB of the log.
const BATCH_PARTS_MAX: usize = 131_072;

/// Number of parts that a report names, each as often as it does.
fn part_count(report: &CrashReport) -> usize {
    let in_flight: usize =
        report.ends.iter().flat_map(|e| &e.requests).map(|r| r.parts.len()).sum();
    in_flight + report.sound.iter().map(|s| s.parts.len()).sum::<usize>()
}

/// A report and the gateway's call that waits for its commit.
struct PendingReport {
    received_at: Instant,
    report: CrashReport,
    done: Sender<Result<(), Code>>,
}

/// Reports that are to be committed with the next batch.
#[derive(Default)]
pub(crate) struct CrashReports {
    pending: Mutex<Vec<PendingReport>>,
    added: Event,
}

impl CrashReports {
    /// Takes the reports for the next batch, the oldest first: one at least, and [`BATCH_PARTS_MAX`] parts.
    fn take_batch(&self) -> Vec<PendingReport> {
        let mut pending = self.lock();
        let mut parts = 0;
        let fits = |p: &&PendingReport| {
            parts += part_count(&p.report);
            parts <= BATCH_PARTS_MAX
        };
        let count = pending.iter().take_while(fits).count().max(1).min(pending.len());
        pending.drain(..count).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<PendingReport>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Control {
    /// Adds what a gateway has seen of crashing prompts to the replicated evidence.
    ///
    /// # Errors
    ///
    /// Fails if it is not committed in time; the report may be sent again.
    pub(crate) async fn record_crash_report(&self, report: CrashReport) -> Result<(), Code> {
        let (done, committed) = async_channel::bounded(1);
        let received_at = self.clock.now();
        self.crash_reports.lock().push(PendingReport { received_at, report, done });
        self.crash_reports.added.notify(1);
        committed.recv().await.unwrap_or(Err(Code::NoQuorum))
    }

    /// Commits pending reports, one batch after the other.
    pub(crate) async fn commit_crash_reports(&self) {
        loop {
            let added = self.crash_reports.added.listen();
            if self.crash_reports.lock().is_empty() {
                added.await;
            }
            crocustally_net::sleep(BATCH_DELAY).await;
            let batch = self.crash_reports.take_batch();
            let report = self.merge(&batch);
            let committed = if report.ends.is_empty() && report.sound.is_empty() {
                Ok(())
            } else {
                self.log.propose(Kind::CrashReport(report), COMMIT_TIMEOUT).await.map(|_| ())
            };
            if let Err(code) = committed {
                log::warn!(reports = batch.len(), code = code.number(); "crash reports not committed");
            }
            for pending in batch {
                // A gateway that has given up its call sends the report again.
                let _ = pending.done.try_send(committed);
            }
        }
    }

    /// One report for a batch, with ages as of now.
    fn merge(&self, batch: &[PendingReport]) -> CrashReport {
        let now = self.clock.now();
        let machine = self.state_machine();
        let evidence = machine.crash_evidence();
        let mut sound: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
        let mut merged = CrashReport { at_ms: self.clock.unix_ms(), ..CrashReport::default() };
        for pending in batch {
            let age = now.saturating_duration_since(pending.received_at).as_millis() as u32;
            for end in &pending.report.ends {
                let mut end = end.clone();
                end.noticed_ago_ms = end.noticed_ago_ms.saturating_add(age);
                for request in &mut end.requests {
                    request.sent_ago_ms = request.sent_ago_ms.saturating_add(age);
                }
                merged.ends.push(end);
            }
            for reported in &pending.report.sound {
                // Many gateways report the same part as sound; one of them is enough.
                let parts = sound.entry(reported.service.as_str()).or_default();
                parts.extend(evidence.suspects_among(reported));
            }
        }
        let sound = sound.into_iter().filter(|(_, parts)| !parts.is_empty());
        let sound = sound.map(|(service, parts)| ServiceParts {
            service: service.to_owned(),
            parts: parts.into_iter().collect(),
        });
        merged.sound = sound.collect();
        merged
    }
}
