//! [`LearnedSkew`]: the worst recent skew of a group, from the gaps between events of its streams.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::MemberKey;
use super::PassModel;

/// Time within which the events of one pass arrive from all ranks of a group: above the differences in
/// delay between failure domains, below the shortest pass.
const PASS_SPREAD: Duration = Duration::from_millis(20);
/// Number of endpoints whose streams must show the same pass. The delay of one connection is not a slow
/// pass. With 3, a twentieth of the gateways learned nothing from a shift: with 31 gateways, each has only
/// about five streams in a group of 24 ranks.
const AGREEING_MIN: usize = 2;
/// Gaps kept of one pass; the median of more is hardly any different.
const GAPS_MAX: usize = 16;
/// Gaps above this multiple of the promised gap contain a stall or the re-forming of a group, which says
/// nothing about load.
const STALL_FACTOR: u32 = 3;
/// Time for which the worst skew applies in full: several shifts of expert popularity, which come every
/// 3 to 4 s.
const HOLD_TIME: Duration = Duration::from_secs(20);
/// Time constant with which the worst skew falls after [`HOLD_TIME`].
const DECAY_TIME: Duration = Duration::from_secs(20);
/// Smallest load from which a skew is derived, as a share of the group's limit. Below it a single prompt
/// decides how long a pass takes.
const LOAD_SHARE_MIN: f64 = 0.75;
/// The same for passes that are longer than the promised gap allows, which cannot be left out of account.
const LATE_LOAD_SHARE_MIN: f64 = 0.25;

/// Events of one pass as they arrive.
#[derive(Clone, Debug)]
struct OpenPass {
    since: Instant,
    gaps: SmallVec<[(MemberKey, Duration); GAPS_MAX]>,
}

/// Worst skew that the passes of a group have shown recently.
///
/// An event that arrives late makes one gap longer and the next one shorter, for one stream or, if the
/// gateway itself was held up, for all of them. So a pass counts at most as the mean of it and the next.
#[derive(Clone, Debug, Default)]
pub struct LearnedSkew {
    open_pass: Option<OpenPass>,
    /// Start of the arrivals and median gap of the pass before.
    last_pass: Option<(Instant, Duration)>,
    worst: Option<(f64, Instant)>,
}

impl LearnedSkew {
    /// Whether a gap contains a stall, and so says nothing about load.
    pub fn is_stall(gap: Duration, model: &PassModel) -> bool {
        gap > model.gap_max * STALL_FACTOR
    }

    /// Records the gap between two events of a stream at `member`, in a group with `load` requests per
    /// endpoint whose present limit is `limit`.
    pub fn record_gap(
        &mut self,
        now: Instant,
        member: MemberKey,
        gap: Duration,
        load: f64,
        limit: f64,
        model: &PassModel,
    ) {
        if Self::is_stall(gap, model) {
            self.open_pass = None;
            self.last_pass = None;
            return;
        }
        if let Some(pass) = &mut self.open_pass
            && now.saturating_duration_since(pass.since) < PASS_SPREAD
        {
            let is_new = pass.gaps.iter().all(|(key, _)| *key != member);
            if is_new && pass.gaps.len() < GAPS_MAX {
                pass.gaps.push((member, gap));
            }
            return;
        }
        let gaps = SmallVec::from_iter([(member, gap)]);
        if let Some(pass) = self.open_pass.replace(OpenPass { since: now, gaps }) {
            self.close_pass(pass, load, limit, model);
        }
    }

    fn close_pass(&mut self, mut pass: OpenPass, load: f64, limit: f64, model: &PassModel) {
        let before = self.last_pass.take();
        if pass.gaps.len() < AGREEING_MIN {
            return;
        }
        pass.gaps.sort_unstable_by_key(|(_, gap)| *gap);
        // The lower of the two in the middle.
        let median = pass.gaps[(pass.gaps.len() - 1) / 2].1;
        self.last_pass = Some((pass.since, median));
        let Some((before_at, before)) = before else { return };
        let consecutive = pass.since.saturating_duration_since(before_at) < median * 3 / 2;
        let lasted = before.min((before + median) / 2);
        let late = lasted > model.pass_max();
        let load_share_min = if late { LATE_LOAD_SHARE_MIN } else { LOAD_SHARE_MIN };
        if !consecutive || load < load_share_min * limit {
            return;
        }
        let Some(skew) = model.implied_skew(lasted, load) else { return };
        if self.worst(pass.since, model).is_none_or(|worst| skew >= worst) {
            self.worst = Some((skew, pass.since));
        }
    }

    /// The worst recent skew; `None` before the first observation. It falls towards the skew of the
    /// model.
    pub fn worst(&self, now: Instant, model: &PassModel) -> Option<f64> {
        let (worst, at) = self.worst?;
        let past_hold = now.saturating_duration_since(at).saturating_sub(HOLD_TIME);
        let left = (-past_hold.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        Some(model.skew.min(worst) + (worst - model.skew).max(0.0) * left)
    }
}
