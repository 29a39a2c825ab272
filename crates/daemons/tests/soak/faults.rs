//! Faults from outside, drawn from a seed, in series and overlapping.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::deployment::CONTROLS;
use crate::deployment::Deployment;
use crate::deployment::Kind;
use crate::runner::Behaviour;

/// How long a process is frozen or down, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 100..2500;
/// How long a relay or runner misbehaves, in milliseconds.
const BAD_MS: std::ops::Range<u64> = 200..2000;
/// Time until another control instance may lose its disk: a successor has learned everything.
const DISK_PAUSE: Duration = Duration::from_secs(12);
/// Longest time for a planned stop to end: the time that it leaves for open requests, and some.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// What is to be undone.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Undo {
    Thaw(usize),
    Start(usize),
    Relay(usize),
    Runner(usize),
}

/// A process that has been told to stop.
#[derive(Clone, Copy, Debug)]
struct Stopping {
    process: usize,
    since: Instant,
}

/// The faults of one run.
pub struct Faults {
    rng: ChaCha8Rng,
    undo: Vec<(Instant, Undo)>,
    stopping: Vec<Stopping>,
    disk_lost: Option<Instant>,
    births: usize,
    /// Everything that was done, for the report of a failure.
    pub done: Vec<(Instant, String)>,
    pub problems: Vec<String>,
}

impl Faults {
    pub fn new(rng: ChaCha8Rng) -> Self {
        let (undo, stopping, done, problems) = Default::default();
        Self { rng, undo, stopping, disk_lost: None, births: 0, done, problems }
    }

    /// Begins one fault.
    pub fn begin(&mut self, d: &mut Deployment) {
        let process = self.rng.random_range(0..d.processes.len());
        let relay = self.rng.random_range(0..d.relays.len());
        let away = Duration::from_millis(self.rng.random_range(AWAY_MS));
        let bad = Duration::from_millis(self.rng.random_range(BAD_MS));
        let now = Instant::now();
        let what = match self.rng.random_range(0..11) {
            0 | 1 if self.is_up(process) => self.kill(d, process, away),
            2 if self.is_up(process) => {
                d.signal(process, Signal::STOP);
                self.undo.push((now + away, Undo::Thaw(process)));
                format!("freeze {process}")
            }
            3 if self.is_up(process) => {
                d.signal(process, Signal::TERM);
                self.stopping.push(Stopping { process, since: now });
                format!("stop {process}")
            }
            4 if self.is_up(process) => {
                d.signal(process, Signal::HUP);
                format!("reload {process}")
            }
            5 => {
                d.relays[relay].set_delay(bad / 4);
                self.undo.push((now + bad, Undo::Relay(relay)));
                format!("delay {relay}")
            }
            6 => {
                d.relays[relay].reset_existing();
                format!("reset {relay}")
            }
            7 => {
                let both = self.rng.random_bool(0.5);
                let one = self.rng.random_bool(0.5);
                d.relays[relay].stall_existing(both || one, both || !one);
                format!("silence {relay}")
            }
            8 | 9 => {
                let behaviour = match self.rng.random_range(0..5) {
                    0 => Behaviour::Refuse,
                    1 => Behaviour::Break(self.rng.random_range(0..5)),
                    2 => Behaviour::WrongId,
                    3 => Behaviour::Fail,
                    _ => Behaviour::Mute,
                };
                d.runners[relay].set_behaviour(behaviour);
                self.undo.push((now + bad, Undo::Runner(relay)));
                format!("runner {relay} {behaviour:?}")
            }
            10 => {
                self.births += 1;
                d.runners[relay].restart_as(format!("i-{relay}-{}", self.births));
                d.relays[relay].reset_existing();
                format!("runner {relay} reborn")
            }
            _ => return,
        };
        self.done.push((now, what));
    }

    fn kill(&mut self, d: &mut Deployment, process: usize, away: Duration) -> String {
        let now = Instant::now();
        d.kill(process);
        self.undo.push((now + away, Undo::Start(process)));
        // A disk is lost only while all other control instances are well.
        let control = d.processes[process].kind == Kind::Control;
        let others_up = (0..CONTROLS).all(|i| i == process || self.is_up(i));
        let rested = self.disk_lost.is_none_or(|at| now > at + DISK_PAUSE);
        if control && others_up && rested && self.rng.random_bool(0.3) {
            d.lose_disk(process);
            self.disk_lost = Some(now);
            return format!("kill {process} and lose its disk");
        }
        format!("kill {process}")
    }

    /// Whether a process runs, is not frozen and was not told to stop.
    fn is_up(&self, process: usize) -> bool {
        let away =
            |(_, u): &(Instant, Undo)| matches!(u, Undo::Thaw(p) | Undo::Start(p) if *p == process);
        !self.undo.iter().any(away) && !self.stopping.iter().any(|s| s.process == process)
    }

    /// Undoes what is over, and looks for processes that have ended.
    pub fn tick(&mut self, d: &mut Deployment) {
        let now = Instant::now();
        let due: Vec<_> = self.undo.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, undo) in due {
            self.done.push((now, format!("{undo:?}")));
            match undo {
                Undo::Thaw(p) => d.signal(p, Signal::CONT),
                Undo::Start(p) => d.spawn(p, false),
                Undo::Relay(r) => d.relays[r].set_delay(Duration::ZERO),
                Undo::Runner(r) => d.runners[r].set_behaviour(Behaviour::Serve),
            }
        }
        for i in 0..d.processes.len() {
            let stopping = self.stopping.iter().position(|s| s.process == i);
            match (d.ended(i), stopping) {
                (Some(status), None) => {
                    self.problems
                        .push(format!("{} ended by itself: {status}", d.processes[i].name));
                    d.spawn(i, false);
                }
                (Some(status), Some(s)) => {
                    if status != "exit status: 0" {
                        let name = &d.processes[i].name;
                        self.problems.push(format!("{name} did not stop as planned: {status}"));
                    }
                    self.stopping.remove(s);
                    self.done.push((now, format!("stopped {i}")));
                    d.spawn(i, false);
                }
                (None, Some(s)) if now > self.stopping[s].since + STOP_LIMIT => {
                    self.problems.push(format!("{} does not stop", d.processes[i].name));
                    self.stopping.remove(s);
                    d.kill(i);
                    d.spawn(i, false);
                }
                (None, _) => {}
            }
        }
    }

    /// Whether everything is undone.
    pub fn is_over(&self) -> bool {
        self.undo.is_empty() && self.stopping.is_empty()
    }
}
