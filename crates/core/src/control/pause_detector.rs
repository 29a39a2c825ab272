//! [`PauseDetector`]: when the process was last paused.

use std::time::Duration;
use std::time::Instant;

/// Time between two ticks from which the process counts as paused: several of their intervals, and less
/// than an operator waits for a response.
const PAUSE_MIN: Duration = Duration::from_millis(500);

/// Detects pauses of the process or its machine from gaps between regular ticks.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    last_tick: Option<(Instant, u64)>,
    pause_ended: Option<Instant>,
}

impl PauseDetector {
    /// Records a tick, which is due several times within half a second. `unix_ms` is the wall clock, since
    /// the monotonic one stands still while a machine is suspended.
    pub fn tick(&mut self, now: Instant, unix_ms: u64) {
        if let Some((last, last_ms)) = self.last_tick.replace((now, unix_ms)) {
            let gap = now.saturating_duration_since(last);
            let gap = gap.max(Duration::from_millis(unix_ms.saturating_sub(last_ms)));
            if gap >= PAUSE_MIN {
                self.pause_ended = Some(now);
            }
        }
    }

    /// When the last pause had ended.
    pub fn pause_ended(&self) -> Option<Instant> {
        self.pause_ended
    }
}
