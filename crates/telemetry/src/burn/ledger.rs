//! Counts of requests by customer, service and time, on one daemon.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::{CustomerName, InstanceId, ServiceName};

use super::report::{BurnPoint, BurnQuery, BurnReport, BurnRow, BurnSource, ReportDetail};
use super::ring::BucketRing;
use super::{BurnCounts, BurnObjective, BurnOutcome, BurnWindow};

/// Width of a bucket for the last hour.
const FINE_WIDTH: Duration = Duration::from_secs(10);
/// Number of buckets for the last hour.
const FINE_BUCKETS: u32 = 360;
/// Width of a bucket for the last three days.
const COARSE_WIDTH: Duration = Duration::from_mins(5);
/// Number of buckets for the last three days.
const COARSE_BUCKETS: u32 = 864;
/// Step between the points of the last hour in a report.
pub(super) const RECENT_STEP: Duration = Duration::from_mins(1);
/// Step between the points of the last three days in a report.
pub(super) const LONG_STEP: Duration = Duration::from_hours(1);
/// Customer or service name under which requests are counted once the ledger is full.
pub const OTHER_NAME: &str = "(other)";
/// Default maximum number of series in a ledger.
const DEFAULT_MAX_SERIES: usize = 128;

/// Lookup of the objectives in the contracts in force.
pub trait ObjectiveSource {
    /// Returns the objective of a customer at a service, or `None` when no contract names one.
    fn objective(&self, customer: &CustomerName, service: &ServiceName) -> Option<ObjectiveTerm>;
}

/// An objective and the version of the contract that it comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObjectiveTerm {
    /// Objective in force.
    pub objective: BurnObjective,
    /// Version of the contract. Merged reports keep the objective of the newer version.
    pub version: u64,
}

/// Counts requests on one daemon, in memory only.
///
/// ```text
/// record --> 10 s buckets over 1 h    --> windows 5m, 30m, 1h --.
///        `-> 5 min buckets over 3 d   --> windows 6h, 3d -------+--> BurnReport --merge--> fleet
/// ```
///
/// Recording takes two map lookups and two additions, independent of time and load.
///
/// Memory is bounded by the number of series, each of which takes at most 43 kB. A full ledger
/// drops series without requests for three days. When there are none, it counts requests of further
/// customers under [`OTHER_NAME`], so that the totals of a service stay correct.
#[derive(Debug)]
pub struct BurnLedger {
    source: InstanceId,
    wall_at_start: Duration,
    max_series: usize,
    series: BTreeMap<ServiceName, BTreeMap<CustomerName, BurnSeries>>,
    series_count: usize,
    next_sweep: Duration,
}

#[derive(Debug)]
struct BurnSeries {
    fine: BucketRing,
    coarse: BucketRing,
}

impl BurnLedger {
    /// Creates an empty ledger of a daemon whose wall clock showed `wall_at_start`, as time since
    /// the Unix epoch, at monotonic zero.
    ///
    /// The wall clock only aligns the points of reports; no window depends on it.
    #[must_use]
    pub fn new(source: InstanceId, wall_at_start: Duration) -> Self {
        Self {
            source,
            wall_at_start,
            max_series: DEFAULT_MAX_SERIES,
            series: BTreeMap::new(),
            series_count: 0,
            next_sweep: Duration::ZERO,
        }
    }

    /// Sets the number of series from which on the ledger is full, at least 1. Including the shared
    /// series, the ledger holds at most twice as many, and one more for all further services.
    #[must_use]
    pub fn max_series(mut self, bound: usize) -> Self {
        self.max_series = bound.max(1);
        self
    }

    /// Counts a request that ended at `now`.
    pub fn record(
        &mut self,
        now: Duration,
        customer: &CustomerName,
        service: &ServiceName,
        outcome: BurnOutcome,
    ) {
        let at = self.wall_at_start + now;
        let series = self.series_mut(now, customer, service);
        series.fine.record(at, outcome);
        series.coarse.record(at, outcome);
    }

    /// Returns a report of all rows, with the objectives in force now.
    #[must_use]
    pub fn report(
        &self,
        now: Duration,
        detail: ReportDetail,
        objectives: &dyn ObjectiveSource,
    ) -> BurnReport {
        let query = BurnQuery {
            detail,
            ..BurnQuery::default()
        };
        self.query(now, &query, objectives)
    }

