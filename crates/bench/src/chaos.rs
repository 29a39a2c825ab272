//! `chaos`: injects faults drawn from a seed into a fleet of processes under load.

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
use crocustally_standin::CRASH_MARKER;
use crocustally_standin::CallerRequest;
use crocustally_standin::EngineSettings;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::load::LoadGenerator;
use crate::load::LoadSettings;
use crate::load::RequestResult;

const READY_TIMEOUT: Duration = Duration::from_secs(60);
const REQUESTS_PER_S: f64 = 80.0;
/// Concurrent requests that crash a cold engine.
const COLD_CAPACITY: usize = 8;
/// Endpoints that one crashing request may take down at most.
const ENDPOINTS_LOST_PER_CRASHER_MAX: u64 = 2;
/// Longest delay between the exit of a killed entry and the time recorded for the kill.
const KILL_RECORD_DELAY_MAX: Duration = Duration::from_millis(100);
/// Duration of each fault, and of the pause after it, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..2500;

/// An injected fault. The value is the index of its target, or for `CrashingRequest` of the first
/// entry to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    EntryKilled(usize),
    AgentKilled(usize),
    EntryFrozen(usize),
    AgentFrozen(usize),
    DomainCut(usize),
    EngineCrashed(usize),
    EngineCold(usize),
    ServiceBroken(usize),
    CrashingRequest(usize),
}

