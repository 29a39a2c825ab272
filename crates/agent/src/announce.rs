//! Announcing the endpoint to every entry in the settings, and learning what they want of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crocustally_core::Code;
use crocustally_net::Channel;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::AnnounceRequest;
use crocustally_wire::EndpointRecord;
use crocustally_wire::entry_client::EntryClient;

use crate::Agent;
use crate::agent::Wanted;

/// Time between announcements to one entry.
const PERIOD: Duration = Duration::from_millis(1000);
/// Longest time for one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Starts one announcer per entry, so that a lost one delays no other.
pub(crate) fn start(agent: &Arc<Agent>, bound: SocketAddr) {
    for entry in agent.cfg.entries.clone() {
        agent.rt.spawn(announce(agent.clone(), bound, entry));
    }
}

async fn announce(agent: Arc<Agent>, bound: SocketAddr, entry: SocketAddr) {
    let channel = Channel::with_source(&agent.rt, entry, agent.cfg.source);
    let mut client = EntryClient::with_origin(channel.clone(), channel.origin());
    let mut refused = false;
    loop {
        let record = record(&agent, bound);
        let config_version = agent.config_version();
        let req = AnnounceRequest { record: Some(record), config_version };
        let reply = timeout(ANNOUNCE_TIMEOUT, client.announce(req)).await;
        if let Some(Ok(reply)) = reply {
            let r = reply.into_inner();
            let taken = r.code == u32::from(Code::NameTaken.number());
            if taken && !refused {
                log::warn!("{}: {} {}", agent.cfg.name, r.code, Code::NameTaken.text());
            }
            refused = taken;
            let leave = r.domain_out || r.draining;
            agent.told(entry, Wanted { version: r.config_version, leave });
        }
        sleep(PERIOD).await;
    }
}

fn record(agent: &Agent, bound: SocketAddr) -> EndpointRecord {
    EndpointRecord {
        name: agent.cfg.name.clone(),
        address: bound.to_string(),
        domain: agent.cfg.domain.clone(),
        service: agent.cfg.service.clone(),
        incarnation: agent.incarnation,
        sequence: agent.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        load: Some(agent.load().into()),
        age_ms: 0,
        config_version: agent.config_version(),
        prefixes: agent.prefixes(),
    }
}
