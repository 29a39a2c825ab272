//! [`Plan`]: names, addresses and settings of a deployment.

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
    pub callers: SocketAddr,
    /// For the system's other processes.
    pub peers: SocketAddr,
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
    pub engine: SocketAddr,
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
    /// Folder for data and settings; removed with the fleet.
    pub folder: PathBuf,
}

/// Number of founding voters.
const VOTERS: usize = 3;
const CALLER_PORT: u16 = 8000;
const PEER_PORT: u16 = 7000;
const AGENT_PORT: u16 = 7100;
const ENGINE_PORT: u16 = 9000;

/// The bearer key of the workspace with this number.
pub fn workspace_key(i: usize) -> String {
    format!("key-of-ws{i}")
}

impl Plan {
    /// A plan on a loopback address that no other fleet of this machine uses.
    pub fn new(settings: FleetSettings) -> Self {
        static COUNT: AtomicU8 = AtomicU8::new(1);
        let n = COUNT.fetch_add(1, Ordering::Relaxed);
        let pid = process::id();
        let ip = Ipv4Addr::new(127, 1 + ((pid >> 8) & 0x7f) as u8, (pid & 0xff) as u8, n);
        let at = |port: u16, i: usize| SocketAddr::from((ip, port + i as u16));
        let domain = |i: usize| format!("zone-{}", (b'a' + (i % settings.domains) as u8) as char);
        let entries = (0..settings.entries).map(|i| EntryPlan {
            name: format!("entry-{}", i + 1),
            domain: domain(i),
            callers: at(CALLER_PORT, i),
            peers: at(PEER_PORT, i),
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
                listen: at(AGENT_PORT, i),
                advertise: None,
                engine: at(ENGINE_PORT, i),
            }
        });
        let folder = std::env::temp_dir().join(format!("crocustally-{pid}-{n}"));
        Self { entries: entries.collect(), agents: agents.collect(), folder, settings }
    }

    /// The YAML of an entry instance.
    pub fn entry_yaml(&self, i: usize) -> String {
        let e = &self.entries[i];
        let mut out = format!(
            "name: {}\ndomain: {}\nlisten: {}\npeer_listen: {}\nvoter: {}\ndata: {}\nthreads: {}\n",
            e.name,
            e.domain,
            e.callers,
            e.peers,
            e.voter,
            self.folder.join(&e.name).display(),
            self.settings.threads,
        );
        let others = self.entries.iter().filter(|p| p.name != e.name);
        out.push_str("peers:\n");
        for p in others {
            let line =
                format!("  - {{name: {}, address: '{}', voter: {}}}\n", p.name, p.peers, p.voter);
            out.push_str(&line);
        }
        out
    }

    /// The YAML of an agent: it announces itself to the entries of its domain and to one outside.
    pub fn agent_yaml(&self, i: usize) -> String {
        let a = &self.agents[i];
        let own = self.entries.iter().filter(|e| e.domain == a.domain);
        let mut entries: Vec<String> = own.map(|e| format!("'{}'", e.peers)).collect();
        let outside: Vec<&EntryPlan> =
            self.entries.iter().filter(|e| e.domain != a.domain).collect();
        if let Some(e) = outside.get(i % outside.len().max(1)) {
            entries.push(format!("'{}'", e.peers));
        }
        let advertise = a.advertise.map(|x| format!("advertise: {x}\n")).unwrap_or_default();
        let s = &self.settings;
        format!(
            "name: {}\ndomain: {}\nservice: {}\nkind: {}\nlisten: {}\n{advertise}engine: {}\n\
             entries: [{}]\nstart_limit: {}\nmax_limit: {}\nthreads: {}\n",
            a.name,
            a.domain,
            a.service,
            a.kind,
            a.listen,
            a.engine,
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
