//! `chaos`: faults drawn from a seed against a fleet of processes under load.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crocustally_fleet::FleetSettings;
use crocustally_fleet::Plan;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::Programs;
use crocustally_fleet::workspace_key;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_standin::CRASH_WORD;
use crocustally_standin::CallerRequest;
use crocustally_standin::EngineSettings;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::load::Load;
use crate::load::LoadSettings;
use crate::load::Sent;

const READY_LIMIT: Duration = Duration::from_secs(60);
/// Requests a second.
const RATE: f64 = 80.0;
/// Requests at once that kill a cold engine.
const COLD_CAPACITY: usize = 8;
/// Endpoints that one crashing request may take down.
const CRASHER_MAX: u64 = 2;
/// Time between a kill and its note here.
const KILL_SHOWS: Duration = Duration::from_millis(100);
/// How long a fault lasts at most, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..2500;

/// A fault, and what undoes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    EntryKilled(usize),
    AgentKilled(usize),
    EntryFrozen(usize),
    AgentFrozen(usize),
    DomainCut(usize),
    EngineDead(usize),
    EngineCold(usize),
    ServiceBroken(usize),
    Crasher(usize),
}

impl Fault {
    fn draw(rng: &mut ChaCha8Rng, fleet: &ProcessFleet) -> Self {
        let entry = rng.random_range(0..fleet.plan.entries.len());
        let agent = rng.random_range(0..fleet.plan.agents.len());
        let engine = rng.random_range(0..fleet.stand_ins.engines.len());
        let service = rng.random_range(0..fleet.stand_ins.services.len());
        match rng.random_range(0..9) {
            0 => Self::EntryKilled(entry),
            1 => Self::AgentKilled(agent),
            2 => Self::EntryFrozen(entry),
            3 => Self::AgentFrozen(agent),
            4 => Self::DomainCut(rng.random_range(0..fleet.plan.domains().len())),
            5 => Self::EngineDead(engine),
            6 => Self::EngineCold(engine),
            7 => Self::ServiceBroken(service),
            _ => Self::Crasher(entry),
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::EntryKilled(_) => "entry_killed",
            Self::AgentKilled(_) => "agent_killed",
            Self::EntryFrozen(_) => "entry_frozen",
            Self::AgentFrozen(_) => "agent_frozen",
            Self::DomainCut(_) => "domain_cut",
            Self::EngineDead(_) => "engine_dead",
            Self::EngineCold(_) => "engine_cold",
            Self::ServiceBroken(_) => "service_broken",
            Self::Crasher(_) => "crasher",
        }
    }

    fn begin(self, fleet: &mut ProcessFleet) {
        match self {
            Self::EntryKilled(i) => fleet.kill_entry(i),
            Self::AgentKilled(i) => fleet.kill_agent(i),
            Self::EntryFrozen(i) => fleet.set_entry_frozen(i, true),
            Self::AgentFrozen(i) => fleet.set_agent_frozen(i, true),
            Self::DomainCut(d) => fleet.network.set_isolated(&fleet.plan.domains()[d], true),
            Self::EngineDead(i) => fleet.stand_ins.engines[i].die(),
            Self::EngineCold(i) => fleet.stand_ins.engines[i].turn_cold(),
            Self::ServiceBroken(i) => fleet.stand_ins.services[i].break_connections(),
            Self::Crasher(_) => {}
        }
    }

    fn end(self, fleet: &mut ProcessFleet) -> std::io::Result<()> {
        match self {
            Self::EntryKilled(i) => fleet.start_entry(i)?,
            Self::AgentKilled(i) => fleet.start_agent(i)?,
            Self::EntryFrozen(i) => fleet.set_entry_frozen(i, false),
            Self::AgentFrozen(i) => fleet.set_agent_frozen(i, false),
            Self::DomainCut(d) => fleet.network.set_isolated(&fleet.plan.domains()[d], false),
            Self::EngineDead(_) | Self::EngineCold(_) | Self::ServiceBroken(_) => {}
            Self::Crasher(_) => {}
        }
        Ok(())
    }
}

fn settings() -> FleetSettings {
    FleetSettings {
        start_limit: 4,
        engine: EngineSettings {
            cold_time: Duration::from_millis(500),
            cold_capacity: COLD_CAPACITY,
            ..EngineSettings::default()
        },
        ..FleetSettings::default()
    }
}

