//! SIGHUP at any moment of a daemon's start.
#![allow(clippy::unwrap_used)]

use std::fs::File;
use std::io::Write;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::json;

#[test]
fn a_reload_while_the_settings_are_being_read_does_not_end_the_process() {
    let folder = std::env::temp_dir().join(format!("crocustally-reload-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // A pipe in place of the file: the daemon stands still until its settings are written.
    let settings = folder.join("gateway.yaml");
    assert!(Command::new("mkfifo").arg(&settings).status().unwrap().success());
    let mut child = Command::new(env!("CARGO_BIN_EXE_crocustally-gateway"))
        .arg("--settings")
        .arg(&settings)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let mut pipe = File::options().write(true).open(&settings).unwrap();
    kill_process(Pid::from_raw(child.id() as i32).unwrap(), Signal::HUP).unwrap();
    let yaml = json!({"name": "g", "domain": "d", "listen": "127.0.0.1:0",
        "seeds": ["127.0.0.1:1"], "control_port": 1});
    let written = pipe.write_all(yaml.to_string().as_bytes());
    drop(pipe);
    std::thread::sleep(Duration::from_millis(500));
    let ended = child.try_wait().unwrap();
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_dir_all(&folder);
    assert!(written.is_ok() && ended.is_none(), "ended with {ended:?}");
}
