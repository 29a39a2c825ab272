//! [`SlidingWindow`]: event count over a sliding time window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Counts the events of the last `span`.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    span: Duration,
    events: VecDeque<Instant>,
}

impl SlidingWindow {
    /// Creates an empty window of length `span`.
    pub fn new(span: Duration) -> Self {
        Self { span, events: VecDeque::new() }
    }

    /// Records an event at `now`.
    pub fn add(&mut self, now: Instant) {
        self.drop_expired(now);
        self.events.push_back(now);
    }

    /// Number of events within `span` before `now`.
    pub fn count(&mut self, now: Instant) -> usize {
        self.drop_expired(now);
        self.events.len()
    }

    /// Time at which the oldest event leaves the window; `None` if the window is empty.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.events.front().map(|at| *at + self.span)
    }

    fn drop_expired(&mut self, now: Instant) {
        while self.events.front().is_some_and(|at| now.saturating_duration_since(*at) >= self.span)
        {
            self.events.pop_front();
        }
    }
}
