//! [`Relay`]: requests that may be sent again: placed, relayed, and resumed until whole.

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
use crate::front::WholeAnswer;
use crate::front::account;
use crate::front::refuse_after;
use crate::front::response;
use crate::front::whole_response;
use crate::identify::Class;
use crate::identify::Identified;
use crate::loss::DEATH_TIMEOUT;
use crate::loss::Loss;
use crate::shard::Place;
use crate::shard::Shard;

/// Events that may wait for a slow caller.
const EVENTS_WAITING: usize = 8;
/// Longest back-off before asking for a place again when the retry budget is spent.
const BACK_OFF_MAX_MS: u64 = 120;
/// Shortest one.
const BACK_OFF_MIN_MS: u64 = 20;
/// Sendings that may be given up because their answer does not begin. With the one that follows,
/// these are as many endpoints as a crashing request may take down.
const HEDGES_MAX: u32 = 1;
/// How long a sending that was given up is still watched for the death of its endpoint.
const WATCH_TIME: Duration = Duration::from_secs(1);
/// Times that one request is sent at most.
const SENDS_MAX: u32 = 16;

/// An open attempt whose answer has begun.
struct Live {
    place: Place,
    call: Call,
}

/// The answer of a request that was sent.
enum Begun {
    /// It has begun, and goes on.
    Live(Box<(Head, Live)>),
    /// It is there.
    Whole(WholeAnswer),
}

/// One request on its way to a whole answer.
struct Relay {
    entry: Arc<Entry>,
    shard: Arc<Shard>,
    id: Identified,
    /// Next event that the caller needs.
    next: u64,
    not: SmallVec<[EndpointKey; 4]>,
    sends: u32,
    suspect: bool,
    /// Whether an attempt reached an engine, so that no later refusal may say not run.
    may_have_run: bool,
    first_byte: Option<Duration>,
    /// Losses that are being looked into.
    losses: Vec<Receiver<u32>>,
    _busy: RequestGuard,
}

/// Serves a request whose class allows sending it again.
pub(crate) async fn serve(
    entry: Arc<Entry>,
    id: Identified,
    busy: RequestGuard,
) -> Response<ResponseBody> {
    let shard = entry.shard(&id.service);
    let next = id.resume_from;
    let stream = id.class == Class::Idempotent { stream: true };
    let mut relay = Relay {
        entry,
        shard,
        id,
        next,
        not: SmallVec::new(),
        sends: 0,
        suspect: false,
        may_have_run: false,
        first_byte: None,
        losses: Vec::new(),
        _busy: busy,
    };
    let result = match relay.begin().await {
        Ok(Begun::Whole(whole)) => Ok(whole),
        Ok(Begun::Live(begun)) if begun.0.stream && stream => return relay.stream(*begun),
        Ok(Begun::Live(begun)) => relay.collect(*begun).await,
        Err(code) => Err(code),
    };
    let code = result.as_ref().err().copied();
    let ran = relay.may_have_run.then_some(Ran::Unknown);
    let rt = relay.entry.rt.clone();
    rt.spawn(async move { relay.ended(code).await });
    result.map_or_else(|code| refuse_after(code, ran.unwrap_or(code.ran())), whole_response)
}

impl Relay {
    /// Sends the request until an answer begins, or a refusal is final.
    async fn begin(&mut self) -> Result<Begun, Code> {
        loop {
            self.check_suspect()?;
            let mut place = self.place().await?;
            self.sends += 1;
            let now = self.entry.clock.now();
            let incarnation = place.incarnation;
            let req = calls::run_request(&self.id, now, incarnation, self.next, self.suspect);
            let Some(channel) = self.entry.agent(&place.address) else {
                place.finish(RequestOutcome::Failed, None);
                return Err(Code::NoEndpoint);
            };
            match calls::open(&channel, req, self.id.deadline).await {
                Ok(mut call) => match call.first(now, self.patience(&place)).await {
                    Piece::Head(head) => {
                        place.began();
                        return Ok(Begun::Live(Box::new((head, Live { place, call }))));
                    }
                    Piece::Whole(whole) => {
                        self.note_first_byte();
                        place.finish(RequestOutcome::Answered, call.load);
                        return Ok(Begun::Whole(whole.into()));
                    }
                    other => self.failed(Live { place, call }, other).await?,
                },
                Err(ran) => self.unreachable(place, ran).await?,
            }
        }
    }

