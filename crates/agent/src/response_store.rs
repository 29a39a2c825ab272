//! [`ResponseStore`]: complete responses of claimed attempts, kept for repeated requests.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crocustally_core::Digest;
use crocustally_wire::RunPiece;
use event_listener::Event;

/// Completed responses kept.
const RESPONSES_MAX: usize = 1024;

/// The response of an attempt, complete or pending.
#[derive(Clone, Debug)]
pub(crate) enum StoredResponse {
    /// The attempt is running; the event is notified when it ends.
    Pending(Arc<Event>),
    /// The pieces of the response, up to the end marker, the unstreamed response or the refusal.
    Complete(Arc<Vec<RunPiece>>),
}

/// A bounded store of responses, with the oldest completed one evicted first.
#[derive(Debug, Default)]
pub(crate) struct ResponseStore {
    by_attempt: HashMap<Digest, StoredResponse>,
    completed: VecDeque<Digest>,
}

impl ResponseStore {
    /// Adds a pending response for an attempt that has started.
    pub(crate) fn begin(&mut self, id: Digest) {
        self.by_attempt.insert(id, StoredResponse::Pending(Arc::new(Event::new())));
    }

    /// Stores the pieces of an attempt that has ended, and wakes all waiters.
    pub(crate) fn complete(&mut self, id: Digest, pieces: Vec<RunPiece>) {
        let previous = self.by_attempt.insert(id, StoredResponse::Complete(Arc::new(pieces)));
        self.completed.push_back(id);
        if self.completed.len() > RESPONSES_MAX
            && let Some(oldest) = self.completed.pop_front()
        {
            self.by_attempt.remove(&oldest);
        }
        if let Some(StoredResponse::Pending(event)) = previous {
            event.notify(usize::MAX);
        }
    }

    /// The response of an attempt, unless it is unknown or evicted.
    pub(crate) fn get(&self, id: Digest) -> Option<StoredResponse> {
        self.by_attempt.get(&id).cloned()
    }
}
