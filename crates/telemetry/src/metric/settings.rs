//! Settings of metrics.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamorelink_core::FindingList;

/// Minimum bytes per flush; with less, some series would wait longer than a minute.
const MIN_BUDGET_BYTES: u32 = 512;

/// Settings of metrics.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct MetricSettings {
    /// Address of a statsd receiver; `None` sends no metrics.
    pub address: Option<SocketAddr>,
    /// Prefix of every metric name.
    pub prefix: String,
    /// Maximum bytes sent per flush, in addition to the control traffic between daemons.
    pub budget_bytes: u32,
    /// Maximum number of series; further ones share one series per metric.
    pub max_series: u32,
    /// Maximum number of timers among the series; each holds a histogram of up to 12 kB.
    pub max_timers: u32,
}

impl Default for MetricSettings {
    fn default() -> Self {
        Self {
            address: None,
            prefix: "sycamorelink".to_owned(),
            budget_bytes: 4096,
            max_series: 1024,
            max_timers: 64,
        }
    }
}

impl MetricSettings {
    /// Adds a finding for each invalid value, with `path` as the path of the settings.
    pub fn check(&self, path: &str, findings: &mut FindingList) {
        findings.expect(
            !self.prefix.is_empty(),
            &format!("{path}.prefix"),
            "must not be empty",
        );
        findings.expect(
            self.budget_bytes >= MIN_BUDGET_BYTES,
            &format!("{path}.budget-bytes"),
            "must be at least 512 bytes",
        );
        findings.expect(
            self.max_series > 0,
            &format!("{path}.max-series"),
            "must be at least 1",
        );
        findings.expect(
            self.max_timers > 0,
            &format!("{path}.max-timers"),
            "must be at least 1",
        );
    }
}