    /// The first sendings may be given up for another endpoint; the last one waits.
    fn patience(&self, place: &Place) -> Duration {
        if self.sends <= HEDGES_MAX { place.patience } else { Duration::MAX }
    }

    /// Finds a place; a spent retry budget only delays, as long as the request may wait. One that
    /// was sent before may wait as long again.
    async fn place(&mut self) -> Result<Place, Code> {
        let wait = self.id.queue_until.saturating_duration_since(self.id.arrived);
        let again = (self.entry.clock.now() + wait).min(self.id.deadline);
        let until = if self.sends == 0 { self.id.queue_until } else { again };
        loop {
            let now = self.entry.clock.now();
            let ask = RouteRequest {
                workspace: &self.id.workspace,
                share: self.id.share,
                priority: self.id.priority,
                prefix: self.id.prefix,
                queue_deadline: until,
                excluded: &self.not,
                retry: self.sends > 0,
            };
            let refused = match self.shard.place(&ask).await {
                Ok(place) => return Ok(place),
                Err(code) => code,
            };
            let passing = match refused {
                Code::RetryBudgetSpent => true,
                // What it was sent to may come back, and what is left may have refused it only once.
                Code::NoEndpoint | Code::Overloaded => self.sends > 0,
                _ => false,
            };
            if !passing || now >= until || self.sends >= SENDS_MAX {
                return Err(refused);
            }
            self.not.clear();
            self.back_off().await;
        }
    }

    async fn back_off(&self) {
        let ms = rand::rng().random_range(BACK_OFF_MIN_MS..BACK_OFF_MAX_MS);
        sleep(Duration::from_millis(ms)).await;
    }

    /// Decides whether a request whose attempt failed may be sent again; the error is final.
    async fn failed(&mut self, live: Live, piece: Piece) -> Result<(), Code> {
        let Live { place, call } = live;
        let load = call.load;
        self.may_have_run |= !matches!(piece, Piece::Refused { ran: Ran::No, .. });
        match piece {
            Piece::Refused { code: Code::SuspectBusy, .. } => {
                place.finish(RequestOutcome::Refused(Code::SuspectBusy), load);
                // Its turn comes; this sending was none.
                self.sends -= 1;
                self.back_off().await;
                self.may_go_on(Code::SuspectBusy)
            }
            Piece::Refused { code, ran: Ran::No, .. } => {
                self.not.push(place.key);
                place.finish(RequestOutcome::Refused(code), load);
                self.may_go_on(code)
            }
            Piece::Slow => {
                metrics::counter!("crocustally_hedged_total").increment(1);
                self.not.push(place.key);
                self.watch_given_up(place, call);
                self.may_go_on(Code::DeadlineOver)
            }
            Piece::Refused { code: Code::DeadlineOver, .. } | Piece::Late => {
                place.finish(RequestOutcome::Failed, load);
                Err(Code::DeadlineOver)
            }
            Piece::Refused { code, .. } => {
                let loss = Loss::of(&self.entry, &place, &piece);
                self.not.push(place.key);
                place.finish(RequestOutcome::Failed, load);
                if let Some(loss) = loss {
                    self.note_loss(loss).await?;
                }
                self.may_go_on(code)
            }
            _ => self.unreachable(place, Ran::Unknown).await,
        }
    }

    /// The agent cannot be reached over the old connection. Whether it lives is asked over a fresh
    /// one, in the background the first time, since the caller waits.
    async fn unreachable(&mut self, place: Place, ran: Ran) -> Result<(), Code> {
        let loss = Loss::of(&self.entry, &place, &Piece::Lost);
        self.not.push(place.key);
        place.finish(RequestOutcome::Unreachable, None);
        self.may_have_run |= ran != Ran::No;
        if let (Some(loss), Ran::Unknown) = (loss, ran) {
            self.note_loss(loss).await?;
        }
        self.may_go_on(Code::AnswerBroken)
    }

