//! The rank agent. One runs beside each model engine that is a rank of a group. It reads the state
//! and counters of the engine, reports them to the coordinator and executes its orders.
//!
//! Orders arrive only in the reply to a report and are executed only while that report is recent.
//! Late orders of a coordinator that was frozen or partitioned therefore have no effect.

mod agent;
mod dialect;
mod leader_search;
mod settings;

pub use agent::RankAgent;
pub use dialect::EngineDialect;
pub use dialect::EngineOrder;
pub use dialect::EngineState;
pub use leader_search::LeaderSearch;
pub use settings::RankSettings;
pub use settings::RawRankSettings;
