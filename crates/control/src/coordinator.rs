//! [`Coordinator`]: the groups of ranks that the leader keeps evenly loaded.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::experts::ExpertId;
use crocustally_core::experts::GroupSettings;
use crocustally_core::experts::HandoverPhase;
use crocustally_core::experts::LayerMap;
use crocustally_core::experts::MoveSettings;
use crocustally_core::experts::OrderOutcome;
use crocustally_core::experts::RankGroup;
use crocustally_core::experts::RankOrder;
use crocustally_core::experts::RankReading;
use crocustally_core::experts::RankStatus;
use crocustally_core::experts::SelectionCounts;
use crocustally_core::traffic::EngineSpec;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_wire as wire;
use event_listener::Event;
use event_listener::EventListener;

/// Least gain of a plan: copying slows passes down for its time.
const GAIN_MIN: f64 = 0.08;
/// Least time between two plans, for the counters of the last switch to show.
const PLAN_PAUSE: Duration = Duration::from_millis(100);
/// Orders whose results are awaited; older ones count as unanswered.
const ORDERS_KEPT: usize = 256;

/// One group and what its agents are told.
struct Group {
    ranks: RankGroup,
    /// Wakes the agents that wait for orders.
    changed: Event,
    /// Addresses of the ranks' engines.
    engines: Vec<String>,
    next_number: u64,
    sent: HashMap<u64, (usize, RankOrder)>,
    /// Time to copy one expert to a rank.
    copy: Duration,
    /// When the copies of the plan under way should have arrived.
    copied_at: Option<Instant>,
}

/// The groups that the leader of one term keeps.
pub(crate) struct Coordinator {
    /// Time that the copies of one plan may take at a rank.
    copy_time: Duration,
    term: u64,
    groups: HashMap<(String, String), Group>,
}

/// What an agent is told, or what it waits for.
pub(crate) enum Told {
    /// Orders to carry out.
    Orders(Vec<wire::RankOrder>),
    /// Nothing yet: to be asked again when the event fires or the time is over.
    Wait {
        /// Fires when something has changed.
        changed: EventListener,
        /// Time after which the agent should report again.
        time: Duration,
    },
}

impl Coordinator {
    pub(crate) fn new(copy_time: Duration) -> Self {
        Self { copy_time, term: 0, groups: HashMap::new() }
    }

    /// Takes what an agent reports to the leader of `term`.
    pub(crate) fn report(
        &mut self,
        now: Instant,
        term: u64,
        policy: Option<&TrafficPolicy>,
        report: &wire::RankReport,
    ) {
        if term != self.term {
            self.term = term;
            self.groups.clear();
        }
        let Some(load) = &report.load else { return };
        let spec = policy.and_then(|p| p.services().iter().find(|s| s.name == report.service));
        let Some(engine) = spec.and_then(|s| s.engine.as_ref()).filter(|e| e.layer_sets > 0) else {
            return;
        };
        let copies = engine.copies_within(self.copy_time);
        let group =
            self.groups.entry(key(report)).or_insert_with(|| Group::new(engine, term, copies));
        group.report(now, load, report);
    }

    /// The orders for the agent that has just reported.
    pub(crate) fn orders(&mut self, now: Instant, report: &wire::RankReport) -> Told {
        let ranks: usize = self.groups.values().map(|g| g.engines.len()).sum();
        let idle = (IDLE_WAIT_PER_RANK * ranks as u32).clamp(PASS_WAIT, WAIT_MAX);
        let held = (HELD_WAIT_PER_RANK * ranks as u32).clamp(HELD_WAIT, WAIT_MAX);
        match self.groups.get_mut(&key(report)) {
            Some(group) => group.orders(now, report.rank as usize, idle, held),
            None => Told::Wait { changed: Event::new().listen(), time: idle },
        }
    }
}

/// Longest time that an agent waits while nothing is under way, for each rank: the coordinator's
/// processor time does not grow with them.
const IDLE_WAIT_PER_RANK: Duration = Duration::from_micros(2800);
/// Longest time that an agent waits whatever their number: half of what it gives an answer.
const WAIT_MAX: Duration = Duration::from_millis(225);
/// Longest time that an agent waits where every pass should be seen: passes take longer.
const PASS_WAIT: Duration = Duration::from_millis(45);
/// The same once copies should have arrived, and while a pass may be held back, when orders may have
/// to be sent again.
const HELD_WAIT: Duration = Duration::from_millis(25);
/// The same for each rank: shifts of popularity come to all groups at once.
const HELD_WAIT_PER_RANK: Duration = Duration::from_micros(700);

fn key(report: &wire::RankReport) -> (String, String) {
    let group = report.load.as_ref().map(|l| l.group.clone()).unwrap_or_default();
    (report.service.clone(), group)
}

impl Group {
    fn new(engine: &EngineSpec, term: u64, copies_per_plan: usize) -> Self {
        let moves = MoveSettings {
            slots_per_set: engine.expert_slots_per_set,
            copies_per_set_max: engine.new_experts_per_set_max,
            copies_per_rank_max: copies_per_plan,
            gain_min: GAIN_MIN,
        };
        let cfg = GroupSettings {
            sets: engine.layer_sets,
            experts: engine.experts_per_set,
            moves,
            plan_interval_min: PLAN_PAUSE,
        };
        Self {
            ranks: RankGroup::new(cfg, term),
            changed: Event::new(),
            engines: Vec::new(),
            next_number: 0,
            sent: HashMap::new(),
            copy: engine.expert_copy_time,
            copied_at: None,
        }
    }

