//! Control instances as processes on loopback addresses, lost one after the other, each as soon as
//! the deployment bears another loss, while an operator changes and reads the configuration.
//!
//! `CORE_SEEDS=0..50 cargo test --release -p crocustally_daemons --test core_losses drawn --
//! --nocapture` plays drawn losses on other seeds.
#![allow(clippy::unwrap_used, dead_code)]

#[path = "../../../platform/tests/common/calls.rs"]
mod calls;
#[path = "soak/deployment.rs"]
mod deployment;
#[path = "../../../platform/tests/common/runner.rs"]
mod runner;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use deployment::CONTROLS;
use deployment::Deployment;
use futures_lite::future;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

/// Time after which an operator without a response turns to another instance.
const PATIENCE: Duration = Duration::from_secs(1);
/// `catch-up-s` of the smallest deployments.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `ack-ms` of the smallest deployments: a change has to be acknowledged, and a read answered, so
/// soon while no loss counts.
const ACK_TIME: Duration = Duration::from_secs(4);
/// `recovery-s` of the smallest deployments.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Number of losses in a drawn run.
const LOSSES: usize = 6;

/// How a control instance is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Gone for good; an empty one starts at another address after the time.
    Replaced(Duration),
    /// Killed, and back with an empty disk after the time.
    DiskLost(Duration),
    /// Killed, and back with its disk after the time.
    Down(Duration),
    /// Stopped by a signal and continued after the time.
    Frozen(Duration),
    /// Its files take no more bytes for the time.
    DiskFull(Duration),
    /// Killed, and back at once with a disk that takes no more bytes for the time.
    StartedWhileFull(Duration),
    /// Stopped with SIGTERM, and started again after the time.
    Stopped(Duration),
}

/// An operator that changes and reads the configuration.
struct Operator {
    rt: Runtime,
    /// A kept connection for each instance.
    clients: BTreeMap<SocketAddr, HttpClient>,
    version: u64,
    acknowledged: u64,
    /// Calls without a 200 by what was seen instead.
    failures: BTreeMap<String, usize>,
}

impl Operator {
    /// Sends one call, on a new connection or a kept one; returns status and body, or what was seen.
    async fn call(&mut self, to: SocketAddr, path: &str, body: String) -> Result<Value, String> {
        let rt = self.rt.clone();
        let client = self.clients.entry(to).or_insert_with(|| HttpClient::new(&rt, to));
        let method = if body.is_empty() { "GET" } else { "POST" };
        let req = Request::builder().method(method).uri(path).header("Host", "c");
        let req = req.body(Full::new(Bytes::from(body))).unwrap();
        let new_connection = self.version.is_multiple_of(2);
        let call = async {
            let sent = client.send(req, new_connection).await;
            let (response, conn) = sent.map_err(|_| "no connection".to_owned())?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body = body.map_err(|_| "the response broke off".to_owned())?.to_bytes();
            client.put_idle(conn);
            match status {
                200 => Ok(serde_json::from_slice(&body).unwrap_or_default()),
                status => Err(format!("status {status}")),
            }
        };
        let result = timeout(PATIENCE, call).await.unwrap_or(Err("silence".to_owned()));
        if let Err(seen) = &result {
            *self.failures.entry(seen.clone()).or_default() += 1;
        }
        result
    }

