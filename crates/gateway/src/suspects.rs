//! Detection of requests that crash endpoints.

use std::sync::Arc;
use std::time::Duration;

use crocustally_core::Digest;
use crocustally_net::timeout;
use crocustally_wire::GatewayNotice;
use crocustally_wire::SuspectNotice;

use crate::Gateway;

/// Timeout for notifying one control instance.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Records a crash that this gateway has detected, and notifies the others in the background.
pub(crate) fn report_crash(gateway: &Arc<Gateway>, digest: Digest, endpoint: &str, born_ms: u64) {
    record_crash(gateway, digest, endpoint, Some(born_ms));
    let notice = SuspectNotice {
        digest: digest.to_bytes(),
        endpoint: endpoint.to_owned(),
        born_ms: Some(born_ms),
    };
    let gateway = gateway.clone();
    gateway.rt.clone().spawn(async move {
        notify_controls(&gateway, notice).await;
    });
}

/// Records the crash of an endpoint's start during a request, whichever gateway detected it.
pub(crate) fn record_crash(
    gateway: &Gateway,
    digest: Digest,
    endpoint: &str,
    born_ms: Option<u64>,
) {
    let now = gateway.clock.now();
    let mut fleet = gateway.fleet();
    if fleet.crash_tracker.record_crash(now, digest, endpoint, born_ms) {
        let crash_count = fleet.crash_tracker.crash_count(digest);
        log::warn!(
            digest = digest.hex().as_str(), endpoint = endpoint, born = born_ms,
            deaths = crash_count;
            "endpoint crashed while serving a request"
        );
    }
}

/// Notifies all control instances, which forward the notice to the other gateways.
async fn notify_controls(gateway: &Gateway, suspect: SuspectNotice) {
    let clients: Vec<_> = gateway.fleet().control_clients.values().cloned().collect();
    for mut client in clients {
        let notice = GatewayNotice {
            name: gateway.cfg.name.clone(),
            suspects: vec![suspect.clone()],
            ..GatewayNotice::default()
        };
        let response = timeout(NOTICE_TIMEOUT, client.notice(notice)).await;
        if !matches!(response, Some(Ok(_))) {
            log::warn!(
                endpoint = suspect.endpoint.as_str();
                "failed to notify a control instance of a suspect request"
            );
        }
    }
}
