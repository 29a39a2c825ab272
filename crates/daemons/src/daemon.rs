//! [`run_daemon`]: settings in, a running daemon, and an exit code out.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use async_channel::Receiver;
use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use crocustally_net::AdminState;
use crocustally_net::LogFormat;
use crocustally_net::Runtime;
use crocustally_net::SettingsError;
use crocustally_net::Shutdown;
use crocustally_net::Signals;
use crocustally_net::init_logs;
use crocustally_net::load_settings;
use crocustally_net::metrics_handle;
use crocustally_net::serve_admin;
use crocustally_net::timeout;
use serde::de::DeserializeOwned;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Settings that every daemon has.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Name of the instance.
    pub name: String,
    /// Threads that run it.
    pub threads: usize,
    /// How log lines are written.
    pub log: LogFormat,
    /// Where metrics and health are served, and the token for it.
    pub admin: Option<(SocketAddr, Option<String>)>,
}

/// What a daemon's start is given.
pub struct DaemonContext<T> {
    /// Runs everything.
    pub rt: Runtime,
    /// The planned stop.
    pub shutdown: Shutdown,
    /// Takes whether the daemon is ready.
    pub state: AdminState,
    /// Settings whenever the file has changed and can be used.
    pub new_settings: Receiver<T>,
}

/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);

/// Runs a daemon from its command line to its planned stop.
///
/// `start` starts it and says through the given state whether it is ready; it ends on SIGTERM or
/// SIGINT, once the last answer has left the process. On SIGHUP, and whenever the settings file has
/// changed, the file is read again.
pub fn run_daemon<R, T, F>(
    program: &'static str,
    about: &'static str,
    common: fn(&T) -> CommonSettings,
    start: impl FnOnce(DaemonContext<T>, T) -> F,
) -> ExitCode
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = SettingsError> + Send + 'static,
    F: Future<Output = std::io::Result<()>>,
{
    let hangups = match Shutdown::hangup_signals() {
        Ok(hangups) => hangups,
        Err(e) => {
            eprintln!("SIGHUP cannot be taken over: {e}");
            return ExitCode::FAILURE;
        }
    };
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
    let reload = move || load_settings::<R, T>(&path);
    match async_io::block_on(run(&rt, cfg, &common, hangups, reload, start)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(name = common.name.as_str(); "not started: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run<T: Send + 'static, F: Future<Output = std::io::Result<()>>>(
    rt: &Runtime,
    cfg: T,
    common: &CommonSettings,
    hangups: Signals,
    reload: impl Fn() -> Result<T, SettingsError> + Send + 'static,
    start: impl FnOnce(DaemonContext<T>, T) -> F,
) -> std::io::Result<()> {
    let shutdown = Shutdown::default();
    shutdown.on_signals(rt);
    let state = AdminState::default();
    let new_settings = watch_settings(rt, Shutdown::reload_requests(rt, hangups), reload);
    let process = DaemonContext {
        rt: rt.clone(),
        shutdown: shutdown.clone(),
        state: state.clone(),
        new_settings,
    };
    start(process, cfg).await?;
    if let Some((address, token)) = common.admin.clone() {
        // The admin address answers until the very end, also while the daemon is stopping.
        serve_admin(rt, address, token, state, &Shutdown::default()).await?;
    }
    let (name, version) = (common.name.as_str(), env!("CARGO_PKG_VERSION"));
    log::info!(name = name, version = version, pid = std::process::id(); "started");
    shutdown.wait().await;
    log::info!(name = name, requests = shutdown.request_count(); "stopping");
    shutdown.connections_closed().await;
    log::info!(name = name; "stopped");
    log::logger().flush();
    Ok(())
}

/// Settings whenever the file is read again: at a signal, or when its text has changed.
fn watch_settings<T: Send + 'static>(
    rt: &Runtime,
    signals: Receiver<()>,
    reload: impl Fn() -> Result<T, SettingsError> + Send + 'static,
) -> Receiver<T> {
    let (tx, rx) = async_channel::bounded(1);
    rt.spawn(async move {
        loop {
            let signalled = timeout(SETTINGS_PERIOD, signals.recv()).await.is_some();
            match reload() {
                Ok(cfg) => {
                    if signalled {
                        log::info!("settings read again");
                    }
                    let _ = tx.force_send(cfg);
                }
                // The settings that were read before stay in force.
                Err(e) => log::warn!("settings not reloaded: {e}"),
            }
        }
    });
    rx
}
