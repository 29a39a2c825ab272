//! Invalid requests, slow callers and invalid settings get numbered codes; refused requests report
//! that they did not run.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use async_net::TcpStream;
use common::programs;
use common::ready_fleet;
use common::run;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::workspace_key;
use crocustally_net::timeout;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;

/// Sends raw bytes and reads until the entry closes the connection, the response ends in a newline,
/// or nothing arrives for `read_timeout`.
async fn send_raw(fleet: &ProcessFleet, bytes: &[u8], read_timeout: Duration) -> String {
    let mut stream = TcpStream::connect(fleet.plan.entries[0].caller_address).await.unwrap();
    // Writing can fail: the entry may refuse the request and close before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut received = Vec::new();
    let mut buf = [0; 4096];
    while let Some(Ok(n)) = timeout(read_timeout, stream.read(&mut buf)).await {
        if n == 0 {
            break;
        }
        received.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&received);
        if text.contains("\r\n\r\n") && text.ends_with('\n') {
            break;
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

fn request_head(path: &str, key: &str, extra_headers: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n{extra_headers}\
         content-length: {length}\r\n\r\n"
    )
}

fn assert_refused(response: &str, status: u16, code: u32) {
    let lower = response.to_ascii_lowercase();
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
    assert!(lower.contains(&format!("x-crocustally-code: {code}\r\n")), "{response}");
    assert!(lower.contains("x-crocustally-run: no\r\n"), "{response}");
}

const READ_TIMEOUT: Duration = Duration::from_secs(3);
const CHAT: &str = "/v1/chat/completions";

#[test]
fn invalid_requests_are_refused_with_numbered_codes() {
    run(|rt| async move {
        let settings = FleetSettings {
            entries: 1,
            domains: 1,
            assistants: 1,
            portals: 1,
            ..Default::default()
        };
        let fleet = ready_fleet(&rt, settings).await;
        let key = workspace_key(0);
        let body = r#"{"messages":[{"role":"user","content":"hej"}]}"#;
        let with_body = |head: String| [head.as_bytes(), body.as_bytes()].concat();
        let cases: Vec<(Vec<u8>, u16, u32)> = vec![
            (
                request_head(CHAT, &key, &format!("x-long: {}\r\n", "a".repeat(40_000)), 0).into(),
                431,
                1001,
            ),
            (request_head(CHAT, &key, "", 5_000_000).into(), 413, 1002),
            (with_body(request_head(CHAT, &key, "", body.len() - 3)), 400, 1003),
            (request_head(CHAT, &key, "", 0).into(), 400, 1003),
            (with_body(request_head(CHAT, "nobody", "", body.len())), 401, 1004),
            (with_body(request_head("/elsewhere", &key, "", body.len())), 404, 1005),
            (with_body(request_head(CHAT, &key, "content-length: 3\r\n", body.len())), 400, 1006),
            (b"nonsense\r\n\r\n".to_vec(), 400, 1006),
            (
                with_body(request_head("/bookings", &key, "idempotency-key: \r\n", body.len())),
                400,
                1008,
            ),
        ];
        for (request, status, code) in cases {
            assert_refused(&send_raw(&fleet, &request, READ_TIMEOUT).await, status, code);
        }
        assert_eq!(fleet.stand_ins.journal.key_count(), 0);
        assert_eq!(fleet.stand_ins.engines[0].cache_stats().0, 0);
    });
}

#[test]
fn slow_request_head_or_body_is_refused_with_408() {
    run(|rt| async move {
        let settings = FleetSettings {
            entries: 1,
            domains: 1,
            assistants: 1,
            portals: 0,
            ..Default::default()
        };
        let fleet = ready_fleet(&rt, settings).await;
        let read_timeout = Duration::from_secs(15);
        let partial_head = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
        assert_refused(&send_raw(&fleet, partial_head, read_timeout).await, 408, 1007);
        let partial_body = request_head(CHAT, &workspace_key(0), "", 100) + "{";
        assert_refused(&send_raw(&fleet, partial_body.as_bytes(), read_timeout).await, 408, 1007);
    });
}

/// Runs a program with `--check` on the settings; returns its exit code and standard error.
fn check_settings(program: &std::path::Path, yaml: &str) -> (Option<i32>, String) {
    let name = format!("settings-{}-{:x}.yaml", std::process::id(), rand::random::<u64>());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, yaml).unwrap();
    let out = std::process::Command::new(program)
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
}

#[test]
fn invalid_settings_are_rejected_with_code_key_and_line() {
    let entry = "name: e\ndomain: d\nlisten: 127.0.0.1:1\npeer_listen: 127.0.0.1:2\n";
    let agent = "name: a\ndomain: d\nservice: s\nkind: model\nlisten: 127.0.0.1:1\n\
                 engine: 127.0.0.1:2\nentries: ['127.0.0.1:3']\n";
    let programs = programs();
    assert_eq!(check_settings(&programs.entry, entry).0, Some(0));
    assert_eq!(check_settings(&programs.agent, agent).0, Some(0));
    let peers = "peers: [{name: e, address: '127.0.0.1:3'}]\n";
    let cases = [
        (&programs.entry, format!("{entry}colour: red\n"), "6002", "colour"),
        (&programs.entry, entry.replace("127.0.0.1:1", "localhost:1"), "6003", "listen"),
        (&programs.entry, format!("{entry}{peers}"), "6003", "peers.name"),
        (&programs.entry, format!("{entry}limits: {{body_bytes: 0}}\n"), "6003", "body_bytes"),
        (&programs.entry, format!("{entry}voter: true\n"), "6003", "voter"),
        (&programs.entry, format!("{entry}admin: {{address: '0.0.0.0:9'}}\n"), "6003", "admin"),
        (&programs.agent, format!("{agent}start_limit: 0\n"), "6003", "start_limit"),
        (&programs.agent, agent.replace("model", "magic"), "6002", "kind"),
    ];
    for (program, yaml, code, key) in cases {
        let (exit, stderr) = check_settings(program, &yaml);
        assert_eq!(exit, Some(2), "{yaml}\n{stderr}");
        assert!(
            stderr.contains(code) && stderr.contains(key) && stderr.contains("line"),
            "{stderr}"
        );
    }
}

/// Fetches `path` from the admin address of the first entry.
async fn get_admin(fleet: &ProcessFleet, path: &str) -> String {
    let mut stream = TcpStream::connect(fleet.plan.admin_address(0)).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut out = String::new();
    stream.read_to_string(&mut out).await.unwrap();
    out
}

#[test]
fn admin_address_serves_health_readiness_and_metrics() {
    run(|rt| async move {
        let settings = FleetSettings {
            entries: 1,
            domains: 1,
            assistants: 1,
            portals: 0,
            ..Default::default()
        };
        let fleet = ready_fleet(&rt, settings).await;
        let req = crocustally_standin::CallerRequest::chat(&workspace_key(0), "course", "quiz", 4);
        assert!(fleet.caller(0).send(&req).await.is_complete_stream(0, 4));
        assert!(get_admin(&fleet, "/healthz").await.starts_with("HTTP/1.1 200"));
        let ready = timeout(READ_TIMEOUT, async {
            while !get_admin(&fleet, "/readyz").await.starts_with("HTTP/1.1 200") {}
        });
        assert!(ready.await.is_some());
        let metrics = get_admin(&fleet, "/metrics").await;
        assert!(metrics.contains("crocustally_whole_total{service=\"assistant\"} 1"), "{metrics}");
        assert!(get_admin(&fleet, "/elsewhere").await.starts_with("HTTP/1.1 404"));
    });
}
