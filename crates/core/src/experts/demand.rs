//! [`Demand`]: estimates the recent popularity of each expert.

use super::SelectionCounts;

/// Decay factor of the demand for each pass while popularity is stable.
const PASS_DECAY: f64 = 0.75;
/// Decay factor of the demand for each evaluation of selections that span several passes.
const MULTI_PASS_DECAY: f64 = 0.6;
/// Fraction of the selections that must have moved to other experts for a popularity shift; well
/// above the noise of a single pass and of changing requests.
const SHIFT_MIN: f64 = 0.2;
/// Fraction of the demand that is spread evenly over all experts.
const EVEN_FRACTION: f64 = 0.02;
/// Minimum number of selections per set for an evaluation; with fewer, the randomness of single
/// requests looks like a shift.
const SELECTIONS_PER_SET_MIN: f64 = 1000.0;
/// Fraction of the ranks that must have reported a pass before it is evaluated.
const PASS_QUORUM: f64 = 0.75;
/// Fraction of the ranks whose selections over several passes suffice to detect a shift.
const RECENT_QUORUM: f64 = 0.25;

/// Number of readings per rank after which selections over several passes replace the old demand, if
/// no single pass was evaluated since the shift.
const READINGS_PER_RANK_MIN: usize = 3;

/// Selections accumulated for the next evaluation.
#[derive(Clone, Debug)]
struct Accumulator {
    selections: Vec<f64>,
    /// Number of accumulated readings.
    readings: usize,
}

impl Accumulator {
    fn new(len: usize) -> Self {
        Self { selections: vec![0.0; len], readings: 0 }
    }

    fn add(&mut self, counts: &[u64]) {
        self.selections.iter_mut().zip(counts).for_each(|(sum, c)| *sum += *c as f64);
        self.readings += 1;
    }

    /// Moves the selections of `other` into this accumulator.
    fn merge(&mut self, other: &mut Self) {
        self.selections.iter_mut().zip(&other.selections).for_each(|(sum, c)| *sum += c);
        self.readings += other.readings;
        other.clear();
    }

    fn clear(&mut self) {
        self.selections.fill(0.0);
        self.readings = 0;
    }
}

/// Recent selections of each expert, per set, over all ranks of a group.
///
/// While popularity is stable, the selections of recent passes are averaged. After a shift, earlier
/// selections are discarded and the demand is unknown until one pass entirely after the shift has
/// been counted, since copies planned for a mixture of old and new popularity are wasted.
#[derive(Clone, Debug)]
pub struct Demand {
    sets: usize,
    experts: usize,
    ranks: usize,
    weights: Vec<f64>,
    /// Selections of the newest pass only; `step` is the number of that pass.
    pass: Accumulator,
    step: u64,
    /// Selections from readings that span several passes, and of passes with too few readings or
    /// selections to be evaluated on their own.
    multi_pass: Accumulator,
    /// The newest of the `multi_pass` selections, not yet compared with the demand.
    recent: Accumulator,
    shifting: bool,
}

impl Demand {
    /// Creates an empty estimate for a group of `ranks` ranks.
    pub fn new(sets: usize, experts: usize, ranks: usize) -> Self {
        let len = sets * experts;
        Self {
            sets,
            experts,
            ranks,
            weights: vec![0.0; len],
            pass: Accumulator::new(len),
            step: 0,
            multi_pass: Accumulator::new(len),
            recent: Accumulator::new(len),
            shifting: false,
        }
    }

    /// Adds the selections of one rank; counts of the wrong length are ignored.
    pub fn add(&mut self, selections: &SelectionCounts) {
        if selections.counts.len() != self.sets * self.experts {
            return;
        }
        let step = selections.to;
        if step != selections.from + 1 || step < self.step {
            self.recent.add(&selections.counts);
            return self.evaluate_recent();
        }
        if step > self.step {
            self.defer_pass();
            self.step = step;
        }
        self.pass.add(&selections.counts);
        if self.pass.readings as f64 >= PASS_QUORUM * self.ranks as f64 {
            self.evaluate_pass();
        }
    }

