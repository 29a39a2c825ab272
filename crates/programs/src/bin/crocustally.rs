//! `crocustally`: runs the operators' command line with [`crocustally_cli::run`].

use std::process::ExitCode;

fn main() -> ExitCode {
    crocustally_cli::run()
}
