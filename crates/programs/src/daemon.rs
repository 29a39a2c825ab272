//! [`daemon`]: settings in, a running daemon, and an exit code out.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use crocustally_net::AdminState;
use crocustally_net::LogFormat;
use crocustally_net::Runtime;
use crocustally_net::SettingsError;
use crocustally_net::Shutdown;
use crocustally_net::init_logs;
use crocustally_net::load_settings;
use crocustally_net::metrics_handle;
use crocustally_net::serve_admin;
use serde::de::DeserializeOwned;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Settings that every daemon has.
#[derive(Clone, Debug)]
pub struct Common {
    /// Name of the instance.
    pub name: String,
    /// Threads that run it.
    pub threads: usize,
    /// How log lines are written.
    pub log: LogFormat,
    /// Where metrics and health are served, and the token for it.
    pub admin: Option<(SocketAddr, Option<String>)>,
}

/// Runs a daemon from its command line to its planned stop.
///
/// `start` starts it and says through the given state whether it is ready; it ends on SIGTERM or
/// SIGINT, once the last answer has left the process.
pub fn daemon<R, T, F>(
    program: &'static str,
    about: &'static str,
    common: fn(&T) -> Common,
    start: impl FnOnce(Runtime, T, Shutdown, AdminState) -> F,
) -> ExitCode
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = SettingsError>,
    F: Future<Output = std::io::Result<()>>,
{
    let settings =
        Arg::new("settings").long("settings").required(true).value_parser(value_parser!(PathBuf));
    let check = Arg::new("check").long("check").action(ArgAction::SetTrue);
    let matches = Command::new(program).about(about).arg(settings).arg(check).get_matches();
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let cfg: T = match load_settings::<R, T>(&path) {
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
    let common = common(&cfg);
    init_logs(common.log);
    metrics_handle();
    let rt = Runtime::start(common.threads);
    match async_io::block_on(run(&rt, cfg, &common, start)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{} cannot start: {e}", common.name);
            ExitCode::FAILURE
        }
    }
}

async fn run<T, F: Future<Output = std::io::Result<()>>>(
    rt: &Runtime,
    cfg: T,
    common: &Common,
    start: impl FnOnce(Runtime, T, Shutdown, AdminState) -> F,
) -> std::io::Result<()> {
    let shutdown = Shutdown::default();
    shutdown.on_signals(rt);
    let state = AdminState::default();
    start(rt.clone(), cfg, shutdown.clone(), state.clone()).await?;
    if let Some((address, token)) = common.admin.clone() {
        // The admin address answers until the very end, also while the daemon is stopping.
        serve_admin(rt, address, token, state, &Shutdown::default()).await?;
    }
    shutdown.finished().await;
    log::info!("{}: stopped", common.name);
    Ok(())
}
