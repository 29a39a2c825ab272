//! [`BurnTracker`]: how fast an objective's error budget is being spent.

use std::collections::VecDeque;
use std::time::Duration;

/// Width of one bucket of counts.
pub const BUCKET_WIDTH: Duration = Duration::from_secs(30);
/// Buckets kept: the longest window.
const BUCKETS_KEPT: u64 = 6 * 3600 / BUCKET_WIDTH.as_secs();

/// A pair of windows that must both burn fast before anybody is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnWindows {
    /// The short window, which ends an alarm soon after its cause.
    pub short: Duration,
    /// The long window, which keeps short bursts from raising one.
    pub long: Duration,
    /// Burn rate in both that raises it.
    pub rate: f64,
}

/// Spends a month's budget in about two days.
pub const FAST_BURN: BurnWindows =
    BurnWindows { short: Duration::from_secs(300), long: Duration::from_secs(3600), rate: 14.4 };
/// Spends a month's budget in about five days.
pub const SLOW_BURN: BurnWindows = BurnWindows {
    short: Duration::from_secs(1800),
    long: Duration::from_secs(6 * 3600),
    rate: 6.0,
};

/// How fast a budget burns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BurnLevel {
    /// Within what the objective allows.
    #[default]
    Fine,
    /// [`SLOW_BURN`] in both windows.
    Slow,
    /// [`FAST_BURN`] in both windows.
    Fast,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    at: u64,
    total: u32,
    bad: u32,
}

/// Good and bad events of one objective over the last six hours.
#[derive(Clone, Debug, Default)]
pub struct BurnTracker {
    buckets: VecDeque<Bucket>,
}

impl BurnTracker {
    /// Counts one event at a time since any fixed start.
    pub fn record(&mut self, at: Duration, bad: bool) {
        let at = at.as_secs() / BUCKET_WIDTH.as_secs();
        if self.buckets.back().is_none_or(|b| b.at < at) {
            self.buckets.push_back(Bucket { at, ..Bucket::default() });
        }
        while self.buckets.front().is_some_and(|b| b.at + BUCKETS_KEPT <= at) {
            self.buckets.pop_front();
        }
        if let Some(b) = self.buckets.back_mut() {
            b.total += 1;
            b.bad += u32::from(bad);
        }
    }

    /// Events and bad ones within a window that ends now.
    pub fn counts(&self, now: Duration, window: Duration) -> (u64, u64) {
        let now = now.as_secs() / BUCKET_WIDTH.as_secs();
        let first = (now + 1).saturating_sub(window.as_secs() / BUCKET_WIDTH.as_secs());
        let within = self.buckets.iter().filter(|b| b.at >= first && b.at <= now);
        within.fold((0, 0), |(t, b), x| (t + u64::from(x.total), b + u64::from(x.bad)))
    }

    /// Burn rate within a window: 1 spends the budget exactly over the objective's period.
    pub fn rate(&self, now: Duration, window: Duration, good_per_100k: u32) -> f64 {
        burn_rate(self.counts(now, window), good_per_100k)
    }

    /// How fast the budget burns.
    pub fn level(&self, now: Duration, good_per_100k: u32) -> BurnLevel {
        let both = |w: BurnWindows| {
            self.rate(now, w.short, good_per_100k) >= w.rate
                && self.rate(now, w.long, good_per_100k) >= w.rate
        };
        if both(FAST_BURN) {
            BurnLevel::Fast
        } else if both(SLOW_BURN) {
            BurnLevel::Slow
        } else {
            BurnLevel::Fine
        }
    }
}

/// Burn rate of counted events against an objective in parts per 100,000.
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
