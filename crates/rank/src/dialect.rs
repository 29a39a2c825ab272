//! [`EngineDialect`]: the paths and encodings of a platform's engines.

use bytes::Bytes;
use crocustally_core::experts::Counters;
use crocustally_core::experts::ExpertId;
use crocustally_core::experts::RankStatus;

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Name of its group; `None` if the engine is not a rank.
    pub group: Option<String>,
    /// State of the rank.
    pub status: RankStatus,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
}

/// An order to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineOrder<'a> {
    /// Copies the experts of a map.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Experts by set and rank.
        sets: &'a [Vec<Vec<u32>>],
    },
    /// Schedules the switch to a prepared map.
    Arm {
        /// Version of the map.
        version: u64,
        /// First forward pass with the map.
        step: u64,
    },
    /// Holds a forward pass.
    Hold {
        /// The forward pass.
        step: u64,
    },
    /// Releases a held forward pass.
    Go {
        /// The forward pass.
        step: u64,
    },
}

/// The paths and encodings of a platform's engines.
pub trait EngineDialect: Send + Sync + 'static {
    /// Path of the engine state.
    fn state_path(&self) -> &'static str;

    /// Decodes the engine state; `None` if it is malformed or the engine is not a rank.
    fn decode_state(&self, body: &[u8]) -> Option<EngineState>;

    /// Path of the selection counters.
    fn counters_path(&self) -> &'static str;

    /// Decodes the selection counters of all experts, set by set, and the forward pass that they
    /// belong to; `None` if they are malformed.
    fn decode_counters(&self, body: &[u8]) -> Option<Counters>;

    /// Path of the list of the engine's experts.
    fn experts_path(&self) -> &'static str;

    /// Decodes the version of the map in use and the experts of this rank under it, set by set;
    /// `None` if they are malformed.
    fn decode_experts(&self, body: &[u8]) -> Option<(u64, Vec<Vec<ExpertId>>)>;

    /// Path to which orders are posted.
    fn order_path(&self) -> &'static str;

    /// Encodes an order for an epoch of the group.
    fn encode_order(&self, epoch: u64, order: EngineOrder<'_>) -> Bytes;
}
