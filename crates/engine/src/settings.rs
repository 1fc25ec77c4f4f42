//! Settings of the decision logic.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sycamorelink_core::FindingList;
use sycamorelink_guard::GuardSettings;
use sycamorelink_limits::{CrashSettings, GateSettings, QuotaSettings, ShareSettings};
use sycamorelink_policy::PolicySettings;
use sycamorelink_roster::RosterSettings;

use crate::fleet::ContractForm;

/// How long a leaving node takes callers' requests unless its settings say otherwise: callers that
/// look every second whether it is ready have then looked elsewhere.
pub const LEAVE_SERVING: Duration = Duration::from_secs(5);

/// Settings of one node's decisions. Every value has a default.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Where the contracts come from.
    pub contracts: ContractForm,
    /// Whether the whole fleet starts for the first time, so that nobody calls yet.
    pub first_start: bool,
    /// How long a leaving node still takes callers' requests; after it they are refused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "leave_serving_ms")]
    pub leave_serving: Duration,
    /// Membership.
    pub roster: RosterSettings,
    /// At most once.
    pub guard: GuardSettings,
    /// Fleet-wide limits.
    pub share: ShareSettings,
    /// Requests that crash backend servers.
    pub crash: CrashSettings,
    /// Slots beside backend servers.
    pub gate: GateSettings,
    /// How exactly quotas of client accounts are kept.
    pub quota: QuotaSettings,
    /// Which mechanisms decide on requests.
    pub policy: PolicySettings,
    /// Greatest body of a keyed request, in bytes: it is read whole to be compared on a resend.
    pub keyed_body: u64,
    /// How long an announcement of a backend server holds, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "announcement_ms")]
    pub announcement: Duration,
    /// How long the platform's log keeps records, in milliseconds. State is carried forward well
    /// before.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "log_retention_ms")]
    pub log_retention: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            contracts: ContractForm::default(),
            first_start: false,
            leave_serving: LEAVE_SERVING,
            roster: RosterSettings::default(),
            guard: GuardSettings::default(),
            share: ShareSettings::default(),
            crash: CrashSettings::default(),
            gate: GateSettings::default(),
            quota: QuotaSettings::default(),
            policy: PolicySettings::default(),
            keyed_body: 1 << 20,
            announcement: Duration::from_secs(4),
            log_retention: Duration::from_hours(24),
        }
    }
}

impl EngineSettings {
    /// Checks all parts and reports everything found.
    #[must_use]
    pub fn validate(&self) -> FindingList {
        let mut findings = self.roster.validate();
        for part in [
            self.share.validate("limits.share"),
            self.crash.validate("limits.crash"),
            self.gate.validate("limits.gate"),
            self.quota.validate("limits.quota"),
        ] {
            if let Err(found) = part {
                findings.0.extend(found.0);
            }
        }
        findings
    }
}
