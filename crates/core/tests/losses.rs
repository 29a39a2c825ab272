//! A seeded model of instances that are lost one after the other, each as soon as the deployment
//! bears another loss.
#![allow(clippy::unwrap_used, dead_code)]

mod cluster;

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cluster::Cluster;
use crocustally_core::control::Ticket;
use crocustally_wire::Command;
use crocustally_wire::command::Kind;
use prost::Message;
use rand::RngExt;

const SECOND: Duration = Duration::from_secs(1);
/// Time within which the group has a leader again, `recovery-s` of the smallest deployments.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Instances, voters, losses borne at once and catch-up time in seconds of the deployments.
const SIZES: [(usize, usize, usize, u64); 5] =
    [(3, 3, 1, 4), (6, 5, 2, 6), (5, 5, 2, 6), (8, 5, 2, 6), (9, 5, 2, 4)];
/// Number of losses in a run.
const LOSSES: usize = 8;

/// How an instance is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It is gone for good; an empty instance with another name comes later.
    Replaced,
    /// The same, but the new instance comes first.
    PlannedReplacement,
    /// It comes back under its name with an empty disk.
    DiskLost,
    /// It is down and comes back with its disk.
    Down,
    /// It does nothing for a time.
    Frozen,
    /// It reaches no other instance for a time.
    CutOff,
}

/// Something that is due at a later time.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start(usize),
    Remove(usize),
    Thaw(usize),
    Join(usize),
}

struct Run {
    c: Cluster,
    losses: usize,
    catch_up: Duration,
    steps: VecDeque<(Instant, Step)>,
    /// Instances that count as lost, and when they stop counting.
    counted: Vec<(usize, Instant)>,
    started_at: Instant,
    commands: u64,
    events: Vec<String>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let (instances, voters, losses, catch_up_s) = SIZES[seed as usize % SIZES.len()];
        let catch_up = Duration::from_secs(catch_up_s);
        let mut c = Cluster::with_size(seed, instances, voters, catch_up);
        assert!(c.run_until(5 * SECOND, |c| c.leader().is_some() && c.all_caught_up()));
        c.run(2 * SECOND);
        let (steps, counted, events) = Default::default();
        let started_at = c.now;
        Self { c, losses, catch_up, steps, counted, started_at, commands: 0, events }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.c.rng.random_range(range))
    }

    fn event(&mut self, text: String) {
        let at = (self.c.now - self.started_at).as_secs_f64();
        self.events.push(format!("{at:.2} s {text}"));
    }

    /// Runs until `deadline`, carries out the steps that fall due and sends commands.
    fn run_to(&mut self, deadline: Instant) {
        while self.c.now < deadline {
            let now = self.c.now;
            let due: Vec<Step> =
                self.steps.iter().filter(|(at, _)| *at <= now).map(|(_, s)| *s).collect();
            self.steps.retain(|(at, _)| *at > now);
            for step in due {
                self.event(format!("{step:?}"));
                match step {
                    Step::Start(i) => self.c.start(i),
                    Step::Remove(i) => self.c.kill(i),
                    Step::Thaw(i) => self.c.frozen.retain(|f| *f != i),
                    Step::Join(i) => self.c.partitioned.retain(|p| *p != i),
                }
            }
            self.propose();
            self.c.run(Duration::from_millis(100));
        }
        let now = self.c.now;
        self.counted.retain(|(_, until)| *until > now);
    }

    fn propose(&mut self) -> bool {
        self.commands += 1;
        let yaml = format!("number: {0}\ndomains: [{{name: d{0}}}]\n", self.commands);
        let body = Ticket::from_yaml(&yaml).unwrap().to_json().into();
        let kind = Some(Kind::Ticket(crocustally_wire::Ticket { body }));
        let command: Bytes = Command { kind }.encode_to_vec().into();
        let Some(leader) = self.c.leader() else { return false };
        self.c.propose(leader, command)
    }

    /// An instance that runs and does not count as lost.
    fn draw_target(&mut self) -> Option<usize> {
        let counted: Vec<usize> = self.counted.iter().map(|(i, _)| *i).collect();
        let usable = |i: &usize| self.c.replica(*i).is_some() && !counted.contains(i);
        let candidates: Vec<usize> = (0..self.c.instances()).filter(usable).collect();
        let leader = self.c.leader().filter(|l| candidates.contains(l));
        let drawn = self.c.rng.random_range(0..candidates.len());
        match self.c.rng.random_range(0..4) {
            0 | 1 if leader.is_some() => leader,
            2 => candidates.last().copied(),
            _ => candidates.get(drawn).copied(),
        }
    }

    fn lose(&mut self) {
        let Some(i) = self.draw_target() else { return };
        let loss = match self.c.rng.random_range(0..10) {
            0..4 => Loss::Replaced,
            4 => Loss::PlannedReplacement,
            5 | 6 => Loss::DiskLost,
            7 => Loss::Down,
            8 => Loss::Frozen,
            _ => Loss::CutOff,
        };
        self.event(format!("{loss:?} {i}"));
        let (boot, short, long) =
            (self.millis(200..900), self.millis(200..2000), self.millis(200..8000));
        let now = self.c.now;
        let back_at = match loss {
            Loss::Replaced => {
                self.c.kill(i);
                let new = self.c.add_instance();
                self.steps.push_back((now + short + boot, Step::Start(new)));
                now + short
            }
            Loss::PlannedReplacement => {
                let new = self.c.add_instance();
                self.steps.push_back((now + boot, Step::Start(new)));
                self.steps.push_back((now + short, Step::Remove(i)));
                now + short
            }
            Loss::DiskLost => {
                self.c.lose_disk(i);
                self.steps.push_back((now + short + boot, Step::Start(i)));
                now + short
            }
            Loss::Down => {
                self.c.kill(i);
                self.steps.push_back((now + long + boot, Step::Start(i)));
                now + long
            }
            Loss::Frozen => {
                self.c.frozen.push(i);
                self.steps.push_back((now + long, Step::Thaw(i)));
                now + long
            }
            Loss::CutOff => {
                self.c.partitioned.push(i);
                self.steps.push_back((now + long, Step::Join(i)));
                now + long
            }
        };
        self.counted.push((i, back_at + self.catch_up));
    }

    /// Loses as many disks as the deployment bears at the same moment, while all others lose power.
    fn lose_power(&mut self) {
        let running: Vec<usize> =
            (0..self.c.instances()).filter(|i| self.c.replica(*i).is_some()).collect();
        let first = self.c.rng.random_range(0..running.len());
        let down = self.millis(300..1500);
        for (n, i) in running.iter().cycle().skip(first).take(running.len()).enumerate() {
            if n < self.losses {
                self.event(format!("power and disk of {i}"));
                self.c.lose_disk(*i);
            } else {
                self.c.kill(*i);
            }
            self.steps.push_back((self.c.now + down, Step::Start(*i)));
        }
        self.run_to(self.c.now + down);
    }

    fn check_recovered(&mut self, seed: u64) {
        self.run_to(self.c.now + RECOVERY_TIME);
        let acknowledged = self.c.acknowledged.len();
        self.propose();
        let committed = self.c.run_until(SECOND, |c| c.acknowledged.len() > acknowledged);
        assert!(
            committed,
            "seed {seed}: nothing is committed {RECOVERY_TIME:?} after the last loss\n{}",
            self.events.join("\n")
        );
        self.c.check_acknowledged();
    }
}