    /// Sends the next version to the instances in turn until one acknowledges it.
    async fn put(&mut self, to: &[SocketAddr], limit: Duration) -> Result<(), String> {
        self.version += 1;
        let config = config(self.version).to_string();
        let started_at = Instant::now();
        let mut last = String::new();
        for to in to.iter().cycle() {
            if started_at.elapsed() > limit {
                break;
            }
            match self.call(*to, "/config/put", config.clone()).await {
                Ok(_) => {
                    self.acknowledged = self.version;
                    return Ok(());
                }
                Err(seen) => last = format!("{seen} at {to}"),
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(format!("version {} is not acknowledged in {limit:?}, last: {last}", self.version))
    }

    /// Reads from one instance until it answers; the version must be the newest acknowledged.
    async fn read(&mut self, from: SocketAddr, limit: Duration) -> Result<(), String> {
        let started_at = Instant::now();
        let mut last = String::new();
        while started_at.elapsed() <= limit {
            match self.call(from, "/config/get", String::new()).await {
                Ok(config) => {
                    let version = config["version"].as_u64().unwrap_or(0);
                    if version < self.acknowledged || version > self.version {
                        let newest = self.acknowledged;
                        return Err(format!("{from} returned {version}, {newest} is acknowledged"));
                    }
                    return Ok(());
                }
                Err(seen) => last = seen,
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(format!("the configuration did not come from {from} in {limit:?}, last: {last}"))
    }
}

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

/// Plays losses at given instances, each as soon as the one before has stopped counting. The
/// configuration has to change and to be read at every instance whenever no loss counts.
async fn play(rt: &Runtime, number: u8, losses: Vec<(usize, Loss)>) -> Result<String, String> {
    let folder = std::env::temp_dir().join(format!("core-losses-{}-{number}", std::process::id()));
    let net = [(std::process::id() % 100 + 120) as u8, number];
    let mut d = Deployment::start(rt, net, 0, 0, folder).await;
    let (clients, failures) = Default::default();
    let rt = rt.clone();
    let mut op = Operator { rt, clients, version: 0, acknowledged: 0, failures };
    let controls =
        |d: &Deployment| -> Vec<SocketAddr> { (0..CONTROLS).map(|c| d.control(c)).collect() };
    op.put(&controls(&d), RECOVERY_TIME).await?;
    let mut log = Vec::new();
    let mut outcome = Ok(());
    for (i, loss) in &losses {
        log.push(format!("{loss:?} {i}"));
        let others: Vec<SocketAddr> =
            (0..CONTROLS).filter(|c| c != i).map(|c| d.control(c)).collect();
        let during = async {
            loop {
                // Nothing has to be answered in this time, and what is acknowledged has to stay.
                let _ = op.put(&others, Duration::from_millis(300)).await;
                sleep(Duration::from_millis(200)).await;
            }
        };
        future::or(lose(&mut d, *i, *loss), during).await;
        let counted_until = Instant::now() + CATCH_UP;
        while Instant::now() < counted_until {
            let _ = op.put(&controls(&d), Duration::from_millis(300)).await;
            sleep(Duration::from_millis(200)).await;
        }
        let at = controls(&d);
        outcome = op.put(&at, ACK_TIME).await;
        for from in at {
            outcome = outcome.and(op.read(from, ACK_TIME).await);
        }
        if outcome.is_err() {
            break;
        }
    }
    let summary = format!("{} versions, failures {:?}, {log:?}", op.version, op.failures);
    outcome.map_err(|e| format!("{e}\n  {summary}; logs in {}", d.keep_folder().display()))?;
    Ok(summary)
}

async fn lose(d: &mut Deployment, i: usize, loss: Loss) {
    match loss {
        Loss::Replaced(after) => {
            d.replace_control(i);
            sleep(after).await;
            d.spawn(i, false);
        }
        Loss::DiskLost(after) => {
            d.kill(i);
            d.delete_data(i);
            sleep(after).await;
            d.spawn(i, false);
        }
        Loss::Down(after) => {
            d.kill(i);
            sleep(after).await;
            d.spawn(i, false);
        }
        Loss::Frozen(after) => {
            d.signal(i, Signal::STOP);
            sleep(after).await;
            d.signal(i, Signal::CONT);
        }
        Loss::DiskFull(after) => {
            d.set_disk_full(i, true);
            sleep(after).await;
            d.set_disk_full(i, false);
        }
        Loss::StartedWhileFull(after) => {
            d.kill(i);
            d.spawn(i, false);
            d.set_disk_full(i, true);
            sleep(after).await;
            d.set_disk_full(i, false);
        }
        Loss::Stopped(after) => {
            d.signal(i, Signal::TERM);
            sleep(after).await;
            d.kill(i);
            d.spawn(i, false);
        }
    }
}

/// Guards against a core that is out of reach for good after its machines have been replaced in
/// turn, each as soon as the one before stopped counting.
#[test]
fn configuration_is_read_back_after_each_of_three_replacements() {
    let rt = Runtime::start(2);
    let after = Duration::from_secs(1);
    let losses = (0..CONTROLS).map(|i| (i, Loss::Replaced(after))).collect();
    let played = async_io::block_on(play(&rt, 0, losses));
    assert!(played.is_ok(), "{}", played.unwrap_err());
}

/// Guards against a deployment that never takes a configuration, since one of the instances that create
/// the log was gone before it was created.
#[test]
fn log_is_created_although_one_instance_is_gone_at_the_first_start() {
    let rt = Runtime::start(2);
    for gone in 0..CONTROLS {
        let folder =
            std::env::temp_dir().join(format!("first-start-{}-{gone}", std::process::id()));
        let net = [(std::process::id() % 100 + 120) as u8, 252 + gone as u8];
        async_io::block_on(async {
            let mut d = Deployment::start(&rt, net, 0, 0, folder).await;
            d.replace_control(gone);
            sleep(Duration::from_secs(1)).await;
            d.spawn(gone, false);
            let (clients, failures) = Default::default();
            let rt = rt.clone();
            let mut op = Operator { rt, clients, version: 0, acknowledged: 0, failures };
            let at: Vec<SocketAddr> = (0..CONTROLS).map(|c| d.control(c)).collect();
            let mut taken = op.put(&at, RECOVERY_TIME).await;
            for from in at {
                taken = taken.and(op.read(from, ACK_TIME).await);
            }
            assert_eq!(taken, Ok(()), "without instance {gone}: {:?}", op.failures);
        });
    }
}

/// Guards against changes that are refused long after the disks of all instances, full one after the
/// other, have room again.
#[test]
fn configuration_changes_while_disks_are_full_in_turn() {
    let rt = Runtime::start(2);
    let losses = (0..CONTROLS).map(|i| (i, Loss::DiskFull(Duration::from_secs(3)))).collect();
    let played = async_io::block_on(play(&rt, 251, losses));
    assert!(played.is_ok(), "{}", played.unwrap_err());
}

/// Guards against an instance that stays away after it was started with a full disk.
#[test]
fn instances_started_with_full_disks_take_part_once_there_is_room() {
    let full = Loss::StartedWhileFull(Duration::from_secs(3));
    let losses = (0..CONTROLS).map(|i| (i, full)).collect();
    let rt = Runtime::start(2);
    let played = async_io::block_on(play(&rt, 255, losses));
    assert!(played.is_ok(), "{}", played.unwrap_err());
}

/// Guards against orders of losses of all kinds after which the configuration does not come.
#[test]
fn configuration_is_read_back_after_drawn_losses() {
    let text = std::env::var("CORE_SEEDS").unwrap_or("1..2".to_owned());
    let (from, to) = text.split_once("..").unwrap();
    let rt = Runtime::start(2);
    let mut failed = Vec::new();
    for seed in from.parse::<u64>().unwrap()..to.parse().unwrap() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let losses = (0..LOSSES).map(|_| {
            let i = rng.random_range(0..CONTROLS);
            let short = Duration::from_millis(rng.random_range(100..2000));
            let long = Duration::from_millis(rng.random_range(100..6000));
            let loss = match rng.random_range(0..9) {
                0..3 => Loss::Replaced(short),
                3 | 4 => Loss::DiskLost(short),
                5 => Loss::Down(long),
                6 => Loss::Frozen(long),
                7 => Loss::DiskFull(long),
                _ => Loss::Stopped(long),
            };
            (i, loss)
        });
        let losses = losses.collect();
        match async_io::block_on(play(&rt, (seed % 250) as u8 + 1, losses)) {
            Ok(summary) => println!("seed {seed}: {summary}"),
            Err(text) => {
                println!("seed {seed}: {text}");
                failed.push(seed);
            }
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}

/// Guards against reads that wait for disks, and are refused beside slow or full ones.
#[test]
fn configuration_is_read_while_no_disk_takes_a_byte() {
    let rt = Runtime::start(2);
    let folder = std::env::temp_dir().join(format!("core-reads-{}", std::process::id()));
    let net = [(std::process::id() % 100 + 20) as u8, 254];
    async_io::block_on(async {
        let d = Deployment::start(&rt, net, 0, 0, folder).await;
        let (clients, failures) = Default::default();
        let mut op = Operator { rt, clients, version: 0, acknowledged: 0, failures };
        let at: Vec<SocketAddr> = (0..CONTROLS).map(|c| d.control(c)).collect();
        let mut taken = op.put(&at, RECOVERY_TIME).await;
        sleep(CATCH_UP).await;
        (0..CONTROLS).for_each(|i| d.set_disk_full(i, true));
        for from in at.iter().cycle().take(3 * CONTROLS) {
            taken = taken.and(op.read(*from, ACK_TIME).await);
        }
        (0..CONTROLS).for_each(|i| d.set_disk_full(i, false));
        taken = taken.and(op.put(&at, RECOVERY_TIME).await);
        assert_eq!(taken, Ok(()), "{:?}", op.failures);
    });
}

/// Guards against reads that are refused while operators change the configuration without a pause.
#[test]
fn configuration_is_read_beside_changes_that_never_rest() {
    let rt = Runtime::start(2);
    let folder = std::env::temp_dir().join(format!("core-changes-{}", std::process::id()));
    let net = [(std::process::id() % 100 + 20) as u8, 255];
    async_io::block_on(async {
        let d = Deployment::start(&rt, net, 0, 0, folder).await;
        let operator = || {
            let (clients, failures) = Default::default();
            Operator { rt: rt.clone(), clients, version: 0, acknowledged: 0, failures }
        };
        let (mut changing, mut reading) = (operator(), operator());
        let at: Vec<SocketAddr> = (0..CONTROLS).map(|c| d.control(c)).collect();
        assert_eq!(changing.put(&at, RECOVERY_TIME).await, Ok(()));
        let changes = async {
            loop {
                let _ = changing.put(&at, ACK_TIME).await;
            }
        };
        let reads = async {
            let mut times = Vec::new();
            for from in at.iter().cycle().take(100 * CONTROLS) {
                let sent_at = Instant::now();
                let read = reading.call(*from, "/config/get", String::new()).await;
                times.push(sent_at.elapsed());
                assert!(read.is_ok(), "{read:?}");
            }
            times
        };
        let mut times = future::or(reads, changes).await;
        times.sort();
        let (median, last) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{} changes, reads: median {median:?}, longest {last:?}", changing.version);
        assert!(changing.version > 1, "nothing was changed beside the reads");
    });
}
