//! `crocustally-gateway`: a thin shell around [`crocustally_gateway::Gateway`].

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crocustally_daemons::Common;
use crocustally_daemons::Process;
use crocustally_daemons::daemon;
use crocustally_gateway::Gateway;
use crocustally_gateway::GatewaySettings;
use crocustally_gateway::RawGatewaySettings;
use crocustally_net::SystemClock;
use crocustally_net::timeout;
use crocustally_platform::GatewayAdapter;

/// How often the admin address learns whether the gateway is ready.
const READY_PERIOD: Duration = Duration::from_millis(500);

fn common(cfg: &GatewaySettings) -> Common {
    Common { name: cfg.name.clone(), threads: cfg.threads, log: cfg.log, admin: cfg.admin.clone() }
}

fn main() -> ExitCode {
    daemon::<RawGatewaySettings, GatewaySettings, _>(
        "crocustally-gateway",
        "Takes callers' requests to endpoints that announce themselves",
        common,
        |process, cfg| async move {
            let Process { rt, shutdown, state, changes } = process;
            let clock = Arc::new(SystemClock);
            let dialect = Arc::new(GatewayAdapter);
            let (gateway, at) = Gateway::start(&rt, cfg, clock, shutdown, dialect).await?;
            log::info!(callers = at.callers.to_string().as_str(); "listening");
            rt.spawn(async move {
                loop {
                    state.set_ready(gateway.is_ready());
                    if let Some(Ok(cfg)) = timeout(READY_PERIOD, changes.recv()).await {
                        gateway.follow(&cfg.controls);
                    }
                }
            });
            Ok(())
        },
    )
}
