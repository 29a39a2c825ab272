//! [`collect_body`]: reads a whole HTTP body of limited length.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::BufferBudget;
use crate::ResponseBody;
use crate::buffer_budget::BufferCharge;
use crate::buffer_budget::Length;

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
    body: Bytes,
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
    let BlockBody { mut blocks, len, charge } = collect_blocks(body, limit, budget).await?;
    if blocks.len() == 1
        && let Some(body) = blocks.pop_front()
    {
        return Ok(Bytes::from_owner(Collected { body, _charge: charge }));
    }
    // Each block is given back once it is copied, so both together take little more than one of them.
    let mut whole = Vec::with_capacity(len);
    while let Some(block) = blocks.pop_front() {
        whole.extend_from_slice(&block);
    }
    Ok(Bytes::from_owner(Collected { body: whole.into(), _charge: charge }))
}

/// Size of the blocks of a [`BlockBody`] in bytes. Buffers that double leave free pieces of all sizes behind, which cost
/// a gateway of 40 MB a third of its memory; blocks of one size are used again.
const BLOCK_BYTES: usize = 32 * 1024;

/// Size of the first block of a body whose length is not announced.
const FIRST_BLOCK_BYTES: usize = 4 * 1024;

/// A collected body in blocks. A block is given back, and its charge, once it has been taken.
#[derive(Debug)]
pub struct BlockBody {
    blocks: VecDeque<Bytes>,
    len: usize,
    charge: BufferCharge,
}

impl BlockBody {
    /// The body of a response.
    pub fn into_body(self) -> ResponseBody {
        self.map_err(|never| match never {}).boxed_unsync()
    }
}

impl Body for BlockBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(block) = self.blocks.pop_front() else { return Poll::Ready(None) };
        // The block itself is still held.
        let held = self.len;
        self.len -= block.len();
        // It shrinks, which cannot fail.
        let _ = self.charge.resize(held);
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}

/// As [`collect_body`], into blocks.
///
/// # Errors
///
/// As [`collect_body`].
pub async fn collect_blocks(
    body: &mut Incoming,
    limit: usize,
    budget: &BufferBudget,
) -> Result<BlockBody, CollectError> {
    let known_len = body.size_hint().exact().and_then(|n| usize::try_from(n).ok());
    if known_len.is_some_and(|n| n > limit) {
        return Err(CollectError::TooLong);
    }
    let length = if known_len.is_some() { Length::Known } else { Length::Unknown };
    let mut charge = budget.charge(length);
    // Copied, since each small chunk that is kept costs many times its length.
    let (mut blocks, mut last) = (VecDeque::new(), BytesMut::new());
    // Bytes that have come, and those of full blocks.
    let (mut len, mut held) = (0, 0);
    while let Some(frame) = body.frame().await {
        let Ok(mut data) = frame.map_err(CollectError::Broken)?.into_data() else { continue };
        len += data.len();
        if len > limit {
            return Err(CollectError::TooLong);
        }
        while !data.is_empty() {
            if last.len() == last.capacity() {
                if !last.is_empty() {
                    held += last.len();
                    blocks.push_back(last.split().freeze());
                }
                let most = if held == 0 { FIRST_BLOCK_BYTES } else { BLOCK_BYTES };
                let capacity = known_len.map_or(most, |n| (n - held).min(BLOCK_BYTES));
                charge.resize(held + capacity).map_err(|_| CollectError::NoMemory)?;
                last = BytesMut::with_capacity(capacity);
            }
            let n = data.len().min(last.capacity() - last.len());
            last.extend_from_slice(&data.split_to(n));
        }
    }
    if !last.is_empty() {
        blocks.push_back(last.freeze());
    }
    Ok(BlockBody { blocks, len, charge })
}
