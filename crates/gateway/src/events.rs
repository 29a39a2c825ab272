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
    /// Whether events have ids in a series without gaps, as far as the stream has come.
    numbering: Numbering,
    /// Id with which a resumed stream has to go on; `None` if it may be any higher one.
    due_id: Option<u64>,
}

/// How the ids of a stream's events grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Numbering {
    /// No event has come.
    #[default]
    Unknown,
    /// Each id is one more than the one before; the first is 0 or 1, or follows the event after which
    /// the stream resumes.
    Consecutive,
    /// An id was skipped.
    Sparse,
}

/// Error: a resumed stream of consecutive ids has left out events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingEvents {
    /// Id of the first event that is missing.
    pub due: u64,
    /// Id of the event that came instead.
    pub came: u64,
}

impl std::fmt::Display for MissingEvents {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "went on at event {} instead of {}", self.came, self.due)
    }
}

impl std::error::Error for MissingEvents {}

impl EventBuffer {
    /// Creates a buffer for a stream that resumes after the event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Creates a buffer for a stream that another endpoint resumes after this one's last event.
    pub fn to_resume(&self) -> Self {
        let consecutive = self.numbering == Numbering::Consecutive;
        let due_id = self.last_id.filter(|_| consecutive).map(|last| last + 1);
        // A stream that broke off before its first event is due what it was due before.
        let due_id = if self.numbering == Numbering::Unknown { self.due_id } else { due_id };
        Self { last_id: self.last_id, numbering: self.numbering, due_id, ..Self::default() }
    }

    /// Takes the next complete event, including its blank line. Events up to the last id are
    /// skipped, since a resumed stream may repeat them.
    ///
    /// # Errors
    ///
    /// Fails if a resumed stream leaves out events of a series that had no gaps before.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, MissingEvents> {
        loop {
            let Some(end) = event_end(&self.buf, self.scanned) else {
                // The end may have arrived in part.
                self.scanned = self.buf.len().saturating_sub(2);
                return Ok(None);
            };
            self.scanned = 0;
            let event = self.buf.split_to(end).freeze();
            match event_id(&event) {
                Some(id) if self.last_id.is_some_and(|last| id <= last) => {}
                Some(id) => {
                    if let Some(due) = self.due_id.take_if(|due| id > *due) {
                        return Err(MissingEvents { due, came: id });
                    }
                    self.record_id(id);
                    return Ok(Some(event));
                }
                None => return Ok(Some(event)),
            }
        }
    }

    fn record_id(&mut self, id: u64) {
        let follows = self.last_id.map_or(id <= 1, |last| id == last + 1);
        self.numbering = match self.numbering {
            Numbering::Unknown | Numbering::Consecutive if follows => Numbering::Consecutive,
            _ => Numbering::Sparse,
        };
        self.last_id = Some(id);
        self.due_id = None;
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
