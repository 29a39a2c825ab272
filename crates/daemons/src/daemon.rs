//! [`run_daemon`]: the common `main` of the daemons, from the command line to the exit code.

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
use crocustally_net::ShutdownStage;
use crocustally_net::Signals;
use crocustally_net::abort_on_panic;
use crocustally_net::init_logs;
use crocustally_net::load_settings;
use crocustally_net::metrics_handle;
use crocustally_net::serve_admin;
use crocustally_net::timeout;
use serde::de::DeserializeOwned;

/// Time for the last responses to operators and monitoring, after all others are served.
const OBSERVERS_TIME: Duration = Duration::from_millis(500);
/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Settings common to all daemons.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Name of the instance.
    pub name: String,
    /// Number of worker threads.
    pub threads: usize,
    /// Format of log lines.
    pub log: LogFormat,
    /// Address of the admin server and its bearer token; `None` if there is no admin server.
    pub admin: Option<(SocketAddr, Option<String>)>,
}

/// What the start function of a daemon gets.
pub struct DaemonContext<T> {
    /// The process's executor.
    pub rt: Runtime,
    /// The graceful shutdown.
    pub shutdown: Shutdown,
    /// The readiness that the admin server reports, to be set by the daemon.
    pub state: AdminState,
    /// Settings after each reload of a valid file.
    pub new_settings: Receiver<T>,
}

/// Interval of periodic reloads of the settings file, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a daemon from its command line to its graceful shutdown.
///
/// `start` starts the daemon and reports its readiness in the given state. SIGTERM or SIGINT
/// requests the shutdown, and the process exits once all responses have been flushed. The settings
/// file is reloaded on SIGHUP and periodically.
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
    let signals = (Shutdown::hangup_signals(), Shutdown::termination_signals());
    let (hangups, terminations) = match signals {
        (Ok(hangups), Ok(terminations)) => (hangups, terminations),
        (Err(e), _) | (_, Err(e)) => {
            eprintln!("cannot install the signal handlers: {e}");
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
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("settings ok");
        return ExitCode::SUCCESS;
    }
    let common = common(&cfg);
    init_logs(common.log);
    abort_on_panic();
    metrics_handle();
    let rt = Runtime::start(common.threads);
    let reload = move || load_settings::<R, T>(&path);
    let shutdown = Shutdown::default();
    shutdown.on_signals(&rt, terminations);
    let run = run_until_shutdown(&rt, cfg, &common, shutdown, hangups, reload, start);
    match async_io::block_on(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(name = common.name.as_str(); "failed to start: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run_until_shutdown<T: Send + 'static, F: Future<Output = std::io::Result<()>>>(
    rt: &Runtime,
    cfg: T,
    common: &CommonSettings,
    shutdown: Shutdown,
    hangups: Signals,
    reload: impl Fn() -> Result<T, SettingsError> + Send + 'static,
    start: impl FnOnce(DaemonContext<T>, T) -> F,
) -> std::io::Result<()> {
    if shutdown.is_requested() {
        // Nobody can have been directed to a process that has never listened.
        log::info!(name = common.name.as_str(); "stopped before it has started");
        log::logger().flush();
        return Ok(());
    }
    let state = AdminState::default();
    let new_settings = watch_settings(rt, Shutdown::reload_requests(rt, hangups), reload);
    let cx = DaemonContext {
        rt: rt.clone(),
        shutdown: shutdown.clone(),
        state: state.clone(),
        new_settings,
    };
    start(cx, cfg).await?;
    if let Some((address, token)) = common.admin.clone() {
        serve_admin(rt, address, token, state, &shutdown).await?;
    }
    let (name, version) = (common.name.as_str(), env!("CARGO_PKG_VERSION"));
    log::info!(name = name, version = version, pid = std::process::id(); "started");
    shutdown.wait().await;
    log::info!(name = name, requests = shutdown.request_count(); "stopping");
    shutdown.in_stage(ShutdownStage::Peers).stage_ended().await;
    let observers = shutdown.in_stage(ShutdownStage::Observers);
    if timeout(OBSERVERS_TIME, observers.stage_ended()).await.is_none() {
        log::warn!(name = name; "connections of operators or monitoring are still open");
    }
    let ms = shutdown.elapsed().unwrap_or_default().as_millis() as u64;
    log::info!(name = name, ms = ms; "stopped");
    log::logger().flush();
    Ok(())
}

/// Reloads the settings on each signal and every [`RELOAD_INTERVAL`]; returns a channel with the
/// newest valid ones.
fn watch_settings<T: Send + 'static>(
    rt: &Runtime,
    signals: Receiver<()>,
    reload: impl Fn() -> Result<T, SettingsError> + Send + 'static,
) -> Receiver<T> {
    let (tx, rx) = async_channel::bounded(1);
    rt.spawn(async move {
        loop {
            let by_signal = timeout(RELOAD_INTERVAL, signals.recv()).await.is_some();
            match reload() {
                Ok(cfg) => {
                    if by_signal {
                        log::info!("settings reloaded");
                    }
                    let _ = tx.force_send(cfg);
                }
                // The previous settings stay in effect.
                Err(e) => log::warn!("failed to reload the settings: {e}"),
            }
        }
    });
    rx
}
