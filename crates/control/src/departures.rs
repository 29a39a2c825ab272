//! Departures of endpoints: one instance is told, and all have to know.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crocustally_core::fleet::HeartbeatState;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire as wire;
use crocustally_wire::DepartureList;
use crocustally_wire::EndpointBeat;
use crocustally_wire::ListDeparturesRequest;
use crocustally_wire::control_client::ControlClient;

use crate::Control;

/// Time to tell another instance of a departure. Endpoints wait a second for their acknowledgement.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which an instance fetches what the others have heard of.
const FETCH_PERIOD: Duration = Duration::from_secs(2);

impl Control {
    /// Records departures of which another instance has heard.
    pub(crate) fn record_departures(&self, notices: Vec<EndpointBeat>) {
        for new in self.soft_state().record_departures(self.clock.now(), notices) {
            let (id, born) = (new.id.as_str(), new.born_ms);
            let state = format!("{:?}", HeartbeatState::from_number(new.state));
            log::info!(endpoint = id, born = born, state = state.as_str(); "endpoint departs");
        }
    }

    /// Fetches the departures that other instances have heard of, for as long as the process runs.
    ///
    /// An instance that was down, cut off or not yet known when the others were told learns of them
    /// here, whether or not the instance that was told by the endpoint still runs.
    pub(crate) async fn fetch_departures(self: Arc<Self>) {
        let mut known: HashMap<String, ListDeparturesRequest> = HashMap::new();
        loop {
            let peers = self.log.peers();
            known.retain(|name, _| peers.iter().any(|(peer, _)| peer == name));
            let mut calls = Vec::new();
            for (name, channel) in peers {
                let req = known.get(&name).copied().unwrap_or_default();
                let call = async move {
                    let mut client = ControlClient::with_origin(channel.clone(), channel.origin());
                    let reply = timeout(TELL_TIMEOUT, client.list_departures(req)).await;
                    Some((name, reply?.ok()?.into_inner()))
                };
                calls.push(self.log.rt().spawn_task(call));
            }
            for call in calls {
                let Some((name, list)) = call.await else { continue };
                let DepartureList { run, revision, endpoints } = list;
                known.insert(name, ListDeparturesRequest { run: Some(run), revision });
                self.record_departures(endpoints);
            }
            sleep(FETCH_PERIOD).await;
        }
    }

    /// Tells all other instances of a departure, and waits for them for at most [`TELL_TIMEOUT`].
    ///
    /// After a restart of this one, a gateway that starts has only what the others know; their last
    /// heartbeat of the endpoint would bring it back into use.
    pub(crate) async fn spread_departure(&self, beat: EndpointBeat) {
        let mut calls = Vec::new();
        for (name, channel) in self.log.peers() {
            let departure = wire::Departure { endpoint: Some(beat.clone()) };
            let call = async move {
                let mut client = ControlClient::with_origin(channel.clone(), channel.origin());
                let told = timeout(TELL_TIMEOUT, client.depart(departure)).await;
                if told.is_none_or(|reply| reply.is_err()) {
                    log::warn!(instance = name.as_str(); "instance not told of a departure");
                }
            };
            calls.push(self.log.rt().spawn_task(call));
        }
        for call in calls {
            call.await;
        }
    }
}
