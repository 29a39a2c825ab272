//! What the daemons' `main`s share; the programs themselves are in `src/bin`.

mod daemon;

pub use daemon::Common;
pub use daemon::Process;
pub use daemon::daemon;
