//! [`Refusals`]: recent refusals by the endpoints of a service.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::MemberKey;

/// Time within which refusals by different endpoints show that the service accepts nothing: several
/// sends of one request that endpoints refuse, or those of some requests.
const REFUSAL_WINDOW: Duration = Duration::from_millis(300);
/// Endpoints that must refuse. One or two may be full by chance when the fleet is nearly so; requests that
/// wait for a report then would find a place elsewhere.
const REFUSING_ENDPOINTS_MIN: usize = 3;
/// Longest time without sends if no report arrives. Reports are 0.1 to 0.3 s apart, so it passes only if
/// they have ended.
const CLOSED_TIME_MAX: Duration = Duration::from_millis(500);

/// Refusals since the last response, and whether the service counts as closed because of them.
///
/// Load reports are some tenths of a second old. When a group stalls or all places are taken, each
/// request would be sent to one endpoint after another until the next reports. After some refusals
/// the requests wait for that report instead.
#[derive(Clone, Debug, Default)]
pub(super) struct Refusals {
    refused: SmallVec<[(MemberKey, Instant); 4]>,
    closed_at: Option<Instant>,
}

impl Refusals {
    /// Records a refusal; returns whether the service counts as closed from now on.
    pub(super) fn record_refusal(&mut self, now: Instant, key: MemberKey) -> bool {
        let expired = |at: Instant| now.saturating_duration_since(at) > REFUSAL_WINDOW;
        self.refused.retain(|(k, at)| *k != key && !expired(*at));
        self.refused.push((key, now));
        if self.refused.len() < REFUSING_ENDPOINTS_MIN {
            return false;
        }
        self.refused.clear();
        let was_closed = self.is_closed(now);
        self.closed_at = Some(now);
        !was_closed
    }

    /// Records that an endpoint has accepted a request.
    pub(super) fn record_acceptance(&mut self) {
        self.refused.clear();
        self.closed_at = None;
    }

    /// Records a report of an endpoint that accepts requests.
    pub(super) fn record_open_report(&mut self, observed_at: Instant) {
        self.closed_at = self.closed_at.filter(|at| observed_at <= *at);
    }

    /// Whether no request is sent because endpoints have just refused.
    pub(super) fn is_closed(&self, now: Instant) -> bool {
        self.closed_at.is_some_and(|at| now.saturating_duration_since(at) < CLOSED_TIME_MAX)
    }
}