    /// Returns a report of the rows that the query selects, with the objectives in force now.
    #[must_use]
    pub fn query(
        &self,
        now: Duration,
        query: &BurnQuery,
        objectives: &dyn ObjectiveSource,
    ) -> BurnReport {
        let at = self.wall_at_start + now;
        let mut rows = Vec::new();
        for (service, customers) in &self.series {
            for (customer, series) in customers {
                if query.selects(customer, service) && !series.coarse.is_stale(at) {
                    let term = objectives.objective(customer, service);
                    let term = term.unwrap_or_default();
                    rows.push(series.row(at, customer, service, term, query.detail));
                }
            }
        }
        rows.sort_by(|left, right| left.key().cmp(&right.key()));
        let source = BurnSource {
            instance: self.source,
            covers: now,
        };
        BurnReport {
            at: at.as_secs(),
            sources: vec![source],
            missing: 0,
            rows,
        }
    }

    fn series_mut(
        &mut self,
        now: Duration,
        customer: &CustomerName,
        service: &ServiceName,
    ) -> &mut BurnSeries {
        let (customer, service) = self.series_key(now, customer, service);
        let customers = self.series.entry(service).or_default();
        customers.entry(customer).or_insert_with(|| {
            self.series_count += 1;
            BurnSeries::new()
        })
    }

    /// Returns the names to count a request under: its own, or [`OTHER_NAME`] as the customer when
    /// the ledger is full. At twice the maximum number of series, requests for further services are
    /// counted under [`OTHER_NAME`] as the service too.
    fn series_key(
        &mut self,
        now: Duration,
        customer: &CustomerName,
        service: &ServiceName,
    ) -> (CustomerName, ServiceName) {
        if self.has_room(now, customer, service, self.max_series) {
            return (customer.clone(), service.clone());
        }
        let other = CustomerName::new(OTHER_NAME);
        if self.has_room(now, &other, service, 2 * self.max_series) {
            return (other, service.clone());
        }
        (other, ServiceName::new(OTHER_NAME))
    }

    /// Returns whether the series exists already or fewer than `bound` series exist.
    fn has_room(
        &mut self,
        now: Duration,
        customer: &CustomerName,
        service: &ServiceName,
        bound: usize,
    ) -> bool {
        let known = self.series.get(service);
        if known.is_some_and(|customers| customers.contains_key(customer)) {
            return true;
        }
        if self.series_count >= bound {
            self.sweep(now);
        }
        self.series_count < bound
    }

    /// Drops series without requests for three days. Runs at most once per [`COARSE_WIDTH`],
    /// because it visits every series.
    fn sweep(&mut self, now: Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + COARSE_WIDTH;
        let at = self.wall_at_start + now;
        for customers in self.series.values_mut() {
            customers.retain(|_, series| !series.coarse.is_stale(at));
        }
        self.series.retain(|_, customers| !customers.is_empty());
        self.series_count = self.series.values().map(BTreeMap::len).sum();
    }
}

impl BurnSeries {
    fn new() -> Self {
        Self {
            fine: BucketRing::new(FINE_WIDTH, FINE_BUCKETS),
            coarse: BucketRing::new(COARSE_WIDTH, COARSE_BUCKETS),
        }
    }

    fn row(
        &self,
        at: Duration,
        customer: &CustomerName,
        service: &ServiceName,
        term: ObjectiveTerm,
        detail: ReportDetail,
    ) -> BurnRow {
        let mut row = BurnRow {
            customer: customer.clone(),
            service: service.clone(),
            objective: term.objective,
            version: term.version,
            windows: BurnWindow::ALL.map(|window| self.sum(at, window)),
            recent: Vec::new(),
            long: Vec::new(),
        };
        if detail == ReportDetail::Points {
            row.recent = points_in(&self.fine, at, BurnWindow::OneHour, RECENT_STEP);
            row.long = points_in(&self.coarse, at, BurnWindow::ThreeDays, LONG_STEP);
        }
        row
    }

    fn sum(&self, at: Duration, window: BurnWindow) -> BurnCounts {
        let ring = match window {
            BurnWindow::FiveMinutes | BurnWindow::HalfHour | BurnWindow::OneHour => &self.fine,
            BurnWindow::SixHours | BurnWindow::ThreeDays => &self.coarse,
        };
        ring.sum(at, window.length())
    }
}

fn points_in(
    ring: &BucketRing,
    at: Duration,
    window: BurnWindow,
    step: Duration,
) -> Vec<BurnPoint> {
    ring.points(at, window.length(), step)
        .into_iter()
        .map(|(start, counts)| BurnPoint(start, counts))
        .collect()
}
