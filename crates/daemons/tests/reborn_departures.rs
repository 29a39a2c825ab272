//! Endpoints that start again under their id and leave, with control instances and gateways as processes on
//! loopback addresses.
#![allow(clippy::unwrap_used, dead_code)]

#[path = "../../../platform/tests/common/calls.rs"]
mod calls;
#[path = "soak/deployment.rs"]
mod deployment;
#[path = "soak/operator.rs"]
mod operator;
#[path = "../../../platform/tests/common/runner.rs"]
mod runner;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use calls::caller_request;
use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use deployment::CONTROLS;
use deployment::Deployment;
use operator::Operator;
use operator::call;
use runner::Behaviour;
use serde_json::Value;
use serde_json::json;

/// `drain-ms`: time after the acknowledgement of a departure from which nothing reaches the endpoint.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const GATEWAYS: usize = 2;
/// The endpoint that leaves; the other one serves all the time.
const LEAVER: usize = 0;
const OTHER: usize = 1;

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{"name": "once", "host": "h", "path-prefix": "/once/", "kind": "unsafe",
            "timeout-ms": 1500, "attempts": 2, "service": "s"}],
        "services": [{"name": "s", "max-conns": 90}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
}

struct Fleet<'a> {
    rt: &'a Runtime,
    d: Deployment,
    sent: usize,
}

impl Fleet<'_> {
    /// Sends one heartbeat of the endpoint that leaves to one control instance.
    async fn heartbeat(&self, control: usize) {
        let (runner, relay) = (&self.d.runners[LEAVER], self.d.relays[LEAVER].address());
        let (path, body) = runner.heartbeat("s", "d0", relay, "ready");
        let (status, _) = call(self.rt, self.d.control(control), "POST", &path, &body).await;
        assert_eq!(status, 200, "heartbeat at instance {control}");
    }

    /// Announces the departure of the start `born` at one control instance.
    async fn leave(&self, control: usize, born: u64) {
        let path = format!("/instances/{}/leave", self.d.runners[LEAVER].id());
        let body = json!({"born": born}).to_string();
        let (status, _) = call(self.rt, self.d.control(control), "POST", &path, &body).await;
        assert_eq!(status, 200, "departure at instance {control}");
    }

    /// Sends requests to all gateways for `time`.
    async fn send_for(&mut self, time: Duration) {
        let started = Instant::now();
        while started.elapsed() < time {
            for g in 0..GATEWAYS {
                self.sent += 1;
                let id = format!("r{}", self.sent);
                let req = caller_request(&format!("/once/{id}"), &id, 1500, None, &id);
                let client = HttpClient::new(self.rt, self.d.gateway(g));
                let _ = timeout(Duration::from_secs(2), client.send(req, true)).await;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Whether the endpoint that leaves gets requests while the other one refuses all.
    async fn is_in_use(&mut self) -> bool {
        let before = self.d.runners[LEAVER].execution_count();
        self.d.runners[OTHER].set_behaviour(Behaviour::Refuse);
        self.send_for(Duration::from_millis(800)).await;
        self.d.runners[OTHER].set_behaviour(Behaviour::Serve);
        self.d.runners[LEAVER].execution_count() > before
    }

    async fn wait_until_in_use(&mut self) {
        let started = Instant::now();
        while !self.is_in_use().await {
            assert!(started.elapsed() < READY_TIMEOUT, "the endpoint is not in use");
        }
    }

    async fn restart(&mut self, process: usize) {
        self.d.kill(process);
        self.d.spawn(process, false);
        // Discovery, and the fetches between control instances.
        sleep(Duration::from_secs(3)).await;
    }
}

async fn start(rt: &Runtime, name: &str, last: u8, stop: &Arc<AtomicBool>) -> Deployment {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    let net = [(std::process::id() % 100 + 20) as u8, last];
    let d = Deployment::start(rt, net, 2, GATEWAYS, folder).await;
    let controls = (0..CONTROLS).map(|i| d.control(i)).collect();
    let (runner, relay) = (d.runners[OTHER].clone(), d.relays[OTHER].address());
    operator::send_heartbeats(rt, "s", runner, relay, "d1".to_owned(), controls, stop.clone());
    let (mut op, started) = (Operator::default(), Instant::now());
    while !op.put_config(rt, d.control(0), &config()).await {
        assert!(started.elapsed() < READY_TIMEOUT, "the configuration is not acknowledged");
        sleep(Duration::from_millis(100)).await;
    }
    d
}

/// Guards against a departure that is acknowledged and lost since the instance that is told knows only an
/// earlier start of the endpoint, or none (review case 9), also after restarts and late heartbeats.
#[test]
fn departure_of_a_start_that_the_instance_does_not_know_is_in_force_everywhere() {
    let rt = Runtime::start(2);
    async_io::block_on(async {
        // Control instance that has heard the first start; without one, none has.
        for (last, name, first) in [(246, "earlier-start", Some(0)), (247, "no-start", None)] {
            let stop = Arc::new(AtomicBool::new(false));
            let d = start(&rt, name, last, &stop).await;
            let mut fleet = Fleet { rt: &rt, d, sent: 0 };
            let id = fleet.d.runners[LEAVER].id();
            if let Some(control) = first {
                fleet.heartbeat(control).await;
                fleet.wait_until_in_use().await;
            }
            fleet.d.runners[LEAVER].restart_as(id);
            fleet.heartbeat(1).await;
            fleet.wait_until_in_use().await;
            fleet.leave(0, 2).await;
            let acknowledged = Instant::now();
            fleet.send_for(DRAIN_TIME).await;
            assert!(!fleet.is_in_use().await, "{name}: in use after its departure");
            // A heartbeat of the start that left, which was under way for long.
            for control in 0..CONTROLS {
                fleet.heartbeat(control).await;
            }
            assert!(!fleet.is_in_use().await, "{name}: in use after a late heartbeat");
            fleet.restart(0).await;
            fleet.restart(CONTROLS).await;
            assert!(!fleet.is_in_use().await, "{name}: in use after restarts");
            fleet.heartbeat(0).await;
            assert!(!fleet.is_in_use().await, "{name}: in use after restarts and a late heartbeat");
            let executions = fleet.d.runners[LEAVER].executions();
            let late = executions.iter().filter(|e| e.at > acknowledged + DRAIN_TIME).count();
            assert_eq!(late, 0, "{name}: requests after {DRAIN_TIME:?}");
            // The departure of an earlier start does not remove a later one.
            let id = fleet.d.runners[LEAVER].id();
            fleet.d.runners[LEAVER].restart_as(id);
            fleet.heartbeat(2).await;
            fleet.wait_until_in_use().await;
            fleet.leave(1, 2).await;
            fleet.heartbeat(2).await;
            assert!(fleet.is_in_use().await, "{name}: a later start has left with an earlier one");
            stop.store(true, Ordering::Release);
        }
    });
}
