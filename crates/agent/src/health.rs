//! Watching the engine: its start number and its cache events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocustally_core::control::ServiceKind;
use crocustally_net::sleep;
use crocustally_net::timeout;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;

use crate::Agent;

/// Time between two looks at the engine.
const PERIOD: Duration = Duration::from_millis(1000);
/// The same while it cannot be reached.
const PERIOD_DOWN: Duration = Duration::from_millis(100);
/// Longest time for one look.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);

/// What an engine says of itself.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Health {
    /// Rises with every start.
    pub(crate) start: u64,
    /// Prompt prefixes cached lately.
    #[serde(default)]
    pub(crate) prefixes: Vec<u64>,
}

/// Looks at the engine until the process ends.
pub(crate) async fn watch(agent: Arc<Agent>) {
    loop {
        if let Some(health) = look(&agent).await
            && agent.cfg.kind == ServiceKind::Model
        {
            agent.set_prefixes(health.prefixes);
        }
        let down = agent.admission().engine_down();
        sleep(if down { PERIOD_DOWN } else { PERIOD }).await;
    }
}

/// One look, which admission learns from; `None` when the engine does not answer in time.
pub(crate) async fn look(agent: &Agent) -> Option<Health> {
    let req = Request::get("/health").header("host", "engine").body(Full::<Bytes>::default());
    let req = req.ok()?;
    let answer = async {
        let (response, tx) = agent.client.send(req, false).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        agent.client.put_idle(tx);
        serde_json::from_slice(&body).ok()
    };
    let health: Option<Health> = timeout(LOOK_TIMEOUT, answer).await.flatten();
    let mut admission = agent.admission();
    if admission.engine_down() != health.is_none() {
        let word = if health.is_none() { "cannot be reached" } else { "is there" };
        log::info!("{}: the engine {word}", agent.cfg.name);
    }
    admission.set_engine_down(health.is_none());
    if let Some(h) = &health {
        admission.engine_started(h.start);
    }
    drop(admission);
    health
}
