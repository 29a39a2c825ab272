//! [`MeteredBody`]: the body of a gRPC call, charged to a budget and bounded in time without progress.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tonic::Status;

use crate::BufferBudget;
use crate::BufferCharge;
use crate::Length;

/// Time without a byte of a call's message after which the call is refused.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a call, which ends in an error if the budget has no room for it or if it stops short.
/// The call has then not been executed, as its message is decoded first.
pub(crate) struct MeteredBody {
    inner: Incoming,
    charge: BufferCharge,
    received: usize,
    /// Runs while the body is awaited.
    timer: Option<Timer>,
}

impl MeteredBody {
    pub(crate) fn new(inner: Incoming, budget: &BufferBudget) -> Self {
        // Every message of a call begins with its length.
        let charge = budget.charge(Length::Known);
        Self { inner, charge, received: 0, timer: None }
    }

    fn refuse(reason: &'static str, status: fn(&'static str) -> Status) -> Status {
        log::warn!("call of a peer refused: {reason}");
        metrics::counter!("crocustally_peer_calls_refused").increment(1);
        status(reason)
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.timer = None;
                self.received += frame.data_ref().map_or(0, Bytes::len);
                let received = self.received;
                if self.charge.resize(received).is_err() {
                    let refusal =
                        Self::refuse("no memory is left for it", Status::resource_exhausted);
                    return Poll::Ready(Some(Err(refusal)));
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(e))) => Poll::Ready(Some(Err(Status::unavailable(e.to_string())))),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => {
                let timer = self.timer.get_or_insert_with(|| Timer::after(PROGRESS_TIMEOUT));
                if Pin::new(timer).poll(cx).is_ready() {
                    let refusal =
                        Self::refuse("its message stops short", Status::deadline_exceeded);
                    return Poll::Ready(Some(Err(refusal)));
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// The body of a response with something that lasts as long.
pub(crate) struct GuardedBody<G> {
    inner: tonic::body::Body,
    _guard: G,
}

impl<G> GuardedBody<G> {
    pub(crate) fn new(inner: tonic::body::Body, guard: G) -> Self {
        Self { inner, _guard: guard }
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
