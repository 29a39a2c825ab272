//! Requests that must run at most once: each attempt is claimed in the replicated log before it is
//! sent, and never sent twice.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::Ran;
use crocustally_core::control::STORED_ANSWER_BYTES_MAX;
use crocustally_core::routing::EndpointKey;
use crocustally_core::routing::RequestOutcome;
use crocustally_core::routing::RouteRequest;
use crocustally_net::sleep;
use crocustally_wire::Claim;
use crocustally_wire::ClaimOutcome;
use crocustally_wire::ClaimState;
use crocustally_wire::Finish;
use crocustally_wire::Head;
use crocustally_wire::Lookup;
use crocustally_wire::command::Kind;
use crocustally_wire::outcome::Kind as OutcomeKind;
use crocustally_wire::revoke_reply::Outcome;
use rand::RngExt;
use smallvec::SmallVec;

use crate::Entry;
use crate::calls;
use crate::calls::Call;
use crate::calls::Piece;
use crate::front::CompleteResponse;
use crate::identify::CallerRequest;
use crate::identify::GENERATED_KEY_PREFIX;
use crate::shard::Slot;

/// Longest time to replicate a claim or a lookup; a request whose claim fails is not sent.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(3000);
/// Longest time to replicate a response, in the background.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an unreachable agent is queried again before the outcome is reported as unknown.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two such queries.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(200);
/// Backoff in milliseconds before a slot is requested again.
const BACKOFF_MS: std::ops::Range<u64> = 20..120;

/// Result of one claimed attempt.
enum AttemptResult {
    /// The complete response.
    Response(CompleteResponse),
    /// The attempt has not run and never will; the next one may be claimed.
    NotRun,
    /// The request has failed and must not be sent again.
    Final(Code),
}

/// A request under its idempotency key.
struct AtMostOnce<'a> {
    entry: &'a Arc<Entry>,
    request: &'a CallerRequest,
    idempotency_key: &'a str,
    claim_key: Digest,
    after_attempt: u32,
    excluded: SmallVec<[EndpointKey; 4]>,
    attempt_count: u32,
}

/// Serves a request that must run at most once.
pub(crate) async fn serve(
    entry: &Arc<Entry>,
    request: &CallerRequest,
    idempotency_key: &str,
) -> Result<CompleteResponse, Code> {
    let parts =
        [request.service.as_bytes(), request.workspace.as_bytes(), idempotency_key.as_bytes()];
    let claim_key = Digest::of(&parts);
    let excluded = SmallVec::new();
    let mut once = AtMostOnce {
        entry,
        request,
        idempotency_key,
        claim_key,
        after_attempt: 0,
        excluded,
        attempt_count: 0,
    };
    once.run().await
}

