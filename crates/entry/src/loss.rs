//! [`EndpointLoss`]: an endpoint lost with a request in flight, and whether the request caused the
//! loss.

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
use crate::shard::Slot;

/// Longest time to replicate a death; after that it is counted at this entry only.
pub(crate) const DEATH_TIMEOUT: Duration = Duration::from_millis(1500);

/// An endpoint lost with a request in flight.
pub(crate) struct EndpointLoss {
    endpoint: String,
    domain: String,
    /// Start number of the engine, or incarnation of the agent.
    start: u64,
    /// Channel for the probe; `None` if the engine is known to be dead.
    channel: Option<Channel>,
}

impl EndpointLoss {
    /// The loss that a piece indicates, if any.
    pub(crate) fn detect(entry: &Entry, slot: &Slot, piece: &Piece) -> Option<Self> {
        let (start, channel) = match piece {
            // The start number comes from the agent: the last announcement may be older, and two
            // deaths with the same number would count as one.
            Piece::Refused { engine_died: true, engine_start, .. } => (*engine_start, None),
            Piece::ConnectionLost => (slot.incarnation, entry.agent_channel(&slot.address)),
            _ => return None,
        };
        let (endpoint, domain) = (slot.name.clone(), slot.domain.clone());
        Some(Self { endpoint, domain, start, channel })
    }

    /// Counts the loss as a death, unless the agent is still alive or its failure domain is
    /// unreachable. Returns the number of deaths so far.
    pub(crate) async fn investigate(self, entry: Arc<Entry>, digest: Digest) -> u32 {
        if let Some(channel) = self.channel {
            let unrelated = match calls::probe(&channel, self.start).await {
                Probe::Alive => true,
                Probe::Dead => false,
                Probe::Inconclusive => entry.is_domain_unreachable(&self.domain),
            };
            if unrelated {
                return entry.deaths(digest);
            }
        }
        let digests = vec![digest.to_bytes()];
        let death = Death { endpoint: self.endpoint, engine_start: self.start, digests };
        let outcome = entry.log.propose(Kind::Death(death), DEATH_TIMEOUT).await;
        match outcome.ok().and_then(|o| o.kind) {
            Some(OutcomeKind::Death(d)) => d.deaths.first().copied().unwrap_or(0),
            _ => entry.record_local_death(digest),
        }
    }
}
