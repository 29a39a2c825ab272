//! Selection of an endpoint for a request: load of the fleet, limits and costs.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use smallvec::SmallVec;

use super::Pool;
use crate::dispatch::Member;
use crate::dispatch::MemberKey;
use crate::dispatch::SizedPart;
use crate::dispatch::draw_water_filling;
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

/// Loads of the candidates, and the part of each one's headroom that should be left: the other gateways
/// have filled an endpoint for as long as it was not observed.
fn loads_of(
    candidates: &[Candidate],
    fleet: &FleetLoad,
) -> (SmallVec<[f64; 32]>, SmallVec<[f64; 32]>) {
    let unfilled = |c: &Candidate| (-c.age_s / fleet.age_s.max(1e-3)).exp();
    (candidates.iter().map(|c| c.score).collect(), candidates.iter().map(unfilled).collect())
}

impl Pool {
    /// Selects the member for a request among those with a free slot: with a limiter by a weighted
    /// random draw, otherwise the one with the lowest cost.
    pub(super) fn choose_member(
        &mut self,
        now: Instant,
        prompt_tokens: u32,
        parts: &[SizedPart],
        tried: &[MemberKey],
    ) -> Option<MemberKey> {
        if self.in_flight >= self.limit(now) {
            return None;
        }
        let fleet =
            if self.limiter.is_some() { self.fleet_load(now) } else { FleetLoad::default() };
        if self.streams_at_limit(now, &fleet) {
            return None;
        }
        self.scan_offset = self.scan_offset.wrapping_add(1);
        let keys: SmallVec<[MemberKey; 32]> = self.members.keys().copied().collect();
        let start = self.scan_offset as usize;
        let mut candidates: SmallVec<[Candidate; 32]> = SmallVec::new();
        for i in 0..keys.len() {
            // The rotating start distributes ties evenly.
            let key = keys[(start + i) % keys.len()];
            let Some(m) = self.members.get(&key) else { continue };
            let eligible = m.is_available(now) && self.in_service(m) && !tried.contains(&key);
            let has_room = m.load(now) < m.registration.heartbeat.slots.max(1)
                && m.in_flight < self.connection_share(m);
            if !eligible || !has_room {
                continue;
            }
            let score = self.score(now, m, prompt_tokens);
            let age_s = m.report_age(now).map_or(fleet.age_s, |age| age.as_secs_f64());
            let cold_share = if m.is_rate_limited(now) { self.cold_share(m) } else { u32::MAX };
            if self.members.get_mut(&key).is_some_and(|m| m.cold_limit_allows(now, cold_share)) {
                let (saved_tokens, saved, wait_s) = (0, Duration::ZERO, 0.0);
                candidates.push(Candidate { key, score, age_s, saved_tokens, saved, wait_s });
            }
        }
        if self.limiter.is_none() {
            let cheapest = candidates.iter().min_by(|a, b| a.score.total_cmp(&b.score));
            return cheapest.map(|c| c.key);
        }
        let arrivals = self.completion_rate(&fleet) * fleet.age_s;
        if self.retention.is_some() {
            let (loads, unfilled) = loads_of(&candidates, &fleet);
            let weights = water_filling_weights(&loads, &unfilled, arrivals);
            self.keep_retaining(now, &mut candidates, &weights, parts);
        }
        let (loads, unfilled) = loads_of(&candidates, &fleet);
        let index = draw_water_filling(&loads, &unfilled, arrivals, &mut self.rng)?;
        Some(candidates[index].key)
    }

    /// This gateway's part of the requests per second that a cold endpoint may get.
    fn cold_share(&self, m: &Member) -> u32 {
        self.cfg.gateways.share(m.key_hash, self.cfg.cold_per_s.max(1.0) as u32)
    }

    /// This gateway's part of the connections that an endpoint accepts. One that does not know the
    /// others yet has one, as its callers have no other gateway.
    fn connection_share(&self, m: &Member) -> u32 {
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

    /// Whether this gateway has used up its part of the streams that all gateways together may have
    /// in flight.
    ///
    /// A gateway may replace its own streams as they end. Of the places that were free when the
    /// endpoints were observed it may take as large a part as it holds of the streams in flight, and
    /// at least an even one. Parts of a place are rounded at random, so that the gateways take all
    /// free places, and no more, in expectation.
    fn streams_at_limit(&mut self, now: Instant, fleet: &FleetLoad) -> bool {
        let Some(limiter) = &self.cfg.limiter else { return false };
        let limit = limiter.streams_per_endpoint * f64::from(fleet.endpoints);
        let gateways = f64::from(self.cfg.gateways.known());
        let held = (f64::from(self.in_flight) + 1.0) / (fleet.requests + gateways);
        let part = held.max(1.0 / gateways).min(1.0);
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