    fn report(&mut self, now: Instant, load: &wire::RankLoad, report: &wire::RankReport) {
        let rank = report.rank as usize;
        let before = (self.ranks.handover().phase(), self.ranks.shifting());
        for result in &report.results {
            let Some((target, order)) = self.sent.remove(&result.number) else { continue };
            let answered = match result.outcome {
                1 => OrderOutcome::Started,
                2 => OrderOutcome::InEffect,
                3 => OrderOutcome::Refused,
                _ => OrderOutcome::NoAnswer,
            };
            self.ranks.handover().record_outcome(now, target, &order, answered);
        }
        if self.engines.len() != report.size as usize {
            self.engines = vec![String::new(); report.size as usize];
        }
        if let Some(engine) = self.engines.get_mut(rank) {
            engine.clone_from(&report.address);
        }
        self.ranks.report(now, reading(load, report));
        if let Some((version, plan)) = self.ranks.plan(now) {
            log::info!(
                group = load.group.as_str(), epoch = load.epoch, version = version,
                copies = plan.copies, skew_before = plan.skew_before, skew_after = plan.skew_after;
                "map planned"
            );
            metrics::counter!("crocustally_map_plans").increment(1);
            self.copied_at = Some(now + self.copy * plan.copies_max as u32);
        }
        let after = (self.ranks.handover().phase(), self.ranks.shifting());
        if after.0 != before.0 {
            note_phase(load, before.0, after.0);
        }
        if !before.1 && after.1 {
            log::info!(group = load.group.as_str(), step = load.step; "popularity shifts");
        }
        if after != before {
            self.changed.notify(usize::MAX);
        }
    }

    /// How long an agent without orders waits before it reports again.
    fn wait(&mut self, now: Instant, idle: Duration, held: Duration) -> Duration {
        match self.ranks.handover().phase() {
            HandoverPhase::Gathering | HandoverPhase::Steady => {
                if self.ranks.shifting() {
                    PASS_WAIT
                } else {
                    idle
                }
            }
            HandoverPhase::Preparing { .. } => {
                let left = self.copied_at.map(|at| at.saturating_duration_since(now));
                left.map_or(idle, |left| left.clamp(held, idle))
            }
            _ => held,
        }
    }

    fn orders(&mut self, now: Instant, rank: usize, idle: Duration, held: Duration) -> Told {
        let orders = self.ranks.handover().orders(now, rank);
        if orders.is_empty() {
            return Told::Wait { changed: self.changed.listen(), time: self.wait(now, idle, held) };
        }
        let epoch = self.ranks.handover().epoch();
        let mut out = Vec::new();
        for (target, order) in orders {
            self.next_number += 1;
            let number = self.next_number;
            let address = self.engines.get(target).cloned().unwrap_or_default();
            out.push(to_wire(number, address, epoch, &order));
            self.sent.insert(number, (target, order));
        }
        let oldest = self.next_number.saturating_sub(ORDERS_KEPT as u64);
        self.sent.retain(|number, _| *number > oldest);
        Told::Orders(out)
    }
}

fn note_phase(load: &wire::RankLoad, before: HandoverPhase, phase: HandoverPhase) {
    log::info!(
        group = load.group.as_str(), epoch = load.epoch, step = load.step, map = load.map,
        before = format!("{before:?}").as_str(), now = format!("{phase:?}").as_str();
        "map switch"
    );
}

fn reading(load: &wire::RankLoad, report: &wire::RankReport) -> RankReading {
    let some = |version: u64| (version > 0).then_some(version);
    let ids = |l: &wire::ExpertList| l.experts.iter().map(|e| ExpertId(*e as u16)).collect();
    RankReading {
        status: RankStatus {
            rank: report.rank as usize,
            size: report.size as usize,
            epoch: load.epoch,
            open: load.open,
            step: load.step,
            map: load.map,
            prepared: some(report.prepared),
            armed: some(report.armed).map(|version| (version, report.armed_step)),
            held: report.held,
        },
        selections: (!report.counts.is_empty()).then(|| SelectionCounts {
            from: report.counted_from,
            to: report.counted_to,
            counts: report.counts.clone(),
        }),
        experts: report.experts.iter().map(ids).collect(),
    }
}

fn to_wire(number: u64, address: String, epoch: u64, order: &RankOrder) -> wire::RankOrder {
    let mut out = wire::RankOrder { number, address, epoch, ..wire::RankOrder::default() };
    match order {
        RankOrder::Prepare { version, sets } => {
            out.kind = 1;
            out.version = *version;
            out.sets = sets.iter().map(set_to_wire).collect();
        }
        RankOrder::Arm { version, step } => {
            (out.kind, out.version, out.step) = (2, *version, *step);
        }
        RankOrder::Hold { step } => (out.kind, out.step) = (3, *step),
        RankOrder::Go { step } => (out.kind, out.step) = (4, *step),
    }
    out
}

fn set_to_wire(map: &LayerMap) -> wire::SetMap {
    let list = |experts: &smallvec::SmallVec<[ExpertId; 4]>| wire::ExpertList {
        experts: experts.iter().map(|e| u32::from(e.0)).collect(),
    };
    wire::SetMap { ranks: map.ranks.iter().map(list).collect() }
}
