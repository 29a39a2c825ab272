//! [`PrefixAffinity`]: maps prompt prefixes to the endpoint that most likely has them cached.

use std::collections::HashMap;
use std::collections::VecDeque;

use super::EndpointKey;

/// Prefixes that one entry tracks per service.
const PREFIXES_MAX: usize = 8192;

/// A bounded map from prefix to endpoint, with the oldest prefix evicted first.
///
/// It is built from the entry's own requests and delayed cache reports, so it may be wrong; a wrong
/// mapping costs one cache miss.
#[derive(Clone, Debug, Default)]
pub struct PrefixAffinity {
    by_prefix: HashMap<u64, EndpointKey>,
    insertion_order: VecDeque<u64>,
}

impl PrefixAffinity {
    /// Maps a prefix to the endpoint that has it cached or soon will; prefix 0 means none.
    pub fn insert(&mut self, prefix: u64, key: EndpointKey) {
        if prefix == 0 {
            return;
        }
        if self.by_prefix.insert(prefix, key).is_some() {
            return;
        }
        self.insertion_order.push_back(prefix);
        if self.insertion_order.len() > PREFIXES_MAX
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.by_prefix.remove(&oldest);
        }
    }

    /// The endpoint that the prefix is mapped to.
    pub fn get(&self, prefix: u64) -> Option<EndpointKey> {
        self.by_prefix.get(&prefix).copied()
    }
}
