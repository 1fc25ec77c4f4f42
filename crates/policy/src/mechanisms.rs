//! Switches for the mechanisms that decide on requests. An operator can switch off one that
//! misjudges on a given fleet, and benchmarks can measure the effect of each.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// One mechanism that decides on requests under a fleet contract.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyMechanism {
    /// The breaker of a backend server that may be failing holds off work.
    Breaker,
    /// Runs that stay open count as evidence against their backend server.
    OpenRuns,
    /// The usual share of failing servers is learned for each service.
    UsualShare,
    /// Calling nodes are notified when a backend server becomes suspect and when it no longer is.
    ToldStandings,
    /// A calling node selects the upstream with the least expected cost.
    CostChoice,
    /// Upstreams that selection by cost avoids get an even share of the repeatable requests.
    EvenTrials,
    /// Non-repeatable work runs on the least suspect server when all servers that were tried are
    /// suspect.
    LeastSuspect,
    /// Repeatable work whose run stays open on a suspect server is also sent to another one.
    SilentRepeats,
    /// The retry budget is enforced by the nodes beside the backend servers.
    BesideBudget,
    /// Upstreams in the calling node's failure domain are preferred.
    NearFirst,
    /// Quotas of client accounts are enforced.
    AccountQuotas,
}

/// Settings of the mechanisms.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Mechanisms that are switched off.
    pub off: BTreeSet<PolicyMechanism>,
}

impl PolicySettings {
    /// Returns whether a mechanism is switched on.
    #[must_use]
    pub fn is_on(&self, mechanism: PolicyMechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
