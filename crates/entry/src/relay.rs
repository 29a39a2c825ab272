//! [`Relay`]: requests that may be sent again. They are routed, relayed, and resumed until the
//! response is complete.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use bytes::BytesMut;
use crocustally_core::Code;
use crocustally_core::Ran;
use crocustally_core::control::DEATHS_BEFORE_QUARANTINE;
use crocustally_core::routing::EndpointKey;
use crocustally_core::routing::RequestOutcome;
use crocustally_core::routing::RouteRequest;
use crocustally_net::RequestGuard;
use crocustally_net::ResponseBody;
use crocustally_net::sleep;
use crocustally_wire::Head;
use crocustally_wire::command::Kind;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use rand::RngExt;
use smallvec::SmallVec;

use crate::Entry;
use crate::calls;
use crate::calls::Call;
use crate::calls::Piece;
use crate::front::CompleteResponse;
use crate::front::build_response;
use crate::front::complete_response;
use crate::front::record_result;
use crate::front::refusal_with;
use crate::identify::CallerRequest;
use crate::identify::RequestClass;
use crate::loss::DEATH_TIMEOUT;
use crate::loss::EndpointLoss;
use crate::shard::Shard;
use crate::shard::Slot;

/// Events buffered for a slow caller.
const EVENT_BUFFER_LEN: usize = 8;
/// Longest backoff before a slot is requested again.
const BACKOFF_MAX_MS: u64 = 120;
/// Shortest backoff before a slot is requested again.
const BACKOFF_MIN_MS: u64 = 20;
/// Attempts that may be abandoned because their response does not start. One more attempt follows
/// them, so a request that crashes engines takes down at most one endpoint more than this.
const HEDGES_MAX: u32 = 1;
/// How long an abandoned attempt is still watched for the death of its endpoint.
const ABANDONED_WATCH_TIME: Duration = Duration::from_secs(1);
/// Most attempts of one request.
const ATTEMPTS_MAX: u32 = 16;

/// An open attempt with the slot that it occupies.
struct ActiveAttempt {
    slot: Slot,
    call: Call,
}

/// The first piece of a response.
enum ResponseStart {
    /// The head of the response; the body follows in pieces.
    Open(Box<(Head, ActiveAttempt)>),
    /// The complete response.
    Whole(CompleteResponse),
}

/// A request that is sent until its response is complete.
struct Relay {
    entry: Arc<Entry>,
    shard: Arc<Shard>,
    request: CallerRequest,
    /// Number of the next event that the caller needs.
    next_event: u64,
    excluded: SmallVec<[EndpointKey; 4]>,
    attempt_count: u32,
    suspect: bool,
    /// Whether an attempt may have reached an engine; if so, a later refusal must not report
    /// `Ran::No`.
    may_have_run: bool,
    first_byte: Option<Duration>,
    /// Death counts from investigations that have not finished.
    pending_losses: Vec<Receiver<u32>>,
    _request_guard: RequestGuard,
}

/// Serves a request whose class allows more than one attempt.
pub(crate) async fn serve(
    entry: Arc<Entry>,
    request: CallerRequest,
    guard: RequestGuard,
) -> Response<ResponseBody> {
    let shard = entry.shard(&request.service);
    let next_event = request.resume_from;
    let stream = request.class == RequestClass::Idempotent { stream: true };
    let mut relay = Relay {
        entry,
        shard,
        request,
        next_event,
        excluded: SmallVec::new(),
        attempt_count: 0,
        suspect: false,
        may_have_run: false,
        first_byte: None,
        pending_losses: Vec::new(),
        _request_guard: guard,
    };
    let result = match relay.start_response().await {
        Ok(ResponseStart::Whole(response)) => Ok(response),
        Ok(ResponseStart::Open(open)) if open.0.stream && stream => return relay.stream(*open),
        Ok(ResponseStart::Open(open)) => relay.collect(*open).await,
        Err(code) => Err(code),
    };
    let code = result.as_ref().err().copied();
    let ran = relay.may_have_run.then_some(Ran::Unknown);
    let rt = relay.entry.rt.clone();
    rt.spawn(async move { relay.record_end(code).await });
    result.map_or_else(|code| refusal_with(code, ran.unwrap_or(code.ran())), complete_response)
}

