//! [`Explanation`]: where a pool would send a request now, and why.

use std::fmt;
use std::time::Duration;

use super::AdmissionClass;
use super::DispatchDecision;
use super::MemberKey;

/// Why a member does not get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The endpoint finishes its requests and accepts no new ones.
    Draining,
    /// The endpoint has shut down or has been replaced.
    Gone,
    /// The endpoint is ejected after failures, until this much later.
    Ejected(Duration),
    /// No process of the endpoint was found at its address.
    Ended,
    /// The endpoint has said in a response that it leaves.
    Leaving,
    /// The endpoint wants no requests for this time.
    Quiet(Duration),
    /// The endpoint's group accepts no requests.
    GroupClosed,
    /// The endpoint's failure domain is evacuated, or a newer incarnation has replaced it.
    OutOfService,
    /// The request has been sent there already.
    Tried,
    /// All slots of the endpoint are in use.
    Full,
    /// This gateway uses all of its part of the endpoint's connections.
    NoConnection,
    /// This gateway has used up its part of the rate limit of a cold endpoint.
    ColdLimit,
    /// The endpoint has refused a request since its last load report.
    Refused,
    /// The endpoint has too little free KV memory for the request.
    KvMemory,
    /// The endpoint's group has as many streams as it may have, or this gateway its part of them.
    GroupLimit,
    /// No endpoint of the group has a fresh load report, while those of another group have.
    GroupSilent,
    /// The endpoint's failure domain may be unreachable.
    SuspectDomain,
    /// The endpoint's load report is old, and endpoints with newer ones have room.
    LaggingReport,
    /// The request probes an endpoint in a failure domain that may be reachable again.
    OtherProbed,
}

/// Why a pool sends no request to any member, though there may be room at some.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldBack {
    /// This gateway has as many requests in flight as forward passes allow.
    GatewayLimit,
    /// Several endpoints have refused requests since the last load report.
    Refusals,
    /// The request needs more KV memory than an endpoint has.
    KvMemory,
    /// All gateways together have as many streams in flight as forward passes allow.
    FleetLimit,
    /// Requests of the same or higher urgency wait for a slot.
    QueuedAhead(usize),
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Draining => "draining",
            Self::Gone => "gone",
            Self::Ejected(time) => return write!(f, "ejected for {} ms", time.as_millis()),
            Self::Ended => "ended",
            Self::Leaving => "leaving",
            Self::Quiet(time) => return write!(f, "quiet for {} ms", time.as_millis()),
            Self::GroupClosed => "group closed",
            Self::OutOfService => "out of service",
            Self::Tried => "tried",
            Self::Full => "full",
            Self::NoConnection => "no connection left",
            Self::ColdLimit => "cold limit",
            Self::Refused => "has refused",
            Self::KvMemory => "KV memory full",
            Self::GroupLimit => "limit of the group",
            Self::GroupSilent => "group silent",
            Self::SuspectDomain => "suspect domain",
            Self::LaggingReport => "old report",
            Self::OtherProbed => "another is probed",
        })
    }
}

impl fmt::Display for HeldBack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::GatewayLimit => f.write_str("limit of the gateway"),
            Self::Refusals => f.write_str("endpoints refuse"),
            Self::KvMemory => f.write_str("more KV memory than an endpoint has"),
            Self::FleetLimit => f.write_str("limit of all gateways"),
            Self::QueuedAhead(n) => write!(f, "{n} requests ahead in the queue"),
        }
    }
}

/// One member in an [`Explanation`].
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainedMember {
    /// The member.
    pub key: MemberKey,
    /// Why it does not get the request; `None` if it may.
    pub obstacle: Option<Obstacle>,
    /// Estimated requests there.
    pub load: f64,
    /// Age of its load report; `None` without a fresh one.
    pub report_age: Option<Duration>,
    /// Tokens of the prompt that it is believed to hold.
    pub saved_tokens: u32,
    /// Prefill time that they save.
    pub saved: Duration,
    /// Estimated cost of the request there; lower is better.
    pub score: f64,
    /// Probability with which the request would be sent there, if it is sent now.
    pub probability: f64,
}

/// Where a request would go now.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Result of one dispatch; the member is one of those that could be drawn.
    pub decision: DispatchDecision,
    /// Why no member gets the request now.
    pub held_back: Option<HeldBack>,
    /// Class of the request; `None` without admission by urgency.
    pub class: Option<AdmissionClass>,
    /// Expected time in the queue, if the request would wait.
    pub expected_wait: Duration,
    /// All members by key.
    pub members: Vec<ExplainedMember>,
}
