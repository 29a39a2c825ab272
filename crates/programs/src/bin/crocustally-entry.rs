//! `crocustally-entry`: runs a [`crocustally_entry::Entry`] as a daemon.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crocustally_daemons::CommonSettings;
use crocustally_daemons::DaemonContext;
use crocustally_daemons::run_daemon;
use crocustally_entry::Entry;
use crocustally_entry::EntrySettings;
use crocustally_entry::RawEntrySettings;
use crocustally_net::SystemClock;
use crocustally_net::sleep;

/// Interval at which the readiness of the entry is published at the admin address.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);

fn common(cfg: &EntrySettings) -> CommonSettings {
    CommonSettings {
        name: cfg.name.clone(),
        threads: cfg.threads,
        log: cfg.log,
        admin: cfg.admin.clone(),
    }
}

fn main() -> ExitCode {
    run_daemon::<RawEntrySettings, EntrySettings, _>(
        "crocustally-entry",
        "Takes callers' requests and operators' tickets",
        common,
        |cx, cfg| async move {
            let DaemonContext { rt, shutdown, state, .. } = cx;
            let name = cfg.name.clone();
            let (entry, bound) = Entry::start(&rt, cfg, Arc::new(SystemClock), shutdown).await?;
            log::info!(
                "{name}: listening for callers on {}, for peers on {}",
                bound.callers,
                bound.peers
            );
            rt.spawn(async move {
                loop {
                    state.set_ready(entry.is_ready());
                    sleep(READINESS_INTERVAL).await;
                }
            });
            Ok(())
        },
    )
}
