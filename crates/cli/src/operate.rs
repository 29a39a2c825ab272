//! Tickets and status.

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

/// Times that a verb writes a ticket anew after another operator has taken its number.
const RENUMBER_MAX: usize = 5;
/// Times that one ticket is sent, to each entry in turn, until it is decided.
const SENDINGS: usize = 6;
/// Pause between two sendings.
const SEND_AGAIN: Duration = Duration::from_millis(500);

/// What a verb changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// A failure domain takes no new work.
    DomainOut(String),
    /// A failure domain takes work again.
    DomainIn(String),
    /// An endpoint takes no new work.
    EndpointDrain(String),
    /// An endpoint takes work again.
    EndpointServe(String),
}

impl Change {
    /// The ticket that brings it about.
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

/// Sends a ticket until it is decided; the same ticket sent again gets its first answer.
async fn decide(rt: &Runtime, entries: &[SocketAddr], yaml: &str) -> Option<ApplyReply> {
    for i in 0..SENDINGS {
        let address = entries[i % entries.len()];
        match OperatorClient::new(rt, address).apply(yaml).await {
            Some(r) if r.code != u32::from(Code::NoQuorum.number()) => return Some(r),
            _ => sleep(SEND_AGAIN).await,
        }
    }
    None
}

fn told(reply: Option<ApplyReply>) -> ExitCode {
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
            eprintln!("{} no entry decided it; send the same ticket again", code.number());
            ExitCode::FAILURE
        }
    }
}

/// Sends a ticket as it is.
pub(crate) async fn apply(rt: &Runtime, entries: &[SocketAddr], yaml: &str) -> ExitCode {
    told(decide(rt, entries, yaml).await)
}

/// Writes and sends a ticket, under a new number when another operator has taken the first.
pub(crate) async fn change(rt: &Runtime, entries: &[SocketAddr], change: &Change) -> ExitCode {
    let mut reply = None;
    for _ in 0..RENUMBER_MAX {
        let Some(status) = first_status(rt, entries).await else { break };
        let yaml = change.ticket(status.next_number);
        print!("{yaml}");
        reply = decide(rt, entries, &yaml).await;
        let conflict = u32::from(Code::TicketConflict.number());
        let stale = u32::from(Code::TicketStale.number());
        match &reply {
            Some(r) if r.code == conflict || r.code == stale => continue,
            _ => break,
        }
    }
    told(reply)
}

/// Takes a domain out at every entry that is named, without a quorum.
pub(crate) async fn local_out(rt: &Runtime, entries: &[SocketAddr], domain: &str) -> ExitCode {
    let mut done = ExitCode::SUCCESS;
    for address in entries {
        match OperatorClient::new(rt, *address).local_out(domain).await {
            Some(r) => println!("{address}: {}", r.message),
            None => {
                eprintln!("{address}: not reached");
                done = ExitCode::FAILURE;
            }
        }
    }
    done
}

async fn status_of(rt: &Runtime, address: SocketAddr) -> Option<StatusReport> {
    serde_json::from_str(&OperatorClient::new(rt, address).status().await?).ok()
}

async fn first_status(rt: &Runtime, entries: &[SocketAddr]) -> Option<StatusReport> {
    for address in entries {
        if let Some(status) = status_of(rt, *address).await {
            return Some(status);
        }
    }
    None
}

/// Shows what every entry that is named sees.
pub(crate) async fn status(rt: &Runtime, entries: &[SocketAddr], json: bool) -> ExitCode {
    let mut all = Vec::new();
    let mut missing = Vec::new();
    for address in entries {
        match status_of(rt, *address).await {
            Some(s) => all.push(s),
            None => missing.push(address.to_string()),
        }
    }
    if json {
        let value = serde_json::json!({"entries": all, "not_reached": missing});
        println!("{value}");
    } else {
        all.iter().for_each(show);
        missing.iter().for_each(|m| println!("{m}: not reached"));
    }
    if missing.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn show(s: &StatusReport) {
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
    s.instances.iter().for_each(show_instance);
}

fn show_instance(i: &InstanceStatus) {
    let load = i.load.map(|(n, of)| format!(" load {n}/{of}")).unwrap_or_default();
    let leaving = if i.leaving { " leaving" } else { "" };
    let cut = i.cut_off_since_ms.map(|ms| format!(" cut off since {ms} ms")).unwrap_or_default();
    println!("  {} {} version {} lag {}{load}{leaving}{cut}", i.role, i.name, i.version, i.lag);
}
