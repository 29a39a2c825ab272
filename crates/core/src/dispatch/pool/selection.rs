//! Selection of an endpoint for a request: load of the fleet, limits and costs.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use smallvec::SmallVec;
use smallvec::smallvec;

use super::Pool;
use super::reach::Avoidance;
use super::reach::Preference;
use crate::dispatch::AdmissionLimit;
use crate::dispatch::GroupState;
use crate::dispatch::HeldBack;
use crate::dispatch::Member;
use crate::dispatch::MemberKey;
use crate::dispatch::Obstacle;
use crate::dispatch::SizedPart;
use crate::dispatch::water_filling::draw_weighted;
use crate::dispatch::water_filling::water_filling_weights;
use crate::fleet::HeartbeatState;

/// Cost factor of a member in another failure domain.
const OTHER_DOMAIN_FACTOR: f64 = 1.15;
/// Weight of the failure rate in the cost of an endpoint without a model engine: the latency is
/// multiplied by 1 plus this weight times the failure rate.
const FAILURE_WEIGHT: f64 = 8.0;
/// Prompt tokens that count as one request of load: about the prefill of one forward pass.
const PROMPT_TOKENS_PER_REQUEST: f64 = 1024.0;
/// Assumed time that a request holds its slot, before the first measurement.
const HOLD_DEFAULT: Duration = Duration::from_millis(1500);
/// Time for which a random rounding of this gateway's part of the free places applies: about the
/// time between two reports.
const ROUNDING_PERIOD: Duration = Duration::from_millis(100);

/// Load of all endpoints of a pool, from their last reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FleetLoad {
    /// Requests at the endpoints when they were observed.
    requests: f64,
    /// Requests that this gateway has sent less those that have ended since.
    own_unreported: f64,
    /// Number of endpoints.
    endpoints: u32,
    /// Mean age of the observations in seconds.
    age_s: f64,
}

/// A member that could get a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) key: MemberKey,
    /// Estimated cost of the request there; lower is better.
    pub(super) score: f64,
    /// Age of the member's load report in seconds; the mean age without one.
    pub(super) age_s: f64,
    /// Tokens of the prompt that it is believed to hold.
    pub(super) saved_tokens: u32,
    /// Time saved by them.
    pub(super) saved: Duration,
    /// Wait there, for comparison with the others; 0 unless the service retains prompts.
    pub(super) wait_s: f64,
}

/// What a request asks of a member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand<'a> {
    pub(super) prompt_tokens: u32,
    /// KV memory in tokens.
    pub(super) kv_tokens: u32,
    /// Parts of the prompt in order.
    pub(super) parts: &'a [SizedPart],
    /// Members to which the request has been sent already.
    pub(super) tried: &'a [MemberKey],
}

/// The members that may get a request.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    pub(super) candidates: SmallVec<[Candidate; 32]>,
    /// Probabilities of the candidates, up to a common factor. Without a limiter, the first one with
    /// the lowest score has 1 and the others 0.
    pub(super) weights: SmallVec<[f64; 32]>,
    /// Whether the request probes the failure domain of its only candidate.
    pub(super) is_probe: bool,
}

/// Probability of each candidate by load alone, up to a common factor.
fn fill_weights(candidates: &[Candidate], fleet: &FleetLoad, arrivals: f64) -> SmallVec<[f64; 32]> {
    let loads: SmallVec<[f64; 32]> = candidates.iter().map(|c| c.score).collect();
    // The other gateways have filled an endpoint for as long as it was not observed.
    let unfilled = |c: &Candidate| (-c.age_s / fleet.age_s.max(1e-3)).exp();
    let unfilled: SmallVec<[f64; 32]> = candidates.iter().map(unfilled).collect();
    water_filling_weights(&loads, &unfilled, arrivals)
}

impl Pool {
    /// Selects the member for a request among those with a free slot: with a limiter by a weighted
    /// random draw, otherwise the one with the lowest cost. The request may fill the fleet as
    /// far as `admission` says.
    pub(super) fn choose_member(
        &mut self,
        now: Instant,
        admission: AdmissionLimit,
        demand: &Demand<'_>,
    ) -> Option<MemberKey> {
        let fleet = self.limit_reached(now, admission).ok()?;
        let avoidance = self.avoidance(now, demand.tried);
        let Ranking { candidates, weights, is_probe } = self.rank(now, &fleet, demand, &avoidance);
        if is_probe {
            let key = candidates.first()?.key;
            self.record_probe(now, key);
            return Some(key);
        }
        let index = match self.limiter {
            None => weights.iter().position(|w| *w > 0.0)?,
            Some(_) if candidates.is_empty() => return None,
            Some(_) => {
                let index = draw_weighted(&weights, &mut self.rng)?;
                self.prefer_connected(&candidates, index)
            }
        };
        Some(candidates[index].key)
    }

