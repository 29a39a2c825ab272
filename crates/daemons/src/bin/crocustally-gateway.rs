//! `crocustally-gateway`: runs [`crocustally_gateway::Gateway`] as a daemon.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crocustally_daemons::CommonSettings;
use crocustally_daemons::DaemonContext;
use crocustally_daemons::run_daemon;
use crocustally_gateway::Gateway;
use crocustally_gateway::GatewaySettings;
use crocustally_gateway::RawGatewaySettings;
use crocustally_gateway::WhereQuery;
use crocustally_net::SystemClock;
use crocustally_net::timeout;
use crocustally_platform::GatewayAdapter;

/// Interval at which the readiness of the admin server is updated.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);

fn common_settings(cfg: &GatewaySettings) -> CommonSettings {
    CommonSettings {
        name: cfg.name.clone(),
        threads: cfg.threads,
        log: cfg.log,
        admin: cfg.admin.clone(),
    }
}

fn main() -> ExitCode {
    run_daemon::<RawGatewaySettings, GatewaySettings, _>(
        "crocustally-gateway",
        "Takes callers' requests to endpoints that announce themselves",
        common_settings,
        |cx, cfg| async move {
            let DaemonContext { rt, shutdown, state, new_settings } = cx;
            let clock = Arc::new(SystemClock);
            let dialect = Arc::new(GatewayAdapter);
            let (gateway, bound) = Gateway::start(&rt, cfg, clock, shutdown, dialect).await?;
            log::info!(callers = bound.callers.to_string().as_str(); "listening");
            let shared = gateway.clone();
            state.serve_where(Box::new(move |headers| {
                WhereQuery::from_headers(headers).map(|query| shared.explain(&query))
            }));
            rt.spawn(async move {
                loop {
                    state.set_ready(gateway.is_ready());
                    if let Some(Ok(cfg)) = timeout(READINESS_INTERVAL, new_settings.recv()).await {
                        gateway.follow(&cfg.controls);
                    }
                }
            });
            Ok(())
        },
    )
}
