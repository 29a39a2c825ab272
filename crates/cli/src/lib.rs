//! The operators' command line: checks and sends tickets, shows status and burn, runs a demo.
//!
//! Every verb that changes something writes a numbered ticket that carries the whole new state of
//! what it touches, and sends it; sent again after a lost answer, a ticket gets its first answer.

mod args;
mod demo;
mod operate;
mod plot;
mod report;

pub use args::run;
pub use report::BurnLine;
pub use report::merge_reports;
