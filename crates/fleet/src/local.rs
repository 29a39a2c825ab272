//! [`LocalFleet`]: a deployment whose daemons run inside this process.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crocustally_agent::Agent;
use crocustally_agent::AgentSettings;
use crocustally_agent::RawAgentSettings;
use crocustally_entry::Entry;
use crocustally_entry::EntrySettings;
use crocustally_entry::RawEntrySettings;
use crocustally_net::OperatorClient;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::SystemClock;
use crocustally_net::load_settings;
use crocustally_net::sleep;

use crate::Plan;
use crate::StandIns;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A deployment whose daemons run on the threads of this process and talk over loopback TCP.
///
/// The folder of its plan is removed on drop.
pub struct LocalFleet {
    /// The plan that the deployment was started from.
    pub plan: Plan,
    /// Stand-in engines and services.
    pub stand_ins: StandIns,
    /// Entries, in the order of the plan.
    pub entries: Vec<Arc<Entry>>,
    /// Agents, in the order of the plan.
    pub agents: Vec<Arc<Agent>>,
    rt: Runtime,
}

impl Drop for LocalFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.plan.folder);
    }
}

impl LocalFleet {
    /// Starts the stand-ins and all daemons, and submits the first ticket once.
    ///
    /// Use [`LocalFleet::wait_ready`] to wait until the ticket is in force.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written, the settings are invalid or an address is in use.
    pub async fn start(rt: &Runtime, plan: Plan) -> std::io::Result<Self> {
        std::fs::create_dir_all(&plan.folder)?;
        let stand_ins = StandIns::start(rt, &plan).await?;
        let clock = Arc::new(SystemClock);
        let mut entries = Vec::new();
        for i in 0..plan.entries.len() {
            let path = plan.folder.join(format!("{}.yaml", plan.entries[i].name));
            std::fs::write(&path, plan.entry_yaml(i))?;
            let cfg = load_settings::<RawEntrySettings, EntrySettings>(&path);
            let cfg = cfg.map_err(|e| std::io::Error::other(e.to_string()))?;
            let shutdown = Shutdown::default();
            entries.push(Entry::start(rt, cfg, clock.clone(), shutdown).await?.0);
        }
        let mut agents = Vec::new();
        for i in 0..plan.agents.len() {
            let path = plan.folder.join(format!("{}.yaml", plan.agents[i].name));
            std::fs::write(&path, plan.agent_yaml(i))?;
            let cfg = load_settings::<RawAgentSettings, AgentSettings>(&path);
            let cfg = cfg.map_err(|e| std::io::Error::other(e.to_string()))?;
            let shutdown = Shutdown::default();
            agents.push(Agent::start(rt, cfg, clock.clone(), shutdown).await?.0);
        }
        let fleet = Self { plan, stand_ins, entries, agents, rt: rt.clone() };
        fleet.operator(0).apply(&fleet.plan.first_ticket()).await;
        Ok(fleet)
    }

    /// An operator client for the peer address of entry `i`.
    pub fn operator(&self, i: usize) -> OperatorClient {
        OperatorClient::new(&self.rt, self.plan.entries[i].peer_address)
    }

    /// Waits until every entry has applied the first ticket and knows all agents.
    ///
    /// Returns false on timeout.
    pub async fn wait_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let is_ready = |e: &Arc<Entry>| {
                let status = e.status();
                let agents = status.instances.iter().filter(|i| i.role == "agent").count();
                status.version > 0 && agents == self.plan.agents.len()
            };
            if self.entries.iter().all(is_ready) {
                return true;
            }
            self.operator(0).apply(&self.plan.first_ticket()).await;
            sleep(POLL_INTERVAL).await;
        }
        false
    }
}
