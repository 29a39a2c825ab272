//! Load generator and experiments, the source of every figure that the project publishes.
//!
//! Each experiment prints one JSON object as its last line and exits with status 1 if a target was
//! missed. Engines, services and ranks are stand-ins; the daemons are the real programs.

mod args;
mod capacity;
mod chaos;
mod control;
mod domain;
mod drift;
mod load;
mod overhead;
mod parts;
mod proc;
mod route;
mod stats;
mod steps;

pub use args::run;