    /// Load of all endpoints, with several groups of those in the groups that get requests. Not summed
    /// up without a limiter, which alone needs it.
    pub(super) fn current_fleet_load(
        &mut self,
        now: Instant,
        admission: AdmissionLimit,
    ) -> FleetLoad {
        if self.has_groups() {
            self.scan_groups(now, admission);
            let (requests, age_s) = self.groups.open_load();
            return FleetLoad { requests, age_s, ..FleetLoad::default() };
        }
        if self.limiter.is_some() { self.fleet_load(now) } else { FleetLoad::default() }
    }

    /// The load of the fleet, or the limit that keeps this gateway from sending any request now. Several
    /// groups have limits of their own, see [`Pool::obstacle`].
    pub(super) fn limit_reached(
        &mut self,
        now: Instant,
        admission: AdmissionLimit,
    ) -> Result<FleetLoad, HeldBack> {
        if self.refusals.is_closed(now) {
            return Err(HeldBack::Refusals);
        }
        if self.has_groups() {
            return Ok(self.current_fleet_load(now, admission));
        }
        if f64::from(self.in_flight) >= f64::from(self.limit(now)) * admission.ceiling {
            return Err(HeldBack::GatewayLimit);
        }
        let fleet = self.current_fleet_load(now, admission);
        if self.streams_at_limit(now, &fleet, admission) {
            return Err(HeldBack::FleetLimit);
        }
        Ok(fleet)
    }

    /// The members that may get the request, and their probabilities.
    pub(super) fn rank(
        &mut self,
        now: Instant,
        fleet: &FleetLoad,
        demand: &Demand<'_>,
        avoidance: &Avoidance,
    ) -> Ranking {
        self.scan_offset = self.scan_offset.wrapping_add(1);
        let keys: SmallVec<[MemberKey; 32]> = self.members.keys().copied().collect();
        let start = self.scan_offset as usize;
        let mut candidates: SmallVec<[Candidate; 32]> = SmallVec::new();
        let mut fallback: SmallVec<[Candidate; 32]> = SmallVec::new();
        let mut probe = None;
        for i in 0..keys.len() {
            // The rotating start distributes ties evenly.
            let key = keys[(start + i) % keys.len()];
            if self.obstacle(now, key, demand, avoidance).is_some() {
                continue;
            }
            let Some(m) = self.members.get(&key) else { continue };
            let score = self.ranking_score(now, m, demand.prompt_tokens);
            let age_s = m.report_age(now).map_or(fleet.age_s, |age| age.as_secs_f64());
            let (saved_tokens, saved, wait_s) = (0, Duration::ZERO, 0.0);
            let candidate = Candidate { key, score, age_s, saved_tokens, saved, wait_s };
            match avoidance.preference(now, m) {
                Preference::Probe => probe = probe.or(Some(candidate)),
                Preference::Fallback => fallback.push(candidate),
                Preference::Normal | Preference::Avoid => candidates.push(candidate),
            }
        }
        if let Some(probe) = probe {
            let (candidates, weights) = (smallvec![probe], smallvec![1.0]);
            return Ranking { candidates, weights, is_probe: true };
        }
        if candidates.is_empty() {
            candidates = fallback;
        }
        if self.limiter.is_none() {
            let by_score =
                |a: &usize, b: &usize| candidates[*a].score.total_cmp(&candidates[*b].score);
            let cheapest = (0..candidates.len()).min_by(by_score);
            let weights =
                (0..candidates.len()).map(|i| f64::from(u8::from(cheapest == Some(i)))).collect();
            return Ranking { candidates, weights, is_probe: false };
        }
        let arrivals = self.completion_rate(fleet) * fleet.age_s;
        let mut weights = fill_weights(&candidates, fleet, arrivals);
        if self.retention.is_some() {
            self.keep_retaining(now, &mut candidates, &weights, demand.parts);
            weights = fill_weights(&candidates, fleet, arrivals);
        }
        Ranking { candidates, weights, is_probe: false }
    }

