//! Answers of one piece.

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::dispatch::Ended;
use crocustally_core::dispatch::Refusal;
use crocustally_net::ResponseBody;
use crocustally_net::full_body;
use crocustally_net::timeout;
use hyper::Response;

use crate::exchange::Exchange;
use crate::upstream;
use crate::upstream::Answer;
use crate::upstream::Sent;

/// Time that a refused caller is told to stay away after endpoints have refused its request.
const RETRY_AFTER_REFUSALS: std::time::Duration = std::time::Duration::from_millis(400);

/// Gets the answer from one endpoint after another, as often as the route allows.
pub(crate) async fn serve(mut ex: Exchange) -> Response<ResponseBody> {
    let mut sent_before = false;
    // An endpoint's own failure is given to the caller when no other endpoint does better.
    let mut failure: Option<(Answer, Bytes)> = None;
    let refused = Refusal { code: Code::EndpointFull, retry_after: RETRY_AFTER_REFUSALS };
    loop {
        let place = match ex.place(sent_before).await {
            Ok(place) => place,
            Err(refusal) => return finish(&mut ex, failure, refusal),
        };
        sent_before = true;
        let left = ex.left();
        match upstream::send(&ex, &place, left, None).await {
            Sent::NotRun(ended) => {
                ex.finish(place, ended);
                if !ex.may_send() || ex.left().is_zero() {
                    return finish(&mut ex, failure, refused);
                }
            }
            Sent::Lost(ended) => {
                ex.runs += 1;
                ex.finish(place, ended);
                if !ex.may_run_again() || !ex.may_send() {
                    return finish(&mut ex, failure, refused);
                }
            }
            Sent::Answer(mut answer) => {
                ex.runs += 1;
                let mut place = place;
                place.began();
                let left = ex.left();
                let body = timeout(left, upstream::read_whole(&mut answer.body)).await.flatten();
                let Some(body) = body else {
                    ex.finish(place, Ended::Broken);
                    if ex.may_run_again() && ex.may_send() {
                        continue;
                    }
                    return finish(&mut ex, failure, refused);
                };
                let failed = answer.head.status.is_server_error();
                ex.finish(place, if failed { Ended::Failed } else { Ended::Whole });
                let again = failed && ex.may_run_again() && ex.may_send();
                let now = ex.now();
                if again && ex.places.with(|pool| pool.may_repeat(now)) {
                    failure = Some((*answer, body));
                    continue;
                }
                return relay(&mut ex, *answer, body);
            }
        }
    }
}

/// The end of a request that got no success: an endpoint's own failure if there is one, or ours.
fn finish(
    ex: &mut Exchange,
    failure: Option<(Answer, Bytes)>,
    refusal: Refusal,
) -> Response<ResponseBody> {
    match failure {
        Some((answer, body)) => relay(ex, answer, body),
        None => ex.give_up(refusal),
    }
}

/// The endpoint's own answer, unchanged.
fn relay(ex: &mut Exchange, answer: Answer, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = ex.gateway.dialect.relay_headers(&answer.head);
    ex.trace.status = answer.head.status.as_u16();
    ex.trace.first = Some(ex.now().saturating_duration_since(ex.arrived));
    ex.trace.complete = true;
    answer.keep();
    response
}
