//! Fetches the policy documents that control instances announce.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use crocustally_core::Digest;
use crocustally_net::Channel;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::FetchPolicyRequest;
use crocustally_wire::PolicyDocument;
use crocustally_wire::control_client::ControlClient;
use smallvec::SmallVec;

use crate::Gateway;

/// Timeout for fetching a policy document from one control instance.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which the next control instance is asked as well: a small part of the time in which a
/// version has to be in force, 2 s on the smallest deployments.
const HEDGE_DELAY: Duration = Duration::from_millis(300);
/// Pause after a round in which no control instance has returned a usable document.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Keeps the policy of a gateway at the newest version that any control instance has announced.
pub(crate) async fn keep_policy_current(gateway: Arc<Gateway>) {
    loop {
        // Listens before it looks, so that no announcement in between is missed.
        let announced = gateway.listen_for_policies();
        let newest = gateway.fleet().newest_policy_version;
        let in_force = gateway.policy().map(|p| p.version());
        match newest {
            // No policy in force is below every version.
            Some(newest) if in_force < Some(newest) => {
                if !fetch_and_install(&gateway, newest).await {
                    sleep(RETRY_PAUSE).await;
                }
            }
            _ => announced.await,
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

/// Fetches the policy document from the control instance that responds first. They are asked one after
/// the other, each once the one before has failed or is slow, and also those that are connected
/// meanwhile.
async fn fetch_from_any(gateway: &Arc<Gateway>, version: u64) -> Option<PolicyDocument> {
    let (tx, rx) = async_channel::unbounded();
    let mut asked: SmallVec<[SocketAddr; 9]> = SmallVec::new();
    // Calls that are still open are cancelled on return.
    let mut calls = Vec::new();
    let mut open = 0;
    loop {
        if let Some((address, client)) = next_client(gateway, &asked) {
            asked.push(address);
            calls.push(gateway.rt.spawn_task(fetch_from(address, client, version, tx.clone())));
            open += 1;
        } else if open == 0 {
            return None;
        }
        match timeout(HEDGE_DELAY, rx.recv()).await {
            Some(Ok(Some(document))) => return Some(document),
            Some(Ok(None)) => open -= 1,
            Some(Err(_)) => return None,
            None => {}
        }
    }
}

/// The first client that is not in `asked`. The order differs by gateway, so that all links carry a
/// part.
fn next_client(
    gateway: &Gateway,
    asked: &[SocketAddr],
) -> Option<(SocketAddr, ControlClient<Channel>)> {
    let preference = |address: &SocketAddr| {
        Digest::of(&[gateway.cfg.name.as_bytes(), address.to_string().as_bytes()])
    };
    let fleet = gateway.fleet();
    let unasked = fleet.control_clients.iter().filter(|(address, _)| !asked.contains(address));
    let next = unasked.min_by_key(|(address, _)| preference(address));
    next.map(|(address, client)| (*address, client.clone()))
}

/// Fetches the policy document from one control instance and passes it on; `None` if that fails.
async fn fetch_from(
    address: SocketAddr,
    mut client: ControlClient<Channel>,
    version: u64,
    tx: Sender<Option<PolicyDocument>>,
) {
    let control = address.to_string();
    let response = client.fetch_policy(FetchPolicyRequest { version, reads_compressed: true });
    let document = match timeout(FETCH_TIMEOUT, response).await {
        Some(Ok(document)) => Some(document.into_inner()),
        // The instance has not applied this version yet, or is not reachable.
        Some(Err(e)) => {
            log::debug!(control = control.as_str(), version = version; "no policy document: {e}");
            None
        }
        None => {
            log::warn!(control = control.as_str(), version = version; "policy fetch timed out");
            None
        }
    };
    let _ = tx.send(document).await;
}
