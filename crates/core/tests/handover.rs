//! Switching maps at one pass over engines that lose orders, answer none, or carry them out late.
#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use crocustally_core::experts::Handover;
use crocustally_core::experts::HandoverPhase;
use crocustally_core::experts::LayerMap;
use crocustally_core::experts::OrderOutcome;
use crocustally_core::experts::RankOrder;
use crocustally_core::experts::RankStatus;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RANKS: usize = 6;
const MS: Duration = Duration::from_millis(1);
const COPY: Duration = Duration::from_millis(400);
const PASS: Duration = Duration::from_millis(70);

/// One engine that is a rank.
#[derive(Clone, Debug, Default)]
struct Engine {
    map: u64,
    newest: u64,
    copying: Option<(u64, Instant)>,
    prepared: Option<u64>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

/// Ranks in lock-step, with orders that come late.
struct Group {
    now: Instant,
    rng: ChaCha8Rng,
    engines: Vec<Engine>,
    step: u64,
    next_pass: Instant,
    epoch: u64,
    late: Vec<(Instant, u64, usize, RankOrder)>,
    loss: f64,
    switches: u64,
    held_for: Duration,
}

impl Group {
    fn new(seed: u64, loss: f64) -> Self {
        let now = Instant::now();
        Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: vec![Engine::default(); RANKS],
            step: 10,
            next_pass: now + PASS,
            epoch: 1,
            late: Vec::new(),
            loss,
            switches: 0,
            held_for: Duration::ZERO,
        }
    }

