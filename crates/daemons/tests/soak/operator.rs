//! Calls to the control instances: the operator's configurations and the runners' heartbeats.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_net::timeout;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;

use crate::runner::Runner;

/// Timeout of a call to a control instance.
const CALL_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time between two heartbeats of a runner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time after its acknowledgement from which every instance must return a configuration.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Calls one control instance; returns status and body, or status 0 if there is no response.
pub async fn call(
    rt: &Runtime,
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> (u16, String) {
    let client = HttpClient::new(rt, to);
    let req = Request::builder().method(method).uri(path).header("Host", "c");
    let req = req.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
    let call = async {
        let (response, _conn) = client.send(req, true).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    };
    timeout(CALL_TIMEOUT, call).await.flatten().unwrap_or_default()
}

/// Sends the heartbeats of a service's runner until `stop` is set, and tries the next control instance
/// after a failure.
pub fn send_heartbeats(
    rt: &Runtime,
    service: &'static str,
    runner: Arc<Runner>,
    relay: SocketAddr,
    zone: String,
    controls: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) {
    let rt2 = rt.clone();
    rt.spawn(async move {
        let mut failures = 0;
        while !stop.load(Ordering::Acquire) {
            let (path, body) = runner.heartbeat(service, &zone, relay, "ready");
            let to = controls[failures % controls.len()];
            let reply = timeout(Duration::from_secs(1), call(&rt2, to, "POST", &path, &body)).await;
            if reply.is_none_or(|(status, _)| status != 200) {
                failures += 1;
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    });
}

/// Changes the configuration, and checks that no read returns a version older than acknowledged.
#[derive(Default)]
pub struct Operator {
    version: u64,
    acknowledged: Vec<(Instant, u64)>,
    pub violations: Arc<Mutex<Vec<String>>>,
}

impl Operator {
    /// Sends the next version of the configuration to one instance; returns whether it is
    /// acknowledged.
    pub async fn put_config(&mut self, rt: &Runtime, to: SocketAddr, config: &Value) -> bool {
        self.version += 1;
        let mut config = config.clone();
        config["version"] = self.version.into();
        let (status, body) = call(rt, to, "POST", "/config/put", &config.to_string()).await;
        match status {
            200 => self.acknowledged.push((Instant::now(), self.version)),
            400..500 => self
                .add_violation(format!("valid configuration {} was refused: {body}", self.version)),
            _ => {}
        }
        status == 200
    }

    /// Reads the configuration from one instance, checks its version and returns it.
    pub async fn get_config(&mut self, rt: &Runtime, from: SocketAddr) -> Option<u64> {
        let sent_at = Instant::now();
        let (status, body) = call(rt, from, "GET", "/config/get", "").await;
        if status != 200 {
            return None;
        }
        let config: Value = serde_json::from_str(&body).unwrap_or_default();
        let version = config["version"].as_u64().unwrap_or(0);
        let propagated = |(at, _): &&(Instant, u64)| *at + PROPAGATION_TIME <= sent_at;
        let newest =
            self.acknowledged.iter().filter(propagated).map(|(_, v)| *v).max().unwrap_or(0);
        if version < newest || version > self.version {
            self.add_violation(format!(
                "{from} returned version {version}, but {newest} is acknowledged"
            ));
        }
        Some(version)
    }

    /// The newest acknowledged version; 0 if there is none.
    pub fn newest_acknowledged(&self) -> u64 {
        self.acknowledged.iter().map(|(_, v)| *v).max().unwrap_or(0)
    }

    pub fn add_violation(&self, text: String) {
        self.violations.lock().unwrap().push(text);
    }
}
