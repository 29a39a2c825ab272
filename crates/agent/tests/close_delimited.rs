//! Engines whose responses have neither a length nor chunks, and end with their connection.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use async_net::TcpListener;
use async_net::TcpStream;
use crocustally_agent::Agent;
use crocustally_agent::AgentSettings;
use crocustally_agent::RawAgentSettings;
use crocustally_core::Ran;
use crocustally_core::control::ServiceKind;
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

const BODY: &str = "a whole answer";
/// Time in which an agent probes its engine for the first time.
const FIRST_PROBE: Duration = Duration::from_millis(300);

/// An engine that sends `bytes` of its answer; its process ends then, if `ends`.
async fn start_engine(rt: &Runtime, bytes: usize, ends: bool) -> (SocketAddr, Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let engine = rt.spawn_task(async move {
        let mut probes = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            if respond(&mut stream, bytes).await && ends {
                break;
            }
            // An engine keeps the connections of probes.
            probes.push(stream);
            probes.retain(|s| s.peer_addr().is_ok());
        }
    });
    (address, engine)
}

/// Responds to one request; returns whether it was no probe.
async fn respond(stream: &mut TcpStream, bytes: usize) -> bool {
    let mut buf = [0; 4096];
    let n = stream.read(&mut buf).await.unwrap();
    if buf[..n].starts_with(b"GET /health") {
        let health = "{\"start\":7}";
        let head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ";
        let response = format!("{head}{}\r\n\r\n{health}", health.len());
        stream.write_all(response.as_bytes()).await.unwrap();
        return false;
    }
    let response = format!("HTTP/1.1 200 OK\r\n\r\n{}", &BODY[..bytes]);
    stream.write_all(response.as_bytes()).await.unwrap();
    stream.shutdown(std::net::Shutdown::Both).unwrap();
    true
}

/// The first piece of the response that an agent relays.
async fn first_piece(rt: &Runtime, engine: SocketAddr) -> Kind {
    let raw = RawAgentSettings {
        name: "a".to_owned(),
        domain: "d".to_owned(),
        service: "s".to_owned(),
        kind: ServiceKind::Plain,
        listen: "127.0.0.1:0".to_owned(),
        source: None,
        advertise: None,
        engine: engine.to_string(),
        entries: vec!["127.0.0.1:1".to_owned()],
        start_limit: 4,
        max_limit: 4,
        memory_mb: 260,
        peer_connections_max: None,
        threads: 1,
        log: Default::default(),
        admin: None,
    };
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

/// Guards against a body that the end of an engine's process cut, relayed as whole (class of the
/// incident ORDER).
#[test]
fn body_that_the_end_of_an_engine_closes_is_not_taken_for_whole() {
    let rt = Runtime::start(2);
    async_io::block_on(async {
        let (engine, _task) = start_engine(&rt, 5, true).await;
        match first_piece(&rt, engine).await {
            Kind::Refusal(refusal) => assert_eq!(Ran::from_number(refusal.ran), Ran::Unknown),
            other => panic!("{other:?}"),
        }
        let (engine, _task) = start_engine(&rt, BODY.len(), false).await;
        match first_piece(&rt, engine).await {
            Kind::Whole(whole) => assert_eq!(&whole.body[..], BODY.as_bytes()),
            other => panic!("{other:?}"),
        }
    });
}
