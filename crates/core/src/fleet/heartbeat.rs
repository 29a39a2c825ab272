//! [`Heartbeat`]: what an endpoint says of itself in a heartbeat.

use std::net::SocketAddr;
use std::time::Duration;

use crocustally_wire::EndpointBeat;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatState {
    /// It takes work.
    Ready,
    /// It ends what it has and takes nothing new.
    Draining,
    /// It has left.
    Gone,
}

impl HeartbeatState {
    /// The number used between processes.
    pub fn number(self) -> u32 {
        match self {
            Self::Ready => 0,
            Self::Draining => 1,
            Self::Gone => 2,
        }
    }

    /// The inverse of [`HeartbeatState::number`]; anything unexpected is [`HeartbeatState::Gone`].
    pub fn from_number(n: u32) -> Self {
        match n {
            0 => Self::Ready,
            1 => Self::Draining,
            _ => Self::Gone,
        }
    }
}

/// A heartbeat of one endpoint, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identity of the endpoint; mostly a new one with each start.
    pub id: String,
    /// Service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub domain: String,
    /// When it started, in Unix milliseconds by its own clock: tells its incarnations apart.
    pub born_ms: u64,
    /// Counts its heartbeats within one incarnation.
    pub sequence: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: HeartbeatState,
    /// How much longer it stays cold.
    pub cold_remaining: Duration,
}

/// A message that is no heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedHeartbeat;

impl Heartbeat {
    /// The message for another process, `age` after the endpoint was heard.
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
            cold_ms: self.cold_remaining.as_millis() as u32,
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
