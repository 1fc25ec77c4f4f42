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
    /// Work waits beside a backend server for as long as its objective and deadline allow.
    DeadlineQueue,
    /// Nodes report the free capacity of their backend servers, and callers' nodes select by the
    /// expected time to an answer.
    CapacityReports,
    /// Backend servers lend each other unused parts of the bound on repeats.
    RepeatLoans,
    /// Requests that no upstream accepts at present wait at the node of their caller.
    CallerQueue,
    /// The number of concurrent runs of a backend server follows its measured throughput.
    AdaptiveConcurrency,
    /// Client accounts share the slots of a backend server fairly.
    FairQueueing,
    /// Retry delays follow the free capacity of the service.
    PacedReturns,
    /// The share of requests sent to other failure domains follows the difference of the expected
    /// waits.
    DomainSpillover,
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
