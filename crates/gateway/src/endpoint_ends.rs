//! Detection of endpoints that ended while they held requests, and reports of the prompts at fault.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::Digest;
use crocustally_core::control::PartSet;
use crocustally_core::control::PromptPart;
use crocustally_core::control::list_parts;
use crocustally_core::dispatch::Member;
use crocustally_core::dispatch::MemberKey;
use crocustally_core::dispatch::RequestOutcome;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::Registration;
use crocustally_net::Channel;
use crocustally_net::ConnectionCheck;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::CrashReport;
use crocustally_wire::EndpointEnd;
use crocustally_wire::GatewayNotice;
use crocustally_wire::PromptParts;
use crocustally_wire::ServiceParts;
use crocustally_wire::TrialRequest;
use crocustally_wire::control_client::ControlClient;
use event_listener::Event;
use futures_lite::future;

use crate::Gateway;
use crate::exchange::Exchange;
use crate::suspects;

/// Time after its first event from which an answer cannot be what ends its endpoint: a prompt crashes
/// endpoints when they begin to answer it, and several forward passes have passed since.
pub(crate) const BEGINNING: Duration = Duration::from_millis(500);
/// Silence after which a caller that leaves may have left because the endpoint had ended: half of the
/// shortest time for which callers wait for an event.
const SUSPICIOUS_SILENCE: Duration = Duration::from_millis(1000);
/// Age up to which a report of an endpoint's agent shows that the endpoint is up: several of its
/// intervals, and the way over a control instance.
const REPORT_AGE_MAX: Duration = Duration::from_millis(700);
/// Pauses between the checks of an endpoint that broke off a request: its listener may still be
/// closing, and its successor takes a heartbeat to be known.
const CHECK_PAUSES: [Duration; 5] = [
    Duration::from_millis(50),
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(1000),
    Duration::from_millis(1500),
];
/// Pauses between the checks of an endpoint that has been silent during a request. Together with the
/// time-outs of its connections they are longer than the usual interval between two heartbeats, so one
/// that is only cut off from this gateway is heard meanwhile.
const SILENT_CHECK_PAUSES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(300), Duration::from_millis(1000)];
/// Interval between the checks of an endpoint that accepts connections but may hang.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time from the start of the checks until an endpoint that hangs has been replaced, or a sound
/// one is heard again: several intervals between heartbeats.
const HANG_CHECK_MAX: Duration = Duration::from_secs(8);
/// Time after an interruption within which a heartbeat from before it may arrive: the interval between
/// two batches of a control instance, and the way.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(300);
/// Delay before pending reports are sent, so that one call carries many.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Timeout of a report to one control instance.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause before reports are sent again that no control instance has taken.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Interval between two questions of a gateway whether a trial is due; also the time for which a grant
/// can be used.
const TRIAL_ASK_INTERVAL: Duration = Duration::from_secs(10);
/// Ends that may wait to be reported; further ones are dropped.
const ENDS_PENDING_MAX: usize = 1024;
/// The same for the parts of the requests that were in flight at these ends: 2 MiB.
const PARTS_PENDING_MAX: usize = 262_144;
/// Parts of requests in one report, unless a single end has more: a quarter of the longest message.
const PARTS_REPORTED_MAX: usize = 131_072;

/// Incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Incarnation {
    endpoint: String,
    born_ms: u64,
}

impl Incarnation {
    fn of(registration: &Registration) -> Self {
        let beat = &registration.heartbeat;
        Self { endpoint: beat.id.clone(), born_ms: beat.born_ms }
    }

    /// Whether another incarnation has been heard at its address or under its id.
    fn is_replaced(&self, gateway: &Gateway) -> bool {
        let fleet = gateway.fleet();
        let registration = fleet.registry.get(&self.endpoint);
        registration.is_some_and(|r| r.replaced || r.heartbeat.born_ms > self.born_ms)
    }
}

