//! [`ProcessFleet`]: a deployment of real processes, which can be killed and frozen.

use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crocustally_entry::StatusReport;
use crocustally_net::OperatorClient;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_standin::Caller;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use crate::Network;
use crate::Plan;
use crate::StandIns;
use crate::TcpRelay;

/// How often a wait looks again.
const POLL: Duration = Duration::from_millis(20);

/// Where the programs are.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `crocustally-entry`.
    pub entry: PathBuf,
    /// `crocustally-agent`.
    pub agent: PathBuf,
}

impl Programs {
    /// The programs beside the one that is running.
    pub fn beside_current_exe() -> io::Result<Self> {
        let own = std::env::current_exe()?;
        let folder = own.parent().unwrap_or(Path::new("."));
        let entry = folder.join("crocustally-entry");
        let agent = folder.join("crocustally-agent");
        if !entry.exists() || !agent.exists() {
            return Err(io::Error::other("build the whole workspace first: programs missing"));
        }
        Ok(Self { entry, agent })
    }
}

/// Daemons as processes; all are ended, by their ids, when the fleet is dropped.
pub struct ProcessFleet {
    /// What it was made from.
    pub plan: Plan,
    /// Its stand-ins, in this process.
    pub stand_ins: StandIns,
    /// Its network, where the plan has relays.
    pub network: Network,
    programs: Programs,
    rt: Runtime,
    entries: Vec<Option<Child>>,
    agents: Vec<Option<Child>>,
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for child in self.entries.iter_mut().chain(&mut self.agents) {
            end(child);
        }
        let _ = std::fs::remove_dir_all(&self.plan.folder);
    }
}

