//! `crocustally-bench`: a thin shell around [`crocustally_bench::run`].

use std::process::ExitCode;

fn main() -> ExitCode {
    crocustally_bench::run()
}
