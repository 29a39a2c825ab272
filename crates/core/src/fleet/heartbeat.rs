//! [`Heartbeat`]: the periodic announcement of an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use crocustally_wire::EndpointBeat;

/// Lifecycle state that an endpoint announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatState {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint finishes its running requests and accepts no new ones.
    Draining,
    /// The endpoint has shut down, or another one has taken over its address.
    Gone,
}

impl HeartbeatState {
    /// The number that encodes the state on the wire.
    pub fn number(self) -> u32 {
        match self {
            Self::Ready => 0,
            Self::Draining => 1,
            Self::Gone => 2,
        }
    }

    /// The inverse of [`HeartbeatState::number`]; unknown numbers decode as
    /// [`HeartbeatState::Gone`].
    pub fn from_number(n: u32) -> Self {
        match n {
            0 => Self::Ready,
            1 => Self::Draining,
            _ => Self::Gone,
        }
    }
}

/// A validated heartbeat of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identity of the endpoint; usually a new one after each restart.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Start time of this incarnation, in Unix milliseconds by the endpoint's own clock; it
    /// distinguishes the incarnations of an endpoint.
    pub born_ms: u64,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Lifecycle state.
    pub state: HeartbeatState,
    /// Remaining warm-up time; zero if the endpoint is warm.
    pub cold_remaining: Duration,
}

/// Error for a message that is not a valid heartbeat, such as one with an invalid address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedHeartbeat;

impl Heartbeat {
    /// Encodes the heartbeat for another process, `age` after it was received.
    pub fn to_wire(&self, age: Duration) -> EndpointBeat {
        EndpointBeat {
            id: self.id.clone(),
            service: self.service.clone(),
            address: self.address.to_string(),
            domain: self.domain.clone(),
            born_ms: self.born_ms,
            sequence: self.sequence,
            slots: self.slots,
            state: self.state.number(),
            cold_ms: self.cold_remaining.as_millis().min(u128::from(u32::MAX)) as u32,
            age_ms: age.as_millis().min(u128::from(u32::MAX)) as u32,
        }
    }
}

impl TryFrom<EndpointBeat> for Heartbeat {
    type Error = MalformedHeartbeat;

    fn try_from(b: EndpointBeat) -> Result<Self, MalformedHeartbeat> {
        Ok(Self {
            id: b.id,
            service: b.service,
            address: b.address.parse().map_err(|_| MalformedHeartbeat)?,
            domain: b.domain,
            born_ms: b.born_ms,
            sequence: b.sequence,
            slots: b.slots,
            state: HeartbeatState::from_number(b.state),
            cold_remaining: Duration::from_millis(u64::from(b.cold_ms)),
        })
    }
}
