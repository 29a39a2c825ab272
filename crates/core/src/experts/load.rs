//! [`LoadEstimate`]: how popular each expert is, from late counts with gaps.

use super::ExpertId;
use super::LayerId;

/// Weight of the newest counts of a layer.
const SMOOTHING: f64 = 0.3;
/// Counts of a step below this share of the mean step are taken for a gap and left out.
const GAP_SHARE: f64 = 0.25;

/// Smoothed shares of tokens per layer and expert; each layer's shares sum to 1.
#[derive(Clone, Debug)]
pub struct LoadEstimate {
    experts: usize,
    shares: Vec<Vec<f64>>,
    usual_total: Vec<f64>,
}

impl LoadEstimate {
    /// Every expert equally popular.
    pub fn uniform(layers: usize, experts: usize) -> Self {
        let share = 1.0 / experts as f64;
        Self { experts, shares: vec![vec![share; experts]; layers], usual_total: vec![0.0; layers] }
    }

    /// Learns counts of tokens per expert in one layer; counts with gaps are left out.
    pub fn observe(&mut self, layer: LayerId, counts: &[u64]) {
        let total: f64 = counts.iter().map(|c| *c as f64).sum();
        let usual = &mut self.usual_total[layer.0 as usize];
        let partial = counts.len() != self.experts || total < *usual * GAP_SHARE;
        *usual += SMOOTHING * (total - *usual);
        if partial || total <= 0.0 {
            return;
        }
        for (share, count) in self.shares[layer.0 as usize].iter_mut().zip(counts) {
            *share += SMOOTHING * (*count as f64 / total - *share);
        }
    }

    /// Share of a layer's tokens that an expert gets.
    pub fn share(&self, layer: LayerId, expert: ExpertId) -> f64 {
        self.shares[layer.0 as usize][expert.0 as usize]
    }

    /// Shares of a whole layer.
    pub fn layer(&self, layer: LayerId) -> &[f64] {
        &self.shares[layer.0 as usize]
    }

    /// Layers.
    pub fn layers(&self) -> usize {
        self.shares.len()
    }
}
