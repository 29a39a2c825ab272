//! `demo`: a whole deployment inside this process, with the sizes of today.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use crocustally_fleet::FleetSettings;
use crocustally_fleet::LocalFleet;
use crocustally_fleet::Plan;
use crocustally_fleet::workspace_key;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_standin::Caller;
use crocustally_standin::CallerRequest;
use hdrhistogram::Histogram;

/// Requests of the demo.
const REQUESTS: usize = 400;
/// Callers who send them.
const CALLERS: usize = 20;
/// One request in so many is a booking.
const BOOKING_EVERY: usize = 5;
/// Tokens of each answer.
const TOKENS: u64 = 20;
/// Requests after which the domain is taken out.
const OUT_AFTER: usize = 130;
/// Requests after which it comes back.
const BACK_AFTER: usize = 260;
/// Domain that is taken out.
const DOMAIN: &str = "zone-b";
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Time between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(120);

/// What became of the requests of one service.
#[derive(Default)]
struct Tally {
    sent: usize,
    whole: usize,
    refused: usize,
    unknown: usize,
    first_us: Option<Histogram<u64>>,
}

impl Tally {
    fn note(&mut self, whole: bool, ran: &str, first: Duration) {
        self.sent += 1;
        self.whole += usize::from(whole);
        self.refused += usize::from(!whole && ran == "no");
        self.unknown += usize::from(!whole && ran != "no");
        if whole {
            let fresh = || Histogram::new_with_bounds(1, 60_000_000, 3).ok();
            if self.first_us.is_none() {
                self.first_us = fresh();
            }
            if let Some(h) = &mut self.first_us {
                h.saturating_record((first.as_micros() as u64).max(1));
            }
        }
    }

    fn ms(&self, percent: f64) -> f64 {
        self.first_us.as_ref().map_or(0.0, |h| h.value_at_percentile(percent) as f64 / 1000.0)
    }
}

/// Tallies by service, shared by the callers.
type Tallies = Mutex<BTreeMap<&'static str, Tally>>;

/// Runs the demo; with `serve` it stays up.
pub(crate) async fn run(rt: &Runtime, serve: bool) -> ExitCode {
    let plan = Plan::new(FleetSettings::default());
    let fleet = match LocalFleet::start(rt, plan).await {
        Ok(fleet) => fleet,
        Err(e) => {
            eprintln!("the deployment did not start: {e}");
            return ExitCode::FAILURE;
        }
    };
    if !fleet.wait_ready(READY_LIMIT).await {
        eprintln!("the deployment did not get ready");
        return ExitCode::FAILURE;
    }
    println!(
        "{} entries, {} endpoints, {} failure domains, {} workspaces are up",
        fleet.entries.len(),
        fleet.agents.len(),
        fleet.plan.domains().len(),
        fleet.plan.settings.workspaces
    );
    if serve {
        return stay(&fleet).await;
    }
    let (tallies, domain) = exercise(rt, &fleet).await;
    show(&tallies);
    let sent: usize = tallies.values().map(|t| t.sent).sum();
    let whole: usize = tallies.values().map(|t| t.whole).sum();
    let twice = fleet.stand_ins.journal.run_twice();
    println!("whole {whole} of {sent}, run twice {twice}");
    if domain && twice == 0 && whole == sent { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn stay(fleet: &LocalFleet) -> ExitCode {
    println!("operators: --entry {}", fleet.plan.entries[0].peer_address);
    println!(
        "curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {}' \
         -d '{{\"stream\":true,\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"hej\"}}]}}'",
        fleet.plan.entries[0].caller_address,
        workspace_key(0)
    );
    std::future::pending().await
}

/// Sends mixed requests while a domain leaves and returns; says whether both tickets were accepted.
async fn exercise(rt: &Runtime, fleet: &LocalFleet) -> (BTreeMap<&'static str, Tally>, bool) {
    let tallies: Arc<Tallies> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|c| {
            let entry = fleet.plan.entries[c % fleet.plan.entries.len()].caller_address;
            let (mut caller, tallies) = (Caller::new(rt, entry), tallies.clone());
            rt.spawn_task(async move {
                for i in (c..REQUESTS).step_by(CALLERS) {
                    let (service, whole, ran, first) = one(&mut caller, i).await;
                    note(&tallies, service, whole, &ran, first);
                    sleep(PAUSE).await;
                }
            })
        })
        .collect();
    let sent = || {
        let tallies = tallies.lock().unwrap_or_else(PoisonError::into_inner);
        tallies.values().map(|t| t.sent).sum::<usize>()
    };
    let mut accepted = true;
    for (after, number, state) in [(OUT_AFTER, 2, "out"), (BACK_AFTER, 3, "in")] {
        while sent() < after {
            sleep(PAUSE / 4).await;
        }
        let ticket = format!("number: {number}\ndomains: [{{name: {DOMAIN}, state: {state}}}]\n");
        let reply = fleet.operator(0).apply(&ticket).await;
        let ok = reply.as_ref().is_some_and(|r| r.code == 0);
        println!(
            "after {after} requests: {DOMAIN} {state}: {}",
            if ok { "accepted" } else { "not" }
        );
        accepted &= ok;
    }
    for c in callers {
        c.await;
    }
    let mut tallies = tallies.lock().unwrap_or_else(PoisonError::into_inner);
    (std::mem::take(&mut *tallies), accepted)
}

fn note(tallies: &Tallies, service: &'static str, whole: bool, ran: &str, first: Duration) {
    let mut tallies = tallies.lock().unwrap_or_else(PoisonError::into_inner);
    tallies.entry(service).or_default().note(whole, ran, first);
}

async fn one(caller: &mut Caller, i: usize) -> (&'static str, bool, String, Duration) {
    let key = workspace_key(i % 10);
    if i.is_multiple_of(BOOKING_EVERY) {
        let req = CallerRequest::booking(&key, &format!("demo-{i}"), "room 4");
        let a = caller.send(&req).await;
        return ("portal", a.status == 200 && a.complete, a.ran, a.first);
    }
    let req = CallerRequest::chat(&key, &format!("course {}", i % 7), &i.to_string(), TOKENS);
    let a = caller.send(&req).await;
    ("assistant", a.is_whole_stream(0, TOKENS), a.ran, a.first)
}

fn show(tallies: &BTreeMap<&'static str, Tally>) {
    println!(
        "{:<10} {:>6} {:>6} {:>8} {:>8} {:>14} {:>14}",
        "service", "sent", "whole", "refused", "unknown", "first p50 ms", "first p95 ms"
    );
    for (service, t) in tallies {
        println!(
            "{service:<10} {:>6} {:>6} {:>8} {:>8} {:>14.1} {:>14.1}",
            t.sent,
            t.whole,
            t.refused,
            t.unknown,
            t.ms(50.0),
            t.ms(95.0)
        );
    }
}
