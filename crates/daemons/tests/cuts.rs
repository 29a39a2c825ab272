//! Control instances and gateways as processes on loopback addresses with relays between all of them,
//! which cut, stall and delay their connections, while an operator changes and reads the configuration.
//!
//! `CUT_SEEDS=0..20 cargo test --release -p crocustally_daemons --test cuts -- --nocapture` plays other
//! seeds.
#![allow(clippy::unwrap_used, dead_code)]

#[path = "../../../platform/tests/common/calls.rs"]
mod calls;
#[path = "soak/deployment.rs"]
mod deployment;
#[path = "soak/operator.rs"]
mod operator;
#[path = "../../../platform/tests/common/runner.rs"]
mod runner;

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use calls::caller_request;
use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use deployment::CONTROLS;
use deployment::Deployment;
use futures_lite::future;
use operator::call;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

/// Number of gateways.
const GATEWAYS: usize = 2;
/// Number of faults in a run.
const FAULTS: usize = 3;
/// Time after which an operator without a response turns to another instance.
const PATIENCE: Duration = Duration::from_secs(1);
/// `contact-ms` of the smallest deployments: bounds hold again so long after the last cut or stall.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// `catch-up-s` of the smallest deployments.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `ack-ms` of the smallest deployments.
const ACK_TIME: Duration = Duration::from_secs(4);
/// `config-ms` of the smallest deployments.
const CONFIG_TIME: Duration = Duration::from_secs(2);
/// `recovery-s` of the smallest deployments.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time that a gateway may wait for an endpoint, of which there are none.
const PROBE_DEADLINE_MS: u64 = 100;

/// A control instance by its role when the fault begins.
#[derive(Clone, Copy, Debug)]
enum Target {
    Leader,
    /// One of the others, by its place among them.
    Follower(usize),
}

/// What happens to the network.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Nothing arrives from an instance at the others and at the gateways.
    Unheard(Target),
    /// Nothing arrives at an instance.
    Deaf(Target),
    /// The leader and a follower are cut from each other; the third instance reaches both.
    Apart(usize),
    /// All open connections to an instance go silent without a reset; new ones work.
    Silent(Target),
    /// Bytes to all instances and back are delayed.
    Delayed(Duration),
    /// One way after the other stalls for a part of a second, as after a loss.
    Stalls,
    /// An instance is gone for good, its address silent; an empty one starts at another address after the time.
    Gone(Target, Duration),
    /// A gateway is cut from this many instances, the leader first.
    GatewayCut(usize, usize),
}

impl Fault {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        let follower = rng.random_range(0..CONTROLS - 1);
        let target = if rng.random() { Target::Leader } else { Target::Follower(follower) };
        match rng.random_range(0..8) {
            0 => Self::Unheard(target),
            1 => Self::Deaf(target),
            2 => Self::Apart(follower),
            3 => Self::Silent(target),
            4 => Self::Delayed(Duration::from_millis(rng.random_range(20..=300))),
            5 => Self::Stalls,
            6 => Self::Gone(target, Duration::from_millis(rng.random_range(200..1500))),
            _ => Self::GatewayCut(rng.random_range(0..GATEWAYS), rng.random_range(1..CONTROLS)),
        }
    }
}

/// A deployment and what its operator knows.
struct Run {
    rt: Runtime,
    d: Deployment,
    rng: ChaCha8Rng,
    version: u64,
    acknowledged: u64,
    /// Newest version that each gateway was seen to serve.
    served: [u64; GATEWAYS],
    /// Breaches of rules that hold at any time.
    breaches: Vec<String>,
}

