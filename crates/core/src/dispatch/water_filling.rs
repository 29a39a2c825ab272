//! [`draw_water_filling`]: spreading requests of many gateways over endpoints whose loads all of them know late.

use rand::Rng;
use rand::RngExt;

/// Draws an endpoint such that `arrivals` requests, drawn by anybody from the same loads, fill the
/// endpoints up to one level on the mean.
///
/// The least loaded endpoint alone would get the requests of all gateways until the next report.
pub fn draw_water_filling(loads: &[f64], arrivals: f64, rng: &mut impl Rng) -> Option<usize> {
    let level = water_level(loads, arrivals.max(1.0))?;
    let total: f64 = loads.iter().map(|load| (level - load).max(0.0)).sum();
    let mut remaining = rng.random::<f64>() * total;
    let mut last = None;
    for (i, load) in loads.iter().enumerate() {
        let room = (level - load).max(0.0);
        if room <= 0.0 {
            continue;
        }
        last = Some(i);
        if remaining < room {
            break;
        }
        remaining -= room;
    }
    last
}

/// The level up to which `arrivals` fill the least loaded endpoints.
fn water_level(loads: &[f64], arrivals: f64) -> Option<f64> {
    let mut sorted = loads.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut load_sum = 0.0;
    let mut level = None;
    for (n, load) in sorted.iter().enumerate() {
        if level.is_some_and(|level| level <= *load) {
            break;
        }
        load_sum += load;
        level = Some((arrivals + load_sum) / (n + 1) as f64);
    }
    level
}
