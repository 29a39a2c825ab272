//! What the daemons' `main`s share, and the daemons that run on the platform in `src/bin`.

mod daemon;

pub use daemon::CommonSettings;
pub use daemon::DaemonContext;
pub use daemon::run_daemon;
