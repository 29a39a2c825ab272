//! [`final_status`] and [`executed_status`]: which statuses a response may have.

use crocustally_core::promises_not_run;
use hyper::StatusCode;

/// The status of a final response; `None` for a number that cannot be one.
///
/// Numbers outside of 100 to 599 are no status (RFC 9110, section 15). Those below 200 are interim, and
/// 101 answers only a request that asked for an upgrade (section 15.2.2), which this system never does.
pub fn final_status(number: u16) -> Option<StatusCode> {
    (200..600).contains(&number).then(|| StatusCode::from_u16(number).ok()).flatten()
}

/// The status with which a caller gets the response `number` to a request that has run, or may have:
/// 502 in place of one that is none or promises that the request has not run.
pub fn executed_status(number: u16) -> StatusCode {
    let keeps_promise = |status: &StatusCode| !promises_not_run(status.as_u16());
    final_status(number).filter(keeps_promise).unwrap_or(StatusCode::BAD_GATEWAY)
}
