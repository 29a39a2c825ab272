//! [`LocalFleet`]: a deployment inside this process.

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

/// How often a wait looks again.
const POLL: Duration = Duration::from_millis(20);

/// Daemons on the threads of this process, over loopback TCP.
pub struct LocalFleet {
    /// What it was made from.
    pub plan: Plan,
    /// Its stand-ins.
    pub stand_ins: StandIns,
    /// Its entries.
    pub entries: Vec<Arc<Entry>>,
    /// Its agents.
    pub agents: Vec<Arc<Agent>>,
    rt: Runtime,
}

impl Drop for LocalFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.plan.folder);
    }
}

impl LocalFleet {
    /// Starts everything and waits until the first ticket is in force and all endpoints are known.
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

    /// A client of an entry's peer address.
    pub fn operator(&self, i: usize) -> OperatorClient {
        OperatorClient::new(&self.rt, self.plan.entries[i].peer_address)
    }

    /// Waits until every entry knows every endpoint, and the first ticket; false when time is up.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let knows = |e: &Arc<Entry>| {
                let status = e.status();
                let agents = status.instances.iter().filter(|i| i.role == "agent").count();
                status.version > 0 && agents == self.plan.agents.len()
            };
            if self.entries.iter().all(knows) {
                return true;
            }
            self.operator(0).apply(&self.plan.first_ticket()).await;
            sleep(POLL).await;
        }
        false
    }
}
