//! Burn reports with computed rates, as shown to operators and written as JSON.

use std::collections::BTreeMap;

use serde::Serialize;
use sycamorelink_core::{CustomerName, ServiceName};

use super::alert::{BurnRule, burn_rate};
use super::report::{BurnPoint, BurnReport, BurnRow};
use super::time::UtcTime;
use super::{BurnAlert, BurnCounts, BurnObjective, BurnOutcome, BurnWindow, WindowCoverage};

/// Part of a window below which its rate is marked as partial.
const MIN_COVERAGE: f64 = 0.5;
/// Factor that rounds rates and shares to four decimal places.
const ROUNDING_FACTOR: f64 = 10_000.0;

/// Burn rates of a fleet or of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BurnSummary {
    /// Time of the report.
    pub at: UtcTime,
    /// Number of daemons whose counts are in the report.
    pub daemons: usize,
    /// Number of daemons that were asked and gave no report.
    pub missing: u64,
    /// Time since which the longest-running of those daemons has counted.
    pub counted_since: UtcTime,
    /// Part of each window that those daemons have counted on average, from 0 to 1.
    pub coverage: BTreeMap<BurnWindow, f64>,
    /// Rows, most severe alert first.
    pub rows: Vec<SummaryRow>,
}

/// Burn rates of one customer at one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SummaryRow {
    /// Customer that sent the requests.
    pub customer: CustomerName,
    /// Service that the requests were for.
    pub service: ServiceName,
    /// Most severe alert that holds.
    pub alert: BurnAlert,
    /// Objective of the service for the customer.
    pub objective: BurnObjective,
    /// Version of the contract that the objective comes from.
    pub contract_version: u64,
    /// Burn rate from which the rule of each alert holds.
    pub thresholds: BTreeMap<BurnAlert, f64>,
    /// Windows, shortest first.
    pub windows: Vec<SummaryWindow>,
    /// Longest window that is not longer than the window of the objective.
    pub budget_window: BurnWindow,
    /// Part of the error budget used in the counted part of that window; above 1 when overspent.
    pub budget_used: f64,
    /// Points of the last hour by minute; empty when the report has none.
    pub recent: Vec<SummaryPoint>,
    /// Points of the last three days by hour; empty when the report has none.
    pub long: Vec<SummaryPoint>,
}

/// Counts and burn rate of one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SummaryWindow {
    /// Length of the window, which ends at the time of the report.
    pub window: BurnWindow,
    /// Whether less than half of the window is counted, so that its rate may be misleading.
    pub partial: bool,
    /// Number of all requests.
    pub requests: u64,
    /// Number of requests that use up the error budget.
    pub bad: u64,
    /// Share of bad requests divided by the share that the objective allows.
    pub burn_rate: f64,
    /// Bad requests by outcome; outcomes that did not occur are left out.
    pub causes: BTreeMap<BurnOutcome, u64>,
}

/// One time step of a plot.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SummaryPoint {
    /// Start of the time step.
    pub at: UtcTime,
    /// Number of all requests.
    pub requests: u64,
    /// Share of bad requests divided by the share that the objective allows.
    pub burn_rate: f64,
    /// Bad requests by outcome; outcomes that did not occur are left out.
    pub causes: BTreeMap<BurnOutcome, u64>,
}

impl SummaryPoint {
    /// Returns the number of requests that use up the error budget.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.causes.values().sum()
    }
}

impl BurnSummary {
    /// Computes the summary of a report.
    #[must_use]
    pub fn of(report: &BurnReport) -> Self {
        let coverage = report.coverage();
        let mut rows: Vec<_> = report
            .rows
            .iter()
            .map(|row| SummaryRow::of(row, &coverage))
            .collect();
        rows.sort_by(SummaryRow::by_severity);
        Self {
            at: UtcTime(report.at),
            daemons: report.sources.len(),
            missing: report.missing,
            counted_since: UtcTime(counted_since(report)),
            coverage: BurnWindow::ALL
                .map(|window| (window, round(coverage.get(window))))
                .into(),
            rows,
        }
    }

    /// Returns the summary as indented JSON.
    ///
    /// # Errors
    ///
    /// Any error of the serializer; none is expected for this type.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// Returns the number of rows with this alert.
    #[must_use]
    pub fn count(&self, alert: BurnAlert) -> usize {
        self.rows.iter().filter(|row| row.alert == alert).count()
    }
}

