//! A deployment of processes on loopback addresses, and fake runners behind TCP relays.

use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;

use crocustally_fleet::Links;
use crocustally_fleet::TcpRelay;
use crocustally_net::Runtime;
use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use rustix::process::getrlimit;
use rustix::process::kill_process;
use rustix::process::prlimit;
use serde_json::Value;
use serde_json::json;

use crate::runner::Runner;

/// Number of control instances; their quorum tolerates the loss of one.
pub const CONTROLS: usize = 3;
/// Number of failure domains.
pub const DOMAINS: usize = 3;
const CONTROL_PORT: u16 = 8100;
const PEER_PORT: u16 = 8101;
const CALLER_PORT: u16 = 8102;
/// Port behind the relay of a control instance.
const RELAYED_PORT: u16 = 8103;

/// The program of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Control,
    Gateway,
}

/// One process of the deployment, running or not.
pub struct Process {
    pub kind: Kind,
    pub name: String,
    pub ip: IpAddr,
    child: Option<Child>,
}

/// A running deployment; its processes are killed on drop.
pub struct Deployment {
    pub processes: Vec<Process>,
    pub runners: Vec<Arc<Runner>>,
    /// The relay in front of each runner.
    pub relays: Vec<TcpRelay>,
    /// Cuts between the processes; `None` if no relays stand between them.
    pub links: Option<Links>,
    /// The relay in front of the peer address of each control instance, if there are any.
    pub peer_relays: Vec<TcpRelay>,
    /// Addresses of the control instances that settings name; after a replacement they lag by one.
    pub seeds: Vec<SocketAddr>,
    /// Settings of gateways in addition to the usual ones, or instead of them.
    pub gateway_settings: Value,
    /// Limit on the open descriptors of gateways; `None` leaves that of this process.
    pub gateway_descriptors: Option<usize>,
    replacements: u8,
    folder: PathBuf,
    keep_data: bool,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|i| self.kill(i));
        if !self.keep_data && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Deployment {
    /// Starts `runners` fake runners, the control instances and `gateways` gateways; `net` has the second and third byte of the
    /// loopback addresses.
    pub async fn start(
        rt: &Runtime,
        net: [u8; 2],
        runners: usize,
        gateways: usize,
        folder: PathBuf,
    ) -> Self {
        let mut d = Self::prepare(rt, net, runners, gateways, folder).await;
        (0..d.processes.len()).for_each(|i| d.spawn(i, true));
        d
    }

    /// Starts the control instances and `gateways` gateways with relays between all of them.
    pub async fn start_with_relays(
        rt: &Runtime,
        net: [u8; 2],
        gateways: usize,
        folder: PathBuf,
    ) -> Self {
        let mut d = Self::prepare_with(rt, net, 0, gateways, folder, Some(Links::default())).await;
        (0..d.processes.len()).for_each(|i| d.spawn(i, true));
        d
    }

    /// Starts the fake runners only; the processes are started one by one.
    pub async fn prepare(
        rt: &Runtime,
        net: [u8; 2],
        runners: usize,
        gateways: usize,
        folder: PathBuf,
    ) -> Self {
        Self::prepare_with(rt, net, runners, gateways, folder, None).await
    }

    async fn prepare_with(
        rt: &Runtime,
        net: [u8; 2],
        runners: usize,
        gateways: usize,
        folder: PathBuf,
        links: Option<Links>,
    ) -> Self {
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let mut d = Self {
            processes: Vec::new(),
            runners: Vec::new(),
            relays: Vec::new(),
            links,
            peer_relays: Vec::new(),
            seeds: Vec::new(),
            gateway_settings: json!({}),
            gateway_descriptors: None,
            replacements: 0,
            folder,
            keep_data: false,
        };
        for i in 0..CONTROLS + gateways {
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
        d.seeds = (0..CONTROLS).map(|c| d.control(c)).collect();
        if let Some(links) = &d.links {
            for c in 0..CONTROLS {
                let relay = peer_relay(rt, d.processes[c].ip, links).await;
                d.peer_relays.push(relay);
            }
        }
        d
    }

    /// Gives the place of a control instance that is gone for good to one with an empty disk at
    /// another address, which is not yet started. The settings written until the next replacement
    /// still name the old one.
    pub fn replace_control(&mut self, i: usize) {
        self.kill(i);
        self.delete_data(i);
        self.seeds = (0..CONTROLS).map(|c| self.control(c)).collect();
        self.replacements += 1;
        let p = &mut self.processes[i];
        let IpAddr::V4(old) = p.ip else { return };
        let [a, b, c, _] = old.octets();
        p.ip = IpAddr::from(Ipv4Addr::new(a, b, c, 100 + self.replacements));
        p.name = format!("control-{i}-{}", self.replacements);
    }

    /// As [`Self::replace_control`], with relays: the address of the one that is gone stays silent.
    pub async fn replace_control_silently(&mut self, rt: &Runtime, i: usize) {
        self.replace_control(i);
        if let Some(links) = &self.links {
            let relay = peer_relay(rt, self.processes[i].ip, links).await;
            let gone = std::mem::replace(&mut self.peer_relays[i], relay);
            gone.set_silent(true).await.unwrap();
        }
    }

    /// Address of control instance `i` for operators and runners.
    pub fn control(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.processes[i].ip, CONTROL_PORT)
    }

    /// Address of gateway `i` for callers; `i` counts gateways only.
    pub fn gateway(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.processes[CONTROLS + i].ip, CALLER_PORT)
    }

    fn settings(&self, i: usize, bootstrap: bool) -> String {
        let p = &self.processes[i];
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        let domain = format!("d{}", i % DOMAINS);
        let mut yaml = match p.kind {
            Kind::Control => json!({
                "name": p.name, "domain": domain, "log": "json", "found": bootstrap, "losses": 1,
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
        if let (Kind::Gateway, Value::Object(more)) = (p.kind, &self.gateway_settings) {
            for (key, value) in more {
                yaml[key] = value.clone();
            }
        }
        if self.links.is_some() {
            yaml["source"] = json!(p.ip);
            if p.kind == Kind::Control {
                yaml["peer_listen"] = json!(SocketAddr::new(p.ip, RELAYED_PORT).to_string());
                yaml["peer_advertise"] = json!(SocketAddr::new(p.ip, PEER_PORT).to_string());
            }
        }
        // JSON is YAML.
        yaml.to_string()
    }

    /// Writes the settings of a process, which may be running; returns their path.
    pub fn write_settings(&self, i: usize, bootstrap: bool) -> PathBuf {
        let settings = self.folder.join(format!("{}.yaml", self.processes[i].name));
        std::fs::write(&settings, self.settings(i, bootstrap)).unwrap();
        settings
    }

    /// Starts a process; `bootstrap` is set at the first start of the whole system.
    pub fn spawn(&mut self, i: usize, bootstrap: bool) {
        let settings = self.write_settings(i, bootstrap);
        let log = self.folder.join(format!("{}.log", self.processes[i].name));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let program = match self.processes[i].kind {
            Kind::Control => env!("CARGO_BIN_EXE_crocustally-control"),
            Kind::Gateway => env!("CARGO_BIN_EXE_crocustally-gateway"),
        };
        // A file that reaches its size limit, as a full disk does here, would end the process.
        let mut command = Command::new("env");
        command.arg("--ignore-signal=XFSZ");
        if let (Kind::Gateway, Some(n)) = (self.processes[i].kind, self.gateway_descriptors) {
            command.args(["sh", "-c", &format!("ulimit -S -n {n}; exec \"$@\""), "sh"]);
        }
        command.arg(program).arg("--settings").arg(&settings).stdin(Stdio::null());
        command.stderr(log.try_clone().unwrap()).stdout(log);
        self.processes[i].child = Some(command.spawn().unwrap());
    }

    /// Sends a signal to a process if it is running.
    pub fn signal(&self, i: usize, signal: Signal) {
        let pid = self.processes[i].child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(pid) = pid {
            kill_process(pid, signal).unwrap();
        }
    }

    /// Peak resident memory of a process in bytes; 0 if it is not running.
    pub fn peak_memory(&self, i: usize) -> u64 {
        let Some(pid) = self.processes[i].child.as_ref().map(Child::id) else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or("0 kB");
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
    }

    /// Process id; `None` if the process is not running.
    pub fn pid(&self, i: usize) -> Option<u32> {
        self.processes[i].child.as_ref().map(Child::id)
    }

    /// Number of open descriptors of a process; 0 if it is not running.
    pub fn descriptors(&self, i: usize) -> usize {
        let Some(pid) = self.pid(i) else { return 0 };
        std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
    }

    /// Makes a process open no more descriptors.
    pub fn set_descriptors_full(&self, i: usize) {
        let pid = self.processes[i].child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        let limit = Rlimit { current: Some(0), ..getrlimit(Resource::Nofile) };
        if let Some(pid) = pid {
            prlimit(Some(pid), Resource::Nofile, limit).unwrap();
        }
    }

    /// Makes the files of a process take no more bytes, its log included, or take them again.
    pub fn set_disk_full(&self, i: usize, full: bool) {
        let pid = self.processes[i].child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        let limit = Rlimit { current: full.then_some(0), maximum: None };
        if let Some(pid) = pid {
            prlimit(Some(pid), Resource::Fsize, limit).unwrap();
        }
    }

    /// Kills a process and waits for its exit.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.processes[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Data folder of a process.
    pub fn data(&self, i: usize) -> PathBuf {
        self.folder.join(&self.processes[i].name)
    }

    /// Deletes the data of a process that is not running.
    pub fn delete_data(&self, i: usize) {
        let _ = std::fs::remove_dir_all(self.data(i));
    }

    /// Returns the exit status of a process that has exited, and marks it as not running.
    pub fn take_exit_status(&mut self, i: usize) -> Option<String> {
        let status = self.processes[i].child.as_mut()?.try_wait().unwrap()?;
        self.processes[i].child = None;
        Some(status.to_string())
    }

    /// Everything that a process has logged so far.
    pub fn read_log(&self, i: usize) -> String {
        let path = self.folder.join(format!("{}.log", self.processes[i].name));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Keeps logs and data after the drop, to debug a failure; returns their folder.
    pub fn keep_folder(&mut self) -> PathBuf {
        self.keep_data = true;
        self.folder.clone()
    }
}

/// Starts the relay in front of a control instance.
async fn peer_relay(rt: &Runtime, ip: IpAddr, links: &Links) -> TcpRelay {
    let (listen, target) = (SocketAddr::new(ip, PEER_PORT), SocketAddr::new(ip, RELAYED_PORT));
    TcpRelay::start_in_links(rt, listen, target, links).await.unwrap()
}
