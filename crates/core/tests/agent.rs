//! Admission limit and at-most-once registry of an agent.
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

fn attempt_id(n: u64) -> Digest {
    Digest::of(&[&n.to_le_bytes()])
}

/// Completes `n` requests with this first-byte time while all slots are occupied.
fn complete_requests(admission: &mut Admission, now: &mut Instant, n: usize, first_byte: Duration) {
    for _ in 0..n {
        while admission.admit(false).is_ok() {}
        *now += 10 * MS;
        admission.record_first_byte(*now, first_byte);
        admission.release(false);
    }
}

#[test]
fn limit_grows_with_use_and_resets_at_engine_start() {
    let mut now = Instant::now();
    let mut admission = Admission::new(AdmissionLimits { initial: 2, max: 32 });
    admission.update_engine_start(1);
    assert_eq!(admission.limit(), 2);
    complete_requests(&mut admission, &mut now, 400, 20 * MS);
    let grown = admission.limit();
    assert!(grown > 8, "{grown}");
    admission.update_engine_start(1);
    assert_eq!(admission.limit(), grown);
    admission.update_engine_start(2);
    assert_eq!(admission.limit(), 2);
}

#[test]
fn cached_prompts_in_the_mix_do_not_count_as_load() {
    let mut now = Instant::now();
    let mut admission = Admission::new(AdmissionLimits { initial: 4, max: 24 });
    for i in 0..400 {
        let first_byte = if i % 5 == 0 { 40 * MS } else { 200 * MS };
        complete_requests(&mut admission, &mut now, 1, first_byte);
    }
    assert_eq!(admission.limit(), 24);
}

#[test]
fn limit_does_not_grow_at_low_utilization() {
    let mut now = Instant::now();
    let mut admission = Admission::new(AdmissionLimits { initial: 4, max: 32 });
    for _ in 0..500 {
        admission.admit(false).unwrap();
        now += 10 * MS;
        admission.record_first_byte(now, 20 * MS);
        admission.release(false);
    }
    assert_eq!(admission.limit(), 4);
}

#[test]
fn overload_decreases_limit_and_cold_engine_resets_it() {
    let mut now = Instant::now();
    let mut admission = Admission::new(AdmissionLimits { initial: 2, max: 32 });
    admission.update_engine_start(1);
    complete_requests(&mut admission, &mut now, 400, 20 * MS);
    let grown = admission.limit();
    complete_requests(&mut admission, &mut now, 30, 70 * MS);
    assert!(admission.limit() < grown, "{} is not below {grown}", admission.limit());
    complete_requests(&mut admission, &mut now, 300, 20 * MS);
    complete_requests(&mut admission, &mut now, 60, 900 * MS);
    assert!(admission.limit() <= 4, "{}", admission.limit());
}

#[test]
fn admission_refuses_with_specific_codes_and_one_suspect_at_a_time() {
    let mut admission = Admission::new(AdmissionLimits { initial: 2, max: 2 });
    admission.admit(true).unwrap();
    assert_eq!(admission.admit(true), Err(Code::SuspectBusy));
    admission.admit(false).unwrap();
    assert_eq!(admission.admit(false), Err(Code::EndpointFull));
    admission.release(true);
    admission.set_engine_down(true);
    assert_eq!(admission.admit(false), Err(Code::EngineUnreachable));
    admission.set_engine_down(false);
    admission.set_draining(true);
    assert_eq!(admission.admit(false), Err(Code::EndpointLeaving));
}

#[test]
fn revoked_attempt_never_starts_even_after_eviction() {
    let mut registry = AttemptRegistry::default();
    assert_eq!(registry.revoke(attempt_id(1), 10), RevokeOutcome::Never);
    assert_eq!(registry.start(attempt_id(1), 10), Err(Code::AttemptRevoked));
    // Enough attempts end to evict the revoked one; the claim floor then refuses it.
    for n in 100..40_000 {
        registry.start(attempt_id(n), n).unwrap();
        registry.finish(attempt_id(n), AttemptState::Done);
    }
    assert_eq!(registry.state(attempt_id(1)), None);
    assert_eq!(registry.start(attempt_id(1), 10), Err(Code::AttemptRevoked));
    assert_eq!(registry.revoke(attempt_id(2), 11), RevokeOutcome::Unknown);
}

#[test]
fn attempt_starts_once_and_cannot_be_revoked_after_start() {
    let mut registry = AttemptRegistry::default();
    registry.start(attempt_id(1), 1).unwrap();
    assert_eq!(registry.start(attempt_id(1), 1), Err(Code::StillRunning));
    assert_eq!(registry.revoke(attempt_id(1), 1), RevokeOutcome::Running);
    registry.finish(attempt_id(1), AttemptState::Done);
    assert_eq!(registry.revoke(attempt_id(1), 1), RevokeOutcome::Done);
    assert_eq!(registry.start(attempt_id(1), 1), Err(Code::StillRunning));
}
