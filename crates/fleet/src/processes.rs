//! [`ProcessFleet`]: a deployment of one process per daemon, which can be killed or frozen.

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

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Paths of the daemon executables.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of `crocustally-entry`.
    pub entry: PathBuf,
    /// Path of `crocustally-agent`.
    pub agent: PathBuf,
}

impl Programs {
    /// Finds the executables in the folder of the current executable.
    ///
    /// # Errors
    ///
    /// Fails if one of them does not exist.
    pub fn beside_current_exe() -> io::Result<Self> {
        let current = std::env::current_exe()?;
        let folder = current.parent().unwrap_or(Path::new("."));
        let entry = folder.join("crocustally-entry");
        let agent = folder.join("crocustally-agent");
        if !entry.exists() || !agent.exists() {
            return Err(io::Error::other(
                "crocustally-entry or crocustally-agent not found; build the whole workspace first",
            ));
        }
        Ok(Self { entry, agent })
    }
}

/// A deployment whose daemons are child processes.
///
/// On drop, all children are killed and the folder of the plan is removed.
pub struct ProcessFleet {
    /// The plan that the deployment was started from.
    pub plan: Plan,
    /// Stand-in engines and services, which run in this process.
    pub stand_ins: StandIns,
    /// The network between the failure domains. Has no effect without relays in the plan.
    pub network: Network,
    programs: Programs,
    rt: Runtime,
    entries: Vec<Option<Child>>,
    agents: Vec<Option<Child>>,
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for child in self.entries.iter_mut().chain(&mut self.agents) {
            kill_and_reap(child);
        }
        let _ = std::fs::remove_dir_all(&self.plan.folder);
    }
}

