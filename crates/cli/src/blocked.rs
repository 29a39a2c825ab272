//! Subcommands for the parts of prompts that control instances refuse.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use crocustally_core::Code;
use crocustally_core::control::PromptPart;
use crocustally_core::control::list_parts;
use crocustally_net::Channel;
use crocustally_net::Runtime;
use crocustally_net::timeout;
use crocustally_wire::BlockedParts;
use crocustally_wire::LiftRequest;
use crocustally_wire::ListBlockedRequest;
use crocustally_wire::control_client::ControlClient;

/// Timeout for a call to one control instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn client(rt: &Runtime, address: SocketAddr) -> ControlClient<Channel> {
    let channel = Channel::new(rt, address);
    let origin = channel.origin();
    ControlClient::with_origin(channel, origin)
}

/// Prints the blocked parts of all services, as the first control instance that responds has them.
pub(crate) async fn list(rt: &Runtime, controls: &[SocketAddr]) -> ExitCode {
    for address in controls {
        let mut client = client(rt, *address);
        let Some(Ok(reply)) =
            timeout(CALL_TIMEOUT, client.list_blocked(ListBlockedRequest {})).await
        else {
            eprintln!("{address}: not reached");
            continue;
        };
        for service in reply.into_inner().services {
            service.blocked.iter().for_each(|block| print_block(&service.service, block));
        }
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

fn print_block(service: &str, block: &BlockedParts) {
    println!(
        "{service}: {} blocked since {} ms (Unix time); endpoints ended: {}",
        list_parts(&block.parts, " with "),
        block.since_ms,
        block.endpoints.join(" ")
    );
}

/// Lifts the refusal of a part at the first control instance that commits it.
pub(crate) async fn lift(
    rt: &Runtime,
    controls: &[SocketAddr],
    service: &str,
    part: &str,
) -> ExitCode {
    let part = PromptPart::from_id(part.as_bytes());
    for address in controls {
        let mut client = client(rt, *address);
        let req = LiftRequest { service: service.to_owned(), part: part.0 };
        match timeout(CALL_TIMEOUT, client.lift(req)).await {
            Some(Ok(reply)) if reply.get_ref().code == u32::from(Code::Ok.number()) => {
                println!("{service}: {part} is served");
                return ExitCode::SUCCESS;
            }
            Some(Ok(reply)) => eprintln!("{address}: {}", reply.into_inner().code),
            Some(Err(e)) => eprintln!("{address}: {}", e.message()),
            None => eprintln!("{address}: not reached"),
        }
    }
    ExitCode::FAILURE
}