/// Runs the experiment.
pub(crate) async fn run(rt: &Runtime, seed: u64, seconds: f64) -> (Value, bool) {
    let failed = |why: &str| (json!({"error": why}), false);
    let Ok(programs) = Programs::beside_current_exe() else { return failed("programs missing") };
    let plan = Plan::new(settings()).with_relays();
    let Ok(mut fleet) = ProcessFleet::start(rt, plan, programs).await else {
        return failed("fleet did not start");
    };
    if !fleet.wait_ready(READY_LIMIT).await {
        return failed("fleet did not get ready");
    }
    let entries = fleet.plan.entries.iter().map(|e| e.caller_address).collect();
    let cfg =
        LoadSettings { rate: RATE, bookings: 0.3, tokens: 20, prefixes: 40, workspaces: 10, seed };
    let load = Load::start(rt, entries, cfg);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults: BTreeMap<&str, u32> = BTreeMap::new();
    let mut crasher_max = 0;
    let mut kills: Vec<(usize, Instant)> = Vec::new();
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < until {
        let fault = Fault::draw(&mut rng, &fleet);
        *faults.entry(fault.name()).or_default() += 1;
        fault.begin(&mut fleet);
        if let Fault::EntryKilled(entry) = fault {
            kills.push((entry, Instant::now()));
        }
        if let Fault::Crasher(entry) = fault {
            let n = rng.random::<u32>();
            crasher_max = crasher_max.max(crash(&fleet, entry, n).await);
        }
        sleep(Duration::from_millis(rng.random_range(FAULT_MS))).await;
        if fault.end(&mut fleet).is_err() {
            return failed("a process did not start again");
        }
        sleep(Duration::from_millis(rng.random_range(FAULT_MS))).await;
    }
    let sent = load.finish().await;
    judge(&fleet, seed, &sent, &faults, crasher_max, &kills)
}

/// Sends a crashing request through each entry in turn; answers the endpoints that it took down.
async fn crash(fleet: &ProcessFleet, entry: usize, n: u32) -> u64 {
    let deaths = || fleet.stand_ins.engines.iter().map(|e| e.crashes()).sum::<u64>();
    let before = deaths();
    let text = format!("{CRASH_WORD} {n}");
    let entries = fleet.plan.entries.len();
    for i in 0..entries {
        let req = CallerRequest::chat(&workspace_key(0), "crash", &text, 4);
        fleet.caller((entry + i) % entries).send(&req).await;
    }
    deaths() - before
}

fn judge(
    fleet: &ProcessFleet,
    seed: u64,
    sent: &[Sent],
    faults: &BTreeMap<&str, u32>,
    crasher_max: u64,
    kills: &[(usize, Instant)],
) -> (Value, bool) {
    let count = |f: &dyn Fn(&Sent) -> bool| sent.iter().filter(|s| f(s)).count();
    let runs = |s: &Sent| s.key.as_ref().map_or(0, |k| fleet.stand_ins.journal.runs(k));
    let double_runs = fleet.stand_ins.journal.run_twice();
    let ran_after_refusal = count(&|s| !s.whole && s.ran == "no" && runs(s) > 0);
    let whole_without_run = count(&|s| s.whole && s.key.is_some() && runs(s) != 1);
    // An answer that its own entry was killed under cannot be whole on that connection; every other
    // one must be.
    let killed = |(entry, from, to): &(usize, Instant, Instant)| {
        kills.iter().any(|(e, at)| e == entry && *at >= *from && *at <= *to + KILL_SHOWS)
    };
    let broken_alive = sent.iter().flat_map(|s| &s.cuts).filter(|c| !killed(c)).count();
    let held = double_runs == 0
        && broken_alive == 0
        && ran_after_refusal == 0
        && whole_without_run == 0
        && crasher_max <= CRASHER_MAX;
    let mut codes: BTreeMap<u32, usize> = BTreeMap::new();
    for s in sent.iter().filter(|s| !s.whole) {
        *codes.entry(s.code).or_default() += 1;
    }
    let value = json!({
        "seed": seed,
        "requests": sent.len(),
        "whole": count(&|s| s.whole),
        "refused_not_run": count(&|s| !s.whole && s.ran == "no"),
        "unknown": count(&|s| !s.whole && s.ran != "no"),
        "double_runs": double_runs,
        "ran_after_refusal": ran_after_refusal,
        "whole_without_run": whole_without_run,
        "broken_answers": count(&|s| s.cut),
        "broken_by_living_entries": broken_alive,
        "endpoints_lost_per_crasher_max": crasher_max,
        "codes": codes,
        "faults": faults,
    });
    (value, held)
}