    fn view(&self, rank: usize) -> RankStatus {
        let e = &self.engines[rank];
        RankStatus {
            rank,
            size: RANKS,
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
        if self.rng.random_bool(self.loss) {
            let after = MS * self.rng.random_range(2000..12_000);
            self.late.push((self.now + after, self.epoch, rank, order.clone()));
            return OrderOutcome::NoAnswer;
        }
        self.carry_out(rank, order)
    }

    fn carry_out(&mut self, rank: usize, order: &RankOrder) -> OrderOutcome {
        let (now, step) = (self.now, self.step);
        let e = &mut self.engines[rank];
        match order {
            RankOrder::Prepare { version, .. } => {
                if e.prepared == Some(*version) {
                    return OrderOutcome::InEffect;
                }
                if e.armed.is_some() || *version <= e.newest {
                    return OrderOutcome::Refused;
                }
                e.newest = *version;
                e.prepared = None;
                e.copying = Some((*version, now + COPY));
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

    /// Lets time pass; a pass that begins on two maps fails the test.
    fn advance(&mut self, by: Duration) {
        self.now += by;
        let due: Vec<_> = self.late.extract_if(.., |(at, ..)| *at <= self.now).collect();
        for (_, epoch, rank, order) in due {
            if epoch == self.epoch {
                self.carry_out(rank, &order);
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
            self.held_for += by;
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
        assert!(maps.iter().all(|m| *m == maps[0]), "pass {next} begins on maps {maps:?}");
        self.step = next;
        self.next_pass = self.now + PASS;
    }

    /// A rank is lost and comes back: a new epoch with map 0.
    fn break_up(&mut self) {
        self.epoch += 1;
        self.engines = vec![Engine::default(); RANKS];
    }
}

fn map(ranks: usize) -> Vec<LayerMap> {
    vec![LayerMap::spread_round_robin(ranks, 12, 4)]
}

/// Plays a group for `seconds` under coordinators that are replaced, with agents that fall silent.
fn play(seed: u64, loss: f64, seconds: u64) -> Group {
    let mut g = Group::new(seed, loss);
    let mut chaos = ChaCha8Rng::seed_from_u64(seed ^ 0xc4a0);
    let mut coordinators = vec![Handover::new(1)];
    let mut term = 1;
    let mut silent_until = [g.now; RANKS];
    // Reports on their way to a coordinator, and the coordinator that each agent obeys.
    let mut follows = [0_usize; RANKS];
    let end = g.now + Duration::from_secs(seconds);
    while g.now < end {
        g.advance(MS * 10);
        if chaos.random_bool(0.001) {
            g.break_up();
        }
        if chaos.random_bool(0.002) {
            // A successor takes over; the old one goes on until its agents have turned away.
            term += 1;
            coordinators.push(Handover::new(term));
        }
        if chaos.random_bool(0.004) {
            let rank = chaos.random_range(0..RANKS);
            silent_until[rank] = g.now + MS * chaos.random_range(200..3000);
        }
        for rank in 0..RANKS {
            if g.now < silent_until[rank] {
                continue;
            }
            if chaos.random_bool(0.2) {
                follows[rank] = coordinators.len() - 1;
            }
            let now = g.now;
            let c = &mut coordinators[follows[rank]];
            c.report(now, g.view(rank));
            if c.phase() == HandoverPhase::Steady && c.map_in_use(now).is_some() {
                c.start_switch(now, map(RANKS));
            }
            for (target, order) in c.orders(now, rank) {
                let answered = g.order(target, &order);
                coordinators[follows[rank]].record_outcome(now, target, &order, answered);
            }
        }
    }
    g
}

#[test]
fn all_ranks_switch_at_one_pass() {
    let g = play(1, 0.0, 60);
    assert!(g.switches as usize > 20 * RANKS, "{} switches", g.switches);
}

#[test]
fn no_pass_begins_on_two_maps_while_orders_are_late() {
    for seed in 0..60 {
        let g = play(seed, 0.4, 60);
        assert!(g.switches > 0, "seed {seed}: no switch in a minute");
    }
}

#[test]
fn a_group_is_hardly_held_while_orders_arrive() {
    let g = play(7, 0.0, 60);
    assert!(g.held_for < Duration::from_secs(3), "held for {:?}", g.held_for);
}

#[test]
fn a_successor_completes_the_switch_that_it_finds() {
    let mut g = Group::new(3, 0.0);
    let mut first = Handover::new(1);
    (0..RANKS).for_each(|r| first.report(g.now, g.view(r)));
    let version = first.start_switch(g.now, map(RANKS));
    // The first coordinator arms half of the ranks and is gone.
    while !matches!(first.phase(), HandoverPhase::Arming { .. }) {
        g.advance(MS * 10);
        for rank in 0..RANKS {
            first.report(g.now, g.view(rank));
            if matches!(first.phase(), HandoverPhase::Arming { .. }) {
                break;
            }
            for (target, order) in first.orders(g.now, rank) {
                let answered = g.order(target, &order);
                first.record_outcome(g.now, target, &order, answered);
            }
        }
    }
    for rank in 0..RANKS / 2 {
        for (target, order) in first.orders(g.now, rank) {
            g.order(target, &order);
        }
    }
    let mut second = Handover::new(2);
    for _ in 0..200 {
        g.advance(MS * 10);
        for rank in 0..RANKS {
            second.report(g.now, g.view(rank));
            for (target, order) in second.orders(g.now, rank) {
                let answered = g.order(target, &order);
                second.record_outcome(g.now, target, &order, answered);
            }
        }
    }
    assert!(g.engines.iter().all(|e| e.map == version), "{:?}", g.engines);
    assert_eq!(second.phase(), HandoverPhase::Steady);
}

#[test]
fn a_held_pass_goes_on_when_its_holders_agent_is_gone() {
    let mut g = Group::new(5, 0.0);
    let mut c = Handover::new(1);
    (0..RANKS).for_each(|r| c.report(g.now, g.view(r)));
    c.start_switch(g.now, map(RANKS));
    let mut held = None;
    for _ in 0..400 {
        g.advance(MS * 10);
        held = held.or_else(|| g.engines.iter().position(|e| e.held.is_some()));
        for rank in (0..RANKS).filter(|r| Some(*r) != held) {
            c.report(g.now, g.view(rank));
            for (target, order) in c.orders(g.now, rank) {
                let answered = g.order(target, &order);
                c.record_outcome(g.now, target, &order, answered);
            }
        }
    }
    assert!(held.is_some());
    assert!(g.held_for < MS * 600, "held for {:?}", g.held_for);
}

/// Half of the orders get no answer and come late; an agent waits 100 ms for each answer.
#[test]
fn switches_go_on_while_half_of_the_orders_get_no_answer() {
    let mut total = 0;
    for seed in 0..10 {
        let mut g = Group::new(seed, 0.5);
        let mut c = Handover::new(1);
        let mut busy_until = [g.now; RANKS];
        let end = g.now + Duration::from_secs(30);
        while g.now < end {
            g.advance(MS * 10);
            for (rank, busy) in busy_until.iter_mut().enumerate() {
                let now = g.now;
                if now < *busy {
                    continue;
                }
                c.report(now, g.view(rank));
                if c.phase() == HandoverPhase::Steady && c.map_in_use(now).is_some() {
                    c.start_switch(now, map(RANKS));
                }
                for (target, order) in c.orders(now, rank) {
                    let answered = g.order(target, &order);
                    if answered == OrderOutcome::NoAnswer {
                        *busy = now + MS * 100;
                    }
                    c.record_outcome(now, target, &order, answered);
                }
            }
        }
        total += g.switches as usize / RANKS;
    }
    // A switch takes 1.5 s at most on the mean, of which its copies take 0.4.
    assert!(total >= 200, "{total} switches in 300 s");
}
