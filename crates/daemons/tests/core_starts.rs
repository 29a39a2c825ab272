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

use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use deployment::CONTROLS;
use deployment::Deployment;
use operator::call;
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

async fn prepare(rt: &Runtime, number: u8) -> Deployment {
    let folder = std::env::temp_dir().join(format!("core-starts-{}-{number}", std::process::id()));
    let net = [(std::process::id() % 100 + 20) as u8, number];
    Deployment::prepare(rt, net, 0, 0, folder).await
}

async fn start(rt: &Runtime, number: u8) -> Deployment {
    let mut d = prepare(rt, number).await;
    (0..CONTROLS).for_each(|i| d.spawn(i, true));
    d
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

/// Guards against an instance that loses the others when its settings are changed, while it runs, to
/// seeds that are gone.
#[test]
fn configuration_is_read_back_after_seeds_were_exchanged_for_gone_ones() {
    let rt = Runtime::start(2);
    let play = async {
        let mut d = start(&rt, 5).await;
        put(&rt, &controls(&d), 1, RECOVERY_TIME).await?;
        let gone = |n: u8| SocketAddr::from(([127, 1, 1, n], 8100));
        for i in 0..CONTROLS {
            d.seeds[i] = gone(i as u8 + 1);
            for running in 0..CONTROLS {
                d.write_settings(running, false);
                if (i + running) % 2 == 0 {
                    d.signal(running, Signal::HUP);
                }
            }
            let version = i as u64 + 2;
            put(&rt, &controls(&d), version, ACK_TIME).await?;
            read_everywhere(&rt, &controls(&d), version, ACK_TIME).await?;
        }
        for i in 0..CONTROLS {
            d.kill(i);
            d.spawn(i, false);
            read_everywhere(&rt, &controls(&d), 4, RECOVERY_TIME).await?;
            sleep(CATCH_UP).await;
        }
        (0..CONTROLS).for_each(|i| d.kill(i));
        (0..CONTROLS).for_each(|i| d.spawn(i, false));
        read_everywhere(&rt, &controls(&d), 4, RECOVERY_TIME).await
    };
    assert_eq!(async_io::block_on(play), Ok(()));
}

/// Another program at the addresses of a control instance: accepts and says nothing, or answers 404.
fn start_other_program(ip: IpAddr, answers: bool) {
    for port in [8100, 8101] {
        let listener = TcpListener::bind((ip, port)).unwrap();
        thread::spawn(move || {
            let mut kept = Vec::new();
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                if answers {
                    let _ = stream.read(&mut [0; 1024]);
                    let _ =
                        stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                }
                kept.push(stream);
            }
        });
    }
}

/// Guards against a new instance that is not admitted, since other programs hold the addresses of seeds.
#[test]
fn new_instance_is_admitted_although_other_programs_hold_seeds() {
    let rt = Runtime::start(2);
    let play = async {
        let mut d = start(&rt, 6).await;
        put(&rt, &controls(&d), 1, RECOVERY_TIME).await?;
        let IpAddr::V4(first) = d.control(0).ip() else { unreachable!() };
        let [a, b, c, _] = first.octets();
        let other = |n: u8| IpAddr::from(Ipv4Addr::new(a, b, c, n));
        start_other_program(other(201), false);
        start_other_program(other(202), true);
        for i in 0..CONTROLS {
            d.replace_control(i);
            let running = d.control((i + 1) % CONTROLS);
            d.seeds = vec![(other(201), 8100).into(), (other(202), 8100).into(), running];
            sleep(Duration::from_secs(1)).await;
            d.spawn(i, false);
            sleep(CATCH_UP).await;
            put(&rt, &controls(&d), i as u64 + 2, ACK_TIME).await?;
            read_everywhere(&rt, &controls(&d), i as u64 + 2, ACK_TIME).await?;
        }
        (0..CONTROLS).for_each(|i| d.kill(i));
        (0..CONTROLS).for_each(|i| d.spawn(i, false));
        read_everywhere(&rt, &controls(&d), 4, RECOVERY_TIME).await
    };
    assert_eq!(async_io::block_on(play), Ok(()));
}

