//! Seeded faults of processes in bursts, and the record of what they disturb.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crocustally_net::sleep;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::GATEWAYS;
use crate::deployment::CONTROLS;
use crate::deployment::Deployment;
use crate::history::Disturbed;
use crate::probes::Shared;

/// Time for which a process is frozen or down, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 100..2500;
/// Time after which a process that was sent SIGTERM must have ended: its grace and a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two losses of a disk, in which the replica catches up.
const DISK_LOSS_INTERVAL: Duration = Duration::from_secs(12);

/// How a process is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Kill,
    Freeze,
    /// A stop with SIGTERM, followed by a start.
    Stop,
    /// A kill and the loss of the disk.
    LoseDisk,
    /// A kill for good, and an empty instance at another address.
    Replace,
}

/// Draws faults and records what they disturb.
pub struct Disturbances {
    rng: ChaCha8Rng,
    shared: Shared,
    last_disk_loss: Option<Instant>,
    pub events: Vec<(Instant, String)>,
    pub violations: Vec<String>,
}

impl Disturbances {
    pub fn new(rng: ChaCha8Rng, shared: Shared) -> Self {
        let (events, violations) = Default::default();
        Self { rng, shared, last_disk_loss: None, events, violations }
    }

    /// Disturbs a few processes at once, and waits until all of them run again.
    pub async fn burst(&mut self, d: &Arc<Mutex<Deployment>>) {
        let mut faults: Vec<(usize, Fault)> = Vec::new();
        if self.rng.random_bool(0.15) {
            faults.extend((0..CONTROLS).map(|i| (i, Fault::Kill)));
        } else if self.rng.random_bool(0.7) {
            let i = self.rng.random_range(0..CONTROLS);
            faults.push((i, self.draw_control_fault()));
        }
        for g in 0..GATEWAYS {
            if self.rng.random_bool(0.3) {
                let fault = [Fault::Kill, Fault::Freeze, Fault::Stop][self.rng.random_range(0..3)];
                faults.push((CONTROLS + g, fault));
            }
        }
        let mut ends = Vec::new();
        let all_controls = faults.iter().filter(|(i, _)| *i < CONTROLS).count() > 1;
        for (i, fault) in faults {
            sleep(Duration::from_millis(self.rng.random_range(0..300))).await;
            let what = match i {
                CONTROLS.. => Disturbed::Gateway(i - CONTROLS),
                _ if all_controls => Disturbed::CoreMajority,
                _ => Disturbed::CoreMinority,
            };
            let index = self.begin(&mut d.lock().unwrap(), i, fault, what);
            let outage = Duration::from_millis(self.rng.random_range(OUTAGE_MS));
            ends.push((Instant::now() + outage, i, fault, index));
        }
        self.reload(d);
        ends.sort_by_key(|(at, ..)| *at);
        for (at, i, fault, index) in ends {
            sleep(at.saturating_duration_since(Instant::now())).await;
            self.end(d, i, fault, index).await;
        }
    }

    /// Reloads the settings of a gateway or a control instance, which disturbs nothing.
    pub fn reload(&mut self, d: &Arc<Mutex<Deployment>>) {
        let i = self.rng.random_range(0..CONTROLS + GATEWAYS);
        let d = d.lock().unwrap();
        self.events.push((Instant::now(), format!("reload {}", d.processes[i].name)));
        d.signal(i, Signal::HUP);
    }

    fn draw_control_fault(&mut self) -> Fault {
        let loss_allowed = self.last_disk_loss.is_none_or(|at| at.elapsed() > DISK_LOSS_INTERVAL);
        match self.rng.random_range(0..6) {
            0 if loss_allowed => Fault::LoseDisk,
            1 if loss_allowed => Fault::Replace,
            2 => Fault::Freeze,
            3 => Fault::Stop,
            _ => Fault::Kill,
        }
    }

    /// Begins a fault; returns the index of its disturbance.
    fn begin(&mut self, d: &mut Deployment, i: usize, fault: Fault, what: Disturbed) -> usize {
        let now = Instant::now();
        self.events.push((now, format!("{fault:?} {}", d.processes[i].name)));
        let mut history = self.shared.history.lock().unwrap();
        history.disturbances.push((what, now, None));
        let index = history.disturbances.len() - 1;
        drop(history);
        if fault != Fault::Freeze {
            self.next_incarnation(i);
        }
        match fault {
            Fault::Kill => d.kill(i),
            Fault::Freeze => d.signal(i, Signal::STOP),
            Fault::Stop => d.signal(i, Signal::TERM),
            Fault::LoseDisk => {
                d.kill(i);
                d.delete_data(i);
                self.last_disk_loss = Some(now);
            }
            Fault::Replace => {
                d.replace_control(i);
                self.last_disk_loss = Some(now);
            }
        }
        index
    }

    async fn end(&mut self, d: &Arc<Mutex<Deployment>>, i: usize, fault: Fault, index: usize) {
        match fault {
            Fault::Freeze => d.lock().unwrap().signal(i, Signal::CONT),
            Fault::Stop => {
                let status = self.wait_for_exit(d, i).await;
                if status != "exit status: 0" {
                    let name = d.lock().unwrap().processes[i].name.clone();
                    self.violations.push(format!("{name} failed in its stop: {status}"));
                }
                self.start(&mut d.lock().unwrap(), i);
            }
            _ => self.start(&mut d.lock().unwrap(), i),
        }
        let now = Instant::now();
        self.events.push((now, format!("{fault:?} {i} over")));
        self.shared.history.lock().unwrap().disturbances[index].2 = Some(now);
    }

    fn start(&self, d: &mut Deployment, i: usize) {
        self.next_incarnation(i);
        d.spawn(i, false);
    }

    async fn wait_for_exit(&self, d: &Arc<Mutex<Deployment>>, i: usize) -> String {
        let deadline = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = d.lock().unwrap().take_exit_status(i) {
                return status;
            }
            sleep(Duration::from_millis(10)).await;
        }
        d.lock().unwrap().kill(i);
        "not ended in time".to_owned()
    }

    fn next_incarnation(&self, i: usize) {
        if i >= CONTROLS {
            self.shared.incarnations[i - CONTROLS].fetch_add(1, Ordering::AcqRel);
        }
    }
}
