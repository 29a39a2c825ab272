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

pub use generated::*;
pub use policy_document::POLICY_BYTES_MAX;
pub use policy_document::PolicyBodyError;