/// Whether another incarnation has been heard in place of the member `key`.
pub(crate) fn is_replaced(ex: &Exchange, key: MemberKey) -> bool {
    let incarnation =
        ex.slot_pool.with_pool(|pool| pool.member(key).map(|m| Incarnation::of(&m.registration)));
    incarnation.is_none_or(|i| i.is_replaced(&ex.gateway))
}

/// A request in flight at an endpoint, and the shared parts of its prompt, if any are known.
pub(crate) struct InFlight {
    gateway: Arc<Gateway>,
    service: String,
    parts: PartSet,
    key: MemberKey,
    incarnation: Incarnation,
    domain: String,
    address: SocketAddr,
    digest: Digest,
    sent_at: Instant,
}

/// Prompt of a request that was in flight at an endpoint.
#[derive(Clone, Debug)]
struct Suspicion {
    parts: PartSet,
    digest: Digest,
    sent_at: Instant,
}

/// End of an endpoint that is to be reported.
#[derive(Clone, Debug)]
struct NoticedEnd {
    service: String,
    incarnation: Incarnation,
    noticed_at: Instant,
    requests: Vec<Suspicion>,
}

/// A question whether a trial is due, and its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    asked_at: Instant,
    granted: bool,
}

/// Questions for trials by service and blocked parts.
pub(crate) type Trials = HashMap<(String, PartSet), Trial>;

/// Ends and sound parts that are to be reported.
#[derive(Debug, Default)]
pub(crate) struct CrashReports {
    pending: Mutex<Pending>,
    changed: Event,
}

#[derive(Debug, Default)]
struct Pending {
    /// Requests in flight at endpoints that are being checked.
    checks: HashMap<Incarnation, Vec<Suspicion>>,
    ends: Vec<NoticedEnd>,
    sound: BTreeMap<String, BTreeSet<PromptPart>>,
}

impl NoticedEnd {
    fn part_count(&self) -> usize {
        self.requests.iter().map(|r| r.parts.len()).sum()
    }
}

impl Pending {
    fn part_count(&self) -> usize {
        self.ends.iter().map(NoticedEnd::part_count).sum()
    }

    /// Takes the ends of the next report, the oldest first.
    fn take_ends(&mut self) -> Vec<NoticedEnd> {
        let mut parts = 0;
        let fits = |end: &&NoticedEnd| {
            parts += end.part_count();
            parts <= PARTS_REPORTED_MAX
        };
        let count = self.ends.iter().take_while(fits).count().max(1).min(self.ends.len());
        self.ends.drain(..count).collect()
    }
}

impl InFlight {
    pub(crate) fn new(ex: &Exchange, key: MemberKey, registration: Registration) -> Self {
        let beat = registration.heartbeat;
        Self {
            gateway: ex.gateway.clone(),
            service: beat.service,
            parts: ex.meta.shared_parts.clone(),
            key,
            incarnation: Incarnation { endpoint: beat.id, born_ms: beat.born_ms },
            domain: beat.domain,
            address: beat.address,
            digest: ex.digest,
            sent_at: ex.now(),
        }
    }

    /// Checks in the background whether the endpoint has ended, if the outcome may be due to that.
    /// `answered_for` is the time since the first event, `silent_for` the time since the last one.
    pub(crate) fn ended(
        self,
        outcome: RequestOutcome,
        answered_for: Option<Duration>,
        silent_for: Duration,
    ) {
        let has_parts = !self.parts.is_empty();
        let silent = match outcome {
            RequestOutcome::Broken => false,
            RequestOutcome::Silent if has_parts => true,
            RequestOutcome::Unused if has_parts && silent_for >= SUSPICIOUS_SILENCE => true,
            _ => return,
        };
        let began_before = has_parts
            && answered_for.is_some_and(|time| time.saturating_sub(silent_for) >= BEGINNING);
        if began_before || self.leaves_as_announced() {
            return;
        }
        let gateway = self.gateway.clone();
        let mut pending = gateway.crash_reports.lock();
        if let Some(requests) = pending.checks.get_mut(&self.incarnation) {
            requests.push(self.suspicion());
            return;
        }
        pending.checks.insert(self.incarnation.clone(), vec![self.suspicion()]);
        drop(pending);
        let rt = gateway.rt.clone();
        rt.spawn(self.check(silent));
    }

