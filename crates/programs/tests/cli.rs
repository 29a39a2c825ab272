//! The operators' command line, run against a deployment of processes.
#![allow(clippy::unwrap_used)]

mod common;

use std::process::Command;
use std::process::Output;
use std::time::Duration;

use common::ready_fleet;
use common::run;
use common::small_settings;
use crocustally_fleet::ProcessFleet;
use crocustally_fleet::workspace_key;
use crocustally_standin::CallerRequest;
use serde_json::Value;

/// Runs the command line with the peer addresses of `entries` as `--entry` arguments.
fn run_cli(fleet: &ProcessFleet, args: &[&str], entries: &[usize]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_crocustally"));
    command.args(args);
    for i in entries {
        command.arg("--entry").arg(fleet.plan.entries[*i].peer_address.to_string());
    }
    command.output().unwrap()
}

fn stdout_text(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned()
}

fn stdout_json(out: &Output) -> Value {
    serde_json::from_slice(&out.stdout).unwrap()
}

#[test]
fn subcommands_send_tickets_and_status_shows_them_at_every_entry() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, small_settings()).await;
        let out = run_cli(&fleet, &["out", "zone-b"], &[0]);
        assert!(
            out.status.success() && stdout_text(&out).contains("accepted"),
            "{}",
            stdout_text(&out)
        );
        let drained = run_cli(&fleet, &["drain", "assistant-1"], &[2]);
        assert!(drained.status.success());
        for i in 0..3 {
            let in_force = fleet.wait_status(i, Duration::from_secs(6), |s| s.version == 3).await;
            assert!(in_force, "ticket not in force at entry {i}");
        }
        let status = stdout_json(&run_cli(&fleet, &["status", "--json"], &[0, 1, 2]));
        for s in status["entries"].as_array().unwrap() {
            assert_eq!(s["domains_out"], serde_json::json!(["zone-b"]));
            assert_eq!(s["next_number"], 4);
            let leaving = |i: &&Value| i["leaving"] == true && i["name"] == "assistant-1";
            assert!(s["instances"].as_array().unwrap().iter().any(|i| leaving(&i)), "{s}");
        }
        let returned = run_cli(&fleet, &["return", "zone-b"], &[1]);
        assert!(returned.status.success());
    });
}

#[test]
fn status_marks_frozen_entry_as_cut_off_until_it_resumes() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, small_settings()).await;
        fleet.set_entry_frozen(2, true);
        let cut_off = |s: &crocustally_entry::StatusReport| {
            s.instances.iter().any(|i| i.name == "entry-3" && i.cut_off_since_ms.is_some())
        };
        assert!(fleet.wait_status(0, Duration::from_secs(15), cut_off).await);
        fleet.set_entry_frozen(2, false);
        assert!(fleet.wait_status(0, Duration::from_secs(15), |s| !cut_off(s)).await);
    });
}

#[test]
fn report_sums_all_entries_and_names_unreachable_ones() {
    run(|rt| async move {
        let mut fleet = ready_fleet(&rt, small_settings()).await;
        for i in 0..9 {
            let chat = CallerRequest::chat(&workspace_key(i % 2), "course", &i.to_string(), 4);
            assert!(fleet.caller(i % 3).send(&chat).await.is_complete_stream(0, 4));
        }
        let report = stdout_json(&run_cli(&fleet, &["report", "--json"], &[0, 1, 2]));
        let lines = report["lines"].as_array().unwrap();
        let requests: u64 = lines.iter().map(|l| l["requests"].as_u64().unwrap()).sum();
        assert_eq!((lines.len(), requests), (2, 9), "{report}");
        assert!(lines.iter().all(|l| l["whole_budget_left"] == 1.0), "{report}");
        fleet.kill_entry(1);
        let page = fleet.plan.folder.join("burn.html");
        let args = ["report", "--html", page.to_str().unwrap()];
        let partial = run_cli(&fleet, &args, &[0, 1, 2]);
        let missing = fleet.plan.entries[1].peer_address.to_string();
        assert!(!partial.status.success() && stdout_text(&partial).contains(&missing));
        let html = std::fs::read_to_string(page).unwrap();
        assert!(html.contains("<svg") && html.contains(&missing) && html.contains("assistant"));
    });
}

/// Guards against a key that is printed, and against a failure that does not name the address.
#[test]
fn where_names_the_gateway_that_does_not_answer_and_hides_the_key() {
    let path = std::env::temp_dir().join(format!("where-key-{}", std::process::id()));
    std::fs::write(&path, "key-of-north\n").unwrap();
    let ask = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_crocustally"));
        command.arg("where").arg("--key-file").arg(&path).args(args);
        command.output().unwrap()
    };
    // Nothing listens on port 1.
    let out = ask(&["--gateway", "127.0.0.1:1", "--prompt", "5c1e:800,e4:250", "h", "/v1/chat"]);
    assert_eq!(out.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(stderr.contains("127.0.0.1:1: not reached"), "{stderr}");
    assert!(!(stderr + &stdout_text(&out)).contains("key-of-north"));
    for bad in [["--prompt", "5c1e", "h", "/"], ["--tokens", "4", "h", "no-slash"]] {
        let args = [&["--gateway", "127.0.0.1:1"][..], &bad[..]].concat();
        assert_eq!(ask(&args).status.code(), Some(2), "{bad:?}");
    }
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn check_validates_tickets_without_a_deployment() {
    let path = std::env::temp_dir().join(format!("ticket-{}.yaml", std::process::id()));
    let check = |yaml: &str| {
        std::fs::write(&path, yaml).unwrap();
        Command::new(env!("CARGO_BIN_EXE_crocustally")).arg("check").arg(&path).output().unwrap()
    };
    assert_eq!(check("number: 1\ndomains: [{name: a}]\n").status.code(), Some(0));
    for bad in [
        "number: 0\ndomains: [{name: a}]\n",
        "number: 1\n",
        "number: 1\ndomains: [{name: a}, {name: a}]\n",
        "number: 1\ndomains: [{name: a, colour: red}]\n",
        "number: 1\nservices: [{name: s, kind: model, path: v1}]\n",
        "number: 1\nworkspaces: [{name: w, key_hash: short, services: []}]\n",
    ] {
        let out = check(bad);
        assert_eq!(out.status.code(), Some(2), "{bad}");
        assert!(String::from_utf8_lossy(&out.stderr).contains("5003"), "{bad}");
    }
    std::fs::remove_file(&path).unwrap();
}
