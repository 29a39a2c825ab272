//! [`relay`]: an endpoint's complete response, as its caller gets it.

use crocustally_core::Code;
use crocustally_core::promises_not_run;
use crocustally_net::BlockBody;
use crocustally_net::ResponseBody;
use hyper::Response;

use crate::exchange::Exchange;
use crate::upstream::EndpointResponse;

/// Builds the response to the caller from an endpoint's complete one, other than a refusal.
///
/// It is relayed unchanged, unless its status promises that the request has not run. An endpoint says
/// that by a refusal, so without one it may have run the request whatever the status.
pub(crate) fn relay(
    ex: &mut Exchange,
    response: EndpointResponse,
    body: BlockBody,
) -> Response<ResponseBody> {
    let status = response.head.status;
    ex.access_log.endpoint_status = Some(status.as_u16());
    ex.access_log.framing = Some(response.framing);
    ex.access_log.first_byte = Some(ex.now().saturating_duration_since(ex.arrived));
    let out = if promises_not_run(status.as_u16()) {
        metrics::counter!("crocustally_statuses_replaced").increment(1);
        ex.reject(Code::EndpointFailed, None)
    } else {
        let mut out = Response::new(body.into_body());
        *out.status_mut() = status;
        *out.headers_mut() = ex.gateway.dialect.relay_headers(&response.head);
        ex.access_log.status = status.as_u16();
        ex.access_log.complete = true;
        out
    };
    response.reuse_connection();
    out
}