    /// Why a member does not get a request now, if it does not. The states of several groups are those of
    /// the last scan.
    pub(super) fn obstacle(
        &mut self,
        now: Instant,
        key: MemberKey,
        demand: &Demand<'_>,
        avoidance: &Avoidance,
    ) -> Option<Obstacle> {
        let m = self.members.get(&key)?;
        if let Some(obstacle) = m.unavailability(now) {
            return Some(obstacle);
        }
        if !self.in_service(m) {
            return Some(Obstacle::OutOfService);
        }
        if demand.tried.contains(&key) {
            return Some(Obstacle::Tried);
        }
        if m.load(now) >= m.registration.heartbeat.slots.max(1) {
            return Some(Obstacle::Full);
        }
        if m.in_flight >= self.connection_share(m) {
            return Some(Obstacle::NoConnection);
        }
        if m.has_refused(now) {
            return Some(Obstacle::Refused);
        }
        if !self.fits_kv(now, m, demand.kv_tokens) {
            return Some(Obstacle::KvMemory);
        }
        if self.has_groups() && !self.groups.accepts(m.group()) {
            return Some(match self.groups.state(m.group()) {
                Some(GroupState::Full) => Obstacle::GroupLimit,
                Some(GroupState::Silent) => Obstacle::GroupSilent,
                _ => Obstacle::GroupClosed,
            });
        }
        if avoidance.preference(now, m) == Preference::Avoid {
            return Some(Obstacle::SuspectDomain);
        }
        let cold_share = if m.is_rate_limited(now) { self.cold_share(m) } else { u32::MAX };
        let allowed = self.members.get_mut(&key)?.cold_limit_allows(now, cold_share);
        (!allowed).then_some(Obstacle::ColdLimit)
    }

    /// Probability with which each candidate gets the request.
    pub(super) fn chances(&self, ranking: &Ranking) -> SmallVec<[f64; 32]> {
        let total: f64 = ranking.weights.iter().sum();
        let mut chances: SmallVec<[f64; 32]> = smallvec![0.0; ranking.candidates.len()];
        for (i, weight) in ranking.weights.iter().enumerate() {
            let drawn = weight / total.max(f64::MIN_POSITIVE);
            let connected = if self.limiter.is_none() || ranking.is_probe {
                SmallVec::new()
            } else {
                self.connected_instead(&ranking.candidates, i)
            };
            if connected.is_empty() {
                chances[i] += drawn;
            }
            for c in &connected {
                chances[*c] += drawn / connected.len() as f64;
            }
        }
        chances
    }

    /// Estimated cost of one more request at a member, for comparison with members of other groups.
    pub(super) fn ranking_score(&self, now: Instant, m: &Member, prompt_tokens: u32) -> f64 {
        let factor = if self.has_groups() { self.groups.load_factor(m.group()) } else { 1.0 };
        self.score(now, m, prompt_tokens) * factor
    }

    /// Sums up the loads of the groups and decides which of them get requests.
    pub(super) fn scan_groups(&mut self, now: Instant, admission: AdmissionLimit) {
        let gateways = self.cfg.gateways.known();
        let members = self.members.values();
        self.groups.scan(now, members, gateways, admission, &mut self.rng);
    }

    /// This gateway's part of the requests per second that a cold endpoint may get.
    fn cold_share(&self, m: &Member) -> u32 {
        self.cfg.gateways.share(m.key_hash, self.cfg.cold_per_s.max(1.0) as u32)
    }

    /// This gateway's part of the connections that an endpoint accepts. One that does not know the
    /// others yet has one, as its callers have no other gateway.
    pub(super) fn connection_share(&self, m: &Member) -> u32 {
        let gateways = &self.cfg.gateways;
        let least = u32::from(!gateways.is_complete());
        gateways.share(m.key_hash, self.cfg.connections_max).max(least)
    }

