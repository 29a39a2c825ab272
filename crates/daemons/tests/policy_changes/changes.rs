//! Operators that change the configuration and read it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crocustally_net::Runtime;
use crocustally_net::sleep;
use futures_lite::future;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::history::History;
use crate::history::Sent;
use crate::operator::call;
use crate::versions::Version;

/// Instances to which a change is sent until one acknowledges it.
const SENDS_MAX: usize = 3;

/// Operators with a common sequence of versions.
pub struct Operators {
    rt: Runtime,
    rng: ChaCha8Rng,
    history: Arc<Mutex<History>>,
    pub controls: Vec<SocketAddr>,
    next_number: u64,
    pub violations: Vec<String>,
    /// Changes that were acknowledged, and reads that were answered.
    pub acknowledged: usize,
    pub reads: usize,
}

impl Operators {
    pub fn new(
        rt: &Runtime,
        rng: ChaCha8Rng,
        history: Arc<Mutex<History>>,
        controls: Vec<SocketAddr>,
    ) -> Self {
        Self {
            rt: rt.clone(),
            rng,
            history,
            controls,
            next_number: 1,
            violations: Vec::new(),
            acknowledged: 0,
            reads: 0,
        }
    }

    /// Changes the configuration and reads it; at times also sends what changes nothing.
    pub async fn act(&mut self) {
        match self.rng.random_range(0..8) {
            0 => self.resend().await,
            1 => self.send_other_content().await,
            2 | 3 => self.send_invalid().await,
            _ => {}
        }
        match self.rng.random_range(0..8) {
            0 => {
                for _ in 0..self.rng.random_range(3..7) {
                    self.change().await;
                }
            }
            1 | 2 => self.change_together().await,
            _ => {
                self.change().await;
            }
        }
        self.read().await;
    }

    fn draw_control(&mut self) -> usize {
        self.rng.random_range(0..self.controls.len())
    }

    /// Records the next version as sent.
    fn draw_version(&mut self) -> Sent {
        let mut history = self.history.lock().unwrap();
        let version = match history.newest() {
            None => Version::first(),
            Some(newest) => {
                let number = self.next_number + self.rng.random_range(0..3);
                newest.version.next(&mut self.rng, number)
            }
        };
        self.next_number = version.number + 1;
        let document = version.document();
        let sent = Sent { version, document, at: Instant::now(), acknowledged: None };
        history.sent.push(sent.clone());
        sent
    }

    /// Sends a new version to one instance after the other until one acknowledges it.
    pub async fn change(&mut self) -> bool {
        let sent = self.draw_version();
        let first = self.draw_control();
        let acknowledged = put_in_turn(&self.rt, &self.controls, first, &sent).await;
        self.record(&sent, acknowledged)
    }

    /// Sends two new versions at once, to two instances.
    async fn change_together(&mut self) {
        let (a, b) = (self.draw_version(), self.draw_version());
        let first = self.draw_control();
        let (rt, controls) = (&self.rt, &self.controls);
        let (of_a, of_b) = future::zip(
            put_in_turn(rt, controls, first, &a),
            put_in_turn(rt, controls, first + 1, &b),
        )
        .await;
        self.record(&a, of_a);
        self.record(&b, of_b);
    }

    fn record(&mut self, sent: &Sent, acknowledged: Result<Option<Instant>, String>) -> bool {
        let at = match acknowledged {
            Ok(Some(at)) => at,
            Ok(None) => return false,
            Err(text) => {
                self.violations
                    .push(format!("valid version {} refused: {text}", sent.version.number));
                return false;
            }
        };
        self.acknowledged += 1;
        let mut history = self.history.lock().unwrap();
        let same = |s: &&mut Sent| s.version.number == sent.version.number;
        if let Some(sent) = history.sent.iter_mut().find(same) {
            sent.acknowledged.get_or_insert(at);
        }
        true
    }

    /// Sends a version again, the newest or an older one, acknowledged or not.
    async fn resend(&mut self) {
        let sent = {
            let history = self.history.lock().unwrap();
            let back = self.rng.random_range(0..8).min(history.sent.len() - 1);
            history.sent[history.sent.len() - 1 - back].clone()
        };
        let first = self.draw_control();
        let acknowledged = put_in_turn(&self.rt, &self.controls, first, &sent).await;
        self.record(&sent, acknowledged);
    }

    /// Sends other content under the number of an acknowledged version. Whatever the response, it
    /// must not be read back or be in force.
    async fn send_other_content(&mut self) {
        let other = {
            let history = self.history.lock().unwrap();
            let acknowledged = history.sent.iter().rev().find(|s| s.acknowledged.is_some());
            acknowledged.map(|s| s.version.other_content())
        };
        let to = self.draw_control();
        if let Some(other) = other {
            call(&self.rt, self.controls[to], "POST", "/config/put", &other).await;
        }
    }

    async fn send_invalid(&mut self) {
        let invalid = {
            let history = self.history.lock().unwrap();
            let mut version = history.newest().unwrap().version.clone();
            version.number = self.next_number;
            version.invalid_document(&mut self.rng)
        };
        self.next_number += 1;
        let to = self.draw_control();
        let (status, _) = call(&self.rt, self.controls[to], "POST", "/config/put", &invalid).await;
        if status == 200 {
            self.violations.push(format!("invalid, but acknowledged: {invalid}"));
        }
    }

    /// Reads the configuration from one instance and checks it.
    pub async fn read(&mut self) -> Option<u64> {
        let from = self.draw_control();
        self.read_from(from).await
    }

    pub async fn read_from(&mut self, from: usize) -> Option<u64> {
        let sent_at = Instant::now();
        let (status, body) = call(&self.rt, self.controls[from], "GET", "/config/get", "").await;
        if status != 200 {
            return None;
        }
        self.reads += 1;
        let read: Value = serde_json::from_str(&body).unwrap_or_default();
        if let Err(text) = self.history.lock().unwrap().check_read(sent_at, &read) {
            self.violations.push(text);
        }
        read["version"].as_u64()
    }
}

/// Sends a version to one instance after the other; returns when it was acknowledged, or the response
/// that refused it.
async fn put_in_turn(
    rt: &Runtime,
    controls: &[SocketAddr],
    first: usize,
    sent: &Sent,
) -> Result<Option<Instant>, String> {
    let document = sent.document.to_string();
    for i in 0..SENDS_MAX {
        let to = controls[(first + i) % controls.len()];
        let (status, body) = call(rt, to, "POST", "/config/put", &document).await;
        match status {
            200 => return Ok(Some(Instant::now())),
            400..500 => return Err(format!("{status} {body}")),
            _ => sleep(Duration::from_millis(50)).await,
        }
    }
    Ok(None)
}
