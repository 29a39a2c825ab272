//! [`CodedIo`]: adds numbered codes to the error responses of the HTTP library itself.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use crocustally_core::Code;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::http_server::coded_body;

/// Response header that states whether an endpoint executed the request: `no`, `yes` or `unknown`.
pub const RUN_HEADER: &str = "x-crocustally-run";

/// A complete error response as text, for a connection on which the library cannot send one.
pub(crate) fn raw_error_response(code: Code) -> String {
    let body = coded_body(code, code.ran());
    let (status, number, ran) = (code.status(), code.number(), code.ran().as_str());
    format!(
        "HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {}\r\nx-crocustally-code: {number}\r\n{RUN_HEADER}: {ran}\r\n\r\n{body}",
        body.len()
    )
}

/// A stream that replaces the library's own 4xx responses by coded error responses.
///
/// Responses of the handlers have [`RUN_HEADER`]. A 4xx response with neither this header nor a
/// body is written by the library when it cannot parse a request, so nothing has been executed.
pub(crate) struct CodedIo<T> {
    inner: T,
    coded_errors: bool,
    pending: Vec<u8>,
}

impl<T> CodedIo<T> {
    /// Wraps a stream; without `coded_errors` all data passes unchanged.
    pub(crate) fn new(inner: T, coded_errors: bool) -> Self {
        Self { inner, coded_errors, pending: Vec::new() }
    }
}

/// Returns the coded error response for an error response of the library; `None` for other data.
fn replacement(buf: &[u8]) -> Option<String> {
    let status = buf.strip_prefix(b"HTTP/1.1 4")?;
    let text = String::from_utf8_lossy(buf).to_ascii_lowercase();
    if text.contains(RUN_HEADER) || !text.contains("content-length: 0\r\n") {
        return None;
    }
    let too_large = status.starts_with(b"31") || status.starts_with(b"14");
    Some(raw_error_response(if too_large { Code::HeaderTooLarge } else { Code::BadFraming }))
}

impl<T: Read + Unpin> Read for CodedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<T: Write + Unpin> CodedIo<T> {
    fn poll_pending(&mut self, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        while !self.pending.is_empty() {
            match Pin::new(&mut self.inner).poll_write(cx, &self.pending) {
                Poll::Ready(Ok(n)) => drop(self.pending.drain(..n)),
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: Write + Unpin> Write for CodedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.coded_errors
            && let Some(response) = replacement(buf)
        {
            self.pending.extend_from_slice(response.as_bytes());
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        match self.poll_pending(cx) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.inner).poll_flush(cx),
            other => other,
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        match self.poll_pending(cx) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.inner).poll_shutdown(cx),
            other => other,
        }
    }

    fn is_write_vectored(&self) -> bool {
        false
    }
}
