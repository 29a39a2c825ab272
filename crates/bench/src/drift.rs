//! [`PopularityDrift`]: a model of how expert popularity changes over days, weeks and academic
//! terms, with sudden spikes of single experts.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Steps of a simulated day, short enough for a run to cover several days.
const DAY_STEPS: f64 = 2000.0;
/// Days per week.
const WEEK_DAYS: f64 = 7.0;
/// Mean steps between the starts of two academic terms.
const TERM_INTERVAL_STEPS: f64 = 6000.0;
/// Steps over which popularity shifts after a term has started.
const TERM_RAMP_STEPS: f64 = 400.0;
/// Mean steps between two popularity spikes in a layer.
const HOT_INTERVAL_STEPS: f64 = 4000.0;
/// Steps that a popularity spike lasts.
const HOT_DURATION_STEPS: f64 = 600.0;
/// Factor on the popularity of an expert during a spike.
const HOT_FACTOR: f64 = 4.0;
/// Exponent of the Zipf curve of base popularity by rank.
const ZIPF_EXPONENT: f64 = 0.8;
/// Offset added to the rank, which flattens the top of the Zipf curve.
const ZIPF_RANK_OFFSET: f64 = 6.0;

/// Popularity model of one expert. Phases are fractions of a period.
struct Expert {
    base_popularity: f64,
    day_phase: f64,
    week_phase: f64,
    term_factor_from: f64,
    term_factor_to: f64,
    hot_until: f64,
}

/// Exact popularity of every expert of every layer at the current step.
pub(crate) struct PopularityDrift {
    rng: ChaCha8Rng,
    layers: Vec<Vec<Expert>>,
    term_started_at: f64,
    step: f64,
}

impl PopularityDrift {
    /// Creates the drift of a seed. All policies see the same drift for the same seed.
    pub(crate) fn new(seed: u64, layers: usize, experts: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut layer = || {
            let mut popularity_ranks: Vec<usize> = (0..experts).collect();
            for i in 0..experts {
                popularity_ranks.swap(i, rng.random_range(0..experts));
            }
            let expert = |rank: &usize| Expert {
                base_popularity: (*rank as f64 + 1.0 + ZIPF_RANK_OFFSET).powf(-ZIPF_EXPONENT),
                day_phase: rng.random(),
                week_phase: rng.random(),
                term_factor_from: 1.0,
                term_factor_to: 1.0,
                hot_until: 0.0,
            };
            popularity_ranks.iter().map(expert).collect()
        };
        let layers = (0..layers).map(|_| layer()).collect();
        Self { rng, layers, term_started_at: -TERM_RAMP_STEPS, step: 0.0 }
    }

    /// Advances by one step.
    pub(crate) fn advance(&mut self) {
        self.step += 1.0;
        if self.rng.random_bool(1.0 / TERM_INTERVAL_STEPS) {
            self.start_term();
        }
        for layer in &mut self.layers {
            if self.rng.random_bool(1.0 / HOT_INTERVAL_STEPS) {
                let e = self.rng.random_range(0..layer.len());
                layer[e].hot_until = self.step + HOT_DURATION_STEPS;
            }
        }
    }

    /// Share of the tokens of `layer` that each expert receives at the current step.
    pub(crate) fn shares(&self, layer: usize) -> Vec<f64> {
        let popularities: Vec<f64> =
            self.layers[layer].iter().map(|e| self.popularity(e)).collect();
        let total: f64 = popularities.iter().sum();
        popularities.iter().map(|w| w / total).collect()
    }

    fn popularity(&self, e: &Expert) -> f64 {
        let day = self.step / DAY_STEPS;
        let tau = std::f64::consts::TAU;
        let daily = 1.0 + 0.3 * (tau * (day + e.day_phase)).sin();
        let weekly = 1.0 + 0.2 * (tau * (day / WEEK_DAYS + e.week_phase)).sin();
        let ramp_progress = ((self.step - self.term_started_at) / TERM_RAMP_STEPS).clamp(0.0, 1.0);
        let term_factor =
            e.term_factor_from + (e.term_factor_to - e.term_factor_from) * ramp_progress;
        let hot_factor = if e.hot_until > self.step { HOT_FACTOR } else { 1.0 };
        e.base_popularity * daily * weekly * term_factor * hot_factor
    }

    fn start_term(&mut self) {
        self.term_started_at = self.step;
        for e in self.layers.iter_mut().flatten() {
            e.term_factor_from = e.term_factor_to;
            e.term_factor_to =
                if self.rng.random_bool(0.1) { self.rng.random_range(0.4..2.5) } else { 1.0 };
        }
    }
}
