//! [`EngineDialect`]: how a platform's engines speak of ranks, counters and maps.

use bytes::Bytes;
use crocustally_core::experts::Counters;
use crocustally_core::experts::ExpertId;
use crocustally_core::experts::RankStatus;

/// What an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Name of its group; none for an engine that is no rank.
    pub group: Option<String>,
    /// Its state as a rank.
    pub status: RankStatus,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// An order as an engine takes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineOrder<'a> {
    /// Copy the experts of a map: by set and rank.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Experts by set and rank.
        sets: &'a [Vec<Vec<u32>>],
    },
    /// Switch to a prepared map.
    Arm {
        /// Version of the map.
        version: u64,
        /// First pass with it.
        step: u64,
    },
    /// Hold a pass back.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Let it begin.
    Go {
        /// The pass.
        step: u64,
    },
}

/// How a platform's engines speak.
pub trait EngineDialect: Send + Sync + 'static {
    /// Path of the engine's state.
    fn state_path(&self) -> &'static str;

    /// Decodes the engine's state.
    fn decode_state(&self, body: &[u8]) -> Option<EngineState>;

    /// Path of the counters.
    fn counters_path(&self) -> &'static str;

    /// Decodes choices of each expert, all sets after one another, and the pass they belong to.
    fn decode_counters(&self, body: &[u8]) -> Option<Counters>;

    /// Path of the experts that the engine holds.
    fn experts_path(&self) -> &'static str;

    /// Decodes the version of the map in use and the experts of this rank under it, set by set.
    fn decode_experts(&self, body: &[u8]) -> Option<(u64, Vec<Vec<ExpertId>>)>;

    /// Path for orders.
    fn order_path(&self) -> &'static str;

    /// Encodes an order for an epoch of the group.
    fn encode_order(&self, epoch: u64, order: EngineOrder<'_>) -> Bytes;
}
