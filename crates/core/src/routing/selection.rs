//! Choosing an endpoint: [`SelectionPolicy`] and the score behind it.

use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::Directory;
use super::Endpoint;
use super::EndpointKey;

/// How an endpoint is chosen; all but the last are baselines for the bench.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// One after the other, whatever their load.
    RoundRobin,
    /// The least load in the last report, uncorrected.
    LeastReported,
    /// The better of two random ones by reported load.
    TwoChoices,
    /// Corrected load, own domain first, prefixes where the load allows.
    #[default]
    Scored,
}

/// What a request asks of the choice.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Failure domain of the entry.
    pub domain: &'a str,
    /// Endpoints that have refused or failed it already.
    pub excluded: &'a [EndpointKey],
    /// Endpoint that is thought to have its prefix cached.
    pub cached: Option<EndpointKey>,
}

/// Candidates scored for one request.
const CANDIDATES: usize = 6;
/// Factor on the score of an endpoint in another failure domain.
const OTHER_DOMAIN: f64 = 1.25;
/// Factor on the score of the endpoint that has the prefix cached.
const CACHED: f64 = 0.2;
/// Factor on the score of an endpoint in a domain where another one has just been lost.
const DOUBTED_DOMAIN: f64 = 4.0;
/// Share of its limit up to which an endpoint is preferred for its cache.
const CACHED_USE_MAX: f64 = 0.85;

/// Chooses a usable endpoint with room, or none.
pub fn select_endpoint(
    policy: SelectionPolicy,
    directory: &Directory,
    now: Instant,
    wish: &SelectionCriteria<'_>,
    rng: &mut ChaCha8Rng,
    turn: &mut usize,
) -> Option<EndpointKey> {
    let fits = |k: &EndpointKey, e: &Endpoint| e.usable(now) && !wish.excluded.contains(k);
    let all: SmallVec<[EndpointKey; 32]> =
        directory.iter().filter(|(k, e)| fits(k, e)).map(|(k, _)| k).collect();
    let reported =
        |k: &EndpointKey| directory.get(*k).map_or(u32::MAX, |e| e.announcement.load.in_flight);
    match policy {
        SelectionPolicy::RoundRobin => {
            *turn += 1;
            all.get(*turn % all.len().max(1)).copied()
        }
        SelectionPolicy::LeastReported => all.iter().copied().min_by_key(reported),
        SelectionPolicy::TwoChoices => sample(&all, 2, rng).into_iter().min_by_key(reported),
        SelectionPolicy::Scored => {
            let brisk = |k: &EndpointKey| directory.get(*k).is_some_and(|e| !e.stalled(now));
            let moving: SmallVec<[EndpointKey; 32]> = all.iter().copied().filter(brisk).collect();
            scored(directory, &moving, wish, rng).or_else(|| scored(directory, &all, wish, rng))
        }
    }
}

fn scored(
    directory: &Directory,
    all: &[EndpointKey],
    wish: &SelectionCriteria<'_>,
    rng: &mut ChaCha8Rng,
) -> Option<EndpointKey> {
    let with_room = |k: &EndpointKey| directory.get(*k).is_some_and(Endpoint::has_capacity);
    let roomy: SmallVec<[EndpointKey; 32]> = all.iter().copied().filter(with_room).collect();
    let mut candidates = sample(&roomy, CANDIDATES, rng);
    candidates.extend(wish.cached.filter(|k| roomy.contains(k)));
    let doubted: SmallVec<[&str; 4]> = directory.degraded_domains();
    let score = |k: &EndpointKey| {
        let Some(e) = directory.get(*k) else { return f64::MAX };
        let doubt =
            if doubted.contains(&e.announcement.domain.as_str()) { DOUBTED_DOMAIN } else { 1.0 };
        score(*k, e, wish) * doubt
    };
    candidates.into_iter().min_by(|a, b| score(a).total_cmp(&score(b)))
}

/// Expected time to the first byte, weighted; lower is better.
fn score(key: EndpointKey, e: &Endpoint, wish: &SelectionCriteria<'_>) -> f64 {
    let limit = f64::from(e.announcement.load.limit.max(1));
    let used = f64::from(e.estimated_in_flight()) / limit;
    let first_s = e.announcement.load.first_byte.as_secs_f64().max(0.001);
    let mut score = first_s * (0.2 + used + 1.0 / limit);
    if e.announcement.domain != wish.domain {
        score *= OTHER_DOMAIN;
    }
    if wish.cached == Some(key) && used <= CACHED_USE_MAX {
        score *= CACHED;
    }
    score
}

/// Up to `n` of `all`, each at most once.
fn sample(all: &[EndpointKey], n: usize, rng: &mut impl Rng) -> SmallVec<[EndpointKey; 8]> {
    let mut pool: SmallVec<[EndpointKey; 32]> = SmallVec::from_slice(all);
    let n = n.min(pool.len());
    for i in 0..n {
        let j = rng.random_range(i..pool.len());
        pool.swap(i, j);
    }
    pool.truncate(n);
    pool.into_iter().collect()
}
