//! [`Endpoint`]: what an entry knows of one endpoint, from announcements and its own requests.

use std::time::Duration;
use std::time::Instant;

use crocustally_wire::EndpointRecord;
use crocustally_wire::Load as LoadRecord;

/// Least time without a beginning answer that counts as a stall.
const STALL_MIN: Duration = Duration::from_millis(150);
/// The same, as a multiple of the usual time to the first byte.
const STALL_FACTOR: u32 = 4;
/// Least time before a request is sent elsewhere for want of a first byte.
const PATIENCE_MIN: Duration = Duration::from_millis(300);
/// The same, as a multiple of the usual time to the first byte.
const PATIENCE_FACTOR: u32 = 8;
/// Longest such time.
const PATIENCE_MAX: Duration = Duration::from_secs(5);

/// A key into the arena of one service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointKey(pub u32);

/// What an agent says about the load on its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that the agent admits at once.
    pub limit: u32,
    /// Requests running when the agent said this.
    pub in_flight: u32,
    /// Start number of the engine.
    pub engine_start: u64,
    /// Whether the agent takes no new work.
    pub draining: bool,
    /// Smoothed time to the first byte.
    pub first_byte: Duration,
}

impl From<&LoadRecord> for Load {
    fn from(r: &LoadRecord) -> Self {
        Self {
            limit: r.limit,
            in_flight: r.in_flight,
            engine_start: r.engine_start,
            draining: r.draining,
            first_byte: Duration::from_micros(u64::from(r.service_us)),
        }
    }
}

impl From<Load> for LoadRecord {
    fn from(l: Load) -> Self {
        Self {
            limit: l.limit,
            in_flight: l.in_flight,
            engine_start: l.engine_start,
            draining: l.draining,
            service_us: u32::try_from(l.first_byte.as_micros()).unwrap_or(u32::MAX),
        }
    }
}

/// One announcement, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the endpoint.
    pub name: String,
    /// Address of its agent.
    pub address: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// Service it serves.
    pub service: String,
    /// Incarnation of the agent; a later start has a higher one.
    pub incarnation: u64,
    /// Counts the announcements of one incarnation.
    pub sequence: u64,
    /// Load when it was said.
    pub load: Load,
    /// Time since the agent itself said it.
    pub age: Duration,
    /// Version of the configuration that the agent acts on.
    pub config_version: u64,
    /// Prompt prefixes that the engine said it has cached lately.
    pub prefixes: Vec<u64>,
}

/// An announcement without a name, an address, a service or an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidAnnouncement;

impl TryFrom<EndpointRecord> for Announcement {
    type Error = InvalidAnnouncement;

    fn try_from(r: EndpointRecord) -> Result<Self, InvalidAnnouncement> {
        let empty = r.name.is_empty() || r.address.is_empty() || r.service.is_empty();
        if empty || r.incarnation == 0 {
            return Err(InvalidAnnouncement);
        }
        Ok(Self {
            name: r.name,
            address: r.address,
            domain: r.domain,
            service: r.service,
            incarnation: r.incarnation,
            sequence: r.sequence,
            load: r.load.as_ref().map(Load::from).unwrap_or_default(),
            age: Duration::from_millis(u64::from(r.age_ms)),
            config_version: r.config_version,
            prefixes: r.prefixes,
        })
    }
}

/// One endpoint in the arena.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The newest announcement.
    pub announcement: Announcement,
    /// When its lease runs out.
    pub lease_expires_at: Instant,
    /// When the newest announcement was said, in this entry's time.
    pub announced_at: Instant,
    /// This entry's own requests there now.
    pub local_in_flight: u32,
    /// This entry's own requests there when the newest load was learnt.
    pub local_in_flight_at_report: u32,
    /// This entry's own requests there whose answer has not begun.
    pub awaiting_first_byte: u32,
    /// When the first of them was sent, or an answer last began.
    pub first_byte_awaited_since: Option<Instant>,
    /// When it was last found unreachable; word from it since then clears this.
    pub unreachable_since: Option<Instant>,
    /// Do not send here before this time, after refusals or failures.
    pub backoff_until: Option<Instant>,
    /// Consecutive refusals and failures.
    pub consecutive_failures: u32,
    /// Whether it announces itself to this entry, and not only to others.
    pub direct: bool,
    /// Taken out by configuration: its domain is out, or it has been told to drain.
    pub disabled: bool,
    /// Rises with every change; gossip sends what is above the last one sent.
    pub revision: u64,
}

impl Endpoint {
    /// Requests there, from the last report corrected by what this entry has done since.
    pub fn estimated_in_flight(&self) -> u32 {
        (self.announcement.load.in_flight + self.local_in_flight)
            .saturating_sub(self.local_in_flight_at_report)
            .max(self.local_in_flight)
    }

    /// Whether its lease holds and nothing bars new work.
    pub fn usable(&self, now: Instant) -> bool {
        let paused = self.backoff_until.is_some_and(|t| t > now);
        let lost = self.unreachable_since.is_some();
        self.lease_expires_at > now
            && !self.disabled
            && !self.announcement.load.draining
            && !paused
            && !lost
    }

    /// Whether it has begun no answer for far longer than usual, though it owes some.
    pub fn stalled(&self, now: Instant) -> bool {
        let bound = STALL_MIN.max(self.announcement.load.first_byte * STALL_FACTOR);
        let since = self.first_byte_awaited_since.filter(|_| self.awaiting_first_byte > 0);
        since.is_some_and(|t| now.saturating_duration_since(t) > bound)
    }

    /// How long an answer may take to begin before it is worth asking elsewhere.
    pub fn first_byte_timeout(&self) -> Duration {
        (self.announcement.load.first_byte * PATIENCE_FACTOR).clamp(PATIENCE_MIN, PATIENCE_MAX)
    }

    /// Whether it has room, as far as this entry can tell.
    pub fn has_capacity(&self) -> bool {
        self.estimated_in_flight() < self.announcement.load.limit
    }

    /// The announcement with its age at `now`, for passing on.
    pub fn to_record(&self, now: Instant) -> EndpointRecord {
        let a = &self.announcement;
        let age = now.saturating_duration_since(self.announced_at);
        EndpointRecord {
            name: a.name.clone(),
            address: a.address.clone(),
            domain: a.domain.clone(),
            service: a.service.clone(),
            incarnation: a.incarnation,
            sequence: a.sequence,
            load: Some(a.load.into()),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            config_version: a.config_version,
            prefixes: a.prefixes.clone(),
        }
    }
}
