//! Admission and the at-most-once record beside an endpoint.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::agent::Admission;
use crocustally_core::agent::AdmissionLimits;
use crocustally_core::agent::AttemptRegistry;
use crocustally_core::agent::AttemptState;
use crocustally_core::agent::RevokeOutcome;

const MS: Duration = Duration::from_millis(1);

fn id(n: u64) -> Digest {
    Digest::of(&[&n.to_le_bytes()])
}

/// Keeps the endpoint full and answers with this first-byte time, `n` times.
fn serve(a: &mut Admission, now: &mut Instant, n: usize, first: Duration) {
    for _ in 0..n {
        while a.admit(false).is_ok() {}
        *now += 10 * MS;
        a.record_first_byte(*now, first);
        a.release(false);
    }
}

#[test]
fn the_limit_starts_small_grows_with_use_and_falls_back_at_a_new_start() {
    let mut now = Instant::now();
    let mut a = Admission::new(AdmissionLimits { initial: 2, max: 32 });
    a.update_engine_start(1);
    assert_eq!(a.limit(), 2);
    serve(&mut a, &mut now, 400, 20 * MS);
    let grown = a.limit();
    assert!(grown > 8, "{grown}");
    a.update_engine_start(1);
    assert_eq!(a.limit(), grown);
    a.update_engine_start(2);
    assert_eq!(a.limit(), 2);
}

#[test]
fn cached_prompts_among_others_are_no_sign_of_load() {
    let mut now = Instant::now();
    let mut a = Admission::new(AdmissionLimits { initial: 4, max: 24 });
    for i in 0..400 {
        let first = if i % 5 == 0 { 40 * MS } else { 200 * MS };
        serve(&mut a, &mut now, 1, first);
    }
    assert_eq!(a.limit(), 24);
}

#[test]
fn an_unused_limit_does_not_grow() {
    let mut now = Instant::now();
    let mut a = Admission::new(AdmissionLimits { initial: 4, max: 32 });
    for _ in 0..500 {
        a.admit(false).unwrap();
        now += 10 * MS;
        a.record_first_byte(now, 20 * MS);
        a.release(false);
    }
    assert_eq!(a.limit(), 4);
}

#[test]
fn overload_shrinks_the_limit_and_a_sharp_rise_means_cold() {
    let mut now = Instant::now();
    let mut a = Admission::new(AdmissionLimits { initial: 2, max: 32 });
    a.update_engine_start(1);
    serve(&mut a, &mut now, 400, 20 * MS);
    let grown = a.limit();
    serve(&mut a, &mut now, 30, 70 * MS);
    assert!(a.limit() < grown, "{} is not below {grown}", a.limit());
    serve(&mut a, &mut now, 300, 20 * MS);
    serve(&mut a, &mut now, 60, 900 * MS);
    assert!(a.limit() <= 4, "{}", a.limit());
}

#[test]
fn refusals_say_why_and_a_second_suspect_waits() {
    let mut a = Admission::new(AdmissionLimits { initial: 2, max: 2 });
    a.admit(true).unwrap();
    assert_eq!(a.admit(true), Err(Code::SuspectBusy));
    a.admit(false).unwrap();
    assert_eq!(a.admit(false), Err(Code::EndpointFull));
    a.release(true);
    a.set_engine_down(true);
    assert_eq!(a.admit(false), Err(Code::EngineUnreachable));
    a.set_engine_down(false);
    a.set_draining(true);
    assert_eq!(a.admit(false), Err(Code::EndpointLeaving));
}

#[test]
fn a_revoked_attempt_never_starts_however_late_it_comes() {
    let mut a = AttemptRegistry::default();
    assert_eq!(a.revoke(id(1), 10), RevokeOutcome::Never);
    assert_eq!(a.start(id(1), 10), Err(Code::AttemptRevoked));
    // Tombstones are forgotten in time, but the floor remembers for them.
    for n in 100..40_000 {
        a.start(id(n), n).unwrap();
        a.finish(id(n), AttemptState::Done);
    }
    assert_eq!(a.state(id(1)), None);
    assert_eq!(a.start(id(1), 10), Err(Code::AttemptRevoked));
    assert_eq!(a.revoke(id(2), 11), RevokeOutcome::Unknown);
}

#[test]
fn a_started_attempt_starts_once_and_cannot_be_revoked() {
    let mut a = AttemptRegistry::default();
    a.start(id(1), 1).unwrap();
    assert_eq!(a.start(id(1), 1), Err(Code::StillRunning));
    assert_eq!(a.revoke(id(1), 1), RevokeOutcome::Running);
    a.finish(id(1), AttemptState::Done);
    assert_eq!(a.revoke(id(1), 1), RevokeOutcome::Done);
    assert_eq!(a.start(id(1), 1), Err(Code::StillRunning));
}
