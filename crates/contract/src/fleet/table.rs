//! Compiled form of a fleet contract, read by the request path.

use std::collections::BTreeMap;
use std::sync::Arc;

use sycamorelink_core::CustomerName;

use super::{AccountRule, FLEET_CUSTOMER, FleetContract, FleetRoute, RoutePart};
use crate::change::ContractVersion;
use crate::digest::ContentDigest;
use crate::table::{CustomerRule, KeyRule, MethodSet, RouteRule, ServiceIndex};
use crate::terms::{
    DEFAULT_SUCCESS, DEFAULT_WINDOW, HedgeBudget, OpaqueKeys, RepeatClass, ServiceObjective,
};

/// Maximum size of a request body, in bytes. The smallest instance of the fleet has many times this
/// memory, and bodies beyond a few KB are streamed.
const MAX_BODY: u64 = 64 << 20;
/// Maximum size of a reply that is buffered completely before it is forwarded, in bytes. The
/// largest replies of the fleet's services, bundles of documents, take about half of this. While a
/// reply is buffered, it can still be fetched from another upstream.
const REPLY_BUFFER: u64 = 1 << 20;

/// Compiled route with one rule per part.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRule {
    parts: Vec<(u32, RouteRule)>,
    total: u64,
    public: bool,
}

impl FleetRule {
    /// Selects a part by weight, with a random number from 0 to 1, and returns its rule.
    #[must_use]
    pub fn part(&self, draw: f64) -> Option<&RouteRule> {
        let mut remaining = draw * to_float(self.total);
        for (weight, rule) in &self.parts {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(rule);
            }
        }
        self.parts.last().map(|(_, rule)| rule)
    }

    /// Returns whether callers need no account key.
    #[must_use]
    pub const fn is_public(&self) -> bool {
        self.public
    }

    /// Returns whether the requests are split among several services.
    #[must_use]
    pub fn is_split(&self) -> bool {
        self.parts.len() > 1
    }
}

/// Compiled form of a fleet contract.
#[derive(Clone, Debug, Default)]
pub struct FleetTable {
    version: u64,
    hosts: BTreeMap<Arc<str>, BTreeMap<Arc<str>, FleetRule>>,
    accounts: BTreeMap<CustomerName, Arc<AccountRule>>,
    keys: BTreeMap<ContentDigest, Arc<AccountRule>>,
}

impl FleetTable {
    /// Compiles a contract.
    #[must_use]
    pub fn new(contract: &FleetContract) -> Self {
        let terms = Arc::new(fleet_terms(contract));
        let mut hosts: BTreeMap<Arc<str>, BTreeMap<Arc<str>, FleetRule>> = BTreeMap::new();
        for route in &contract.routes {
            let rules = hosts.entry(Arc::clone(&route.host)).or_default();
            rules.insert(
                Arc::clone(&route.prefix),
                resolve_fleet_route(route, &terms),
            );
        }
        let mut accounts = BTreeMap::new();
        let mut keys = BTreeMap::new();
        for account in &contract.accounts {
            let rule = Arc::new(AccountRule::new(account, &terms));
            let account_keys = account.keys.iter().map(|key| (*key, Arc::clone(&rule)));
            keys.extend(account_keys);
            accounts.insert(account.name.clone(), rule);
        }
        Self {
            version: contract.version,
            hosts,
            accounts,
            keys,
        }
    }

    /// Returns whether requests need an account key, unless their route is public.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the account whose key has this digest.
    #[must_use]
    pub fn account(&self, key: &ContentDigest) -> Option<&Arc<AccountRule>> {
        self.keys.get(key)
    }

    /// Returns all accounts in order of name.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountRule>> {
        self.accounts.values()
    }

    /// Returns the version of the contract.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the host's route with the longest prefix of the path.
    ///
    /// Prefixes end with a slash, so the search only checks the path up to each slash, starting
    /// with the last one.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&FleetRule> {
        let rules = self.hosts.get(host)?;
        let slashes = path.bytes().enumerate().rev();
        slashes
            .filter(|(_, byte)| *byte == b'/')
            .find_map(|(index, _)| rules.get(&path[..=index]))
    }
}

fn fleet_terms(contract: &FleetContract) -> CustomerRule {
    CustomerRule {
        customer: CustomerName::new(FLEET_CUSTOMER),
        team: Arc::from(""),
        version: ContractVersion(contract.version),
        rate: f64::INFINITY,
        burst: f64::INFINITY,
        concurrency: u32::MAX,
        retry_budget: contract.retry_budget,
        hedge_budget: HedgeBudget { share: 0.0 },
        leaning: contract.leaning,
        reply_id_header: None,
    }
}

fn resolve_fleet_route(route: &FleetRoute, terms: &Arc<CustomerRule>) -> FleetRule {
    let parts: Vec<(u32, RouteRule)> = route
        .parts
        .iter()
        .filter(|part| part.weight > 0)
        .map(|part| (part.weight, part_rule(route, part, terms)))
        .collect();
    FleetRule {
        total: parts.iter().map(|(weight, _)| u64::from(*weight)).sum(),
        parts,
        public: route.public,
    }
}

fn part_rule(route: &FleetRoute, part: &RoutePart, terms: &Arc<CustomerRule>) -> RouteRule {
    let objective = ServiceObjective {
        latency: route.objective,
        success: DEFAULT_SUCCESS,
        window: DEFAULT_WINDOW,
    };
    RouteRule {
        terms: Arc::clone(terms),
        service: part.service.clone(),
        service_index: ServiceIndex(0),
        prefix: Arc::clone(&route.prefix),
        methods: MethodSet::default(),
        repeat: route.repeat,
        deadline: route.deadline,
        attempts: Some(route.attempts),
        priority: route.priority,
        max_body: MAX_BODY,
        reply_buffer: REPLY_BUFFER,
        hedge: route.repeat == RepeatClass::Idempotent,
        keys: KeyRule {
            required: false,
            opaque: OpaqueKeys::Refuse,
            memory: std::time::Duration::ZERO,
        },
        objective: Some(objective),
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a few weights of 32 bits each are far below 2^53"
)]
fn to_float(value: u64) -> f64 {
    value as f64
}
