//! Which requests crash the endpoints that run them: the count of crashes alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::Digest;
use crocustally_core::dispatch::CRASHES_BEFORE_QUARANTINE;
use crocustally_core::dispatch::CrashTracker;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Guards against a request that crashes the same endpoint again and again: one that starts again under its
/// id is another start, and each start that crashed counts.
#[test]
fn crashes_of_an_endpoint_that_keeps_its_id_count_one_by_one() {
    let now = Instant::now();
    let digest = Digest::of(&[b"bad"]);
    let mut tracker = CrashTracker::default();
    for born_ms in 1..=CRASHES_BEFORE_QUARANTINE as u64 {
        assert!(!tracker.is_quarantined(digest), "quarantined before the crash of start {born_ms}");
        assert!(tracker.record_crash(now, digest, "e", Some(born_ms)));
        assert!(!tracker.record_crash(now, digest, "e", Some(born_ms)), "counted twice");
    }
    assert!(tracker.is_quarantined(digest));
}

/// Guards against crashes that are lost, or counted twice, while processes of the release before report
/// them without a start.
#[test]
fn notice_without_a_start_counts_as_one_crash_of_its_endpoint() {
    let now = Instant::now();
    let digest = Digest::of(&[b"bad"]);
    let mut tracker = CrashTracker::default();
    assert!(tracker.record_crash(now, digest, "e1", None));
    assert!(!tracker.record_crash(now, digest, "e1", None));
    // The same crash, seen by a gateway of this release.
    assert!(!tracker.record_crash(now, digest, "e1", Some(1)));
    assert!(!tracker.record_crash(now, digest, "e1", None));
    assert_eq!(tracker.crash_count(digest), 1);
    assert!(tracker.record_crash(now, digest, "e1", Some(2)));
    assert!(tracker.record_crash(now, digest, "e2", None));
    assert!(tracker.is_quarantined(digest));
}

/// Guards against the same over thousands of orders of crashes, notices, restarts and repeats: each crash
/// counts once however many gateways of either release have seen it, and nothing else counts.
#[test]
fn crash_count_is_that_of_the_crashes_in_any_order_of_notices() {
    for seed in 0..5000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let digests = [b"a", b"b"].map(|name| Digest::of(&[name]));
        let mut born = [1_u64; 3];
        let mut notices = Vec::new();
        // Crashes by digest and endpoint: the starts that any gateway has named, and whether one has not.
        let mut crashes: BTreeMap<(usize, usize), (BTreeSet<u64>, bool)> = BTreeMap::new();
        for _ in 0..rng.random_range(1..12) {
            let (digest, endpoint) = (rng.random_range(0..2), rng.random_range(0..3));
            // A planned restart, of which nobody tells.
            let crashed = rng.random_bool(0.7);
            if crashed {
                for _gateway in 0..rng.random_range(1..=4) {
                    let named = rng.random_bool(0.8);
                    let seen = crashes.entry((digest, endpoint)).or_default();
                    if named {
                        seen.0.insert(born[endpoint]);
                    } else {
                        seen.1 = true;
                    }
                    let notice = (digest, endpoint, named.then_some(born[endpoint]));
                    notices.extend(std::iter::repeat_n(notice, rng.random_range(1..=3)));
                }
            }
            born[endpoint] += 1;
        }
        let mut tracker = CrashTracker::default();
        let now = Instant::now();
        let mut counted = [0; 2];
        while !notices.is_empty() {
            let n = rng.random_range(0..notices.len());
            let (digest, endpoint, born_ms) = notices.swap_remove(n);
            let id = format!("e{endpoint}");
            counted[digest] +=
                usize::from(tracker.record_crash(now, digests[digest], &id, born_ms));
        }
        for (n, digest) in digests.iter().enumerate() {
            let of_digest = crashes.iter().filter(|((d, _), _)| *d == n);
            let expected: usize = of_digest.map(|(_, (starts, _))| starts.len().max(1)).sum();
            assert_eq!(tracker.crash_count(*digest), expected, "seed {seed}");
            assert_eq!(counted[n], expected, "seed {seed}: crashes reported as new");
            let quarantined = expected >= CRASHES_BEFORE_QUARANTINE;
            assert_eq!(tracker.is_quarantined(*digest), quarantined, "seed {seed}");
        }
    }
}

/// Guards against a tracker that grows without a bound through the starts of one endpoint.
#[test]
fn starts_of_an_endpoint_are_forgotten_with_their_request() {
    let now = Instant::now();
    let digest = Digest::of(&[b"bad"]);
    let mut tracker = CrashTracker::default();
    for born_ms in 0..100_000 {
        tracker.record_crash(now, digest, "e", Some(born_ms));
    }
    assert!(tracker.crash_count(digest) < 100, "{} starts are kept", tracker.crash_count(digest));
    let later = now + Duration::from_secs(121);
    tracker.record_crash(later, Digest::of(&[b"other"]), "e", Some(1));
    assert_eq!(tracker.crash_count(digest), 0);
}
