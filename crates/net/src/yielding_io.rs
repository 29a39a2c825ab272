//! [`YieldingIo`]: a connection that lets other tasks run while its peer sends without a pause.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Reads without a pause after which the task yields.
const READS_IN_A_ROW_MAX: u32 = 16;

/// A connection whose reads report "not ready" now and then.
///
/// A parser that discards what it reads, such as the one of a chunk size with any number of leading
/// zeros, would otherwise never return from its poll while the peer keeps up: it would occupy a
/// thread of the executor, and could not be cancelled.
#[derive(Debug)]
pub(crate) struct YieldingIo<S> {
    inner: S,
    reads_in_a_row: u32,
    /// Once set, reads fail.
    broken: Arc<AtomicBool>,
}

impl<S> YieldingIo<S> {
    pub(crate) fn new(inner: S, broken: Arc<AtomicBool>) -> Self {
        Self { inner, reads_in_a_row: 0, broken }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for YieldingIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.broken.load(Ordering::Relaxed) {
            let e = io::Error::new(io::ErrorKind::InvalidData, "too many interim responses");
            return Poll::Ready(Err(e));
        }
        if self.reads_in_a_row >= READS_IN_A_ROW_MAX {
            self.reads_in_a_row = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.reads_in_a_row = if result.is_ready() { self.reads_in_a_row + 1 } else { 0 };
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for YieldingIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
