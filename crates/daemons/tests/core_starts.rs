//! Control instances as processes on loopback addresses at their start: with seeds that are gone, at
//! addresses that others had, and on machines that are slow to begin.
//!
//! `START_SEEDS=0..50 cargo test --release -p crocustally_daemons --test core_starts -- --nocapture`
//! draws first starts on other seeds.
#![allow(clippy::unwrap_used, dead_code)]

#[path = "soak/deployment.rs"]
mod deployment;
#[path = "soak/operator.rs"]
mod operator;
#[path = "../../../platform/tests/common/runner.rs"]
mod runner;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use deployment::CONTROLS;
use deployment::Deployment;
use operator::call;
use serde_json::Value;
use serde_json::json;

/// Time after which an operator without a response turns to another instance.
const PATIENCE: Duration = Duration::from_secs(1);
/// `catch-up-s` of the smallest deployments.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `ack-ms` of the smallest deployments.
const ACK_TIME: Duration = Duration::from_secs(4);
/// `recovery-s` of the smallest deployments.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{"name": "r", "host": "h", "path-prefix": "/r/", "kind": "safe",
            "timeout-ms": 1500, "target-latency-ms": 500, "priority": 1, "attempts": 2, "service": "s"}],
        "services": [{"name": "s", "max-conns": 90, "cold-per-s": 0.0}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
}

fn controls(d: &Deployment) -> Vec<SocketAddr> {
    (0..CONTROLS).map(|c| d.control(c)).collect()
}

async fn start(rt: &Runtime, number: u8) -> Deployment {
    let folder = std::env::temp_dir().join(format!("core-starts-{}-{number}", std::process::id()));
    let net = [(std::process::id() % 100 + 20) as u8, number];
    Deployment::start(rt, net, 0, 0, folder).await
}

/// Sends a version to the instances in turn until one acknowledges it.
async fn put(rt: &Runtime, to: &[SocketAddr], version: u64, limit: Duration) -> Result<(), String> {
    let (started_at, config) = (Instant::now(), config(version).to_string());
    let mut last = 0;
    for to in to.iter().cycle() {
        if started_at.elapsed() > limit {
            break;
        }
        let reply = timeout(PATIENCE, call(rt, *to, "POST", "/config/put", &config)).await;
        last = reply.unwrap_or_default().0;
        if last == 200 {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(format!("version {version} is not acknowledged in {limit:?}, last status {last}"))
}

/// Reads from every instance until each has answered; all must return `version`.
async fn read_everywhere(
    rt: &Runtime,
    from: &[SocketAddr],
    version: u64,
    limit: Duration,
) -> Result<(), String> {
    let started_at = Instant::now();
    for from in from {
        loop {
            let reply = timeout(PATIENCE, call(rt, *from, "GET", "/config/get", "")).await;
            let (status, body) = reply.unwrap_or_default();
            if status == 200 {
                let config: Value = serde_json::from_str(&body).unwrap_or_default();
                if config["version"] != version {
                    return Err(format!("{from} returned {}, not {version}", config["version"]));
                }
                break;
            }
            if started_at.elapsed() > limit {
                return Err(format!("no version from {from} in {limit:?}, last status {status}"));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Replaces all instances in turn, each as soon as the one before stopped counting, kills all
/// processes and starts them with settings that name the seeds of `exchanges` replacements ago. Before
/// the start, `damage` is done to their disks.
async fn restart_with_old_seeds(
    number: u8,
    exchanges: usize,
    damage: impl Fn(&Deployment),
) -> Result<(), String> {
    let rt = Runtime::start(2);
    let mut d = start(&rt, number).await;
    put(&rt, &controls(&d), 1, RECOVERY_TIME).await?;
    let mut addresses = vec![controls(&d)];
    for i in 0..CONTROLS {
        d.replace_control(i);
        sleep(Duration::from_secs(1)).await;
        d.spawn(i, false);
        addresses.push(controls(&d));
        sleep(CATCH_UP).await;
        put(&rt, &controls(&d), i as u64 + 2, ACK_TIME).await?;
    }
    (0..CONTROLS).for_each(|i| d.kill(i));
    damage(&d);
    d.seeds = addresses[CONTROLS - exchanges].clone();
    (0..CONTROLS).for_each(|i| d.spawn(i, false));
    let newest = CONTROLS as u64 + 1;
    let read = read_everywhere(&rt, &controls(&d), newest, RECOVERY_TIME).await;
    let read = read.map_err(|e| format!("{e}; logs in {}", d.keep_folder().display()));
    read?;
    put(&rt, &controls(&d), newest + 1, ACK_TIME).await
}

/// Guards against instances that do not find each other after a power loss, since settings name
/// seeds from one exchange ago.
#[test]
fn configuration_is_read_back_with_seeds_of_one_exchange_ago() {
    assert_eq!(async_io::block_on(restart_with_old_seeds(1, 1, |_| ())), Ok(()));
}

/// Guards against instances that do not find each other after a power loss, since settings name
/// seeds from two exchanges ago.
#[test]
fn configuration_is_read_back_with_seeds_of_two_exchanges_ago() {
    assert_eq!(async_io::block_on(restart_with_old_seeds(2, 2, |_| ())), Ok(()));
}

/// Guards against instances that do not find each other after a power loss, since all seeds that
/// settings name are gone.
#[test]
fn configuration_is_read_back_although_all_seeds_are_gone() {
    assert_eq!(async_io::block_on(restart_with_old_seeds(3, 3, |_| ())), Ok(()));
}

/// Guards against an instance that does not start, or that the others do not find, since the peers on
/// its disk are damaged or missing.
#[test]
fn configuration_is_read_back_although_known_peers_are_damaged() {
    let damage = |d: &Deployment| {
        std::fs::write(d.data(0).join("peers/known"), [b'7', 0xff, 0, b' ', b'\n']).unwrap();
        std::fs::remove_dir_all(d.data(1).join("peers")).unwrap();
    };
    assert_eq!(async_io::block_on(restart_with_old_seeds(4, 3, damage)), Ok(()));
}
