//! Versions that were sent and disturbances, and the checks of probes and reads against them.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::probes::Probe;
use crate::versions::Outcome;
use crate::versions::Version;

/// `config-ms`: an acknowledged version is in force so soon at gateways in touch.
const CONFIG_TIME: Duration = Duration::from_secs(2);
/// `contact-ms`: a gateway is in touch so long after the last disturbance.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// `max-skew-ms`, by which disturbances of the core stretch [`CONFIG_TIME`].
const SKEW_MAX: Duration = Duration::from_secs(5);
/// `rollback-slack-ms`: how long after a version has shown an older one may still show.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// A version that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub version: Version,
    pub document: Value,
    pub at: Instant,
    pub acknowledged: Option<Instant>,
}

/// What a disturbance hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbed {
    Gateway(usize),
    /// Control instances; more than half of them run all the while.
    CoreMinority,
    CoreMajority,
    /// All control instances, at the end of the run.
    Final,
}

/// All versions that were sent, and all disturbances.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub sent: Vec<Sent>,
    /// Disturbances with their begin and end; `None` while they last.
    pub disturbances: Vec<(Disturbed, Instant, Option<Instant>)>,
}

impl History {
    pub fn newest(&self) -> Option<&Sent> {
        self.sent.iter().max_by_key(|s| s.version.number)
    }

    /// The newest version that was acknowledged `time` before `at`; 0 if there is none.
    fn acknowledged_before(&self, at: Instant, time: Duration) -> u64 {
        let in_time = |s: &&Sent| s.acknowledged.is_some_and(|a| a + time <= at);
        self.sent.iter().filter(in_time).map(|s| s.version.number).max().unwrap_or(0)
    }

    /// Whether nothing that `counts` was disturbed in the [`CONTACT_TIME`] before `from`, and until `to`;
    /// twice that time for the final fault.
    fn calm(&self, from: Instant, to: Instant, counts: impl Fn(Disturbed) -> bool) -> bool {
        let touches = |(what, begin, end): &(Disturbed, Instant, Option<Instant>)| {
            let contact = if *what == Disturbed::Final { CONTACT_TIME * 2 } else { CONTACT_TIME };
            counts(*what) && *begin <= to && end.is_none_or(|end| end + contact >= from)
        };
        !self.disturbances.iter().any(touches)
    }

    /// Oldest version that a gateway may have in force for a request.
    fn oldest_in_force(&self, gateway: usize, sent_at: Instant, ended_at: Instant) -> u64 {
        let own = Disturbed::Gateway(gateway);
        let out_of_touch = |d| d == own || matches!(d, Disturbed::CoreMajority | Disturbed::Final);
        if !self.calm(sent_at, ended_at, out_of_touch) {
            return 0;
        }
        let core_calm = self.calm(sent_at, ended_at, |d| d == Disturbed::CoreMinority);
        let time = if core_calm { CONFIG_TIME } else { CONFIG_TIME + SKEW_MAX };
        self.acknowledged_before(sent_at, time)
    }

    /// Versions that may be in force for a probe.
    pub fn candidates<'a>(&'a self, p: &'a Probe) -> impl Iterator<Item = &'a Version> {
        let oldest = self.oldest_in_force(p.gateway, p.sent_at, p.ended_at);
        let sent = self.sent.iter().filter(move |s| s.at <= p.ended_at);
        sent.map(|s| &s.version).filter(move |v| v.number >= oldest)
    }

    /// Checks a read of the configuration.
    pub fn check_read(&self, sent_at: Instant, read: &Value) -> Result<(), String> {
        let number = read["version"].as_u64().unwrap_or(0);
        let oldest = self.acknowledged_before(sent_at, CONFIG_TIME);
        if number < oldest {
            return Err(format!("version {number} was read, {oldest} is acknowledged"));
        }
        match self.sent.iter().find(|s| s.version.number == number) {
            Some(sent) if sent.document == *read => Ok(()),
            _ => Err(format!("what was read as version {number} was not sent so")),
        }
    }

    /// Describes the probes that no version explains that may be in force, and those that show an older
    /// version than the same incarnation of the gateway has shown before.
    pub fn violations(&self, probes: &[Probe]) -> Vec<String> {
        let mut violations = Vec::new();
        let mut by_incarnation: HashMap<(usize, u64), Vec<&Probe>> = HashMap::new();
        for p in probes {
            let Some(outcome) = p.outcome else { continue };
            if !self.candidates(p).any(|v| v.explains(&p.route, &p.key, outcome)) {
                let oldest = self.oldest_in_force(p.gateway, p.sent_at, p.ended_at);
                violations.push(format!("late or never valid: from version {oldest} on {p:?}"));
            }
            if let Some(incarnation) = p.incarnation {
                by_incarnation.entry((p.gateway, incarnation)).or_default().push(p);
            }
        }
        for probes in by_incarnation.values() {
            violations.extend(self.regressions(probes));
        }
        violations
    }

    fn regressions(&self, probes: &[&Probe]) -> Vec<String> {
        let explained = |p: &Probe, outcome: Outcome| {
            let sent = self.sent.iter().filter(move |s| s.at <= p.ended_at).map(|s| &s.version);
            let numbers: Vec<u64> =
                sent.filter(|v| v.explains(&p.route, &p.key, outcome)).map(|v| v.number).collect();
            Some((numbers.iter().copied().min()?, numbers.iter().copied().max()?))
        };
        let shown: Vec<(&Probe, u64, u64)> = probes
            .iter()
            .filter_map(|p| explained(p, p.outcome?).map(|(min, max)| (*p, min, max)))
            .collect();
        let mut by_end: Vec<_> = shown.iter().collect();
        by_end.sort_by_key(|(p, ..)| p.ended_at);
        let mut by_start: Vec<_> = shown.iter().collect();
        by_start.sort_by_key(|(p, ..)| p.sent_at);
        let (mut next, mut newest) = (0, 0);
        let mut violations = Vec::new();
        for (p, _, max) in by_start {
            while next < by_end.len() && by_end[next].0.ended_at + ROLLBACK_SLACK < p.sent_at {
                newest = newest.max(by_end[next].1);
                next += 1;
            }
            if *max < newest {
                violations.push(format!("older than version {newest}, shown before: {p:?}"));
            }
        }
        violations
    }
}
