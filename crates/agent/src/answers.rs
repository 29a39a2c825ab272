//! [`Answers`]: whole answers of claimed attempts, kept for whoever asks again.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crocustally_core::Digest;
use crocustally_wire::RunPiece;
use event_listener::Event;

/// Answers kept after they ended.
const ANSWERS_KEPT: usize = 1024;

/// One answer, or the wait for it.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// Running; the event fires at its end.
    Pending(Arc<Event>),
    /// Its pieces, ending in an end mark or a refusal.
    Whole(Arc<Vec<RunPiece>>),
}

/// A bounded store of answers.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    by_attempt: HashMap<Digest, Answer>,
    ended: VecDeque<Digest>,
}

impl Answers {
    /// Notes that an attempt has started.
    pub(crate) fn begin(&mut self, id: Digest) {
        self.by_attempt.insert(id, Answer::Pending(Arc::new(Event::new())));
    }

    /// Keeps an attempt's pieces and wakes whoever waits.
    pub(crate) fn end(&mut self, id: Digest, pieces: Vec<RunPiece>) {
        let before = self.by_attempt.insert(id, Answer::Whole(Arc::new(pieces)));
        self.ended.push_back(id);
        if self.ended.len() > ANSWERS_KEPT
            && let Some(oldest) = self.ended.pop_front()
        {
            self.by_attempt.remove(&oldest);
        }
        if let Some(Answer::Pending(event)) = before {
            event.notify(usize::MAX);
        }
    }

    /// What is known of an attempt's answer.
    pub(crate) fn get(&self, id: Digest) -> Option<Answer> {
        self.by_attempt.get(&id).cloned()
    }
}
