//! [`CrashReports`]: reports of many gateways on crashing prompts, committed together.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use crocustally_core::Code;
use crocustally_wire::CrashReport;
use crocustally_wire::command::Kind;
use event_listener::Event;

use crate::Control;

/// Delay before pending reports are proposed. All gateways notice an end within a few milliseconds of
/// each other.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Time for a batch to be committed, after which the gateways turn to another instance.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(800);

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
            let batch = std::mem::take(&mut *self.crash_reports.lock());
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
            for sound in &pending.report.sound {
                // Many gateways report the same part as sound; one of them is enough.
                if evidence.suspects_any(sound) && !merged.sound.contains(sound) {
                    merged.sound.push(sound.clone());
                }
            }
        }
        merged
    }
}
