//! [`LoadEstimate`]: estimates the popularity of each expert from delayed and incomplete counts.

use super::ExpertId;
use super::LayerId;

/// EWMA weight of the newest counts of a layer.
const EWMA_WEIGHT: f64 = 0.3;
/// Counts of a step below this fraction of the mean total are treated as incomplete and ignored.
const INCOMPLETE_BELOW: f64 = 0.25;

/// Smoothed share of the tokens per layer and expert; the shares of a layer sum to 1.
#[derive(Clone, Debug)]
pub struct LoadEstimate {
    experts: usize,
    shares: Vec<Vec<f64>>,
    mean_total: Vec<f64>,
}

impl LoadEstimate {
    /// Creates an estimate with equal shares for all experts.
    pub fn uniform(layers: usize, experts: usize) -> Self {
        let share = 1.0 / experts as f64;
        Self { experts, shares: vec![vec![share; experts]; layers], mean_total: vec![0.0; layers] }
    }

    /// Updates the estimate with token counts per expert of one layer; incomplete counts are ignored.
    pub fn observe(&mut self, layer: LayerId, counts: &[u64]) {
        let total: f64 = counts.iter().map(|c| *c as f64).sum();
        let mean_total = &mut self.mean_total[layer.0 as usize];
        let incomplete = counts.len() != self.experts || total < *mean_total * INCOMPLETE_BELOW;
        *mean_total += EWMA_WEIGHT * (total - *mean_total);
        if incomplete || total <= 0.0 {
            return;
        }
        for (share, count) in self.shares[layer.0 as usize].iter_mut().zip(counts) {
            *share += EWMA_WEIGHT * (*count as f64 / total - *share);
        }
    }

    /// Share of the tokens of a layer that go to an expert.
    pub fn share(&self, layer: LayerId, expert: ExpertId) -> f64 {
        self.shares[layer.0 as usize][expert.0 as usize]
    }

    /// Shares of all experts of a layer.
    pub fn layer(&self, layer: LayerId) -> &[f64] {
        &self.shares[layer.0 as usize]
    }

    /// Number of layers.
    pub fn layers(&self) -> usize {
        self.shares.len()
    }
}
