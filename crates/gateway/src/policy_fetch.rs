//! Fetches the policy documents that control instances announce.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocustally_core::Digest;
use crocustally_net::Channel;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::FetchPolicyRequest;
use crocustally_wire::PolicyDocument;
use crocustally_wire::control_client::ControlClient;

use crate::Gateway;

/// Timeout for fetching a policy document from one control instance.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a round in which no control instance has returned a usable document.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Keeps the policy of a gateway at the newest version that any control instance has announced.
pub(crate) async fn keep_policy_current(gateway: Arc<Gateway>) {
    loop {
        // Listens before it looks, so that no announcement in between is missed.
        let announced = gateway.listen_for_policies();
        let newest = gateway.fleet().newest_policy_version;
        if newest <= gateway.policy().map_or(0, |p| p.version()) {
            announced.await;
        } else if !fetch_and_install(&gateway, newest).await {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Fetches a policy of at least this version and puts it in force; returns whether that succeeded.
async fn fetch_and_install(gateway: &Arc<Gateway>, version: u64) -> bool {
    let Some(document) = fetch_from_any(gateway, version).await else {
        log::warn!(version = version; "failed to fetch policy document");
        return false;
    };
    let text = document.text().map_err(|e| e.to_string());
    match text.and_then(|t| gateway.dialect.decode_policy(&t).map_err(|e| e.to_string())) {
        Ok(policy) => {
            gateway.install_policy(policy);
            true
        }
        Err(e) => {
            log::error!(version = document.version; "policy document unusable: {e}");
            false
        }
    }
}

/// Fetches the policy document from one control instance after another. Each gateway starts with
/// another one, so that all links carry a part.
async fn fetch_from_any(gateway: &Arc<Gateway>, version: u64) -> Option<PolicyDocument> {
    let mut clients: Vec<(SocketAddr, ControlClient<Channel>)> =
        gateway.fleet().control_clients.iter().map(|(a, c)| (*a, c.clone())).collect();
    let preference = |address: &SocketAddr| {
        Digest::of(&[gateway.cfg.name.as_bytes(), address.to_string().as_bytes()])
    };
    clients.sort_by_cached_key(|(address, _)| preference(address));
    for (address, mut client) in clients {
        let response = client.fetch_policy(FetchPolicyRequest { version, reads_compressed: true });
        match timeout(FETCH_TIMEOUT, response).await {
            Some(Ok(document)) => return Some(document.into_inner()),
            // The instance has not applied this version yet, or is not reachable.
            Some(Err(e)) => {
                let control = address.to_string();
                log::debug!(control = control.as_str(), version = version; "no policy document: {e}");
            }
            None => {
                let control = address.to_string();
                log::warn!(control = control.as_str(), version = version; "policy fetch timed out");
            }
        }
    }
    None
}