fn kill_and_reap(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        // SIGKILL also ends a stopped process, so `wait` cannot block on a frozen child.
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn send_signal(child: Option<&Child>, signal: Signal) {
    let pid = child.and_then(|c| Pid::from_raw(c.id() as i32));
    if let Some(pid) = pid {
        let _ = kill_process(pid, signal);
    }
}

/// Starts a relay at every advertised address, except at those of the external relays.
async fn start_relays(rt: &Runtime, plan: &Plan, network: &Network) -> io::Result<()> {
    let shared_plan = Arc::new(plan.clone());
    let entries = plan.entries.iter().map(|e| (e.advertise, e.peer_address));
    let agents = plan.agents.iter().map(|a| (a.advertise, a.listen));
    for (advertise, target) in entries.chain(agents) {
        if let Some(listen) = advertise
            && !plan.external_relays.contains(&listen)
        {
            TcpRelay::start_in_network(rt, &shared_plan, listen, target, network).await?;
        }
    }
    Ok(())
}

impl ProcessFleet {
    /// Starts the relays, the stand-ins and all daemons.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use, a file cannot be written or a process cannot be started.
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

    /// Starts entry `i`, which recovers from its data folder if that exists.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written or the process cannot be started.
    pub fn start_entry(&mut self, i: usize) -> io::Result<()> {
        let name = self.plan.entries[i].name.clone();
        let yaml = self.plan.entry_yaml(i);
        self.entries[i] = Some(self.spawn(&self.programs.entry, &name, &yaml)?);
        Ok(())
    }

    /// Starts agent `i`.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written or the process cannot be started.
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

    /// Kills entry `i` with SIGKILL.
    pub fn kill_entry(&mut self, i: usize) {
        kill_and_reap(&mut self.entries[i]);
    }

    /// Kills entry `i` and removes its data folder.
    pub fn kill_entry_and_wipe_disk(&mut self, i: usize) {
        self.kill_entry(i);
        let _ = std::fs::remove_dir_all(self.plan.folder.join(&self.plan.entries[i].name));
    }

    /// Kills agent `i` with SIGKILL.
    pub fn kill_agent(&mut self, i: usize) {
        kill_and_reap(&mut self.agents[i]);
    }

    /// Stops (SIGSTOP) or continues (SIGCONT) entry `i`.
    pub fn set_entry_frozen(&self, i: usize, frozen: bool) {
        let sig = if frozen { Signal::STOP } else { Signal::CONT };
        send_signal(self.entries[i].as_ref(), sig);
    }

    /// Stops (SIGSTOP) or continues (SIGCONT) agent `i`.
    pub fn set_agent_frozen(&self, i: usize, frozen: bool) {
        let sig = if frozen { Signal::STOP } else { Signal::CONT };
        send_signal(self.agents[i].as_ref(), sig);
    }

    /// Requests a graceful shutdown of entry `i` with SIGTERM.
    pub fn stop_entry(&self, i: usize) {
        send_signal(self.entries[i].as_ref(), Signal::TERM);
    }

    /// Requests a graceful shutdown of agent `i` with SIGTERM.
    pub fn stop_agent(&self, i: usize) {
        send_signal(self.agents[i].as_ref(), Signal::TERM);
    }

    /// Whether entry `i` has exited with status 0.
    pub fn entry_exited_cleanly(&mut self, i: usize) -> bool {
        let child = self.entries[i].as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(status)) if status.success()))
    }

    /// Whether agent `i` has exited with status 0.
    pub fn agent_exited_cleanly(&mut self, i: usize) -> bool {
        let child = self.agents[i].as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(status)) if status.success()))
    }

    /// Process ids of the entries and agents that were started and not killed.
    pub fn pids(&self) -> (Vec<u32>, Vec<u32>) {
        let ids = |l: &[Option<Child>]| l.iter().flatten().map(Child::id).collect();
        (ids(&self.entries), ids(&self.agents))
    }

    /// An operator client for the peer address of entry `i`.
    pub fn operator(&self, i: usize) -> OperatorClient {
        OperatorClient::new(&self.rt, self.plan.entries[i].peer_address)
    }

    /// A caller that sends its requests to entry `i`.
    pub fn caller(&self, i: usize) -> Caller {
        Caller::new(&self.rt, self.plan.entries[i].caller_address)
    }

    /// The status of entry `i`, or `None` if it does not respond.
    pub async fn status(&self, i: usize) -> Option<StatusReport> {
        serde_json::from_str(&self.operator(i).status().await?).ok()
    }

    /// Submits a ticket repeatedly until the result is anything but "no quorum".
    ///
    /// Returns the code of the result, or `None` on timeout.
    pub async fn apply_until_decided(
        &self,
        entry: usize,
        ticket: &str,
        timeout: Duration,
    ) -> Option<u32> {
        let deadline = Instant::now() + timeout;
        let no_quorum = u32::from(crocustally_core::Code::NoQuorum.number());
        while Instant::now() < deadline {
            match self.operator(entry).apply(ticket).await {
                Some(reply) if reply.code != no_quorum => return Some(reply.code),
                _ => sleep(POLL_INTERVAL).await,
            }
        }
        None
    }

    /// Submits the first ticket and waits until every entry has applied it and knows the load of
    /// all agents.
    ///
    /// Returns false on timeout.
    pub async fn wait_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        if self.apply_until_decided(0, &self.plan.first_ticket(), timeout).await != Some(0) {
            return false;
        }
        for i in 0..self.entries.len() {
            let agents = self.plan.agents.len();
            let is_ready = |s: &StatusReport| {
                let with_load =
                    s.instances.iter().filter(|i| i.role == "agent" && i.load.is_some());
                s.version > 0 && with_load.count() == agents
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !self.wait_status(i, remaining, is_ready).await {
                return false;
            }
        }
        true
    }

    /// Waits until the status of entry `i` satisfies `condition`.
    ///
    /// Returns false on timeout.
    pub async fn wait_status(
        &self,
        i: usize,
        timeout: Duration,
        condition: impl Fn(&StatusReport) -> bool,
    ) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.status(i).await.is_some_and(|s| condition(&s)) {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Everything that the daemon with this name has logged so far.
    pub fn read_log(&self, name: &str) -> String {
        let path = self.plan.folder.join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}
