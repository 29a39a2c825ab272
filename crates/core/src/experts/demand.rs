//! [`Demand`]: how often each expert is chosen lately, from counters that only grow.

use std::time::Duration;
use std::time::Instant;

/// Time over which choices are gathered before they are compared with those before: a pass or two,
/// so that every rank has spoken.
const GATHER: Duration = Duration::from_millis(110);
/// Share of the demand that remains after one more gathering, while popularity holds still.
const KEPT: f64 = 0.6;
/// Part of the choices that must have moved to other experts for a shift: well above the noise of a
/// pass, and of requests that come and go.
const SHIFT: f64 = 0.2;
/// Part of the demand that is spread evenly over all experts.
const FLOOR: f64 = 0.02;
/// Choices in a set below which its demand is not judged.
const CHOICES_MIN: f64 = 200.0;

/// Recent choices of each expert, set by set, over all ranks of a group.
///
/// While popularity holds still the choices of the last passes are averaged; when it shifts, what
/// was chosen before is forgotten at once, since every copy that is planned for it is wasted.
#[derive(Clone, Debug)]
pub struct Demand {
    sets: usize,
    experts: usize,
    seen: Vec<Option<Vec<u64>>>,
    weights: Vec<Vec<f64>>,
    gathered: Vec<Vec<f64>>,
    since: Option<Instant>,
}

impl Demand {
    /// Nothing seen yet of a group with `ranks` ranks.
    pub fn new(sets: usize, experts: usize, ranks: usize) -> Self {
        let none = vec![vec![0.0; experts]; sets];
        Self {
            sets,
            experts,
            seen: vec![None; ranks],
            weights: none.clone(),
            gathered: none,
            since: None,
        }
    }

    /// Takes the counters of a rank, all sets after one another; counters that went back belong to
    /// an engine that has started anew.
    pub fn count(&mut self, now: Instant, rank: usize, counters: &[u64]) {
        if counters.len() != self.sets * self.experts || rank >= self.seen.len() {
            return;
        }
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) >= GATHER {
            self.take_gathered();
            self.since = Some(now);
        }
        if let Some(before) = &self.seen[rank] {
            let restarted = counters.iter().zip(before).any(|(new, old)| new < old);
            for (i, new) in counters.iter().enumerate() {
                let old = if restarted { 0 } else { before[i] };
                self.gathered[i / self.experts][i % self.experts] += (new - old) as f64;
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

    fn take_gathered(&mut self) {
        let gathered: f64 = self.gathered.iter().flatten().sum();
        if gathered < CHOICES_MIN * self.sets as f64 {
            // Too few to compare: gather on.
            return;
        }
        let moved = self.moved();
        let kept = if moved > SHIFT { 0.0 } else { KEPT };
        for (weights, new) in self.weights.iter_mut().zip(&mut self.gathered) {
            for (w, n) in weights.iter_mut().zip(new) {
                *w = *w * kept + std::mem::take(n);
            }
        }
    }

    /// Part of the choices that has moved to other experts, over all sets.
    fn moved(&self) -> f64 {
        let mut moved = 0.0;
        for (weights, new) in self.weights.iter().zip(&self.gathered) {
            let (before, now): (f64, f64) = (weights.iter().sum(), new.iter().sum());
            if before <= 0.0 || now <= 0.0 {
                return 1.0;
            }
            let gains = weights.iter().zip(new).map(|(w, n)| (n / now - w / before).max(0.0));
            moved += gains.sum::<f64>();
        }
        moved / self.sets.max(1) as f64
    }
}
