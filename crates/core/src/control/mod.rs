//! The replicated state machine: configuration, claims, suspects, and the evidence on parts of prompts
//! that crash endpoints.

mod claims;
mod config;
mod crash_evidence;
mod evacuation_call;
mod part_filter;
mod part_set;
mod pause_detector;
mod prompt_part;
mod state_machine;
mod suspects;
mod ticket;

pub use claims::CLAIM_RETENTION_MS;
pub use claims::Claims;
pub use claims::STORED_ANSWER_BYTES_MAX;
pub use config::Config;
pub use config::Decision;
pub use crash_evidence::CrashEvidence;
pub use crash_evidence::ENDS_BEFORE_BLOCK;
pub use crash_evidence::FIRST_TRIAL_AFTER_MS;
pub use crash_evidence::PARTS_RETAINED;
pub use crash_evidence::PARTS_WATCHED;
pub use crash_evidence::TRIALS_MAX;
pub use evacuation_call::EvacuationCall;
pub use evacuation_call::EvacuationStep;
pub use part_filter::PartFilter;
pub use part_set::PartSet;
pub use pause_detector::PauseDetector;
pub use prompt_part::PromptPart;
pub use prompt_part::list_parts;
pub use state_machine::MalformedState;
pub use state_machine::StateMachine;
pub use suspects::DEATHS_BEFORE_QUARANTINE;
pub use suspects::Suspects;
pub use ticket::DomainSpec;
pub use ticket::DomainState;
pub use ticket::EndpointSpec;
pub use ticket::EndpointState;
pub use ticket::Objective;
pub use ticket::Priority;
pub use ticket::RawTicket;
pub use ticket::ServiceKind;
pub use ticket::ServiceSpec;
pub use ticket::Ticket;
pub use ticket::TicketError;
pub use ticket::WorkspaceSpec;
