//! [`Coordinator`]: plans the expert placement of rank groups and hands out the agents' orders.
//!
//! Every control instance has one, for the groups that the leader has assigned to it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_core::experts::ExpertId;
use crocustally_core::experts::GroupKey;
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
use crocustally_core::experts::VersionBlock;
use crocustally_core::traffic::EngineSpec;
use crocustally_wire as wire;
use event_listener::Event;
use event_listener::EventListener;
use prost::Message as _;

/// Minimum gain of a plan. Copying experts slows forward passes down, so small gains do not pay.
const PLAN_GAIN_MIN: f64 = 0.08;
/// Minimum time between two plans, so that the counters reflect the last map switch.
const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Maximum number of orders per group that wait for a result; older ones count as unanswered.
const UNANSWERED_ORDERS_MAX: usize = 256;

/// One rank group and the orders for its agents.
struct Group {
    block: VersionBlock,
    ranks: RankGroup,
    /// The encoded placement of a map and its version, shared by the orders to all ranks.
    placement: Option<(u64, Bytes)>,
    /// Wakes the agents' long polls.
    changed: Event,
    /// Addresses of the engines, by rank.
    engines: Vec<String>,
    next_number: u64,
    unanswered: HashMap<u64, (usize, RankOrder)>,
    /// Time to copy one expert to a rank, which sets how often agents poll during a plan.
    expert_copy_time: Duration,
    /// Expected end of the copies of the current plan.
    copies_due_at: Option<Instant>,
}

/// The rank groups that this instance coordinates in one term; each new term rebuilds them from
/// reports.
pub(crate) struct Coordinator {
    /// Time that the copies of one plan may take at one rank.
    copy_time: Duration,
    groups: HashMap<GroupKey, Group>,
}

/// The reply to an agent's long poll for orders.
pub(crate) enum PollReply {
    /// Orders for the agent to execute.
    Orders(Vec<wire::RankOrder>),
    /// No orders yet. Poll again when the event fires, and end the long poll after the time.
    Wait {
        /// Fires when the group's phase or its popularity shift has changed.
        changed: EventListener,
        /// Time after which the agent should report again.
        time: Duration,
    },
}

impl Coordinator {
    pub(crate) fn new(copy_time: Duration) -> Self {
        Self { copy_time, groups: HashMap::new() }
    }

    /// Whether this instance coordinates the group of a report in `term`. Gives groups up that
    /// belong to another term, and those that another instance may coordinate by now.
    pub(crate) fn coordinates(
        &mut self,
        now: Instant,
        term: u64,
        report: &wire::RankReport,
    ) -> bool {
        self.groups.retain(|(service, name), group| {
            let handover = group.ranks.handover();
            let lost = handover.has_lost_ranks(now);
            let keep = group.block.term == term && !handover.is_superseded() && !lost;
            if !keep {
                log::info!(
                    service = service.as_str(), group = name.as_str(), term = group.block.term,
                    current_term = term, ranks_lost = lost;
                    "group given up"
                );
            }
            keep
        });
        self.groups.contains_key(&group_key(report))
    }

    /// Starts to coordinate the group of a report, of ranks like `engine`, with the versions of
    /// `block`.
    pub(crate) fn adopt(
        &mut self,
        block: VersionBlock,
        engine: &EngineSpec,
        report: &wire::RankReport,
    ) {
        let key = group_key(report);
        log::info!(
            service = key.0.as_str(), group = key.1.as_str(), term = block.term,
            block = block.number, ranks = report.size;
            "group coordinated"
        );
        let copies_max = engine.copies_within(self.copy_time);
        self.groups.insert(key, Group::new(engine, block, copies_max));
    }

    /// Records an agent's report on a group that this instance coordinates.
    pub(crate) fn record_report(&mut self, now: Instant, report: &wire::RankReport) {
        if let (Some(group), Some(load)) = (self.groups.get_mut(&group_key(report)), &report.load) {
            group.record_report(now, load, report);
        }
    }

    /// Whether the experts of the rank in a report are known, here or from a report before.
    pub(crate) fn knows_experts(&self, report: &wire::RankReport) -> bool {
        let map = report.load.as_ref().map_or(0, |load| load.map);
        let group = self.groups.get(&group_key(report));
        group.is_some_and(|g| g.ranks.knows_experts(report.rank as usize, map))
    }

