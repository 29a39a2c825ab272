//! What the process tests share.
#![allow(dead_code, clippy::unwrap_used)]

use std::future::Future;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use crocustally_fleet::FleetSettings;
use crocustally_fleet::Plan;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::Programs;
use crocustally_net::Runtime;
use crocustally_net::sleep;

/// Longest time for a deployment to stand.
pub const READY: Duration = Duration::from_secs(30);

/// The programs of this package.
pub fn programs() -> Programs {
    Programs {
        entry: PathBuf::from(env!("CARGO_BIN_EXE_crocustally-entry")),
        agent: PathBuf::from(env!("CARGO_BIN_EXE_crocustally-agent")),
    }
}

/// Runs a test on two threads.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Runtime) -> F) {
    let rt = Runtime::start(2);
    async_io::block_on(test(rt));
}

/// A deployment of processes that serves.
pub async fn ready_fleet(rt: &Runtime, settings: FleetSettings) -> ProcessFleet {
    let fleet = ProcessFleet::start(rt, Plan::new(settings), programs()).await.unwrap();
    assert!(fleet.wait_ready(READY).await, "not ready; entry-1 says {}", fleet.read_log("entry-1"));
    fleet
}

/// A small deployment, for tests of one matter.
pub fn small() -> FleetSettings {
    FleetSettings { assistants: 3, portals: 3, entries: 3, ..FleetSettings::default() }
}

/// Waits until `done`, for `limit` at most.
pub async fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if done() {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    done()
}