/// A configuration with one route, which only this version has.
fn config(version: u64) -> String {
    json!({
        "version": version,
        "routes": [{"name": "r", "host": "h", "path-prefix": format!("/r{version}/"), "kind": "safe",
            "timeout-ms": 1500, "service": "s"}],
        "services": [{"name": "s"}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
    .to_string()
}

impl Run {
    fn new(rt: &Runtime, d: Deployment, rng: ChaCha8Rng) -> Self {
        Self {
            rt: rt.clone(),
            d,
            rng,
            version: 0,
            acknowledged: 0,
            served: [0; GATEWAYS],
            breaches: Vec::new(),
        }
    }

    fn controls(&self) -> Vec<SocketAddr> {
        (0..CONTROLS).map(|c| self.d.control(c)).collect()
    }

    fn host(&self, i: usize) -> IpAddr {
        self.d.processes[i].ip
    }

    /// The instance that became leader in the newest term, by the logs.
    fn leader(&self) -> usize {
        let newest_term = |c: &usize| {
            let log = self.d.read_log(*c);
            let terms = log.split("to Leader in term ").skip(1);
            let number = |t: &str| t.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok();
            terms.filter_map(number).max().unwrap_or(0u64)
        };
        (0..CONTROLS).max_by_key(newest_term).unwrap()
    }

    fn find(&self, target: Target) -> usize {
        let leader = self.leader();
        match target {
            Target::Leader => leader,
            Target::Follower(n) => (0..CONTROLS).filter(|c| *c != leader).nth(n).unwrap(),
        }
    }

    /// Cuts or restores the ways from one process to others.
    fn set_cut(&self, from: &[usize], to: &[usize], cut: bool) {
        let links = self.d.links.as_ref().unwrap();
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))) {
            if a != b {
                links.set_cut(self.host(a), self.host(b), cut);
            }
        }
    }

    /// Sends the next version to the instances in turn until one acknowledges it.
    async fn put(&mut self, to: &[SocketAddr], limit: Duration) -> Result<(), String> {
        self.version += 1;
        let config = config(self.version);
        let started_at = Instant::now();
        let mut last = 0;
        for to in to.iter().cycle() {
            let left = limit.saturating_sub(started_at.elapsed());
            if left.is_zero() {
                break;
            }
            let sent = call(&self.rt, *to, "POST", "/config/put", &config);
            last = timeout(PATIENCE.min(left), sent).await.unwrap_or_default().0;
            if last == 200 {
                self.acknowledged = self.version;
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(format!("version {} not acknowledged in {limit:?}, last status {last}", self.version))
    }

    /// Reads from one instance; an older version than acknowledged is a breach at any time.
    async fn read(&mut self, from: SocketAddr) -> Result<u64, u16> {
        let acknowledged = self.acknowledged;
        let read = call(&self.rt, from, "GET", "/config/get", "");
        let (status, body) = timeout(PATIENCE, read).await.unwrap_or_default();
        if status != 200 {
            return Err(status);
        }
        let version =
            serde_json::from_str::<Value>(&body).unwrap()["version"].as_u64().unwrap_or(0);
        if version < acknowledged {
            let text = format!("{from} returned {version}, {acknowledged} was acknowledged");
            self.breaches.push(text);
        }
        Ok(version)
    }

    /// Whether a gateway serves the route of a version; `None` without a response.
    async fn has_route(&self, gateway: usize, version: u64) -> Option<bool> {
        let client = HttpClient::new(&self.rt, self.d.gateway(gateway));
        let path = format!("/r{version}/x");
        let req = caller_request(&path, "1", PROBE_DEADLINE_MS, None, "");
        let (response, _conn) = timeout(PATIENCE, client.send(req, true)).await?.ok()?;
        Some(response.status() != 404)
    }

    /// Looks at a gateway; one that goes back to an older version is a breach at any time.
    async fn look(&mut self, gateway: usize) {
        // Without a policy, a gateway refuses all requests alike. No version has route 0.
        if self.has_route(gateway, 0).await != Some(false) {
            return;
        }
        let newest = self.version;
        let oldest = newest.saturating_sub(4).max(self.served[gateway] + 1);
        for version in (oldest..=newest).rev() {
            if self.has_route(gateway, version).await == Some(true) {
                self.served[gateway] = version;
                break;
            }
        }
        let served = self.served[gateway];
        for dropped in served.saturating_sub(3).max(1)..served {
            if self.has_route(gateway, dropped).await == Some(true) {
                let text = format!("gateway {gateway} serves {dropped} after {served}");
                self.breaches.push(text);
            }
        }
    }

    /// Changes and reads the configuration without an end. Nothing has to be answered.
    async fn operate(&mut self) {
        loop {
            let at = self.controls();
            let to = at[self.rng.random_range(0..CONTROLS)];
            let _ = self.put(&[to], Duration::from_millis(500)).await;
            for from in at {
                let _ = timeout(Duration::from_millis(500), self.read(from)).await;
            }
            for gateway in 0..GATEWAYS {
                self.look(gateway).await;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn operate_for(&mut self, time: Duration) {
        future::or(self.operate(), sleep(time)).await;
    }

    /// Plays one fault and waits until it no longer counts.
    async fn play(&mut self, fault: Fault) {
        let all: Vec<usize> = (0..CONTROLS + GATEWAYS).collect();
        let time = Duration::from_millis(self.rng.random_range(500..3000));
        match fault {
            Fault::Unheard(target) => {
                let i = self.find(target);
                self.cut_for(&[(&[i], &all)], time).await;
            }
            Fault::Deaf(target) => {
                let i = self.find(target);
                self.cut_for(&[(&all, &[i])], time).await;
            }
            Fault::Apart(n) => {
                let (a, b) = (self.leader(), self.find(Target::Follower(n)));
                self.cut_for(&[(&[a], &[b]), (&[b], &[a])], time).await;
            }
            Fault::Silent(target) => {
                self.d.peer_relays[self.find(target)].stall_existing(true, true);
            }
            Fault::Delayed(delay) => {
                self.d.peer_relays.iter().for_each(|r| r.set_delay(delay));
                self.operate_for(time).await;
                self.d.peer_relays.iter().for_each(|r| r.set_delay(Duration::ZERO));
            }
            Fault::Stalls => {
                for _ in 0..5 {
                    let from = self.rng.random_range(0..all.len());
                    let to = self.rng.random_range(0..CONTROLS);
                    let time = Duration::from_millis(self.rng.random_range(200..800));
                    self.cut_for(&[(&[from], &[to])], time).await;
                }
            }
            Fault::Gone(target, after) => {
                let i = self.find(target);
                let rt = self.rt.clone();
                self.d.replace_control_silently(&rt, i).await;
                self.operate_for(after).await;
                self.d.spawn(i, false);
                self.operate_for(CATCH_UP).await;
                return;
            }
            Fault::GatewayCut(gateway, count) => {
                let leader = self.leader();
                let cut: Vec<usize> = (0..count).map(|n| (leader + n) % CONTROLS).collect();
                let gateway = [CONTROLS + gateway];
                self.cut_for(&[(&gateway, &cut), (&cut, &gateway)], time).await;
            }
        }
        self.operate_for(CONTACT_TIME).await;
    }

    async fn cut_for(&mut self, ways: &[(&[usize], &[usize])], time: Duration) {
        ways.iter().for_each(|(from, to)| self.set_cut(from, to, true));
        self.operate_for(time).await;
        ways.iter().for_each(|(from, to)| self.set_cut(from, to, false));
    }

    /// Checks, at each instance, that a change is acknowledged, read and in force in time.
    async fn check_calm(&mut self) -> Result<(), String> {
        let at = self.controls();
        for to in &at {
            self.put(&[*to], ACK_TIME).await.map_err(|e| format!("{e} at {to}"))?;
            let acknowledged_at = Instant::now();
            for from in &at {
                let mut result = self.read(*from).await;
                while result.is_err() && acknowledged_at.elapsed() < ACK_TIME {
                    sleep(Duration::from_millis(50)).await;
                    result = self.read(*from).await;
                }
                if result != Ok(self.version) {
                    return Err(format!("read {result:?} from {from}, {} put", self.version));
                }
            }
            for gateway in 0..GATEWAYS {
                self.check_in_force(gateway, acknowledged_at).await?;
            }
        }
        Ok(())
    }

    async fn check_in_force(&mut self, gateway: usize, since: Instant) -> Result<(), String> {
        let version = self.version;
        loop {
            let late = since.elapsed() > CONFIG_TIME;
            let added = self.has_route(gateway, version).await;
            let dropped = self.has_route(gateway, version - 1).await;
            if added == Some(true) && dropped == Some(false) {
                self.served[gateway] = version;
                return Ok(());
            }
            if late {
                return Err(format!(
                    "gateway {gateway} at {:?}: route of {version} {added:?}, of the one before {dropped:?}",
                    since.elapsed()
                ));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn play(rt: &Runtime, number: u8, faults: Vec<Fault>, rng: ChaCha8Rng) -> Result<(), String> {
    let folder = std::env::temp_dir().join(format!("cuts-{}-{number}", std::process::id()));
    let net = [(std::process::id() % 100 + 120) as u8, number];
    let d = Deployment::start_with_relays(rt, net, GATEWAYS, folder).await;
    let mut run = Run::new(rt, d, rng);
    let at = run.controls();
    let mut outcome = run.put(&at, RECOVERY_TIME).await;
    run.operate_for(CONTACT_TIME).await;
    let mut log = Vec::new();
    for fault in faults {
        if outcome.is_err() {
            break;
        }
        log.push(fault);
        run.play(fault).await;
        outcome = run.check_calm().await;
    }
    let breach = run.breaches.first().cloned();
    let outcome = outcome.and(breach.map_or(Ok(()), Err));
    println!("{} versions, {} acknowledged last, {log:?}", run.version, run.acknowledged);
    outcome.map_err(|e| format!("{e}; logs in {}", run.d.keep_folder().display()))
}

/// Guards against control instances and gateways that serve an older configuration, or none, after cuts
/// between own processes that loopback addresses do not show.
#[test]
fn configuration_is_current_after_cuts_between_own_processes() {
    let text = std::env::var("CUT_SEEDS").unwrap_or("1..2".to_owned());
    let (from, to) = text.split_once("..").unwrap();
    let rt = Runtime::start(2);
    let mut failed = Vec::new();
    for seed in from.parse::<u64>().unwrap()..to.parse().unwrap() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let faults = (0..FAULTS).map(|_| Fault::draw(&mut rng)).collect();
        let played = async_io::block_on(play(&rt, (seed % 250) as u8 + 1, faults, rng));
        println!("seed {seed}: {played:?}");
        if played.is_err() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}

/// Guards against a deployment that never takes a configuration, or late, since one of the instances that
/// create the log was gone before it was created and its address is silent.
#[test]
fn log_is_created_although_the_address_of_one_instance_is_silent_at_the_first_start() {
    let rt = Runtime::start(2);
    for gone in 0..CONTROLS {
        let folder = std::env::temp_dir().join(format!("silent-{}-{gone}", std::process::id()));
        let net = [(std::process::id() % 100 + 120) as u8, 252 + gone as u8];
        async_io::block_on(async {
            let d = Deployment::start_with_relays(&rt, net, GATEWAYS, folder).await;
            let mut run = Run::new(&rt, d, ChaCha8Rng::seed_from_u64(gone as u64));
            run.d.replace_control_silently(&rt, gone).await;
            sleep(Duration::from_secs(1)).await;
            run.d.spawn(gone, false);
            let at = run.controls();
            let mut outcome = run.put(&at, RECOVERY_TIME).await;
            run.operate_for(CATCH_UP).await;
            outcome = outcome.and(run.check_calm().await);
            assert_eq!((outcome, &run.breaches), (Ok(()), &Vec::new()), "without instance {gone}");
        });
    }
}