    /// Returns the orders for the agent that sent this report, or how long to wait for some.
    pub(crate) fn poll_orders(&mut self, now: Instant, report: &wire::RankReport) -> PollReply {
        let ranks: usize = self.groups.values().map(|g| g.engines.len()).sum();
        let idle_wait =
            (IDLE_POLL_WAIT_PER_RANK * ranks as u32).clamp(PASS_POLL_WAIT, POLL_WAIT_MAX);
        let hold_wait =
            (HOLD_POLL_WAIT_PER_RANK * ranks as u32).clamp(HOLD_POLL_WAIT, POLL_WAIT_MAX);
        match self.groups.get_mut(&group_key(report)) {
            Some(group) => group.poll_orders(now, report.rank as usize, idle_wait, hold_wait),
            None => PollReply::Wait { changed: Event::new().listen(), time: idle_wait },
        }
    }
}

/// Maximum long-poll time per known rank while no map switch is in progress. The wait grows with
/// the number of ranks, so that the coordinator's processor time does not.
const IDLE_POLL_WAIT_PER_RANK: Duration = Duration::from_micros(2800);
/// Maximum long-poll time for any number of ranks: half of the agent's timeout for a reply.
const POLL_WAIT_MAX: Duration = Duration::from_millis(225);
/// Maximum long-poll time while each forward pass should be reported. Forward passes take longer.
const PASS_POLL_WAIT: Duration = Duration::from_millis(45);
/// Maximum long-poll time once copies should be complete and while a forward pass may be held, as
/// orders may have to be repeated.
const HOLD_POLL_WAIT: Duration = Duration::from_millis(25);
/// The same per known rank, since a popularity shift makes all groups switch maps at once.
const HOLD_POLL_WAIT_PER_RANK: Duration = Duration::from_micros(700);

pub(crate) fn group_key(report: &wire::RankReport) -> GroupKey {
    let group = report.load.as_ref().map(|l| l.group.clone()).unwrap_or_default();
    (report.service.clone(), group)
}

impl Group {
    fn new(engine: &EngineSpec, block: VersionBlock, copies_max: usize) -> Self {
        let moves = MoveSettings {
            slots_per_set: engine.expert_slots_per_set,
            copies_per_set_max: engine.new_experts_per_set_max,
            copies_per_rank_max: copies_max,
            gain_min: PLAN_GAIN_MIN,
        };
        let cfg = GroupSettings {
            sets: engine.layer_sets,
            experts: engine.experts_per_set,
            moves,
            plan_interval_min: PLAN_INTERVAL_MIN,
        };
        Self {
            block,
            ranks: RankGroup::new(cfg, block),
            placement: None,
            changed: Event::new(),
            engines: Vec::new(),
            next_number: 0,
            unanswered: HashMap::new(),
            expert_copy_time: engine.expert_copy_time,
            copies_due_at: None,
        }
    }

    fn record_report(&mut self, now: Instant, load: &wire::RankLoad, report: &wire::RankReport) {
        let rank = report.rank as usize;
        let before = (self.ranks.handover().phase(), self.ranks.shifting());
        for result in &report.results {
            let Some((target, order)) = self.unanswered.remove(&result.number) else { continue };
            let outcome = match result.outcome {
                1 => OrderOutcome::Started,
                2 => OrderOutcome::InEffect,
                3 => OrderOutcome::Refused,
                _ => OrderOutcome::NoAnswer,
            };
            self.ranks.handover().record_outcome(now, target, &order, outcome);
        }
        let reading = to_rank_reading(load, report);
        if !reading.is_some_and(|r| self.ranks.report(now, r)) {
            log::warn!(
                group = load.group.as_str(), rank = report.rank, size = report.size,
                agent = report.agent.as_str();
                "impossible report of a rank"
            );
            metrics::counter!("crocustally_odd_entries", "kind" => "rank").increment(1);
            return;
        }
        if self.engines.len() != report.size as usize {
            self.engines = vec![String::new(); report.size as usize];
        }
        if let Some(engine) = self.engines.get_mut(rank) {
            engine.clone_from(&report.address);
        }
        if let Some((version, plan)) = self.ranks.plan(now) {
            log::info!(
                group = load.group.as_str(), epoch = load.epoch, version = version,
                copies = plan.copies, skew_before = plan.skew_before, skew_after = plan.skew_after;
                "map planned"
            );
            metrics::counter!("crocustally_map_plans").increment(1);
            self.copies_due_at = Some(now + self.expert_copy_time * plan.copies_max as u32);
        }
        let after = (self.ranks.handover().phase(), self.ranks.shifting());
        if after.0 != before.0 {
            log_phase_change(load, before.0, after.0);
        }
        if !before.1 && after.1 {
            log::info!(group = load.group.as_str(), step = load.step; "expert popularity shift");
        }
        if after != before {
            self.changed.notify(usize::MAX);
        }
    }

