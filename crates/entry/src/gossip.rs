//! Membership: what entries tell each other of endpoints, versions and local orders.

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
use crocustally_wire::PullRequest;
use crocustally_wire::TellRequest;
use crocustally_wire::agent_client::AgentClient;
use crocustally_wire::entry_client::EntryClient;

use crate::Entry;

/// Time between two rounds with one peer.
const PERIOD: Duration = Duration::from_millis(1000);
/// Every so many rounds a peer is told of all endpoints, so that their leases hold there too.
const REFRESH_ROUNDS: u64 = 2;
/// Longest time for one round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(1500);
/// A peer silent for this long counts as cut off.
const CUT_OFF_AFTER: Duration = Duration::from_secs(4);
/// Time between two ticks of the routing state.
const TICK: Duration = Duration::from_millis(20);

/// Longest time to tell a peer what cannot wait for the next round.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// Last revision told of each service.
type Revisions = HashMap<String, u64>;

/// Starts everything that an entry does by the clock.
pub(crate) fn start(entry: &Arc<Entry>) {
    for (name, channel) in entry.log.peers() {
        entry.rt.spawn(talk(entry.clone(), name, channel));
    }
    entry.rt.spawn(tick(entry.clone()));
    entry.rt.spawn(fold(entry.clone()));
    let stopping = entry.clone();
    entry.rt.spawn(async move {
        stopping.shutdown.drained().await;
        stopping.log.stop();
    });
}

/// Tells one peer what is new, and asks for a newer configuration where this instance has no log.
async fn talk(entry: Arc<Entry>, name: String, channel: Channel) {
    let mut client = EntryClient::with_origin(channel.clone(), channel.origin());
    let mut told = Revisions::new();
    let mut round = 0_u64;
    loop {
        round += 1;
        if round.is_multiple_of(REFRESH_ROUNDS) {
            told.clear();
        }
        let (records, revision) = entry.news(&told);
        let req = GossipRequest {
            entry: entry.cfg.name.clone(),
            domain: entry.cfg.domain.clone(),
            records,
            config_version: entry.config().version,
            local_out: entry.local_out(),
            quarantined: Vec::new(),
        };
        if let Some(Ok(reply)) = timeout(ROUND_TIMEOUT, client.gossip(req)).await {
            told = revision;
            let version = reply.into_inner().config_version;
            entry.hear(&name, version);
            if !entry.log.has_replica() && version > entry.config().version {
                pull(&entry, &mut client).await;
            }
        } else {
            // It may have restarted with nothing, so tell it everything next time.
            told.clear();
            entry.note_silence(&name);
        }
        sleep(PERIOD).await;
    }
}

async fn pull(entry: &Entry, client: &mut EntryClient<Channel>) {
    let have_version = entry.config().version;
    let Some(Ok(reply)) = timeout(ROUND_TIMEOUT, client.pull(PullRequest { have_version })).await
    else {
        return;
    };
    let reply = reply.into_inner();
    if let Ok(config) = serde_json::from_slice::<Config>(&reply.config) {
        entry.adopt(Arc::new(config), Suspects::import(reply.suspects));
    }
}

async fn tick(entry: Arc<Entry>) {
    loop {
        let now = entry.clock.now();
        for shard in entry.shards() {
            shard.update(|core| core.tick(now));
        }
        sleep(TICK).await;
    }
}

/// Folds domains that were taken out locally into the log, once a quorum can be reached.
async fn fold(entry: Arc<Entry>) {
    loop {
        sleep(PERIOD).await;
        for domain in entry.local_out() {
            if entry.log.leader().is_none() {
                continue;
            }
            let number = entry.config().next_number();
            let ticket =
                format!("number: {number}\ndomains:\n  - name: {domain}\n    state: out\n");
            let reply = entry.apply_ticket(ticket.as_bytes()).await;
            log::info!("{domain}: local order folded into the log: {}", reply.message);
        }
    }
}

impl Entry {
    /// Takes an announcement, heard from the agent itself or through another entry.
    pub(crate) fn merge(&self, said: Announcement, direct: bool) -> MergeOutcome {
        let now = self.clock.now();
        let shard = self.shard(&said.service);
        let (name, domain) = (said.name.clone(), said.domain.clone());
        let prefixes = said.prefixes.clone();
        let barred = self.domain_out(&domain) || self.config().endpoint_draining(&name);
        let mut merged = MergeOutcome::Stale;
        shard.update(|core| {
            merged = core.directory.merge(now, said, direct);
            let (MergeOutcome::New(key) | MergeOutcome::Updated(key)) = merged else {
                return QueueOutcomes::new();
            };
            core.record_cached_prefixes(key, &prefixes);
            if let Some(e) = core.directory.get_mut(key) {
                e.disabled = barred;
            }
            core.tick(now)
        });
        if let MergeOutcome::New(_) = merged {
            log::info!("{}: endpoint {name} in {domain} announced", self.cfg.name);
        }
        merged
    }

