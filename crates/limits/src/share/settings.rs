//! Settings of fleet-wide limits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList};

/// Settings of fleet-wide limits. Every node of a fleet must have the same.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ShareSettings {
    /// Base share of a contract, in percent: the part of the rate and concurrency that all members
    /// divide among themselves and use without a lease.
    pub base_percent: u32,
    /// Minimum length of a lease; applies while more than half of a contract is leased.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub lease: Duration,
    /// Maximum length of a lease. Leases have this length while no more than half of a contract is
    /// leased: they take nothing that another node needs. Most leases are of this kind, so the
    /// greater length saves many renewals.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub long_lease: Duration,
    /// Allowed difference in speed between the clocks of two nodes, in percent. A keeper waits for
    /// the length of a lease plus this margin before it leases the same part of a contract again.
    pub drift_percent: u32,
    /// Largest burst, as time at the full rate.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub burst: Duration,
    /// Minimum time between two requests for the same lease.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub ask_interval: Duration,
    /// How long a request may wait for a first lease.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub first_wait: Duration,
    /// How long a node may use its leases and base share after it last confirmed that all members
    /// still list it. A silent member is removed from the roster no sooner, so its part of each
    /// contract stays unused for at least this time.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub right_hold: Duration,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            base_percent: 5,
            lease: Duration::from_secs(15),
            long_lease: Duration::from_mins(1),
            drift_percent: 2,
            burst: Duration::from_secs(1),
            ask_interval: Duration::from_millis(500),
            first_wait: Duration::from_millis(100),
            right_hold: Duration::from_mins(10),
        }
    }
}

impl ShareSettings {
    /// Returns how long after its last message a silent member may be removed from the roster. By
    /// then its rights have ended by its own clock, within the allowed drift.
    #[must_use]
    pub fn removal_wait(&self) -> Duration {
        let drift = self.right_hold * self.drift_percent / 100;
        self.right_hold + drift + self.long_lease
    }

    /// Returns the time for which a keeper treats a lease of this length as in force after the
    /// grant.
    #[must_use]
    pub(super) fn reuse_wait(&self, lease: Duration) -> Duration {
        lease + lease * self.drift_percent / 100
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns every finding, with its path below `place`.
    pub fn validate(&self, place: &str) -> Result<(), FindingList> {
        let mut findings = FindingList::default();
        findings.expect(
            self.base_percent <= 100,
            &format!("{place}.base_percent"),
            "must be 0 to 100",
        );
        findings.expect(
            (1..=20).contains(&self.drift_percent),
            &format!("{place}.drift_percent"),
            "must be 1 to 20",
        );
        findings.expect(
            self.lease >= self.ask_interval * 6,
            &format!("{place}.lease"),
            "must be six ask_interval or more",
        );
        findings.expect(
            self.long_lease >= self.lease,
            &format!("{place}.long_lease"),
            "must not be shorter than lease",
        );
        findings.expect(
            self.long_lease <= Duration::from_mins(5),
            &format!("{place}.long_lease"),
            "must be 5m or less",
        );
        findings.expect(
            !self.ask_interval.is_zero(),
            &format!("{place}.ask_interval"),
            "must be 1ms or more",
        );
        findings.expect(
            self.right_hold > self.long_lease,
            &format!("{place}.right_hold"),
            "must be longer than long_lease",
        );
        findings.into_result()
    }
}
