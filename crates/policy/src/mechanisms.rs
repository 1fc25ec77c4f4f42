//! Which mechanisms decide on requests, so that each can be switched off: by an operator on whose
//! fleet one of them misjudges, and to measure what it is worth.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// One mechanism that decides on requests under a fleet contract.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyMechanism {
    /// A backend server that may be failing is held off by the node beside it.
    Breaker,
    /// Runs that stay open count against their backend server.
    OpenRuns,
    /// The share of failing servers is learned for each service.
    UsualShare,
    /// Callers' nodes are told when a backend server turns suspect, and when it no longer is.
    ToldStandings,
    /// A caller's node takes the upstream with the least expected cost.
    CostChoice,
    /// Upstreams that choices keep away from get an even part of what may be repeated.
    EvenTrials,
    /// Work that must not repeat runs on the least suspect server when all that were asked are.
    LeastSuspect,
    /// Repeatable work whose run stays open on a suspect server is sent elsewhere as well.
    SilentRepeats,
    /// The bound on repeats is kept beside the backend servers.
    BesideBudget,
    /// Upstreams in the own failure domain go first.
    NearFirst,
    /// Client accounts are held to their quotas.
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
    /// Whether a mechanism decides.
    #[must_use]
    pub fn is_on(&self, mechanism: PolicyMechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
