//! Encoding of load reports.

use crocustally_wire::LoadBatch;
use prost::Message as _;

/// Loads of `endpoints` endpoints in `groups` groups; 0 for an instance that names no groups.
fn batch(endpoints: u64, groups: u64) -> LoadBatch {
    LoadBatch {
        endpoints: (1..=endpoints).collect(),
        loads: vec![15; endpoints as usize],
        ages_ms: vec![40; endpoints as usize],
        groups: (0..endpoints).filter(|_| groups > 0).map(|n| (n % groups) as u32).collect(),
        group_keys: (0..groups).map(|g| u64::MAX - g).collect(),
    }
}

/// Guards against batches that fill the links: they go to every gateway ten times per second.
#[test]
fn groups_cost_a_byte_an_endpoint_and_nine_a_group() {
    for (endpoints, groups) in [(72, 3), (256, 12), (288, 12)] {
        let plain = batch(endpoints, 0).encoded_len() as u64;
        let named = batch(endpoints, groups).encoded_len() as u64;
        // Tag and length of each of the two lists take up to 3 bytes.
        let most = endpoints + 9 * groups + 6;
        assert!(named - plain <= most, "{endpoints} endpoints: {} bytes", named - plain);
    }
}

/// Guards against batches of an older release that are taken for malformed, and the other way round.
#[test]
fn batch_without_groups_is_read() {
    let plain = batch(3, 0).encode_to_vec();
    assert_eq!(LoadBatch::decode(&plain[..]), Ok(batch(3, 0)));
}
