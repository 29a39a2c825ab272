//! Fault injection: process, network and runner faults from a seeded generator, which may overlap.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::deployment::CONTROLS;
use crate::deployment::Deployment;
use crate::deployment::Kind;
use crate::runner::Behaviour;

/// Duration for which a process is frozen or down, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 100..2500;
/// Duration of a fault of a relay or runner, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..2000;
/// Minimum time between two disk losses: the replacement replica must have caught up by then.
const DISK_LOSS_INTERVAL_MIN: Duration = Duration::from_secs(12);
/// Timeout of a graceful shutdown: the time for open requests plus a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// The action that ends a fault; the value is the index of the process, relay or runner.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Undo {
    /// Resumes a frozen process.
    Thaw(usize),
    /// Starts a killed process.
    Start(usize),
    /// Ends the delay of a relay.
    Relay(usize),
    /// Restores the normal behaviour of a runner.
    Runner(usize),
}

/// A process that was sent SIGTERM.
#[derive(Clone, Copy, Debug)]
struct Stopping {
    process: usize,
    since: Instant,
}

/// Injects the faults of one soak run and tracks when they end.
pub struct Faults {
    rng: ChaCha8Rng,
    undo: Vec<(Instant, Undo)>,
    stopping: Vec<Stopping>,
    last_disk_loss: Option<Instant>,
    runner_restarts: usize,
    /// All faults and their ends, for the report of a failure.
    pub events: Vec<(Instant, String)>,
    pub violations: Vec<String>,
}

impl Faults {
    pub fn new(rng: ChaCha8Rng) -> Self {
        let (undo, stopping, events, violations) = Default::default();
        Self { rng, undo, stopping, last_disk_loss: None, runner_restarts: 0, events, violations }
    }

    /// Injects one random fault; none if it applies to a process that is not up.
    pub fn inject(&mut self, d: &mut Deployment) {
        let process = self.rng.random_range(0..d.processes.len());
        let relay = self.rng.random_range(0..d.relays.len());
        let outage = Duration::from_millis(self.rng.random_range(OUTAGE_MS));
        let duration = Duration::from_millis(self.rng.random_range(FAULT_MS));
        let now = Instant::now();
        let event = match self.rng.random_range(0..11) {
            0 | 1 if self.is_up(process) => self.kill(d, process, outage),
            2 if self.is_up(process) => {
                d.signal(process, Signal::STOP);
                self.undo.push((now + outage, Undo::Thaw(process)));
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
                d.relays[relay].set_delay(duration / 4);
                self.undo.push((now + duration, Undo::Relay(relay)));
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
                format!("stall {relay}")
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
                self.undo.push((now + duration, Undo::Runner(relay)));
                format!("runner {relay} {behaviour:?}")
            }
            10 => {
                self.runner_restarts += 1;
                d.runners[relay].restart_as(format!("i-{relay}-{}", self.runner_restarts));
                d.relays[relay].reset_existing();
                format!("runner {relay} restarted")
            }
            _ => return,
        };
        self.events.push((now, event));
    }

    fn kill(&mut self, d: &mut Deployment, process: usize, outage: Duration) -> String {
        let now = Instant::now();
        d.kill(process);
        self.undo.push((now + outage, Undo::Start(process)));
        // A disk is deleted only while all other control instances are up.
        let control = d.processes[process].kind == Kind::Control;
        let others_up = (0..CONTROLS).all(|i| i == process || self.is_up(i));
        let interval_passed =
            self.last_disk_loss.is_none_or(|at| now > at + DISK_LOSS_INTERVAL_MIN);
        if control && others_up && interval_passed && self.rng.random_bool(0.3) {
            d.delete_data(process);
            self.last_disk_loss = Some(now);
            return format!("kill {process} and lose its disk");
        }
        format!("kill {process}")
    }

    /// Whether a process is running, not frozen and not stopping.
    fn is_up(&self, process: usize) -> bool {
        let is_down =
            |(_, u): &(Instant, Undo)| matches!(u, Undo::Thaw(p) | Undo::Start(p) if *p == process);
        !self.undo.iter().any(is_down) && !self.stopping.iter().any(|s| s.process == process)
    }

    /// Ends the faults whose time is over, and restarts processes that have exited.
    pub fn update(&mut self, d: &mut Deployment) {
        let now = Instant::now();
        let due: Vec<_> = self.undo.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, undo) in due {
            self.events.push((now, format!("{undo:?}")));
            match undo {
                Undo::Thaw(p) => d.signal(p, Signal::CONT),
                Undo::Start(p) => d.spawn(p, false),
                Undo::Relay(r) => d.relays[r].set_delay(Duration::ZERO),
                Undo::Runner(r) => d.runners[r].set_behaviour(Behaviour::Serve),
            }
        }
        for i in 0..d.processes.len() {
            let stopping = self.stopping.iter().position(|s| s.process == i);
            match (d.take_exit_status(i), stopping) {
                (Some(status), None) => {
                    self.violations
                        .push(format!("{} exited unexpectedly: {status}", d.processes[i].name));
                    d.spawn(i, false);
                }
                (Some(status), Some(s)) => {
                    if status != "exit status: 0" {
                        let name = &d.processes[i].name;
                        self.violations
                            .push(format!("{name} failed in its graceful shutdown: {status}"));
                    }
                    self.stopping.remove(s);
                    self.events.push((now, format!("stopped {i}")));
                    d.spawn(i, false);
                }
                (None, Some(s)) if now > self.stopping[s].since + STOP_TIMEOUT => {
                    self.violations
                        .push(format!("{} did not shut down in time", d.processes[i].name));
                    self.stopping.remove(s);
                    d.kill(i);
                    d.spawn(i, false);
                }
                (None, _) => {}
            }
        }
    }

    /// Whether all faults have ended.
    pub fn all_ended(&self) -> bool {
        self.undo.is_empty() && self.stopping.is_empty()
    }
}
