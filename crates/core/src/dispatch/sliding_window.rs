//! [`SlidingWindow`]: how many events fell into the last span of time.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// A sliding count of events.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    span: Duration,
    events: VecDeque<Instant>,
}

impl SlidingWindow {
    /// An empty count over `span`.
    pub fn new(span: Duration) -> Self {
        Self { span, events: VecDeque::new() }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Instant) {
        self.trim(now);
        self.events.push_back(now);
    }

    /// Events within the span before `now`.
    pub fn count(&mut self, now: Instant) -> usize {
        self.trim(now);
        self.events.len()
    }

    /// When the oldest event leaves the span.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.events.front().map(|at| *at + self.span)
    }

    fn trim(&mut self, now: Instant) {
        while self.events.front().is_some_and(|at| now.saturating_duration_since(*at) >= self.span)
        {
            self.events.pop_front();
        }
    }
}