    fn suspicion(&self) -> Suspicion {
        Suspicion { parts: self.parts.clone(), digest: self.digest, sent_at: self.sent_at }
    }

    /// Whether the endpoint has announced that it leaves, by a heartbeat or in a response.
    fn leaves_as_announced(&self) -> bool {
        let pool = self.gateway.pool(&self.service);
        if pool.with_pool(|pool| pool.member(self.key).is_some_and(Member::is_leaving)) {
            return true;
        }
        let fleet = self.gateway.fleet();
        let registration = fleet.registry.get(&self.incarnation.endpoint);
        registration.is_some_and(|r| {
            r.heartbeat.born_ms == self.incarnation.born_ms
                && r.heartbeat.state != HeartbeatState::Ready
                && !r.replaced
        })
    }

    async fn check(self, silent: bool) {
        let noticed_at = self.gateway.clock.now();
        let ended = self.has_ended(silent).await;
        let gateway = &self.gateway;
        let requests = gateway.crash_reports.lock().checks.remove(&self.incarnation);
        let requests = requests.unwrap_or_default();
        log::info!(
            endpoint = self.incarnation.endpoint.as_str(),
            service = self.service.as_str(),
            ended = ended,
            silent = silent,
            requests = parts_text(&requests).as_str();
            "endpoint checked after requests broke off"
        );
        if !ended {
            return;
        }
        for request in &requests {
            let Incarnation { endpoint, born_ms } = &self.incarnation;
            suspects::report_crash(gateway, request.digest, endpoint, *born_ms);
        }
        let requests: Vec<_> = requests.into_iter().filter(|r| !r.parts.is_empty()).collect();
        if requests.is_empty() {
            return;
        }
        let mut pending = gateway.crash_reports.lock();
        if pending.ends.len() >= ENDS_PENDING_MAX || pending.part_count() >= PARTS_PENDING_MAX {
            let endpoint = self.incarnation.endpoint.as_str();
            log::error!(endpoint = endpoint; "end of an endpoint not reported: too many");
            return;
        }
        pending.ends.push(NoticedEnd {
            service: self.service.clone(),
            incarnation: self.incarnation.clone(),
            noticed_at,
            requests,
        });
        drop(pending);
        gateway.crash_reports.changed.notify(1);
    }

    /// Whether the endpoint has ended: its address refuses connections, another incarnation has taken
    /// over, or neither it nor its address responds although its failure domain does.
    async fn has_ended(&self, silent: bool) -> bool {
        let interrupted_at = self.gateway.clock.now();
        let client = self.gateway.endpoint_client(self.address);
        let pauses = if silent { &SILENT_CHECK_PAUSES[..] } else { &CHECK_PAUSES[..] };
        let mut connection = ConnectionCheck::Silent;
        for pause in pauses {
            sleep(*pause).await;
            if self.is_replaced() {
                return true;
            }
            if self.leaves_as_announced() {
                return false;
            }
            // Once something listens there, only a heartbeat tells whether it is a successor.
            if connection != ConnectionCheck::Accepts {
                connection = client.check_connection().await;
            }
            if connection == ConnectionCheck::Refuses {
                return true;
            }
        }
        match connection {
            ConnectionCheck::Silent => self.is_silent_alone(interrupted_at),
            ConnectionCheck::Accepts if silent => self.ends_before_heard(interrupted_at).await,
            ConnectionCheck::Accepts | ConnectionCheck::Refuses => false,
        }
    }

    /// Waits until an endpoint whose kernel still accepts connections is heard again or replaced;
    /// returns whether it was replaced. Its requests must not be forgotten meanwhile, since nobody else
    /// can be at fault.
    async fn ends_before_heard(&self, interrupted_at: Instant) -> bool {
        while self.gateway.clock.now() < interrupted_at + HANG_CHECK_MAX {
            if self.is_replaced() {
                return true;
            }
            if self.leaves_as_announced() || self.is_heard_since(interrupted_at) {
                return false;
            }
            sleep(HANG_CHECK_INTERVAL).await;
        }
        false
    }

