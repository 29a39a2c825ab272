//! `crocustally-agent`: runs a [`crocustally_agent::Agent`] as a daemon.

use std::process::ExitCode;
use std::sync::Arc;

use crocustally_agent::Agent;
use crocustally_agent::AgentSettings;
use crocustally_agent::RawAgentSettings;
use crocustally_daemons::Common;
use crocustally_daemons::Process;
use crocustally_daemons::daemon;
use crocustally_net::SystemClock;

fn common(cfg: &AgentSettings) -> Common {
    Common { name: cfg.name.clone(), threads: cfg.threads, log: cfg.log, admin: cfg.admin.clone() }
}

fn main() -> ExitCode {
    daemon::<RawAgentSettings, AgentSettings, _>(
        "crocustally-agent",
        "The process beside each endpoint",
        common,
        |process, cfg| async move {
            let Process { rt, shutdown, state, .. } = process;
            let name = cfg.name.clone();
            let (_, bound) = Agent::start(&rt, cfg, Arc::new(SystemClock), shutdown).await?;
            log::info!("{name}: listening for entries on {bound}");
            state.set_ready(true);
            Ok(())
        },
    )
}