    /// Records of endpoints that announce themselves here and have news since `told`, and how far
    /// each service's news go now.
    fn news(&self, told: &Revisions) -> (Vec<EndpointRecord>, Revisions) {
        let now = self.clock.now();
        let mut records = Vec::new();
        let mut newest = Revisions::new();
        for (service, shard) in self.named_shards() {
            let after = told.get(&service).copied().unwrap_or(0);
            shard.with(|core| {
                let (news, revision) = core.directory.changed_since(after);
                records.extend(news.into_iter().filter(|e| e.direct).map(|e| e.to_record(now)));
                newest.insert(service, revision);
            });
        }
        (records, newest)
    }

    /// Tells the agents that announce themselves here what the configuration wants of them now,
    /// without waiting for their next announcement.
    pub(crate) fn tell_agents(self: &Arc<Self>) {
        let config = self.config();
        for (service, shard) in self.named_shards() {
            let told = shard.with(|core| {
                let direct = core.directory.iter().filter(|(_, e)| e.direct);
                let word = |(key, e): (EndpointKey, &Endpoint)| {
                    let leave = self.domain_out(&e.announcement.domain)
                        || config.endpoint_draining(&e.announcement.name);
                    (key, e.announcement.address.clone(), leave)
                };
                direct.map(word).collect::<Vec<_>>()
            });
            for (key, address, leave) in told {
                let (entry, service) = (self.clone(), service.clone());
                let version = config.version;
                self.rt.spawn(async move {
                    entry.tell_agent(&service, key, &address, version, leave).await;
                });
            }
        }
    }

    async fn tell_agent(
        &self,
        service: &str,
        key: EndpointKey,
        address: &str,
        config_version: u64,
        leave: bool,
    ) {
        let Some(channel) = self.agent(address) else { return };
        let mut client = AgentClient::with_origin(channel.clone(), channel.origin());
        let entry = self.cfg.peer_listen.to_string();
        let req = TellRequest { entry, config_version, leave };
        let Some(Ok(reply)) = timeout(ROUND_TIMEOUT, client.tell(req)).await else { return };
        let version = reply.into_inner().config_version;
        self.shard(service).with(|core| {
            if let Some(e) = core.directory.get_mut(key) {
                e.announcement.config_version = e.announcement.config_version.max(version);
            }
        });
    }

    /// Tells every entry that can be reached that a request is refused from now on.
    pub(crate) async fn tell_quarantine(&self, digest: Digest) {
        self.hear_quarantine(&[digest.to_bytes()]);
        let tell = |(_, channel): (String, Channel)| {
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
                timeout(TELL_TIMEOUT, client.gossip(req)).await.is_some()
            })
        };
        let told: Vec<_> = self.log.peers().into_iter().map(tell).collect();
        for t in told {
            t.await;
        }
    }

    /// Hears of requests that are refused from now on.
    pub(crate) fn hear_quarantine(&self, digests: &[Bytes]) {
        for digest in digests.iter().filter_map(|d| Digest::try_from(&d[..]).ok()) {
            while self.count_death_locally(digest) < DEATHS_BEFORE_QUARANTINE {}
        }
    }

    /// Whether half of a domain's endpoints or more cannot be reached: then the way there is cut, and
    /// no single request is to blame.
    pub(crate) fn seems_cut_off(&self, domain: &str) -> bool {
        let now = self.clock.now();
        let (mut all, mut lost) = (0, 0);
        for shard in self.shards() {
            let (a, l) = shard.with(|core| core.directory.reachability(now, domain));
            all += a;
            lost += l;
        }
        lost > 1 && lost * 2 >= all
    }

    /// Notes word from a peer.
    pub(crate) fn hear(&self, name: &str, version: u64) {
        let now = self.clock.now();
        let mut peers = self.peers();
        let word = peers.entry(name.to_owned()).or_default();
        word.at = Some(now);
        word.version = word.version.max(version);
        if word.silent_since_ms.take().is_some() {
            log::info!("{}: entry {name} is back", self.cfg.name);
        }
    }

    fn note_silence(&self, name: &str) {
        let now = self.clock.now();
        let unix_ms = self.clock.unix_ms();
        let mut peers = self.peers();
        let word = peers.entry(name.to_owned()).or_default();
        let silent = word.at.map_or(CUT_OFF_AFTER, |at| now.saturating_duration_since(at));
        if silent >= CUT_OFF_AFTER && word.silent_since_ms.is_none() {
            word.silent_since_ms = Some(unix_ms.saturating_sub(silent.as_millis() as u64));
            log::warn!("{}: entry {name} is cut off", self.cfg.name);
        }
    }
}
