//! [`Plan`]: names, addresses and settings of a deployment.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use crocustally_core::Digest;
use crocustally_standin::EngineSettings;
use crocustally_standin::PlainSettings;

/// Size and behaviour of a deployment; the default is the users' size of today.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Failure domains.
    pub domains: usize,
    /// Entry instances; the first three vote.
    pub entries: usize,
    /// Whether entries that do not vote have no disk.
    pub diskless: bool,
    /// Endpoints with a model engine.
    pub assistants: usize,
    /// Endpoints with a plain service.
    pub portals: usize,
    /// Workspaces; the first two are large.
    pub workspaces: usize,
    /// Requests at once after an engine start.
    pub start_limit: u32,
    /// Requests at once at most.
    pub max_limit: u32,
    /// Longest time a request waits for room, in milliseconds.
    pub queue_ms: u32,
    /// How the engines behave.
    pub engine: EngineSettings,
    /// How the plain services behave.
    pub plain: PlainSettings,
    /// Threads of each daemon.
    pub threads: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            domains: 3,
            entries: 4,
            diskless: false,
            assistants: 12,
            portals: 3,
            workspaces: 10,
            start_limit: 4,
            max_limit: 32,
            queue_ms: 5000,
            engine: EngineSettings::default(),
            plain: PlainSettings::default(),
            threads: 1,
        }
    }
}

/// One entry instance of the plan.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// For callers.
    pub caller_address: SocketAddr,
    /// For the system's other processes.
    pub peer_address: SocketAddr,
    /// What other processes are told instead, where a relay stands between.
    pub advertise: Option<SocketAddr>,
    /// Whether it founds the log as a voter.
    pub voter: bool,
}

/// One agent of the plan.
#[derive(Clone, Debug)]
pub struct AgentPlan {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// `assistant` or `portal`.
    pub service: &'static str,
    /// `model` or `plain`.
    pub kind: &'static str,
    /// Where it listens.
    pub listen: SocketAddr,
    /// What entries are told, where a relay stands between.
    pub advertise: Option<SocketAddr>,
    /// The stand-in beside it.
    pub engine_address: SocketAddr,
}

/// A whole deployment on an address of its own.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it was made from.
    pub settings: FleetSettings,
    /// Entry instances.
    pub entries: Vec<EntryPlan>,
    /// Agents: assistants first, then portals.
    pub agents: Vec<AgentPlan>,
    /// Addresses of relays that the test itself has started.
    pub external_relays: Vec<SocketAddr>,
    /// Folder for data and settings; removed with the fleet.
    pub folder: PathBuf,
}

/// Number of founding voters.
const VOTERS: usize = 3;
const CALLER_PORT: u16 = 8000;
const PEER_PORT: u16 = 8001;
const AGENT_PORT: u16 = 8002;
const ENGINE_PORT: u16 = 8003;
const RELAY_PORT: u16 = 8004;
const ADMIN_PORT: u16 = 8005;
const PORTS_PER_FLEET: u16 = 8;
const ENTRY_HOST: usize = 1;
const AGENT_HOST: usize = 10;

/// The bearer key of the workspace with this number.
pub fn workspace_key(i: usize) -> String {
    format!("key-of-ws{i}")
}

impl EntryPlan {
    /// The peer address as other processes' settings name it.
    fn told(&self) -> String {
        format!("'{}'", self.advertise.unwrap_or(self.peer_address))
    }
}

/// The relay's address before an instance.
fn relay_of(address: SocketAddr, own_port: u16) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port() - own_port + RELAY_PORT)
}

impl Plan {
    /// Puts a relay before every instance, so that failure domains can be cut off.
    pub fn with_relays(mut self) -> Self {
        for e in &mut self.entries {
            e.advertise = Some(relay_of(e.peer_address, PEER_PORT));
        }
        for a in &mut self.agents {
            a.advertise = Some(relay_of(a.listen, AGENT_PORT));
        }
        self
    }

    /// Makes entries reach an agent through a relay that the test starts; answers its address.
    pub fn reserve_agent_relay(&mut self, i: usize) -> SocketAddr {
        let listen = relay_of(self.agents[i].listen, AGENT_PORT);
        self.agents[i].advertise = Some(listen);
        self.external_relays.push(listen);
        listen
    }

    /// Failure domain of the instance with this address.
    pub fn domain_by_ip(&self, ip: IpAddr) -> Option<&str> {
        let entry = self.entries.iter().find(|e| e.peer_address.ip() == ip).map(|e| &e.domain);
        let agent = || self.agents.iter().find(|a| a.listen.ip() == ip).map(|a| &a.domain);
        entry.or_else(agent).map(String::as_str)
    }