fn end(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        // A frozen process would not be reaped, and a kill thaws it.
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn signal(child: Option<&Child>, signal: Signal) {
    let pid = child.and_then(|c| Pid::from_raw(c.id() as i32));
    if let Some(pid) = pid {
        let _ = kill_process(pid, signal);
    }
}

/// Starts a relay before every instance of the plan that has one.
async fn start_relays(rt: &Runtime, plan: &Plan, network: &Network) -> io::Result<()> {
    let shared = Arc::new(plan.clone());
    let entries = plan.entries.iter().map(|e| (e.advertise, e.peer_address));
    let agents = plan.agents.iter().map(|a| (a.advertise, a.listen));
    for (advertise, target) in entries.chain(agents) {
        if let Some(listen) = advertise
            && !plan.external_relays.contains(&listen)
        {
            TcpRelay::start_in_network(rt, &shared, listen, target, network).await?;
        }
    }
    Ok(())
}

impl ProcessFleet {
    /// Starts the stand-ins and all processes.
    pub async fn start(rt: &Runtime, plan: Plan, programs: Programs) -> io::Result<Self> {
        std::fs::create_dir_all(&plan.folder)?;
        let stand_ins = StandIns::start(rt, &plan).await?;
        let network = Network::default();
        start_relays(rt, &plan, &network).await?;
        let entries = plan.entries.iter().map(|_| None).collect();
        let agents = plan.agents.iter().map(|_| None).collect();
        let mut fleet =
            Self { plan, stand_ins, network, programs, rt: rt.clone(), entries, agents };
        for i in 0..fleet.entries.len() {
            fleet.start_entry(i)?;
        }
        for i in 0..fleet.agents.len() {
            fleet.start_agent(i)?;
        }
        Ok(fleet)
    }

    /// Starts an entry from its settings and whatever its disk holds.
    pub fn start_entry(&mut self, i: usize) -> io::Result<()> {
        let name = self.plan.entries[i].name.clone();
        let yaml = self.plan.entry_yaml(i);
        self.entries[i] = Some(self.spawn(&self.programs.entry, &name, &yaml)?);
        Ok(())
    }

    /// Starts an agent from its settings.
    pub fn start_agent(&mut self, i: usize) -> io::Result<()> {
        let name = self.plan.agents[i].name.clone();
        let yaml = self.plan.agent_yaml(i);
        self.agents[i] = Some(self.spawn(&self.programs.agent, &name, &yaml)?);
        Ok(())
    }

    fn spawn(&self, program: &Path, name: &str, yaml: &str) -> io::Result<Child> {
        let settings = self.plan.folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, yaml)?;
        let log = self.plan.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        Command::new(program)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
    }

    /// Kills an entry.
    pub fn kill_entry(&mut self, i: usize) {
        end(&mut self.entries[i]);
    }

    /// Kills an entry and empties its disk.
    pub fn kill_entry_and_wipe_disk(&mut self, i: usize) {
        self.kill_entry(i);
        let _ = std::fs::remove_dir_all(self.plan.folder.join(&self.plan.entries[i].name));
    }

    /// Kills an agent.
    pub fn kill_agent(&mut self, i: usize) {
        end(&mut self.agents[i]);
    }

    /// Freezes an entry, or lets it go on.
    pub fn set_entry_frozen(&self, i: usize, frozen: bool) {
        let s = if frozen { Signal::STOP } else { Signal::CONT };
        signal(self.entries[i].as_ref(), s);
    }

    /// Freezes an agent, or lets it go on.
    pub fn set_agent_frozen(&self, i: usize, frozen: bool) {
        let s = if frozen { Signal::STOP } else { Signal::CONT };
        signal(self.agents[i].as_ref(), s);
    }

    /// Asks an entry for a planned stop.
    pub fn stop_entry(&self, i: usize) {
        signal(self.entries[i].as_ref(), Signal::TERM);
    }

    /// Asks an agent for a planned stop.
    pub fn stop_agent(&self, i: usize) {
        signal(self.agents[i].as_ref(), Signal::TERM);
    }

    /// Whether an entry has ended by itself, and well.
    pub fn entry_exited_cleanly(&mut self, i: usize) -> bool {
        let child = self.entries[i].as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(status)) if status.success()))
    }

    /// Whether an agent has ended by itself, and well.
    pub fn agent_exited_cleanly(&mut self, i: usize) -> bool {
        let child = self.agents[i].as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(status)) if status.success()))
    }

    /// Process ids of the entries and agents that were started.
    pub fn pids(&self) -> (Vec<u32>, Vec<u32>) {
        let ids = |l: &[Option<Child>]| l.iter().flatten().map(Child::id).collect();
        (ids(&self.entries), ids(&self.agents))
    }

    /// A client of an entry's peer address.
    pub fn operator(&self, i: usize) -> OperatorClient {
        OperatorClient::new(&self.rt, self.plan.entries[i].peer_address)
    }

    /// A caller of an entry.
    pub fn caller(&self, i: usize) -> Caller {
        Caller::new(&self.rt, self.plan.entries[i].caller_address)
    }

    /// An entry's status, if it answers.
    pub async fn status(&self, i: usize) -> Option<StatusReport> {
        serde_json::from_str(&self.operator(i).status().await?).ok()
    }

    /// Applies a ticket, again and again, until it is decided; answers its code.
    pub async fn apply_until_decided(
        &self,
        entry: usize,
        ticket: &str,
        limit: Duration,
    ) -> Option<u32> {
        let until = Instant::now() + limit;
        let undecided = u32::from(crocustally_core::Code::NoQuorum.number());
        while Instant::now() < until {
            match self.operator(entry).apply(ticket).await {
                Some(reply) if reply.code != undecided => return Some(reply.code),
                _ => sleep(POLL).await,
            }
        }
        None
    }

    /// Applies the first ticket and waits until these entries know it and every endpoint.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        if self.apply_until_decided(0, &self.plan.first_ticket(), limit).await != Some(0) {
            return false;
        }
        for i in 0..self.entries.len() {
            let agents = self.plan.agents.len();
            let knows = |s: &StatusReport| {
                let usable = s.instances.iter().filter(|i| i.role == "agent" && i.load.is_some());
                s.version > 0 && usable.count() == agents
            };
            let left = until.saturating_duration_since(Instant::now());
            if !self.wait_status(i, left, knows).await {
                return false;
            }
        }
        true
    }

    /// Waits until an entry's status satisfies `done`; false when time is up.
    pub async fn wait_status(
        &self,
        i: usize,
        limit: Duration,
        done: impl Fn(&StatusReport) -> bool,
    ) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.status(i).await.is_some_and(|s| done(&s)) {
                return true;
            }
            sleep(POLL).await;
        }
        false
    }

    /// What a daemon has logged so far.
    pub fn read_log(&self, name: &str) -> String {
        let path = self.plan.folder.join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}
