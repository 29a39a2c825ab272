//! Subcommands that send tickets or show the status of entries.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use crocustally_core::Code;
use crocustally_entry::InstanceStatus;
use crocustally_entry::StatusReport;
use crocustally_net::OperatorClient;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_wire::ApplyReply;

/// Maximum number of tickets written for one change: a new one is written when another operator has
/// taken the number of the previous one.
const TICKETS_PER_CHANGE_MAX: usize = 5;
/// Maximum number of times that one ticket is sent, round-robin over the entries.
const SEND_ATTEMPTS_MAX: usize = 6;
/// Delay before a ticket is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(500);

/// A change that a subcommand makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Takes a failure domain out: it gets no new requests.
    DomainOut(String),
    /// Returns a failure domain to service.
    DomainIn(String),
    /// Drains an endpoint: it gets no new requests.
    EndpointDrain(String),
    /// Ends the draining of an endpoint.
    EndpointServe(String),
}

impl Change {
    /// The ticket, in YAML, that makes this change under `number`.
    pub(crate) fn ticket(&self, number: u64) -> String {
        let (kind, name, state) = match self {
            Self::DomainOut(n) => ("domains", n, "out"),
            Self::DomainIn(n) => ("domains", n, "in"),
            Self::EndpointDrain(n) => ("endpoints", n, "drain"),
            Self::EndpointServe(n) => ("endpoints", n, "serve"),
        };
        format!("number: {number}\n{kind}:\n  - name: {name}\n    state: {state}\n")
    }
}

/// Sends a ticket until an entry decides it: accepts it or refuses it for another reason than a
/// missing quorum.
///
/// A ticket that is sent again gets the decision of the first sending.
async fn send_until_decided(
    rt: &Runtime,
    entries: &[SocketAddr],
    yaml: &str,
) -> Option<ApplyReply> {
    for i in 0..SEND_ATTEMPTS_MAX {
        let address = entries[i % entries.len()];
        match OperatorClient::new(rt, address).apply(yaml).await {
            Some(r) if r.code != u32::from(Code::NoQuorum.number()) => return Some(r),
            _ => sleep(RESEND_DELAY).await,
        }
    }
    None
}

fn print_reply(reply: Option<ApplyReply>) -> ExitCode {
    match reply {
        Some(r) if r.code == 0 => {
            println!("{} (version {})", r.message, r.version);
            ExitCode::SUCCESS
        }
        Some(r) => {
            eprintln!("{}", r.message);
            ExitCode::FAILURE
        }
        None => {
            let code = Code::NoQuorum;
            eprintln!("{} no entry decided the ticket; send the same ticket again", code.number());
            ExitCode::FAILURE
        }
    }
}

/// Sends the ticket in `yaml` unchanged.
pub(crate) async fn apply(rt: &Runtime, entries: &[SocketAddr], yaml: &str) -> ExitCode {
    print_reply(send_until_decided(rt, entries, yaml).await)
}

/// Writes and sends a ticket for `change`, under a new number when another operator took the first.
pub(crate) async fn change(rt: &Runtime, entries: &[SocketAddr], change: &Change) -> ExitCode {
    let mut reply = None;
    for _ in 0..TICKETS_PER_CHANGE_MAX {
        let Some(status) = first_reachable_status(rt, entries).await else { break };
        let yaml = change.ticket(status.next_number);
        print!("{yaml}");
        reply = send_until_decided(rt, entries, &yaml).await;
        let conflict = u32::from(Code::TicketConflict.number());
        let stale = u32::from(Code::TicketStale.number());
        match &reply {
            Some(r) if r.code == conflict || r.code == stale => continue,
            _ => break,
        }
    }
    print_reply(reply)
}

/// Takes a failure domain out at each of `entries` separately, without a quorum.
pub(crate) async fn local_out(rt: &Runtime, entries: &[SocketAddr], domain: &str) -> ExitCode {
    let mut exit_code = ExitCode::SUCCESS;
    for address in entries {
        match OperatorClient::new(rt, *address).local_out(domain).await {
            Some(r) => println!("{address}: {}", r.message),
            None => {
                eprintln!("{address}: not reached");
                exit_code = ExitCode::FAILURE;
            }
        }
    }
    exit_code
}

async fn fetch_status(rt: &Runtime, address: SocketAddr) -> Option<StatusReport> {
    serde_json::from_str(&OperatorClient::new(rt, address).status().await?).ok()
}

async fn first_reachable_status(rt: &Runtime, entries: &[SocketAddr]) -> Option<StatusReport> {
    for address in entries {
        if let Some(status) = fetch_status(rt, *address).await {
            return Some(status);
        }
    }
    None
}

/// Shows the status that each of `entries` reports.
pub(crate) async fn status(rt: &Runtime, entries: &[SocketAddr], json: bool) -> ExitCode {
    let mut statuses = Vec::new();
    let mut missing = Vec::new();
    for address in entries {
        match fetch_status(rt, *address).await {
            Some(s) => statuses.push(s),
            None => missing.push(address.to_string()),
        }
    }
    if json {
        let value = serde_json::json!({"entries": statuses, "not_reached": missing});
        println!("{value}");
    } else {
        statuses.iter().for_each(print_status);
        missing.iter().for_each(|m| println!("{m}: not reached"));
    }
    if missing.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_status(s: &StatusReport) {
    println!(
        "{}: version {}, next ticket {}, leader {}, term {}, committed {}",
        s.name,
        s.version,
        s.next_number,
        s.leader.as_deref().unwrap_or("unknown"),
        s.term,
        s.commit
    );
    println!("  voters {}; learners {}", s.voters.join(" "), s.learners.join(" "));
    if !s.domains_out.is_empty() {
        println!("  domains out: {}", s.domains_out.join(" "));
    }
    println!(
        "  claims {} ({} with answer), quarantined {}",
        s.claims, s.claims_finished, s.quarantined
    );
    s.instances.iter().for_each(print_instance);
}

fn print_instance(i: &InstanceStatus) {
    let load = i.load.map(|(n, of)| format!(" load {n}/{of}")).unwrap_or_default();
    let leaving = if i.leaving { " leaving" } else { "" };
    let cut = i.cut_off_since_ms.map(|ms| format!(" cut off since {ms} ms")).unwrap_or_default();
    println!("  {} {} version {} lag {}{load}{leaving}{cut}", i.role, i.name, i.version, i.lag);
}
