//! Settings of a slot gate.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList};

/// Settings of one gate.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct GateSettings {
    /// Requests the backend server runs at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Service time assumed before any was measured.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub first_service_time: Duration,
    /// Time from one slot to all slots after a cold start; zero opens all.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub warm_up: Duration,
    /// Queue delay that, held for `overload_after`, counts as overload.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub target_delay: Duration,
    /// How long the delay must stay above the target.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub overload_after: Duration,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            slots: 5,
            queue: 50,
            first_service_time: Duration::from_millis(50),
            warm_up: Duration::from_secs(5),
            target_delay: Duration::from_millis(100),
            overload_after: Duration::from_millis(500),
        }
    }
}

impl GateSettings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns every finding, with its path below `place`.
    pub fn validate(&self, place: &str) -> Result<(), FindingList> {
        let mut findings = FindingList::default();
        findings.expect(
            self.slots > 0,
            &format!("{place}.slots"),
            "must be 1 or more",
        );
        findings.expect(
            !self.first_service_time.is_zero(),
            &format!("{place}.first_service_time"),
            "must be 1ms or more",
        );
        findings.expect(
            self.warm_up <= Duration::from_mins(10),
            &format!("{place}.warm_up"),
            "must be 10m or less",
        );
        findings.into_result()
    }
}
