//! [`GatewaySet`]: divides the limits that all gateways share.

use std::sync::Arc;

/// Headroom in every shared limit for gateways that this one does not know of.
const UNKNOWN_GATEWAYS_MAX: u32 = 4;
/// Divisor of a limit below the number of gateways; the quotient stays free for gateways that have
/// just restarted.
const RESTART_RESERVE_DIVISOR: u32 = 4;
/// Divisor of the same limit; the quotient is what gateways that have all just restarted use in the
/// mean. The number of them that have a part varies, so it is far below the limit.
const RESTART_MEAN_DIVISOR: u32 = 3;

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
    expected: u32,
}

impl GatewaySet {
    /// The gateway `own` and the others that it knows. `complete` tells whether they include all
    /// gateways but the few that have joined most recently.
    pub fn new(own: u64, others: impl IntoIterator<Item = u64>, complete: bool) -> Self {
        let others = others.into_iter().filter(|id| *id != own).collect();
        Self { own, others, complete, expected: 0 }
    }

    /// Sets the most gateways that there have ever been, which counts until the set is complete.
    pub fn with_expected(self, expected: u32) -> Self {
        Self { expected, ..self }
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

    /// This gateway's part of a limit of the endpoint `key`; 0 if other gateways have all of it, and
    /// before the gateway knows how many others there are.
    pub fn share(&self, key: u64, limit: u32) -> u32 {
        if !self.complete {
            return self.share_after_restart(key, limit);
        }
        let even = limit / self.upper_bound();
        let remainder = limit % self.upper_bound();
        // What other gateways may count on as their part of the remainder stays free.
        let first = if even == 0 {
            let reserve = UNKNOWN_GATEWAYS_MAX.max(limit / RESTART_RESERVE_DIVISOR);
            remainder.saturating_sub(reserve).max(1).min(limit)
        } else {
            remainder.saturating_sub(UNKNOWN_GATEWAYS_MAX)
        };
        even + u32::from(self.rank(key, first) < first)
    }

    /// The part of a gateway that does not know which others there are, but how many at most. It
    /// cannot rank itself, so its hash alone decides whether it has a part of a small limit.
    fn share_after_restart(&self, key: u64, limit: u32) -> u32 {
        if self.expected == 0 {
            return 0;
        }
        let gateways = self.expected.max(self.known()) + UNKNOWN_GATEWAYS_MAX;
        let even = limit / gateways;
        if even > 0 {
            return even;
        }
        let part = f64::from(limit / RESTART_MEAN_DIVISOR) / f64::from(gateways);
        u32::from((mix(self.own, key) as f64) < part * u64::MAX as f64)
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
