//! Health probes of the engine, which report its start number and cached prefixes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::control::ServiceKind;
use crocustally_net::BufferBudget;
use crocustally_net::collect_body;
use crocustally_net::sleep;
use crocustally_net::timeout;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;

use crate::Agent;

/// Interval between probes of the engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval between probes while the engine is unreachable.
const PROBE_INTERVAL_DOWN: Duration = Duration::from_millis(100);
/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a health report, in bytes.
const HEALTH_BODY_MAX: usize = 1024 * 1024;

/// Health report of an engine.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Health {
    /// Start number of the engine; rises with every start.
    pub(crate) start: u64,
    /// Prompt prefixes that the engine has cached lately.
    #[serde(default)]
    pub(crate) prefixes: Vec<u64>,
}

/// Probes the engine periodically until the process ends.
pub(crate) async fn probe_periodically(agent: Arc<Agent>) {
    loop {
        if let Some(health) = probe(&agent).await
            && agent.cfg.kind == ServiceKind::Model
        {
            agent.set_prefixes(health.prefixes);
        }
        let down = agent.admission().engine_down();
        sleep(if down { PROBE_INTERVAL_DOWN } else { PROBE_INTERVAL }).await;
    }
}

/// Probes the engine once and updates the admission state; `None` when it does not respond in time.
pub(crate) async fn probe(agent: &Agent) -> Option<Health> {
    let req = Request::get("/health").header("host", "engine").body(Full::<Bytes>::default());
    let req = req.ok()?;
    let report = async {
        let (response, tx) = agent.client.send(req, false).await.ok()?;
        let budget = BufferBudget::unbounded();
        let mut body = response.into_body();
        let body = collect_body(&mut body, HEALTH_BODY_MAX, &budget).await.ok()?;
        agent.client.put_idle(tx);
        serde_json::from_slice(&body).ok()
    };
    let health: Option<Health> = timeout(PROBE_TIMEOUT, report).await.flatten();
    let mut admission = agent.admission();
    if admission.engine_down() != health.is_none() {
        let word = if health.is_none() { "cannot be reached" } else { "is there" };
        log::info!("{}: the engine {word}", agent.cfg.name);
    }
    admission.set_engine_down(health.is_none());
    if let Some(h) = &health {
        admission.update_engine_start(h.start);
    }
    drop(admission);
    health
}
