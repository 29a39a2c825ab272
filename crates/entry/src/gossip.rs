//! Gossip between entries about endpoints, configuration versions and local orders; notices to
//! agents.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::Digest;
use crocustally_core::control::Config;
use crocustally_core::control::DEATHS_BEFORE_QUARANTINE;
use crocustally_core::control::Suspects;
use crocustally_core::routing::Announcement;
use crocustally_core::routing::Endpoint;
use crocustally_core::routing::EndpointKey;
use crocustally_core::routing::MergeOutcome;
use crocustally_core::routing::QueueOutcomes;
use crocustally_net::Channel;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::EndpointRecord;
use crocustally_wire::GossipRequest;
use crocustally_wire::MESSAGE_BYTES_MAX;
use crocustally_wire::PullRequest;
use crocustally_wire::TellRequest;
use crocustally_wire::agent_client::AgentClient;
use crocustally_wire::entry_client::EntryClient;

use crate::Entry;

/// Pause between two rounds with one peer.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(1000);
/// Every so many rounds all endpoints are sent, which renews their leases at the peer.
const FULL_REFRESH_ROUNDS: u64 = 2;
/// Longest time for one round, or for one notice to an agent.
const ROUND_TIMEOUT: Duration = Duration::from_millis(1500);
/// A peer without contact for this long counts as unreachable.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two ticks of the routing state.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time to notify a peer of a quarantine, which does not wait for the next round.
const QUARANTINE_NOTICE_TIMEOUT: Duration = Duration::from_millis(300);

/// Last revision sent, for each service.
type SentRevisions = HashMap<String, u64>;

/// Starts the background tasks of an entry.
pub(crate) fn start(entry: &Arc<Entry>) {
    for (name, channel) in entry.log.peers() {
        entry.rt.spawn(gossip_with_peer(entry.clone(), name, channel));
    }
    entry.rt.spawn(run_ticks(entry.clone()));
    entry.rt.spawn(replicate_local_out(entry.clone()));
    let stopping = entry.clone();
    entry.rt.spawn(async move {
        stopping.shutdown.stage_ended().await;
        stopping.log.stop();
    });
}

/// Sends changed records to one peer in each round, and pulls a newer configuration if this entry
/// has no replica of the log.
async fn gossip_with_peer(entry: Arc<Entry>, name: String, channel: Channel) {
    let mut client = EntryClient::with_origin(channel.clone(), channel.origin())
        .max_decoding_message_size(MESSAGE_BYTES_MAX);
    let mut sent = SentRevisions::new();
    let mut round = 0_u64;
    loop {
        round += 1;
        if round.is_multiple_of(FULL_REFRESH_ROUNDS) {
            sent.clear();
        }
        let (records, revisions) = entry.changed_records(&sent);
        let req = GossipRequest {
            entry: entry.cfg.name.clone(),
            domain: entry.cfg.domain.clone(),
            records,
            config_version: entry.config().version,
            local_out: entry.local_out(),
            quarantined: Vec::new(),
        };
        if let Some(Ok(reply)) = timeout(ROUND_TIMEOUT, client.gossip(req)).await {
            sent = revisions;
            let version = reply.into_inner().config_version;
            entry.record_contact(&name, version);
            if !entry.log.has_replica() && version > entry.config().version {
                pull_config(&entry, &mut client).await;
            }
        } else {
            // The peer may have restarted without state, so the next round sends everything.
            sent.clear();
            entry.record_failed_contact(&name);
        }
        sleep(GOSSIP_INTERVAL).await;
    }
}

async fn pull_config(entry: &Entry, client: &mut EntryClient<Channel>) {
    let have_version = entry.config().version;
    let Some(Ok(reply)) = timeout(ROUND_TIMEOUT, client.pull(PullRequest { have_version })).await
    else {
        return;
    };
    let reply = reply.into_inner();
    if let Ok(config) = serde_json::from_slice::<Config>(&reply.config) {
        entry.install_config(Arc::new(config), Suspects::import(reply.suspects));
    }
}

async fn run_ticks(entry: Arc<Entry>) {
    loop {
        let now = entry.clock.now();
        for shard in entry.shards() {
            shard.update(|router| router.tick(now));
        }
        sleep(TICK_INTERVAL).await;
    }
}

/// Submits a ticket for each domain that was taken out locally, once the log has a leader.
async fn replicate_local_out(entry: Arc<Entry>) {
    loop {
        sleep(GOSSIP_INTERVAL).await;
        for domain in entry.local_out() {
            if entry.log.leader().is_none() {
                continue;
            }
            let number = entry.config().next_number();
            let ticket =
                format!("number: {number}\ndomains:\n  - name: {domain}\n    state: out\n");
            let reply = entry.apply_ticket(ticket.as_bytes()).await;
            log::info!(
                "{domain}: submitted a ticket for the domain taken out locally: {}",
                reply.message
            );
        }
    }
}

impl Entry {
    /// Merges an announcement, which came from the agent (`direct`) or through another entry.
    pub(crate) fn merge_announcement(
        &self,
        announcement: Announcement,
        direct: bool,
    ) -> MergeOutcome {
        let now = self.clock.now();
        let shard = self.shard(&announcement.service);
        let (name, domain) = (announcement.name.clone(), announcement.domain.clone());
        let prefixes = announcement.prefixes.clone();
        let disabled = self.is_domain_out(&domain) || self.config().endpoint_draining(&name);
        let mut outcome = MergeOutcome::Stale;
        shard.update(|router| {
            outcome = router.directory.merge(now, announcement, direct);
            let (MergeOutcome::New(key) | MergeOutcome::Updated(key)) = outcome else {
                return QueueOutcomes::new();
            };
            router.record_cached_prefixes(key, &prefixes);
            if let Some(e) = router.directory.get_mut(key) {
                e.disabled = disabled;
            }
            router.tick(now)
        });
        if let MergeOutcome::New(_) = outcome {
            log::info!("{}: endpoint {name} in {domain} announced", self.cfg.name);
        }
        outcome
    }

