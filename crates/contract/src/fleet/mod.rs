//! One contract for the whole fleet, published as a whole. Callers need no token of the product; where
//! it has client accounts, a request brings a key of one, unless its route is public.
//!
//! ```text
//! FleetContract ── validate ──▶ FleetTable ─┬ find(host, path) ──▶ FleetRule ── part(draw) ──▶ RouteRule
//!                                           └ account(digest of the key) ──▶ AccountRule
//! ```
//!
//! Where every caller is trusted and an operator publishes routes for all of them at once, a chain
//! of amended versions for each customer has no work. The newest whole contract is in force; it
//! carries its own version, and a node never goes back to an older one.

mod account;
mod table;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList, ServiceName};

use crate::terms::{DetectionLeaning, MAX_PRIORITY, RepeatClass, RetryBudget};

pub use account::{AccountQuota, AccountRule, FleetAccount};
pub use table::{FleetRule, FleetTable};

/// Name under which the requests of a fleet contract are counted.
pub const FLEET_CUSTOMER: &str = "fleet";

/// What holds for all callers of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetContract {
    /// Version of the whole; greater is newer. Versions may leave gaps.
    pub version: u64,
    /// Services that the routes lead to.
    pub services: Vec<ServiceName>,
    /// Routes, in any order.
    pub routes: Vec<FleetRoute>,
    /// Client accounts; with none, callers need no key.
    #[serde(default)]
    pub accounts: Vec<FleetAccount>,
    /// How many requests may be retried.
    #[serde(default)]
    pub retry_budget: RetryBudget,
    /// Retries at one service that all nodes together may make in ten seconds whatever the share.
    #[serde(default)]
    pub retry_slack: u32,
    /// Which error of detection costs more.
    #[serde(default)]
    pub leaning: DetectionLeaning,
}

/// Requests to one host under one path prefix that are treated alike.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRoute {
    /// Name of the route, for logs.
    pub name: Arc<str>,
    /// Host that the request names, in lower case and without a port.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be run more than once.
    pub repeat: RepeatClass,
    /// Longest time that a request is kept waiting for its answer.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// Time within which an answer has its full worth to the caller.
    #[serde_as(as = "DurationText")]
    pub objective: Duration,
    /// Most upstreams that may run one request.
    pub attempts: u16,
    /// 0 (low, shed first) to 9 (high, shed last).
    pub priority: u8,
    /// Services that share the requests by weight.
    pub parts: Vec<RoutePart>,
    /// Whether callers need no key of an account.
    #[serde(default)]
    pub public: bool,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePart {
    /// The service, one of `services`.
    pub service: ServiceName,
    /// Its weight among the parts.
    pub weight: u32,
}

impl FleetContract {
    /// Everything that contradicts itself, each with its JSON path.
    #[must_use]
    pub fn validate(&self) -> FindingList {
        let mut findings = FindingList::default();
        let services: BTreeSet<&ServiceName> = self.services.iter().collect();
        let mut places = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let place = format!("routes[{index}]");
            route.check(&place, &services, &mut findings);
            findings.expect(
                places.insert((&route.host, &route.prefix)),
                &place,
                "another route has this host and prefix",
            );
        }
        account::check_accounts(&self.accounts, &mut findings);
        findings
    }
}

impl FleetRoute {
    fn check(&self, place: &str, services: &BTreeSet<&ServiceName>, findings: &mut FindingList) {
        let prefix = &self.prefix;
        findings.expect(
            prefix.starts_with('/') && prefix.ends_with('/'),
            &format!("{place}.prefix"),
            "must begin and end with a slash",
        );
        findings.expect(
            !self.deadline.is_zero(),
            &format!("{place}.deadline"),
            "must be above 0s",
        );
        findings.expect(
            self.attempts > 0,
            &format!("{place}.attempts"),
            "must be 1 or more",
        );
        findings.expect(
            self.priority <= MAX_PRIORITY,
            &format!("{place}.priority"),
            "must be 0 to 9",
        );
        findings.expect(
            self.parts.iter().any(|part| part.weight > 0),
            &format!("{place}.parts"),
            "needs a part with a weight above 0",
        );
        for (index, part) in self.parts.iter().enumerate() {
            findings.expect(
                services.contains(&part.service),
                &format!("{place}.parts[{index}].service"),
                "is none of `services`",
            );
        }
    }
}
