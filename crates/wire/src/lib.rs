//! The generated messages that crocustally's processes exchange and store.
//!
//! Everything here comes out of `proto/crocustally.proto`; run the `generate` example after
//! changing it. Nothing above this crate should invent a second encoding: convert to checked types
//! where a message enters, and back where it leaves.

/// Messages, clients and servers of the package `crocustally.v1`.
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic, clippy::unwrap_used)]
#[rustfmt::skip]
mod generated {
    include!("generated/crocustally_v1.rs");
}

pub use generated::*;
