//! A deployment of real processes on loopback addresses of its own.

use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;

use crocustally_fleet::TcpRelay;
use crocustally_net::Runtime;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::json;

use crate::runner::Runner;

/// Control instances: one may be lost at a time.
pub const CONTROLS: usize = 3;
/// Gateways.
pub const GATEWAYS: usize = 3;
/// Failure domains.
pub const DOMAINS: usize = 3;
const CONTROL_PORT: u16 = 8100;
const PEER_PORT: u16 = 8101;
const CALLER_PORT: u16 = 8102;

/// Which program a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Control,
    Gateway,
}

/// One process, running or not.
pub struct Process {
    pub kind: Kind,
    pub name: String,
    pub ip: IpAddr,
    child: Option<Child>,
}

/// Runners behind relays, and the processes; those are ended, by their ids, when it is dropped.
pub struct Deployment {
    pub processes: Vec<Process>,
    pub runners: Vec<Arc<Runner>>,
    /// The relay before each runner.
    pub relays: Vec<TcpRelay>,
    folder: PathBuf,
    keep: bool,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|i| self.kill(i));
        if !self.keep && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Deployment {
    /// Starts `runners` stand-in runners and all processes; `net` numbers the loopback network.
    pub async fn start(rt: &Runtime, net: [u8; 2], runners: usize, folder: PathBuf) -> Self {
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let mut d = Self {
            processes: Vec::new(),
            runners: Vec::new(),
            relays: Vec::new(),
            folder,
            keep: false,
        };
        for i in 0..CONTROLS + GATEWAYS {
            let kind = if i < CONTROLS { Kind::Control } else { Kind::Gateway };
            let ip = IpAddr::from(Ipv4Addr::new(127, net[0], net[1], i as u8 + 1));
            let name = format!("{kind:?}-{i}").to_lowercase();
            d.processes.push(Process { kind, name, ip, child: None });
        }
        for i in 0..runners {
            let runner = Runner::start(rt, format!("i-{i}-0")).await;
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            d.relays.push(TcpRelay::start(rt, any, runner.address).await.unwrap());
            d.runners.push(Arc::new(runner));
        }
        (0..d.processes.len()).for_each(|i| d.spawn(i, true));
        d
    }

    /// Where operators and runners reach control instance `i`.
    pub fn control(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.processes[i].ip, CONTROL_PORT)
    }

    /// Where callers reach gateway `i`, counted from the first gateway.
    pub fn gateway(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.processes[CONTROLS + i].ip, CALLER_PORT)
    }

    fn settings(&self, i: usize, found: bool) -> String {
        let p = &self.processes[i];
        let seeds: Vec<String> = (0..CONTROLS).map(|c| self.control(c).to_string()).collect();
        let domain = format!("d{}", i % DOMAINS);
        let yaml = match p.kind {
            Kind::Control => json!({
                "name": p.name, "domain": domain, "log": "json", "found": found, "losses": 1,
                "listen": self.control(i).to_string(), "seeds": seeds,
                "peer_listen": SocketAddr::new(p.ip, PEER_PORT).to_string(),
                "data": self.folder.join(&p.name),
            }),
            Kind::Gateway => json!({
                "name": p.name, "domain": domain, "log": "json", "seeds": seeds,
                "listen": SocketAddr::new(p.ip, CALLER_PORT).to_string(),
                "control_port": PEER_PORT, "grace_s": 8.0,
            }),
        };
        // JSON is YAML.
        yaml.to_string()
    }

    /// Starts a process; `found` says whether the whole system starts for the first time.
    pub fn spawn(&mut self, i: usize, found: bool) {
        let settings = self.folder.join(format!("{}.yaml", self.processes[i].name));
        std::fs::write(&settings, self.settings(i, found)).unwrap();
        let log = self.folder.join(format!("{}.log", self.processes[i].name));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let program = match self.processes[i].kind {
            Kind::Control => env!("CARGO_BIN_EXE_crocustally-control"),
            Kind::Gateway => env!("CARGO_BIN_EXE_crocustally-gateway"),
        };
        let mut command = Command::new(program);
        command.arg("--settings").arg(&settings).stdin(Stdio::null());
        command.stderr(log.try_clone().unwrap()).stdout(log);
        self.processes[i].child = Some(command.spawn().unwrap());
    }

    pub fn signal(&self, i: usize, signal: Signal) {
        let pid = self.processes[i].child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(pid) = pid {
            kill_process(pid, signal).unwrap();
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.processes[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Empties the disk of a process that does not run.
    pub fn lose_disk(&self, i: usize) {
        let _ = std::fs::remove_dir_all(self.folder.join(&self.processes[i].name));
    }

    /// How a process has ended, if it has; it counts as not running from then on.
    pub fn ended(&mut self, i: usize) -> Option<String> {
        let status = self.processes[i].child.as_mut()?.try_wait().unwrap()?;
        self.processes[i].child = None;
        Some(status.to_string())
    }

    /// Keeps logs and disks for whoever looks into a failure.
    pub fn keep_folder(&mut self) -> PathBuf {
        self.keep = true;
        self.folder.clone()
    }
}
