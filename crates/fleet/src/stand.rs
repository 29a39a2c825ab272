//! [`StandIns`]: the stand-in engines and services of a deployment.

use crocustally_net::Runtime;
use crocustally_standin::Engine;
use crocustally_standin::PlainService;
use crocustally_standin::RunJournal;

use crate::Plan;

/// Stand-in engines and services of a plan, running in this process.
#[derive(Clone)]
pub struct StandIns {
    /// Engines, in the order of the plan's assistants.
    pub engines: Vec<Engine>,
    /// Services, in the order of the plan's portals.
    pub services: Vec<PlainService>,
    /// Journal of the requests that the services have run.
    pub journal: RunJournal,
}

impl StandIns {
    /// Starts one engine or service per agent of the plan.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use.
    pub async fn start(rt: &Runtime, plan: &Plan) -> std::io::Result<Self> {
        let journal = RunJournal::default();
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for a in &plan.agents {
            if a.kind == "model" {
                engines
                    .push(Engine::start(rt, a.engine_address, plan.settings.engine.clone()).await?);
            } else {
                let cfg = plan.settings.plain.clone();
                services
                    .push(PlainService::start(rt, a.engine_address, cfg, journal.clone()).await?);
            }
        }
        Ok(Self { engines, services, journal })
    }
}
