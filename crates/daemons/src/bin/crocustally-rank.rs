//! `crocustally-rank`: a thin shell around [`crocustally_rank::RankAgent`].

use std::process::ExitCode;
use std::sync::Arc;

use crocustally_daemons::Common;
use crocustally_daemons::Process;
use crocustally_daemons::daemon;
use crocustally_net::SystemClock;
use crocustally_platform::EngineAdapter;
use crocustally_rank::RankAgent;
use crocustally_rank::RankSettings;
use crocustally_rank::RawRankSettings;

fn common(cfg: &RankSettings) -> Common {
    Common { name: cfg.name.clone(), threads: cfg.threads, log: cfg.log, admin: cfg.admin.clone() }
}

fn main() -> ExitCode {
    daemon::<RawRankSettings, RankSettings, _>(
        "crocustally-rank",
        "Keeps the engine beside it in step with its group's expert maps",
        common,
        |process, cfg| async move {
            let Process { rt, shutdown, state, changes } = process;
            let clock = Arc::new(SystemClock);
            let agent = RankAgent::start(&rt, cfg, clock, shutdown, Arc::new(EngineAdapter));
            state.set_ready(true);
            rt.spawn(async move {
                while let Ok(cfg) = changes.recv().await {
                    agent.add_controls(&cfg.controls);
                }
            });
            Ok(())
        },
    )
}
