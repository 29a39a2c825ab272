//! The common `main` of the daemons; `src/bin` has the daemons for the platform.

mod daemon;

pub use daemon::CommonSettings;
pub use daemon::DaemonContext;
pub use daemon::run_daemon;
