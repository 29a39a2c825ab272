//! Endpoint selection: [`SelectionPolicy`] and the scoring function.

use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::Directory;
use super::Endpoint;
use super::EndpointKey;

/// Endpoint selection policy; all but [`SelectionPolicy::Scored`] are baselines for the benchmark.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Cycles through the endpoints, ignoring load.
    RoundRobin,
    /// The endpoint with the lowest load in its last report, without correction.
    LeastReported,
    /// The one of two random endpoints that reported the lower load.
    TwoChoices,
    /// The lowest score, from the corrected load, the failure domain and the prefix cache.
    #[default]
    Scored,
}

/// Constraints and preferences of one request.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Failure domain of the entry, which is preferred.
    pub domain: &'a str,
    /// Endpoints that have already refused or failed the request.
    pub excluded: &'a [EndpointKey],
    /// Endpoint that most likely has the prefix cached.
    pub cached: Option<EndpointKey>,
}

/// Endpoints sampled per request; the one that has the prefix cached is scored as well.
const CANDIDATES_MAX: usize = 6;
/// Score factor for an endpoint in another failure domain.
const OTHER_DOMAIN_FACTOR: f64 = 1.25;
/// Score factor for the endpoint that has the prefix cached.
const CACHED_FACTOR: f64 = 0.2;
/// Score factor for an endpoint in a domain where another endpoint is unreachable.
const DEGRADED_DOMAIN_FACTOR: f64 = 4.0;
/// Utilization up to which an endpoint is preferred for its prefix cache.
const CACHED_UTILIZATION_MAX: f64 = 0.85;

/// Selects a usable endpoint, or none.
///
/// Only [`SelectionPolicy::Scored`] requires a free slot; it uses stalled endpoints as a last
/// resort.
pub fn select_endpoint(
    policy: SelectionPolicy,
    directory: &Directory,
    now: Instant,
    criteria: &SelectionCriteria<'_>,
    rng: &mut ChaCha8Rng,
    round_robin_index: &mut usize,
) -> Option<EndpointKey> {
    let is_eligible =
        |k: &EndpointKey, e: &Endpoint| e.usable(now) && !criteria.excluded.contains(k);
    let eligible: SmallVec<[EndpointKey; 32]> =
        directory.iter().filter(|(k, e)| is_eligible(k, e)).map(|(k, _)| k).collect();
    let reported =
        |k: &EndpointKey| directory.get(*k).map_or(u32::MAX, |e| e.announcement.load.in_flight);
    match policy {
        SelectionPolicy::RoundRobin => {
            *round_robin_index += 1;
            eligible.get(*round_robin_index % eligible.len().max(1)).copied()
        }
        SelectionPolicy::LeastReported => eligible.iter().copied().min_by_key(reported),
        SelectionPolicy::TwoChoices => sample(&eligible, 2, rng).into_iter().min_by_key(reported),
        SelectionPolicy::Scored => {
            let is_responsive =
                |k: &EndpointKey| directory.get(*k).is_some_and(|e| !e.stalled(now));
            let responsive: SmallVec<[EndpointKey; 32]> =
                eligible.iter().copied().filter(is_responsive).collect();
            select_by_score(directory, &responsive, criteria, rng)
                .or_else(|| select_by_score(directory, &eligible, criteria, rng))
        }
    }
}

fn select_by_score(
    directory: &Directory,
    eligible: &[EndpointKey],
    criteria: &SelectionCriteria<'_>,
    rng: &mut ChaCha8Rng,
) -> Option<EndpointKey> {
    let has_capacity = |k: &EndpointKey| directory.get(*k).is_some_and(Endpoint::has_capacity);
    let available: SmallVec<[EndpointKey; 32]> =
        eligible.iter().copied().filter(has_capacity).collect();
    let mut candidates = sample(&available, CANDIDATES_MAX, rng);
    candidates.extend(criteria.cached.filter(|k| available.contains(k)));
    let degraded: SmallVec<[&str; 4]> = directory.degraded_domains();
    let score = |k: &EndpointKey| {
        let Some(e) = directory.get(*k) else { return f64::MAX };
        let domain_factor = if degraded.contains(&e.announcement.domain.as_str()) {
            DEGRADED_DOMAIN_FACTOR
        } else {
            1.0
        };
        score(*k, e, criteria) * domain_factor
    };
    candidates.into_iter().min_by(|a, b| score(a).total_cmp(&score(b)))
}

/// Expected time to the first byte in seconds, weighted by preference; lower is better.
fn score(key: EndpointKey, e: &Endpoint, criteria: &SelectionCriteria<'_>) -> f64 {
    let limit = f64::from(e.announcement.load.limit.max(1));
    let utilization = f64::from(e.estimated_in_flight()) / limit;
    let first_byte_s = e.announcement.load.first_byte.as_secs_f64().max(0.001);
    let mut score = first_byte_s * (0.2 + utilization + 1.0 / limit);
    if e.announcement.domain != criteria.domain {
        score *= OTHER_DOMAIN_FACTOR;
    }
    if criteria.cached == Some(key) && utilization <= CACHED_UTILIZATION_MAX {
        score *= CACHED_FACTOR;
    }
    score
}

/// Draws up to `n` of `eligible` at random without replacement.
fn sample(eligible: &[EndpointKey], n: usize, rng: &mut impl Rng) -> SmallVec<[EndpointKey; 8]> {
    let mut pool: SmallVec<[EndpointKey; 32]> = SmallVec::from_slice(eligible);
    let n = n.min(pool.len());
    for i in 0..n {
        let j = rng.random_range(i..pool.len());
        pool.swap(i, j);
    }
    pool.truncate(n);
    pool.into_iter().collect()
}
