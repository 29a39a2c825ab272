//! The rank agent: beside each model engine that is a rank of a group, it reads the engine's state
//! and counters, tells the coordinator, and carries out its orders.
//!
//! An order comes only in the answer to a report, and is carried out only while that report is
//! young, so a coordinator that was frozen or cut off finds nobody who still listens.

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
