//! The load and experiment tool: every figure that the project states comes out of it.
//!
//! Each experiment prints one JSON object as its last line and exits with 1 when a promise was
//! broken. Engines, services and ranks are stand-ins; daemons are the real programs.

mod args;
mod capacity;
mod chaos;
mod control;
mod domain;
mod drift;
mod load;
mod overhead;
mod proc;
mod route;
mod stats;
mod steps;

pub use args::run;
