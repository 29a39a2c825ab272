//! [`RankSpeeds`]: detects stragglers, as opposed to ranks that are busy with popular experts.

use super::RankId;

/// EWMA weight of the newest step.
const EWMA_WEIGHT: f64 = 0.1;
/// Relative speed below which a rank counts as slow.
const SLOW_BELOW: f64 = 0.8;
/// Minimum relative speed passed to the planner, so that a stalled rank keeps the experts that no
/// other rank holds.
const SPEED_MIN: f64 = 0.25;

/// Smoothed relative speed of each rank: the median time per load divided by its own.
#[derive(Clone, Debug)]
pub struct RankSpeeds {
    time_per_load: Vec<f64>,
}

impl RankSpeeds {
    /// Creates an estimate without observations, in which all ranks have the same speed.
    pub fn new(ranks: usize) -> Self {
        Self { time_per_load: vec![0.0; ranks] }
    }

    /// Records the time that a rank took for a load; units are arbitrary but the same for all ranks.
    pub fn observe(&mut self, rank: RankId, load: f64, time: f64) {
        if load <= 0.0 {
            return;
        }
        let own = &mut self.time_per_load[rank.0 as usize];
        let sample = time / load;
        *own = if *own == 0.0 { sample } else { *own + EWMA_WEIGHT * (sample - *own) };
    }

    /// Speed of each rank relative to the median rank, between 0.25 and 1.
    pub fn speeds(&self) -> Vec<f64> {
        let mut observed: Vec<f64> =
            self.time_per_load.iter().copied().filter(|t| *t > 0.0).collect();
        if observed.is_empty() {
            return vec![1.0; self.time_per_load.len()];
        }
        observed.sort_by(f64::total_cmp);
        let median = observed[observed.len() / 2];
        let speed = |t: &f64| if *t == 0.0 { 1.0 } else { (median / t).clamp(SPEED_MIN, 1.0) };
        // Small differences are noise; a plan for them would cost loads without a gain.
        let without_noise = |s: f64| if s > 0.95 { 1.0 } else { s };
        self.time_per_load.iter().map(speed).map(without_noise).collect()
    }

    /// Ranks that are slow regardless of their load.
    pub fn slow_ranks(&self) -> Vec<RankId> {
        let speeds = self.speeds();
        let slow = speeds.iter().enumerate().filter(|(_, s)| **s < SLOW_BELOW);
        slow.map(|(i, _)| RankId(i as u16)).collect()
    }
}
