//! Engines whose responses have a number in place of a status.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use async_net::TcpListener;
use crocustally_agent::Agent;
use crocustally_agent::AgentSettings;
use crocustally_agent::RawAgentSettings;
use crocustally_core::Ran;
use crocustally_net::Channel;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::SystemClock;
use crocustally_net::sleep;
use crocustally_wire::RunRequest;
use crocustally_wire::agent_client::AgentClient;
use crocustally_wire::run_piece::Kind;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use serde_json::json;

/// Time in which an agent probes its engine for the first time.
const FIRST_PROBE: Duration = Duration::from_millis(300);
const BODY: &str = "{\"start\":7}";

/// An engine that is healthy and answers each request with this status line.
async fn start_engine(rt: &Runtime, status_line: &'static str) -> (SocketAddr, Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let engine = rt.spawn_task(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let n = stream.read(&mut buf).await.unwrap_or(0);
            let is_probe = buf[..n].starts_with(b"GET /health");
            let line = if is_probe { "HTTP/1.1 200 OK" } else { status_line };
            let head = format!("{line}\r\nConnection: close\r\nContent-Length: {}", BODY.len());
            let _ = stream.write_all(format!("{head}\r\n\r\n{BODY}").as_bytes()).await;
        }
    });
    (address, engine)
}

/// The first piece of the response that an agent relays.
async fn first_piece(rt: &Runtime, engine: SocketAddr) -> Kind {
    let raw: RawAgentSettings = serde_json::from_value(json!({
        "name": "a", "domain": "d", "service": "s", "kind": "plain", "listen": "127.0.0.1:0",
        "engine": engine.to_string(), "entries": ["127.0.0.1:1"], "start_limit": 4, "max_limit": 4,
        "threads": 1,
    }))
    .unwrap();
    let cfg = AgentSettings::try_from(raw).unwrap();
    let started = Agent::start(rt, cfg, Arc::new(SystemClock), Shutdown::default()).await;
    let (_agent, address) = started.unwrap();
    sleep(FIRST_PROBE).await;
    let channel = Channel::new(rt, address);
    let mut client = AgentClient::with_origin(channel.clone(), channel.origin());
    let req = RunRequest {
        service: "s".to_owned(),
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        deadline_ms: 3000,
        ..RunRequest::default()
    };
    let mut pieces = client.run(req).await.unwrap().into_inner();
    pieces.message().await.unwrap().unwrap().kind.unwrap()
}

/// Guards against an engine's response with status 000, or another one that is none, that an entry gets as
/// an answer (another operator's report, MIXED).
#[test]
fn response_with_an_invalid_status_is_not_relayed() {
    let rt = Runtime::start(2);
    async_io::block_on(async {
        for line in ["000", "099", "101", "600", "999"] {
            let line: &'static str = format!("HTTP/1.1 {line} None").leak();
            let (engine, _task) = start_engine(&rt, line).await;
            match first_piece(&rt, engine).await {
                Kind::Refusal(refusal) => assert_eq!(Ran::from_number(refusal.ran), Ran::Unknown),
                other => panic!("{line}: {other:?}"),
            }
        }
        let (engine, _task) = start_engine(&rt, "HTTP/1.1 404 Not Found").await;
        match first_piece(&rt, engine).await {
            Kind::Whole(whole) => assert_eq!(whole.status, 404),
            other => panic!("{other:?}"),
        }
    });
}
