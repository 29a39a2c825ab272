//! [`collect_body`]: reads a whole HTTP body of limited length.

use std::fmt;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::BufferBudget;
use crate::buffer_budget::BufferCharge;
use crate::buffer_budget::Length;
use crate::buffer_budget::SMALL_BYTES;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum CollectError {
    /// It is longer than the limit.
    TooLong,
    /// The process has no memory left for it.
    NoMemory,
    /// Its connection broke, or its framing is invalid.
    Broken(hyper::Error),
}

impl fmt::Display for CollectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("the body is longer than the limit"),
            Self::NoMemory => f.write_str("no memory is left for the body"),
            Self::Broken(e) => write!(f, "the body broke off: {e}"),
        }
    }
}

impl std::error::Error for CollectError {}

/// A collected body and its charge, which lasts until the last reference is dropped.
struct Collected {
    body: Vec<u8>,
    _charge: BufferCharge,
}

impl AsRef<[u8]> for Collected {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Reads a body of at most `limit` bytes; trailers are dropped. The buffer is charged to `budget` as
/// it grows, until the returned buffer and all its clones are dropped.
///
/// # Errors
///
/// [`CollectError::TooLong`] once more bytes have arrived, [`CollectError::NoMemory`] once the budget
/// has no room for them, [`CollectError::Broken`] if the body ends early.
pub async fn collect_body(
    body: &mut Incoming,
    limit: usize,
    budget: &BufferBudget,
) -> Result<Bytes, CollectError> {
    // Copied, since each small chunk that is kept costs many times its length.
    let mut collected: Vec<u8> = Vec::new();
    let known_len = body.size_hint().exact().and_then(|n| usize::try_from(n).ok());
    if known_len.is_some_and(|n| n > limit) {
        return Err(CollectError::TooLong);
    }
    let length = if known_len.is_some() { Length::Known } else { Length::Unknown };
    let mut charge = budget.charge(length);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Broken)?.into_data() else { continue };
        let len = collected.len() + data.len();
        if len > limit {
            return Err(CollectError::TooLong);
        }
        if len > collected.capacity() {
            // Grows by doubling. A buffer of the announced length from the start would cost all of it where the
            // allocator reuses pages, although most such bodies of uncontrolled clients do not come whole.
            let doubled = if len <= SMALL_BYTES { (2 * len).min(SMALL_BYTES) } else { 2 * len };
            let capacity = doubled.min(known_len.unwrap_or(limit)).max(len);
            charge.resize(capacity).map_err(|_| CollectError::NoMemory)?;
            collected.reserve_exact(capacity - collected.len());
        }
        collected.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(Collected { body: collected, _charge: charge }))
}
