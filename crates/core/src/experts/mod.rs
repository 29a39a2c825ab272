//! Expert maps: estimating load, planning placements, and switching all ranks at one step.

mod balance;
mod coordinator;
mod gate;
mod load;
mod map;
mod planner;
mod straggler;

pub use balance::Split;
pub use balance::bound;
pub use balance::by_popularity;
pub use balance::least_loaded;
pub use coordinator::Coordinator;
pub use coordinator::Orders;
pub use coordinator::Phase;
pub use gate::Gate;
pub use gate::GateState;
pub use gate::Order;
pub use gate::Stamp;
pub use load::LoadEstimate;
pub use map::ExpertId;
pub use map::ExpertMap;
pub use map::Holders;
pub use map::LayerId;
pub use map::LayerMap;
pub use map::RankId;
pub use planner::Plan;
pub use planner::Planner;
pub use planner::PlannerSettings;
pub use planner::repack;
pub use straggler::RankSpeeds;