    /// A plan on a loopback address that no other fleet of this machine uses.
    pub fn new(settings: FleetSettings) -> Self {
        static COUNT: AtomicU8 = AtomicU8::new(1);
        let n = COUNT.fetch_add(1, Ordering::Relaxed);
        let pid = process::id();
        let ip = |host: usize| {
            Ipv4Addr::new(127, 1 + ((pid >> 8) & 0x7f) as u8, (pid & 0xff) as u8, host as u8)
        };
        // Every instance has an address of its own, so that a relay can tell who connects.
        let at = |port: u16, host: usize| {
            SocketAddr::from((ip(host), port + PORTS_PER_FLEET * u16::from(n)))
        };
        let domain = |i: usize| format!("zone-{}", (b'a' + (i % settings.domains) as u8) as char);
        let entries = (0..settings.entries).map(|i| EntryPlan {
            name: format!("entry-{}", i + 1),
            domain: domain(i),
            caller_address: at(CALLER_PORT, ENTRY_HOST + i),
            peer_address: at(PEER_PORT, ENTRY_HOST + i),
            advertise: None,
            voter: i < VOTERS,
        });
        let agents = (0..settings.assistants + settings.portals).map(|i| {
            let model = i < settings.assistants;
            let of_kind = if model { i } else { i - settings.assistants };
            AgentPlan {
                name: format!("{}-{}", if model { "assistant" } else { "portal" }, of_kind + 1),
                domain: domain(of_kind),
                service: if model { "assistant" } else { "portal" },
                kind: if model { "model" } else { "plain" },
                listen: at(AGENT_PORT, AGENT_HOST + i),
                advertise: None,
                engine_address: at(ENGINE_PORT, AGENT_HOST + i),
            }
        });
        let folder = std::env::temp_dir().join(format!("crocustally-{pid}-{n}"));
        Self {
            entries: entries.collect(),
            agents: agents.collect(),
            external_relays: Vec::new(),
            folder,
            settings,
        }
    }

    /// The YAML of an entry instance.
    pub fn entry_yaml(&self, i: usize) -> String {
        let e = &self.entries[i];
        let mut out = format!(
            "name: {}\ndomain: {}\nlisten: {}\npeer_listen: {}\nsource: {}\nvoter: {}\n\
             threads: {}\n",
            e.name,
            e.domain,
            e.caller_address,
            e.peer_address,
            e.peer_address.ip(),
            e.voter,
            self.settings.threads,
        );
        out.push_str(&format!("admin: {{address: '{}'}}\n", self.admin_address(i)));
        if e.voter || !self.settings.diskless {
            out.push_str(&format!("data: {}\n", self.folder.join(&e.name).display()));
        }
        let others = self.entries.iter().filter(|p| p.name != e.name);
        if self.entries.len() > 1 {
            out.push_str("peers:\n");
        }
        for p in others {
            let address = p.advertise.unwrap_or(p.peer_address);
            let line =
                format!("  - {{name: {}, address: '{address}', voter: {}}}\n", p.name, p.voter);
            out.push_str(&line);
        }
        out
    }

    /// Where an entry's admin address is.
    pub fn admin_address(&self, i: usize) -> SocketAddr {
        let peers = self.entries[i].peer_address;
        SocketAddr::new(peers.ip(), peers.port() - PEER_PORT + ADMIN_PORT)
    }

    /// The YAML of an agent: it announces itself to the entries of its domain and to one outside.
    pub fn agent_yaml(&self, i: usize) -> String {
        let a = &self.agents[i];
        let own = self.entries.iter().filter(|e| e.domain == a.domain);
        let mut entries: Vec<String> = own.map(EntryPlan::told).collect();
        let outside: Vec<&EntryPlan> =
            self.entries.iter().filter(|e| e.domain != a.domain).collect();
        if let Some(e) = outside.get(i % outside.len().max(1)) {
            entries.push(e.told());
        }
        let advertise = a.advertise.map(|x| format!("advertise: {x}\n")).unwrap_or_default();
        let s = &self.settings;
        format!(
            "name: {}\ndomain: {}\nservice: {}\nkind: {}\nlisten: {}\nsource: {}\n\
             {advertise}engine: {}\nentries: [{}]\nstart_limit: {}\nmax_limit: {}\nthreads: {}\n",
            a.name,
            a.domain,
            a.service,
            a.kind,
            a.listen,
            a.listen.ip(),
            a.engine_address,
            entries.join(", "),
            s.start_limit,
            s.max_limit,
            s.threads,
        )
    }

    /// The first ticket: domains, services and workspaces.
    pub fn first_ticket(&self) -> String {
        let mut out = "number: 1\ndomains:\n".to_owned();
        for d in self.domains() {
            out.push_str(&format!("  - name: {d}\n"));
        }
        let queue_ms = self.settings.queue_ms;
        out.push_str(&format!(
            "services:\n  - {{name: assistant, kind: model, path: /v1, queue_ms: {queue_ms}}}\n  \
             - {{name: portal, kind: plain, path: /bookings, queue_ms: {queue_ms}}}\n"
        ));
        out.push_str("workspaces:\n");
        for i in 0..self.settings.workspaces {
            let share = if i < 2 { 30 } else { 10 };
            let hash = Digest::key_hash(workspace_key(i).as_bytes());
            out.push_str(&format!(
                "  - {{name: ws{i}, key_hash: {hash}, share: {share}, \
                 services: [assistant, portal]}}\n"
            ));
        }
        out
    }

    /// Names of the failure domains.
    pub fn domains(&self) -> Vec<String> {
        let mut out: Vec<String> = self.entries.iter().map(|e| e.domain.clone()).collect();
        out.sort();
        out.dedup();
        out
    }
}