    fn may_go_on(&self, code: Code) -> Result<(), Code> {
        let late = self.entry.clock.now() >= self.id.deadline;
        if late || self.sends >= SENDS_MAX { Err(code) } else { Ok(()) }
    }

    // ------------------------------------------------------------------------------------------
    // Suspects

    /// A request that was in flight at a death goes alone from then on; two deaths are the end.
    fn check_suspect(&mut self) -> Result<(), Code> {
        let deaths = self.entry.deaths(self.id.digest);
        self.suspect |= deaths > 0;
        if deaths >= DEATHS_BEFORE_QUARANTINE { Err(Code::Quarantined) } else { Ok(()) }
    }

    /// Notes that an endpoint was lost with this request in flight.
    ///
    /// The first loss makes it a suspect at once and is looked into behind its back. Before it is
    /// sent a third time, both losses have been looked into.
    async fn note_loss(&mut self, loss: Loss) -> Result<(), Code> {
        self.suspect = true;
        let looked = loss.look_into(self.entry.clone(), self.id.digest);
        if self.losses.is_empty() {
            // On its own, so that it is counted even when the caller leaves meanwhile.
            let (tx, rx) = async_channel::bounded(1);
            self.entry.rt.spawn(async move {
                let _ = tx.try_send(looked.await);
            });
            self.losses.push(rx);
            return Ok(());
        }
        let mut deaths = looked.await;
        for earlier in self.losses.drain(..) {
            deaths = deaths.max(earlier.recv().await.unwrap_or(0));
        }
        deaths = deaths.max(self.entry.deaths(self.id.digest));
        if deaths >= DEATHS_BEFORE_QUARANTINE {
            log::warn!("request {} quarantined after {deaths} deaths", self.id.digest.hex());
            // The caller may send it again at once, at any entry.
            self.entry.tell_quarantine(self.id.digest).await;
            return Err(Code::Quarantined);
        }
        Ok(())
    }

    /// Watches a sending that was given up: if its endpoint dies after all, that counts.
    fn watch_given_up(&mut self, place: Place, mut call: Call) {
        let (entry, digest) = (self.entry.clone(), self.id.digest);
        let (tx, rx) = async_channel::bounded(1);
        self.losses.push(rx);
        self.entry.rt.spawn(async move {
            let piece = call.first(entry.clock.now(), WATCH_TIME).await;
            let loss = Loss::of(&entry, &place, &piece);
            let ended = if matches!(piece, Piece::Lost) {
                RequestOutcome::Unreachable
            } else {
                RequestOutcome::Failed
            };
            place.finish(ended, call.load);
            drop(call);
            if let Some(loss) = loss {
                let _ = tx.try_send(loss.look_into(entry, digest).await);
            }
        });
    }

    /// Accounts for the request; a suspect that ended whole is cleared, after its losses have been
    /// counted.
    async fn ended(&mut self, code: Option<Code>) {
        let whole = code.is_none();
        account(&self.entry, &self.id, whole, code, self.first_byte);
        for loss in self.losses.drain(..) {
            let _ = loss.recv().await;
        }
        if whole && self.suspect {
            self.entry.clear_locally(self.id.digest);
            let cleared = Kind::Cleared(self.id.digest.to_bytes());
            let _ = self.entry.log.propose(cleared, DEATH_TIMEOUT).await;
        }
    }

    fn note_first_byte(&mut self) {
        let took = self.entry.clock.now().saturating_duration_since(self.id.arrived);
        self.first_byte.get_or_insert(took);
    }

    // ------------------------------------------------------------------------------------------
    // Answers

