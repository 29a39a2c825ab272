//! `crocustally`: a thin shell around [`crocustally_cli::run`].

use std::process::ExitCode;

fn main() -> ExitCode {
    crocustally_cli::run()
}
