//! [`BodyFraming`]: what ends the body of a response.

use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;

/// What ends the body of an HTTP/1.1 response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// Its announced length.
    Length,
    /// Its last chunk.
    Chunks,
    /// The end of the connection, which a server that crashes ends as well.
    Close,
}

impl BodyFraming {
    /// The framing of a response whose body has not been read yet.
    pub fn of(response: &Response<Incoming>) -> Self {
        let body = response.body();
        if body.is_end_stream() || body.size_hint().exact().is_some() {
            return Self::Length;
        }
        let codings = response.headers().get_all(TRANSFER_ENCODING).iter();
        let last = codings.filter_map(|v| v.to_str().ok()).next_back();
        let last = last.and_then(|codings| codings.rsplit(',').next());
        if last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            return Self::Chunks;
        }
        Self::Close
    }

    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}
