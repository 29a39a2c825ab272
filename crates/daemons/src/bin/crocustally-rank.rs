//! `crocustally-rank`: runs [`crocustally_rank::RankAgent`] as a daemon.

use std::process::ExitCode;
use std::sync::Arc;

use crocustally_daemons::CommonSettings;
use crocustally_daemons::DaemonContext;
use crocustally_daemons::run_daemon;
use crocustally_net::SystemClock;
use crocustally_platform::EngineAdapter;
use crocustally_rank::RankAgent;
use crocustally_rank::RankSettings;
use crocustally_rank::RawRankSettings;

fn common_settings(cfg: &RankSettings) -> CommonSettings {
    CommonSettings {
        name: cfg.name.clone(),
        threads: cfg.threads,
        log: cfg.log,
        admin: cfg.admin.clone(),
    }
}

fn main() -> ExitCode {
    run_daemon::<RawRankSettings, RankSettings, _>(
        "crocustally-rank",
        "Keeps the engine beside it in step with its group's expert maps",
        common_settings,
        |cx, cfg| async move {
            let DaemonContext { rt, shutdown, state, new_settings } = cx;
            let clock = Arc::new(SystemClock);
            let agent = RankAgent::start(&rt, cfg, clock, shutdown, Arc::new(EngineAdapter));
            state.set_ready(true);
            rt.spawn(async move {
                while let Ok(cfg) = new_settings.recv().await {
                    agent.add_controls(&cfg.controls);
                }
            });
            Ok(())
        },
    )
}
