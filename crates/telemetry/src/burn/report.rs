//! Burn reports of one daemon, and their sum over many.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{CustomerName, DurationText, InstanceId, ServiceName};

use super::{BurnCounts, BurnObjective, BurnWindow, WindowCoverage};

/// Counts of one time step of a plot, with its start in seconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnPoint(pub u64, pub BurnCounts);

/// A daemon whose counts are in a report.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnSource {
    /// Daemon and its incarnation.
    pub instance: InstanceId,
    /// Time for which the daemon has counted requests, up to the report.
    #[serde_as(as = "DurationText")]
    pub covers: Duration,
}

/// Counts of one customer at one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Customer that sent the requests.
    pub customer: CustomerName,
    /// Service that the requests were for.
    pub service: ServiceName,
    /// Objective of the service for the customer.
    pub objective: BurnObjective,
    /// Version of the contract that the objective comes from.
    pub version: u64,
    /// Counts by window, in the order of [`BurnWindow::ALL`].
    pub windows: [BurnCounts; 5],
    /// Points of the last hour by minute; empty unless [`ReportDetail::Points`] was asked for.
    pub recent: Vec<BurnPoint>,
    /// Points of the last three days by hour; empty unless [`ReportDetail::Points`] was asked for.
    pub long: Vec<BurnPoint>,
}

impl BurnRow {
    /// Returns the customer and service, by which rows are sorted and merged.
    #[must_use]
    pub fn key(&self) -> (&CustomerName, &ServiceName) {
        (&self.customer, &self.service)
    }

    /// Returns the counts of a window.
    #[must_use]
    pub const fn counts(&self, window: BurnWindow) -> &BurnCounts {
        &self.windows[window.index()]
    }

    fn merge(&mut self, other: &Self) {
        if other.version > self.version {
            self.version = other.version;
            self.objective = other.objective;
        }
        for (sum, counts) in self.windows.iter_mut().zip(other.windows) {
            *sum += counts;
        }
        merge_points(&mut self.recent, &other.recent);
        merge_points(&mut self.long, &other.long);
    }
}

fn merge_points(points: &mut Vec<BurnPoint>, others: &[BurnPoint]) {
    for &BurnPoint(start, counts) in others {
        match points.binary_search_by_key(&start, |point| point.0) {
            Ok(index) => points[index].1 += counts,
            Err(index) => points.insert(index, BurnPoint(start, counts)),
        }
    }
}

/// Level of detail of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportDetail {
    /// Counts of the windows only.
    #[default]
    Windows,
    /// Counts of the windows, and the points of the plots.
    Points,
}

/// Selection of rows and their level of detail.
///
/// Points make a row sixteen times as large, so ask for them for one customer or service, and only
/// for windows when querying a whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BurnQuery {
    /// Selects only this customer; `None` selects all.
    pub customer: Option<CustomerName>,
    /// Selects only this service; `None` selects all.
    pub service: Option<ServiceName>,
    /// Level of detail of each row.
    pub detail: ReportDetail,
}

impl BurnQuery {
    /// Returns whether the query selects the row of this customer and service.
    #[must_use]
    pub fn selects(&self, customer: &CustomerName, service: &ServiceName) -> bool {
        self.customer
            .as_ref()
            .is_none_or(|wanted| wanted == customer)
            && self.service.as_ref().is_none_or(|wanted| wanted == service)
    }
}

/// Counts of one daemon, or the sum over many.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time of the report, in seconds since the Unix epoch.
    pub at: u64,
    /// Daemons whose counts are in the report, sorted by instance.
    pub sources: Vec<BurnSource>,
    /// Number of daemons that were asked and gave no report.
    #[serde(default)]
    pub missing: u64,
    /// Rows sorted by customer and service.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Adds the counts of another report.
    ///
    /// Returns false and adds nothing when a daemon is in both reports, because its requests would
    /// be counted twice.
    pub fn merge(&mut self, other: &Self) -> bool {
        let duplicate = other
            .sources
            .iter()
            .any(|source| self.has_source(&source.instance));
        if duplicate {
            return false;
        }
        self.at = self.at.max(other.at);
        self.missing = self.missing.saturating_add(other.missing);
        self.sources.extend_from_slice(&other.sources);
        self.sources.sort_by_key(|source| source.instance);
        for row in &other.rows {
            self.merge_row(row);
        }
        true
    }

    /// Counts a daemon that was asked and gave no report, so that readers see that the sum is
    /// incomplete.
    pub fn count_missing(&mut self) {
        self.missing = self.missing.saturating_add(1);
    }

    /// Returns whether the counts of a daemon are in the report.
    #[must_use]
    pub fn has_source(&self, instance: &InstanceId) -> bool {
        self.sources
            .binary_search_by_key(instance, |source| source.instance)
            .is_ok()
    }

    /// Returns the part of each window that the daemons have counted, on average.
    #[must_use]
    pub fn coverage(&self) -> WindowCoverage {
        let times: Vec<_> = self.sources.iter().map(|source| source.covers).collect();
        WindowCoverage::of(&times)
    }

    fn merge_row(&mut self, row: &BurnRow) {
        let index = self.rows.binary_search_by(|own| own.key().cmp(&row.key()));
        match index {
            Ok(index) => self.rows[index].merge(row),
            Err(index) => self.rows.insert(index, row.clone()),
        }
    }
}