    /// Time for which the long poll of an agent without orders may last.
    fn poll_wait(&mut self, now: Instant, idle_wait: Duration, hold_wait: Duration) -> Duration {
        match self.ranks.handover().phase() {
            HandoverPhase::Gathering | HandoverPhase::Steady => {
                if self.ranks.shifting() {
                    PASS_POLL_WAIT
                } else {
                    idle_wait
                }
            }
            HandoverPhase::Preparing { .. } => {
                let remaining = self.copies_due_at.map(|at| at.saturating_duration_since(now));
                remaining.map_or(idle_wait, |remaining| remaining.clamp(hold_wait, idle_wait))
            }
            _ => hold_wait,
        }
    }

    fn poll_orders(
        &mut self,
        now: Instant,
        rank: usize,
        idle_wait: Duration,
        hold_wait: Duration,
    ) -> PollReply {
        let orders = self.ranks.handover().orders(now, rank);
        if orders.is_empty() {
            return PollReply::Wait {
                changed: self.changed.listen(),
                time: self.poll_wait(now, idle_wait, hold_wait),
            };
        }
        let epoch = self.ranks.handover().epoch();
        let mut out = Vec::new();
        for (target, order) in orders {
            self.next_number += 1;
            let number = self.next_number;
            let address = self.engines.get(target).cloned().unwrap_or_default();
            let mut wire_order = to_wire(number, address, epoch, &order);
            if let RankOrder::Prepare { version, sets } = &order {
                wire_order.placement = self.encoded_placement(*version, sets);
            }
            out.push(wire_order);
            self.unanswered.insert(number, (target, order));
        }
        let oldest = self.next_number.saturating_sub(UNANSWERED_ORDERS_MAX as u64);
        self.unanswered.retain(|number, _| *number > oldest);
        PollReply::Orders(out)
    }
}

impl Group {
    /// The encoded placement of a map, encoded once for all ranks.
    fn encoded_placement(&mut self, version: u64, sets: &[LayerMap]) -> Bytes {
        if let Some((_, encoded)) = self.placement.as_ref().filter(|(v, _)| *v == version) {
            return encoded.clone();
        }
        let placement = wire::Placement { sets: sets.iter().map(set_to_wire).collect() };
        let encoded = Bytes::from(placement.encode_to_vec());
        self.placement = Some((version, encoded.clone()));
        encoded
    }
}

fn log_phase_change(load: &wire::RankLoad, before: HandoverPhase, phase: HandoverPhase) {
    log::info!(
        group = load.group.as_str(), epoch = load.epoch, step = load.step, map = load.map,
        before = format!("{before:?}").as_str(), now = format!("{phase:?}").as_str();
        "map switch"
    );
}

/// Decodes a report; `None` if it names an expert that has no identity.
fn to_rank_reading(load: &wire::RankLoad, report: &wire::RankReport) -> Option<RankReading> {
    let nonzero = |version: u64| (version > 0).then_some(version);
    let id = |e: &u32| u16::try_from(*e).ok().map(ExpertId);
    let ids = |l: &wire::ExpertList| l.experts.iter().map(id).collect::<Option<Vec<ExpertId>>>();
    Some(RankReading {
        status: RankStatus {
            rank: report.rank as usize,
            size: report.size as usize,
            epoch: load.epoch,
            open: load.open,
            step: load.step,
            map: load.map,
            prepared: nonzero(report.prepared),
            armed: nonzero(report.armed).map(|version| (version, report.armed_step)),
            held: report.held,
        },
        selections: (!report.counts.is_empty()).then(|| SelectionCounts {
            from: report.counted_from,
            to: report.counted_to,
            counts: report.counts.clone(),
        }),
        experts: report.experts.iter().map(ids).collect::<Option<_>>()?,
    })
}

fn to_wire(number: u64, address: String, epoch: u64, order: &RankOrder) -> wire::RankOrder {
    let mut out = wire::RankOrder { number, address, epoch, ..wire::RankOrder::default() };
    match order {
        RankOrder::Prepare { version, .. } => (out.kind, out.version) = (1, *version),
        RankOrder::Arm { version, step } => {
            (out.kind, out.version, out.step) = (2, *version, *step);
        }
        RankOrder::Hold { step } => (out.kind, out.step) = (3, *step),
        RankOrder::Go { step } => (out.kind, out.step) = (4, *step),
    }
    out
}

fn set_to_wire(map: &LayerMap) -> wire::SetPlacement {
    wire::SetPlacement {
        experts: map.ranks.iter().flatten().map(|e| u32::from(e.0)).collect(),
        counts: map.ranks.iter().map(|experts| experts.len() as u32).collect(),
    }
}
