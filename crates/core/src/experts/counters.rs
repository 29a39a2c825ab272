//! [`CounterReader`]: what a rank's requests chose since its counters were last read.

/// Counters of an engine: choices of each expert since it started, all sets after one another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// The pass that they were read in.
    pub step: u64,
    /// How often each expert was chosen.
    pub counts: Vec<u64>,
}

/// How often each expert was chosen between two passes, all sets after one another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SelectionCounts {
    /// The pass of the reading before.
    pub from: u64,
    /// The pass of this reading.
    pub to: u64,
    /// SelectionCounts of each expert.
    pub counts: Vec<u64>,
}

/// Takes the difference between one reading and the next.
#[derive(Clone, Debug, Default)]
pub struct CounterReader {
    last: Option<Counters>,
}

impl CounterReader {
    /// The choices since the reading before; `None` at the first one, while no pass has begun since,
    /// and after counters went back, which belong to an engine that has started anew.
    pub fn read(&mut self, counters: Counters) -> Option<SelectionCounts> {
        let to = counters.step;
        if self.last.as_ref().is_some_and(|last| last.step == to) {
            return None;
        }
        let last = self.last.replace(counters)?;
        let pairs = self.last.iter().flat_map(|c| &c.counts).zip(&last.counts);
        let counts: Option<Vec<u64>> = pairs.map(|(new, old)| new.checked_sub(*old)).collect();
        Some(SelectionCounts { from: last.step, to, counts: counts? }).filter(|c| c.from < c.to)
    }
}
