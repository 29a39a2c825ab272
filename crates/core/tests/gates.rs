//! Switching expert maps: no step runs with different maps when messages are lost or delayed, gates
//! restart, or two coordinators are active.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use crocustally_core::experts::Coordinator;
use crocustally_core::experts::FencingToken;
use crocustally_core::experts::Gate;
use crocustally_core::experts::GateState;
use crocustally_core::experts::Order;
use crocustally_core::experts::Phase;
use crocustally_core::experts::RankId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RANKS: usize = 6;

enum Message {
    Order { coordinator: usize, token: FencingToken, order: Order },
    Reply { coordinator: usize, order: Order, state: GateState },
}

/// Ranks in lock-step, their gates, and up to two active coordinators; time is counted in ticks.
struct Group {
    rng: ChaCha8Rng,
    now: u64,
    gates: Vec<Option<Gate>>,
    /// Last finished step of each engine and the map it used.
    engines: Vec<(u64, u64)>,
    /// Map of each step, as used by the first rank that started it.
    steps: BTreeMap<u64, u64>,
    coordinators: Vec<Option<Coordinator>>,
    in_flight: BTreeMap<(u64, u64), (usize, Message)>,
    sent: u64,
    fence: u64,
    incarnation: u64,
    loss_rate: f64,
    /// Time at which the weights of each map are loaded, per rank.
    loaded_at: Vec<BTreeMap<u64, u64>>,
    stalled: u64,
}

impl Group {
    fn new(seed: u64, loss_rate: f64) -> Self {
        let mut g = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            gates: (0..RANKS).map(|_| Some(Gate::new(1, 0, 1))).collect(),
            engines: vec![(0, 1); RANKS],
            steps: BTreeMap::new(),
            coordinators: vec![None, None],
            in_flight: BTreeMap::new(),
            sent: 0,
            fence: 0,
            incarnation: 1,
            loss_rate,
            loaded_at: vec![BTreeMap::new(); RANKS],
            stalled: 0,
        };
        g.start_coordinator(0);
        g
    }

    /// Starts a coordinator with the next fencing number.
    fn start_coordinator(&mut self, i: usize) {
        self.fence += 1;
        self.coordinators[i] = Some(Coordinator::new(self.fence, RANKS));
    }

    fn send(&mut self, rank: usize, message: Message) {
        if self.rng.random_bool(self.loss_rate) {
            return;
        }
        let slow = self.loss_rate > 0.0 && self.rng.random_bool(0.1);
        let delay = if slow { self.rng.random_range(1..60) } else { 1 };
        self.sent += 1;
        self.in_flight.insert((self.now + delay, self.sent), (rank, message));
    }

    fn tick(&mut self) {
        self.now += 1;
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let (rank, message) = first.remove();
            self.deliver(rank, message);
        }
        for c in 0..self.coordinators.len() {
            let Some(coord) = &self.coordinators[c] else { continue };
            for (rank, token, order) in coord.pending_orders() {
                self.send(rank.0 as usize, Message::Order { coordinator: c, token, order });
            }
        }
        self.step_ranks();
    }

    fn deliver(&mut self, rank: usize, message: Message) {
        match message {
            Message::Order { coordinator, token, order } => {
                let now = self.now;
                let Some(gate) = &mut self.gates[rank] else { return };
                if let Order::Stage { version } = order {
                    let ready = *self.loaded_at[rank].entry(version).or_insert(now + 5);
                    if now >= ready {
                        gate.mark_staged(version);
                    }
                }
                let state = gate.handle_order(token, order);
                self.send(rank, Message::Reply { coordinator, order, state });
            }
            Message::Reply { coordinator, order, state } => {
                if let Some(coord) = &mut self.coordinators[coordinator] {
                    coord.handle_reply(RankId(rank as u16), order, state);
                }
            }
        }
    }

    /// Starts the next step on each rank whose gate admits it, once all ranks have finished the
    /// previous step.
    fn step_ranks(&mut self) {
        let finished = self.engines.iter().map(|e| e.0).min().unwrap();
        for r in 0..RANKS {
            if self.engines[r].0 > finished || self.rng.random_bool(0.2) {
                continue;
            }
            let step = self.engines[r].0 + 1;
            let Some(gate) = &mut self.gates[r] else { continue };
            let Some(version) = gate.try_start_step(step) else {
                self.stalled += 1;
                continue;
            };
            assert!(version >= self.engines[r].1, "rank {r} returned to older map {version}");
            let first = *self.steps.entry(step).or_insert(version);
            assert_eq!(first, version, "step {step} ran on maps {first} and {version}");
            self.engines[r] = (step, version);
        }
    }

    /// Restarts the agent of a rank, which loses its accepted orders; the engine keeps running.
    fn restart_gate(&mut self, r: usize) {
        let (step, version) = self.engines[r];
        self.incarnation += 1;
        self.gates[r] = Some(Gate::new(self.incarnation, step, version));
    }

    fn last_step(&self) -> u64 {
        self.engines.iter().map(|e| e.0).min().unwrap()
    }

    fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> bool {
        let until = self.now + limit;
        while self.now < until && !done(self) {
            self.tick();
        }
        done(self)
    }

    fn request_switch(&mut self, version: u64) {
        for coord in self.coordinators.iter_mut().flatten() {
            coord.request_switch(version);
        }
    }

    fn all_ranks_use(&self, version: u64) -> bool {
        self.engines.iter().all(|e| e.1 == version)
    }
}

