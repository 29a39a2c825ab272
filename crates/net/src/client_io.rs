//! [`ClientIo`] and [`PacedBody`]: record the progress of a client's connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::ClientConnection;
use crate::ResponseBody;

/// Most bytes of a body that are passed to the HTTP library at once. It copies them, and goes on taking frames until
/// its buffer is full.
const SLICE_BYTES: usize = 8 * 1024;

/// A connection that records what its client sends and takes.
pub(crate) struct ClientIo<T> {
    inner: T,
    conn: Arc<ClientConnection>,
}

impl<T> ClientIo<T> {
    pub(crate) fn new(inner: T, conn: Arc<ClientConnection>) -> Self {
        Self { inner, conn }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for ClientIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(n)) = result {
            self.conn.record_read(n);
        }
        result
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for ClientIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.conn.record_write(result.is_ready());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.conn.record_flush();
        }
        result
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// A response body in slices, so that its buffer, and the charge for it, last until the client has taken all but the
/// last of them.
pub(crate) struct PacedBody {
    inner: ResponseBody,
    rest: Bytes,
    conn: Arc<ClientConnection>,
}

impl PacedBody {
    pub(crate) fn new(inner: ResponseBody, conn: Arc<ClientConnection>) -> Self {
        Self { inner, rest: Bytes::new(), conn }
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        self.conn.end_response_body();
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.rest.is_empty() {
            match Pin::new(&mut self.inner).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => self.rest = data,
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                other => return other,
            }
        }
        let n = self.rest.len().min(SLICE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(n)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (inner, rest) = (self.inner.size_hint(), self.rest.len() as u64);
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower() + rest);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + rest);
        }
        hint
    }
}
