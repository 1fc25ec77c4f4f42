//! A single contract for the whole fleet, published as one document. Callers need no token. If the
//! contract has client accounts, each request needs the key of an account, unless its route is
//! public.
//!
//! ```text
//! FleetContract -- validate --> FleetTable
//!
//! FleetTable -- find(host, path) --> FleetRule -- part(draw) --> RouteRule
//!            -- account(digest of the key) --> AccountRule
//! ```
//!
//! This form suits fleets with trusted callers, in which an operator publishes the routes of all
//! callers at once and a version history for each customer is not needed. The newest contract is
//! in force. The contract contains its own version, and a node never returns to an older one.

mod account;
mod patch;
mod table;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList, ServiceName};

use crate::terms::{DetectionLeaning, MAX_PRIORITY, RepeatClass, RetryBudget};

pub use account::{AccountQuota, AccountRule, FleetAccount};
pub use patch::{ContractStamp, FleetPatch, PatchError};
pub use table::{FleetRule, FleetTable};

/// Name under which the requests of a fleet contract are counted.
pub const FLEET_CUSTOMER: &str = "fleet";

/// Terms for all callers of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetContract {
    /// Version of the contract; greater is newer. Versions may have gaps.
    pub version: u64,
    /// Services to which the routes forward requests.
    pub services: Vec<ServiceName>,
    /// Routes, in any order.
    pub routes: Vec<FleetRoute>,
    /// Client accounts. If the list is empty, callers need no key.
    #[serde(default)]
    pub accounts: Vec<FleetAccount>,
    /// Limit of retries, as a share of the requests.
    #[serde(default)]
    pub retry_budget: RetryBudget,
    /// Retries per service that all nodes together may make in ten seconds regardless of the
    /// share.
    #[serde(default)]
    pub retry_slack: u32,
    /// Preference between missed and false ejections of upstreams.
    #[serde(default)]
    pub leaning: DetectionLeaning,
}

/// Route of the requests to one host under one path prefix.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRoute {
    /// Name of the route, for logs.
    pub name: Arc<str>,
    /// Host name of the request, in lower case and without a port.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be run more than once.
    pub repeat: RepeatClass,
    /// Maximum time that a request waits for its reply.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// Latency within which a reply has its full value for the caller.
    #[serde_as(as = "DurationText")]
    pub objective: Duration,
    /// Maximum number of upstreams that may run one request.
    pub attempts: u16,
    /// 0 (low, shed first) to 9 (high, shed last).
    pub priority: u8,
    /// Services among which the requests are split by weight.
    pub parts: Vec<RoutePart>,
    /// Whether callers need no account key.
    #[serde(default)]
    pub public: bool,
}

/// Share of a service in a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePart {
    /// Name of the service, one of `services`.
    pub service: ServiceName,
    /// Weight relative to the other parts.
    pub weight: u32,
}

impl FleetContract {
    /// Returns all semantic errors of the contract with their JSON paths.
    #[must_use]
    pub fn validate(&self) -> FindingList {
        let mut findings = FindingList::default();
        let services: BTreeSet<&ServiceName> = self.services.iter().collect();
        let mut places = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            route.check(index, &services, &mut findings);
            findings.expect_at(
                places.insert((&route.host, &route.prefix)),
                format_args!("routes[{index}]"),
                "another route has this host and prefix",
            );
        }
        account::check_accounts(&self.accounts, &mut findings);
        findings
    }
}

impl FleetRoute {
    fn check(&self, number: usize, services: &BTreeSet<&ServiceName>, findings: &mut FindingList) {
        let prefix = &self.prefix;
        findings.expect_at(
            prefix.starts_with('/') && prefix.ends_with('/'),
            format_args!("routes[{number}].prefix"),
            "must begin and end with a slash",
        );
        findings.expect_at(
            !self.deadline.is_zero(),
            format_args!("routes[{number}].deadline"),
            "must be above 0s",
        );
        findings.expect_at(
            self.attempts > 0,
            format_args!("routes[{number}].attempts"),
            "must be 1 or more",
        );
        findings.expect_at(
            self.priority <= MAX_PRIORITY,
            format_args!("routes[{number}].priority"),
            "must be 0 to 9",
        );
        findings.expect_at(
            self.parts.iter().any(|part| part.weight > 0),
            format_args!("routes[{number}].parts"),
            "needs a part with a weight above 0",
        );
        for (index, part) in self.parts.iter().enumerate() {
            findings.expect_at(
                services.contains(&part.service),
                format_args!("routes[{number}].parts[{index}].service"),
                "is none of `services`",
            );
        }
    }
}
