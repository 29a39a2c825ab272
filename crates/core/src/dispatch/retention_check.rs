//! [`RetentionCheck`]: whether the endpoints of a service retain prompts, judged by first events.

use std::time::Duration;
use std::time::Instant;

/// A first event of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// Time from sending the request to its first event.
    pub latency: Duration,
    /// Time of the prefill if the endpoint held nothing.
    pub full_prefill: Duration,
    /// Part of that time that was believed to be saved.
    pub believed_saving: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    count: u32,
    /// Sum of the latencies less the full prefill times, in seconds.
    excess_s: f64,
    saving_s: f64,
}

impl Samples {
    fn mean(&self, sum: f64) -> f64 {
        sum / f64::from(self.count.max(1))
    }
}

/// Compares the first events of requests that were believed to save time with those of the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetentionCheck {
    with_saving: Samples,
    without: Samples,
    keeps_nothing_until: Option<Instant>,
}

/// First events of each kind that a judgement needs: their latencies vary by one forward pass, a
/// multiple of the usual saving.
const SAMPLES_MIN: u32 = 100;
/// Part of the believed saving that must show. Less is within the variation of the means.
const VISIBLE_SHARE: f64 = 0.25;
/// Time after which a service that kept nothing is examined again: engines are replaced or set up
/// anew by operators, within minutes at the earliest.
const RECHECK_AFTER: Duration = Duration::from_secs(300);

impl RetentionCheck {
    /// Records a first event; returns whether the endpoints have just turned out to keep nothing.
    pub fn record(&mut self, now: Instant, event: FirstEvent) -> bool {
        let samples =
            if event.believed_saving.is_zero() { &mut self.without } else { &mut self.with_saving };
        samples.count += 1;
        samples.excess_s += event.latency.as_secs_f64() - event.full_prefill.as_secs_f64();
        samples.saving_s += event.believed_saving.as_secs_f64();
        let (with, without) = (self.with_saving, self.without);
        if with.count.min(without.count) < SAMPLES_MIN {
            return false;
        }
        (self.with_saving, self.without) = (Samples::default(), Samples::default());
        let gained_s = without.mean(without.excess_s) - with.mean(with.excess_s);
        let keeps_nothing = gained_s < with.mean(with.saving_s) * VISIBLE_SHARE;
        self.keeps_nothing_until = keeps_nothing.then(|| now + RECHECK_AFTER);
        keeps_nothing
    }

    /// Whether the endpoints are treated as keeping nothing.
    pub fn keeps_nothing(&self, now: Instant) -> bool {
        self.keeps_nothing_until.is_some_and(|until| now < until)
    }
}
