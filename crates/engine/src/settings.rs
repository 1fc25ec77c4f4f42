//! Settings of the engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sycamorelink_core::FindingList;
use sycamorelink_guard::GuardSettings;
use sycamorelink_limits::{
    CrashSettings, GateSettings, OverloadSettings, QuotaSettings, ShareSettings,
};
use sycamorelink_policy::PolicySettings;
use sycamorelink_roster::RosterSettings;

use crate::fleet::ContractMode;

/// Default time for which a leaving node accepts callers' requests. Callers that check its
/// readiness every second have switched to another node by then.
pub const LEAVE_SERVING: Duration = Duration::from_secs(5);
/// Default time after which a leaving node stops and cuts off what is in flight.
pub const LEAVE_LIMIT: Duration = Duration::from_secs(30);

/// Settings of the engine. Every value has a default.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Where the contracts come from.
    pub contracts: ContractMode,
    /// Whether the whole fleet starts for the first time, so that there are no callers yet.
    pub first_start: bool,
    /// Time for which a leaving node accepts the requests that are likely to end before it stops.
    /// Later it accepts only those whose deadline is before that.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "leave_serving_ms")]
    pub leave_serving: Duration,
    /// Time after which a leaving node stops and cuts off what is in flight.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "leave_limit_ms")]
    pub leave_limit: Duration,
    /// Membership protocol and failure detection between nodes.
    pub roster: RosterSettings,
    /// At-most-once guard.
    pub guard: GuardSettings,
    /// Fleet-wide limits of customers.
    pub share: ShareSettings,
    /// Isolation of requests that crash backend servers.
    pub crash: CrashSettings,
    /// Slots and queues of local backend servers.
    pub gate: GateSettings,
    /// Accuracy with which quotas of client accounts are enforced.
    pub quota: QuotaSettings,
    /// Overload control for callers that can wait for several seconds.
    pub overload: OverloadSettings,
    /// Mechanisms that take part in the decisions on requests.
    pub policy: PolicySettings,
    /// Maximum body size of a keyed request, in bytes. The body is read completely, to be compared
    /// on a resend.
    pub keyed_body: u64,
    /// Validity of an announcement of a backend server, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "announcement_ms")]
    pub announcement: Duration,
    /// Retention time of the platform's log, in milliseconds. State is carried forward well
    /// before.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "log_retention_ms")]
    pub log_retention: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            contracts: ContractMode::default(),
            first_start: false,
            leave_serving: LEAVE_SERVING,
            leave_limit: LEAVE_LIMIT,
            roster: RosterSettings::default(),
            guard: GuardSettings::default(),
            share: ShareSettings::default(),
            crash: CrashSettings::default(),
            gate: GateSettings::default(),
            quota: QuotaSettings::default(),
            overload: OverloadSettings::default(),
            policy: PolicySettings::default(),
            keyed_body: 1 << 20,
            announcement: Duration::from_secs(4),
            log_retention: Duration::from_hours(24),
        }
    }
}

impl EngineSettings {
    /// Validates all parts and returns every finding.
    #[must_use]
    pub fn validate(&self) -> FindingList {
        let mut findings = self.roster.validate();
        for part in [
            self.share.validate("limits.share"),
            self.crash.validate("limits.crash"),
            self.gate.validate("limits.gate"),
            self.quota.validate("limits.quota"),
            self.overload.validate("limits.overload"),
        ] {
            if let Err(found) = part {
                findings.0.extend(found.0);
            }
        }
        findings
    }
}