impl Relay {
    /// Sends the request until a response starts or a refusal is final.
    async fn start_response(&mut self) -> Result<ResponseStart, Code> {
        loop {
            self.check_suspect()?;
            let mut slot = self.acquire_slot().await?;
            self.attempt_count += 1;
            let now = self.entry.clock.now();
            let incarnation = slot.incarnation;
            let req =
                calls::run_request(&self.request, now, incarnation, self.next_event, self.suspect);
            let Some(channel) = self.entry.agent_channel(&slot.address) else {
                slot.complete(RequestOutcome::Failed, None);
                return Err(Code::NoEndpoint);
            };
            match calls::open(&channel, req, self.request.deadline).await {
                Ok(mut call) => match call.first_piece(now, self.first_byte_timeout(&slot)).await {
                    Piece::Head(head) => {
                        slot.mark_response_started();
                        return Ok(ResponseStart::Open(Box::new((
                            head,
                            ActiveAttempt { slot, call },
                        ))));
                    }
                    Piece::Whole(whole) => {
                        self.record_first_byte();
                        slot.complete(RequestOutcome::Answered, call.load);
                        return Ok(ResponseStart::Whole(whole.into()));
                    }
                    other => self.handle_failure(ActiveAttempt { slot, call }, other).await?,
                },
                Err(ran) => self.handle_unreachable(slot, ran).await?,
            }
        }
    }

    /// First-byte timeout of this attempt: the first attempts may be abandoned for another
    /// endpoint, all later ones wait until the deadline.
    fn first_byte_timeout(&self, slot: &Slot) -> Duration {
        if self.attempt_count <= HEDGES_MAX { slot.first_byte_timeout } else { Duration::MAX }
    }

    /// Acquires a slot, retrying after a backoff until the queue deadline.
    ///
    /// An exhausted retry budget only delays the request. A request that was sent before may queue
    /// for the full queueing time again.
    async fn acquire_slot(&mut self) -> Result<Slot, Code> {
        let queue_time =
            self.request.queue_deadline.saturating_duration_since(self.request.arrived);
        let retry_deadline = (self.entry.clock.now() + queue_time).min(self.request.deadline);
        let queue_deadline =
            if self.attempt_count == 0 { self.request.queue_deadline } else { retry_deadline };
        loop {
            let now = self.entry.clock.now();
            let route_request = RouteRequest {
                workspace: &self.request.workspace,
                share: self.request.share,
                priority: self.request.priority,
                prefix: self.request.prefix,
                queue_deadline,
                excluded: &self.excluded,
                retry: self.attempt_count > 0,
            };
            let refused = match self.shard.acquire_slot(&route_request).await {
                Ok(slot) => return Ok(slot),
                Err(code) => code,
            };
            let retryable = match refused {
                Code::RetryBudgetSpent => true,
                // An endpoint that failed may recover, and the remaining ones may be full only
                // briefly.
                Code::NoEndpoint | Code::Overloaded => self.attempt_count > 0,
                _ => false,
            };
            if !retryable || now >= queue_deadline || self.attempt_count >= ATTEMPTS_MAX {
                return Err(refused);
            }
            self.excluded.clear();
            self.sleep_backoff().await;
        }
    }

    async fn sleep_backoff(&self) {
        let ms = rand::rng().random_range(BACKOFF_MIN_MS..BACKOFF_MAX_MS);
        sleep(Duration::from_millis(ms)).await;
    }

    /// Releases the slot of a failed attempt. Returns an error if the request must not be sent
    /// again.
    async fn handle_failure(&mut self, attempt: ActiveAttempt, piece: Piece) -> Result<(), Code> {
        let ActiveAttempt { slot, call } = attempt;
        let load = call.load;
        self.may_have_run |= !matches!(piece, Piece::Refused { ran: Ran::No, .. });
        match piece {
            Piece::Refused { code: Code::SuspectBusy, .. } => {
                slot.complete(RequestOutcome::Refused(Code::SuspectBusy), load);
                // The endpoint runs one suspect at a time; this refusal does not count as an
                // attempt.
                self.attempt_count -= 1;
                self.sleep_backoff().await;
                self.check_may_retry(Code::SuspectBusy)
            }
            Piece::Refused { code, ran: Ran::No, .. } => {
                self.excluded.push(slot.key);
                slot.complete(RequestOutcome::Refused(code), load);
                self.check_may_retry(code)
            }
            Piece::FirstByteTimeout => {
                metrics::counter!("crocustally_hedged_total").increment(1);
                self.excluded.push(slot.key);
                self.watch_abandoned(slot, call);
                self.check_may_retry(Code::DeadlineOver)
            }
            Piece::Refused { code: Code::DeadlineOver, .. } | Piece::DeadlineExceeded => {
                slot.complete(RequestOutcome::Failed, load);
                Err(Code::DeadlineOver)
            }
            Piece::Refused { code, .. } => {
                let loss = EndpointLoss::detect(&self.entry, &slot, &piece);
                self.excluded.push(slot.key);
                slot.complete(RequestOutcome::Failed, load);
                if let Some(loss) = loss {
                    self.record_loss(loss).await?;
                }
                self.check_may_retry(code)
            }
            _ => self.handle_unreachable(slot, Ran::Unknown).await,
        }
    }

