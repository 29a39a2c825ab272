//! `demo`: a deployment in this process that serves a mixed load or waits for requests.

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

/// Number of requests that the demo sends.
const REQUESTS: usize = 400;
/// Number of callers that send requests in parallel.
const CALLERS: usize = 20;
/// Every n-th request is a booking; the others are chats.
const BOOKING_EVERY: usize = 5;
/// Tokens of each chat response.
const TOKENS: u64 = 20;
/// Number of requests after which [`DOMAIN`] is taken out.
const DOMAIN_OUT_AFTER: usize = 130;
/// Number of requests after which [`DOMAIN`] is returned.
const DOMAIN_IN_AFTER: usize = 260;
/// Failure domain that is taken out and returned.
const DOMAIN: &str = "zone-b";
/// Longest time for the deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause of a caller between a response and its next request.
const REQUEST_PAUSE: Duration = Duration::from_millis(120);

/// Outcomes of the requests to one service.
#[derive(Default)]
struct Tally {
    sent: usize,
    complete: usize,
    refused: usize,
    unknown: usize,
    first_byte_us: Option<Histogram<u64>>,
}

impl Tally {
    fn record(&mut self, complete: bool, ran: &str, first_byte: Duration) {
        self.sent += 1;
        self.complete += usize::from(complete);
        self.refused += usize::from(!complete && ran == "no");
        self.unknown += usize::from(!complete && ran != "no");
        if complete {
            let new_histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).ok();
            if self.first_byte_us.is_none() {
                self.first_byte_us = new_histogram();
            }
            if let Some(h) = &mut self.first_byte_us {
                h.saturating_record((first_byte.as_micros() as u64).max(1));
            }
        }
    }

    fn first_byte_ms(&self, percent: f64) -> f64 {
        self.first_byte_us.as_ref().map_or(0.0, |h| h.value_at_percentile(percent) as f64 / 1000.0)
    }
}

/// Tallies by service name, shared by the callers.
type Tallies = Mutex<BTreeMap<&'static str, Tally>>;

/// Runs the demo; with `serve` it sends no load and stays up until it is killed.
pub(crate) async fn run(rt: &Runtime, serve: bool) -> ExitCode {
    let plan = Plan::new(FleetSettings::default());
    let fleet = match LocalFleet::start(rt, plan).await {
        Ok(fleet) => fleet,
        Err(e) => {
            eprintln!("failed to start the deployment: {e}");
            return ExitCode::FAILURE;
        }
    };
    if !fleet.wait_ready(READY_TIMEOUT).await {
        eprintln!("the deployment did not become ready in time");
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
        return serve_forever(&fleet).await;
    }
    let (tallies, tickets_accepted) = run_load(rt, &fleet).await;
    print_table(&tallies);
    let sent: usize = tallies.values().map(|t| t.sent).sum();
    let whole: usize = tallies.values().map(|t| t.complete).sum();
    let twice = fleet.stand_ins.journal.duplicate_run_count();
    println!("whole {whole} of {sent}, run twice {twice}");
    if tickets_accepted && twice == 0 && whole == sent {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn serve_forever(fleet: &LocalFleet) -> ExitCode {
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

/// Sends chats and bookings while [`DOMAIN`] is taken out and returned.
///
/// Returns the tallies by service, and whether both tickets were accepted.
async fn run_load(rt: &Runtime, fleet: &LocalFleet) -> (BTreeMap<&'static str, Tally>, bool) {
    let tallies: Arc<Tallies> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|c| {
            let entry = fleet.plan.entries[c % fleet.plan.entries.len()].caller_address;
            let (mut caller, tallies) = (Caller::new(rt, entry), tallies.clone());
            rt.spawn_task(async move {
                for i in (c..REQUESTS).step_by(CALLERS) {
                    let (service, complete, ran, first_byte) = send_request(&mut caller, i).await;
                    record_outcome(&tallies, service, complete, &ran, first_byte);
                    sleep(REQUEST_PAUSE).await;
                }
            })
        })
        .collect();
    let sent = || {
        let tallies = tallies.lock().unwrap_or_else(PoisonError::into_inner);
        tallies.values().map(|t| t.sent).sum::<usize>()
    };
    let mut accepted = true;
    for (after, number, state) in [(DOMAIN_OUT_AFTER, 2, "out"), (DOMAIN_IN_AFTER, 3, "in")] {
        while sent() < after {
            sleep(REQUEST_PAUSE / 4).await;
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

fn record_outcome(
    tallies: &Tallies,
    service: &'static str,
    complete: bool,
    ran: &str,
    first_byte: Duration,
) {
    let mut tallies = tallies.lock().unwrap_or_else(PoisonError::into_inner);
    tallies.entry(service).or_default().record(complete, ran, first_byte);
}

async fn send_request(caller: &mut Caller, i: usize) -> (&'static str, bool, String, Duration) {
    let key = workspace_key(i % 10);
    if i.is_multiple_of(BOOKING_EVERY) {
        let req = CallerRequest::booking(&key, &format!("demo-{i}"), "room 4");
        let response = caller.send(&req).await;
        return (
            "portal",
            response.status == 200 && response.complete,
            response.ran,
            response.time_to_first_byte,
        );
    }
    let req = CallerRequest::chat(&key, &format!("course {}", i % 7), &i.to_string(), TOKENS);
    let response = caller.send(&req).await;
    ("assistant", response.is_complete_stream(0, TOKENS), response.ran, response.time_to_first_byte)
}

fn print_table(tallies: &BTreeMap<&'static str, Tally>) {
    println!(
        "{:<10} {:>6} {:>6} {:>8} {:>8} {:>14} {:>14}",
        "service", "sent", "whole", "refused", "unknown", "first p50 ms", "first p95 ms"
    );
    for (service, t) in tallies {
        println!(
            "{service:<10} {:>6} {:>6} {:>8} {:>8} {:>14.1} {:>14.1}",
            t.sent,
            t.complete,
            t.refused,
            t.unknown,
            t.first_byte_ms(50.0),
            t.first_byte_ms(95.0)
        );
    }
}
