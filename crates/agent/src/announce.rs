//! Periodic announcement of the endpoint to all entries in the settings, and handling of their
//! directives.

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
use crate::agent::EntryDirective;

/// Interval between announcements to one entry.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1000);
/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Starts one announcement task per entry, so that an unreachable entry does not delay the others.
pub(crate) fn start(agent: &Arc<Agent>, advertised: SocketAddr) {
    for entry in agent.cfg.entries.clone() {
        agent.rt.spawn(announce_periodically(agent.clone(), advertised, entry));
    }
}

async fn announce_periodically(agent: Arc<Agent>, advertised: SocketAddr, entry: SocketAddr) {
    let channel = Channel::with_source(&agent.rt, entry, agent.cfg.source);
    let mut client = EntryClient::with_origin(channel.clone(), channel.origin());
    let mut name_was_taken = false;
    loop {
        let record = endpoint_record(&agent, advertised);
        let config_version = agent.config_version();
        let req = AnnounceRequest { record: Some(record), config_version };
        let reply = timeout(ANNOUNCE_TIMEOUT, client.announce(req)).await;
        if let Some(Ok(reply)) = reply {
            let r = reply.into_inner();
            let name_taken = r.code == u32::from(Code::NameTaken.number());
            if name_taken && !name_was_taken {
                log::warn!("{}: {} {}", agent.cfg.name, r.code, Code::NameTaken.text());
            }
            name_was_taken = name_taken;
            let drain = r.domain_out || r.draining;
            agent
                .apply_directive(entry, EntryDirective { config_version: r.config_version, drain });
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

fn endpoint_record(agent: &Agent, advertised: SocketAddr) -> EndpointRecord {
    EndpointRecord {
        name: agent.cfg.name.clone(),
        address: advertised.to_string(),
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
