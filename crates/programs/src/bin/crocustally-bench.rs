//! `crocustally-bench`: runs the benchmarks with [`crocustally_bench::run`].

use std::process::ExitCode;

fn main() -> ExitCode {
    crocustally_bench::run()
}
