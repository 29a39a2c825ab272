//! [`EventBuffer`]: splits the bytes of an event stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// Buffer that reassembles the events of an event stream.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    /// Length of the start of `buf` in which no event ends.
    scanned: usize,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Creates a buffer for a stream that resumes after the event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next complete event, including its blank line. Events up to the last id are
    /// skipped, since a resumed stream may repeat them.
    pub fn next_event(&mut self) -> Option<Bytes> {
        loop {
            let Some(end) = event_end(&self.buf, self.scanned) else {
                // The end may have arrived in part.
                self.scanned = self.buf.len().saturating_sub(2);
                return None;
            };
            self.scanned = 0;
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

    /// Length of the incomplete event in bytes.
    pub fn incomplete_len(&self) -> usize {
        self.buf.len()
    }

    /// Takes the incomplete remainder after the end of the stream.
    pub fn take_remaining(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }
}

/// Index after the first event, including its blank line, which begins at `from` at the earliest.
fn event_end(buf: &[u8], from: usize) -> Option<usize> {
    let mut i = from;
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
