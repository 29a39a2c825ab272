//! [`Loss`]: an endpoint that was lost with a request in flight, and whether the request is to blame.

use std::sync::Arc;
use std::time::Duration;

use crocustally_core::Digest;
use crocustally_net::Channel;
use crocustally_wire::Death;
use crocustally_wire::command::Kind;
use crocustally_wire::outcome::Kind as OutcomeKind;

use crate::Entry;
use crate::calls;
use crate::calls::Piece;
use crate::calls::Probe;
use crate::shard::Place;

/// Longest time to replicate a death; after that it is counted here only.
pub(crate) const DEATH_TIMEOUT: Duration = Duration::from_millis(1500);

/// An endpoint lost with a request in flight.
pub(crate) struct Loss {
    endpoint: String,
    domain: String,
    /// Start number of its engine, or incarnation of its agent.
    start: u64,
    /// Where to ask whether it lives after all; none when it is known to be dead.
    channel: Option<Channel>,
}

impl Loss {
    /// The loss that a piece shows, if it shows one.
    pub(crate) fn of(entry: &Entry, place: &Place, piece: &Piece) -> Option<Self> {
        let (start, channel) = match piece {
            // By the agent's word: what this entry has heard of the engine's start may be late, and
            // two deaths must not look like one.
            Piece::Refused { engine_died: true, engine_start, .. } => (*engine_start, None),
            Piece::Lost => (place.incarnation, entry.agent(&place.address)),
            _ => return None,
        };
        let (endpoint, domain) = (place.name.clone(), place.domain.clone());
        Some(Self { endpoint, domain, start, channel })
    }

    /// Counts the loss as a death, unless the agent still lives or its whole domain cannot be
    /// reached; answers the deaths counted so far.
    pub(crate) async fn look_into(self, entry: Arc<Entry>, digest: Digest) -> u32 {
        if let Some(channel) = self.channel {
            let innocent = match calls::probe(&channel, self.start).await {
                Probe::Alive => true,
                Probe::Dead => false,
                Probe::Silent => entry.seems_cut_off(&self.domain),
            };
            if innocent {
                return entry.deaths(digest);
            }
        }
        let digests = vec![digest.to_bytes()];
        let death = Death { endpoint: self.endpoint, engine_start: self.start, digests };
        let outcome = entry.log.propose(Kind::Death(death), DEATH_TIMEOUT).await;
        match outcome.ok().and_then(|o| o.kind) {
            Some(OutcomeKind::Death(d)) => d.deaths.first().copied().unwrap_or(0),
            _ => entry.count_death_locally(digest),
        }
    }
}
