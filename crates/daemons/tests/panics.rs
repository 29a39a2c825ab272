//! A panic in a process, which is this test program started once more.
#![allow(clippy::unwrap_used)]

use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crocustally_net::Runtime;
use crocustally_net::abort_on_panic;

/// Names the process that panics.
const PANICKING: &str = "CROCUSTALLY_TEST_PANICKING";
/// Time within which the process must have ended; it starts in a few milliseconds.
const END_TIME: Duration = Duration::from_secs(5);

/// Runs only in the process that the test below starts.
#[test]
fn task_panics() {
    if std::env::var_os(PANICKING).is_none() {
        return;
    }
    abort_on_panic();
    let rt = Runtime::start(1);
    rt.spawn(async { std::hint::black_box(None::<u32>).map(drop).unwrap() });
    std::thread::sleep(2 * END_TIME);
}

/// Guards against a process that goes on without its worker threads: it accepts connections, answers
/// nothing, and nobody restarts it.
#[test]
fn process_ends_after_a_panic_in_a_task() {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "task_panics"]).env(PANICKING, "1");
    let mut child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    let started_at = Instant::now();
    let mut status = None;
    while status.is_none() && started_at.elapsed() < END_TIME {
        std::thread::sleep(Duration::from_millis(20));
        status = child.try_wait().unwrap();
    }
    let _ = child.kill();
    let _ = child.wait();
    assert!(status.is_some_and(|s| !s.success()), "still running after {END_TIME:?}: {status:?}");
}
