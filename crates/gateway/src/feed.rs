//! Following control instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocustally_core::Digest;
use crocustally_core::dispatch::RankState;
use crocustally_core::fleet::Beat;
use crocustally_core::fleet::BeatState;
use crocustally_core::fleet::Change;
use crocustally_net::Channel;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::EndpointBeat;
use crocustally_wire::FetchPolicyRequest;
use crocustally_wire::FollowRequest;
use crocustally_wire::RankLoad;
use crocustally_wire::Update;
use crocustally_wire::control_client::ControlClient;

use crate::Gateway;
use crate::suspects;

/// Pause before a control instance that cannot be followed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest time to fetch a policy document, before another instance may be asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Follows every control instance of `controls` that is not followed yet.
pub(crate) fn follow_all(gateway: &Arc<Gateway>, controls: &[SocketAddr]) {
    for address in controls {
        if gateway.beliefs().followed.insert(*address) {
            gateway.rt.spawn(follow(gateway.clone(), *address));
        }
    }
}

async fn follow(gateway: Arc<Gateway>, address: SocketAddr) {
    let control = address.to_string();
    let mut connected = false;
    loop {
        let channel = Channel::new(&gateway.rt, address);
        let mut client = ControlClient::with_origin(channel.clone(), channel.origin());
        let req = FollowRequest { name: gateway.cfg.name.clone() };
        if let Ok(updates) = client.follow(req).await {
            let mut updates = updates.into_inner();
            connected = true;
            gateway.beliefs().feeds.insert(address, client.clone());
            log::info!(control = control.as_str(); "control instance followed");
            while let Ok(Some(update)) = updates.message().await {
                take(&gateway, &client, update);
            }
        }
        if std::mem::take(&mut connected) {
            log::warn!(control = control.as_str(); "control instance lost");
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn take(gateway: &Arc<Gateway>, client: &ControlClient<Channel>, update: Update) {
    let mut woken = !update.endpoints.is_empty() || !update.ranks.is_empty();
    for beat in update.endpoints {
        endpoint(gateway, beat);
    }
    for load in update.ranks {
        rank(gateway, &load);
    }
    if let Some(evacuations) = update.evacuations {
        let mut beliefs = gateway.beliefs();
        if update.applied >= beliefs.applied {
            beliefs.applied = update.applied;
            let domains = evacuations.domains.into_iter().collect();
            if beliefs.evacuated != domains {
                log::info!(
                    applied = update.applied, domains = format!("{domains:?}").as_str();
                    "evacuated domains"
                );
                beliefs.evacuated = domains;
            }
        }
        let evacuated = beliefs.evacuated.clone();
        drop(beliefs);
        for places in gateway.all_places() {
            places.with(|pool| pool.evacuate(&evacuated));
        }
        woken = true;
    }
    if update.gateways > 0 {
        let mut beliefs = gateway.beliefs();
        let changed = beliefs.gateways != update.gateways;
        // Instances hear of gateways at different times; the most that any knows is the safe one.
        beliefs.gateways = beliefs.gateways.max(update.gateways);
        drop(beliefs);
        if changed {
            gateway.configure_pools();
        }
    }
    for suspect in &update.suspects {
        if let Ok(digest) = Digest::try_from(&suspect.digest[..]) {
            suspects::note(gateway, digest, &suspect.endpoint);
        }
    }
    let controls: Vec<SocketAddr> =
        update.controls.iter().filter_map(|text| text.parse().ok()).collect();
    follow_all(gateway, &controls);
    if update.policy_version > gateway.policy().map_or(0, |p| p.version()) {
        fetch(gateway, client, update.policy_version);
    }
    if woken {
        for places in gateway.all_places() {
            places.tick();
        }
    }
}

fn endpoint(gateway: &Arc<Gateway>, said: EndpointBeat) {
    let now = gateway.clock.now();
    let heard = now.checked_sub(Duration::from_millis(u64::from(said.age_ms))).unwrap_or(now);
    let (id, born_ms, state) = (said.id.clone(), said.born_ms, BeatState::from_number(said.state));
    let mut beliefs = gateway.beliefs();
    let change = match Beat::try_from(said) {
        Ok(beat) => beliefs.registry.beat(heard, beat),
        // An endpoint that left unheard is told by its identity alone.
        Err(_) if state == BeatState::Gone => {
            let left = beliefs.registry.leave(now, &id, Some(born_ms));
            left.map_or(Change::Ignored, |_| Change::Changed)
        }
        Err(_) => Change::Ignored,
    };
    let known = beliefs.registry.get(&id).cloned();
    let evacuated = beliefs.evacuated.clone();
    drop(beliefs);
    let (Some(known), true) = (known, change != Change::Ignored) else { return };
    if change == Change::Changed {
        log::info!(
            endpoint = id.as_str(),
            service = known.beat.service.as_str(),
            domain = known.beat.domain.as_str(),
            state = format!("{:?}", known.beat.state).as_str(),
            cold_ms = known.beat.cold.as_millis() as u64,
            sequence = known.beat.sequence;
            "endpoint changed"
        );
    }
    let places = gateway.places(&known.beat.service);
    places.with(|pool| {
        pool.learn(&known);
        pool.evacuate(&evacuated);
    });
}

fn rank(gateway: &Arc<Gateway>, load: &RankLoad) {
    let Ok(address) = load.address.parse() else { return };
    let now = gateway.clock.now();
    let age = Duration::from_millis(u64::from(load.age_ms));
    let state = RankState {
        open: load.open,
        running: load.running,
        queued: load.queued,
        at: now.checked_sub(age).unwrap_or(now),
    };
    for places in gateway.all_places() {
        places.with(|pool| pool.report(address, state));
    }
}

/// Fetches the newest policy; only one document is on its way at a time.
fn fetch(gateway: &Arc<Gateway>, client: &ControlClient<Channel>, version: u64) {
    let mut beliefs = gateway.beliefs();
    beliefs.wanted = beliefs.wanted.max(version);
    if std::mem::replace(&mut beliefs.fetching, true) {
        return;
    }
    drop(beliefs);
    let (gateway, mut client) = (gateway.clone(), client.clone());
    gateway.rt.clone().spawn(async move {
        loop {
            let version = gateway.beliefs().wanted;
            if version <= gateway.policy().map_or(0, |p| p.version()) {
                break;
            }
            let asked = client.fetch_policy(FetchPolicyRequest { version });
            let Some(Ok(document)) = timeout(FETCH_TIMEOUT, asked).await else {
                // The next word from any instance tries again.
                log::warn!(version = version; "policy document not fetched");
                break;
            };
            let document = document.into_inner();
            match gateway.dialect.decode_policy(&document.body) {
                Ok(policy) => gateway.adopt(policy),
                Err(e) => {
                    log::error!(version = document.version; "policy document unusable: {e}");
                    break;
                }
            }
        }
        gateway.beliefs().fetching = false;
    });
}
