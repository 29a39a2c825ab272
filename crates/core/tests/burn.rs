//! Tests of burn rates for known sequences of events.

use std::time::Duration;

use crocustally_core::burn::BurnLevel;
use crocustally_core::burn::BurnTracker;
use crocustally_core::burn::FAST_BURN;
use crocustally_core::burn::SLOW_BURN;

const GOOD: u32 = 99_900;
const HOUR: u64 = 3600;

/// Records one event per second from `from` to `to`, of which one in `bad_every` is bad.
fn record_events(b: &mut BurnTracker, from: u64, to: u64, bad_every: u64) {
    for s in from..to {
        b.record(Duration::from_secs(s), s.is_multiple_of(bad_every));
    }
}

#[test]
fn burn_rate_is_bad_share_divided_by_budget() {
    let mut b = BurnTracker::default();
    record_events(&mut b, 0, 6 * HOUR, 1000);
    let now = Duration::from_secs(6 * HOUR - 1);
    let rate = b.rate(now, SLOW_BURN.long, GOOD);
    assert!((0.95..1.1).contains(&rate), "{rate}");
    assert_eq!(b.level(now, GOOD), BurnLevel::Fine);
}

#[test]
fn fast_level_needs_both_windows_and_clears_soon_after_errors_end() {
    let mut b = BurnTracker::default();
    record_events(&mut b, 0, 5 * HOUR, u64::MAX);
    // A short burst of errors affects the five-minute window but not the one-hour window.
    record_events(&mut b, 5 * HOUR, 5 * HOUR + 60, 20);
    let at = |s: u64| Duration::from_secs(s);
    assert!(b.rate(at(5 * HOUR + 60), FAST_BURN.short, GOOD) > 0.0);
    assert_eq!(b.level(at(5 * HOUR + 60), GOOD), BurnLevel::Fine);
    record_events(&mut b, 5 * HOUR + 60, 5 * HOUR + 1800, 20);
    assert_eq!(b.level(at(5 * HOUR + 1800), GOOD), BurnLevel::Fast);
    record_events(&mut b, 5 * HOUR + 1800, 5 * HOUR + 2200, u64::MAX);
    assert_ne!(b.level(at(5 * HOUR + 2200), GOOD), BurnLevel::Fast);
}

#[test]
fn events_older_than_longest_window_are_dropped() {
    let mut b = BurnTracker::default();
    record_events(&mut b, 0, 100, 1);
    record_events(&mut b, 7 * HOUR, 7 * HOUR + 10, u64::MAX);
    assert_eq!(b.counts(Duration::from_secs(7 * HOUR + 10), SLOW_BURN.long), (10, 0));
}

#[test]
fn level_without_requests_is_fine() {
    assert_eq!(BurnTracker::default().level(Duration::from_secs(5), GOOD), BurnLevel::Fine);
}
