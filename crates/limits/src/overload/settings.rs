//! Settings of overload control.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList, SizeText};

/// Largest memory limit for waiting requests, in bytes.
const MAX_MEMORY: u64 = 1 << 30;

/// Settings of overload control.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct OverloadSettings {
    /// Longest latency objective of the fleet contract from which overload control takes effect;
    /// `None` switches it off.
    ///
    /// A queue of several seconds only serves callers that can wait for several seconds.
    #[serde_as(as = "Option<DurationText>")]
    #[schemars(with = "Option<DurationText>")]
    pub objective_from: Option<Duration>,
    /// Maximum number of requests that wait beside one backend server.
    pub queue: u32,
    /// Maximum number of bytes that a node holds for waiting requests and unread replies.
    #[serde_as(as = "SizeText")]
    #[schemars(with = "SizeText")]
    pub memory: u64,
    /// Interval between two capacity reports of a node.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub report_interval: Duration,
    /// Maximum size of one capacity report in bytes.
    #[serde_as(as = "SizeText")]
    #[schemars(with = "SizeText")]
    pub report_size: u64,
}

impl Default for OverloadSettings {
    fn default() -> Self {
        Self {
            objective_from: None,
            queue: 400,
            memory: 16 << 20,
            report_interval: Duration::from_millis(500),
            report_size: 1 << 10,
        }
    }
}

impl OverloadSettings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns every finding, with its path below `place`.
    pub fn validate(&self, place: &str) -> Result<(), FindingList> {
        let mut findings = FindingList::default();
        findings.expect(
            self.objective_from != Some(Duration::ZERO),
            &format!("{place}.objective_from"),
            "must be above 0s",
        );
        findings.expect(
            self.queue > 0,
            &format!("{place}.queue"),
            "must be 1 or more",
        );
        findings.expect(
            (1 << 16..=MAX_MEMORY).contains(&self.memory),
            &format!("{place}.memory"),
            "must be from 64KB to 1GB",
        );
        findings.expect(
            self.report_interval >= Duration::from_millis(100),
            &format!("{place}.report_interval"),
            "must be 100ms or more",
        );
        findings.expect(
            (128..=1 << 16).contains(&self.report_size),
            &format!("{place}.report_size"),
            "must be from 128B to 64KB",
        );
        findings.into_result()
    }
}
