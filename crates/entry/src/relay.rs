//! [`Relay`]: requests that may be sent again: placed, relayed, and resumed until whole.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use bytes::BytesMut;
use crocustally_core::Code;
use crocustally_core::Ran;
use crocustally_core::control::DEATHS_MAX;
use crocustally_core::routing::Ask;
use crocustally_core::routing::Ended;
use crocustally_core::routing::EndpointKey;
use crocustally_net::Busy;
use crocustally_net::ResponseBody;
use crocustally_net::sleep;
use crocustally_wire::Death;
use crocustally_wire::Head;
use crocustally_wire::command::Kind;
use crocustally_wire::outcome::Kind as OutcomeKind;
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
use crate::front::refuse;
use crate::front::response;
use crate::front::whole_response;
use crate::identify::Class;
use crate::identify::Identified;
use crate::shard::Place;
use crate::shard::Shard;

/// Events that may wait for a slow caller.
const EVENTS_WAITING: usize = 64;
/// Longest back-off before asking for a place again when the retry budget is spent.
const BACK_OFF_MAX_MS: u64 = 120;
/// Shortest one.
const BACK_OFF_MIN_MS: u64 = 20;
/// Longest time to replicate a death; after that it is counted here only.
const DEATH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Times that one request is sent at most.
const SENDS_MAX: u32 = 16;

/// An open attempt whose answer has begun.
struct Live {
    place: Place,
    call: Call,
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
    first_byte: Option<Duration>,
    _busy: Busy,
}

/// Serves a request whose class allows sending it again.
pub(crate) async fn serve(entry: Arc<Entry>, id: Identified, busy: Busy) -> Response<ResponseBody> {
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
        first_byte: None,
        _busy: busy,
    };
    let begun = relay.begin().await;
    match begun {
        Ok((head, live)) if head.stream && stream => relay.stream(&head, live),
        Ok((head, live)) => match relay.collect(head, live).await {
            Ok(whole) => {
                relay.ended(None).await;
                whole_response(whole)
            }
            Err(code) => {
                relay.ended(Some(code)).await;
                refuse(code)
            }
        },
        Err(code) => {
            relay.ended(Some(code)).await;
            refuse(code)
        }
    }
}

impl Relay {
    /// Sends the request until an answer begins, or a refusal is final.
    async fn begin(&mut self) -> Result<(Head, Live), Code> {
        loop {
            self.check_suspect()?;
            let place = self.place().await?;
            self.sends += 1;
            let now = self.entry.clock.now();
            let incarnation = place.incarnation;
            let req = calls::run_request(&self.id, now, incarnation, self.next, self.suspect);
            let Some(channel) = self.entry.agent(&place.address) else {
                place.finish(Ended::Failed, None);
                return Err(Code::NoEndpoint);
            };
            match calls::open(&channel, req, self.id.deadline).await {
                Ok(mut call) => match call.next(self.entry.clock.now()).await {
                    Piece::Head(head) => return Ok((head, Live { place, call })),
                    other => self.failed(Live { place, call }, other).await?,
                },
                Err(ran) => self.unreachable(place, ran).await?,
            }
        }
    }

