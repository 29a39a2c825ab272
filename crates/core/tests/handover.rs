//! Switching all ranks to a new map at the same pass when orders are lost, unanswered or delayed.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use crocustally_core::experts::Handover;
use crocustally_core::experts::HandoverPhase;
use crocustally_core::experts::LayerMap;
use crocustally_core::experts::OrderOutcome;
use crocustally_core::experts::RankOrder;
use crocustally_core::experts::RankStatus;
use crocustally_core::experts::VersionBlock;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RANKS: usize = 6;
const MS: Duration = Duration::from_millis(1);
const COPY_TIME: Duration = Duration::from_millis(400);
const PASS_TIME: Duration = Duration::from_millis(70);

fn block(term: u64) -> VersionBlock {
    VersionBlock { term, number: 0 }
}

/// The engine of one rank.
#[derive(Clone, Debug, Default)]
struct Engine {
    map: u64,
    newest_version: u64,
    copying: Option<(u64, Instant)>,
    prepared: Option<u64>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

/// Ranks in lock-step, with orders that may be delayed.
struct Group {
    now: Instant,
    rng: ChaCha8Rng,
    engines: Vec<Engine>,
    step: u64,
    next_pass: Instant,
    epoch: u64,
    delayed: Vec<(Instant, u64, usize, RankOrder)>,
    loss_rate: f64,
    switches: u64,
    stalled_for: Duration,
}

impl Group {
    fn new(seed: u64, loss_rate: f64) -> Self {
        Self::of_ranks(RANKS, seed, loss_rate)
    }

    fn of_ranks(ranks: usize, seed: u64, loss_rate: f64) -> Self {
        let now = Instant::now();
        Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: vec![Engine::default(); ranks],
            step: 10,
            next_pass: now + PASS_TIME,
            epoch: 1,
            delayed: Vec::new(),
            loss_rate,
            switches: 0,
            stalled_for: Duration::ZERO,
        }
    }

    fn status(&self, rank: usize) -> RankStatus {
        let e = &self.engines[rank];
        RankStatus {
            rank,
            size: self.engines.len(),
            epoch: self.epoch,
            open: true,
            step: self.step,
            map: e.map,
            prepared: e.prepared,
            armed: e.armed,
            held: e.held,
        }
    }

    fn order(&mut self, rank: usize, order: &RankOrder) -> OrderOutcome {
        if self.rng.random_bool(self.loss_rate) {
            let after = MS * self.rng.random_range(2000..12_000);
            self.delayed.push((self.now + after, self.epoch, rank, order.clone()));
            return OrderOutcome::NoAnswer;
        }
        self.execute(rank, order)
    }

    fn execute(&mut self, rank: usize, order: &RankOrder) -> OrderOutcome {
        let (now, step) = (self.now, self.step);
        let e = &mut self.engines[rank];
        match order {
            RankOrder::Prepare { version, .. } => {
                if e.prepared == Some(*version) {
                    return OrderOutcome::InEffect;
                }
                if e.armed.is_some() || *version <= e.newest_version {
                    return OrderOutcome::Refused;
                }
                e.newest_version = *version;
                e.prepared = None;
                e.copying = Some((*version, now + COPY_TIME));
                OrderOutcome::Started
            }
            RankOrder::Arm { version, step: at } => {
                if e.armed == Some((*version, *at)) {
                    return OrderOutcome::InEffect;
                }
                if e.prepared != Some(*version) || *at <= step {
                    return OrderOutcome::Refused;
                }
                e.armed = Some((*version, *at));
                OrderOutcome::InEffect
            }
            RankOrder::Hold { step: at } => {
                if e.held == Some(*at) {
                    return OrderOutcome::InEffect;
                }
                if *at <= step || e.held.is_some() {
                    return OrderOutcome::Refused;
                }
                e.held = Some(*at);
                OrderOutcome::Started
            }
            RankOrder::Go { step: at } => {
                if e.held == Some(*at) {
                    e.held = None;
                }
                OrderOutcome::InEffect
            }
        }
    }

