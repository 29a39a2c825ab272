//! The promises, judged from what callers and runners have seen.

use std::collections::HashMap;
use std::time::Duration;

use crate::load::Attempt;
use crate::runner::Execution;
use crate::runner::complete_stream;

/// Time after its deadline by which a caller must have an answer from a gateway that runs.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];
/// How long after the answer a run may be on its way.
const RUN_SLACK: Duration = Duration::from_millis(5);

/// What was broken; empty when every promise held.
pub fn broken(attempts: &[Attempt], runs: &[Execution]) -> Vec<String> {
    let mut by_id: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for run in runs {
        by_id.entry(run.request.as_str()).or_default().push(run);
    }
    let mut out = Vec::new();
    for a in attempts {
        let ran = by_id.get(a.id.as_str()).map_or(0, Vec::len);
        if a.kind == "once" && ran > 1 {
            out.push(format!("{} ran {ran} times", a.id));
        }
        let Some(got) = &a.got else { continue };
        if REFUSALS.contains(&got.status) && got.complete && !got.signed && ran > 0 {
            let late = by_id[a.id.as_str()].iter().any(|r| r.at > a.ended + RUN_SLACK);
            let when = if late { "later" } else { "before" };
            out.push(format!("{} was refused with {} and ran {when}", a.id, got.status));
        }
        let whole = match a.kind {
            "stream" => complete_stream(&a.id),
            _ => format!("whole {}", a.id),
        };
        if got.status == 200 {
            if got.complete && got.body != whole {
                out.push(format!("{} looks complete with {:?}", a.id, got.body));
            }
            if !got.complete && !whole.starts_with(&got.body) {
                out.push(format!("{} got another answer: {:?}", a.id, got.body));
            }
            if !got.signed || ran == 0 {
                out.push(format!("{} got a success that no runner made", a.id));
            }
        }
    }
    let sent: std::collections::HashSet<&str> = attempts.iter().map(|a| a.id.as_str()).collect();
    for run in runs.iter().filter(|r| !sent.contains(r.request.as_str())) {
        out.push(format!("{} ran, and nobody sent it", run.request));
    }
    out
}
