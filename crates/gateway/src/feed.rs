//! Subscriptions to the control instances, and the handling of their updates.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocustally_core::Digest;
use crocustally_core::control::PartFilter;
use crocustally_core::dispatch::RankState;
use crocustally_core::fleet::Departure;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::Registration;
use crocustally_core::fleet::RegistryChange;
use crocustally_net::Channel;
use crocustally_net::sleep;
use crocustally_wire::EndpointBeat;
use crocustally_wire::FollowRequest;
use crocustally_wire::LoadBatch;
use crocustally_wire::MESSAGE_BYTES_MAX;
use crocustally_wire::Update;
use crocustally_wire::control_client::ControlClient;
use prost::Message as _;

use crate::Gateway;
use crate::suspects;

/// Pause before reconnecting to a control instance.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Follows the control instances that the settings name, and those that are discovered by them.
pub(crate) fn follow_seeds(gateway: &Arc<Gateway>, seeds: &[SocketAddr]) {
    let now = gateway.clock.now();
    let added = gateway.fleet().followed_controls.set_seeds(now, seeds);
    follow_all(gateway, added);
}

fn follow_all(gateway: &Arc<Gateway>, controls: Vec<SocketAddr>) {
    for address in controls {
        gateway.rt.spawn(follow(gateway.clone(), address));
    }
}

