//! [`final_status`]: which statuses are those of a response.

use hyper::StatusCode;

/// The status of a final response; `None` for a number that cannot be one.
///
/// Numbers outside of 100 to 599 are no status (RFC 9110, section 15). Those below 200 are interim, and
/// 101 answers only a request that asked for an upgrade (section 15.2.2), which this system never does.
pub fn final_status(number: u16) -> Option<StatusCode> {
    (200..600).contains(&number).then(|| StatusCode::from_u16(number).ok()).flatten()
}