    /// Records of endpoints that announce themselves to this entry and have changed since `sent`,
    /// with the newest revision of each service.
    fn changed_records(&self, sent: &SentRevisions) -> (Vec<EndpointRecord>, SentRevisions) {
        let now = self.clock.now();
        let mut records = Vec::new();
        let mut newest = SentRevisions::new();
        for (service, shard) in self.named_shards() {
            let after = sent.get(&service).copied().unwrap_or(0);
            shard.with(|router| {
                let (changed, revision) = router.directory.changed_since(after);
                records.extend(changed.into_iter().filter(|e| e.direct).map(|e| e.to_record(now)));
                newest.insert(service, revision);
            });
        }
        (records, newest)
    }

    /// Tells the agents that announce themselves to this entry whether to drain under the new
    /// configuration, without waiting for their next announcement.
    pub(crate) fn notify_agents(self: &Arc<Self>) {
        let config = self.config();
        for (service, shard) in self.named_shards() {
            let agents = shard.with(|router| {
                let direct = router.directory.iter().filter(|(_, e)| e.direct);
                let notice = |(key, e): (EndpointKey, &Endpoint)| {
                    let leave = self.is_domain_out(&e.announcement.domain)
                        || config.endpoint_draining(&e.announcement.name);
                    (key, e.announcement.address.clone(), leave)
                };
                direct.map(notice).collect::<Vec<_>>()
            });
            for (key, address, leave) in agents {
                let (entry, service) = (self.clone(), service.clone());
                let version = config.version;
                self.rt.spawn(async move {
                    entry.notify_agent(&service, key, &address, version, leave).await;
                });
            }
        }
    }

    async fn notify_agent(
        &self,
        service: &str,
        key: EndpointKey,
        address: &str,
        config_version: u64,
        leave: bool,
    ) {
        let Some(channel) = self.agent_channel(address) else { return };
        let mut client = AgentClient::with_origin(channel.clone(), channel.origin());
        let entry = self.cfg.peer_listen.to_string();
        let req = TellRequest { entry, config_version, leave };
        let Some(Ok(reply)) = timeout(ROUND_TIMEOUT, client.tell(req)).await else { return };
        let version = reply.into_inner().config_version;
        self.shard(service).with(|router| {
            if let Some(e) = router.directory.get_mut(key) {
                e.announcement.config_version = e.announcement.config_version.max(version);
            }
        });
    }

    /// Notifies every reachable entry that a request is quarantined.
    pub(crate) async fn broadcast_quarantine(&self, digest: Digest) {
        self.apply_quarantine(&[digest.to_bytes()]);
        let send = |(_, channel): (String, Channel)| {
            let req = GossipRequest {
                entry: self.cfg.name.clone(),
                domain: self.cfg.domain.clone(),
                config_version: self.config().version,
                quarantined: vec![digest.to_bytes()],
                ..GossipRequest::default()
            };
            self.rt.spawn_task(async move {
                let origin = channel.origin();
                let mut client = EntryClient::with_origin(channel, origin);
                timeout(QUARANTINE_NOTICE_TIMEOUT, client.gossip(req)).await.is_some()
            })
        };
        let tasks: Vec<_> = self.log.peers().into_iter().map(send).collect();
        for task in tasks {
            task.await;
        }
    }

    /// Marks requests as quarantined at this entry, by raising their local deaths to the threshold.
    pub(crate) fn apply_quarantine(&self, digests: &[Bytes]) {
        for digest in digests.iter().filter_map(|d| Digest::try_from(&d[..]).ok()) {
            while self.record_local_death(digest) < DEATHS_BEFORE_QUARANTINE {}
        }
    }

    /// Whether at least half of a domain's endpoints, and more than one, are unreachable. The
    /// network path has then failed, and no single request caused it.
    pub(crate) fn is_domain_unreachable(&self, domain: &str) -> bool {
        let now = self.clock.now();
        let (mut total, mut unreachable) = (0, 0);
        for shard in self.shards() {
            let (shard_total, shard_unreachable) =
                shard.with(|router| router.directory.reachability(now, domain));
            total += shard_total;
            unreachable += shard_unreachable;
        }
        unreachable > 1 && unreachable * 2 >= total
    }

    /// Records contact with a peer.
    pub(crate) fn record_contact(&self, name: &str, version: u64) {
        let now = self.clock.now();
        let mut peers = self.peers();
        let peer = peers.entry(name.to_owned()).or_default();
        peer.last_contact = Some(now);
        peer.config_version = peer.config_version.max(version);
        if peer.unreachable_since_ms.take().is_some() {
            log::info!("{}: entry {name} is back", self.cfg.name);
        }
    }

    fn record_failed_contact(&self, name: &str) {
        let now = self.clock.now();
        let unix_ms = self.clock.unix_ms();
        let mut peers = self.peers();
        let peer = peers.entry(name.to_owned()).or_default();
        let unreachable_for =
            peer.last_contact.map_or(PEER_TIMEOUT, |at| now.saturating_duration_since(at));
        if unreachable_for >= PEER_TIMEOUT && peer.unreachable_since_ms.is_none() {
            peer.unreachable_since_ms =
                Some(unix_ms.saturating_sub(unreachable_for.as_millis() as u64));
            log::warn!("{}: entry {name} is cut off", self.cfg.name);
        }
    }
}
