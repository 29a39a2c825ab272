//! Endpoint selection, queueing and load shedding in a gateway.
//!
//! A [`Pool`] tracks the endpoints of one service as one gateway sees them. [`Pool::dispatch`]
//! assigns a request to an endpoint, queues it or refuses it; [`Pool::response_started`],
//! [`Pool::record_event_gap`] and [`Pool::complete`] feed its progress back. The module does no I/O
//! and reads no clock: every call takes the current time.

mod admission;
mod crash_tracker;
mod ewma;
mod explanation;
mod gateway_set;
mod groups;
mod idle_connections;
mod kv_memory;
mod learned_skew;
mod limiter;
mod member;
mod pass_model;
mod pool;
mod prompt_cache;
mod prompt_retention;
mod queue;
mod reachability;
mod refusals;
mod retention_check;
mod sliding_window;
mod water_filling;
mod workspace_shares;

pub use admission::Admission;
pub use admission::AdmissionClass;
pub use admission::AdmissionLimit;
pub use admission::AdmissionSettings;
pub use crash_tracker::CRASHES_BEFORE_QUARANTINE;
pub use crash_tracker::CrashTracker;
pub use ewma::Ewma;
pub use explanation::ExplainedMember;
pub use explanation::Explanation;
pub use explanation::HeldBack;
pub use explanation::Obstacle;
pub use gateway_set::GatewaySet;
pub use groups::GroupLoad;
pub use groups::GroupState;
pub use groups::GroupView;
pub use groups::Groups;
pub use idle_connections::IdleConnections;
pub use kv_memory::KvSettings;
pub use learned_skew::LearnedSkew;
pub use limiter::Limiter;
pub use limiter::LimiterSettings;
pub use member::Member;
pub use member::MemberKey;
pub use member::RankState;
pub use member::RequestOutcome;
pub use pass_model::PassModel;
pub use pool::DispatchDecision;
pub use pool::DispatchRequest;
pub use pool::EarlierSends;
pub use pool::Pool;
pub use pool::PoolSettings;
pub use pool::QueueOutcome;
pub use pool::Refusal;
pub use pool::address_key;
pub use prompt_cache::PromptCache;
pub use prompt_cache::SizedPart;
pub use prompt_retention::ENTRIES_MAX;
pub use prompt_retention::EndpointWait;
pub use prompt_retention::PromptRetention;
pub use prompt_retention::RetentionSettings;
pub use prompt_retention::RetentionStatus;
pub use prompt_retention::StartedPrompt;
pub use queue::Ticket;
pub use reachability::Reachability;
pub use reachability::ReachabilityChange;
pub use reachability::SharedReachability;
pub use retention_check::FirstEvent;
pub use retention_check::RetentionCheck;
pub use sliding_window::SlidingWindow;
pub use water_filling::draw_water_filling;
pub use workspace_shares::WorkspaceShares;
