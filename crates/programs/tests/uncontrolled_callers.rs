//! Clients that take what an entry or an agent has and do not use it: the process lives, stays within
//! its memory and descriptors, and ordinary requests are answered.
#![allow(clippy::unwrap_used, dead_code)]

mod common;
#[path = "../../daemons/tests/uncontrolled/load.rs"]
mod load;

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::Plan;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::Programs;
use crocustally_fleet::workspace_key;
use crocustally_net::Channel;
use crocustally_net::Runtime;
use crocustally_net::sleep;
use crocustally_standin::CallerRequest;
use crocustally_standin::EngineSettings;
use futures_lite::StreamExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::body::Frame;
use tonic::body::Body;
use tower_service::Service;

use common::READY_TIMEOUT;
use common::programs;
use common::run;
use load::Client;
use load::ClientLoad;

/// Memory that an entry or an agent may use, in megabytes (2^20 bytes).
const MEMORY_MB: u64 = 260;
/// Descriptors that a process may open.
const DESCRIPTORS: usize = 200;
/// Clients at once that need memory; below the limit on descriptors.
const CLIENTS: usize = 120;
/// Clients at once that need descriptors.
const MANY_CLIENTS: usize = 800;
/// Length of a body in bytes.
const BODY: usize = 4 * 1024 * 1024;
/// Bytes of a body that are sent at a time.
const PIECE: usize = 64 * 1024;
/// Bytes of a call to an agent that are missing at its end.
const MISSING: usize = 4096;
/// Clients that do not read a stream, each of which takes a slot of an endpoint.
const UNREAD: usize = 60;
/// Tokens of such a stream, about 150 bytes each.
const TOKENS: u64 = 60_000;
/// Time that the load acts before it is checked.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Tries of one ordinary request.
const TRIES: usize = 10;

/// Tests measure memory and descriptors, so one runs at a time.
fn one_at_a_time() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A program that starts another one with a limit on its descriptors.
fn limited(folder: &Path, program: &Path) -> PathBuf {
    let path = folder.join(format!("limited-{}", program.file_name().unwrap().display()));
    let script =
        format!("#!/bin/sh\nulimit -n {DESCRIPTORS}\nexec '{}' \"$@\"\n", program.display());
    std::fs::write(&path, script).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
    path
}

async fn start(rt: &Runtime) -> ProcessFleet {
    let settings = FleetSettings {
        assistants: 2,
        portals: 1,
        entries: 3,
        engine: EngineSettings::instant(),
        ..FleetSettings::default()
    };
    let plan = Plan::new(settings);
    std::fs::create_dir_all(&plan.folder).unwrap();
    let all = programs();
    let limited = Programs {
        entry: limited(&plan.folder, &all.entry),
        agent: limited(&plan.folder, &all.agent),
    };
    let fleet = ProcessFleet::start(rt, plan, limited).await.unwrap();
    assert!(fleet.wait_ready(READY_TIMEOUT).await, "not ready: {}", fleet.read_log("entry-1"));
    fleet
}

fn peak_memory(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() / 1024)
}

/// Checks the processes and one ordinary request at the first entry.
async fn check(fleet: &ProcessFleet, name: &str, when: &str) -> Vec<String> {
    let mut failures = Vec::new();
    let (entries, agents) = fleet.pids();
    let mut seen = Vec::new();
    for pid in entries.iter().chain(&agents) {
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        seen.push((descriptors, peak_memory(*pid)));
        if descriptors == 0 || descriptors >= DESCRIPTORS {
            failures.push(format!("{when}: {descriptors} descriptors are open"));
        }
    }
    let mut answered = false;
    for _ in 0..TRIES {
        // A new connection each time.
        let mut caller = fleet.caller(0);
        let response = caller.send(&CallerRequest::chat(&workspace_key(1), "c", "u", 12)).await;
        answered = response.is_complete_stream(0, 12);
        if answered {
            break;
        }
        println!("{name}, {when}: status {} code {}", response.status, response.code);
        sleep(Duration::from_millis(100)).await;
    }
    if !answered {
        failures.push(format!("{when}: no ordinary request is answered"));
    }
    for pid in entries.iter().chain(&agents) {
        match peak_memory(*pid) {
            None => failures.push(format!("{when}: a process ended")),
            Some(peak) if peak >= MEMORY_MB => failures.push(format!("{when}: peak of {peak} MB")),
            Some(_) => {}
        }
    }
    println!("{name}, {when}: descriptors and peak in MB {seen:?}, answered {answered}");
    failures
}

