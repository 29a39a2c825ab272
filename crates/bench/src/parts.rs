//! `parts`: what the parts of prompts cost, by the length of the prompts.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::control::CrashEvidence;
use crocustally_core::control::PartFilter;
use crocustally_core::control::PartSet;
use crocustally_core::control::PromptPart;
use crocustally_wire::EndpointEnd;
use crocustally_wire::PromptParts;
use prost::Message as _;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

/// Lengths of prompts: usual ones, a long conversation, and a head of 16 KiB.
const LENGTHS: [usize; 4] = [4, 100, 1000, 3000];
/// Requests in flight at each end.
const IN_FLIGHT: usize = 12;
const ENDS: u64 = 8;
const DECISIONS: u32 = 2000;
/// Longest time for a decision on a prompt of 1,000 parts.
const DECISION_MAX: Duration = Duration::from_micros(100);
const SERVICE: &str = "s";

fn mean_us(started: Instant, n: u32) -> f64 {
    started.elapsed().as_secs_f64() * 1e6 / f64::from(n)
}

/// Measures prompts of one length: half of the parts are those of all prompts.
fn measure(rng: &mut ChaCha8Rng, length: usize) -> Value {
    let shared: Vec<u64> = (0..length / 2).map(|_| rng.random()).collect();
    let mut prompt = || -> Vec<u64> {
        let own = (0..length - length / 2).map(|_| rng.random::<u64>());
        shared.iter().copied().chain(own).collect()
    };
    let mut evidence = CrashEvidence::default();
    let ends: Vec<EndpointEnd> = (0..ENDS)
        .map(|n| EndpointEnd {
            service: SERVICE.to_owned(),
            endpoint: format!("e{n}"),
            born_ms: n,
            requests: (0..IN_FLIGHT)
                .map(|_| PromptParts { parts: prompt(), sent_ago_ms: 100 })
                .collect(),
            noticed_ago_ms: 0,
        })
        .collect();
    let end_bytes = ends[0].encoded_len();
    let started = Instant::now();
    for (n, end) in ends.iter().enumerate() {
        evidence.record_end(n as u64 * 10_000, end);
    }
    let record_us = mean_us(started, ENDS as u32);
    let published = evidence.suspect_parts();
    let filter = PartFilter::from(&published);
    let numbers = prompt();
    let started = Instant::now();
    for _ in 0..DECISIONS {
        black_box(numbers.iter().copied().map(PromptPart).collect::<PartSet>());
    }
    let decode_us = mean_us(started, DECISIONS);
    let parts = PartSet::from(&numbers[..]);
    let started = Instant::now();
    for _ in 0..DECISIONS {
        black_box(filter.blocked(SERVICE, black_box(&parts)));
    }
    let decision_us = mean_us(started, DECISIONS);
    let started = Instant::now();
    for _ in 0..DECISIONS {
        black_box(filter.suspects(SERVICE, black_box(&parts)));
    }
    let state: usize = evidence.export().iter().map(|s| s.encoded_len()).sum();
    json!({
        "parts": length,
        "set_us": decode_us,
        "decision_us": decision_us,
        "suspects_us": mean_us(started, DECISIONS),
        "request_bytes": parts.len() * size_of::<PromptPart>(),
        "end_bytes": end_bytes,
        "record_end_us": record_us,
        "snapshot_bytes": state,
        "feed_bytes": published.encoded_len(),
    })
}

/// Measures all lengths. The target is the decision on a prompt of 1,000 parts.
pub(crate) fn run(seed: u64) -> (Value, bool) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rows: Vec<Value> = LENGTHS.iter().map(|length| measure(&mut rng, *length)).collect();
    let decision = rows.iter().find(|r| r["parts"] == 1000).and_then(|r| r["decision_us"].as_f64());
    let passed = decision.is_some_and(|us| us <= DECISION_MAX.as_secs_f64() * 1e6);
    (json!({"in_flight": IN_FLIGHT, "ends": ENDS, "prompts": rows}), passed)
}
