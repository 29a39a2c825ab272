//! [`CodedIo`]: gives the HTTP library's own refusals their numbered code.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use crocustally_core::Code;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::http_server::coded_body;

/// Header that says whether a back end ran the request: `no`, `yes` or `unknown`.
pub const RUN_HEADER: &str = "x-crocustally-run";

/// A whole response for a connection on which the library can no longer answer.
pub(crate) fn raw_refusal(code: Code) -> String {
    let body = coded_body(code, code.ran());
    let (status, number, ran) = (code.status(), code.number(), code.ran().as_str());
    format!(
        "HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {}\r\nx-crocustally-code: {number}\r\n{RUN_HEADER}: {ran}\r\n\r\n{body}",
        body.len()
    )
}

/// A stream that swaps the library's bare 4xx heads for ours.
///
/// Every answer to a caller carries [`RUN_HEADER`]; a 4xx head without it and without a body is the
/// library's own word that it could not parse the request, so nothing has run.
pub(crate) struct CodedIo<T> {
    inner: T,
    coded: bool,
    pending: Vec<u8>,
}

impl<T> CodedIo<T> {
    /// With `coded` off everything passes as it is.
    pub(crate) fn new(inner: T, coded: bool) -> Self {
        Self { inner, coded, pending: Vec::new() }
    }
}

/// Our refusal for a bare head, or none when the bytes are something else.
fn replacement(buf: &[u8]) -> Option<String> {
    let status = buf.strip_prefix(b"HTTP/1.1 4")?;
    let text = String::from_utf8_lossy(buf).to_ascii_lowercase();
    if text.contains(RUN_HEADER) || !text.contains("content-length: 0\r\n") {
        return None;
    }
    let too_large = status.starts_with(b"31") || status.starts_with(b"14");
    Some(raw_refusal(if too_large { Code::HeaderTooLarge } else { Code::BadFraming }))
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
        if self.coded
            && let Some(ours) = replacement(buf)
        {
            self.pending.extend_from_slice(ours.as_bytes());
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
