//! [`Demand`]: how often each expert is chosen lately.

use super::SelectionCounts;

/// Share of the demand that remains after one more pass, while popularity holds still.
const KEPT: f64 = 0.75;
/// The same after choices that were gathered over several passes.
const KEPT_MIXED: f64 = 0.6;
/// Part of the choices that must have moved to other experts for a shift: well above the noise of a
/// pass, and of requests that come and go.
const SHIFT: f64 = 0.2;
/// Part of the demand that is spread evenly over all experts.
const FLOOR: f64 = 0.02;
/// SelectionCounts in a set below which its demand is not judged: with fewer, the chances of single requests
/// look like a shift.
const CHOICES_MIN: f64 = 1000.0;
/// Share of the ranks that must have counted one pass before it is judged.
const PASS_QUORUM: f64 = 0.75;
/// Share of the ranks whose choices over several passes are enough to suspect a shift.
const LOOK_QUORUM: f64 = 0.25;

/// Readings of each rank over several passes after which they are taken for the new popularity, where
/// no single pass is seen.
const READINGS_UNSEEN: usize = 3;

/// SelectionCounts that are gathered before they are judged.
#[derive(Clone, Debug)]
struct Gathered {
    choices: Vec<f64>,
    /// Readings that they come from.
    readings: usize,
}

impl Gathered {
    fn new(len: usize) -> Self {
        Self { choices: vec![0.0; len], readings: 0 }
    }

    fn add(&mut self, counts: &[u64]) {
        self.choices.iter_mut().zip(counts).for_each(|(sum, c)| *sum += *c as f64);
        self.readings += 1;
    }

    /// Takes over what another one has gathered.
    fn merge(&mut self, other: &mut Self) {
        self.choices.iter_mut().zip(&other.choices).for_each(|(sum, c)| *sum += c);
        self.readings += other.readings;
        other.clear();
    }

    fn clear(&mut self) {
        self.choices.fill(0.0);
        self.readings = 0;
    }
}

/// Recent choices of each expert, set by set, over all ranks of a group.
///
/// While popularity holds still the choices of the last passes are averaged. When it shifts, what
/// was chosen before is forgotten, and demand is unknown until one pass has been counted that lies
/// wholly after the shift: copies that are planned for a mixture of both are wasted.
#[derive(Clone, Debug)]
pub struct Demand {
    sets: usize,
    experts: usize,
    ranks: usize,
    weights: Vec<f64>,
    /// SelectionCounts of the newest pass alone, and which pass that is.
    pass: Gathered,
    step: u64,
    /// SelectionCounts of ranks that were read less often than once a pass.
    mixed: Gathered,
    /// The newest of them, which have not been compared with the demand yet.
    look: Gathered,
    shifting: bool,
}

impl Demand {
    /// Nothing seen yet of a group with `ranks` ranks.
    pub fn new(sets: usize, experts: usize, ranks: usize) -> Self {
        let len = sets * experts;
        Self {
            sets,
            experts,
            ranks,
            weights: vec![0.0; len],
            pass: Gathered::new(len),
            step: 0,
            mixed: Gathered::new(len),
            look: Gathered::new(len),
            shifting: false,
        }
    }

    /// Takes what one rank's requests chose.
    pub fn add(&mut self, choices: &SelectionCounts) {
        if choices.counts.len() != self.sets * self.experts {
            return;
        }
        let step = choices.to;
        if step != choices.from + 1 || step < self.step {
            self.look.add(&choices.counts);
            return self.judge_mixed();
        }
        if step > self.step {
            self.finish_pass();
            self.step = step;
        }
        self.pass.add(&choices.counts);
        if self.pass.readings as f64 >= PASS_QUORUM * self.ranks as f64 {
            self.judge_pass();
        }
    }

    /// Whether popularity has just shifted, so that ranks should be read once a pass.
    pub fn shifting(&self) -> bool {
        self.shifting
    }

    /// Share of each expert in a set's choices; `None` while too little is known.
    pub fn shares(&self, set: usize) -> Option<Vec<f64>> {
        if self.shifting || set >= self.sets {
            return None;
        }
        let weights = &self.weights[set * self.experts..(set + 1) * self.experts];
        let total: f64 = weights.iter().sum();
        // An expert that was not chosen lately may be chosen next: a small even part stays.
        let floor = FLOOR / self.experts as f64;
        let share = |w: &f64| (1.0 - FLOOR) * w / total + floor;
        (total >= CHOICES_MIN).then(|| weights.iter().map(share).collect())
    }

    /// Keeps what was counted of a pass that too few ranks were read in.
    fn finish_pass(&mut self) {
        if self.pass.readings > 0 {
            self.look.merge(&mut self.pass);
        }
    }

    /// Judges one pass that nearly all ranks have counted: it shows its popularity alone.
    fn judge_pass(&mut self) {
        if !self.enough(&self.pass) {
            self.finish_pass();
            return self.judge_mixed();
        }
        if self.shifting || self.moved(&self.pass) > SHIFT {
            self.weights.fill(0.0);
            self.shifting = false;
        }
        take(&mut self.weights, KEPT, &self.pass);
        self.pass.clear();
        self.look.clear();
        self.mixed.clear();
    }

    /// Judges choices over several passes: they may straddle a shift.
    fn judge_mixed(&mut self) {
        let ranks = self.ranks;
        let few = (self.look.readings as f64) < LOOK_QUORUM * ranks as f64;
        if few || !self.enough(&self.look) {
            return;
        }
        if !self.shifting && self.moved(&self.look) > SHIFT {
            self.shifting = true;
            self.look.clear();
            return self.mixed.clear();
        }
        self.mixed.merge(&mut self.look);
        // After a shift, where too few are read once a pass, many readings outweigh those before it.
        if self.shifting && self.mixed.readings >= READINGS_UNSEEN * ranks {
            self.weights.fill(0.0);
            self.shifting = false;
        }
        if !self.shifting && self.mixed.readings >= ranks {
            take(&mut self.weights, KEPT_MIXED, &self.mixed);
            self.mixed.clear();
        }
    }

    fn enough(&self, gathered: &Gathered) -> bool {
        gathered.choices.iter().sum::<f64>() >= CHOICES_MIN * self.sets as f64
    }

    /// Part of the choices that has moved to other experts, over all sets.
    fn moved(&self, gathered: &Gathered) -> f64 {
        let sets = self.weights.chunks(self.experts).zip(gathered.choices.chunks(self.experts));
        let mut moved = 0.0;
        for (weights, new) in sets {
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

fn take(weights: &mut [f64], kept: f64, gathered: &Gathered) {
    weights.iter_mut().zip(&gathered.choices).for_each(|(w, n)| *w = *w * kept + n);
}
