//! [`Reachability`]: failure domains that this gateway appears to be cut off from.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

/// Time within which two endpoints of a domain must fail for the domain to become suspect: the time
/// in which a gateway with a few requests per second sends to two of them.
const FAILURE_WINDOW: Duration = Duration::from_secs(1);
/// Endpoints that must fail: one alone may have failed by itself.
const FAILED_ENDPOINTS_MIN: usize = 2;
/// A failure does not count if the domain has responded within this time, or since the request was
/// sent: about half the time after which an endpoint counts as silent.
const RESPONSE_RECENT: Duration = Duration::from_millis(700);
/// Time from the start of a suspicion to the first probing request; it doubles with each further one.
const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Upper bound of the time between two probing requests.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// Time after which a probing request without a result no longer prevents the next one: longer than
/// the timeouts of requests. Its endpoint may have been replaced or moved meanwhile.
const PROBE_LOST_AFTER: Duration = Duration::from_secs(10);

/// Beginning or end of a suspicion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachabilityChange {
    /// The failure domain.
    pub domain: String,
    /// Whether the domain is suspect from now on.
    pub suspect: bool,
    /// For how long it has been suspect; zero at the beginning.
    pub lasted: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Instant,
    probe_at: Instant,
    interval: Duration,
    /// Endpoint with the probing request in flight.
    probing: Option<SocketAddr>,
}

#[derive(Clone, Debug, Default)]
struct DomainState {
    /// Endpoints that failed since the last response, with the time of the last failure.
    failures: SmallVec<[(SocketAddr, Instant); 4]>,
    last_response_at: Option<Instant>,
    suspicion: Option<Suspicion>,
}

/// Failure domains from which responses have stopped, as one gateway sees them.
///
/// Two endpoints of a domain that fail without a response from the domain in between make it suspect.
/// Any response ends the suspicion. The pools of all services of a gateway share this state, because
/// the path to a domain is the same for all of them.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    domains: BTreeMap<String, DomainState>,
    changes: Vec<ReachabilityChange>,
}

/// A [`Reachability`] that several pools share.
pub type SharedReachability = Arc<Mutex<Reachability>>;

impl Reachability {
    /// Records that an endpoint could not be reached, or was silent, for a request sent `held` ago.
    pub fn record_failure(
        &mut self,
        now: Instant,
        domain: &str,
        endpoint: SocketAddr,
        held: Duration,
    ) {
        let state = self.domains.entry(domain.to_owned()).or_default();
        if let Some(s) = &mut state.suspicion {
            s.probing = s.probing.filter(|p| *p != endpoint);
            return;
        }
        let since_response = state.last_response_at.map(|at| now.saturating_duration_since(at));
        if since_response.is_some_and(|time| time < held.min(RESPONSE_RECENT)) {
            return;
        }
        let expired = |at: Instant| now.saturating_duration_since(at) > FAILURE_WINDOW;
        state.failures.retain(|(e, at)| *e != endpoint && !expired(*at));
        state.failures.push((endpoint, now));
        if state.failures.len() >= FAILED_ENDPOINTS_MIN {
            state.failures.clear();
            state.suspicion = Some(Suspicion {
                since: now,
                probe_at: now + PROBE_INTERVAL_MIN,
                interval: PROBE_INTERVAL_MIN,
                probing: None,
            });
            let domain = domain.to_owned();
            let lasted = Duration::ZERO;
            self.changes.push(ReachabilityChange { domain, suspect: true, lasted });
        }
    }

    /// Records that an endpoint of the domain has responded.
    pub fn record_response(&mut self, now: Instant, domain: &str) {
        if !self.domains.contains_key(domain) {
            self.domains.insert(domain.to_owned(), DomainState::default());
        }
        let Some(state) = self.domains.get_mut(domain) else { return };
        state.last_response_at = Some(now);
        state.failures.clear();
        if let Some(s) = state.suspicion.take() {
            let lasted = now.saturating_duration_since(s.since);
            let domain = domain.to_owned();
            self.changes.push(ReachabilityChange { domain, suspect: false, lasted });
        }
    }

    /// Records that load reports from the domain have resumed: it may be probed at once.
    pub fn record_reports_resumed(&mut self, now: Instant, domain: &str) {
        if let Some(s) = self.domains.get_mut(domain).and_then(|d| d.suspicion.as_mut()) {
            s.probe_at = s.probe_at.min(now);
            s.interval = PROBE_INTERVAL_MIN;
        }
    }

    /// Records that a request to an endpoint ended without telling whether the domain is reachable.
    pub fn record_unknown(&mut self, domain: &str, endpoint: SocketAddr) {
        if let Some(s) = self.domains.get_mut(domain).and_then(|d| d.suspicion.as_mut()) {
            s.probing = s.probing.filter(|p| *p != endpoint);
        }
    }

    /// Whether any domain is suspect.
    pub fn any_suspect(&self) -> bool {
        self.domains.values().any(|d| d.suspicion.is_some())
    }

    /// Whether the domain is suspect.
    pub fn is_suspect(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|d| d.suspicion.is_some())
    }

    /// Whether the domain has responded within `time`.
    pub fn responded_within(&self, now: Instant, domain: &str, time: Duration) -> bool {
        let last = self.domains.get(domain).and_then(|d| d.last_response_at);
        last.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Whether the next request may probe the domain, which is suspect.
    pub fn is_probe_due(&self, now: Instant, domain: &str) -> bool {
        let suspicion = self.domains.get(domain).and_then(|d| d.suspicion.as_ref());
        suspicion.is_some_and(|s| {
            let wait = if s.probing.is_some() { PROBE_LOST_AFTER } else { Duration::ZERO };
            now >= s.probe_at + wait
        })
    }

    /// Records that a request is sent to an endpoint of a suspect domain as a probe.
    pub fn record_probe(&mut self, now: Instant, domain: &str, endpoint: SocketAddr) {
        if let Some(s) = self.domains.get_mut(domain).and_then(|d| d.suspicion.as_mut()) {
            s.probing = Some(endpoint);
            s.interval = (s.interval * 2).min(PROBE_INTERVAL_MAX);
            s.probe_at = now + s.interval;
        }
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ReachabilityChange> {
        std::mem::take(&mut self.changes)
    }
}
