//! `crocustally-agent`: runs a [`crocustally_agent::Agent`] as a daemon.

use std::process::ExitCode;
use std::sync::Arc;

use crocustally_agent::Agent;
use crocustally_agent::AgentSettings;
use crocustally_agent::RawAgentSettings;
use crocustally_daemons::CommonSettings;
use crocustally_daemons::DaemonContext;
use crocustally_daemons::run_daemon;
use crocustally_net::SystemClock;

fn common(cfg: &AgentSettings) -> CommonSettings {
    CommonSettings {
        name: cfg.name.clone(),
        threads: cfg.threads,
        log: cfg.log,
        admin: cfg.admin.clone(),
    }
}

fn main() -> ExitCode {
    run_daemon::<RawAgentSettings, AgentSettings, _>(
        "crocustally-agent",
        "The process beside each endpoint",
        common,
        |cx, cfg| async move {
            let DaemonContext { rt, shutdown, state, .. } = cx;
            let name = cfg.name.clone();
            let (_, bound) = Agent::start(&rt, cfg, Arc::new(SystemClock), shutdown).await?;
            log::info!("{name}: listening for entries on {bound}");
            state.set_ready(true);
            Ok(())
        },
    )
}
