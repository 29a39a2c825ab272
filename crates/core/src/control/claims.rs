//! [`Claims`]: the attempt that may be sent for each request that must run at most once.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crocustally_wire::Claim;
use crocustally_wire::ClaimOutcome;
use crocustally_wire::ClaimState;
use crocustally_wire::Finish;

use crate::Code;
use crate::Digest;

/// Time that a claim is retained after its latest attempt was granted, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Largest response body stored with a claim, in bytes; a response with a larger one stays at the
/// agent that received it.
pub const STORED_ANSWER_BYTES_MAX: usize = 16 * 1024;

/// The retained claims, by digest of the idempotency key.
///
/// A claim identifies the only attempt that may run. The next attempt is granted only to a proposer
/// that gives the number of the current one, which it may do only after that attempt was refused or
/// revoked. If two entry instances compete, exactly one is granted the next attempt.
///
/// A claim is removed after [`CLAIM_RETENTION_MS`], but the digest of its key is kept forever, so
/// that a request with an expired key is refused and never run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    by_key: HashMap<Digest, ClaimState>,
    by_age: BTreeMap<(u64, Digest), ()>,
    expired: std::collections::BTreeSet<Digest>,
    /// Latest time in any proposal, in milliseconds; never decreases.
    now_ms: u64,
}

impl Claims {
    /// Applies a claim command at `index` of the log and returns whether the attempt is granted.
    pub fn claim(&mut self, index: u64, claim: &Claim) -> ClaimOutcome {
        let Ok(key) = Digest::try_from(&claim.key[..]) else {
            return refused(Code::BadKey, None);
        };
        self.advance_time(claim.at_ms);
        if self.expired.contains(&key) {
            return refused(Code::KeyExpired, None);
        }
        let Some(current) = self.by_key.get(&key) else {
            return self.grant_first(key, index, claim);
        };
        if current.digest != claim.digest {
            return refused(Code::KeyConflict, None);
        }
        if current.nonce == claim.nonce && !current.finished {
            return ClaimOutcome { granted: true, code: 0, state: Some(current.clone()) };
        }
        if current.finished || current.attempt != claim.after_attempt || claim.after_attempt == 0 {
            return refused(Code::StillRunning, Some(current.clone()));
        }
        self.grant(key, index, claim)
    }

    /// Looks up the claim for `key` without granting one.
    ///
    /// Returns the claim's state with [`Code::StillRunning`], or [`Code::Ok`] without a state if
    /// there is no claim. A key that is invalid, expired or was used with another digest is
    /// refused.
    pub fn lookup(&self, key: &[u8], digest: &[u8]) -> ClaimOutcome {
        let Ok(key) = Digest::try_from(key) else { return refused(Code::BadKey, None) };
        if self.expired.contains(&key) {
            return refused(Code::KeyExpired, None);
        }
        match self.by_key.get(&key) {
            Some(state) if state.digest != digest => refused(Code::KeyConflict, None),
            Some(state) => refused(Code::StillRunning, Some(state.clone())),
            None => refused(Code::Ok, None),
        }
    }

    /// Stores the response of the current attempt, so that any entry instance can return it again.
    /// Returns `false` if the attempt is not the current one or has already finished.
    pub fn finish(&mut self, finish: &Finish) -> bool {
        let Ok(key) = Digest::try_from(&finish.key[..]) else { return false };
        let Some(state) = self.by_key.get_mut(&key) else { return false };
        if state.finished || state.attempt != finish.attempt {
            return false;
        }
        state.finished = true;
        state.status = finish.status;
        state.content_type.clone_from(&finish.content_type);
        state.answer = finish.answer.clone();
        true
    }

    /// Number of retained claims.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Number of claims with a finished attempt.
    pub fn finished(&self) -> usize {
        self.by_key.values().filter(|s| s.finished).count()
    }

    /// Whether there are no retained claims.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Claims, expired keys and latest time, in a deterministic order, for a snapshot.
    pub fn export(&self) -> (Vec<ClaimState>, Vec<bytes::Bytes>, u64) {
        let mut claims: Vec<ClaimState> = self.by_key.values().cloned().collect();
        claims.sort_by(|a, b| a.key.cmp(&b.key));
        let expired = self.expired.iter().map(|d| d.to_bytes()).collect();
        (claims, expired, self.now_ms)
    }

    /// Restores claims from the output of [`Claims::export`]; skips malformed digests.
    pub fn import(claims: Vec<ClaimState>, expired: &[bytes::Bytes], now_ms: u64) -> Self {
        let mut out = Self { now_ms, ..Self::default() };
        for state in claims {
            let Ok(key) = Digest::try_from(&state.key[..]) else { continue };
            out.by_age.insert((state.at_ms, key), ());
            out.by_key.insert(key, state);
        }
        out.expired = expired.iter().filter_map(|e| Digest::try_from(&e[..]).ok()).collect();
        out
    }

    fn grant_first(&mut self, key: Digest, index: u64, claim: &Claim) -> ClaimOutcome {
        if claim.after_attempt != 0 {
            return refused(Code::KeyExpired, None);
        }
        self.grant(key, index, claim)
    }

    fn grant(&mut self, key: Digest, index: u64, claim: &Claim) -> ClaimOutcome {
        let state = ClaimState {
            key: claim.key.clone(),
            digest: claim.digest.clone(),
            attempt: claim.after_attempt + 1,
            endpoint: claim.endpoint.clone(),
            address: claim.address.clone(),
            incarnation: claim.incarnation,
            claim_index: index,
            at_ms: self.now_ms,
            nonce: claim.nonce,
            ..ClaimState::default()
        };
        if let Some(previous) = self.by_key.insert(key, state.clone()) {
            self.by_age.remove(&(previous.at_ms, key));
        }
        self.by_age.insert((self.now_ms, key), ());
        ClaimOutcome { granted: true, code: 0, state: Some(state) }
    }

    /// Advances the time and removes expired claims, keeping the digests of their keys.
    fn advance_time(&mut self, at_ms: u64) {
        self.now_ms = self.now_ms.max(at_ms);
        let oldest_kept = self.now_ms.saturating_sub(CLAIM_RETENTION_MS);
        while let Some((&(at, key), ())) = self.by_age.first_key_value() {
            if at >= oldest_kept {
                break;
            }
            self.by_age.remove(&(at, key));
            self.by_key.remove(&key);
            self.expired.insert(key);
        }
    }
}

fn refused(code: Code, state: Option<ClaimState>) -> ClaimOutcome {
    ClaimOutcome { granted: false, code: u32::from(code.number()), state }
}
