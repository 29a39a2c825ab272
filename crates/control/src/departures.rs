//! Departures of endpoints: one instance is told, and all have to know.

use std::time::Duration;

use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_net::timeout;
use crocustally_wire::Departure;
use crocustally_wire::EndpointBeat;
use crocustally_wire::control_client::ControlClient;

use crate::Control;

/// Time to tell another instance of a departure. Endpoints wait a second for their acknowledgement.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

impl Control {
    /// Records a departure of which another instance was told.
    pub(crate) fn record_departure(&self, beat: EndpointBeat) {
        let now = self.clock.now();
        let (id, state) = (beat.id.clone(), HeartbeatState::from_number(beat.state));
        log::info!(endpoint = id.as_str(), state = format!("{state:?}").as_str(); "endpoint departs");
        if state == HeartbeatState::Gone {
            self.soft_state().mark_gone(now, &id, Some(beat.born_ms));
            return;
        }
        match Heartbeat::try_from(beat) {
            Ok(heartbeat) => {
                self.soft_state().record_heartbeat(now, heartbeat);
            }
            Err(_) => log::warn!(endpoint = id.as_str(); "malformed departure"),
        }
    }

    /// Tells all other instances of a departure, and waits for them for at most [`TELL_TIMEOUT`].
    ///
    /// After a restart of this one, a gateway that starts has only what the others know; their last
    /// heartbeat of the endpoint would bring it back into use.
    pub(crate) async fn spread_departure(&self, beat: EndpointBeat) {
        let mut calls = Vec::new();
        for (name, channel) in self.log.peers() {
            let departure = Departure { endpoint: Some(beat.clone()) };
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