/// Checks the deployment while clients act on the address that `to` chooses, and afterwards.
fn check_under(name: &str, clients: usize, client: Client, to: fn(&Plan) -> SocketAddr) {
    let _one = one_at_a_time();
    run(|rt| async move {
        let fleet = start(&rt).await;
        let load = ClientLoad::start(&rt, to(&fleet.plan), clients, &client);
        sleep(LOAD_TIME).await;
        let mut failures = check(&fleet, name, "under load").await;
        println!("{name}: {} bytes of bodies sent", load.bytes_sent());
        drop(load);
        sleep(Duration::from_secs(1)).await;
        failures.extend(check(&fleet, name, "afterwards").await);
        assert!(failures.is_empty(), "{name}: {failures:?}");
    });
}

fn callers(plan: &Plan) -> SocketAddr {
    plan.entries[0].caller_address
}

fn request_head() -> String {
    let key = workspace_key(0);
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: c\r\nAuthorization: Bearer {key}\r\n\
         Content-Type: application/json\r\n"
    )
}

fn body(chunked: bool, piece: usize) -> Client {
    Client::Body { head: request_head(), length: BODY, chunked, piece }
}

/// Guards against bodies of permitted size that are kept until the memory is used up.
#[test]
fn entry_fits_bodies_with_length_that_stop_short_into_memory() {
    check_under("length", CLIENTS, body(false, BODY), callers);
}

/// Guards against the same in chunks, whose length is unknown.
#[test]
fn entry_fits_chunked_bodies_that_stop_short_into_memory() {
    check_under("chunks", CLIENTS, body(true, BODY), callers);
}

/// Guards against bodies that are small when they are admitted and grow piece by piece.
#[test]
fn entry_fits_bodies_that_grow_in_pieces_into_memory() {
    check_under("pieces", CLIENTS, body(false, PIECE), callers);
}

/// Guards against streams that nobody reads and that occupy the slots of all endpoints.
#[test]
fn entry_answers_beside_streams_without_reader() {
    let chat = CallerRequest::chat(&workspace_key(0), "course", "u", TOKENS);
    let body = String::from_utf8(chat.body.to_vec()).unwrap();
    let request = format!("{}Content-Length: {}\r\n\r\n{body}", request_head(), body.len());
    check_under("unread", UNREAD, Client::Unread { request }, callers);
}

/// Guards against heads that occupy all descriptors.
#[test]
fn entry_answers_beside_heads_that_never_end() {
    check_under("heads", MANY_CLIENTS, Client::Head, callers);
}

/// Guards against idle connections that occupy all descriptors.
#[test]
fn entry_answers_beside_idle_connections() {
    check_under("idle", MANY_CLIENTS, Client::Idle, callers);
}

/// Guards against idle connections to the peer port that occupy all descriptors.
#[test]
fn entry_answers_beside_idle_peer_connections() {
    check_under("idle-peers", MANY_CLIENTS, Client::Idle, |plan| plan.entries[0].peer_address);
}

/// Guards against idle connections to an agent that occupy all its descriptors.
#[test]
fn agent_answers_beside_idle_connections() {
    check_under("idle-agent", MANY_CLIENTS, Client::Idle, |plan| plan.agents[0].listen);
}

/// Guards against calls to an agent that stop short and are kept until its memory is used up.
#[test]
fn agent_fits_calls_that_stop_short_into_memory() {
    let _one = one_at_a_time();
    run(|rt| async move {
        let fleet = start(&rt).await;
        let to = fleet.plan.agents[0].listen;
        let mut calls = Vec::new();
        for _ in 0..CLIENTS {
            let mut channel = Channel::new(&rt, to);
            calls.push(rt.spawn_task(async move {
                // The head of a gRPC message: not compressed, and its length.
                let mut head = vec![0];
                head.extend_from_slice(&((BODY - MISSING) as u32).to_be_bytes());
                let pieces = (BODY - 2 * MISSING) / PIECE;
                let frames = std::iter::once(Bytes::from(head))
                    .chain((0..pieces).map(|_| Bytes::from(vec![b' '; PIECE])));
                let frames = frames.map(|b| Ok::<_, std::io::Error>(Frame::data(b)));
                let frames =
                    futures_lite::stream::iter(frames).chain(futures_lite::stream::pending());
                let uri = format!("http://{to}/crocustally.v1.Agent/Run");
                let req = Request::post(uri)
                    .header("content-type", "application/grpc")
                    .header("te", "trailers")
                    .body(Body::new(StreamBody::new(frames)))
                    .unwrap();
                let _ = channel.call(req).await;
            }));
        }
        sleep(LOAD_TIME).await;
        let mut failures = check(&fleet, "calls", "under load").await;
        drop(calls);
        sleep(Duration::from_secs(1)).await;
        failures.extend(check(&fleet, "calls", "afterwards").await);
        assert!(failures.is_empty(), "calls: {failures:?}");
    });
}
