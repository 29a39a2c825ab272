//! [`GatewaySet`]: divides the limits that all gateways share.

use std::sync::Arc;

/// Headroom in every shared limit for gateways that this one does not know of.
const UNKNOWN_GATEWAYS_MAX: u32 = 4;

/// The gateways that one of them knows, itself included.
///
/// Every gateway computes its own part of a limit from the same identities, so the parts add up to
/// at most the limit without any exchange, also while gateways cannot reach each other. A limit
/// below the number of gateways goes to the gateways that rank first for the endpoint; the rank is
/// random but equal in the view of all, and differs from endpoint to endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewaySet {
    own: u64,
    others: Arc<[u64]>,
    complete: bool,
}

impl GatewaySet {
    /// The gateway `own` and the others that it knows. `complete` tells whether they include all
    /// gateways but the few that have joined most recently.
    pub fn new(own: u64, others: impl IntoIterator<Item = u64>, complete: bool) -> Self {
        Self { own, others: others.into_iter().filter(|id| *id != own).collect(), complete }
    }

    /// Number of known gateways, at least 1.
    pub fn known(&self) -> u32 {
        self.others.len() as u32 + 1
    }

    /// Upper bound of the number of gateways.
    pub fn upper_bound(&self) -> u32 {
        self.known() + UNKNOWN_GATEWAYS_MAX
    }

    /// Whether the set includes all gateways but the few that have joined most recently.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// This gateway's part of a limit of the endpoint `key`; 0 if other gateways have all of it.
    pub fn share(&self, key: u64, limit: u32) -> u32 {
        let even = limit / self.upper_bound();
        let remainder = limit % self.upper_bound();
        // What unknown gateways may count on as their part of the remainder stays free.
        let first = remainder.saturating_sub(UNKNOWN_GATEWAYS_MAX);
        let first = if even == 0 { first.max(1).min(limit) } else { first };
        even + u32::from(self.rank(key, first) < first)
    }

    /// Number of gateways that rank before this one for `key`; counted up to `most` only.
    fn rank(&self, key: u64, most: u32) -> u32 {
        let own = mix(self.own, key);
        let before = |id: &&u64| (mix(**id, key), **id) < (own, self.own);
        self.others.iter().filter(before).take(most as usize).count() as u32
    }
}

/// A 64-bit hash of two numbers: the finalizer of SplitMix64.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
