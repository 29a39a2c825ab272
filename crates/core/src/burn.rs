//! [`BurnTracker`]: burn rate of an objective's error budget.

use std::collections::VecDeque;
use std::time::Duration;

/// Width of one bucket of event counts.
pub const BUCKET_WIDTH: Duration = Duration::from_secs(30);
/// Number of retained buckets, which cover the longest window.
const BUCKETS_RETAINED: u64 = 6 * 3600 / BUCKET_WIDTH.as_secs();

/// A pair of windows; a burn level applies only if both reach the burn rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnWindows {
    /// The short window, which clears the level soon after the cause has ended.
    pub short: Duration,
    /// The long window, which keeps short bursts of errors from raising the level.
    pub long: Duration,
    /// Burn rate threshold in both windows.
    pub rate: f64,
}

/// Windows of [`BurnLevel::Fast`]; the rate spends a month's error budget in about two days.
pub const FAST_BURN: BurnWindows =
    BurnWindows { short: Duration::from_secs(300), long: Duration::from_secs(3600), rate: 14.4 };
/// Windows of [`BurnLevel::Slow`]; the rate spends a month's error budget in about five days.
pub const SLOW_BURN: BurnWindows = BurnWindows {
    short: Duration::from_secs(1800),
    long: Duration::from_secs(6 * 3600),
    rate: 6.0,
};

/// Severity of the current burn rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BurnLevel {
    /// Neither pair of windows reaches its threshold.
    #[default]
    Fine,
    /// Both windows of [`SLOW_BURN`] reach its threshold.
    Slow,
    /// Both windows of [`FAST_BURN`] reach its threshold.
    Fast,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    total: u32,
    bad: u32,
}

/// Counts of total and bad events for one objective over the last six hours.
#[derive(Clone, Debug, Default)]
pub struct BurnTracker {
    buckets: VecDeque<Bucket>,
}

impl BurnTracker {
    /// Records an event at time `at`, measured from any fixed origin.
    pub fn record(&mut self, at: Duration, bad: bool) {
        let number = at.as_secs() / BUCKET_WIDTH.as_secs();
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        while self.buckets.front().is_some_and(|b| b.number + BUCKETS_RETAINED <= number) {
            self.buckets.pop_front();
        }
        if let Some(b) = self.buckets.back_mut() {
            b.total += 1;
            b.bad += u32::from(bad);
        }
    }

    /// Number of all events and of bad events in the window that ends at `now`.
    pub fn counts(&self, now: Duration, window: Duration) -> (u64, u64) {
        let now = now.as_secs() / BUCKET_WIDTH.as_secs();
        let first = (now + 1).saturating_sub(window.as_secs() / BUCKET_WIDTH.as_secs());
        let within = self.buckets.iter().filter(|b| b.number >= first && b.number <= now);
        within.fold((0, 0), |(t, b), x| (t + u64::from(x.total), b + u64::from(x.bad)))
    }

    /// Burn rate in the window that ends at `now`; a rate of 1 spends the budget exactly over the
    /// objective's period.
    pub fn rate(&self, now: Duration, window: Duration, good_per_100k: u32) -> f64 {
        burn_rate(self.counts(now, window), good_per_100k)
    }

    /// Burn level at `now`.
    pub fn level(&self, now: Duration, good_per_100k: u32) -> BurnLevel {
        let both_reach = |w: BurnWindows| {
            self.rate(now, w.short, good_per_100k) >= w.rate
                && self.rate(now, w.long, good_per_100k) >= w.rate
        };
        if both_reach(FAST_BURN) {
            BurnLevel::Fast
        } else if both_reach(SLOW_BURN) {
            BurnLevel::Slow
        } else {
            BurnLevel::Fine
        }
    }
}

/// Burn rate of `(total, bad)` event counts for an objective given in parts per 100,000.
///
/// Infinite if there are bad events and the objective allows none.
pub fn burn_rate((total, bad): (u64, u64), good_per_100k: u32) -> f64 {
    let budget = 1.0 - f64::from(good_per_100k) / 100_000.0;
    if total == 0 {
        return 0.0;
    }
    let share = bad as f64 / total as f64;
    if budget <= 0.0 {
        return if bad == 0 { 0.0 } else { f64::INFINITY };
    }
    share / budget
}