    /// Finds a place; a spent retry budget only delays, as long as the request may wait.
    async fn place(&mut self) -> Result<Place, Code> {
        loop {
            let now = self.entry.clock.now();
            let until = if self.sends == 0 { self.id.queue_until } else { self.id.deadline };
            let ask = Ask {
                workspace: &self.id.workspace,
                share: self.id.share,
                priority: self.id.priority,
                prefix: self.id.prefix,
                until,
                not: &self.not,
                retry: self.sends > 0,
                suspect: self.suspect,
            };
            let refused = match self.shard.place(&ask).await {
                Ok(place) => return Ok(place),
                Err(code) => code,
            };
            let passing = match refused {
                Code::RetryBudgetSpent => true,
                // Everything that is left may have refused it once already.
                Code::NoEndpoint | Code::Overloaded => !self.not.is_empty() || self.next > 0,
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
        match piece {
            Piece::Refused { code, ran: Ran::No, .. } => {
                self.not.push(place.key);
                place.finish(Ended::Refused(code), load);
                self.may_go_on(code)
            }
            Piece::Refused { code: Code::DeadlineOver, .. } | Piece::Late => {
                place.finish(Ended::Failed, load);
                Err(Code::DeadlineOver)
            }
            Piece::Refused { code, engine_died, .. } => {
                let (name, start) = (place.name.clone(), place.engine_start);
                self.not.push(place.key);
                place.finish(Ended::Failed, load);
                if engine_died {
                    self.note_death(name, start).await?;
                }
                self.may_go_on(code)
            }
            _ => self.unreachable(place, Ran::Unknown).await,
        }
    }

    /// The agent cannot be reached over the old connection: ask over a fresh one whether it lives.
    async fn unreachable(&mut self, place: Place, ran: Ran) -> Result<(), Code> {
        let (name, incarnation) = (place.name.clone(), place.incarnation);
        let channel = self.entry.agent(&place.address);
        self.not.push(place.key);
        place.finish(Ended::Failed, None);
        if ran == Ran::No {
            return self.may_go_on(Code::NoEndpoint);
        }
        let alive = match channel {
            Some(channel) => {
                let word = calls::revoke(&channel, self.id.digest, incarnation, 0).await;
                word.is_some_and(|w| w != crocustally_wire::revoke_reply::Outcome::OtherIncarnation)
            }
            None => false,
        };
        if !alive {
            self.note_death(name, incarnation).await?;
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
        self.suspect = deaths > 0;
        if deaths >= DEATHS_MAX { Err(Code::Quarantined) } else { Ok(()) }
    }

    async fn note_death(&mut self, endpoint: String, engine_start: u64) -> Result<(), Code> {
        let digests = vec![self.id.digest.to_bytes()];
        let death = Kind::Death(Death { endpoint, engine_start, digests });
        let outcome = self.entry.log.propose(death, DEATH_TIMEOUT).await;
        let deaths = match outcome.ok().and_then(|o| o.kind) {
            Some(OutcomeKind::Death(d)) => d.deaths.first().copied().unwrap_or(0),
            _ => self.entry.count_death_locally(self.id.digest),
        };
        self.suspect = true;
        if deaths >= DEATHS_MAX {
            log::warn!("request {} quarantined after {deaths} deaths", self.id.digest.hex());
            return Err(Code::Quarantined);
        }
        Ok(())
    }

    /// Accounts for the request; a suspect that ended whole is cleared.
    async fn ended(&mut self, code: Option<Code>) {
        let whole = code.is_none();
        account(&self.entry, &self.id, whole, code, self.first_byte);
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
    async fn collect(&mut self, head: Head, live: Live) -> Result<WholeAnswer, Code> {
        let (mut head, mut live) = (head, live);
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
                        live.place.finish(Ended::Answered, live.call.load);
                        let status = u16::try_from(head.status).unwrap_or(502);
                        let content_type = head.content_type;
                        return Ok(WholeAnswer { status, content_type, body: body.freeze() });
                    }
                    other => break other,
                }
            };
            self.failed(live, broken).await?;
            (head, live) = self.begin().await?;
        }
    }

    /// Answers with events as they come; the rest goes on in the background.
    fn stream(self, head: &Head, live: Live) -> Response<ResponseBody> {
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
                    now.place.finish(Ended::Answered, now.call.load);
                    break None;
                }
                Err(None) => {
                    metrics::counter!("crocustally_callers_left_total").increment(1);
                    return;
                }
                Err(Some(piece)) => piece,
            };
            if let Err(code) = self.failed(now, broken).await {
                break Some(code);
            }
            metrics::counter!("crocustally_resumed_total").increment(1);
            match self.begin().await {
                Ok((_, again)) => live = Some(again),
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
        self.ended(code).await;
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
                Piece::Data(_) | Piece::End(_) | Piece::Head(_) => return Err(Some(Piece::Lost)),
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
