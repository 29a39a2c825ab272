//! Golden files of one mixed session per deployment: every request, response and code, on a fake
//! clock.
#![allow(clippy::unwrap_used)]

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::Code;
use crocustally_core::Digest;
use crocustally_core::agent::Admission;
use crocustally_core::agent::AdmissionLimits;
use crocustally_core::agent::AttemptRegistry;
use crocustally_core::control::Priority;
use crocustally_core::control::StateMachine;
use crocustally_core::control::Ticket;
use crocustally_core::routing::Announcement;
use crocustally_core::routing::EndpointKey;
use crocustally_core::routing::Load;
use crocustally_core::routing::RequestOutcome;
use crocustally_core::routing::RouteDecision;
use crocustally_core::routing::RouteRequest;
use crocustally_core::routing::ServiceRouter;
use crocustally_wire::Claim;
use crocustally_wire::Command;
use crocustally_wire::Death;
use crocustally_wire::Finish;
use crocustally_wire::command::Kind;
use prost::Message;

const MS: Duration = Duration::from_millis(1);

/// One entry with the replicated state machine, and agents reduced to their admission and attempts.
struct Session {
    now: Instant,
    start: Instant,
    machine: StateMachine,
    index: u64,
    router: ServiceRouter,
    agents: Vec<(String, Admission, AttemptRegistry)>,
    sequence: u64,
    log: String,
}

impl Session {
    fn new(endpoints: &[(&str, &str)]) -> Self {
        let now = Instant::now();
        let limits = AdmissionLimits { initial: 2, max: 4 };
        let agent = |(name, _): &(&str, &str)| {
            ((*name).to_owned(), Admission::new(limits), AttemptRegistry::default())
        };
        let mut s = Self {
            now,
            start: now,
            machine: StateMachine::default(),
            index: 0,
            router: ServiceRouter::new(endpoints[0].1, 7),
            agents: endpoints.iter().map(agent).collect(),
            sequence: 0,
            log: String::new(),
        };
        s.announce(endpoints);
        s
    }

    fn log_line(&mut self, text: &str) {
        let ms = self.now.duration_since(self.start).as_millis();
        writeln!(self.log, "{ms:>6} {text}").unwrap();
    }

    fn announce(&mut self, endpoints: &[(&str, &str)]) {
        self.sequence += 1;
        for (i, (name, domain)) in endpoints.iter().enumerate() {
            let a = &self.agents[i].1;
            let load = Load {
                limit: a.limit(),
                in_flight: a.in_flight(),
                engine_start: 1,
                draining: a.draining(),
                first_byte: 20 * MS,
            };
            let announcement = Announcement {
                name: (*name).to_owned(),
                address: format!("{name}:1"),
                domain: (*domain).to_owned(),
                service: "s".to_owned(),
                incarnation: 1,
                sequence: self.sequence,
                load,
                age: Duration::ZERO,
                config_version: 0,
                prefixes: Vec::new(),
            };
            self.router.directory.merge(self.now, announcement, true);
        }
        let config = self.machine.config().clone();
        self.router.directory.update_disabled(|e| config.domain_out(&e.announcement.domain));
    }

    fn apply(&mut self, kind: Kind) -> crocustally_wire::outcome::Kind {
        self.index += 1;
        let command = Command { kind: Some(kind) }.encode_to_vec();
        self.machine.apply(self.index, &command).kind.unwrap()
    }

    fn ticket(&mut self, yaml: &str) {
        let ticket = Ticket::from_yaml(yaml).unwrap();
        let record = crocustally_wire::Ticket { body: ticket.to_json().into() };
        let outcome = self.apply(Kind::Ticket(record));
        let crocustally_wire::outcome::Kind::Ticket(t) = outcome else { panic!("{outcome:?}") };
        let changed = ticket.changed_objects().join(" ");
        self.log_line(&format!(
            "ticket {} [{changed}]: code {} version {}",
            ticket.number(),
            t.code,
            t.version
        ));
    }

    /// Routes a request, admits it at the agent, and logs both decisions.
    fn send(&mut self, label: &str, priority: Priority) -> Option<EndpointKey> {
        let req = RouteRequest {
            workspace: "ws",
            share: 10,
            priority,
            prefix: 0,
            queue_deadline: self.now + 500 * MS,
            excluded: &[],
            retry: false,
        };
        match self.router.route(self.now, &req) {
            RouteDecision::Send(key) => {
                let (name, admission, _) = &mut self.agents[key.0 as usize];
                let admitted = admission.admit(false);
                let text = format!("{label}: to {name}: {admitted:?}");
                self.log_line(&text);
                admitted.is_ok().then_some(key)
            }
            RouteDecision::Wait(w) => {
                self.log_line(&format!("{label}: waits as {}", w.0));
                None
            }
            RouteDecision::Refuse(code) => {
                let (number, ran) = (code.number(), code.ran().as_str());
                self.log_line(&format!("{label}: refused {number}, run {ran}"));
                None
            }
        }
    }

