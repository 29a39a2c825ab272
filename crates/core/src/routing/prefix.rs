//! [`PrefixAffinity`]: which endpoint is thought to hold which prompt prefix.

use std::collections::HashMap;
use std::collections::VecDeque;

use super::EndpointKey;

/// Prefixes remembered by one entry for one service.
const PREFIXES_KEPT: usize = 8192;

/// A bounded guess, from own requests and late cache events; a wrong guess costs one cache miss.
#[derive(Clone, Debug, Default)]
pub struct PrefixAffinity {
    by_prefix: HashMap<u64, EndpointKey>,
    order: VecDeque<u64>,
}

impl PrefixAffinity {
    /// Notes that `key` has, or is about to have, the prefix.
    pub fn insert(&mut self, prefix: u64, key: EndpointKey) {
        if prefix == 0 {
            return;
        }
        if self.by_prefix.insert(prefix, key).is_some() {
            return;
        }
        self.order.push_back(prefix);
        if self.order.len() > PREFIXES_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_prefix.remove(&oldest);
        }
    }

    /// The endpoint that is thought to have the prefix.
    pub fn get(&self, prefix: u64) -> Option<EndpointKey> {
        self.by_prefix.get(&prefix).copied()
    }
}
