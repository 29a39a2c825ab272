//! The operators' command line: checks and sends tickets, shows status and burn rates, runs a demo.
//!
//! Every subcommand that changes something writes a numbered ticket with the complete new state of
//! the objects it touches, and sends it. A ticket that is sent again because the response was lost
//! gets the response of the first sending.

mod args;
mod blocked;
mod demo;
mod operate;
mod plot;
mod report;
mod where_request;

pub use args::run;
pub use report::BurnLine;
pub use report::merge_reports;
pub use where_request::WhereError;
pub use where_request::fetch_where;
pub use where_request::where_table;
