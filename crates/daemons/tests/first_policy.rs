//! The first configuration of a deployment of processes on loopback addresses, with each version that an
//! operator may begin with.
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
use deployment::CONTROLS;
use deployment::Deployment;
use operator::call;
use serde_json::Value;
use serde_json::json;

/// Time within which a started deployment must answer.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A configuration whose only route has the given name.
fn config(version: u64, route: &str) -> Value {
    json!({
        "version": version,
        "routes": [{"name": route, "host": "h", "path-prefix": format!("/{route}/"), "kind": "safe",
            "timeout-ms": 1500, "service": "s"}],
        "services": [{"name": "s"}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
}

struct Operator<'a> {
    rt: &'a Runtime,
    d: Deployment,
}

impl Operator<'_> {
    /// Sends a configuration until it is acknowledged or refused.
    async fn put(&self, config: &Value) -> u16 {
        let started = Instant::now();
        for i in (0..CONTROLS).cycle() {
            assert!(started.elapsed() < READY_TIMEOUT, "the configuration gets no answer");
            let to = self.d.control(i);
            let (status, _) = call(self.rt, to, "POST", "/config/put", &config.to_string()).await;
            if [200, 400].contains(&status) {
                return status;
            }
            sleep(Duration::from_millis(100)).await;
        }
        unreachable!()
    }

    /// Checks that every control instance returns `config`, and that the gateway has put it in force.
    async fn assert_in_force(&self, config: &Value) {
        for i in 0..CONTROLS {
            let started = Instant::now();
            let read = loop {
                let (status, body) =
                    call(self.rt, self.d.control(i), "GET", "/config/get", "").await;
                if status == 200 {
                    break serde_json::from_str::<Value>(&body).unwrap();
                }
                assert!(started.elapsed() < READY_TIMEOUT, "instance {i} answers {status}");
                sleep(Duration::from_millis(100)).await;
            };
            assert_eq!(&read, config, "instance {i}");
        }
        // A route without endpoints is refused with a 503, and so is every route before a policy.
        let route = config["routes"][0]["name"].as_str().unwrap();
        let started = Instant::now();
        loop {
            let known = self.gateway_status(&format!("/{route}/x")).await;
            let unknown = self.gateway_status("/unknown/x").await;
            if (known, unknown) == (503, 404) {
                return;
            }
            assert!(started.elapsed() < READY_TIMEOUT, "the gateway answers {known}, {unknown}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn gateway_status(&self, path: &str) -> u16 {
        let client = crocustally_net::HttpClient::new(self.rt, self.d.gateway(0));
        let req = calls::caller_request(path, "r", 1000, None, "");
        client.send(req, true).await.map_or(0, |(response, _)| response.status().as_u16())
    }

    /// Kills all processes at once and starts them again with their disks.
    fn restart_all(&mut self) {
        (0..=CONTROLS).for_each(|i| self.d.kill(i));
        (0..=CONTROLS).for_each(|i| self.d.spawn(i, false));
    }
}

/// Guards against a first configuration of version 0 that is acknowledged, never read back and never in
/// force (review case 10), also across a restart of all processes.
#[test]
fn first_configuration_of_version_0_is_held() {
    let rt = Runtime::start(2);
    let folder = std::env::temp_dir().join(format!("first-policy-{}", std::process::id()));
    let net = [(std::process::id() % 100 + 20) as u8, 245];
    async_io::block_on(async {
        let d = Deployment::start(&rt, net, 0, 1, folder).await;
        let mut op = Operator { rt: &rt, d };
        let mut invalid = config(0, "first");
        invalid["routes"][0]["service"] = json!("none");
        assert_eq!(op.put(&invalid).await, 400);
        assert_eq!(op.put(&config(0, "first")).await, 200);
        op.assert_in_force(&config(0, "first")).await;
        assert_eq!(op.put(&config(0, "other")).await, 200);
        op.restart_all();
        op.assert_in_force(&config(0, "first")).await;
        assert_eq!(op.put(&config(1, "second")).await, 200);
        op.assert_in_force(&config(1, "second")).await;
        assert_eq!(op.put(&config(0, "first")).await, 200);
        op.restart_all();
        op.assert_in_force(&config(1, "second")).await;
    });
}
