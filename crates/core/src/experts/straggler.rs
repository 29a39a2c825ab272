//! [`RankSpeeds`]: tells a slow rank from a rank with popular experts.

use super::RankId;

/// Weight of the newest step.
const SMOOTHING: f64 = 0.1;
/// Speed below which a rank is reported.
const SLOW_BELOW: f64 = 0.8;
/// Speed that the planner assumes at least, so that a stalled rank still holds what only it has.
const SPEED_MIN: f64 = 0.25;

/// Smoothed speed of each rank: the usual time per token over its own.
#[derive(Clone, Debug)]
pub struct RankSpeeds {
    time_per_load: Vec<f64>,
}

impl RankSpeeds {
    /// All ranks alike.
    pub fn new(ranks: usize) -> Self {
        Self { time_per_load: vec![0.0; ranks] }
    }

    /// Learns how long a rank took over a load, in any units that are the same for all.
    pub fn observe(&mut self, rank: RankId, load: f64, time: f64) {
        if load <= 0.0 {
            return;
        }
        let own = &mut self.time_per_load[rank.0 as usize];
        let now = time / load;
        *own = if *own == 0.0 { now } else { *own + SMOOTHING * (now - *own) };
    }

    /// Speed of every rank against the median one, between 0.25 and 1.
    pub fn speeds(&self) -> Vec<f64> {
        let mut known: Vec<f64> = self.time_per_load.iter().copied().filter(|t| *t > 0.0).collect();
        if known.is_empty() {
            return vec![1.0; self.time_per_load.len()];
        }
        known.sort_by(f64::total_cmp);
        let usual = known[known.len() / 2];
        let speed = |t: &f64| if *t == 0.0 { 1.0 } else { (usual / t).clamp(SPEED_MIN, 1.0) };
        // Small differences are noise, and planning after them would only cost loads.
        let steady = |s: f64| if s > 0.95 { 1.0 } else { s };
        self.time_per_load.iter().map(speed).map(steady).collect()
    }

    /// Ranks that are slow whatever they hold.
    pub fn slow_ranks(&self) -> Vec<RankId> {
        let speeds = self.speeds();
        let slow = speeds.iter().enumerate().filter(|(_, s)| **s < SLOW_BELOW);
        slow.map(|(i, _)| RankId(i as u16)).collect()
    }
}
