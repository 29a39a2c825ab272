//! Requests that must run at most once: claimed before they are sent, never sent twice.

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
use crate::front::WholeAnswer;
use crate::identify::Identified;
use crate::identify::MADE_KEY;
use crate::shard::Place;

/// Longest time to replicate a claim; a request whose claim fails has not run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(3000);
/// Longest time to replicate an answer, in the background.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an agent that cannot be reached is asked again before the outcome is unknown.
const RESOLVE_TIME: Duration = Duration::from_secs(4);
/// Time between two such questions.
const RESOLVE_PAUSE: Duration = Duration::from_millis(200);
/// Back-off before trying for a place again.
const BACK_OFF_MS: std::ops::Range<u64> = 20..120;

/// What one attempt, or the question after it, came to.
enum Step {
    /// The answer.
    Answer(WholeAnswer),
    /// The attempt never ran and never will; the next one may be claimed.
    Next,
    /// Nothing more can be done.
    Final(Code),
}

/// One request under its key.
struct Once<'a> {
    entry: &'a Arc<Entry>,
    id: &'a Identified,
    text_key: &'a str,
    key: Digest,
    after_attempt: u32,
    not: SmallVec<[EndpointKey; 4]>,
    tries: u32,
}

/// Serves a request that must run at most once.
pub(crate) async fn serve(
    entry: &Arc<Entry>,
    id: &Identified,
    text_key: &str,
) -> Result<WholeAnswer, Code> {
    let parts = [id.service.as_bytes(), id.workspace.as_bytes(), text_key.as_bytes()];
    let key = Digest::of(&parts);
    let not = SmallVec::new();
    let mut once = Once { entry, id, text_key, key, after_attempt: 0, not, tries: 0 };
    once.run().await
}

