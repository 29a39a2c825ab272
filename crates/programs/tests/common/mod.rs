//! Helpers shared by the process tests.
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

/// Longest time for a deployment to become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Paths of the programs built by this package.
pub fn programs() -> Programs {
    Programs {
        entry: PathBuf::from(env!("CARGO_BIN_EXE_crocustally-entry")),
        agent: PathBuf::from(env!("CARGO_BIN_EXE_crocustally-agent")),
    }
}

/// Runs a test with a runtime of two threads.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Runtime) -> F) {
    let rt = Runtime::start(2);
    async_io::block_on(test(rt));
}

/// Starts a deployment of processes and waits until it is ready.
pub async fn ready_fleet(rt: &Runtime, settings: FleetSettings) -> ProcessFleet {
    let fleet = ProcessFleet::start(rt, Plan::new(settings), programs()).await.unwrap();
    assert!(
        fleet.wait_ready(READY_TIMEOUT).await,
        "deployment not ready; log of entry-1: {}",
        fleet.read_log("entry-1")
    );
    fleet
}

/// Settings of a small deployment with endpoints of both kinds.
pub fn small_settings() -> FleetSettings {
    FleetSettings { assistants: 3, portals: 3, entries: 3, ..FleetSettings::default() }
}

/// Waits until `condition` holds, for `limit` at most; returns whether it held.
pub async fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    condition()
}
