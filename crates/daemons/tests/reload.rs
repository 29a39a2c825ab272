//! SIGHUP during the start of a daemon.
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

/// Guards against a SIGHUP that ends the process by its default action because it arrives before
/// the handler is installed.
#[test]
fn sighup_while_settings_are_read_does_not_end_process() {
    let folder = std::env::temp_dir().join(format!("crocustally-reload-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // The settings file is a named pipe: the daemon blocks on it until the settings are written.
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
    let write_result = pipe.write_all(yaml.to_string().as_bytes());
    drop(pipe);
    std::thread::sleep(Duration::from_millis(500));
    let exit = child.try_wait().unwrap();
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_dir_all(&folder);
    assert!(write_result.is_ok() && exit.is_none(), "exited with {exit:?}");
}
