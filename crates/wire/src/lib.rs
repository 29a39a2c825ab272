//! Generated messages that crocustally's processes exchange and store.
//!
//! All of them are generated from `proto/crocustally.proto`; run the `generate` example after
//! changing it. Other crates must not define a second encoding: they convert a message to checked
//! types on receipt, and back before sending or storing it.

/// Messages, clients and servers of the package `crocustally.v1`.
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic, clippy::unwrap_used)]
#[rustfmt::skip]
mod generated {
    include!("generated/crocustally_v1.rs");
}

mod policy_document;

/// Maximum size of a message between instances, and of a record on disk, in bytes. A message carries at
/// least one entry of the replicated log, or a snapshot, which holds the policy document beside the other
/// state.
pub const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;

pub use generated::*;
pub use policy_document::POLICY_BYTES_MAX;
pub use policy_document::PolicyBodyError;
