//! [`EventBuffer`]: cuts a stream's bytes into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes of an event stream, given out event by event.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// A buffer for what follows the event `last`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { buf: BytesMut::new(), last_id }
    }

    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event with its blank line, if there is one; an event that was given out
    /// before is left out.
    pub fn next_event(&mut self) -> Option<Bytes> {
        loop {
            let end = event_end(&self.buf)?;
            let event = self.buf.split_to(end).freeze();
            match event_id(&event) {
                Some(id) if self.last_id.is_some_and(|last| id <= last) => {}
                Some(id) => {
                    self.last_id = Some(id);
                    return Some(event);
                }
                None => return Some(event),
            }
        }
    }

    /// Id of the last event given out, or the one that the stream follows.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// What is left when the stream has ended.
    pub fn take_remaining(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

/// Where the first event ends, its blank line included.
fn event_end(buf: &[u8]) -> Option<usize> {
    let mut i = 0;
    while i < buf.len() {
        if buf[i..].starts_with(b"\n\n") {
            return Some(i + 2);
        }
        if buf[i..].starts_with(b"\n\r\n") {
            return Some(i + 3);
        }
        i += 1;
    }
    None
}

/// The number in an event's `id` line.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
