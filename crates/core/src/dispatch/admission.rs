//! [`Admission`]: which requests of a service may still be admitted when places become short.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::SlidingWindow;
use super::WorkspaceShares;

/// Settings of an [`Admission`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Urgencies of the service's requests, in ascending order; lower values are more urgent.
    pub urgencies: SmallVec<[u8; 4]>,
    /// The places that more urgent requests take in this time are kept free for them by requests that can
    /// still meet their objective.
    pub reserve: Duration,
    /// The places that requests on time take in this time are kept free for them by late requests.
    pub late_reserve: Duration,
    /// Share of its requests that each class is admitted at least, relative to the share of all.
    pub floor: f64,
}

impl AdmissionSettings {
    /// The settings of a service whose requests have these urgencies.
    pub fn for_urgencies(urgencies: impl IntoIterator<Item = u8>) -> Self {
        let mut urgencies: SmallVec<[u8; 4]> = urgencies.into_iter().collect();
        urgencies.sort_unstable();
        urgencies.dedup();
        Self { urgencies, reserve: RESERVE, late_reserve: LATE_RESERVE, floor: FLOOR }
    }
}

/// Default of [`AdmissionSettings::reserve`]: half of the age of the freshest load reports. In the model of the tests,
/// longer times left places empty that less urgent requests could have used.
const RESERVE: Duration = Duration::from_millis(50);
/// Default of [`AdmissionSettings::late_reserve`]: the age of the oldest load reports, since a late request must
/// not take the place of one that is on time.
const LATE_RESERVE: Duration = Duration::from_millis(300);
/// Largest share of the places that is kept free for more urgent requests.
const RESERVE_MAX: f64 = 0.3;
/// Default of [`AdmissionSettings::floor`]: twice the quarter below which callers count as starved.
const FLOOR: f64 = 0.5;
/// Window over which the requests of a class are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Requests of a class in the window below which its floor does not apply.
const FLOOR_REQUESTS_MIN: usize = 8;

/// Class of a request when places are short; lower values are admitted first.
///
/// Requests that can still meet their objective come first, by urgency; then the late ones, by urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionClass {
    /// Whether the request can no longer meet its latency objective.
    pub late: bool,
    /// Rank of its urgency among those of the service.
    pub rank: u8,
}

/// How far a class of requests may fill the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimit {
    /// Share of the fleet's places up to which the class is admitted.
    pub ceiling: f64,
    /// Factor on this gateway's part of the places that are free: less urgent requests leave them, so
    /// fewer requests compete for them.
    pub part_factor: f64,
}

impl Default for AdmissionLimit {
    fn default() -> Self {
        Self { ceiling: 1.0, part_factor: 1.0 }
    }
}

/// Largest [`AdmissionLimit::part_factor`], in case the requests of all gateways arrive together.
const PART_FACTOR_MAX: f64 = 4.0;

impl AdmissionClass {
    /// Position in the queue; lower values are served first.
    pub fn position(self) -> u8 {
        self.rank.saturating_add(if self.late { LATE_POSITION } else { 0 })
    }
}

/// Position in the queue of the most urgent late requests, behind all that are on time.
const LATE_POSITION: u8 = 128;

/// Decides how far each class may fill the fleet.
///
/// All gateways see the same load reports of the endpoints, so they hold the same classes back without any
/// message between them. The most urgent class may use all places; each further one leaves free what
/// more urgent requests take until the next reports. In an overload the fleet fills up to the ceiling of
/// the class that just does not fit, and the places above are free for all more urgent ones.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionSettings,
    arrived: Vec<SlidingWindow>,
    admitted: Vec<SlidingWindow>,
    refused: Vec<SlidingWindow>,
    workspaces: WorkspaceShares,
}

impl Admission {
    /// Creates the admission of a service without any history.
    pub fn new(cfg: AdmissionSettings) -> Self {
        let windows = || vec![SlidingWindow::new(WINDOW); cfg.urgencies.len()];
        Self {
            arrived: windows(),
            admitted: windows(),
            refused: windows(),
            workspaces: WorkspaceShares::default(),
            cfg,
        }
    }

    /// The settings.
    pub fn settings(&self) -> &AdmissionSettings {
        &self.cfg
    }

    /// Class of a request of an urgency.
    pub fn class(&self, urgency: u8, late: bool) -> AdmissionClass {
        let rank = self.cfg.urgencies.partition_point(|u| *u < urgency);
        let last = self.cfg.urgencies.len().saturating_sub(1);
        AdmissionClass { late, rank: rank.min(last) as u8 }
    }

    /// What each workspace was admitted recently.
    pub fn workspace_shares(&self) -> &WorkspaceShares {
        &self.workspaces
    }

    /// How far a class may fill the places. `own_places` is this gateway's even part of them.
    pub fn limit(
        &mut self,
        now: Instant,
        class: AdmissionClass,
        own_places: f64,
    ) -> AdmissionLimit {
        if self.is_below_floor(now, class) {
            return AdmissionLimit::default();
        }
        let arrived: SmallVec<[f64; 8]> =
            self.arrived.iter_mut().map(|w| w.count(now) as f64).collect();
        let all: f64 = arrived.iter().sum();
        // All late classes share one limit: what is late already is worth about the same.
        let ranks_ahead = if class.late { arrived.len() } else { usize::from(class.rank) };
        let ahead: f64 = arrived[..ranks_ahead].iter().sum();
        let own = if class.late { 0.0 } else { arrived.get(ranks_ahead).copied().unwrap_or(0.0) };
        let time = if class.late { self.cfg.late_reserve } else { self.cfg.reserve };
        let taken = ahead / WINDOW.as_secs_f64() * time.as_secs_f64();
        AdmissionLimit {
            ceiling: 1.0 - (taken / own_places.max(1.0)).min(RESERVE_MAX),
            part_factor: (all / (ahead + own).max(1.0)).clamp(1.0, PART_FACTOR_MAX),
        }
    }

    /// Records that a request of a class arrived.
    pub fn record_arrival(&mut self, now: Instant, class: AdmissionClass) {
        if let Some(window) = self.arrived.get_mut(usize::from(class.rank)) {
            window.add(now);
        }
    }

    /// Records that a request of a class and a workspace was admitted or refused.
    pub fn record(&mut self, now: Instant, class: AdmissionClass, workspace: u64, admitted: bool) {
        if admitted {
            self.workspaces.add(now, workspace);
        }
        let windows = if admitted { &mut self.admitted } else { &mut self.refused };
        if let Some(window) = windows.get_mut(usize::from(class.rank)) {
            window.add(now);
        }
    }

    /// Whether a class has been admitted so rarely of late that its reserve is lifted.
    fn is_below_floor(&mut self, now: Instant, class: AdmissionClass) -> bool {
        let mut own = (0, 0);
        let mut all = (0, 0);
        for rank in 0..self.admitted.len() {
            let counts = (self.admitted[rank].count(now), self.refused[rank].count(now));
            all = (all.0 + counts.0, all.1 + counts.1);
            if rank == usize::from(class.rank) {
                own = counts;
            }
        }
        let asked = own.0 + own.1;
        if asked < FLOOR_REQUESTS_MIN {
            return false;
        }
        let share = |(admitted, refused): (usize, usize)| {
            admitted as f64 / (admitted + refused).max(1) as f64
        };
        share(own) < self.cfg.floor * share(all)
    }
}