    /// Handles an agent that cannot be reached over the existing connection. Its state is probed
    /// over a new connection; the first probe runs in the background, so the caller does not wait
    /// for it.
    async fn handle_unreachable(&mut self, slot: Slot, ran: Ran) -> Result<(), Code> {
        let loss = EndpointLoss::detect(&self.entry, &slot, &Piece::ConnectionLost);
        self.excluded.push(slot.key);
        slot.complete(RequestOutcome::Unreachable, None);
        self.may_have_run |= ran != Ran::No;
        if let (Some(loss), Ran::Unknown) = (loss, ran) {
            self.record_loss(loss).await?;
        }
        self.check_may_retry(Code::AnswerBroken)
    }

    fn check_may_retry(&self, code: Code) -> Result<(), Code> {
        let deadline_over = self.entry.clock.now() >= self.request.deadline;
        if deadline_over || self.attempt_count >= ATTEMPTS_MAX { Err(code) } else { Ok(()) }
    }

    // ------------------------------------------------------------------------------------------
    // Suspects

    /// Marks a request that was in flight at a death as a suspect, which agents run one at a time.
    /// Refuses it once the deaths reach the quarantine threshold.
    fn check_suspect(&mut self) -> Result<(), Code> {
        let deaths = self.entry.deaths(self.request.digest);
        self.suspect |= deaths > 0;
        if deaths >= DEATHS_BEFORE_QUARANTINE { Err(Code::Quarantined) } else { Ok(()) }
    }

    /// Records that an endpoint was lost with this request in flight.
    ///
    /// The first loss makes the request a suspect at once and is investigated in the background.
    /// From the second loss on, all investigations finish before the request is sent again, so a
    /// request that has crashed two endpoints is not sent a third time.
    async fn record_loss(&mut self, loss: EndpointLoss) -> Result<(), Code> {
        self.suspect = true;
        let investigation = loss.investigate(self.entry.clone(), self.request.digest);
        if self.pending_losses.is_empty() {
            // A separate task counts the death even if the caller disconnects.
            let (tx, rx) = async_channel::bounded(1);
            self.entry.rt.spawn(async move {
                let _ = tx.try_send(investigation.await);
            });
            self.pending_losses.push(rx);
            return Ok(());
        }
        let mut deaths = investigation.await;
        for earlier in self.pending_losses.drain(..) {
            deaths = deaths.max(earlier.recv().await.unwrap_or(0));
        }
        deaths = deaths.max(self.entry.deaths(self.request.digest));
        if deaths >= DEATHS_BEFORE_QUARANTINE {
            log::warn!("request {} quarantined after {deaths} deaths", self.request.digest.hex());
            // Peers are notified first, since the caller may retry at any entry at once.
            self.entry.broadcast_quarantine(self.request.digest).await;
            return Err(Code::Quarantined);
        }
        Ok(())
    }

    /// Watches an abandoned attempt, so that a later death of its endpoint is counted too.
    fn watch_abandoned(&mut self, slot: Slot, mut call: Call) {
        let (entry, digest) = (self.entry.clone(), self.request.digest);
        let (tx, rx) = async_channel::bounded(1);
        self.pending_losses.push(rx);
        self.entry.rt.spawn(async move {
            let piece = call.first_piece(entry.clock.now(), ABANDONED_WATCH_TIME).await;
            let loss = EndpointLoss::detect(&entry, &slot, &piece);
            let outcome = if matches!(piece, Piece::ConnectionLost) {
                RequestOutcome::Unreachable
            } else {
                RequestOutcome::Failed
            };
            slot.complete(outcome, call.load);
            drop(call);
            if let Some(loss) = loss {
                let _ = tx.try_send(loss.investigate(entry, digest).await);
            }
        });
    }

    /// Records the result. A suspect with a complete response is cleared once all its deaths are
    /// counted.
    async fn record_end(&mut self, code: Option<Code>) {
        let complete = code.is_none();
        record_result(&self.entry, &self.request, complete, code, self.first_byte);
        for loss in self.pending_losses.drain(..) {
            let _ = loss.recv().await;
        }
        if complete && self.suspect {
            self.entry.clear_local_suspect(self.request.digest);
            let cleared = Kind::Cleared(self.request.digest.to_bytes());
            let _ = self.entry.log.propose(cleared, DEATH_TIMEOUT).await;
        }
    }

    fn record_first_byte(&mut self) {
        let elapsed = self.entry.clock.now().saturating_duration_since(self.request.arrived);
        self.first_byte.get_or_insert(elapsed);
    }

    // ------------------------------------------------------------------------------------------
    // Responses

