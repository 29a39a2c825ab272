//! Unary responses: one request, one complete body.

use std::time::Duration;

use crocustally_core::dispatch::MemberKey;
use crocustally_core::dispatch::Refusal;
use crocustally_core::dispatch::RequestOutcome;
use crocustally_net::BlockBody;
use crocustally_net::BodyFraming;
use crocustally_net::ResponseBody;
use hyper::Response;

use crate::endpoint_ends;
use crate::exchange::Exchange;
use crate::relayed::relay;
use crate::upstream;
use crate::upstream::EndpointResponse;
use crate::upstream::SendOutcome;

/// `Retry-After` of a request that endpoints have refused.
const RETRY_AFTER_REFUSALS: Duration = Duration::from_millis(400);
/// Share of the time left that one attempt may take while another endpoint may be tried after it.
const ATTEMPT_TIME_SHARE: f64 = 0.5;

/// Sends the request to one endpoint after another, as often as the route allows.
pub(crate) async fn serve(mut ex: Exchange) -> Response<ResponseBody> {
    // An endpoint's own error response, delivered unless another endpoint succeeds.
    let mut failure: Option<(EndpointResponse, BlockBody)> = None;
    loop {
        let slot = match ex.acquire_slot().await {
            Ok(slot) => slot,
            Err(refusal) => return final_response(&mut ex, failure, refusal),
        };
        let time_limit = attempt_time(&ex, slot.key);
        match upstream::send(&ex, &slot, time_limit, None).await {
            SendOutcome::Unopened(outcome) => {
                ex.record_unopened(slot, outcome);
                if !ex.can_send() || ex.remaining().is_zero() {
                    let refusal = ex.all_refused(RETRY_AFTER_REFUSALS);
                    return final_response(&mut ex, failure, refusal);
                }
            }
            SendOutcome::NotExecuted(outcome) => {
                ex.record_attempt(slot, outcome);
                if !ex.can_send() || ex.remaining().is_zero() {
                    let refusal = ex.all_refused(RETRY_AFTER_REFUSALS);
                    return final_response(&mut ex, failure, refusal);
                }
            }
            SendOutcome::MaybeExecuted(outcome) => {
                ex.executions += 1;
                ex.record_attempt(slot, outcome);
                if !ex.can_rerun() || !ex.can_send() {
                    let refusal = ex.all_refused(RETRY_AFTER_REFUSALS);
                    return final_response(&mut ex, failure, refusal);
                }
            }
            SendOutcome::Response(mut response) => {
                ex.executions += 1;
                let mut slot = slot;
                slot.record_response_start();
                let body = match upstream::read_body(&ex, &slot, &mut response).await {
                    Ok(body) => body,
                    Err(e) => {
                        ex.record_attempt(slot, e.outcome());
                        if ex.can_rerun() && ex.can_send() {
                            continue;
                        }
                        let refusal = ex.all_refused(RETRY_AFTER_REFUSALS);
                        return final_response(&mut ex, failure, refusal);
                    }
                };
                let failed = response.is_failure();
                ex.record_attempt(
                    slot,
                    if failed { RequestOutcome::Failed } else { RequestOutcome::Whole },
                );
                if response.head.status.is_success() && response.framing != BodyFraming::Close {
                    endpoint_ends::report_sound(&ex);
                }
                let retry = failed && ex.can_rerun() && ex.can_send();
                let now = ex.now();
                if retry && ex.slot_pool.with_pool(|pool| pool.may_retry(now)) {
                    failure = Some((*response, body));
                    continue;
                }
                return relay(&mut ex, *response, body);
            }
        }
    }
}

/// Time that the endpoint `key` gets to respond. An endpoint that may never respond must leave time
/// for another one.
fn attempt_time(ex: &Exchange, key: MemberKey) -> Duration {
    let time_left = ex.remaining();
    if !ex.route.kind.is_retryable() || ex.executions + 1 >= ex.route.attempts {
        return time_left;
    }
    let mut tried = ex.tried.clone();
    tried.push(key);
    let now = ex.now();
    if !ex.slot_pool.with_pool(|pool| pool.may_retry_elsewhere(now, &tried)) {
        return time_left;
    }
    time_left.mul_f64(ATTEMPT_TIME_SHARE).max(ex.route.objective).min(time_left)
}

/// Response to a request without a success: an endpoint's own error response, if any, else the
/// gateway's.
fn final_response(
    ex: &mut Exchange,
    failure: Option<(EndpointResponse, BlockBody)>,
    refusal: Refusal,
) -> Response<ResponseBody> {
    match failure {
        Some((response, body)) => relay(ex, response, body),
        None => ex.reject_or_fail(refusal),
    }
}
