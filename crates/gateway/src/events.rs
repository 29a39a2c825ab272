//! [`EventBuffer`]: splits the bytes of an event stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// Buffer that reassembles the events of an event stream.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Creates a buffer for a stream that resumes after the event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { buf: BytesMut::new(), last_id }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next complete event, including its blank line. Events up to the last id are
    /// skipped, since a resumed stream may repeat them.
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

    /// Id of the last event taken, or of the event after which the stream resumed.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes the incomplete remainder after the end of the stream.
    pub fn take_remaining(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

/// Index after the first event, including its blank line.
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

/// Number in the `id` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
