//! Selection of an endpoint for a request: load of the fleet, limits and costs.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use smallvec::SmallVec;

use super::Pool;
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
    /// random draw, otherwise the one with the lowest cost.
    pub(super) fn choose_member(
        &mut self,
        now: Instant,
        prompt_tokens: u32,
        parts: &[SizedPart],
        tried: &[MemberKey],
    ) -> Option<MemberKey> {
        let fleet = self.current_fleet_load(now);
        if self.limit_reached(now, &fleet).is_some() {
            return None;
        }
        let (candidates, weights) = self.rank(now, &fleet, prompt_tokens, parts, tried);
        let index = match self.limiter {
            None => weights.iter().position(|w| *w > 0.0)?,
            Some(_) if candidates.is_empty() => return None,
            Some(_) => draw_weighted(&weights, &mut self.rng)?,
        };
        Some(candidates[index].key)
    }

    /// Load of all endpoints; not summed up without a limiter, which alone needs it.
    pub(super) fn current_fleet_load(&self, now: Instant) -> FleetLoad {
        if self.limiter.is_some() { self.fleet_load(now) } else { FleetLoad::default() }
    }

    /// Which limit keeps this gateway from sending any request now.
    pub(super) fn limit_reached(&mut self, now: Instant, fleet: &FleetLoad) -> Option<HeldBack> {
        if self.in_flight >= self.limit(now) {
            return Some(HeldBack::GatewayLimit);
        }
        self.streams_at_limit(now, fleet).then_some(HeldBack::FleetLimit)
    }

    /// The members that may get the request, and their probabilities up to a common factor. Without a
    /// limiter, the first one with the lowest score has 1 and the others 0.
    pub(super) fn rank(
        &mut self,
        now: Instant,
        fleet: &FleetLoad,
        prompt_tokens: u32,
        parts: &[SizedPart],
        tried: &[MemberKey],
    ) -> (SmallVec<[Candidate; 32]>, SmallVec<[f64; 32]>) {
        self.scan_offset = self.scan_offset.wrapping_add(1);
        let keys: SmallVec<[MemberKey; 32]> = self.members.keys().copied().collect();
        let start = self.scan_offset as usize;
        let mut candidates: SmallVec<[Candidate; 32]> = SmallVec::new();
        for i in 0..keys.len() {
            // The rotating start distributes ties evenly.
            let key = keys[(start + i) % keys.len()];
            if self.obstacle(now, key, tried).is_some() {
                continue;
            }
            let Some(m) = self.members.get(&key) else { continue };
            let score = self.score(now, m, prompt_tokens);
            let age_s = m.report_age(now).map_or(fleet.age_s, |age| age.as_secs_f64());
            let (saved_tokens, saved, wait_s) = (0, Duration::ZERO, 0.0);
            candidates.push(Candidate { key, score, age_s, saved_tokens, saved, wait_s });
        }
        if self.limiter.is_none() {
            let by_score =
                |a: &usize, b: &usize| candidates[*a].score.total_cmp(&candidates[*b].score);
            let cheapest = (0..candidates.len()).min_by(by_score);
            let weights =
                (0..candidates.len()).map(|i| f64::from(u8::from(cheapest == Some(i)))).collect();
            return (candidates, weights);
        }
        let arrivals = self.completion_rate(fleet) * fleet.age_s;
        let mut weights = fill_weights(&candidates, fleet, arrivals);
        if self.retention.is_some() {
            self.keep_retaining(now, &mut candidates, &weights, parts);
            weights = fill_weights(&candidates, fleet, arrivals);
        }
        (candidates, weights)
    }

    /// Why a member does not get a request now, if it does not.
    pub(super) fn obstacle(
        &mut self,
        now: Instant,
        key: MemberKey,
        tried: &[MemberKey],
    ) -> Option<Obstacle> {
        let m = self.members.get(&key)?;
        if let Some(obstacle) = m.unavailability(now) {
            return Some(obstacle);
        }
        if !self.in_service(m) {
            return Some(Obstacle::OutOfService);
        }
        if tried.contains(&key) {
            return Some(Obstacle::Tried);
        }
        if m.load(now) >= m.registration.heartbeat.slots.max(1) {
            return Some(Obstacle::Full);
        }
        if m.in_flight >= self.connection_share(m) {
            return Some(Obstacle::NoConnection);
        }
        let cold_share = if m.is_rate_limited(now) { self.cold_share(m) } else { u32::MAX };
        let allowed = self.members.get_mut(&key)?.cold_limit_allows(now, cold_share);
        (!allowed).then_some(Obstacle::ColdLimit)
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
    pub(super) fn score(&self, now: Instant, m: &Member, prompt_tokens: u32) -> f64 {
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