/// Returns the time since which the longest-running daemon has counted, in seconds since the Unix
/// epoch.
fn counted_since(report: &BurnReport) -> u64 {
    let covers = report.sources.iter().map(|source| source.covers.as_secs());
    report.at.saturating_sub(covers.max().unwrap_or(0))
}

impl SummaryRow {
    /// Returns the counts and burn rate of a window.
    #[must_use]
    pub fn window(&self, window: BurnWindow) -> &SummaryWindow {
        &self.windows[window.index()]
    }

    /// Returns the burn rate from which the rule of an alert holds.
    #[must_use]
    pub fn threshold(&self, alert: BurnAlert) -> f64 {
        self.thresholds.get(&alert).copied().unwrap_or(1.0)
    }

    fn of(row: &BurnRow, coverage: &WindowCoverage) -> Self {
        let objective = row.objective;
        let budget_window = budget_window(&objective);
        let thresholds = BurnRule::ALL.map(|rule| (rule.alert, round(rule.threshold(&objective))));
        let windows = BurnWindow::ALL
            .into_iter()
            .map(|window| SummaryWindow::of(window, row.counts(window), &objective, coverage))
            .collect();
        Self {
            customer: row.customer.clone(),
            service: row.service.clone(),
            alert: BurnAlert::of(row, coverage),
            objective,
            contract_version: row.version,
            thresholds: thresholds.into(),
            windows,
            budget_window,
            budget_used: round(budget_used(row, coverage.get(budget_window), budget_window)),
            recent: points(&row.recent, &objective),
            long: points(&row.long, &objective),
        }
    }

    fn by_severity(left: &Self, right: &Self) -> std::cmp::Ordering {
        let hour_rate = |row: &Self| row.window(BurnWindow::OneHour).burn_rate;
        right
            .alert
            .cmp(&left.alert)
            .then(hour_rate(right).total_cmp(&hour_rate(left)))
            .then_with(|| left.customer.cmp(&right.customer))
            .then_with(|| left.service.cmp(&right.service))
    }
}

impl SummaryWindow {
    fn of(
        window: BurnWindow,
        counts: &BurnCounts,
        objective: &BurnObjective,
        coverage: &WindowCoverage,
    ) -> Self {
        Self {
            window,
            partial: coverage.get(window) < MIN_COVERAGE,
            requests: counts.total(),
            bad: counts.bad(),
            burn_rate: round(burn_rate(counts, objective)),
            causes: causes(counts),
        }
    }

    /// Returns the most frequent bad outcome with its count, or `None` without bad requests.
    #[must_use]
    pub fn main_cause(&self) -> Option<(BurnOutcome, u64)> {
        self.causes
            .iter()
            .map(|(outcome, count)| (*outcome, *count))
            .max_by_key(|(_, count)| *count)
    }
}

fn points(points: &[BurnPoint], objective: &BurnObjective) -> Vec<SummaryPoint> {
    points
        .iter()
        .map(|BurnPoint(start, counts)| SummaryPoint {
            at: UtcTime(*start),
            requests: counts.total(),
            burn_rate: round(burn_rate(counts, objective)),
            causes: causes(counts),
        })
        .collect()
}

fn causes(counts: &BurnCounts) -> BTreeMap<BurnOutcome, u64> {
    BurnOutcome::BAD
        .into_iter()
        .map(|outcome| (outcome, counts.get(outcome)))
        .filter(|(_, count)| *count > 0)
        .collect()
}

/// Returns the longest window that is not longer than the window of the objective.
fn budget_window(objective: &BurnObjective) -> BurnWindow {
    BurnWindow::ALL
        .into_iter()
        .rev()
        .find(|window| window.length() <= objective.window)
        .unwrap_or(BurnWindow::FiveMinutes)
}

/// Returns the part of the error budget used in the counted part of a window, assuming that the
/// load does not change much over the window of the objective.
fn budget_used(row: &BurnRow, covered: f64, window: BurnWindow) -> f64 {
    let whole = row.objective.window.max(window.length());
    let part = window.length().as_secs_f64() / whole.as_secs_f64();
    burn_rate(row.counts(window), &row.objective) * part * covered
}

fn round(value: f64) -> f64 {
    (value * ROUNDING_FACTOR).round() / ROUNDING_FACTOR
}