    /// Advances the time; fails the test if a pass starts with different maps.
    fn advance(&mut self, by: Duration) {
        self.now += by;
        let arrived: Vec<_> = self.delayed.extract_if(.., |(at, ..)| *at <= self.now).collect();
        for (_, epoch, rank, order) in arrived {
            if epoch == self.epoch {
                self.execute(rank, &order);
            }
        }
        for e in &mut self.engines {
            if let Some((version, at)) = e.copying
                && at <= self.now
            {
                e.copying = None;
                e.prepared = Some(version);
            }
        }
        if self.now < self.next_pass {
            return;
        }
        let next = self.step + 1;
        if self.engines.iter().any(|e| e.held == Some(next)) {
            self.stalled_for += by;
            return;
        }
        for e in &mut self.engines {
            if let Some((version, at)) = e.armed
                && at == next
            {
                e.map = version;
                e.armed = None;
                self.switches += 1;
            }
        }
        let maps: Vec<u64> = self.engines.iter().map(|e| e.map).collect();
        assert!(
            maps.iter().all(|m| *m == maps[0]),
            "pass {next} starts with different maps: {maps:?}"
        );
        self.step = next;
        self.next_pass = self.now + PASS_TIME;
    }

    /// Simulates the loss and restart of a rank, which starts a new epoch with map 0.
    fn restart_with_new_epoch(&mut self) {
        self.epoch += 1;
        self.engines = vec![Engine::default(); self.engines.len()];
    }
}

fn placement(ranks: usize) -> Vec<LayerMap> {
    vec![LayerMap::spread_round_robin(ranks, 12, 4)]
}

/// Simulates a group for `seconds` with coordinator failovers and agents that stop reporting.
fn simulate(seed: u64, loss_rate: f64, seconds: u64) -> Group {
    simulate_ranks(RANKS, seed, loss_rate, seconds)
}

fn simulate_ranks(ranks: usize, seed: u64, loss_rate: f64, seconds: u64) -> Group {
    let mut g = Group::of_ranks(ranks, seed, loss_rate);
    let mut fault_rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc4a0);
    let mut newest = block(1);
    let mut coordinators = vec![Handover::new(newest)];
    let mut unresponsive_until = vec![g.now; ranks];
    // Index of the coordinator that each agent reports to.
    let mut coordinator_of_agent = vec![0_usize; ranks];
    let end = g.now + Duration::from_secs(seconds);
    while g.now < end {
        g.advance(MS * 10);
        if fault_rng.random_bool(0.001) {
            g.restart_with_new_epoch();
        }
        if fault_rng.random_bool(0.002) {
            // A successor takes over, in a new term or with a new block of the same one; the old one
            // stays active until its agents have switched to the new one.
            newest = if coordinators.len().is_multiple_of(2) {
                VersionBlock { number: newest.number + 1, ..newest }
            } else {
                block(newest.term + 1)
            };
            coordinators.push(Handover::new(newest));
        }
        if fault_rng.random_bool(0.004) {
            let rank = fault_rng.random_range(0..ranks);
            unresponsive_until[rank] = g.now + MS * fault_rng.random_range(200..3000);
        }
        for rank in 0..ranks {
            if g.now < unresponsive_until[rank] {
                continue;
            }
            if fault_rng.random_bool(0.2) {
                coordinator_of_agent[rank] = coordinators.len() - 1;
            }
            let now = g.now;
            let c = &mut coordinators[coordinator_of_agent[rank]];
            c.report(now, g.status(rank));
            if c.phase() == HandoverPhase::Steady && c.map_in_use(now).is_some() {
                c.start_switch(now, placement(ranks));
            }
            for (target, order) in c.orders(now, rank) {
                let outcome = g.order(target, &order);
                coordinators[coordinator_of_agent[rank]]
                    .record_outcome(now, target, &order, outcome);
            }
        }
    }
    g
}

