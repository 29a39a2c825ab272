//! [`Plan`]: the names, addresses and settings of a deployment.

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

/// Size and behaviour of a deployment. The default is the size that the users run today.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of entry instances. The first three are voters.
    pub entries: usize,
    /// Runs the entries that are not voters without a data folder.
    pub diskless: bool,
    /// Number of endpoints with a model engine.
    pub assistants: usize,
    /// Number of endpoints with a plain service.
    pub portals: usize,
    /// Number of workspaces. The first two have a larger share.
    pub workspaces: usize,
    /// Concurrency limit of an endpoint right after its engine has started.
    pub start_limit: u32,
    /// Highest concurrency limit of an endpoint.
    pub max_limit: u32,
    /// Longest time that a request may wait in a queue, in milliseconds.
    pub queue_ms: u32,
    /// Behaviour of the stand-in engines.
    pub engine: EngineSettings,
    /// Behaviour of the stand-in plain services.
    pub plain: PlainSettings,
    /// Number of threads of each daemon.
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

/// An entry instance of a plan.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    /// Instance name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address that serves callers.
    pub caller_address: SocketAddr,
    /// Address that serves the other daemons and operators.
    pub peer_address: SocketAddr,
    /// Address of the relay in front of `peer_address`, if any. Other daemons connect to it.
    pub advertise: Option<SocketAddr>,
    /// Whether the entry is a voter when the log is bootstrapped.
    pub voter: bool,
}

/// An agent of a plan.
#[derive(Clone, Debug)]
pub struct AgentPlan {
    /// Instance name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Service name: `assistant` or `portal`.
    pub service: &'static str,
    /// Service kind: `model` or `plain`.
    pub kind: &'static str,
    /// Address that the agent listens on.
    pub listen: SocketAddr,
    /// Address of the relay in front of `listen`, if any. Entries connect to it.
    pub advertise: Option<SocketAddr>,
    /// Address of the stand-in engine or service that the agent forwards to.
    pub engine_address: SocketAddr,
}

/// A complete deployment on loopback addresses of its own.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Settings that the plan was made from.
    pub settings: FleetSettings,
    /// Entry instances.
    pub entries: Vec<EntryPlan>,
    /// Agents: the assistants first, then the portals.
    pub agents: Vec<AgentPlan>,
    /// Listening addresses of the relays that the test starts itself.
    pub external_relays: Vec<SocketAddr>,
    /// Folder for data and settings. Removed when the fleet is dropped.
    pub folder: PathBuf,
}

/// Number of voters when the log is bootstrapped.
const VOTERS: usize = 3;
// Base ports, to which `PORTS_PER_FLEET` times the number of the plan is added.
const CALLER_PORT: u16 = 8000;
const PEER_PORT: u16 = 8001;
const AGENT_PORT: u16 = 8002;
const ENGINE_PORT: u16 = 8003;
const RELAY_PORT: u16 = 8004;
const ADMIN_PORT: u16 = 8005;
const PORTS_PER_FLEET: u16 = 8;
/// Last octet of the address of the first entry.
const ENTRY_HOST: usize = 1;
/// Last octet of the address of the first agent.
const AGENT_HOST: usize = 10;

/// The API key of workspace number `i`.
pub fn workspace_key(i: usize) -> String {
    format!("key-of-ws{i}")
}

impl EntryPlan {
    /// The peer address, or that of the relay in front of it, as a quoted YAML scalar.
    fn peer_address_yaml(&self) -> String {
        format!("'{}'", self.advertise.unwrap_or(self.peer_address))
    }
}

/// The address of the relay in front of an instance, on the same host.
fn relay_address(address: SocketAddr, instance_port: u16) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port() - instance_port + RELAY_PORT)
}

impl Plan {
    /// Puts a relay in front of every instance, which allows failure domains to be isolated.
    pub fn with_relays(mut self) -> Self {
        for e in &mut self.entries {
            e.advertise = Some(relay_address(e.peer_address, PEER_PORT));
        }
        for a in &mut self.agents {
            a.advertise = Some(relay_address(a.listen, AGENT_PORT));
        }
        self
    }

    /// Makes entries connect to agent `i` through a relay that the test starts itself.
    ///
    /// Returns the address that the relay has to listen on.
    pub fn reserve_agent_relay(&mut self, i: usize) -> SocketAddr {
        let listen = relay_address(self.agents[i].listen, AGENT_PORT);
        self.agents[i].advertise = Some(listen);
        self.external_relays.push(listen);
        listen
    }

    /// The failure domain of the instance with this IP address.
    pub fn domain_by_ip(&self, ip: IpAddr) -> Option<&str> {
        let entry = self.entries.iter().find(|e| e.peer_address.ip() == ip).map(|e| &e.domain);
        let agent = || self.agents.iter().find(|a| a.listen.ip() == ip).map(|a| &a.domain);
        entry.or_else(agent).map(String::as_str)
    }

    /// Creates a plan on loopback addresses derived from the process id and a counter, so that
    /// fleets on the same machine do not collide.
    pub fn new(settings: FleetSettings) -> Self {
        static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);
        let n = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let pid = process::id();
        let ip = |host: usize| {
            Ipv4Addr::new(127, 1 + ((pid >> 8) & 0x7f) as u8, (pid & 0xff) as u8, host as u8)
        };
        // Every instance has its own IP address, by which a relay identifies the client.
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
            let is_model = i < settings.assistants;
            let index_in_service = if is_model { i } else { i - settings.assistants };
            AgentPlan {
                name: format!(
                    "{}-{}",
                    if is_model { "assistant" } else { "portal" },
                    index_in_service + 1
                ),
                domain: domain(index_in_service),
                service: if is_model { "assistant" } else { "portal" },
                kind: if is_model { "model" } else { "plain" },
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

    /// The settings of entry `i` in YAML.
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
        let other_entries = self.entries.iter().filter(|p| p.name != e.name);
        if self.entries.len() > 1 {
            out.push_str("peers:\n");
        }
        for p in other_entries {
            let address = p.advertise.unwrap_or(p.peer_address);
            let line =
                format!("  - {{name: {}, address: '{address}', voter: {}}}\n", p.name, p.voter);
            out.push_str(&line);
        }
        out
    }

    /// The admin address of entry `i`.
    pub fn admin_address(&self, i: usize) -> SocketAddr {
        let peer_address = self.entries[i].peer_address;
        SocketAddr::new(peer_address.ip(), peer_address.port() - PEER_PORT + ADMIN_PORT)
    }

    /// The settings of agent `i` in YAML.
    ///
    /// An agent announces itself to all entries of its own failure domain and to one of another.
    pub fn agent_yaml(&self, i: usize) -> String {
        let a = &self.agents[i];
        let same_domain = self.entries.iter().filter(|e| e.domain == a.domain);
        let mut entries: Vec<String> = same_domain.map(EntryPlan::peer_address_yaml).collect();
        let other_domains: Vec<&EntryPlan> =
            self.entries.iter().filter(|e| e.domain != a.domain).collect();
        if let Some(e) = other_domains.get(i % other_domains.len().max(1)) {
            entries.push(e.peer_address_yaml());
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

    /// The first ticket in YAML, with all failure domains, services and workspaces.
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

    /// Sorted names of the failure domains that have an entry.
    pub fn domains(&self) -> Vec<String> {
        let mut out: Vec<String> = self.entries.iter().map(|e| e.domain.clone()).collect();
        out.sort();
        out.dedup();
        out
    }
}