    /// Whether a heartbeat has come that the endpoint sent after the interruption.
    fn is_heard_since(&self, interrupted_at: Instant) -> bool {
        let fleet = self.gateway.fleet();
        let registration = fleet.registry.get(&self.incarnation.endpoint);
        registration.is_some_and(|r| r.received_at > interrupted_at + HEARTBEAT_DELAY)
    }

    fn is_replaced(&self) -> bool {
        self.incarnation.is_replaced(&self.gateway)
    }

    /// Whether no heartbeat of the endpoint has come since the interruption, while most of the others
    /// in its failure domain are heard: a domain that is cut off has not ended.
    fn is_silent_alone(&self, interrupted_at: Instant) -> bool {
        if self.is_heard_since(interrupted_at) {
            return false;
        }
        let fleet = self.gateway.fleet();
        let in_domain = |r: &&Registration| {
            r.heartbeat.domain == self.domain
                && r.heartbeat.state == HeartbeatState::Ready
                && r.heartbeat.id != self.incarnation.endpoint
        };
        let others = fleet.registry.iter().filter(in_domain);
        let (mut heard, mut count) = (0, 0);
        for r in others {
            count += 1;
            heard += u32::from(r.received_at + SUSPICIOUS_SILENCE > interrupted_at);
        }
        2 * heard > count
    }
}

