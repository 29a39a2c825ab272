//! `crocustally-entry`: a thin shell around [`crocustally_entry::Entry`].

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use crocustally_entry::Entry;
use crocustally_entry::EntrySettings;
use crocustally_entry::RawEntrySettings;
use crocustally_net::AdminState;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::SystemClock;
use crocustally_net::init_logs;
use crocustally_net::load_settings;
use crocustally_net::metrics_handle;
use crocustally_net::serve_admin;
use crocustally_net::sleep;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// How often the admin address learns whether the entry is ready.
const READY_PERIOD: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let matches = Command::new("crocustally-entry")
        .about("Takes callers' requests and operators' tickets")
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
    let cfg = match load_settings::<RawEntrySettings, EntrySettings>(path) {
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

async fn run(rt: &Runtime, cfg: EntrySettings) -> std::io::Result<()> {
    let shutdown = Shutdown::default();
    shutdown.on_signals(rt);
    let admin = cfg.admin.clone();
    let name = cfg.name.clone();
    let (entry, addresses) = Entry::start(rt, cfg, Arc::new(SystemClock), shutdown.clone()).await?;
    log::info!("{name}: callers on {}, peers on {}", addresses.callers, addresses.peers);
    if let Some((address, token)) = admin {
        let state = AdminState::default();
        serve_admin(rt, address, token, state.clone(), &Shutdown::default()).await?;
        let watched = entry.clone();
        rt.spawn(async move {
            loop {
                state.set_ready(watched.ready());
                sleep(READY_PERIOD).await;
            }
        });
    }
    shutdown.finished().await;
    log::info!("{name}: stopped");
    Ok(())
}
