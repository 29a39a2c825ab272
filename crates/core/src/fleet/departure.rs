//! [`Departure`]: the announcement of an endpoint that it leaves.

use std::time::Duration;

use crocustally_wire::EndpointBeat;

use super::HeartbeatState;

/// Start time on the wire of a departure that names none. Start times are below 2^53.
const ANY_START: u64 = u64::MAX;

/// The departure of one start of an endpoint, as the endpoint has announced it.
///
/// It is passed on as it was announced, and not as what an instance knows of the endpoint: that may be
/// an earlier start, a later one, or nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Identity of the endpoint.
    pub id: String,
    /// The start that leaves, as in [`super::Heartbeat::born_ms`]; all earlier ones are over as well.
    /// `None` if the endpoint did not name it: then the newest known start leaves.
    pub born_ms: Option<u64>,
}

impl Departure {
    /// Encodes the departure for another process, `age` after it was announced.
    pub fn to_wire(&self, age: Duration) -> EndpointBeat {
        EndpointBeat {
            id: self.id.clone(),
            born_ms: self.born_ms.unwrap_or(ANY_START),
            state: HeartbeatState::Gone.number(),
            age_ms: age.as_millis().min(u128::from(u32::MAX)) as u32,
            ..EndpointBeat::default()
        }
    }

    /// Decodes a departure; `None` for a heartbeat of an endpoint that has not left.
    pub fn from_wire(beat: &EndpointBeat) -> Option<Self> {
        let born_ms = (beat.born_ms != ANY_START).then_some(beat.born_ms);
        let is_gone = HeartbeatState::from_number(beat.state) == HeartbeatState::Gone;
        is_gone.then(|| Self { id: beat.id.clone(), born_ms })
    }
}
