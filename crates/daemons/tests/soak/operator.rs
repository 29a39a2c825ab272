//! The operator and the runners' heartbeats: what control instances are told, and what they say.

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

/// Longest time for an answer of a control instance.
const CALL_TIME: Duration = Duration::from_millis(3000);
/// Time between two heartbeats of a runner.
const BEAT_PERIOD: Duration = Duration::from_millis(400);
/// Time after an acknowledgement at which every read shows it.
const IN_FORCE_AFTER: Duration = Duration::from_secs(2);

/// A call to one control instance; answers status and body.
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
        let (answer, _conn) = client.send(req, true).await.ok()?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    };
    timeout(CALL_TIME, call).await.flatten().unwrap_or_default()
}

/// Sends a runner's heartbeats to whichever control instance answers, until it is told to stop.
pub fn beat(
    rt: &Runtime,
    runner: Arc<Runner>,
    relay: SocketAddr,
    zone: String,
    controls: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) {
    let rt2 = rt.clone();
    rt.spawn(async move {
        let mut turn = 0;
        while !stop.load(Ordering::Acquire) {
            let (path, body) = runner.heartbeat("s", &zone, relay, "ready");
            let to = controls[turn % controls.len()];
            let said = timeout(Duration::from_secs(1), call(&rt2, to, "POST", &path, &body)).await;
            if said.is_none_or(|(status, _)| status != 200) {
                turn += 1;
            }
            sleep(BEAT_PERIOD).await;
        }
    });
}

/// Changes of the configuration, and whether what is read back is ever older than acknowledged.
#[derive(Default)]
pub struct Operator {
    version: u64,
    acknowledged: Vec<(Instant, u64)>,
    pub problems: Arc<Mutex<Vec<String>>>,
}

impl Operator {
    /// Sends the next configuration to one instance.
    pub async fn change(&mut self, rt: &Runtime, to: SocketAddr, config: &Value) -> bool {
        self.version += 1;
        let mut config = config.clone();
        config["version"] = self.version.into();
        let (status, body) = call(rt, to, "POST", "/config/put", &config.to_string()).await;
        match status {
            200 => self.acknowledged.push((Instant::now(), self.version)),
            400..500 => self.problem(format!("valid version {} refused: {body}", self.version)),
            _ => {}
        }
        status == 200
    }

    /// Reads the configuration back from one instance; answers its version.
    pub async fn read(&mut self, rt: &Runtime, from: SocketAddr) -> Option<u64> {
        let asked = Instant::now();
        let (status, body) = call(rt, from, "GET", "/config/get", "").await;
        if status != 200 {
            return None;
        }
        let config: Value = serde_json::from_str(&body).unwrap_or_default();
        let read = config["version"].as_u64().unwrap_or(0);
        let due = |(at, _): &&(Instant, u64)| *at + IN_FORCE_AFTER <= asked;
        let newest = self.acknowledged.iter().filter(due).map(|(_, v)| *v).max().unwrap_or(0);
        if read < newest || read > self.version {
            self.problem(format!("{from} says version {read}, {newest} is acknowledged"));
        }
        Some(read)
    }

    /// The newest version that was acknowledged.
    pub fn newest(&self) -> u64 {
        self.acknowledged.iter().map(|(_, v)| *v).max().unwrap_or(0)
    }

    pub fn problem(&self, text: String) {
        self.problems.lock().unwrap().push(text);
    }
}