    fn end(&mut self, label: &str, key: EndpointKey) {
        let (_, admission, _) = &mut self.agents[key.0 as usize];
        admission.record_first_byte(self.now, 20 * MS);
        admission.release(false);
        let outcomes =
            self.router.complete(self.now, key, RequestOutcome::Answered, None, 40 * MS, true);
        self.log_line(&format!("{label}: whole"));
        for outcome in outcomes {
            let agents = &mut self.agents;
            let to = outcome.result.map(|k| {
                let _ = agents[k.0 as usize].1.admit(false);
                agents[k.0 as usize].0.clone()
            });
            self.log_line(&format!("waiter {}: {to:?}", outcome.waiter.0));
        }
    }

    fn claim(&mut self, key: &str, body: &str, after: u32, agent: usize, nonce: u64) {
        let claim = Claim {
            key: Digest::of(&[key.as_bytes()]).to_bytes(),
            digest: Digest::of(&[body.as_bytes()]).to_bytes(),
            after_attempt: after,
            endpoint: self.agents[agent].0.clone(),
            incarnation: 1,
            at_ms: 1,
            nonce,
            ..Claim::default()
        };
        let outcome = self.apply(Kind::Claim(claim));
        let crocustally_wire::outcome::Kind::Claim(c) = outcome else { panic!("{outcome:?}") };
        let attempt = c.state.map_or(0, |s| s.attempt);
        let decision = if c.granted { "granted" } else { "not granted" };
        self.log_line(&format!(
            "claim {key} after {after}: {decision}, code {}, attempt {attempt}",
            c.code
        ));
    }

    fn advance_ms(&mut self, ms: u32) {
        self.now += MS * ms;
    }
}

#[test]
fn training_office_session_matches_golden_file() {
    let endpoints = [("assistant-1", "zone-a"), ("assistant-2", "zone-b"), ("portal-1", "zone-c")];
    let mut s = Session::new(&endpoints);
    s.ticket("number: 1\ndomains: [{name: zone-a}, {name: zone-b}, {name: zone-c}]\n");
    let feedback = s.send("quiz feedback", Priority::Normal).unwrap();
    s.advance_ms(5);
    let survey = s.send("site survey", Priority::Normal).unwrap();
    s.advance_ms(30);
    s.end("quiz feedback", feedback);
    s.claim("certificate-17", "Åsa", 0, 2, 1);
    s.claim("certificate-17", "Åsa", 0, 2, 2);
    s.claim("certificate-17", "Bo", 0, 2, 3);
    let revoked = s.agents[2].2.revoke(Digest::of(&[b"certificate-17/1"]), 2);
    s.log_line(&format!("revoke certificate-17 attempt 1: {revoked:?}"));
    let late = s.agents[2].2.start(Digest::of(&[b"certificate-17/1"]), 2);
    s.log_line(&format!("the first entry wakes and sends attempt 1: {late:?}"));
    s.claim("certificate-17", "Åsa", 1, 2, 4);
    let finish = Finish {
        key: Digest::of(&[b"certificate-17"]).to_bytes(),
        attempt: 2,
        status: 200,
        ..Finish::default()
    };
    let kept = s.apply(Kind::Finish(finish));
    s.log_line(&format!("answer of attempt 2 kept: {kept:?}"));
    s.ticket("number: 2\ndomains: [{name: zone-a, state: out}]\n");
    s.announce(&endpoints);
    s.send("regulation", Priority::Normal);
    s.end("site survey", survey);
    s.ticket("number: 2\ndomains: [{name: zone-b, state: out}]\n");
    s.ticket("number: 1\ndomains: [{name: zone-a}, {name: zone-b}, {name: zone-c}]\n");
    insta::assert_snapshot!(s.log);
}

#[test]
fn cake_market_session_matches_golden_file() {
    let endpoints = [("cakes-1", "zone-a"), ("cakes-2", "zone-b")];
    let mut s = Session::new(&endpoints);
    s.ticket("number: 1\ndomains: [{name: zone-a}, {name: zone-b}]\n");
    let sent: Vec<EndpointKey> =
        (0..4).filter_map(|i| s.send(&format!("inscription {i}"), Priority::Normal)).collect();
    s.send("allergens", Priority::High);
    s.send("newsletter", Priority::Low);
    s.send("inscription 4", Priority::Normal);
    s.send("newsletter", Priority::Low);
    s.advance_ms(40);
    s.end("inscription 0", sent[0]);
    s.advance_ms(600);
    for outcome in s.router.tick(s.now) {
        let code = outcome.result.err().map(Code::number);
        s.log_line(&format!("waiter {}: let go with {code:?}", outcome.waiter.0));
    }
    let digest = Digest::of(&[b"the cake that kills"]);
    for (endpoint, start) in [("cakes-1", 1), ("cakes-1", 1), ("cakes-2", 1)] {
        let death = Death {
            endpoint: endpoint.to_owned(),
            engine_start: start,
            digests: vec![digest.to_bytes()],
        };
        s.apply(Kind::Death(death));
        let n = s.machine.suspects().deaths(digest);
        s.log_line(&format!("{endpoint} died with it: {n} deaths"));
    }
    let quarantined = s.machine.suspects().quarantined().contains(&digest);
    s.log_line(&format!("quarantined: {quarantined}"));
    s.ticket("number: 3\nendpoints: [{name: cakes-1, state: drain}]\n");
    s.ticket("number: 2\nendpoints: [{name: cakes-1}]\n");
    insta::assert_snapshot!(s.log);
}
