//! Requests that take endpoints down.

use std::sync::Arc;
use std::time::Duration;

use crocustally_core::Digest;
use crocustally_net::timeout;
use crocustally_wire::GatewayNotice;
use crocustally_wire::SuspectNotice;

use crate::Gateway;
use crate::places::Place;

/// Time that a crash takes to show: an endpoint that has broken off may still be closing.
const CRASH_SHOWS: Duration = Duration::from_millis(50);
/// Longest time to tell one control instance.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Looks, behind the caller's back, whether the endpoint that broke a request off has died.
pub(crate) fn look(gateway: &Arc<Gateway>, digest: Digest, place: &Place) {
    let (gateway, endpoint, address) = (gateway.clone(), place.endpoint.clone(), place.address);
    gateway.rt.clone().spawn(async move {
        crocustally_net::sleep(CRASH_SHOWS).await;
        if gateway.client(address).refuses_connections().await {
            note(&gateway, digest, &endpoint);
            tell(&gateway, digest, &endpoint).await;
        }
    });
}

/// Counts an endpoint's death under a request, wherever it was noticed.
pub(crate) fn note(gateway: &Gateway, digest: Digest, endpoint: &str) {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    if beliefs.suspicion.death(now, digest, endpoint) {
        let deaths = beliefs.suspicion.deaths(digest);
        log::warn!(
            digest = digest.hex().as_str(), endpoint = endpoint, deaths = deaths;
            "endpoint died under a request"
        );
    }
}

/// Tells all control instances, which tell the other gateways.
async fn tell(gateway: &Gateway, digest: Digest, endpoint: &str) {
    let feeds: Vec<_> = gateway.beliefs().feeds.values().cloned().collect();
    let suspect = SuspectNotice { digest: digest.to_bytes(), endpoint: endpoint.to_owned() };
    for mut client in feeds {
        let notice =
            GatewayNotice { name: gateway.cfg.name.clone(), suspects: vec![suspect.clone()] };
        let told = timeout(NOTICE_TIMEOUT, client.notice(notice)).await;
        if !matches!(told, Some(Ok(_))) {
            log::warn!(digest = digest.hex().as_str(); "a control instance was not told");
        }
    }
}