impl CrashReports {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Completes once the endpoint of a stream that has not begun turns out to be unreachable, in time for
/// another one: it has been silent, its agent reports nothing, and its address does not respond.
pub(crate) async fn unreachable(ex: &Exchange, key: MemberKey, address: SocketAddr) {
    sleep(SUSPICIOUS_SILENCE).await;
    let now = ex.now();
    let mut tried = ex.tried.clone();
    tried.push(key);
    let (reported, elsewhere) = ex.slot_pool.with_pool(|pool| {
        let age = pool.member(key).and_then(|m| m.report_age(now));
        (age.is_some_and(|age| age < REPORT_AGE_MAX), pool.may_retry_elsewhere(now, &tried))
    });
    let client = ex.gateway.endpoint_client(address);
    let connects = async { client.check_connection().await == ConnectionCheck::Accepts };
    if reported || !elsewhere || connects.await {
        future::pending().await
    }
    client.discard_idle();
}

/// Reports the suspects among the parts of a request whose answer has turned out sound.
pub(crate) fn report_sound(ex: &Exchange) {
    if ex.meta.shared_parts.is_empty() {
        return;
    }
    let service = &ex.access_log.service;
    let suspects = ex.gateway.fleet().part_filter.suspects(service, &ex.meta.shared_parts);
    if suspects.is_empty() {
        return;
    }
    let reports = &ex.gateway.crash_reports;
    reports.lock().sound.entry(service.clone()).or_default().extend(suspects);
    reports.changed.notify(1);
}

/// Asks in the background whether a request with blocked parts may be sent as a trial. The request that
/// gave the occasion is refused; the next one may use the grant.
pub(crate) fn ask_for_trial(gateway: &Arc<Gateway>, service: &str, parts: &PartSet) {
    let now = gateway.clock.now();
    let key = (service.to_owned(), parts.clone());
    {
        let mut trials = gateway.trials.lock().unwrap_or_else(PoisonError::into_inner);
        trials.retain(|_, t| now.saturating_duration_since(t.asked_at) < TRIAL_ASK_INTERVAL);
        if trials.contains_key(&key) {
            return;
        }
        trials.insert(key.clone(), Trial { asked_at: now, granted: false });
    }
    let gateway = gateway.clone();
    gateway.rt.clone().spawn(async move {
        let req = TrialRequest { service: key.0.clone(), parts: key.1.to_wire(), at_ms: 0 };
        for (_, mut client) in control_clients(&gateway) {
            let Some(Ok(reply)) = timeout(REPORT_TIMEOUT, client.trial(req.clone())).await else {
                continue;
            };
            let mut trials = gateway.trials.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(trial) = trials.get_mut(&key) {
                trial.granted = reply.into_inner().granted;
            }
            return;
        }
    });
}

/// Uses up the grant of a trial, if there is one.
pub(crate) fn take_trial(gateway: &Gateway, service: &str, parts: &PartSet) -> bool {
    let key = (service.to_owned(), parts.clone());
    let mut trials = gateway.trials.lock().unwrap_or_else(PoisonError::into_inner);
    let asked_before = |t: &Trial| gateway.clock.now().saturating_duration_since(t.asked_at);
    let valid = |t: &&mut Trial| asked_before(t) < TRIAL_ASK_INTERVAL;
    trials.get_mut(&key).filter(valid).is_some_and(|t| std::mem::take(&mut t.granted))
}

/// Sends pending reports until a control instance has taken them.
pub(crate) async fn report_loop(gateway: Arc<Gateway>) {
    let reports = &gateway.crash_reports;
    loop {
        let changed = reports.changed.listen();
        let (ends, sound) = {
            let mut pending = reports.lock();
            (pending.take_ends(), std::mem::take(&mut pending.sound))
        };
        if ends.is_empty() && sound.is_empty() {
            changed.await;
            sleep(REPORT_DELAY).await;
            continue;
        }
        while !send_report(&gateway, &ends, &sound).await {
            sleep(REPORT_RETRY_PAUSE).await;
        }
    }
}

/// The message for a report, with ages as of `now`.
fn report(
    now: Instant,
    ends: &[NoticedEnd],
    sound: &BTreeMap<String, BTreeSet<PromptPart>>,
) -> CrashReport {
    let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
    let request =
        |s: &Suspicion| PromptParts { parts: s.parts.to_wire(), sent_ago_ms: age_ms(s.sent_at) };
    let end = |e: &NoticedEnd| EndpointEnd {
        service: e.service.clone(),
        endpoint: e.incarnation.endpoint.clone(),
        born_ms: e.incarnation.born_ms,
        requests: e.requests.iter().map(request).collect(),
        noticed_ago_ms: age_ms(e.noticed_at),
    };
    let sound = sound.iter().map(|(service, parts)| ServiceParts {
        service: service.clone(),
        parts: parts.iter().map(|p| p.0).collect(),
    });
    CrashReport { ends: ends.iter().map(end).collect(), sound: sound.collect(), at_ms: 0 }
}

/// Sends a report to one control instance after another; returns whether one has taken it.
async fn send_report(
    gateway: &Gateway,
    ends: &[NoticedEnd],
    sound: &BTreeMap<String, BTreeSet<PromptPart>>,
) -> bool {
    for (address, mut client) in control_clients(gateway) {
        let notice = GatewayNotice {
            name: gateway.cfg.name.clone(),
            report: Some(report(gateway.clock.now(), ends, sound)),
            ..GatewayNotice::default()
        };
        if let Some(Ok(_)) = timeout(REPORT_TIMEOUT, client.notice(notice)).await {
            return true;
        }
        let control = address.to_string();
        log::warn!(control = control.as_str(); "crash report not taken by a control instance");
    }
    false
}

/// Clients of the control instances; each gateway starts with another one, so that all carry a part.
fn control_clients(gateway: &Gateway) -> Vec<(SocketAddr, ControlClient<Channel>)> {
    let mut clients: Vec<_> =
        gateway.fleet().control_clients.iter().map(|(a, c)| (*a, c.clone())).collect();
    clients.sort_by_cached_key(|(address, _)| {
        Digest::of(&[gateway.cfg.name.as_bytes(), address.to_string().as_bytes()])
    });
    clients
}

/// Parts of several requests, for a log line.
fn parts_text(requests: &[Suspicion]) -> String {
    let request = |s: &Suspicion| list_parts(&s.parts.to_wire(), ",");
    requests.iter().map(request).collect::<Vec<_>>().join(" ")
}
