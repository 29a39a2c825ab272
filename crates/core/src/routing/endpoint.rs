//! [`Endpoint`]: an entry's view of one endpoint, from announcements and the entry's own requests.

use std::time::Duration;
use std::time::Instant;

use crocustally_wire::EndpointRecord;
use crocustally_wire::Load as LoadRecord;

/// Minimum stall timeout: an endpoint counts as stalled when no response has started for that long.
const STALL_MIN: Duration = Duration::from_millis(150);
/// Stall timeout as a multiple of the smoothed time to the first byte.
const STALL_FACTOR: u32 = 4;
/// Minimum first-byte timeout.
const FIRST_BYTE_TIMEOUT_MIN: Duration = Duration::from_millis(300);
/// First-byte timeout as a multiple of the smoothed time to the first byte.
const FIRST_BYTE_TIMEOUT_FACTOR: u32 = 8;
/// Maximum first-byte timeout.
const FIRST_BYTE_TIMEOUT_MAX: Duration = Duration::from_secs(5);

/// Index of an endpoint in the arena of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointKey(pub u32);

/// Load of an engine as reported by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of concurrent requests that the agent admits.
    pub limit: u32,
    /// Requests running at the time of the report.
    pub in_flight: u32,
    /// Start number of the engine; rises with every start.
    pub engine_start: u64,
    /// Whether the agent refuses new work.
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

/// A validated announcement of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the endpoint.
    pub name: String,
    /// Address of its agent.
    pub address: String,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Service of the endpoint.
    pub service: String,
    /// Incarnation of the agent; rises with every start.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// Load at the time of the announcement.
    pub load: Load,
    /// Time since the agent made the announcement.
    pub age: Duration,
    /// Version of the configuration that the agent applies.
    pub config_version: u64,
    /// Prompt prefixes that the engine has cached lately.
    pub prefixes: Vec<u64>,
}

/// An announcement without a name, an address, a service or an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidAnnouncement;

impl TryFrom<EndpointRecord> for Announcement {
    type Error = InvalidAnnouncement;

    fn try_from(r: EndpointRecord) -> Result<Self, InvalidAnnouncement> {
        let incomplete = r.name.is_empty() || r.address.is_empty() || r.service.is_empty();
        if incomplete || r.incarnation == 0 {
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
    /// When the lease expires.
    pub lease_expires_at: Instant,
    /// When the newest announcement was made, on this entry's clock.
    pub announced_at: Instant,
    /// Requests of this entry that run there now.
    pub local_in_flight: u32,
    /// Requests of this entry that ran there when the newest load report arrived.
    pub local_in_flight_at_report: u32,
    /// Requests of this entry whose response has not started.
    pub awaiting_first_byte: u32,
    /// When the first of them was sent, or a response last started.
    pub first_byte_awaited_since: Option<Instant>,
    /// When the endpoint was last found unreachable; cleared by a later announcement.
    pub unreachable_since: Option<Instant>,
    /// No requests are sent before this time, after refusals or failures.
    pub backoff_until: Option<Instant>,
    /// Consecutive refusals and failures.
    pub consecutive_failures: u32,
    /// Whether the newest announcement came from the agent and not through another entry.
    pub direct: bool,
    /// Disabled by configuration: the domain is out, or the endpoint is to drain.
    pub disabled: bool,
    /// Directory revision of the last significant change; gossip sends endpoints above the last
    /// revision sent.
    pub revision: u64,
}

impl Endpoint {
    /// Estimated requests in flight: the last report, corrected for this entry's requests since.
    pub fn estimated_in_flight(&self) -> u32 {
        (self.announcement.load.in_flight + self.local_in_flight)
            .saturating_sub(self.local_in_flight_at_report)
            .max(self.local_in_flight)
    }

    /// Whether the lease is valid and the endpoint may get new work.
    pub fn usable(&self, now: Instant) -> bool {
        let backing_off = self.backoff_until.is_some_and(|t| t > now);
        let unreachable = self.unreachable_since.is_some();
        self.lease_expires_at > now
            && !self.disabled
            && !self.announcement.load.draining
            && !backing_off
            && !unreachable
    }

    /// Whether responses are outstanding and none has started for far longer than usual.
    pub fn stalled(&self, now: Instant) -> bool {
        let stall_timeout = STALL_MIN.max(self.announcement.load.first_byte * STALL_FACTOR);
        let since = self.first_byte_awaited_since.filter(|_| self.awaiting_first_byte > 0);
        since.is_some_and(|t| now.saturating_duration_since(t) > stall_timeout)
    }

    /// How long to wait for the first byte before the request is sent to another endpoint.
    pub fn first_byte_timeout(&self) -> Duration {
        (self.announcement.load.first_byte * FIRST_BYTE_TIMEOUT_FACTOR)
            .clamp(FIRST_BYTE_TIMEOUT_MIN, FIRST_BYTE_TIMEOUT_MAX)
    }

    /// Whether a slot is free by this entry's estimate.
    pub fn has_capacity(&self) -> bool {
        self.estimated_in_flight() < self.announcement.load.limit
    }

    /// The announcement as a record for gossip, with its age at `now`.
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
