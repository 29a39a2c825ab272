//! [`BufferBudget`]: the memory of a process for bodies that are being buffered.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Share of a process's memory for buffered bodies. A growing buffer may take up twice its length, and
/// connections have buffers of their own.
const BUFFER_SHARE: usize = 4;

/// Part of the free bytes that a buffer of unknown length may hold: one in this many.
const UNKNOWN_LENGTH_SHARE: usize = 8;
/// Part of the budget that is kept for small buffers of known length: one in this many.
const RESERVE_SHARE: usize = 32;

/// The memory for buffered bodies, shared by all that buffer one.
///
/// A buffer of unknown length may hold at most a share of what is free, so that however many of them
/// grow without end, room for others remains. One that hits this bound is broken off by its owner and
/// gives its bytes back. A buffer of known length may hold all but a small reserve, and a share of that.
#[derive(Clone, Debug)]
pub struct BufferBudget(Arc<Bytes>);

#[derive(Debug)]
struct Bytes {
    total: usize,
    used: AtomicUsize,
}

impl Bytes {
    /// Bytes of the budget without the reserve, which only small bodies of known length may use.
    fn unreserved(&self) -> usize {
        self.total - self.total / RESERVE_SHARE
    }
}

/// Error: the budget has no room for more bytes of this buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetUsedUp;

impl fmt::Display for BudgetUsedUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the memory for buffered bodies is used up")
    }
}

impl std::error::Error for BudgetUsedUp {}

impl BufferBudget {
    /// Creates the budget of a process that may use `memory_mb` megabytes (2^20 bytes) in all.
    pub fn of_process(memory_mb: usize) -> Self {
        let total = memory_mb.saturating_mul(1024 * 1024) / BUFFER_SHARE;
        Self(Arc::new(Bytes { total, used: AtomicUsize::new(0) }))
    }

    /// The budget of a process that buffers one body at a time, each with a limit of its own.
    pub fn unbounded() -> Self {
        Self::of_process(usize::MAX)
    }

    /// An empty charge for a buffer of unknown length.
    pub fn charge(&self) -> BufferCharge {
        BufferCharge { budget: self.clone(), held: 0 }
    }

    /// A charge for a buffer that will have `len` bytes, all charged at once.
    ///
    /// # Errors
    ///
    /// Fails if it would take up the reserve, and more than a share of what is free.
    pub fn reserve(&self, len: usize) -> Result<BufferCharge, BudgetUsedUp> {
        let before = self.0.used.fetch_add(len, Ordering::Relaxed);
        let charge = BufferCharge { budget: self.clone(), held: len };
        let small = len <= self.0.total.saturating_sub(before) / UNKNOWN_LENGTH_SHARE;
        if before.saturating_add(len) > self.0.unreserved() && !small {
            metrics::counter!("crocustally_buffers_refused").increment(1);
            return Err(BudgetUsedUp);
        }
        Ok(charge)
    }
}

/// The bytes that one buffer holds; dropping it gives them back.
#[derive(Debug)]
pub struct BufferCharge {
    budget: BufferBudget,
    held: usize,
}

impl BufferCharge {
    /// Charges a buffer of `len` bytes instead of the current length.
    ///
    /// # Errors
    ///
    /// Fails if the buffer would hold more than its share of what is free; the charge stays as it was.
    pub fn resize(&mut self, len: usize) -> Result<(), BudgetUsedUp> {
        let used = &self.budget.0.used;
        if len <= self.held {
            used.fetch_sub(self.held - len, Ordering::Relaxed);
        } else {
            let more = len - self.held;
            let before = used.fetch_add(more, Ordering::Relaxed);
            let free = self.budget.0.unreserved().saturating_sub(before + more);
            if len > free / UNKNOWN_LENGTH_SHARE {
                used.fetch_sub(more, Ordering::Relaxed);
                metrics::counter!("crocustally_buffers_refused").increment(1);
                return Err(BudgetUsedUp);
            }
        }
        self.held = len;
        Ok(())
    }
}

impl Drop for BufferCharge {
    fn drop(&mut self) {
        self.budget.0.used.fetch_sub(self.held, Ordering::Relaxed);
    }
}