impl Once<'_> {
    async fn run(&mut self) -> Result<WholeAnswer, Code> {
        if let Some(outcome) = self.lookup_here()
            && let Some(answer) = self.follow(outcome).await?
        {
            return Ok(answer);
        }
        loop {
            let place = match self.place().await {
                Ok(place) => place,
                Err(code) => match self.refuse(code).await? {
                    Some(answer) => return Ok(answer),
                    None => continue,
                },
            };
            self.tries += 1;
            let step = self.claim_and_send(place).await?;
            match step {
                Step::Answer(whole) => return Ok(whole),
                Step::Final(code) => return Err(code),
                Step::Next => {}
            }
        }
    }

    async fn claim_and_send(&mut self, place: Place) -> Result<Step, Code> {
        let outcome = match self.claim(&place).await {
            Ok(outcome) => outcome,
            Err(_) => {
                place.finish(RequestOutcome::Unused, None);
                return Err(self.unchecked());
            }
        };
        if outcome.granted
            && let Some(state) = outcome.state
        {
            return Ok(self.attempt(place, &state).await);
        }
        place.finish(RequestOutcome::Unused, None);
        Ok(match self.follow(outcome).await? {
            Some(answer) => Step::Answer(answer),
            None => Step::Next,
        })
    }

    /// There is no place. Before that may be called not run, the log must say that no earlier
    /// sending under the key has been claimed, or that the claimed attempt is the one known here
    /// not to have run.
    async fn refuse(&mut self, code: Code) -> Result<Option<WholeAnswer>, Code> {
        let (key, digest) = (self.key.to_bytes(), self.id.digest.to_bytes());
        let lookup = Kind::Lookup(Lookup { key, digest });
        let outcome = self.entry.log.propose(lookup, CLAIM_TIMEOUT).await;
        let Ok(Some(OutcomeKind::Claim(outcome))) = outcome.map(|o| o.kind) else {
            return Err(self.unchecked());
        };
        let settled = outcome.state.as_ref().is_none_or(|s| s.attempt == self.after_attempt);
        if settled && (outcome.code == 0 || outcome.state.is_some()) {
            return Err(code);
        }
        self.follow(outcome).await
    }

    /// The refusal when the log cannot be asked: a key that was made here cannot have been used
    /// before, a caller's own one can.
    fn unchecked(&self) -> Code {
        if self.text_key.starts_with(MADE_KEY) { Code::NoQuorum } else { Code::ClaimUnchecked }
    }

    /// What the replica here says of the key; it may be behind, but it is never wrong.
    fn lookup_here(&self) -> Option<ClaimOutcome> {
        let view = self.entry.log.view()?;
        let outcome = view.state_machine.claims().lookup(&self.key.0, &self.id.digest.0);
        (outcome.code != 0).then_some(outcome)
    }

    /// Goes after an attempt that somebody has claimed; none means that the next may be claimed.
    async fn follow(&mut self, outcome: ClaimOutcome) -> Result<Option<WholeAnswer>, Code> {
        let Some(state) = outcome.state else {
            return Err(Code::try_from(outcome.code).unwrap_or(Code::NoQuorum));
        };
        match self.resolve(&state).await {
            Step::Answer(whole) => Ok(Some(whole)),
            Step::Final(code) => Err(code),
            Step::Next => Ok(None),
        }
    }

    /// Finds a place within the time that the request may wait.
    async fn place(&mut self) -> Result<Place, Code> {
        let shard = self.entry.shard(&self.id.service);
        loop {
            let ask = RouteRequest {
                workspace: &self.id.workspace,
                share: self.id.share,
                priority: self.id.priority,
                prefix: 0,
                queue_deadline: self.id.queue_until,
                excluded: &self.not,
                retry: self.tries > 0,
            };
            let code = match shard.place(&ask).await {
                Ok(place) => return Ok(place),
                Err(code) => code,
            };
            let passing = code == Code::RetryBudgetSpent || !self.not.is_empty();
            if !passing || self.entry.clock.now() >= self.id.queue_until {
                return Err(code);
            }
            self.not.clear();
            let ms = rand::rng().random_range(BACK_OFF_MS);
            sleep(Duration::from_millis(ms)).await;
        }
    }

    async fn claim(&self, place: &Place) -> Result<ClaimOutcome, Code> {
        let claim = Claim {
            key: self.key.to_bytes(),
            digest: self.id.digest.to_bytes(),
            after_attempt: self.after_attempt,
            endpoint: place.name.clone(),
            address: place.address.clone(),
            incarnation: place.incarnation,
            at_ms: self.entry.clock.unix_ms(),
            nonce: rand::random(),
        };
        let outcome = self.entry.log.propose(Kind::Claim(claim), CLAIM_TIMEOUT).await?;
        match outcome.kind {
            Some(OutcomeKind::Claim(outcome)) => Ok(outcome),
            _ => Err(Code::NoQuorum),
        }
    }

    /// Sends the attempt that was granted, once.
    async fn attempt(&mut self, place: Place, state: &ClaimState) -> Step {
        self.after_attempt = state.attempt;
        let now = self.entry.clock.now();
        let mut req = calls::run_request(self.id, now, state.incarnation, 0, false);
        req.attempt = calls::attempt_id(self.key, state.attempt).to_bytes();
        req.claim_index = state.claim_index;
        req.idempotency_key = self.text_key.to_owned();
        let Some(channel) = self.entry.agent(&state.address) else {
            return Step::Final(Code::NoEndpoint);
        };
        match calls::open(&channel, req, self.id.deadline).await {
            Ok(call) => self.read(place, call, state).await,
            Err(Ran::No) => {
                // Only the entry that holds a claim sends it, and this one sent nothing.
                self.not.push(place.key);
                place.finish(RequestOutcome::Unreachable, None);
                Step::Next
            }
            Err(_) => {
                place.finish(RequestOutcome::Unreachable, None);
                self.resolve(state).await
            }
        }
    }

    async fn read(&mut self, place: Place, mut call: Call, state: &ClaimState) -> Step {
        let key = place.key;
        match read_answer(self.entry, &mut call).await {
            Ok(whole) => {
                place.finish(RequestOutcome::Answered, call.load);
                self.keep(state, &whole);
                Step::Answer(whole)
            }
            Err(Piece::Refused { code, ran: Ran::No, .. }) => {
                self.not.push(key);
                place.finish(RequestOutcome::Refused(code), call.load);
                // Also when another entry has revoked it to go on with the next attempt: our next
                // claim will meet theirs.
                Step::Next
            }
            Err(Piece::Refused { .. }) => {
                place.finish(RequestOutcome::Failed, call.load);
                Step::Final(Code::OutcomeUnknown)
            }
            Err(Piece::Late) => {
                place.finish(RequestOutcome::Failed, call.load);
                Step::Final(Code::OutcomeUnknown)
            }
            Err(_) => {
                place.finish(RequestOutcome::Unreachable, call.load);
                self.resolve(state).await
            }
        }
    }

    /// Finds out over fresh connections what became of an attempt that somebody claimed.
    async fn resolve(&mut self, state: &ClaimState) -> Step {
        if state.finished {
            return Step::Answer(WholeAnswer {
                status: u16::try_from(state.status).unwrap_or(502),
                content_type: state.content_type.clone(),
                body: state.answer.clone(),
            });
        }
        self.after_attempt = state.attempt;
        let id = calls::attempt_id(self.key, state.attempt);
        let Some(channel) = self.entry.agent(&state.address) else {
            return Step::Final(Code::OutcomeUnknown);
        };
        let until = (self.entry.clock.now() + RESOLVE_TIME).min(self.id.deadline);
        loop {
            let word = calls::revoke(&channel, id, state.incarnation, state.claim_index).await;
            match word {
                Some(Outcome::Revoked) => return Step::Next,
                Some(Outcome::Running | Outcome::Done) => {
                    if let Some(step) = self.attach(&channel, id, state).await {
                        return step;
                    }
                }
                Some(Outcome::OtherIncarnation | Outcome::Unknown) => {
                    return Step::Final(Code::OutcomeUnknown);
                }
                None => {}
            }
            if self.entry.clock.now() >= until {
                return Step::Final(Code::OutcomeUnknown);
            }
            sleep(RESOLVE_PAUSE).await;
        }
    }

    /// Waits for the answer of a running attempt; `None` when the connection broke again.
    async fn attach(
        &self,
        channel: &crocustally_net::Channel,
        id: Digest,
        state: &ClaimState,
    ) -> Option<Step> {
        let deadline = self.id.deadline;
        let mut call = calls::attach(channel, id, state.incarnation, deadline).await?;
        match read_answer(self.entry, &mut call).await {
            Ok(whole) => {
                self.keep(state, &whole);
                Some(Step::Answer(whole))
            }
            Err(Piece::Refused { ran: Ran::No, .. }) => Some(Step::Next),
            Err(Piece::Refused { .. } | Piece::Late) => Some(Step::Final(Code::OutcomeUnknown)),
            Err(_) => None,
        }
    }

    /// Replicates the answer in the background, so that any entry can give it again.
    fn keep(&self, state: &ClaimState, whole: &WholeAnswer) {
        if whole.body.len() > STORED_ANSWER_BYTES_MAX {
            return;
        }
        let finish = Finish {
            key: self.key.to_bytes(),
            attempt: state.attempt,
            status: u32::from(whole.status),
            content_type: whole.content_type.clone(),
            answer: whole.body.clone(),
        };
        let log = self.entry.log.clone();
        let rt = log.rt().clone();
        rt.spawn(async move {
            let _ = log.propose(Kind::Finish(finish), FINISH_TIMEOUT).await;
        });
    }
}

/// Reads an answer to its end mark, or the piece that it ended with instead.
async fn read_answer(entry: &Entry, call: &mut Call) -> Result<WholeAnswer, Piece> {
    let mut head: Option<Head> = None;
    let mut body = BytesMut::new();
    let mut next = 0;
    loop {
        match call.next(entry.clock.now()).await {
            Piece::Whole(whole) => return Ok(whole.into()),
            Piece::Head(h) => head = Some(h),
            Piece::Data(data) if data.offset == next => {
                body.extend_from_slice(&data.bytes);
                next += 1;
            }
            Piece::End(count) if count == next => {
                let head = head.ok_or(Piece::Lost)?;
                return Ok(WholeAnswer {
                    status: u16::try_from(head.status).unwrap_or(502),
                    content_type: head.content_type,
                    body: body.freeze(),
                });
            }
            Piece::Data(_) | Piece::End(_) => return Err(Piece::Lost),
            other => return Err(other),
        }
    }
}
