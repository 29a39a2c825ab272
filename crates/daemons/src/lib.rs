//! What the daemons' `main`s share, and the daemons that run on the platform in `src/bin`.

mod daemon;

pub use daemon::Common;
pub use daemon::Process;
pub use daemon::daemon;