#[test]
fn all_ranks_switch_at_the_same_pass() {
    let g = simulate(1, 0.0, 60);
    assert!(g.switches as usize > 20 * RANKS, "{} switches", g.switches);
}

#[test]
fn delayed_orders_never_mix_maps_in_a_pass() {
    for seed in 0..60 {
        let g = simulate(seed, 0.4, 60);
        assert!(g.switches > 0, "seed {seed}: no switch within a minute");
    }
}

#[test]
fn switches_without_order_loss_rarely_stall_the_group() {
    let g = simulate(7, 0.0, 60);
    assert!(g.stalled_for < Duration::from_secs(3), "stalled for {:?}", g.stalled_for);
}

#[test]
fn successor_completes_a_partly_armed_switch() {
    let mut g = Group::new(3, 0.0);
    let mut first = Handover::new(block(1));
    (0..RANKS).for_each(|r| first.report(g.now, g.status(r)));
    let version = first.start_switch(g.now, placement(RANKS)).unwrap();
    // The first coordinator fails after it has armed half of the ranks.
    while !matches!(first.phase(), HandoverPhase::Arming { .. }) {
        g.advance(MS * 10);
        for rank in 0..RANKS {
            first.report(g.now, g.status(rank));
            if matches!(first.phase(), HandoverPhase::Arming { .. }) {
                break;
            }
            for (target, order) in first.orders(g.now, rank) {
                let outcome = g.order(target, &order);
                first.record_outcome(g.now, target, &order, outcome);
            }
        }
    }
    for rank in 0..RANKS / 2 {
        for (target, order) in first.orders(g.now, rank) {
            g.order(target, &order);
        }
    }
    let mut second = Handover::new(block(2));
    for _ in 0..200 {
        g.advance(MS * 10);
        for rank in 0..RANKS {
            second.report(g.now, g.status(rank));
            for (target, order) in second.orders(g.now, rank) {
                let outcome = g.order(target, &order);
                second.record_outcome(g.now, target, &order, outcome);
            }
        }
    }
    assert!(g.engines.iter().all(|e| e.map == version), "{:?}", g.engines);
    assert_eq!(second.phase(), HandoverPhase::Steady);
}

#[test]
fn held_pass_is_released_when_the_holders_agent_fails() {
    let mut g = Group::new(5, 0.0);
    let mut c = Handover::new(block(1));
    (0..RANKS).for_each(|r| c.report(g.now, g.status(r)));
    c.start_switch(g.now, placement(RANKS));
    let mut held = None;
    for _ in 0..400 {
        g.advance(MS * 10);
        held = held.or_else(|| g.engines.iter().position(|e| e.held.is_some()));
        for rank in (0..RANKS).filter(|r| Some(*r) != held) {
            c.report(g.now, g.status(rank));
            for (target, order) in c.orders(g.now, rank) {
                let outcome = g.order(target, &order);
                c.record_outcome(g.now, target, &order, outcome);
            }
        }
    }
    assert!(held.is_some());
    assert!(g.stalled_for < MS * 600, "stalled for {:?}", g.stalled_for);
}

/// Half of the orders get no answer and are executed late; each of them blocks its agent for 100 ms.
#[test]
fn switches_progress_while_half_of_the_orders_time_out() {
    let mut total = 0;
    for seed in 0..10 {
        let mut g = Group::new(seed, 0.5);
        let mut c = Handover::new(block(1));
        let mut busy_until = [g.now; RANKS];
        let end = g.now + Duration::from_secs(30);
        while g.now < end {
            g.advance(MS * 10);
            for (rank, busy) in busy_until.iter_mut().enumerate() {
                let now = g.now;
                if now < *busy {
                    continue;
                }
                c.report(now, g.status(rank));
                if c.phase() == HandoverPhase::Steady && c.map_in_use(now).is_some() {
                    c.start_switch(now, placement(RANKS));
                }
                for (target, order) in c.orders(now, rank) {
                    let outcome = g.order(target, &order);
                    if outcome == OrderOutcome::NoAnswer {
                        *busy = now + MS * 100;
                    }
                    c.record_outcome(now, target, &order, outcome);
                }
            }
        }
        total += g.switches as usize / RANKS;
    }
    // A switch takes at most 1.5 s on average, including 0.4 s for its copies.
    assert!(total >= 200, "{total} switches in 300 s");
}

