//! Requests that take endpoints down.

use std::sync::Arc;
use std::time::Duration;

use crocustally_core::Digest;
use crocustally_net::timeout;
use crocustally_wire::GatewayNotice;
use crocustally_wire::SuspectNotice;

use crate::Gateway;
use crate::permits::Permit;

/// Time that a crash takes to show: an endpoint that has broken off may still be closing.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(50);
/// Longest time to tell one control instance.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Looks, behind the caller's back, whether the endpoint that broke a request off has died.
pub(crate) fn check_crash(gateway: &Arc<Gateway>, digest: Digest, permit: &Permit) {
    let (gateway, endpoint, address) = (gateway.clone(), permit.endpoint.clone(), permit.address);
    gateway.rt.clone().spawn(async move {
        crocustally_net::sleep(CRASH_CHECK_DELAY).await;
        if gateway.endpoint_client(address).refuses().await {
            record_crash(&gateway, digest, &endpoint);
            notify_controls(&gateway, digest, &endpoint).await;
        }
    });
}

/// Counts an endpoint's death under a request, wherever it was noticed.
pub(crate) fn record_crash(gateway: &Gateway, digest: Digest, endpoint: &str) {
    let now = gateway.clock.now();
    let mut fleet = gateway.fleet();
    if fleet.suspicion.death(now, digest, endpoint) {
        let deaths = fleet.suspicion.deaths(digest);
        log::warn!(
            digest = digest.hex().as_str(), endpoint = endpoint, deaths = deaths;
            "endpoint died under a request"
        );
    }
}

/// Tells all control instances, which tell the other gateways.
async fn notify_controls(gateway: &Gateway, digest: Digest, endpoint: &str) {
    let clients: Vec<_> = gateway.fleet().control_clients.values().cloned().collect();
    let suspect = SuspectNotice { digest: digest.to_bytes(), endpoint: endpoint.to_owned() };
    for mut client in clients {
        let notice =
            GatewayNotice { name: gateway.cfg.name.clone(), suspects: vec![suspect.clone()] };
        let response = timeout(NOTICE_TIMEOUT, client.notice(notice)).await;
        if !matches!(response, Some(Ok(_))) {
            log::warn!(digest = digest.hex().as_str(); "a control instance was not told");
        }
    }
}
