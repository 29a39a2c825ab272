//! Invariants over the responses that callers got and the requests that runners executed.

use std::collections::HashMap;
use std::time::Duration;

use crate::load::Attempt;
use crate::runner::Execution;
use crate::runner::complete_stream;

/// Status codes with which a gateway refuses a request that was not executed.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];
/// Tolerance of the time comparison that reports whether a refused request was executed later.
const EXECUTION_SLACK: Duration = Duration::from_millis(5);

/// Describes all violations; empty if every invariant holds.
pub fn violations(attempts: &[Attempt], executions: &[Execution]) -> Vec<String> {
    let mut by_id: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for execution in executions {
        by_id.entry(execution.request.as_str()).or_default().push(execution);
    }
    let mut violations = Vec::new();
    for a in attempts {
        let execution_count = by_id.get(a.id.as_str()).map_or(0, Vec::len);
        if a.kind == "once" && execution_count > 1 {
            violations.push(format!("{} was executed {execution_count} times", a.id));
        }
        let Some(response) = &a.response else { continue };
        if REFUSALS.contains(&response.status)
            && response.complete
            && !response.signed
            && execution_count > 0
        {
            let late = by_id[a.id.as_str()].iter().any(|e| e.at > a.ended_at + EXECUTION_SLACK);
            let when = if late { "later" } else { "before" };
            violations
                .push(format!("{} was refused with {} and executed {when}", a.id, response.status));
        }
        let expected = match a.kind {
            "stream" => complete_stream(&a.id),
            _ => format!("whole {}", a.id),
        };
        if response.status == 200 {
            if response.complete && response.body != expected {
                violations.push(format!(
                    "{} got a complete response with the wrong body {:?}",
                    a.id, response.body
                ));
            }
            if !response.complete && !expected.starts_with(&response.body) {
                violations.push(format!("{} got the wrong partial body {:?}", a.id, response.body));
            }
            if !response.signed || execution_count == 0 {
                violations.push(format!("{} got a success that no runner sent", a.id));
            }
        }
    }
    let sent: std::collections::HashSet<&str> = attempts.iter().map(|a| a.id.as_str()).collect();
    for execution in executions.iter().filter(|e| !sent.contains(e.request.as_str())) {
        violations.push(format!("{} was executed, but no caller sent it", execution.request));
    }
    violations
}