#[test]
fn switch_without_faults_never_stalls_a_step() {
    let mut g = Group::new(1, 0.0);
    assert!(g.run_until(100, |g| g.last_step() > 10));
    let stalled = g.stalled;
    for version in 2..20 {
        g.request_switch(version);
        assert!(g.run_until(500, |g| g.all_ranks_use(version)), "map {version}");
    }
    assert_eq!(g.stalled, stalled, "ranks were stalled by a switch");
}

#[test]
fn successor_completes_a_partly_released_switch() {
    for cut_at in 0..40 {
        let mut g = Group::new(cut_at, 0.0);
        assert!(g.run_until(200, |g| g.last_step() > 10));
        g.request_switch(2);
        for _ in 0..cut_at {
            g.tick();
        }
        // The coordinator fails with messages in flight; half of them are lost.
        g.coordinators[0] = None;
        let in_flight_keys: Vec<(u64, u64)> = g.in_flight.keys().copied().collect();
        for k in in_flight_keys {
            if g.rng.random_bool(0.5) {
                g.in_flight.remove(&k);
            }
        }
        for _ in 0..30 {
            g.tick();
        }
        g.start_coordinator(1);
        let before = g.last_step();
        assert!(g.run_until(300, |g| g.last_step() > before + 20), "cut at {cut_at}");
        g.request_switch(3);
        assert!(g.run_until(500, |g| g.all_ranks_use(3)), "cut at {cut_at}");
    }
}

#[test]
fn faults_never_mix_maps_and_switches_resume_after_recovery() {
    let runs: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(1000);
    for seed in 0..runs {
        let mut g = Group::new(seed, 0.15);
        let mut version = 1;
        for _ in 0..40 {
            match g.rng.random_range(0..8) {
                0 => {
                    let r = g.rng.random_range(0..RANKS);
                    g.restart_gate(r);
                }
                1 => {
                    let c = g.rng.random_range(0..2);
                    g.start_coordinator(c);
                }
                2 => {
                    let c = g.rng.random_range(0..2);
                    g.coordinators[c] = None;
                }
                3 => {
                    let r = g.rng.random_range(0..RANKS);
                    g.gates[r] = None;
                    for _ in 0..20 {
                        g.tick();
                    }
                    g.restart_gate(r);
                }
                _ => {
                    version += 1;
                    g.request_switch(version);
                }
            }
            for _ in 0..g.rng.random_range(1..40) {
                g.tick();
            }
        }
        g.loss_rate = 0.0;
        g.coordinators[1] = None;
        g.start_coordinator(0);
        let steady = |g: &Group| g.coordinators[0].as_ref().unwrap().phase() == Phase::Steady;
        let done = g.run_until(500, steady);
        let states: Vec<_> = g.gates.iter().map(|x| x.as_ref().unwrap().state()).collect();
        assert!(done, "seed {seed}: not steady: {:?} {states:?}", g.coordinators[0]);
        version += 1;
        g.request_switch(version);
        assert!(
            g.run_until(500, |g| g.all_ranks_use(version)),
            "seed {seed}: not all ranks use map {version}"
        );
    }
}
