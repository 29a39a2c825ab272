//! A daemon as a child process with a limit on its descriptors.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// A running daemon; killed on drop.
pub struct Daemon {
    child: Child,
    log: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts `program` with `settings`, written into `folder`, and at most `descriptors` descriptors.
    pub fn start(
        program: &str,
        folder: &Path,
        name: &str,
        settings: &str,
        descriptors: usize,
    ) -> Self {
        std::fs::create_dir_all(folder).unwrap();
        let path = folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).unwrap();
        let log = folder.join(format!("{name}.log"));
        let out = File::create(&log).unwrap();
        // The limit is in force before the program starts, as it may read it then.
        let script = format!("ulimit -n {descriptors}; exec \"$0\" --settings \"$1\"");
        let mut command = Command::new("sh");
        command.arg("-c").arg(script).arg(program).arg(&path).stdin(Stdio::null());
        command.stderr(out.try_clone().unwrap()).stdout(out);
        Self { child: command.spawn().unwrap(), log }
    }

    /// Peak resident memory in bytes.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or("0 kB");
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
    }

    /// Open descriptors.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).map_or(0, Iterator::count)
    }

    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}
