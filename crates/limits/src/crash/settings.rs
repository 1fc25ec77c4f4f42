//! Settings of the crash registry.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList};

/// Settings of the registry.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CrashSettings {
    /// How long a signature is remembered after its last crash.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub remember: Duration,
    /// Maximum number of remembered signatures. A full registry drops the signature with the fewest
    /// counted crashes, and the oldest of those.
    pub capacity: u32,
    /// How long a turn lasts unless it is returned earlier. A turn is the exclusive permission to
    /// run a request that is suspected of a crash; no request may run longer.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub turn: Duration,
    /// Maximum time for which the failed answers after a crash are held back until all executors
    /// have acknowledged the report of the crash.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub report_wait: Duration,
    /// How long a node waits for the owner's answer to its request for a turn. After that, the
    /// suspected request is refused as not run.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub turn_wait: Duration,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            remember: Duration::from_mins(30),
            capacity: 4096,
            turn: Duration::from_mins(1),
            report_wait: Duration::from_millis(250),
            turn_wait: Duration::from_millis(500),
        }
    }
}

impl CrashSettings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns every finding, with its path below `place`.
    pub fn validate(&self, place: &str) -> Result<(), FindingList> {
        let mut findings = FindingList::default();
        findings.expect(
            self.remember >= Duration::from_mins(1),
            &format!("{place}.remember"),
            "must be 1m or more",
        );
        findings.expect(
            self.capacity >= 16,
            &format!("{place}.capacity"),
            "must be 16 or more",
        );
        findings.expect(
            self.turn_wait < self.turn,
            &format!("{place}.turn_wait"),
            "must be less than turn",
        );
        findings.into_result()
    }
}
