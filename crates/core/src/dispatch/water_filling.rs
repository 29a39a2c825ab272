//! [`draw_water_filling`]: randomized load balancing for several gateways that share delayed load
//! reports.

use rand::Rng;
use rand::RngExt;

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
    let level = water_level(loads, arrivals.max(1.0))?;
    let total: f64 = loads.iter().zip(unfilled).map(|(l, part)| (level - l).max(0.0) * part).sum();
    let mut left = rng.random::<f64>() * total;
    let mut last = None;
    for (i, (load, part)) in loads.iter().zip(unfilled).enumerate() {
        let room = (level - load).max(0.0) * part;
        if room <= 0.0 {
            continue;
        }
        last = Some(i);
        if left < room {
            break;
        }
        left -= room;
    }
    last
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
