//! [`Demand`]: how often each expert is chosen lately, from counters that only grow.

use std::time::Duration;
use std::time::Instant;

/// Memory of the demand: short against the time between two shifts of popularity, long against the
/// noise of one pass.
const MEMORY: Duration = Duration::from_millis(150);

/// Decayed choices of each expert, set by set, over all ranks of a group.
#[derive(Clone, Debug)]
pub struct Demand {
    sets: usize,
    experts: usize,
    seen: Vec<Option<Vec<u64>>>,
    weights: Vec<Vec<f64>>,
    at: Option<Instant>,
}

impl Demand {
    /// Nothing seen yet of a group with `ranks` ranks.
    pub fn new(sets: usize, experts: usize, ranks: usize) -> Self {
        Self {
            sets,
            experts,
            seen: vec![None; ranks],
            weights: vec![vec![0.0; experts]; sets],
            at: None,
        }
    }

    /// Takes the counters of a rank, all sets after one another; counters that went back belong to
    /// an engine that has started anew.
    pub fn count(&mut self, now: Instant, rank: usize, counters: &[u64]) {
        if counters.len() != self.sets * self.experts || rank >= self.seen.len() {
            return;
        }
        self.decay(now);
        if let Some(before) = &self.seen[rank] {
            let restarted = counters.iter().zip(before).any(|(new, old)| new < old);
            for (i, new) in counters.iter().enumerate() {
                let old = if restarted { 0 } else { before[i] };
                self.weights[i / self.experts][i % self.experts] += (new - old) as f64;
            }
        }
        self.seen[rank] = Some(counters.to_vec());
    }

    /// Share of each expert in a set's choices; `None` while too little is known.
    pub fn shares(&self, set: usize) -> Option<Vec<f64>> {
        let weights = self.weights.get(set)?;
        let total: f64 = weights.iter().sum();
        // An expert that was not chosen lately may be chosen next: a small even part stays.
        let floor = FLOOR / self.experts as f64;
        let share = |w: &f64| (1.0 - FLOOR) * w / total + floor;
        (total >= CHOICES_MIN).then(|| weights.iter().map(share).collect())
    }

    fn decay(&mut self, now: Instant) {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.weights.iter_mut().flatten().for_each(|w| *w *= kept);
        self.at = Some(now);
    }
}

/// Part of the demand that is spread evenly over all experts.
const FLOOR: f64 = 0.02;
/// Choices in a set below which its demand is not judged.
const CHOICES_MIN: f64 = 200.0;