/// Guards against a new instance that is taken for the one whose address it has been given.
#[test]
fn new_instance_is_admitted_at_the_address_of_one_that_is_gone() {
    let rt = Runtime::start(2);
    let play = async {
        let mut d = start(&rt, 7).await;
        put(&rt, &controls(&d), 1, RECOVERY_TIME).await?;
        let mut free = None;
        for i in 0..2 * CONTROLS {
            let place = i % CONTROLS;
            let before = d.processes[place].ip;
            d.replace_control(place);
            if let Some(ip) = free.replace(before) {
                d.processes[place].ip = ip;
            }
            sleep(Duration::from_secs(1)).await;
            d.spawn(place, false);
            sleep(CATCH_UP).await;
            put(&rt, &controls(&d), i as u64 + 2, ACK_TIME).await?;
            read_everywhere(&rt, &controls(&d), i as u64 + 2, ACK_TIME).await?;
        }
        (0..CONTROLS).for_each(|i| d.kill(i));
        (0..CONTROLS).for_each(|i| d.spawn(i, false));
        read_everywhere(&rt, &controls(&d), 2 * CONTROLS as u64 + 1, RECOVERY_TIME).await
    };
    assert_eq!(async_io::block_on(play), Ok(()));
}

/// Starts all instances within 0.3 s in a drawn order, each frozen for up to 4 s from a moment of its
/// start on. Operators send configurations all the while.
async fn start_slowly(rt: &Runtime, seed: u64) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut d = prepare(rt, (seed % 200) as u8 + 20).await;
    let mut steps = Vec::new();
    for i in 0..CONTROLS {
        let spawned_at = rng.random_range(0..300);
        steps.push((spawned_at, i, None));
        if rng.random_bool(0.7) {
            let frozen_at = spawned_at + rng.random_range(1..400);
            let until = frozen_at + rng.random_range(0..4000);
            steps.push((frozen_at, i, Some(Signal::STOP)));
            steps.push((until, i, Some(Signal::CONT)));
        }
    }
    steps.sort_by_key(|(at, i, _)| (*at, *i));
    let started_at = Instant::now();
    let at = controls(&d);
    let starts = async {
        for (ms, i, signal) in steps {
            let due = Duration::from_millis(ms);
            sleep(due.saturating_sub(started_at.elapsed())).await;
            match signal {
                Some(signal) => d.signal(i, signal),
                None => d.spawn(i, true),
            }
        }
    };
    let (mut version, mut acknowledged) = (0, 0);
    let changes = async {
        loop {
            version += 1;
            let to = at[version as usize % CONTROLS];
            if put(rt, &[to], version, Duration::from_millis(200)).await.is_ok() {
                acknowledged = version;
            }
        }
    };
    futures_lite::future::or(starts, changes).await;
    // A change that was sent and not acknowledged may still be committed, but not after this one.
    version += 1;
    let kept = |d: &mut Deployment, e| format!("{e}; logs in {}", d.keep_folder().display());
    put(rt, &at, version, RECOVERY_TIME).await.map_err(|e| kept(&mut d, e))?;
    read_everywhere(rt, &at, version, RECOVERY_TIME).await.map_err(|e| kept(&mut d, e))?;
    for to in &at {
        version += 1;
        put(rt, &[*to], version, ACK_TIME).await.map_err(|e| kept(&mut d, e))?;
        read_everywhere(rt, &at, version, ACK_TIME).await.map_err(|e| kept(&mut d, e))?;
    }
    if acknowledged > version { Err("an acknowledged version is newer".to_owned()) } else { Ok(()) }
}

/// Guards against two logs, or none, after a first start on machines that are slow to begin.
#[test]
fn one_log_is_created_on_machines_that_are_slow_to_begin() {
    let text = std::env::var("START_SEEDS").unwrap_or("1..3".to_owned());
    let (from, to) = text.split_once("..").unwrap();
    let rt = Runtime::start(2);
    let mut failed = Vec::new();
    for seed in from.parse::<u64>().unwrap()..to.parse().unwrap() {
        if let Err(e) = async_io::block_on(start_slowly(&rt, seed)) {
            println!("seed {seed}: {e}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}
