//! Generates `src/generated/crocustally_v1.rs` from `proto/crocustally.proto`, without `protoc`.
//!
//! Run from the root of the repository: `cargo run -p crocustally_wire --example generate`.

use std::error::Error;
use std::fs;

fn main() -> Result<(), Box<dyn Error>> {
    let fds = protox::compile(["crates/wire/proto/crocustally.proto"], ["crates/wire/proto"])?;
    let out_dir = std::env::temp_dir().join("crocustally-wire");
    fs::create_dir_all(&out_dir)?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(&out_dir)
        .compile_fds(fds)?;
    let code = fs::read_to_string(out_dir.join("crocustally.v1.rs"))?;
    fs::write("crates/wire/src/generated/crocustally_v1.rs", code)?;
    Ok(())
}