impl Fault {
    fn random(rng: &mut ChaCha8Rng, fleet: &ProcessFleet) -> Self {
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
            5 => Self::EngineCrashed(engine),
            6 => Self::EngineCold(engine),
            7 => Self::ServiceBroken(service),
            _ => Self::CrashingRequest(entry),
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::EntryKilled(_) => "entry_killed",
            Self::AgentKilled(_) => "agent_killed",
            Self::EntryFrozen(_) => "entry_frozen",
            Self::AgentFrozen(_) => "agent_frozen",
            Self::DomainCut(_) => "domain_cut",
            Self::EngineCrashed(_) => "engine_dead",
            Self::EngineCold(_) => "engine_cold",
            Self::ServiceBroken(_) => "service_broken",
            Self::CrashingRequest(_) => "crasher",
        }
    }

    fn inject(self, fleet: &mut ProcessFleet) {
        match self {
            Self::EntryKilled(i) => fleet.kill_entry(i),
            Self::AgentKilled(i) => fleet.kill_agent(i),
            Self::EntryFrozen(i) => fleet.set_entry_frozen(i, true),
            Self::AgentFrozen(i) => fleet.set_agent_frozen(i, true),
            Self::DomainCut(d) => fleet.network.set_isolated(&fleet.plan.domains()[d], true),
            Self::EngineCrashed(i) => fleet.stand_ins.engines[i].crash(),
            Self::EngineCold(i) => fleet.stand_ins.engines[i].restart_cold(),
            Self::ServiceBroken(i) => fleet.stand_ins.services[i].break_connections(),
            Self::CrashingRequest(_) => {}
        }
    }

    fn revert(self, fleet: &mut ProcessFleet) -> std::io::Result<()> {
        match self {
            Self::EntryKilled(i) => fleet.start_entry(i)?,
            Self::AgentKilled(i) => fleet.start_agent(i)?,
            Self::EntryFrozen(i) => fleet.set_entry_frozen(i, false),
            Self::AgentFrozen(i) => fleet.set_agent_frozen(i, false),
            Self::DomainCut(d) => fleet.network.set_isolated(&fleet.plan.domains()[d], false),
            Self::EngineCrashed(_) | Self::EngineCold(_) | Self::ServiceBroken(_) => {}
            Self::CrashingRequest(_) => {}
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

/// Runs the experiment; the second value says whether all targets were met.
pub(crate) async fn run(rt: &Runtime, seed: u64, seconds: f64) -> (Value, bool) {
    let failed = |message: &str| (json!({"error": message}), false);
    let Ok(programs) = Programs::beside_current_exe() else { return failed("programs missing") };
    let plan = Plan::new(settings()).with_relays();
    let Ok(mut fleet) = ProcessFleet::start(rt, plan, programs).await else {
        return failed("fleet did not start");
    };
    if !fleet.wait_ready(READY_TIMEOUT).await {
        return failed("fleet did not get ready");
    }
    let entries = fleet.plan.entries.iter().map(|e| e.caller_address).collect();
    let cfg = LoadSettings {
        requests_per_s: REQUESTS_PER_S,
        booking_share: 0.3,
        response_tokens: 20,
        prefix_count: 40,
        workspace_count: 10,
        seed,
    };
    let generator = LoadGenerator::start(rt, entries, cfg);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults: BTreeMap<&str, u32> = BTreeMap::new();
    let mut endpoints_lost_max = 0;
    let mut entry_kills: Vec<(usize, Instant)> = Vec::new();
    let deadline = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < deadline {
        let fault = Fault::random(&mut rng, &fleet);
        *faults.entry(fault.name()).or_default() += 1;
        fault.inject(&mut fleet);
        if let Fault::EntryKilled(entry) = fault {
            entry_kills.push((entry, Instant::now()));
        }
        if let Fault::CrashingRequest(entry) = fault {
            let n = rng.random::<u32>();
            endpoints_lost_max =
                endpoints_lost_max.max(send_crashing_request(&fleet, entry, n).await);
        }
        sleep(Duration::from_millis(rng.random_range(FAULT_DURATION_MS))).await;
        if fault.revert(&mut fleet).is_err() {
            return failed("a process did not start again");
        }
        sleep(Duration::from_millis(rng.random_range(FAULT_DURATION_MS))).await;
    }
    let results = generator.finish().await;
    evaluate(&fleet, seed, &results, &faults, endpoints_lost_max, &entry_kills)
}

/// Sends a crashing request through each entry in turn and returns the number of engine crashes.
async fn send_crashing_request(fleet: &ProcessFleet, entry: usize, n: u32) -> u64 {
    let crash_count =
        || fleet.stand_ins.engines.iter().map(|e| e.crashes_by_request()).sum::<u64>();
    let before = crash_count();
    let text = format!("{CRASH_MARKER} {n}");
    let entries = fleet.plan.entries.len();
    for i in 0..entries {
        let req = CallerRequest::chat(&workspace_key(0), "crash", &text, 4);
        fleet.caller((entry + i) % entries).send(&req).await;
    }
    crash_count() - before
}

fn evaluate(
    fleet: &ProcessFleet,
    seed: u64,
    results: &[RequestResult],
    faults: &BTreeMap<&str, u32>,
    endpoints_lost_max: u64,
    entry_kills: &[(usize, Instant)],
) -> (Value, bool) {
    let count = |f: &dyn Fn(&RequestResult) -> bool| results.iter().filter(|r| f(r)).count();
    let run_count = |r: &RequestResult| {
        r.idempotency_key.as_ref().map_or(0, |k| fleet.stand_ins.journal.run_count(k))
    };
    let double_runs = fleet.stand_ins.journal.duplicate_run_count();
    let ran_after_refusal = count(&|r| !r.complete && r.ran == "no" && run_count(r) > 0);
    let whole_without_run =
        count(&|r| r.complete && r.idempotency_key.is_some() && run_count(r) != 1);
    // A response cannot complete if the entry that relays it is killed. No other response may be
    // interrupted.
    let entry_was_killed = |(entry, started, ended): &(usize, Instant, Instant)| {
        entry_kills
            .iter()
            .any(|(e, at)| e == entry && *at >= *started && *at <= *ended + KILL_RECORD_DELAY_MAX)
    };
    let broken_by_living_entries =
        results.iter().flat_map(|r| &r.interruptions).filter(|c| !entry_was_killed(c)).count();
    let passed = double_runs == 0
        && broken_by_living_entries == 0
        && ran_after_refusal == 0
        && whole_without_run == 0
        && endpoints_lost_max <= ENDPOINTS_LOST_PER_CRASHER_MAX;
    let mut codes: BTreeMap<u32, usize> = BTreeMap::new();
    for r in results.iter().filter(|r| !r.complete) {
        *codes.entry(r.code).or_default() += 1;
    }
    let value = json!({
        "seed": seed,
        "requests": results.len(),
        "whole": count(&|r| r.complete),
        "refused_not_run": count(&|r| !r.complete && r.ran == "no"),
        "unknown": count(&|r| !r.complete && r.ran != "no"),
        "double_runs": double_runs,
        "ran_after_refusal": ran_after_refusal,
        "whole_without_run": whole_without_run,
        "broken_answers": count(&|r| r.interrupted),
        "broken_by_living_entries": broken_by_living_entries,
        "endpoints_lost_per_crasher_max": endpoints_lost_max,
        "codes": codes,
        "faults": faults,
    });
    (value, passed)
}