    /// Sums up the load of all endpoints. Draining ranks still take part in every forward pass, so
    /// they count. An endpoint without a fresh report counts as the mean of the others.
    fn fleet_load(&self, now: Instant) -> FleetLoad {
        let mut fleet = FleetLoad::default();
        let (mut reporting, mut age_s) = (0, 0.0);
        for m in self.members.values() {
            if m.registration.heartbeat.state == HeartbeatState::Gone || m.has_ended(now) {
                continue;
            }
            fleet.endpoints += 1;
            if let (Some(load), Some(state)) = (m.reported_load(now), &m.rank_state) {
                reporting += 1;
                age_s += now.saturating_duration_since(state.observed_at).as_secs_f64();
                fleet.requests += f64::from(load);
                fleet.own_unreported += m.unreported_net();
            }
        }
        if reporting == 0 {
            fleet.requests = f64::from(self.in_flight) * f64::from(self.cfg.gateways.known());
            return fleet;
        }
        fleet.requests *= f64::from(fleet.endpoints) / f64::from(reporting);
        fleet.age_s = age_s / f64::from(reporting);
        fleet
    }

    /// Requests that all endpoints complete per second, and so the rate at which all gateways
    /// together send new ones, by Little's law.
    fn completion_rate(&self, fleet: &FleetLoad) -> f64 {
        fleet.requests / self.mean_hold().as_secs_f64().max(1e-3)
    }

    /// Mean time for which a request holds an endpoint's slot.
    pub fn mean_hold(&self) -> Duration {
        self.hold_ms.mean().map_or(HOLD_DEFAULT, |ms| Duration::from_secs_f64(ms / 1e3))
    }

    /// This gateway's even part of the streams that all gateways together may have in flight.
    pub(super) fn own_places(&self) -> f64 {
        let per_endpoint = self.cfg.limiter.map_or(0.0, |l| l.streams_per_endpoint);
        per_endpoint * self.members.len() as f64 / f64::from(self.cfg.gateways.known())
    }

    /// Whether this gateway has used up its part of the streams that all gateways together may have
    /// in flight.
    ///
    /// A gateway may replace its own streams as they end. Of the places that were free when the
    /// endpoints were observed it may take as large a part as it holds of the streams in flight, and
    /// at least an even one. Parts of a place are rounded at random, so that the gateways take all
    /// free places, and no more, in expectation.
    fn streams_at_limit(
        &mut self,
        now: Instant,
        fleet: &FleetLoad,
        admission: AdmissionLimit,
    ) -> bool {
        let Some(limiter) = &self.cfg.limiter else { return false };
        let limit = admission.ceiling * limiter.streams_per_endpoint * f64::from(fleet.endpoints);
        let gateways = f64::from(self.cfg.gateways.known());
        let held = (f64::from(self.in_flight) + 1.0) / (fleet.requests + gateways);
        let part = (held.max(1.0 / gateways) * admission.part_factor).min(1.0);
        let (rounding, drawn_at) = self.rounding;
        let redraw = |at: Instant| now.saturating_duration_since(at) >= ROUNDING_PERIOD;
        let rounding = if drawn_at.is_none_or(redraw) {
            self.rounding = (self.rng.random(), Some(now));
            self.rounding.0
        } else {
            rounding
        };
        fleet.own_unreported + 1.0 > (limit - fleet.requests) * part + rounding
    }

    /// Estimated cost of one more request at a member; lower is better.
    fn score(&self, now: Instant, m: &Member, prompt_tokens: u32) -> f64 {
        let domain_factor = if m.registration.heartbeat.domain == self.cfg.domain {
            1.0
        } else {
            OTHER_DOMAIN_FACTOR
        };
        if self.limiter.is_some() {
            let prefill = (m.pending_prompt_tokens + u64::from(prompt_tokens)) as f64
                / PROMPT_TOKENS_PER_REQUEST;
            return m.estimated_load(now, self.cfg.gateways.known())
                + prefill
                + (domain_factor - 1.0);
        }
        let latency = m.latency_ms(now).unwrap_or_else(|| self.lowest_latency_ms(now));
        let failure_factor = 1.0 + FAILURE_WEIGHT * m.failure_rate(now);
        (f64::from(m.in_flight) + 1.0) * latency * failure_factor * domain_factor
    }

    /// Latency assumed for an endpoint without recent measurements: the lowest one known, so that
    /// the endpoint gets traffic.
    fn lowest_latency_ms(&self, now: Instant) -> f64 {
        let latencies = self.members.values().filter_map(|m| m.latency_ms(now));
        latencies.min_by(f64::total_cmp).unwrap_or(1.0)
    }
}
