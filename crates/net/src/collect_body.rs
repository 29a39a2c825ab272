//! [`collect_body`]: reads a whole HTTP body of limited length.

use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum CollectError {
    /// It is longer than the limit.
    TooLong,
    /// Its connection broke, or its framing is invalid.
    Broken(hyper::Error),
}

impl fmt::Display for CollectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("the body is longer than the limit"),
            Self::Broken(e) => write!(f, "the body broke off: {e}"),
        }
    }
}

impl std::error::Error for CollectError {}

/// Reads a body of at most `limit` bytes; trailers are dropped.
///
/// # Errors
///
/// [`CollectError::TooLong`] once more bytes have arrived, [`CollectError::Broken`] if the body ends early.
pub async fn collect_body(body: &mut Incoming, limit: usize) -> Result<Bytes, CollectError> {
    // Copied, since each small chunk that is kept costs many times its length.
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Broken)?.into_data() else { continue };
        if collected.len() + data.len() > limit {
            return Err(CollectError::TooLong);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}