/// A group of the target size, with orders that are lost, late and repeated.
#[test]
fn maps_never_mix_in_a_group_of_256_ranks() {
    for seed in 0..3 {
        let g = simulate_ranks(256, seed, 0.05, 20);
        assert!(g.switches > 0, "seed {seed}: no switch in 20 s");
    }
}

/// The agents of a large group report less often than once per pass, since the coordinator's
/// processor time is limited. The group must not wait for a round of their reports at each switch.
#[test]
fn slow_rounds_of_orders_do_not_stall_the_group() {
    const REPORT_INTERVAL: u32 = 12;
    let mut g = Group::of_ranks(64, 11, 0.0);
    let mut c = Handover::new(block(1));
    for tick in 0..6000_u32 {
        g.advance(MS * 10);
        for rank in (0..64).filter(|r| (*r as u32 + tick).is_multiple_of(REPORT_INTERVAL)) {
            let now = g.now;
            c.report(now, g.status(rank));
            if c.phase() == HandoverPhase::Steady && c.map_in_use(now).is_some() {
                c.start_switch(now, placement(64));
            }
            for (target, order) in c.orders(now, rank) {
                let outcome = g.order(target, &order);
                c.record_outcome(now, target, &order, outcome);
            }
        }
    }
    let switches = g.switches / 64;
    let per_switch = g.stalled_for / switches as u32;
    assert!(switches >= 50, "{switches} switches in 60 s");
    assert!(per_switch < PASS_TIME / 2, "{per_switch:?} stalled per switch");
}

#[test]
fn coordinator_gives_up_next_to_versions_of_a_later_block() {
    let mut g = Group::new(1, 0.0);
    let mut c = Handover::new(VersionBlock { term: 2, number: 4 });
    (0..RANKS).for_each(|r| c.report(g.now, g.status(r)));
    assert!(!c.is_superseded());
    let mut later = Handover::new(VersionBlock { term: 2, number: 5 });
    (0..RANKS).for_each(|r| later.report(g.now, g.status(r)));
    g.engines[3].prepared = later.start_switch(g.now, placement(RANKS));
    c.report(g.now, g.status(3));
    assert!(c.is_superseded());
}

/// An agent or two are down in a large group at most times. Their ranks get the orders through other
/// agents, and the maps go on being switched.
#[test]
fn maps_are_switched_while_some_agents_are_silent() {
    const SILENT: [usize; 3] = [0, 17, 40];
    let mut g = Group::of_ranks(64, 13, 0.0);
    let mut c = Handover::new(block(1));
    let mut before = 0;
    for tick in 0..3000_u32 {
        g.advance(MS * 10);
        if tick == 1000 {
            before = g.switches;
        }
        for rank in 0..64 {
            if tick >= 1000 && SILENT.contains(&rank) {
                continue;
            }
            let now = g.now;
            c.report(now, g.status(rank));
            if c.phase() == HandoverPhase::Steady && c.map_in_use(now).is_some() {
                c.start_switch(now, placement(64));
            }
            for (target, order) in c.orders(now, rank) {
                let outcome = g.order(target, &order);
                c.record_outcome(now, target, &order, outcome);
            }
        }
        assert!(!c.has_lost_ranks(g.now), "given up for {} silent agents", SILENT.len());
    }
    // A switch takes 0.4 s for its copies, and twice a relayed order's interval.
    let switches = (g.switches - before) / 64;
    assert!(switches >= 15, "{switches} switches in 20 s with silent agents");
}