impl AtMostOnce<'_> {
    async fn run(&mut self) -> Result<CompleteResponse, Code> {
        if let Some(outcome) = self.lookup_local()
            && let Some(response) = self.follow_claim(outcome).await?
        {
            return Ok(response);
        }
        loop {
            let slot = match self.acquire_slot().await {
                Ok(slot) => slot,
                Err(code) => match self.confirm_refusal(code).await? {
                    Some(response) => return Ok(response),
                    None => continue,
                },
            };
            self.attempt_count += 1;
            let result = self.claim_and_send(slot).await?;
            match result {
                AttemptResult::Response(response) => return Ok(response),
                AttemptResult::Final(code) => return Err(code),
                AttemptResult::NotRun => {}
            }
        }
    }

    async fn claim_and_send(&mut self, slot: Slot) -> Result<AttemptResult, Code> {
        let outcome = match self.claim(&slot).await {
            Ok(outcome) => outcome,
            Err(_) => {
                slot.complete(RequestOutcome::Unused, None);
                return Err(self.unconfirmed_refusal());
            }
        };
        if outcome.granted
            && let Some(state) = outcome.state
        {
            return Ok(self.send_attempt(slot, &state).await);
        }
        slot.complete(RequestOutcome::Unused, None);
        Ok(match self.follow_claim(outcome).await? {
            Some(response) => AttemptResult::Response(response),
            None => AttemptResult::NotRun,
        })
    }

    /// Confirms in the log that a request that got no slot has not run. It has not if no attempt is
    /// claimed under its key, or if the claimed attempt is the one known here not to have run.
    /// Otherwise the claimed attempt is followed.
    async fn confirm_refusal(&mut self, code: Code) -> Result<Option<CompleteResponse>, Code> {
        let (key, digest) = (self.claim_key.to_bytes(), self.request.digest.to_bytes());
        let lookup = Kind::Lookup(Lookup { key, digest });
        let outcome = self.entry.log.propose(lookup, CLAIM_TIMEOUT).await;
        let Ok(Some(OutcomeKind::Claim(outcome))) = outcome.map(|o| o.kind) else {
            return Err(self.unconfirmed_refusal());
        };
        let not_run = outcome.state.as_ref().is_none_or(|s| s.attempt == self.after_attempt);
        if not_run && (outcome.code == 0 || outcome.state.is_some()) {
            return Err(code);
        }
        self.follow_claim(outcome).await
    }

    /// The refusal when the log cannot be reached. A key generated here cannot have been used
    /// before; a key of the caller can.
    fn unconfirmed_refusal(&self) -> Code {
        if self.idempotency_key.starts_with(GENERATED_KEY_PREFIX) {
            Code::NoQuorum
        } else {
            Code::ClaimUnchecked
        }
    }

    /// Looks the key up in the local replica, whose state may be behind but never contradicts the
    /// log.
    fn lookup_local(&self) -> Option<ClaimOutcome> {
        let view = self.entry.log.view()?;
        let outcome = view.state_machine.claims().lookup(&self.claim_key.0, &self.request.digest.0);
        (outcome.code != 0).then_some(outcome)
    }

    /// Resolves an attempt that some entry has claimed. `None` means that the next attempt may be
    /// claimed.
    async fn follow_claim(
        &mut self,
        outcome: ClaimOutcome,
    ) -> Result<Option<CompleteResponse>, Code> {
        let Some(state) = outcome.state else {
            return Err(Code::try_from(outcome.code).unwrap_or(Code::NoQuorum));
        };
        match self.resolve(&state).await {
            AttemptResult::Response(response) => Ok(Some(response)),
            AttemptResult::Final(code) => Err(code),
            AttemptResult::NotRun => Ok(None),
        }
    }

    /// Acquires a slot before the queue deadline.
    async fn acquire_slot(&mut self) -> Result<Slot, Code> {
        let shard = self.entry.shard(&self.request.service);
        loop {
            let route_request = RouteRequest {
                workspace: &self.request.workspace,
                share: self.request.share,
                priority: self.request.priority,
                prefix: 0,
                queue_deadline: self.request.queue_deadline,
                excluded: &self.excluded,
                retry: self.attempt_count > 0,
            };
            let code = match shard.acquire_slot(&route_request).await {
                Ok(slot) => return Ok(slot),
                Err(code) => code,
            };
            let retryable = code == Code::RetryBudgetSpent || !self.excluded.is_empty();
            if !retryable || self.entry.clock.now() >= self.request.queue_deadline {
                return Err(code);
            }
            self.excluded.clear();
            let ms = rand::rng().random_range(BACKOFF_MS);
            sleep(Duration::from_millis(ms)).await;
        }
    }

    async fn claim(&self, slot: &Slot) -> Result<ClaimOutcome, Code> {
        let claim = Claim {
            key: self.claim_key.to_bytes(),
            digest: self.request.digest.to_bytes(),
            after_attempt: self.after_attempt,
            endpoint: slot.name.clone(),
            address: slot.address.clone(),
            incarnation: slot.incarnation,
            at_ms: self.entry.clock.unix_ms(),
            nonce: rand::random(),
        };
        let outcome = self.entry.log.propose(Kind::Claim(claim), CLAIM_TIMEOUT).await?;
        match outcome.kind {
            Some(OutcomeKind::Claim(outcome)) => Ok(outcome),
            _ => Err(Code::NoQuorum),
        }
    }

    /// Sends the granted attempt; it is sent only once.
    async fn send_attempt(&mut self, slot: Slot, state: &ClaimState) -> AttemptResult {
        self.after_attempt = state.attempt;
        let now = self.entry.clock.now();
        let mut req = calls::run_request(self.request, now, state.incarnation, 0, false);
        req.attempt = calls::attempt_id(self.claim_key, state.attempt).to_bytes();
        req.claim_index = state.claim_index;
        req.idempotency_key = self.idempotency_key.to_owned();
        let Some(channel) = self.entry.agent_channel(&state.address) else {
            return AttemptResult::Final(Code::NoEndpoint);
        };
        match calls::open(&channel, req, self.request.deadline).await {
            Ok(call) => self.complete_attempt(slot, call, state).await,
            Err(Ran::No) => {
                // Only the entry that holds a claim sends its attempt, and this entry has sent
                // nothing.
                self.excluded.push(slot.key);
                slot.complete(RequestOutcome::Unreachable, None);
                AttemptResult::NotRun
            }
            Err(_) => {
                slot.complete(RequestOutcome::Unreachable, None);
                self.resolve(state).await
            }
        }
    }

    async fn complete_attempt(
        &mut self,
        slot: Slot,
        mut call: Call,
        state: &ClaimState,
    ) -> AttemptResult {
        let key = slot.key;
        match read_response(self.entry, &mut call).await {
            Ok(whole) => {
                slot.complete(RequestOutcome::Answered, call.load);
                self.store_response(state, &whole);
                AttemptResult::Response(whole)
            }
            Err(Piece::Refused { code, ran: Ran::No, .. }) => {
                self.excluded.push(key);
                slot.complete(RequestOutcome::Refused(code), call.load);
                // Another entry may have revoked the attempt and claimed the next one. The next
                // claim of this entry then returns that one.
                AttemptResult::NotRun
            }
            Err(Piece::Refused { .. }) => {
                slot.complete(RequestOutcome::Failed, call.load);
                AttemptResult::Final(Code::OutcomeUnknown)
            }
            Err(Piece::DeadlineExceeded) => {
                slot.complete(RequestOutcome::Failed, call.load);
                AttemptResult::Final(Code::OutcomeUnknown)
            }
            Err(_) => {
                slot.complete(RequestOutcome::Unreachable, call.load);
                self.resolve(state).await
            }
        }
    }

    /// Finds out what became of a claimed attempt, over new connections to its agent.
    async fn resolve(&mut self, state: &ClaimState) -> AttemptResult {
        if state.finished {
            return AttemptResult::Response(CompleteResponse {
                status: u16::try_from(state.status).unwrap_or(502),
                content_type: state.content_type.clone(),
                body: state.answer.clone(),
            });
        }
        self.after_attempt = state.attempt;
        let attempt_id = calls::attempt_id(self.claim_key, state.attempt);
        let Some(channel) = self.entry.agent_channel(&state.address) else {
            return AttemptResult::Final(Code::OutcomeUnknown);
        };
        let resolve_deadline =
            (self.entry.clock.now() + RESOLVE_TIMEOUT).min(self.request.deadline);
        loop {
            let outcome =
                calls::revoke(&channel, attempt_id, state.incarnation, state.claim_index).await;
            match outcome {
                Some(Outcome::Revoked) => return AttemptResult::NotRun,
                Some(Outcome::Running | Outcome::Done) => {
                    if let Some(result) = self.attach(&channel, attempt_id, state).await {
                        return result;
                    }
                }
                Some(Outcome::OtherIncarnation | Outcome::Unknown) => {
                    return AttemptResult::Final(Code::OutcomeUnknown);
                }
                None => {}
            }
            if self.entry.clock.now() >= resolve_deadline {
                return AttemptResult::Final(Code::OutcomeUnknown);
            }
            sleep(RESOLVE_INTERVAL).await;
        }
    }

    /// Waits for the response of a running attempt; `None` if the connection breaks again.
    async fn attach(
        &self,
        channel: &crocustally_net::Channel,
        attempt_id: Digest,
        state: &ClaimState,
    ) -> Option<AttemptResult> {
        let deadline = self.request.deadline;
        let mut call = calls::attach(channel, attempt_id, state.incarnation, deadline).await?;
        match read_response(self.entry, &mut call).await {
            Ok(whole) => {
                self.store_response(state, &whole);
                Some(AttemptResult::Response(whole))
            }
            Err(Piece::Refused { ran: Ran::No, .. }) => Some(AttemptResult::NotRun),
            Err(Piece::Refused { .. } | Piece::DeadlineExceeded) => {
                Some(AttemptResult::Final(Code::OutcomeUnknown))
            }
            Err(_) => None,
        }
    }

    /// Replicates the response in the background, so that any entry can return it for the same key.
    /// Responses larger than `STORED_ANSWER_BYTES_MAX` are not stored.
    fn store_response(&self, state: &ClaimState, response: &CompleteResponse) {
        if response.body.len() > STORED_ANSWER_BYTES_MAX {
            return;
        }
        let finish = Finish {
            key: self.claim_key.to_bytes(),
            attempt: state.attempt,
            status: u32::from(response.status),
            content_type: response.content_type.clone(),
            answer: response.body.clone(),
        };
        let log = self.entry.log.clone();
        let rt = log.rt().clone();
        rt.spawn(async move {
            let _ = log.propose(Kind::Finish(finish), FINISH_TIMEOUT).await;
        });
    }
}

/// Reads a response to its end marker. The error is the piece that ended it instead.
async fn read_response(entry: &Entry, call: &mut Call) -> Result<CompleteResponse, Piece> {
    let mut head: Option<Head> = None;
    let mut body = BytesMut::new();
    let mut next = 0;
    loop {
        match call.next_piece(entry.clock.now()).await {
            Piece::Whole(whole) => return Ok(whole.into()),
            Piece::Head(h) => head = Some(h),
            Piece::Data(data) if data.offset == next => {
                body.extend_from_slice(&data.bytes);
                next += 1;
            }
            Piece::End(count) if count == next => {
                let head = head.ok_or(Piece::ConnectionLost)?;
                return Ok(CompleteResponse {
                    status: u16::try_from(head.status).unwrap_or(502),
                    content_type: head.content_type,
                    body: body.freeze(),
                });
            }
            Piece::Data(_) | Piece::End(_) => return Err(Piece::ConnectionLost),
            other => return Err(other),
        }
    }
}
