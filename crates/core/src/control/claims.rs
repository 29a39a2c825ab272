//! [`Claims`]: which attempt of each request that must run at most once may be sent.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crocustally_wire::Claim;
use crocustally_wire::ClaimOutcome;
use crocustally_wire::ClaimState;
use crocustally_wire::Finish;

use crate::Code;
use crate::Digest;

/// How long a claim is kept after its last change, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Largest answer kept with a claim, in bytes; a larger one stays at the agent that has it.
pub const STORED_ANSWER_BYTES_MAX: usize = 16 * 1024;

/// All claims that are still kept.
///
/// A claim names the one attempt that may run. A next attempt is granted only to a proposer that
/// names the current one, which it may do only after that one was refused or revoked. So of two
/// entries that race, exactly one gets the next attempt.
///
/// Whole claims go after [`CLAIM_RETENTION_MS`]; the fingerprint of the key stays for ever, so a key
/// that has aged out is refused and never run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    by_key: HashMap<Digest, ClaimState>,
    by_age: BTreeMap<(u64, Digest), ()>,
    expired: std::collections::BTreeSet<Digest>,
    /// Latest time that any proposer gave, in milliseconds; never goes back.
    now_ms: u64,
}

impl Claims {
    /// Applies a claim from the log at `index`.
    pub fn claim(&mut self, index: u64, claim: &Claim) -> ClaimOutcome {
        let Ok(key) = Digest::try_from(&claim.key[..]) else {
            return refused(Code::BadKey, None);
        };
        self.advance(claim.at_ms);
        if self.expired.contains(&key) {
            return refused(Code::KeyExpired, None);
        }
        let Some(current) = self.by_key.get(&key) else {
            return self.first(key, index, claim);
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

    /// Whether a key has a claim, and whose: the state, or a refusal, or neither when it has none.
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

    /// Records the answer of an attempt, so that every entry can give it again.
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

    /// Number of claims kept whole.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Number of claims whose answer is kept.
    pub fn finished(&self) -> usize {
        self.by_key.values().filter(|s| s.finished).count()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Everything, in a fixed order, for a snapshot.
    pub fn export(&self) -> (Vec<ClaimState>, Vec<bytes::Bytes>, u64) {
        let mut claims: Vec<ClaimState> = self.by_key.values().cloned().collect();
        claims.sort_by(|a, b| a.key.cmp(&b.key));
        let expired = self.expired.iter().map(|d| d.to_bytes()).collect();
        (claims, expired, self.now_ms)
    }

    /// The inverse of [`Claims::export`].
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

    fn first(&mut self, key: Digest, index: u64, claim: &Claim) -> ClaimOutcome {
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
        if let Some(old) = self.by_key.insert(key, state.clone()) {
            self.by_age.remove(&(old.at_ms, key));
        }
        self.by_age.insert((self.now_ms, key), ());
        ClaimOutcome { granted: true, code: 0, state: Some(state) }
    }

    /// Moves time on and lets old claims go, keeping their fingerprints.
    fn advance(&mut self, at_ms: u64) {
        self.now_ms = self.now_ms.max(at_ms);
        let horizon = self.now_ms.saturating_sub(CLAIM_RETENTION_MS);
        while let Some((&(at, key), ())) = self.by_age.first_key_value() {
            if at >= horizon {
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
