//! CPU time and memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Unit of the CPU times in `/proc` (USER_HZ).
const TICKS_PER_S: f64 = 100.0;

/// Resident memory in megabytes, or 0 if the process does not exist.
pub(crate) fn rss_mb(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    let kb = line.split_whitespace().nth(1).and_then(|v| v.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

/// CPU time used so far in user and kernel mode, or 0 if the process does not exist.
pub(crate) fn cpu_time(pid: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // Field 2 is the program name in parentheses, which may contain spaces. The times in user and
    // kernel mode are fields 14 and 15.
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| after_name.split_whitespace().nth(n).and_then(|v| v.parse::<f64>().ok());
    let ticks = field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0);
    Duration::from_secs_f64(ticks / TICKS_PER_S)
}

/// Arithmetic mean, or 0 without values.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, n) = values.fold((0.0, 0.0), |(s, n), v| (s + v, n + 1.0));
    if n > 0.0 { sum / n } else { 0.0 }
}