    /// Whether popularity has shifted and the new demand is still unknown; ranks should then be read
    /// once per pass.
    pub fn shifting(&self) -> bool {
        self.shifting
    }

    /// Share of each expert in the selections of a set; `None` during a shift or with too few
    /// selections.
    pub fn shares(&self, set: usize) -> Option<Vec<f64>> {
        if self.shifting || set >= self.sets {
            return None;
        }
        let weights = &self.weights[set * self.experts..(set + 1) * self.experts];
        let total: f64 = weights.iter().sum();
        // An expert without recent selections may be selected next, so each keeps a small share.
        let floor = EVEN_FRACTION / self.experts as f64;
        let share = |w: &f64| (1.0 - EVEN_FRACTION) * w / total + floor;
        (total >= SELECTIONS_PER_SET_MIN).then(|| weights.iter().map(share).collect())
    }

    /// Moves the selections of a pass that cannot be evaluated on its own to the recent selections.
    fn defer_pass(&mut self) {
        if self.pass.readings > 0 {
            self.recent.merge(&mut self.pass);
        }
    }

    /// Evaluates a pass that most ranks have reported; its selections do not mix old and new
    /// popularity.
    fn evaluate_pass(&mut self) {
        if !self.has_enough(&self.pass) {
            self.defer_pass();
            return self.evaluate_recent();
        }
        if self.shifting || self.moved_fraction(&self.pass) > SHIFT_MIN {
            self.weights.fill(0.0);
            self.shifting = false;
        }
        decay_and_add(&mut self.weights, PASS_DECAY, &self.pass);
        self.pass.clear();
        self.recent.clear();
        self.multi_pass.clear();
    }

    /// Evaluates selections over several passes, which may include passes before and after a shift.
    fn evaluate_recent(&mut self) {
        let ranks = self.ranks;
        let too_few = (self.recent.readings as f64) < RECENT_QUORUM * ranks as f64;
        if too_few || !self.has_enough(&self.recent) {
            return;
        }
        if !self.shifting && self.moved_fraction(&self.recent) > SHIFT_MIN {
            self.shifting = true;
            self.recent.clear();
            return self.multi_pass.clear();
        }
        self.multi_pass.merge(&mut self.recent);
        // If too few ranks are read once per pass after a shift, many readings outweigh the
        // selections from before it.
        if self.shifting && self.multi_pass.readings >= READINGS_PER_RANK_MIN * ranks {
            self.weights.fill(0.0);
            self.shifting = false;
        }
        if !self.shifting && self.multi_pass.readings >= ranks {
            decay_and_add(&mut self.weights, MULTI_PASS_DECAY, &self.multi_pass);
            self.multi_pass.clear();
        }
    }

    fn has_enough(&self, accumulated: &Accumulator) -> bool {
        accumulated.selections.iter().sum::<f64>() >= SELECTIONS_PER_SET_MIN * self.sets as f64
    }

    /// Fraction of the selections that has moved to other experts, as the mean over the sets.
    fn moved_fraction(&self, accumulated: &Accumulator) -> f64 {
        let sets =
            self.weights.chunks(self.experts).zip(accumulated.selections.chunks(self.experts));
        let mut moved_fraction = 0.0;
        for (weights, new) in sets {
            let (before, now): (f64, f64) = (weights.iter().sum(), new.iter().sum());
            if before <= 0.0 || now <= 0.0 {
                return 1.0;
            }
            let gains = weights.iter().zip(new).map(|(w, n)| (n / now - w / before).max(0.0));
            moved_fraction += gains.sum::<f64>();
        }
        moved_fraction / self.sets.max(1) as f64
    }
}

fn decay_and_add(weights: &mut [f64], decay: f64, accumulated: &Accumulator) {
    weights.iter_mut().zip(&accumulated.selections).for_each(|(w, n)| *w = *w * decay + n);
}
