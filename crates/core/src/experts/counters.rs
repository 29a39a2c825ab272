//! [`CounterReader`]: converts cumulative expert counters of an engine to counts per reading.

/// Cumulative counters of an engine: selections of each expert since its start, concatenated over all
/// sets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Pass in which the counters were read.
    pub step: u64,
    /// Number of selections of each expert.
    pub counts: Vec<u64>,
}

/// Selections of each expert between two passes, concatenated over all sets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SelectionCounts {
    /// Pass of the previous reading.
    pub from: u64,
    /// Pass of this reading.
    pub to: u64,
    /// Number of selections of each expert.
    pub counts: Vec<u64>,
}

/// Computes the difference between consecutive readings.
#[derive(Clone, Debug, Default)]
pub struct CounterReader {
    last: Option<Counters>,
}

impl CounterReader {
    /// Returns the selections since the previous reading.
    ///
    /// `None` for the first reading, if no pass has started since the previous one, and if a counter
    /// has decreased, which means that the engine has restarted.
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