    /// Collects an answer that is not streamed; a broken one starts again from nothing.
    async fn collect(&mut self, begun: (Head, Live)) -> Result<WholeAnswer, Code> {
        let (mut head, mut live) = begun;
        loop {
            let mut body = BytesMut::new();
            let mut next = 0;
            let broken = loop {
                match live.call.next(self.entry.clock.now()).await {
                    Piece::Data(data) if data.offset == next || head.stream => {
                        self.note_first_byte();
                        body.extend_from_slice(&data.bytes);
                        next = data.offset + 1;
                    }
                    Piece::End(count) if count == next => {
                        live.place.finish(RequestOutcome::Answered, live.call.load);
                        let status = u16::try_from(head.status).unwrap_or(502);
                        let content_type = head.content_type;
                        return Ok(WholeAnswer { status, content_type, body: body.freeze() });
                    }
                    other => break other,
                }
            };
            self.failed(live, broken).await?;
            match self.begin().await? {
                Begun::Whole(whole) => return Ok(whole),
                Begun::Live(again) => (head, live) = *again,
            }
        }
    }

    /// Answers with events as they come; the rest goes on in the background.
    fn stream(self, (head, live): (Head, Live)) -> Response<ResponseBody> {
        let (tx, rx) = async_channel::bounded(EVENTS_WAITING);
        let rt = self.entry.rt.clone();
        rt.spawn(self.pump(live, tx));
        let body = BodyExt::boxed_unsync(StreamBody::new(rx));
        let status = u16::try_from(head.status).unwrap_or(502);
        response(status, &head.content_type, body)
    }

    /// Relays events in order and without repeats, resuming elsewhere until the end mark.
    async fn pump(mut self, live: Live, tx: Sender<Result<Frame<Bytes>, std::io::Error>>) {
        let mut live = Some(live);
        let code = loop {
            let Some(mut now) = live.take() else { break Some(Code::AnswerBroken) };
            let broken = match self.relay_events(&mut now, &tx).await {
                Ok(()) => {
                    now.place.finish(RequestOutcome::Answered, now.call.load);
                    break None;
                }
                Err(None) => {
                    metrics::counter!("crocustally_callers_left_total").increment(1);
                    return;
                }
                Err(Some(piece)) => piece,
            };
            if let Err(code) = Box::pin(self.failed(now, broken)).await {
                break Some(code);
            }
            metrics::counter!("crocustally_resumed_total").increment(1);
            match Box::pin(self.begin()).await {
                Ok(Begun::Live(again)) => live = Some(again.1),
                Ok(Begun::Whole(_)) => break Some(Code::AnswerBroken),
                Err(code) => break Some(code),
            }
        };
        if let Some(code) = code {
            // The connection is broken off behind this event, so that nobody takes what has come
            // for a whole answer.
            let text = format!("event: error\ndata: {{\"code\":{}}}\n\n", code.number());
            let _ = tx.send(Ok(Frame::data(Bytes::from(text)))).await;
            let _ = tx.send(Err(std::io::Error::other(code.text()))).await;
        }
        drop(tx);
        Box::pin(self.ended(code)).await;
    }

    /// Relays until the end mark; otherwise the piece that broke it, or none when the caller left.
    async fn relay_events(
        &mut self,
        live: &mut Live,
        tx: &Sender<Result<Frame<Bytes>, std::io::Error>>,
    ) -> Result<(), Option<Piece>> {
        loop {
            match live.call.next(self.entry.clock.now()).await {
                Piece::Data(data) if data.offset < self.next => {}
                Piece::Data(data) if data.offset == self.next => {
                    self.note_first_byte();
                    let event = numbered(self.next, &data.bytes);
                    self.next += 1;
                    if tx.send(Ok(Frame::data(event))).await.is_err() {
                        return Err(None);
                    }
                }
                Piece::End(count) if count == self.next => return Ok(()),
                // A gap, or an end before everything has come: this attempt is of no more use.
                Piece::Data(_) | Piece::End(_) | Piece::Head(_) | Piece::Whole(_) => {
                    return Err(Some(Piece::Lost));
                }
                other => return Err(Some(other)),
            }
        }
    }
}

/// The event with its number, by which a caller can ask another entry for the rest.
fn numbered(n: u64, event: &Bytes) -> Bytes {
    let mut out = BytesMut::with_capacity(event.len() + 16);
    out.extend_from_slice(format!("id: {n}\n").as_bytes());
    out.extend_from_slice(event);
    out.freeze()
}