    /// Collects a response that is not streamed; after a failure it is collected again from the
    /// start.
    async fn collect(&mut self, open: (Head, ActiveAttempt)) -> Result<CompleteResponse, Code> {
        let (mut head, mut attempt) = open;
        loop {
            let mut body = BytesMut::new();
            let mut next = 0;
            let broken = loop {
                match attempt.call.next_piece(self.entry.clock.now()).await {
                    Piece::Data(data) if data.offset == next || head.stream => {
                        self.record_first_byte();
                        body.extend_from_slice(&data.bytes);
                        next = data.offset + 1;
                    }
                    Piece::End(count) if count == next => {
                        attempt.slot.complete(RequestOutcome::Answered, attempt.call.load);
                        let status = u16::try_from(head.status).unwrap_or(502);
                        let content_type = head.content_type;
                        return Ok(CompleteResponse { status, content_type, body: body.freeze() });
                    }
                    other => break other,
                }
            };
            self.handle_failure(attempt, broken).await?;
            match self.start_response().await? {
                ResponseStart::Whole(response) => return Ok(response),
                ResponseStart::Open(restarted) => (head, attempt) = *restarted,
            }
        }
    }

    /// Returns a response whose events are relayed by a background task.
    fn stream(self, (head, attempt): (Head, ActiveAttempt)) -> Response<ResponseBody> {
        let (tx, rx) = async_channel::bounded(EVENT_BUFFER_LEN);
        let rt = self.entry.rt.clone();
        rt.spawn(self.relay_stream(attempt, tx));
        let body = BodyExt::boxed_unsync(StreamBody::new(rx));
        let status = u16::try_from(head.status).unwrap_or(502);
        build_response(status, &head.content_type, body)
    }

    /// Relays events in order and without duplicates, resuming at another endpoint until the end
    /// marker.
    async fn relay_stream(
        mut self,
        attempt: ActiveAttempt,
        tx: Sender<Result<Frame<Bytes>, std::io::Error>>,
    ) {
        let mut attempt = Some(attempt);
        let code = loop {
            let Some(mut current) = attempt.take() else { break Some(Code::AnswerBroken) };
            let broken = match self.relay_events(&mut current, &tx).await {
                Ok(()) => {
                    current.slot.complete(RequestOutcome::Answered, current.call.load);
                    break None;
                }
                Err(None) => {
                    metrics::counter!("crocustally_callers_left_total").increment(1);
                    return;
                }
                Err(Some(piece)) => piece,
            };
            if let Err(code) = Box::pin(self.handle_failure(current, broken)).await {
                break Some(code);
            }
            metrics::counter!("crocustally_resumed_total").increment(1);
            match Box::pin(self.start_response()).await {
                Ok(ResponseStart::Open(resumed)) => attempt = Some(resumed.1),
                Ok(ResponseStart::Whole(_)) => break Some(Code::AnswerBroken),
                Err(code) => break Some(code),
            }
        };
        if let Some(code) = code {
            // The connection is aborted after this event, so that the caller cannot mistake a
            // truncated response for a complete one.
            let text = format!("event: error\ndata: {{\"code\":{}}}\n\n", code.number());
            let _ = tx.send(Ok(Frame::data(Bytes::from(text)))).await;
            let _ = tx.send(Err(std::io::Error::other(code.text()))).await;
        }
        drop(tx);
        Box::pin(self.record_end(code)).await;
    }

    /// Relays events until the end marker. The error is the piece that interrupted the attempt, or
    /// `None` if the caller disconnected.
    async fn relay_events(
        &mut self,
        attempt: &mut ActiveAttempt,
        tx: &Sender<Result<Frame<Bytes>, std::io::Error>>,
    ) -> Result<(), Option<Piece>> {
        loop {
            match attempt.call.next_piece(self.entry.clock.now()).await {
                Piece::Data(data) if data.offset < self.next_event => {}
                Piece::Data(data) if data.offset == self.next_event => {
                    self.record_first_byte();
                    let event = with_event_id(self.next_event, &data.bytes);
                    self.next_event += 1;
                    if tx.send(Ok(Frame::data(event))).await.is_err() {
                        return Err(None);
                    }
                }
                Piece::End(count) if count == self.next_event => return Ok(()),
                // A gap in the offsets or an early end: the attempt cannot be continued.
                Piece::Data(_) | Piece::End(_) | Piece::Head(_) | Piece::Whole(_) => {
                    return Err(Some(Piece::ConnectionLost));
                }
                other => return Err(Some(other)),
            }
        }
    }
}

/// Prefixes an event with its number, with which a caller can resume at another entry.
fn with_event_id(n: u64, event: &Bytes) -> Bytes {
    let mut out = BytesMut::with_capacity(event.len() + 16);
    out.extend_from_slice(format!("id: {n}\n").as_bytes());
    out.extend_from_slice(event);
    out.freeze()
}
