//! Control instances as processes on loopback addresses that are sent configurations of the largest
//! accepted size, which do not compress.
#![allow(clippy::unwrap_used, dead_code)]

#[path = "../../../platform/tests/common/calls.rs"]
mod calls;
#[path = "soak/deployment.rs"]
mod deployment;
#[path = "soak/operator.rs"]
mod operator;
#[path = "../../../platform/tests/common/runner.rs"]
mod runner;

use std::time::Duration;
use std::time::Instant;

use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_wire::POLICY_BYTES_MAX;
use deployment::CONTROLS;
use deployment::Deployment;
use operator::call;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

/// `recovery-s` of the smallest deployments.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// `ack-ms` of the smallest deployments, which have no more than a few routes.
const ACK_TIME: Duration = Duration::from_secs(4);
/// Length of an API key in a large configuration.
const KEY_CHARACTERS: usize = 4096;

/// A configuration of one route and `bytes` bytes, filled up with random API keys.
fn config(version: u64, bytes: usize) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(version);
    let mut keys: Vec<String> = Vec::new();
    let text = |keys: &[String]| {
        json!({
            "version": version,
            "routes": [{"name": "r", "host": "h", "path-prefix": "/r/", "kind": "safe",
                "timeout-ms": 1500, "service": "s"}],
            "services": [{"name": "s"}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "t", "api-keys": keys}],
        })
        .to_string()
    };
    let base = text(&keys).len();
    let mut left = bytes.saturating_sub(base);
    while left > 3 {
        let len = (left - 3).min(KEY_CHARACTERS);
        let characters = (0..len).map(|_| rng.random_range('#'..='Z'));
        keys.push(characters.collect());
        left -= len + 3;
    }
    text(&keys)
}

async fn put(rt: &Runtime, d: &Deployment, config: &str, limit: Duration) -> Result<(), String> {
    let started_at = Instant::now();
    let mut last = 0;
    for i in (0..CONTROLS).cycle() {
        if started_at.elapsed() > limit {
            break;
        }
        last = call(rt, d.control(i), "POST", "/config/put", config).await.0;
        if last == 200 {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{} bytes are not acknowledged in {limit:?}, last: status {last}", config.len()))
}

async fn read(rt: &Runtime, d: &Deployment, i: usize, limit: Duration) -> Option<u64> {
    let started_at = Instant::now();
    while started_at.elapsed() <= limit {
        let (status, body) = call(rt, d.control(i), "GET", "/config/get", "").await;
        if status == 200 {
            return serde_json::from_str::<Value>(&body).unwrap()["version"].as_u64();
        }
        sleep(Duration::from_millis(50)).await;
    }
    None
}

/// Guards against a large configuration that no follower can receive, after which no change is
/// acknowledged any more, and no configuration read.
#[test]
fn configuration_of_the_largest_size_is_replicated() {
    let rt = Runtime::start(2);
    let folder = std::env::temp_dir().join(format!("large-policies-{}", std::process::id()));
    let net = [(std::process::id() % 100 + 120) as u8, 240];
    async_io::block_on(async {
        let mut d = Deployment::start(&rt, net, 0, 0, folder).await;
        put(&rt, &d, &config(1, 0), RECOVERY_TIME).await.unwrap();
        for version in [2, 4, 6] {
            let large = put(&rt, &d, &config(version, POLICY_BYTES_MAX), RECOVERY_TIME).await;
            let small = put(&rt, &d, &config(version + 1, 0), ACK_TIME).await;
            let mut held = vec![];
            for i in 0..CONTROLS {
                held.push(read(&rt, &d, i, ACK_TIME).await);
            }
            let folder = d.keep_folder();
            assert!(
                large.is_ok() && small.is_ok() && held == [Some(version + 1); CONTROLS],
                "version {version}: {large:?}, afterwards {small:?}, read {held:?}, {}",
                folder.display()
            );
        }
    });
}
