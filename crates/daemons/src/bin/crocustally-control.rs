//! `crocustally-control`: runs [`crocustally_control::Control`] as a daemon.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crocustally_control::Control;
use crocustally_control::ControlSettings;
use crocustally_control::RawControlSettings;
use crocustally_daemons::CommonSettings;
use crocustally_daemons::DaemonContext;
use crocustally_daemons::run_daemon;
use crocustally_net::SystemClock;
use crocustally_net::timeout;
use crocustally_platform::ControlAdapter;

/// Interval at which the readiness of the admin server is updated.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);

fn common_settings(cfg: &ControlSettings) -> CommonSettings {
    CommonSettings {
        name: cfg.name.clone(),
        threads: cfg.threads,
        log: cfg.log,
        admin: cfg.admin.clone(),
    }
}

fn main() -> ExitCode {
    run_daemon::<RawControlSettings, ControlSettings, _>(
        "crocustally-control",
        "Keeps policy and evacuations, hears endpoints, and feeds gateways",
        common_settings,
        |cx, cfg| async move {
            let DaemonContext { rt, shutdown, state, new_settings } = cx;
            let clock = Arc::new(SystemClock);
            let dialect = Arc::new(ControlAdapter);
            let (control, bound) = Control::start(&rt, cfg, clock, shutdown, dialect).await?;
            log::info!(callers = bound.callers.to_string().as_str(); "listening");
            rt.spawn(async move {
                loop {
                    state.set_ready(control.is_ready());
                    if let Some(Ok(cfg)) = timeout(READINESS_INTERVAL, new_settings.recv()).await {
                        control.reload(&cfg);
                    }
                }
            });
            Ok(())
        },
    )
}
