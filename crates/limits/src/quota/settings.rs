//! Settings of account quotas, and the intervals derived from them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList};

use super::QuotaTerms;

/// Demand beyond the quota, as a multiple of its rate, for which the report interval is designed.
/// Higher demand exceeds the limit by what it adds within one interval.
const SURGE_FACTOR: f64 = 4.0;
/// Fraction of the allowed overage that an account may use like its burst.
///
/// A small account sends three requests at once by chance every minute, and throttling it takes a
/// message to each node.
const EXTRA_BURST_RATIO: f64 = 0.15;
/// Fraction of the allowed overage that may be admitted between two reports. The rest covers the
/// latency of reports and updates.
const REPORTED_RATIO: f64 = 0.5;
/// Minimum report interval: the tick of a node's periodic work.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum report interval. Demand that is a second old predicts little about the next second.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Amount by which an account may exceed its quota in a window, set by the operator of the fleet.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaSettings {
    /// Length of the window over which admitted requests are compared with the quota.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub window: Duration,
    /// Fraction of the quota of a window by which the quota may be exceeded: 0.1 allows 10 % more.
    pub overage: f64,
    /// Number of requests in a window by which the quota may be exceeded in addition to `overage`.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
        }
    }
}

impl QuotaSettings {
    /// Returns the interval at which a holder reports the admitted requests of an account.
    #[must_use]
    pub fn report_interval(&self, terms: QuotaTerms) -> Duration {
        let reported = self.max_overage(terms) * REPORTED_RATIO;
        let interval = reported / (SURGE_FACTOR * terms.rate.max(f64::MIN_POSITIVE));
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(MAX_REPORT_INTERVAL);
        interval.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
    }

    /// Returns the number of requests that an account may use in addition to its burst.
    #[must_use]
    pub fn extra_burst(&self, terms: QuotaTerms) -> f64 {
        self.max_overage(terms) * EXTRA_BURST_RATIO
    }

    /// Returns the number of requests in a window by which a quota may be exceeded.
    fn max_overage(&self, terms: QuotaTerms) -> f64 {
        let window_quota = terms.rate * self.window.as_secs_f64() + terms.burst;
        self.overage * window_quota + self.slack
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns every finding, with its path below `place`.
    pub fn validate(&self, place: &str) -> Result<(), FindingList> {
        let mut findings = FindingList::default();
        findings.expect(
            !self.window.is_zero(),
            &format!("{place}.window"),
            "must be above 0s",
        );
        findings.expect(
            self.overage.is_finite() && self.overage >= 0.0,
            &format!("{place}.overage"),
            "must be 0 or more",
        );
        findings.expect(
            self.slack.is_finite() && self.slack >= 0.0,
            &format!("{place}.slack"),
            "must be 0 or more",
        );
        findings.into_result()
    }
}