async fn follow(gateway: Arc<Gateway>, address: SocketAddr) {
    let control = address.to_string();
    let mut connected = false;
    loop {
        let channel = Channel::with_source(&gateway.rt, address, gateway.cfg.source);
        let mut client = ControlClient::with_origin(channel.clone(), channel.origin())
            .max_decoding_message_size(MESSAGE_BYTES_MAX);
        let req = FollowRequest { name: gateway.cfg.name.clone() };
        if let Ok(updates) = client.follow(req).await {
            let mut updates = updates.into_inner();
            connected = true;
            gateway.fleet().control_clients.insert(address, client.clone());
            log::info!(control = control.as_str(); "control instance followed");
            while let Ok(Some(update)) = updates.message().await {
                apply_update(&gateway, address, update);
            }
        }
        let now = gateway.clock.now();
        gateway.fleet().control_clients.remove(&address);
        if std::mem::take(&mut connected) {
            log::warn!(control = control.as_str(); "control instance lost");
            gateway.fleet().followed_controls.record_disconnected(now, address);
        }
        if gateway.fleet().followed_controls.give_up(now, address) {
            log::info!(control = control.as_str(); "control instance is gone, no longer followed");
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn apply_update(gateway: &Arc<Gateway>, from: SocketAddr, update: Update) {
    let mut pools_changed = !update.endpoints.is_empty() || !update.loads.is_empty();
    for heartbeat in update.endpoints {
        apply_heartbeat(gateway, heartbeat);
    }
    match LoadBatch::decode(update.loads) {
        Ok(batch) => apply_rank_loads(gateway, &batch),
        Err(e) => log::error!("malformed loads in an update: {e}"),
    }
    if let Some(parts) = &update.suspect_parts {
        let mut fleet = gateway.fleet();
        if update.applied >= fleet.applied_index {
            fleet.part_filter = PartFilter::from(parts);
            let blocks = fleet.part_filter.blocks() as f64;
            drop(fleet);
            metrics::gauge!("crocustally_blocked_prompt_parts").set(blocks);
        }
    }
    if let Some(evacuations) = update.evacuations {
        let mut fleet = gateway.fleet();
        if update.applied >= fleet.applied_index {
            fleet.applied_index = update.applied;
            let domains = evacuations.domains.into_iter().collect();
            if fleet.evacuated != domains {
                log::info!(
                    applied = update.applied, domains = format!("{domains:?}").as_str();
                    "evacuated domains"
                );
                fleet.evacuated = domains;
            }
        }
        let evacuated = fleet.evacuated.clone();
        drop(fleet);
        for pool in gateway.all_pools() {
            pool.with_pool(|pool| pool.set_evacuated_domains(&evacuated));
        }
        pools_changed = true;
    }
    if !update.gateways.is_empty() || update.gateways_complete || update.gateways_expected > 0 {
        let now = gateway.clock.now();
        let mut fleet = gateway.fleet();
        let mut changed = fleet.record_gateways(now, &update.gateways, update.gateways_complete);
        changed |= update.gateways_expected > fleet.gateways_expected;
        fleet.gateways_expected = fleet.gateways_expected.max(update.gateways_expected);
        drop(fleet);
        if changed {
            gateway.configure_pools();
        }
    }
    for suspect in &update.suspects {
        if let Ok(digest) = Digest::try_from(&suspect.digest[..]) {
            suspects::record_crash(gateway, digest, &suspect.endpoint, suspect.born_ms);
        }
    }
    let controls: Vec<SocketAddr> =
        update.controls.iter().filter_map(|text| text.parse().ok()).collect();
    if !controls.is_empty() {
        let now = gateway.clock.now();
        let added = gateway.fleet().followed_controls.record_list(now, from, controls);
        follow_all(gateway, added);
    }
    if let Some(version) = update.policy_version {
        gateway.announce_policy(version);
    }
    if pools_changed {
        for pool in gateway.all_pools() {
            pool.deliver_pending();
        }
    }
}

fn apply_heartbeat(gateway: &Arc<Gateway>, heartbeat: EndpointBeat) {
    let now = gateway.clock.now();
    let received_at =
        now.checked_sub(Duration::from_millis(u64::from(heartbeat.age_ms))).unwrap_or(now);
    let (id, departure) = (heartbeat.id.clone(), Departure::from_wire(&heartbeat));
    let mut fleet = gateway.fleet();
    let (mut holder, mut moved) = (None, None);
    let change = match Heartbeat::try_from(heartbeat) {
        Ok(beat) => {
            holder = fleet.registry.holder(&beat.address).filter(|h| *h != id).map(str::to_owned);
            moved =
                fleet.registry.get(&id).filter(|r| r.heartbeat.service != beat.service).cloned();
            fleet.registry.record_heartbeat(received_at, beat)
        }
        // A departure has no address.
        Err(_) => match &departure {
            Some(departure) => {
                let marked = fleet.registry.record_departure(received_at, departure);
                marked.map_or(RegistryChange::Ignored, |_| RegistryChange::Changed)
            }
            None => RegistryChange::Ignored,
        },
    };
    let known = fleet.registry.get(&id).cloned();
    let replaced = holder.and_then(|h| fleet.registry.get(&h).cloned()).filter(|r| r.replaced);
    let evacuated = fleet.evacuated.clone();
    drop(fleet);
    if let Some(replaced) = replaced {
        // Its service may be another one.
        let pool = gateway.pool(&replaced.heartbeat.service);
        pool.with_pool(|pool| pool.update_registration(&replaced));
    }
    let (Some(known), true) = (known, change != RegistryChange::Ignored) else { return };
    if let Some(moved) = moved {
        // The pool of the service that it had does not see its later heartbeats.
        remove_from_pool(gateway, moved);
    }
    if change == RegistryChange::Changed {
        log::info!(
            endpoint = id.as_str(),
            service = known.heartbeat.service.as_str(),
            domain = known.heartbeat.domain.as_str(),
            state = format!("{:?}", known.heartbeat.state).as_str(),
            cold_ms = known.heartbeat.cold_remaining.as_millis() as u64,
            sequence = known.heartbeat.sequence;
            "endpoint changed"
        );
    }
    let pool = gateway.pool(&known.heartbeat.service);
    pool.with_pool(|pool| {
        pool.update_registration(&known);
        pool.set_evacuated_domains(&evacuated);
    });
}

/// Takes an endpoint out of the pool of a service to which it no longer belongs.
fn remove_from_pool(gateway: &Gateway, mut moved: Registration) {
    moved.replaced |= moved.heartbeat.state == HeartbeatState::Ready;
    moved.heartbeat.state = HeartbeatState::Gone;
    log::info!(
        endpoint = moved.heartbeat.id.as_str(), service = moved.heartbeat.service.as_str();
        "endpoint left its service for another one"
    );
    let pool = gateway.pool(&moved.heartbeat.service);
    pool.with_pool(|pool| pool.update_registration(&moved));
}

fn apply_rank_loads(gateway: &Arc<Gateway>, batch: &LoadBatch) {
    let now = gateway.clock.now();
    let loads = batch.endpoints.iter().zip(&batch.loads).zip(&batch.ages_ms);
    for pool in gateway.all_pools() {
        pool.with_pool(|pool| {
            for (i, ((key, load), age_ms)) in loads.clone().enumerate() {
                let group = batch.groups.get(i).and_then(|g| batch.group_keys.get(*g as usize));
                let age = Duration::from_millis(u64::from(*age_ms));
                let state = RankState {
                    open: load % 2 == 1,
                    requests: load / 2,
                    observed_at: now.checked_sub(age).unwrap_or(now),
                    group: group.copied().unwrap_or(0),
                };
                pool.record_rank_state_by_key(*key, state);
            }
        });
    }
}
