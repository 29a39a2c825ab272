//! [`Drift`]: how the popularity of experts changes with days, weeks, terms and sudden fashions.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Steps of a day, compressed so that a run sees several.
const DAY_STEPS: f64 = 2000.0;
/// Days of a week.
const WEEK_DAYS: f64 = 7.0;
/// Steps between two term starts, on average.
const TERM_STEPS: f64 = 6000.0;
/// Steps over which a term start changes popularity.
const TERM_RAMP_STEPS: f64 = 400.0;
/// Steps between two experts of a layer turning hot suddenly, on average.
const HOT_STEPS: f64 = 4000.0;
/// Steps that a sudden fashion lasts.
const HOT_LAST_STEPS: f64 = 600.0;
/// Popularity over the usual of an expert in fashion.
const HOT_FACTOR: f64 = 4.0;
/// Exponent of the usual popularity over rank.
const ZIPF: f64 = 0.8;
/// Ranks by which the top of the curve is flattened.
const ZIPF_SHIFT: f64 = 6.0;

struct Expert {
    base: f64,
    day_phase: f64,
    week_phase: f64,
    term_from: f64,
    term_to: f64,
    hot_until: f64,
}

/// True popularity of every expert of every layer, step by step.
pub(crate) struct Drift {
    rng: ChaCha8Rng,
    layers: Vec<Vec<Expert>>,
    term_began: f64,
    step: f64,
}

impl Drift {
    /// The drift of one seed; equal seeds are equal whatever policy looks at them.
    pub(crate) fn new(seed: u64, layers: usize, experts: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut layer = || {
            let mut ranks: Vec<usize> = (0..experts).collect();
            for i in 0..experts {
                ranks.swap(i, rng.random_range(0..experts));
            }
            let expert = |rank: &usize| Expert {
                base: (*rank as f64 + 1.0 + ZIPF_SHIFT).powf(-ZIPF),
                day_phase: rng.random(),
                week_phase: rng.random(),
                term_from: 1.0,
                term_to: 1.0,
                hot_until: 0.0,
            };
            ranks.iter().map(expert).collect()
        };
        let layers = (0..layers).map(|_| layer()).collect();
        Self { rng, layers, term_began: -TERM_RAMP_STEPS, step: 0.0 }
    }

    /// Goes on by one step.
    pub(crate) fn advance(&mut self) {
        self.step += 1.0;
        if self.rng.random_bool(1.0 / TERM_STEPS) {
            self.start_term();
        }
        for layer in &mut self.layers {
            if self.rng.random_bool(1.0 / HOT_STEPS) {
                let e = self.rng.random_range(0..layer.len());
                layer[e].hot_until = self.step + HOT_LAST_STEPS;
            }
        }
    }

    /// Shares of a layer's tokens now.
    pub(crate) fn shares(&self, layer: usize) -> Vec<f64> {
        let weights: Vec<f64> = self.layers[layer].iter().map(|e| self.weight(e)).collect();
        let total: f64 = weights.iter().sum();
        weights.iter().map(|w| w / total).collect()
    }

    fn weight(&self, e: &Expert) -> f64 {
        let day = self.step / DAY_STEPS;
        let turn = std::f64::consts::TAU;
        let daily = 1.0 + 0.3 * (turn * (day + e.day_phase)).sin();
        let weekly = 1.0 + 0.2 * (turn * (day / WEEK_DAYS + e.week_phase)).sin();
        let ramp = ((self.step - self.term_began) / TERM_RAMP_STEPS).clamp(0.0, 1.0);
        let term = e.term_from + (e.term_to - e.term_from) * ramp;
        let hot = if e.hot_until > self.step { HOT_FACTOR } else { 1.0 };
        e.base * daily * weekly * term * hot
    }

    fn start_term(&mut self) {
        self.term_began = self.step;
        for e in self.layers.iter_mut().flatten() {
            e.term_from = e.term_to;
            e.term_to =
                if self.rng.random_bool(0.1) { self.rng.random_range(0.4..2.5) } else { 1.0 };
        }
    }
}
