//! [`sliced_body`]: a large response body that is copied into the connection's buffer slice by slice.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::ResponseBody;

/// Bytes of one slice. The HTTP library copies a whole frame before it writes it, so that a client that
/// does not read would otherwise hold a copy of the whole body.
const SLICE_BYTES: usize = 16 * 1024;

struct SlicedBody(Bytes);

impl Body for SlicedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let n = self.0.len().min(SLICE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.0.split_to(n)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

/// A body from a complete buffer that other responses may share.
pub fn sliced_body(buf: impl Into<Bytes>) -> ResponseBody {
    SlicedBody(buf.into()).map_err(|never| match never {}).boxed_unsync()
}
