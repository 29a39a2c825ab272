//! Test of the table that `where` prints.

use crocustally_cli::where_table;
use serde_json::json;

/// Guards against a table that leaves out why an endpoint is not chosen, or the age of a report.
#[test]
fn table_shows_endpoints_with_reasons_ages_and_chances() {
    let endpoint = |name: &str, reason: Option<&str>, probability: f64, report: Option<u64>| {
        json!({"endpoint": name, "domain": "zone-a", "available": reason.is_none(),
            "reason": reason, "load": 3.0, "slots": 10, "in_flight": 1,
            "pending_prompt_tokens": 820, "report_age_ms": report, "heartbeat_age_ms": 412,
            "saved_tokens": 3000, "saved_ms": 40.1, "score": 7.8, "probability": probability})
    };
    let report = json!({"gateway": "g1", "domain": "zone-a", "policy_version": 7,
    "route": "chat", "workspace": "north", "priority": 1, "prompt_tokens": 4000,
    "services": [
        {"service": "assistant", "share": 0.75, "decision": "send", "held_back": null,
            "in_flight": 12, "limit": 48, "waiting": 0, "pass_ms": 96, "retention": "on",
            "retained_parts": 31, "endpoints": [
                endpoint("e-1", None, 0.625, Some(140)),
                endpoint("e-2", None, 0.375, None),
                endpoint("e-3", Some("ejected for 580 ms"), 0.0, Some(150)),
            ]},
        {"service": "other", "share": 0.25, "decision": "refuse",
            "held_back": "limit of all gateways", "in_flight": 0, "limit": null, "waiting": 3,
            "pass_ms": null, "retention": null, "retained_parts": null, "endpoints": [],
            "refusal": {"code": 2005, "text": "no endpoint", "retry_after_ms": 1200}},
    ]});
    insta::assert_snapshot!(where_table(&report));
}
