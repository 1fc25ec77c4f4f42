//! How exactly quotas are kept.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList};

use super::QuotaTerms;

/// How many times its rate an account may ask for beyond it and still is held within the bound: the
/// pause between two reports is made for that. Demand beyond goes over by its part of one pause.
const SURGE: f64 = 4.0;
/// Part of what is allowed beyond a quota that an account may use like its burst. A small account sends
/// three requests at once by chance every minute, and to hold it back takes a word to each node.
const ROOM_PART: f64 = 0.15;
/// Part of it that may be admitted between two reports; what is left is for the ways of reports and news.
const PAUSE_PART: f64 = 0.5;
/// Shortest pause between two reports: the step of a node's periodic work.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);
/// Longest: demand that is a second old says little about the next one.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// How far beyond its quota an account may get in a window, as the operator of the fleet states it.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaSettings {
    /// Length of the window.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub window: Duration,
    /// Part of the quota of a window by which it may be exceeded.
    pub overage: f64,
    /// Requests in a window by which it may be exceeded besides.
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
    /// How long a holder may keep to itself what it admitted of an account.
    #[must_use]
    pub fn report_pause(&self, terms: QuotaTerms) -> Duration {
        let beyond = self.beyond(terms) * PAUSE_PART;
        let pause = beyond / (SURGE * terms.rate.max(f64::MIN_POSITIVE));
        let pause = Duration::try_from_secs_f64(pause).unwrap_or(LONGEST_PAUSE);
        pause.clamp(SHORTEST_PAUSE, LONGEST_PAUSE)
    }

    /// Requests that an account may use beyond its burst.
    #[must_use]
    pub fn room(&self, terms: QuotaTerms) -> f64 {
        self.beyond(terms) * ROOM_PART
    }

    /// Requests in a window by which a quota may be exceeded.
    fn beyond(&self, terms: QuotaTerms) -> f64 {
        let whole = terms.rate * self.window.as_secs_f64() + terms.burst;
        self.overage * whole + self.slack
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Every finding with its place under `place`.
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
