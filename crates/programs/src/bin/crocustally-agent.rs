//! `crocustally-agent`: a thin shell around [`crocustally_agent::Agent`].

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use crocustally_agent::Agent;
use crocustally_agent::AgentSettings;
use crocustally_agent::RawAgentSettings;
use crocustally_net::AdminState;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::SystemClock;
use crocustally_net::init_logs;
use crocustally_net::load_settings;
use crocustally_net::metrics_handle;
use crocustally_net::serve_admin;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = Command::new("crocustally-agent")
        .about("The process beside each endpoint")
        .arg(
            Arg::new("settings")
                .long("settings")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(Arg::new("check").long("check").action(ArgAction::SetTrue))
        .get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    let cfg = match load_settings::<RawAgentSettings, AgentSettings>(path) {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("settings ok");
        return ExitCode::SUCCESS;
    }
    init_logs(cfg.log);
    metrics_handle();
    let rt = Runtime::start(cfg.threads);
    match async_io::block_on(run(&rt, cfg)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("cannot start: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(rt: &Runtime, cfg: AgentSettings) -> std::io::Result<()> {
    let shutdown = Shutdown::default();
    shutdown.on_signals(rt);
    let admin = cfg.admin.clone();
    let name = cfg.name.clone();
    let (_agent, bound) = Agent::start(rt, cfg, Arc::new(SystemClock), shutdown.clone()).await?;
    log::info!("{name}: serving entries on {bound}");
    if let Some((address, token)) = admin {
        let state = AdminState::default();
        state.set_ready(true);
        serve_admin(rt, address, token, state, &Shutdown::default()).await?;
    }
    shutdown.finished().await;
    log::info!("{name}: stopped");
    Ok(())
}
