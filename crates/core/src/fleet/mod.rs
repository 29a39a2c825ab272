//! The fleet: which endpoints there are, as they announce themselves.

mod beat;
mod registry;

pub use beat::Beat;
pub use beat::BeatState;
pub use beat::MalformedBeat;
pub use registry::Change;
pub use registry::Known;
pub use registry::Registry;
