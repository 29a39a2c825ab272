//! Signals during the start of a daemon.
#![allow(clippy::unwrap_used)]

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::json;

/// A gateway that blocks on its settings file, a named pipe, until they are written.
struct Starting {
    child: Child,
    pipe: File,
    folder: PathBuf,
}

impl Starting {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("crocustally-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let settings = folder.join("gateway.yaml");
        assert!(Command::new("mkfifo").arg(&settings).status().unwrap().success());
        let child = Command::new(env!("CARGO_BIN_EXE_crocustally-gateway"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let pipe = File::options().write(true).open(&settings).unwrap();
        Self { child, pipe, folder }
    }

    /// Sends a signal, then the settings; returns the exit status if the process exits within 500 ms.
    fn signal_and_write(mut self, signal: Signal) -> Option<ExitStatus> {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
        let yaml = json!({"name": "g", "domain": "d", "listen": "127.0.0.1:0",
            "seeds": ["127.0.0.1:1"], "control_port": 1});
        let written = self.pipe.write_all(yaml.to_string().as_bytes());
        drop(self.pipe);
        std::thread::sleep(Duration::from_millis(500));
        let exit = self.child.try_wait().unwrap();
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
        assert!(written.is_ok(), "the process did not read its settings, exit {exit:?}");
        exit
    }
}

/// Guards against a SIGHUP that ends the process by its default action because it arrives before
/// the handler is installed.
#[test]
fn sighup_while_settings_are_read_does_not_end_process() {
    let exit = Starting::new("hup").signal_and_write(Signal::HUP);
    assert!(exit.is_none(), "exited with {exit:?}");
}

/// Guards against a SIGTERM that ends the process by its default action because it arrives before the
/// handler is installed (soak seed 347).
#[test]
fn sigterm_while_settings_are_read_is_a_graceful_shutdown() {
    let exit = Starting::new("term").signal_and_write(Signal::TERM);
    assert!(exit.is_some_and(|status| status.success()), "exit {exit:?}");
}
