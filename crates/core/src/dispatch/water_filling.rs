//! [`draw_water_filling`]: randomized load balancing for several gateways that share delayed load
//! reports.

use rand::Rng;
use rand::RngExt;
use smallvec::SmallVec;

/// Draws the index of an endpoint with a probability proportional to its headroom below the water
/// level that `arrivals` more requests would reach.
///
/// If all gateways together draw `arrivals` times from the same loads, the endpoints are filled
/// evenly in expectation. Always choosing the least loaded endpoint would send the requests of all
/// gateways to it until the next report. Returns `None` if `loads` is empty.
///
/// `unfilled` is the part of each endpoint's headroom that should be left since its load was observed.
pub fn draw_water_filling(
    loads: &[f64],
    unfilled: &[f64],
    arrivals: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    if loads.is_empty() {
        return None;
    }
    draw_weighted(&water_filling_weights(loads, unfilled, arrivals), rng)
}

/// Draws an index with a probability proportional to its weight; `None` if no weight is positive.
pub(super) fn draw_weighted(weights: &[f64], rng: &mut impl Rng) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut left = rng.random::<f64>() * total;
    let mut last = None;
    for (i, weight) in weights.iter().enumerate().filter(|(_, weight)| **weight > 0.0) {
        last = Some(i);
        if left < *weight {
            break;
        }
        left -= weight;
    }
    last
}

/// Probability of each endpoint in [`draw_water_filling`], up to a common factor.
pub(super) fn water_filling_weights(
    loads: &[f64],
    unfilled: &[f64],
    arrivals: f64,
) -> SmallVec<[f64; 32]> {
    let level = water_level(loads, arrivals.max(1.0)).unwrap_or(0.0);
    loads.iter().zip(unfilled).map(|(load, part)| (level - load).max(0.0) * part).collect()
}

/// Common load that the least loaded endpoints reach after `arrivals` more requests.
fn water_level(loads: &[f64], arrivals: f64) -> Option<f64> {
    let mut sorted = loads.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut filled = 0.0;
    let mut level = None;
    for (n, load) in sorted.iter().enumerate() {
        if level.is_some_and(|level| level <= *load) {
            break;
        }
        filled += load;
        level = Some((arrivals + filled) / (n + 1) as f64);
    }
    level
}
