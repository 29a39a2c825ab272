//! Detection of requests that crash endpoints.

use std::sync::Arc;
use std::time::Duration;

use crocustally_core::Digest;
use crocustally_net::ConnectionCheck;
use crocustally_net::timeout;
use crocustally_wire::GatewayNotice;
use crocustally_wire::SuspectNotice;

use crate::Gateway;
use crate::exchange::Exchange;
use crate::slots::Slot;

/// Delay before checking for a crash: the listener of a crashing endpoint may still be closing.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(50);
/// Timeout for notifying one control instance.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Checks in the background whether the endpoint crashed that interrupted a request without a list of
/// parts; [`endpoint_ends`](crate::endpoint_ends) checks for the others.
pub(crate) fn check_crash(ex: &Exchange, slot: &Slot) {
    let (gateway, endpoint, address) = (ex.gateway.clone(), slot.endpoint.clone(), slot.address);
    let digest = ex.digest;
    gateway.rt.clone().spawn(async move {
        crocustally_net::sleep(CRASH_CHECK_DELAY).await;
        let connection = gateway.endpoint_client(address).check_connection().await;
        if connection == ConnectionCheck::Refuses {
            report_crash(&gateway, digest, &endpoint);
        }
    });
}

/// Records a crash that this gateway has detected, and notifies the others in the background.
pub(crate) fn report_crash(gateway: &Arc<Gateway>, digest: Digest, endpoint: &str) {
    record_crash(gateway, digest, endpoint);
    let (gateway, endpoint) = (gateway.clone(), endpoint.to_owned());
    gateway.rt.clone().spawn(async move {
        notify_controls(&gateway, digest, &endpoint).await;
    });
}

/// Records an endpoint's crash during a request, whichever gateway detected it.
pub(crate) fn record_crash(gateway: &Gateway, digest: Digest, endpoint: &str) {
    let now = gateway.clock.now();
    let mut fleet = gateway.fleet();
    if fleet.crash_tracker.record_crash(now, digest, endpoint) {
        let crash_count = fleet.crash_tracker.crash_count(digest);
        log::warn!(
            digest = digest.hex().as_str(), endpoint = endpoint, deaths = crash_count;
            "endpoint crashed while serving a request"
        );
    }
}

/// Notifies all control instances, which forward the notice to the other gateways.
async fn notify_controls(gateway: &Gateway, digest: Digest, endpoint: &str) {
    let clients: Vec<_> = gateway.fleet().control_clients.values().cloned().collect();
    let suspect = SuspectNotice { digest: digest.to_bytes(), endpoint: endpoint.to_owned() };
    for mut client in clients {
        let notice = GatewayNotice {
            name: gateway.cfg.name.clone(),
            suspects: vec![suspect.clone()],
            ..GatewayNotice::default()
        };
        let response = timeout(NOTICE_TIMEOUT, client.notice(notice)).await;
        if !matches!(response, Some(Ok(_))) {
            log::warn!(
                digest = digest.hex().as_str();
                "failed to notify a control instance of a suspect request"
            );
        }
    }
}
