//! Service-level objectives.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList};

/// Default objective window.
const DEFAULT_WINDOW: Duration = Duration::from_hours(30 * 24);
/// Shortest objective window, equal to [`BurnWindow::FiveMinutes`](super::BurnWindow).
const MIN_WINDOW: Duration = Duration::from_mins(5);
/// Longest objective window.
const MAX_WINDOW: Duration = Duration::from_hours(365 * 24);

/// Service-level objective: the share of requests that must be good, within a latency and over a
/// window.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct BurnObjective {
    /// Latency above which a reply counts as late.
    #[serde_as(as = "DurationText")]
    pub latency: Duration,
    /// Share of requests that must be good, between 0 and 1.
    pub success: f64,
    /// Time over which the share must be met.
    #[serde_as(as = "DurationText")]
    pub window: Duration,
}

impl Default for BurnObjective {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(500),
            success: 0.999,
            window: DEFAULT_WINDOW,
        }
    }
}

impl BurnObjective {
    /// Returns the share of requests that may be bad, above 0.
    #[must_use]
    pub fn error_budget(&self) -> f64 {
        (1.0 - self.success).max(f64::EPSILON)
    }

    /// Adds a finding for each invalid value, with `path` as the path of the objective.
    pub fn check(&self, path: &str, findings: &mut FindingList) {
        findings.expect(
            !self.latency.is_zero(),
            &format!("{path}.latency"),
            "must be above zero",
        );
        findings.expect(
            self.success > 0.0 && self.success < 1.0,
            &format!("{path}.success"),
            "must be between 0 and 1, both excluded: without any budget nothing can be judged",
        );
        findings.expect(
            self.window >= MIN_WINDOW && self.window <= MAX_WINDOW,
            &format!("{path}.window"),
            "must be between \"5m\" and \"365d\"",
        );
    }
}
