//! Switching expert maps: no step on two maps, whatever is lost, frozen or doubled.
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

enum Word {
    Order { coordinator: usize, stamp: FencingToken, order: Order },
    Reply { coordinator: usize, order: Order, state: GateState },
}

/// Ranks in lock-step, their gates, and up to two coordinators at once; time in ticks.
struct Group {
    rng: ChaCha8Rng,
    now: u64,
    gates: Vec<Option<Gate>>,
    /// Last step finished, and the map used, at each rank's engine.
    engines: Vec<(u64, u64)>,
    /// Map of each step, by the first rank that started it.
    steps: BTreeMap<u64, u64>,
    coordinators: Vec<Option<Coordinator>>,
    flying: BTreeMap<(u64, u64), (usize, Word)>,
    sent: u64,
    fence: u64,
    incarnation: u64,
    loss: f64,
    /// Maps whose weights each rank has.
    loaded: Vec<BTreeMap<u64, u64>>,
    paused: u64,
}

impl Group {
    fn new(seed: u64, loss: f64) -> Self {
        let mut g = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            gates: (0..RANKS).map(|_| Some(Gate::new(1, 0, 1))).collect(),
            engines: vec![(0, 1); RANKS],
            steps: BTreeMap::new(),
            coordinators: vec![None, None],
            flying: BTreeMap::new(),
            sent: 0,
            fence: 0,
            incarnation: 1,
            loss,
            loaded: vec![BTreeMap::new(); RANKS],
            paused: 0,
        };
        g.elect(0);
        g
    }

    /// Starts a coordinator under the next number.
    fn elect(&mut self, i: usize) {
        self.fence += 1;
        self.coordinators[i] = Some(Coordinator::new(self.fence, RANKS));
    }

    fn send(&mut self, rank: usize, word: Word) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let slow = self.loss > 0.0 && self.rng.random_bool(0.1);
        let delay = if slow { self.rng.random_range(1..60) } else { 1 };
        self.sent += 1;
        self.flying.insert((self.now + delay, self.sent), (rank, word));
    }

    fn tick(&mut self) {
        self.now += 1;
        while let Some(first) = self.flying.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let (rank, word) = first.remove();
            self.deliver(rank, word);
        }
        for c in 0..self.coordinators.len() {
            let Some(co) = &self.coordinators[c] else { continue };
            for (rank, stamp, order) in co.tick() {
                self.send(rank.0 as usize, Word::Order { coordinator: c, stamp, order });
            }
        }
        self.step_ranks();
    }

    fn deliver(&mut self, rank: usize, word: Word) {
        match word {
            Word::Order { coordinator, stamp, order } => {
                let now = self.now;
                let Some(gate) = &mut self.gates[rank] else { return };
                if let Order::Stage { version } = order {
                    let ready = *self.loaded[rank].entry(version).or_insert(now + 5);
                    if now >= ready {
                        gate.mark_staged(version);
                    }
                }
                let state = gate.handle_order(stamp, order);
                self.send(rank, Word::Reply { coordinator, order, state });
            }
            Word::Reply { coordinator, order, state } => {
                if let Some(co) = &mut self.coordinators[coordinator] {
                    co.handle_reply(RankId(rank as u16), order, state);
                }
            }
        }
    }

    /// A rank starts a step once all have finished the one before, and its gate lets it.
    fn step_ranks(&mut self) {
        let all = self.engines.iter().map(|e| e.0).min().unwrap();
        for r in 0..RANKS {
            if self.engines[r].0 > all || self.rng.random_bool(0.2) {
                continue;
            }
            let step = self.engines[r].0 + 1;
            let Some(gate) = &mut self.gates[r] else { continue };
            let Some(version) = gate.try_start_step(step) else {
                self.paused += 1;
                continue;
            };
            assert!(version >= self.engines[r].1, "rank {r} went back to map {version}");
            let first = *self.steps.entry(step).or_insert(version);
            assert_eq!(first, version, "step {step} ran on maps {first} and {version}");
            self.engines[r] = (step, version);
        }
    }

    /// The agent beside a rank restarts and forgets what it promised; the engine goes on.
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

    fn want(&mut self, version: u64) {
        for co in self.coordinators.iter_mut().flatten() {
            co.request_switch(version);
        }
    }

    fn all_use(&self, version: u64) -> bool {
        self.engines.iter().all(|e| e.1 == version)
    }
}

#[test]
fn a_switch_without_faults_pauses_no_step() {
    let mut g = Group::new(1, 0.0);
    assert!(g.run_until(100, |g| g.last_step() > 10));
    let paused = g.paused;
    for version in 2..20 {
        g.want(version);
        assert!(g.run_until(500, |g| g.all_use(version)), "map {version}");
    }
    assert_eq!(g.paused, paused, "ranks waited for a switch");
}

#[test]
fn a_successor_completes_what_one_rank_was_released_for() {
    for cut_at in 0..40 {
        let mut g = Group::new(cut_at, 0.0);
        assert!(g.run_until(200, |g| g.last_step() > 10));
        g.want(2);
        for _ in 0..cut_at {
            g.tick();
        }
        // The coordinator dies with its words still flying; some reach their ranks, some do not.
        g.coordinators[0] = None;
        let words: Vec<(u64, u64)> = g.flying.keys().copied().collect();
        for k in words {
            if g.rng.random_bool(0.5) {
                g.flying.remove(&k);
            }
        }
        for _ in 0..30 {
            g.tick();
        }
        g.elect(1);
        let before = g.last_step();
        assert!(g.run_until(300, |g| g.last_step() > before + 20), "cut at {cut_at}");
        g.want(3);
        assert!(g.run_until(500, |g| g.all_use(3)), "cut at {cut_at}");
    }
}

#[test]
fn seeded_runs_never_mix_maps_and_go_on_after_healing() {
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
                    g.elect(c);
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
                    g.want(version);
                }
            }
            for _ in 0..g.rng.random_range(1..40) {
                g.tick();
            }
        }
        g.loss = 0.0;
        g.coordinators[1] = None;
        g.elect(0);
        let steady = |g: &Group| g.coordinators[0].as_ref().unwrap().phase() == Phase::Steady;
        let done = g.run_until(500, steady);
        let states: Vec<_> = g.gates.iter().map(|x| x.as_ref().unwrap().state()).collect();
        assert!(done, "seed {seed}: not steady: {:?} {states:?}", g.coordinators[0]);
        version += 1;
        g.want(version);
        assert!(g.run_until(500, |g| g.all_use(version)), "seed {seed}: stuck");
    }
}
