//! [`BufferBudget`]: the memory of a process for bodies that are being buffered.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::ClientConnection;

/// Share of a process's memory for buffered bodies. Connections have buffers of their own, which the bound on their
/// number covers.
const BUFFER_SHARE: usize = 4;
/// Part of the budget that is kept for small buffers of each kind of length: one in this many.
const RESERVE_SHARE: usize = 32;
/// Largest size of a small buffer in bytes.
pub(crate) const SMALL_BYTES: usize = 64 * 1024;
/// Part of the free bytes that a buffer of unknown length may hold once a quarter of the budget is used: one
/// in this many.
const UNKNOWN_LENGTH_SHARE: usize = 8;

/// The memory for buffered bodies, shared by all that buffer one. Bytes are charged as they arrive.
///
/// Once a quarter of it is used, a buffer of unknown length may hold at most a share of what is free, so that
/// however many of them grow without end, room for others remains. One that hits this bound is broken
/// off by its owner and gives its bytes back. A reserve is left to small buffers, and the last part of it to
/// those of known length.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    bytes: Arc<Bytes>,
    /// The client for whom bytes are charged.
    client: Option<Arc<ClientConnection>>,
}

#[derive(Debug)]
struct Bytes {
    total: usize,
    used: AtomicUsize,
}

/// What is known of the length of a buffer that grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// It was announced.
    Known,
    /// The buffer may grow without end.
    Unknown,
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
        Self { bytes: Arc::new(Bytes { total, used: AtomicUsize::new(0) }), client: None }
    }

    /// The budget of a process that buffers one body at a time, each with a limit of its own.
    pub fn unbounded() -> Self {
        Self::of_process(usize::MAX)
    }

    /// The same budget for bytes that are held for one client, who gives way if they are short.
    pub fn for_client(&self, client: Option<Arc<ClientConnection>>) -> Self {
        Self { bytes: self.bytes.clone(), client }
    }

    /// Bytes in use beyond half of the budget.
    pub(crate) fn used_beyond_half(&self) -> usize {
        self.bytes.used.load(Ordering::Relaxed).saturating_sub(self.bytes.total / 2)
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.bytes.used.load(Ordering::Relaxed)
    }

    /// An empty charge for a buffer.
    pub fn charge(&self, length: Length) -> BufferCharge {
        BufferCharge { budget: self.clone(), length, held: 0 }
    }
}

impl Bytes {
    /// Whether a buffer may hold `len` bytes while all buffers together hold `used`.
    fn has_room(&self, length: Length, len: usize, used: usize) -> bool {
        let reserve = self.total / RESERVE_SHARE;
        let free = (self.total - 2 * reserve).saturating_sub(used);
        match length {
            Length::Known if len <= SMALL_BYTES => used <= self.total,
            Length::Unknown if len <= SMALL_BYTES => used <= self.total - reserve,
            Length::Known => free > 0,
            Length::Unknown => used <= self.total / 4 || len <= free / UNKNOWN_LENGTH_SHARE,
        }
    }
}

/// The bytes that one buffer holds; dropping it gives them back.
#[derive(Debug)]
pub struct BufferCharge {
    budget: BufferBudget,
    length: Length,
    held: usize,
}

impl BufferCharge {
    /// Charges a buffer of `len` bytes instead of the current length.
    ///
    /// # Errors
    ///
    /// Fails if the budget has no room for them; the charge stays as it was.
    pub fn resize(&mut self, len: usize) -> Result<(), BudgetUsedUp> {
        let Bytes { used, .. } = &*self.budget.bytes;
        if len <= self.held {
            used.fetch_sub(self.held - len, Ordering::Relaxed);
        } else {
            let more = len - self.held;
            let before = used.fetch_add(more, Ordering::Relaxed);
            if !self.budget.bytes.has_room(self.length, len, before.saturating_add(more)) {
                used.fetch_sub(more, Ordering::Relaxed);
                metrics::counter!("crocustally_buffers_refused").increment(1);
                return Err(BudgetUsedUp);
            }
        }
        if let Some(client) = &self.budget.client {
            client.remove_held(self.held);
            client.add_held(len);
        }
        self.held = len;
        Ok(())
    }
}

impl Drop for BufferCharge {
    fn drop(&mut self) {
        self.budget.bytes.used.fetch_sub(self.held, Ordering::Relaxed);
        if let Some(client) = &self.budget.client {
            client.remove_held(self.held);
        }
    }
}