fn run(seed: u64) {
    let mut run = Run::new(seed);
    for _ in 0..LOSSES {
        while run.counted.len() >= run.losses {
            let next = run.counted.iter().map(|(_, until)| *until).min().unwrap();
            run.run_to(next);
        }
        let pause = run.millis(0..500);
        run.run_to(run.c.now + pause);
        run.lose();
    }
    if seed.is_multiple_of(2) {
        while let Some((_, until)) = run.counted.iter().max_by_key(|(_, until)| *until).copied() {
            run.run_to(until + Duration::from_millis(100));
        }
        run.event("power".to_owned());
        run.lose_power();
    }
    run.check_recovered(seed);
}

/// Guards against voters that are lost for good and replaced so late that the next loss, which the
/// deployment bears, leaves no quorum.
#[test]
fn losses_within_the_stated_bounds_leave_a_leader_and_all_that_was_acknowledged() {
    let runs: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(60);
    let first: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    let failed: Vec<u64> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|t| {
                let seeds = (first..first + runs).filter(move |s| s % 4 == t);
                let fails = |seed: &u64| std::panic::catch_unwind(|| run(*seed)).is_err();
                scope.spawn(move || seeds.filter(fails).collect::<Vec<u64>>())
            })
            .collect();
        threads.into_iter().flat_map(|t| t.join().unwrap()).collect()
    });
    assert!(failed.is_empty(), "{} of {runs} seeds failed: {failed:?}", failed.len());
}
